//! Tenants are created, changed, paused and removed while messages flow.

use super::*;

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario from start to end")]
fn tenant_is_created_read_changed_listed_and_removed() {
    let host = Host::new(|_, _| ok());
    let (mut test_bed, api) = started(vec![up("a", &host, 1)], "import = false");
    assert!(test_bed
        .enqueue_for("acme", "update", 1, 9000)
        .1
        .starts_with("-ERR unknown tenant"));
    let made = api.create("acme", json!({"weight": 7}));
    assert_eq!((made.status, made.tag()), (201, "\"1.1\""));
    assert_eq!(made.headers["location"], "/v1/tenants/acme");
    assert_eq!(
        made.body["spec"],
        json!({"weight": 7, "on_removal": "finish"})
    );
    assert_eq!(api.create("acme", json!({})).status, 409);
    let (id, answer) = test_bed.enqueue_for("acme", "update", 1, 9000);
    assert_eq!(answer, "+OK");
    wait_until("the call", || host.calls_of(&id).first().cloned());
    let shown = api.get("/v1/tenants/acme");
    assert_eq!(
        (shown.status, shown.body["state"].as_str()),
        (200, Some("active"))
    );
    let unchanged = api.send(
        "GET",
        "/v1/tenants/acme",
        &[("if-none-match", "\"1.1\"")],
        "",
    );
    assert_eq!(unchanged.status, 304);
    let patched = api
        .patch("acme", "\"1.1\"", json!({"max_held": 5, "weight": null}))
        .expect("an answer");
    assert_eq!((patched.status, patched.tag()), (200, "\"1.2\""));
    assert_eq!(
        patched.body["spec"],
        json!({"weight": 100, "max_held": 5, "on_removal": "finish"})
    );
    let put = json!({"spec": {"weight": 3}}).to_string();
    let kind = ("content-type", "application/json");
    let replaced = api.send(
        "PUT",
        "/v1/tenants/acme",
        &[kind, ("if-match", "\"1.2\"")],
        &put,
    );
    assert_eq!(
        replaced.body["spec"],
        json!({"weight": 3, "on_removal": "finish"})
    );
    let by_put = api.send(
        "PUT",
        "/v1/tenants/beta",
        &[kind, ("if-none-match", "*")],
        &put,
    );
    assert_eq!(by_put.status, 201);
    for n in 0..5 {
        assert_eq!(api.create(&format!("t{n}"), json!({})).status, 201);
    }
    let mut names = Vec::new();
    let mut cursor = String::new();
    loop {
        let page = api.get(&format!("/v1/tenants?limit=3{cursor}"));
        names.extend(
            page.body["items"]
                .as_array()
                .expect("a list")
                .iter()
                .map(|t| t["name"].to_string()),
        );
        let Some(next) = page.body["next"].as_str() else {
            break;
        };
        cursor = format!("&cursor={next}");
    }
    assert_eq!(names.join(""), r#""acme""beta""t0""t1""t2""t3""t4""#);
    let usage = wait_until("the delivery to be counted", || {
        Some(api.usage("acme")).filter(|usage| usage["delivered"] == 1 && usage["held"] == 0)
    });
    assert_eq!(usage["taken"].as_u64(), Some(1));
    let removed = api.send(
        "DELETE",
        "/v1/tenants/acme",
        &[("if-match", replaced.tag())],
        "",
    );
    assert_eq!(
        (removed.status, removed.body["state"].as_str()),
        (202, Some("draining"))
    );
    wait_until("the tenant to be gone", || {
        (api.get("/v1/tenants/acme").status == 410).then_some(())
    });
    assert!(test_bed
        .enqueue_for("acme", "update", 1, 9000)
        .1
        .starts_with("-ERR"));
    let audit = api.get("/v1/audit?tenant=acme").body;
    let actions: Vec<&str> = audit["items"]
        .as_array()
        .expect("a list")
        .iter()
        .filter_map(|e| e["action"].as_str())
        .collect();
    assert_eq!(
        actions,
        ["gone", "removed", "changed", "changed", "created"]
    );
    let change = &audit["items"][3];
    assert_eq!(
        (change["actor"].as_str(), change["role"].as_str()),
        (Some("root"), Some("admin"))
    );
    assert_eq!(
        (
            &change["from"]["spec"]["weight"],
            &change["to"]["spec"]["weight"]
        ),
        (&json!(7), &json!(100))
    );
    // The audit file contains the same entries, one per line.
    let text = fs::read_to_string(test_bed.folder.join("tenants/audit.jsonl")).expect("a log");
    let lines: Vec<Value> = text
        .lines()
        .map(|line| serde_json::from_str(line).expect("JSON"))
        .collect();
    let numbers: Vec<u64> = lines
        .iter()
        .filter_map(|line| line["seq"].as_u64())
        .collect();
    assert_eq!(numbers, (1..=numbers.len() as u64).collect::<Vec<_>>());
    assert!(lines.iter().any(|line| line == change));
}

#[test]
fn messages_of_paused_tenant_wait_until_their_deadline() {
    let host = Host::new(|_, _| status("503 Busy"));
    let (mut test_bed, api) = started(vec![up("a", &host, 1)], "");
    let (short, _) = test_bed.enqueue_for("acme", "update", 1, 1500);
    let (long, _) = test_bed.enqueue_for("acme", "payout", 1, 30_000);
    wait_until("both to be held", || {
        (api.usage("acme")["held"] == 2).then_some(())
    });
    assert_eq!(api.change("POST", "acme/pause").status, 200);
    // A call that began before the pause is answered by the script set when it reaches the host.
    wait_until("the calls to complete", || {
        (api.usage("acme")["in_flight"] == 0).then_some(())
    });
    host.script(|_, _| ok());
    assert!(test_bed
        .enqueue_for("acme", "update", 1, 9000)
        .1
        .starts_with("-BUSY"));
    let notice = wait_until("the notice of the expired message", || {
        test_bed.discovery.notice_for(&short)
    });
    assert_eq!(notice["status"], "deferred");
    let calls = host.calls().len();
    thread::sleep(Duration::from_millis(300));
    assert_eq!(host.calls().len(), calls);
    assert_eq!(api.change("POST", "acme/resume").status, 200);
    wait_until("a call of the payout", || {
        host.calls_of(&long)
            .iter()
            .any(|call| call.at.elapsed().as_secs() < 5)
            .then_some(())
    });
    wait_until("its delivery", || {
        (api.usage("acme")["delivered"] == 1).then_some(())
    });
    assert_eq!(test_bed.enqueue_for("acme", "update", 1, 9000).1, "+OK");
}

/// The calls in flight of a removed tenant complete, its held messages end as its specification says, and each message
/// ends exactly once. A tenant created with the same name meanwhile is a separate tenant.
#[test]
fn messages_of_tenant_removed_during_attempts_end_exactly_once() {
    for how in ["finish", "refuse"] {
        // One call is answered late; the others are rejected by the destination.
        let host = Host::new(|seen, _| match seen.id.as_str() {
            "m0001" => HostResponse::Delayed(1500, ok_text()),
            _ => status("503 Busy"),
        });
        let (mut test_bed, api) = started(vec![up("a", &host, 1)], "");
        let mut ids = Vec::new();
        for _ in 0..4 {
            let (id, answer) = test_bed.enqueue_for("acme", "payout", 1, 20_000);
            assert_eq!(answer, "+OK");
            ids.push(id);
        }
        wait_until("the calls", || {
            (host.calls_of("m0001").len() == 1 && host.calls().len() > 1).then_some(())
        });
        let removed = api.change("DELETE", &format!("acme?on_removal={how}"));
        assert_eq!(removed.status, 202);
        assert!(test_bed
            .enqueue_for("acme", "payout", 1, 9000)
            .1
            .starts_with("-ERR the tenant is being removed"));
        // Notices are sent while the tenant drains. A new tenant of this name is created before the old one is gone,
        // and its messages are accepted.
        let anew = api.create("acme", json!({"weight": 9}));
        assert_eq!((anew.status, anew.tag()), (201, "\"2.1\""));
        assert_eq!(
            anew.body["draining"],
            json!([removed.tag().trim_matches('"')])
        );
        if how == "finish" {
            host.script(|_, _| ok());
        }
        let (fresh, answer) = test_bed.enqueue_for("acme", "update", 1, 20_000);
        assert_eq!(answer, "+OK");
        if how == "refuse" {
            for id in &ids[1..] {
                let notice = wait_until("the notice of a held message", || {
                    test_bed.discovery.notice_for(id)
                });
                assert_eq!(notice["status"], "deferred");
            }
            host.script(|_, _| ok());
        }
        wait_until("the new tenant's call", || {
            host.calls_of(&fresh).first().cloned()
        });
        wait_until("the old tenant to be gone", || {
            (api.get("/v1/tenants/acme").body["draining"] == json!([])).then_some(())
        });
        // Each message has one delivery or one notice, and a payout has one call that may have run.
        for id in &ids {
            let notices = test_bed
                .discovery
                .notices
                .lock()
                .unwrap()
                .iter()
                .filter(|n| n["id"] == *id)
                .count();
            let delivered = how == "finish" || id == "m0001";
            assert_eq!(notices, usize::from(!delivered), "{how} {id}");
        }
        assert_eq!(host.calls_of("m0001").len(), 1);
        let audit = api.get("/v1/audit?tenant=acme").body;
        let actions: Vec<&str> = audit["items"]
            .as_array()
            .expect("a list")
            .iter()
            .filter_map(|e| e["action"].as_str())
            .collect();
        assert_eq!(actions, ["gone", "created", "removed", "created"]);
        assert_eq!(api.usage("acme")["version"], "2.1");
    }
}

#[test]
fn tenant_removal_continues_after_restart() {
    let host = Host::new(|_, _| HostResponse::Hang);
    let (mut test_bed, api) = started(vec![up("a", &host, 1)], "");
    let (id, _) = test_bed.enqueue_for("acme", "update", 1, 20_000);
    wait_until("the call", || host.calls_of(&id).first().cloned());
    assert_eq!(api.change("DELETE", "acme").status, 202);
    assert_eq!(api.create("acme", json!({})).status, 201);
    test_bed.kill();
    host.script(|_, _| ok());
    test_bed.start();
    assert_eq!(api.get("/v1/tenants/acme").body["version"], "2.1");
    wait_until("another call", || host.calls_of(&id).get(1).cloned());
    wait_until("the old tenant to be gone", || {
        (api.get("/v1/tenants/acme").body["draining"] == json!([])).then_some(())
    });
    assert_eq!(api.usage("acme")["owed"], 0);
}

#[test]
fn tenant_classes_destinations_rates_and_caps_are_enforced() {
    let host = Host::new(|_, _| HostResponse::Hang);
    let (mut test_bed, api) = started(vec![up("a", &host, 1), up("b", &host, 2)], "");
    let patch =
        |spec: Value| assert_eq!(api.patch("acme", "*", spec).expect("an answer").status, 200);
    patch(json!({"classes": ["update"], "destinations": ["1"]}));
    assert!(test_bed
        .enqueue_for("acme", "payout", 1, 9000)
        .1
        .starts_with("-ERR the tenant may not hand in"));
    assert!(test_bed
        .enqueue_for("acme", "update", 2, 9000)
        .1
        .starts_with("-ERR the tenant may not send"));
    assert_eq!(test_bed.enqueue_for("acme", "update", 1, 60_000).1, "+OK");
    assert_eq!(api.usage("acme")["rejected"], 2);
    patch(json!({"rate": {"per_second": 0.5, "burst": 2}}));
    let answers: Vec<String> = (0..4)
        .map(|_| test_bed.enqueue_for("acme", "update", 1, 60_000).1)
        .collect();
    assert_eq!(answers[..2], ["+OK", "+OK"]);
    // The Retry-After is the time after which the rate admits the next message.
    let wait: u64 = answers[2]
        .strip_prefix("-BUSY ")
        .expect("a wait")
        .parse()
        .expect("milliseconds");
    assert!((1..=2000).contains(&wait), "{answers:?}");
    patch(json!({"rate": null, "max_held": 3}));
    assert!(test_bed
        .enqueue_for("acme", "update", 1, 60_000)
        .1
        .starts_with("-BUSY"));
    patch(json!({"max_held": null, "max_in_flight": 1}));
    for _ in 0..3 {
        assert_eq!(test_bed.enqueue_for("acme", "update", 1, 60_000).1, "+OK");
    }
    let usage = api.usage("acme");
    assert_eq!(
        (usage["held"].as_u64(), usage["taken"].as_u64()),
        (Some(6), Some(6))
    );
    assert!(usage["in_flight"].as_u64() <= Some(3), "{usage}");
    assert_eq!(usage["refused"], 3);
}
