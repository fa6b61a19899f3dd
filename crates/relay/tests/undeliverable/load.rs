//! Many payouts with the relay killed repeatedly, and live messages during a batch.

use super::*;

/// Runs 400 payouts by default. With another number:
/// `PAYOUTS=10000 cargo test --release -p relay --test undeliverable ten_thousand`.
#[test]
#[expect(clippy::too_many_lines, reason = "one scenario from start to end")]
fn ten_thousand_payouts_are_applied_once_despite_kills() {
    let count: usize = std::env::var("PAYOUTS")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(400);
    let ledger = Ledger::new();
    let book = ledger.clone();
    // The host applies one call in three and answers none.
    let host = Host::new(move |seen, before| {
        if before % 3 == 0 {
            book.apply(&seen.id);
        }
        HostResponse::Close
    });
    let mut hosts = up(&host);
    hosts[0]["share"] = json!(5000.0);
    let mut bed = UndeliverableTestBed::new(hosts, &ledger, "at_once = 64", 20_000);
    let mut client = bed.test_bed.client();
    let mut ids = Vec::new();
    for chunk in (0..count).collect::<Vec<_>>().chunks(100) {
        for _ in chunk {
            let id = bed.test_bed.id();
            client.send(&request(&id, "payout", 1, 50_000, b"body"));
            ids.push(id);
        }
        chunk.iter().for_each(|_| assert_eq!(client.line(), "+OK"));
    }
    // The circuit breaker holds most of them back until the host has recovered or their deadline has passed.
    let good = ledger.clone();
    let silent = Arc::new(std::sync::atomic::AtomicU32::new(0));
    let turn = silent.clone();
    wait_until("the first records", || {
        (bed.all("").len() >= 3.min(count)).then_some(())
    });
    host.script(move |seen, _| {
        // The host still applies one call in ten without answering it, and drops one in ten.
        match turn.fetch_add(1, std::sync::atomic::Ordering::Relaxed) % 10 {
            0 => {
                good.apply(&seen.id);
                HostResponse::Close
            }
            5 => HostResponse::Close,
            _ => {
                good.apply(&seen.id);
                ok()
            }
        }
    });
    wait_until("all to be delivered or recorded", || {
        let kept = bed.all("");
        let done = ids
            .iter()
            .filter(|id| kept.contains_key(*id) || ledger.applied_count(id) > 0)
            .count();
        (done == ids.len()).then_some(())
    });
    // Two operators repeatedly run batches of all records while the relay is killed and restarted.
    let mut round = 0;
    loop {
        let records = bed.all("");
        let open = records
            .values()
            .filter(|record| record["state"] == "open")
            .count();
        let sending = records
            .values()
            .filter(|record| record["state"] == "sending")
            .count();
        if open + sending == 0 {
            break;
        }
        assert!(round < 60 + count / 50, "{open} records are still open");
        for operator in ["ops", "second"] {
            let (api, name) = (bed.as_of(operator), format!("{operator}-{round}"));
            let body =
                json!({"name": name, "per_second": 1000.0, "at_once": 64, "stop_after": 1000})
                    .to_string();
            let path = "/v1/undeliverable-batches";
            if api.send("POST", path, &[JSON], &body).status == 201 {
                api.send(
                    "POST",
                    &format!("{path}/{name}/run"),
                    &[("if-match", "*")],
                    "",
                );
            }
        }
        thread::sleep(Duration::from_millis(300));
        if round < 6 {
            bed.test_bed.kill();
            bed.test_bed.start();
        }
        thread::sleep(Duration::from_millis(700));
        round += 1;
    }
    let records = bed.all("");
    for id in &ids {
        assert_eq!(ledger.applied_count(id), 1, "{id}: {:?}", records.get(id));
        if let Some(record) = records.get(id) {
            assert!(["delivered", "applied-before"]
                .contains(&record["state"].as_str().expect("a state")));
        }
    }
    eprintln!(
        "{} of {count} payouts were given up; all were applied once, after {round} rounds",
        records.len()
    );
}

/// Measures how much a batch delays live messages:
/// `cargo test --release -p relay --test undeliverable live -- --ignored --nocapture`.
/// Needs an idle machine and takes half a minute.
#[test]
#[ignore = "a measurement, which wants the cores to itself"]
fn live_messages_are_not_slowed_by_a_batch() {
    let ledger = Ledger::new();
    // The host answers live messages after 20 ms, and later the resends too.
    let host = Host::new(|seen, _| match seen.body.as_slice() {
        b"live" => HostResponse::Delayed(20, ok_text()),
        _ => HostResponse::Close,
    });
    let mut bed = UndeliverableTestBed::new(up(&host), &ledger, "", 20_000);
    let good = Good::traffic(&bed.test_bed);
    let given_up = 330;
    host.script(|seen, _| match seen.body.as_slice() {
        b"live" => HostResponse::Delayed(20, ok_text()),
        b"good" => ok(),
        _ => HostResponse::Close,
    });
    let mut client = bed.test_bed.client();
    for _ in 0..given_up {
        let id = bed.test_bed.id();
        client.send(&request(&id, "payout", 1, 50_000, b"payout"));
        assert_eq!(client.line(), "+OK");
        // Their rate is low compared with the successful messages, so that the circuit breaker stays closed.
        thread::sleep(Duration::from_millis(40));
    }
    wait_until("all to be recorded", || {
        (bed.all("").len() >= given_up).then_some(())
    });
    host.script(|_, _| HostResponse::Delayed(20, ok_text()));
    drop(good);
    thread::sleep(Duration::from_secs(3));
    // The time from submission to the call at the host, for messages 15 ms apart.
    let measure = |first: usize| {
        let mut client = bed.test_bed.client();
        let mut sent = Vec::new();
        for n in 0..700 {
            let id = format!("l{:06}", first + n);
            sent.push((id.clone(), std::time::Instant::now()));
            client.send(&request(&id, "update", 1, 20_000, b"live"));
            assert_eq!(client.line(), "+OK");
            thread::sleep(Duration::from_millis(15));
        }
        let seen: BTreeMap<String, std::time::Instant> = wait_until("all calls", || {
            let seen: BTreeMap<_, _> = host
                .calls()
                .into_iter()
                .map(|seen| (seen.id, seen.at))
                .collect();
            sent.iter()
                .all(|(id, _)| seen.contains_key(id))
                .then_some(seen)
        });
        let mut times: Vec<u128> = sent
            .iter()
            .map(|(id, at)| seen[id].saturating_duration_since(*at).as_micros())
            .collect();
        times.sort_unstable();
        (times[times.len() / 2], times[times.len() * 99 / 100])
    };
    let mut rows = Vec::new();
    for round in 0..3 {
        let without = measure(round * 10_000);
        let name = format!("b{round}");
        let body =
            json!({"name": name, "per_second": 8.0, "at_once": 2, "stop_after": 1000}).to_string();
        let path = "/v1/undeliverable-batches";
        assert_eq!(bed.api.send("POST", path, &[JSON], &body).status, 201);
        bed.api.send(
            "POST",
            &format!("{path}/{name}/run"),
            &[("if-match", "*")],
            "",
        );
        let with = measure(round * 10_000 + 5_000);
        let batch = bed
            .api
            .send(
                "POST",
                &format!("{path}/{name}/cancel"),
                &[("if-match", "*")],
                "",
            )
            .body;
        assert!(
            batch["sent"].as_u64() > Some(50),
            "too few resends: {batch}"
        );
        println!(
            "µs p50, p99 without a batch {without:?}, with one {with:?}, {} sent",
            batch["sent"]
        );
        rows.push((without.1, with.1));
    }
    rows.sort_by_key(|(without, with)| with * 1000 / without.max(&1));
    let (without, with) = rows[1];
    // A resend starts a round of its own, and the next round follows one tick of 5 ms later.
    assert!(
        with <= without + 5_000,
        "p99 {without} µs without a batch, {with} µs with one"
    );
}
