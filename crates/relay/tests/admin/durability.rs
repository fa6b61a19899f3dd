//! Answered changes are durable: versions, idempotency keys, restarts and corrupt replicas.

use super::*;

/// Of concurrent changes to one version exactly one succeeds, and the audit log names the author of each change.
#[test]
fn exactly_one_of_200_concurrent_changes_succeeds_per_version() {
    let (mut test_bed, address) =
        new_with_tenants(Vec::new(), "import = false", "connections = 256");
    test_bed.start();
    let api = Api::new(&address, Some(&token("root")));
    assert_eq!(api.create("acme", json!({})).status, 201);
    let won = Arc::new(Mutex::new(BTreeMap::new()));
    let lost = Arc::new(Mutex::new(0));
    let threads: Vec<_> = (0..20)
        .map(|thread| {
            let (api, won, lost) = (api.clone(), won.clone(), lost.clone());
            thread::spawn(move || {
                for turn in 0..10u32 {
                    let weight = 1000 + thread * 10 + turn;
                    // Each change is retried until it succeeds.
                    loop {
                        let tag = api.get("/v1/tenants/acme").tag().to_string();
                        let answer = api
                            .patch("acme", &tag, json!({"weight": weight}))
                            .expect("an answer");
                        match answer.status {
                            200 => {
                                let other =
                                    won.lock().unwrap().insert(answer.tag().to_string(), weight);
                                assert_eq!(other, None, "two changes succeeded at {tag}");
                                break;
                            }
                            412 => *lost.lock().unwrap() += 1,
                            other => panic!("{other}"),
                        }
                    }
                }
            })
        })
        .collect();
    threads
        .into_iter()
        .for_each(|thread| thread.join().expect("done"));
    let won = won.lock().unwrap();
    println!("200 won, {} came too late", lost.lock().unwrap());
    assert_eq!(won.len(), 200);
    assert_eq!(api.get("/v1/tenants/acme").tag(), "\"1.201\"");
    let mut told = BTreeMap::new();
    let mut cursor = String::new();
    loop {
        let page = api.get(&format!("/v1/audit?limit=90{cursor}")).body;
        for entry in page["items"]
            .as_array()
            .expect("a list")
            .iter()
            .filter(|e| e["action"] == "changed")
        {
            let weight = entry["to"]["spec"]["weight"].as_u64().expect("a weight") as u32;
            told.insert(
                format!(
                    "\"{}\"",
                    entry["to"]["version"].as_str().expect("a version")
                ),
                weight,
            );
        }
        let Some(next) = page["next"].as_str() else {
            break;
        };
        cursor = format!("&cursor={next}");
    }
    assert_eq!(told, *won);
}

/// A change answered with 2xx persists after a restart; an unanswered change is applied completely or not at all.
#[test]
fn acknowledged_changes_survive_sigkill() {
    let (mut test_bed, api) = started(Vec::new(), "import = false");
    for n in 0..4 {
        assert_eq!(
            api.create(&format!("t{n}"), json!({"weight": 1})).status,
            201
        );
    }
    for round in 0..6u32 {
        let stop = Arc::new(AtomicBool::new(false));
        // Per tenant: the last answered change, and the unanswered one.
        let threads: Vec<_> = (0..4u32)
            .map(|n| {
                let (api, stop) = (api.clone(), stop.clone());
                thread::spawn(move || {
                    let name = format!("t{n}");
                    let (mut answered, mut weight) = (None, 1 + round * 1000);
                    while !stop.load(Ordering::SeqCst) {
                        weight += 1;
                        let Some(answer) = api.patch(&name, "*", json!({"weight": weight})) else {
                            break;
                        };
                        assert_eq!(answer.status, 200, "{answer:?}");
                        answered = Some((answer.tag().to_string(), weight));
                    }
                    (name, answered, weight)
                })
            })
            .collect();
        thread::sleep(Duration::from_millis(60 + u64::from(round) * 37));
        test_bed.kill();
        stop.store(true, Ordering::SeqCst);
        let done: Vec<_> = threads
            .into_iter()
            .map(|thread| thread.join().expect("done"))
            .collect();
        test_bed.start();
        for (name, answered, last) in done {
            let shown = api.get(&format!("/v1/tenants/{name}"));
            let weight = shown.body["spec"]["weight"].as_u64().expect("a weight") as u32;
            let Some((tag, kept)) = answered else {
                continue;
            };
            let revision = |tag: &str| {
                tag.trim_matches('"')[2..]
                    .parse::<u64>()
                    .expect("a revision")
            };
            match weight {
                _ if weight == kept => assert_eq!(shown.tag(), tag),
                _ => assert_eq!(
                    (weight, revision(shown.tag())),
                    (last, revision(&tag) + 1),
                    "{name}"
                ),
            }
        }
    }
    // The audit log contains each change exactly once.
    let text = fs::read_to_string(test_bed.folder.join("tenants/audit.jsonl")).expect("a log");
    let numbers: Vec<u64> = text
        .lines()
        .map(|line| {
            serde_json::from_str::<Value>(line).expect("JSON")["seq"]
                .as_u64()
                .expect("a number")
        })
        .collect();
    assert_eq!(numbers, (1..=numbers.len() as u64).collect::<Vec<_>>());
    assert_eq!(api.get("/v1/status").body["changes"], numbers.len());
}

#[test]
fn request_repeated_with_idempotency_key_is_executed_once_across_sigkill() {
    let (mut test_bed, api) = started(Vec::new(), "import = false");
    let headers = [
        ("content-type", "application/json"),
        ("idempotency-key", "k-1"),
    ];
    let body = json!({"name": "acme", "spec": {"weight": 5}}).to_string();
    let first = api.send("POST", "/v1/tenants", &headers, &body);
    assert_eq!(
        (first.status, first.headers.get("idempotent-replayed")),
        (201, None)
    );
    assert_eq!(api.change("POST", "acme/pause").status, 200);
    test_bed.kill();
    test_bed.start();
    let again = api.send("POST", "/v1/tenants", &headers, &body);
    assert_eq!((again.status, again.tag()), (201, first.tag()));
    assert_eq!(again.headers["idempotent-replayed"], "true");
    assert_eq!(again.body, first.body);
    let other = json!({"name": "beta"}).to_string();
    assert_eq!(
        api.send("POST", "/v1/tenants", &headers, &other).status,
        422
    );
    assert_eq!(api.get("/v1/tenants/acme").body["state"], "paused");
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario from start to end")]
fn corrupt_registry_replica_is_repaired_and_lost_changes_are_reported() {
    let (mut test_bed, api) = started(Vec::new(), "import = false");
    for n in 0..3 {
        assert_eq!(
            api.create(&format!("t{n}"), json!({"weight": 10 + n}))
                .status,
            201
        );
    }
    let (leader, follower) = (
        test_bed.folder.join("tenants/tenants.a"),
        test_bed.folder.join("tenants/tenants.b"),
    );
    let weights = |api: &Api| -> Vec<u64> {
        let list = api.get("/v1/tenants").body["items"]
            .as_array()
            .cloned()
            .expect("a list");
        list.iter()
            .filter_map(|tenant| tenant["spec"]["weight"].as_u64())
            .collect()
    };
    let corrupt = |path: &std::path::Path, at: usize| {
        let mut text = fs::read(path).expect("a file");
        let at = at % text.len();
        text[at] ^= 0x10;
        fs::write(path, text).expect("written");
    };
    // One replica is corrupt, truncated, missing, or has an incomplete replacement beside it.
    for turn in 0..5 {
        test_bed.kill();
        match turn {
            0 => corrupt(&leader, 40),
            1 => corrupt(&follower, 300),
            2 => fs::write(&leader, &fs::read(&leader).expect("a file")[..100]).expect("written"),
            3 => fs::remove_file(&leader).expect("removed"),
            _ => fs::write(test_bed.folder.join("tenants/tenants.a.new"), "half").expect("written"),
        }
        test_bed.start();
        assert_eq!(weights(&api), [10, 11, 12], "turn {turn}");
        assert_eq!(api.get("/v1/status").body["lost_changes"], 0);
    }
    // The same change is corrupt in both replicas: the loss is reported, and all other changes are served.
    assert_eq!(
        api.patch("t1", "*", json!({"weight": 99}))
            .expect("an answer")
            .status,
        200
    );
    assert_eq!(
        api.patch("t2", "*", json!({"weight": 77}))
            .expect("an answer")
            .status,
        200
    );
    test_bed.kill();
    for path in [&leader, &follower] {
        let mut text = fs::read(path).expect("a file");
        let lines: Vec<usize> = text
            .iter()
            .enumerate()
            .filter(|(_, byte)| **byte == b'\n')
            .map(|(at, _)| at)
            .collect();
        let last_but_one = lines[lines.len() - 2];
        text[last_but_one - 20] ^= 1;
        fs::write(path, text).expect("written");
    }
    test_bed.start();
    assert_eq!(weights(&api), [10, 11, 77]);
    assert_eq!(api.get("/v1/status").body["lost_changes"], 1);
    assert!(
        test_bed.log().contains("tenants: changes_lost changes=1\n"),
        "{}",
        test_bed.log()
    );
    // Both replicas lack their last change: the audit log shows the loss.
    assert_eq!(
        api.patch("t0", "*", json!({"weight": 44}))
            .expect("an answer")
            .status,
        200
    );
    test_bed.kill();
    for path in [&leader, &follower] {
        let text = fs::read(path).expect("a file");
        let last = text[..text.len() - 1]
            .iter()
            .rposition(|byte| *byte == b'\n')
            .expect("lines")
            + 1;
        fs::write(path, &text[..last]).expect("written");
    }
    test_bed.start();
    assert_eq!(api.get("/v1/status").body["lost_changes"], 2);
    assert!(
        test_bed
            .log()
            .contains("tenants: trailing_changes_lost changes=1\n"),
        "{}",
        test_bed.log()
    );
    // No sequence number is used twice.
    assert_eq!(
        api.patch("t0", "*", json!({"weight": 55}))
            .expect("an answer")
            .status,
        200
    );
    assert_eq!(api.get("/v1/audit?limit=1").body["items"][0]["seq"], 7);
    // The next process reports the loss too, as the replicas record it.
    test_bed.kill();
    test_bed.start();
    assert_eq!(api.get("/v1/status").body["lost_changes"], 2);
}
