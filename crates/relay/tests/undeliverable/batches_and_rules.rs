//! Resends by batches of an operator and by automatic rules.

use super::*;

#[test]
fn batch_counts_first_keeps_its_rate_and_stops_after_failures() {
    let ledger = Ledger::new();
    let host = Host::new(|_, _| HostResponse::Close);
    let mut bed = UndeliverableTestBed::new(up(&host), &ledger, "at_once = 8", 100);
    host.script(only_good);
    let _good = Good::traffic(&bed.test_bed);
    thread::sleep(Duration::from_millis(300));
    let mut all = BTreeMap::new();
    for _ in 0..20 {
        all = bed.given_up("payout", 1);
    }
    let plan = |name: &str, stop: u32| {
        let body = json!({"name": name, "filter": {"class": "payout"}, "per_second": 200.0, "at_once": 2,
            "stop_after": stop});
        bed.api.send(
            "POST",
            "/v1/undeliverable-batches",
            &[JSON],
            &body.to_string(),
        )
    };
    let planned = plan("night", 3);
    assert_eq!(
        (planned.status, planned.body["state"].as_str()),
        (201, Some("planned"))
    );
    assert_eq!(
        (
            planned.body["found"].as_u64(),
            planned.body["needs"]["needs-word"].as_u64()
        ),
        (Some(20), Some(20))
    );
    assert_eq!(plan("night", 3).status, 409);
    let bad = || {
        host.calls()
            .iter()
            .filter(|seen| seen.body != b"good")
            .count()
    };
    let calls = bad();
    thread::sleep(Duration::from_millis(200));
    assert_eq!(bad(), calls, "a planned batch sent a message");
    let order = |name: &str, order: &str| {
        let path = format!("/v1/undeliverable-batches/{name}/{order}");
        bed.api.send("POST", &path, &[("if-match", "*")], "")
    };
    let state = |name: &str| {
        bed.api
            .get(&format!("/v1/undeliverable-batches/{name}"))
            .body
    };
    assert_eq!(order("night", "run").status, 200);
    // The host still fails: three failures stop the batch.
    let stopped = wait_until("the batch to stop", || {
        Some(state("night")).filter(|batch| batch["state"] == "stopped")
    });
    assert!(
        (3..=5).contains(&stopped["failed"].as_u64().expect("a count")),
        "{stopped}"
    );
    host.script({
        let book = ledger.clone();
        move |seen, _| {
            book.apply(&seen.id);
            ok()
        }
    });
    assert_eq!(order("night", "pause").status, 200);
    assert_eq!(order("night", "run").status, 200);
    let done = wait_until("the batch to end", || {
        Some(state("night")).filter(|batch| batch["state"] == "done")
    });
    assert_eq!(order("night", "run").status, 409);
    // Records that failed in the batch are still open, and another batch resends them.
    assert!(plan("rest", 5).status == 201 && order("rest", "run").status == 200);
    wait_until("the second batch to end", || {
        Some(state("rest")).filter(|batch| batch["state"] == "done")
    });
    let records = bed.all("");
    for name in all.keys() {
        assert_eq!(
            (ledger.applied_count(name), records[name]["state"].as_str()),
            (1, Some("delivered")),
            "{name} {done}"
        );
    }
}

#[test]
fn rules_resend_automatically_after_partner_recovers() {
    let ledger = Ledger::new();
    let host = Host::new(|_, _| HostResponse::Close);
    let rule =
        "at_once = 8\n[[undeliverable.rules]]\nname = \"back\"\nwhen = \"recovered\"\nper_minute = 6000\n";
    let mut bed = UndeliverableTestBed::new(up(&host), &ledger, rule, 100);
    let all = bed.given_up("payout", 5);
    host.script({
        let book = ledger.clone();
        move |seen, _| {
            book.apply(&seen.id);
            ok()
        }
    });
    // Live messages show that the host has recovered.
    wait_until("all to be delivered", || {
        bed.test_bed.enqueue("update", 1);
        thread::sleep(Duration::from_millis(50));
        let records = bed.all("&state=delivered");
        all.keys()
            .all(|name| records.contains_key(name))
            .then_some(())
    });
    assert!(all.keys().all(|name| ledger.applied_count(name) == 1));
}
