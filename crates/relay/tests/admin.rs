//! Tenants and the administration API: what it answers, and what holds over anything that goes wrong meanwhile.

mod api;
mod scene;

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use api::*;
use scene::*;
use serde_json::{json, Value};

fn up(name: &str, host: &Host, block: u16) -> Value {
    entry(name, host.address, block, "up")
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario from start to end")]
fn a_tenant_is_made_shown_changed_listed_and_removed() {
    let host = Host::new(|_, _| ok());
    let (mut scene, api) = started(vec![up("a", &host, 1)], "import = false");
    assert!(scene
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
    let (id, answer) = scene.enqueue_for("acme", "update", 1, 9000);
    assert_eq!(answer, "+OK");
    until("the call", || host.calls_of(&id).first().cloned());
    let shown = api.get("/v1/tenants/acme");
    assert_eq!(
        (shown.status, shown.body["state"].as_str()),
        (200, Some("active"))
    );
    let unchanged = api.ask(
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
    let replaced = api.ask(
        "PUT",
        "/v1/tenants/acme",
        &[kind, ("if-match", "\"1.2\"")],
        &put,
    );
    assert_eq!(
        replaced.body["spec"],
        json!({"weight": 3, "on_removal": "finish"})
    );
    let by_put = api.ask(
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
    let usage = until("the delivery to be counted", || {
        Some(api.usage("acme")).filter(|usage| usage["delivered"] == 1 && usage["held"] == 0)
    });
    assert_eq!(usage["taken"].as_u64(), Some(1));
    let removed = api.ask(
        "DELETE",
        "/v1/tenants/acme",
        &[("if-match", replaced.tag())],
        "",
    );
    assert_eq!(
        (removed.status, removed.body["state"].as_str()),
        (202, Some("draining"))
    );
    until("it to be gone", || {
        (api.get("/v1/tenants/acme").status == 410).then_some(())
    });
    assert!(scene
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
    // The same stands in the file, a line each.
    let text = fs::read_to_string(scene.folder.join("tenants/audit.jsonl")).expect("a log");
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
#[expect(clippy::too_many_lines, reason = "one scenario from start to end")]
fn invalid_request_is_answered_with_a_problem_and_changes_nothing() {
    let (_scene, api) = started(Vec::new(), "import = false");
    assert_eq!(api.create("acme", json!({})).status, 201);
    let json_body = ("content-type", "application/json");
    let any = ("if-match", "*");
    let large = format!("{{\"spec\":{{\"classes\":[{:?}]}}}}", "x".repeat(70_000));
    let long = "k".repeat(200);
    type Case<'a> = (
        &'a str,
        &'a str,
        &'a [(&'a str, &'a str)],
        &'a str,
        u16,
        &'a str,
    );
    let cases: &[Case<'_>] = &[
        ("GET", "/v1/tenants/none", &[], "", 404, "no-such-tenant"),
        ("GET", "/v1/nothing", &[], "", 404, "no-such-path"),
        ("DELETE", "/v1/tenants", &[], "", 405, "no-such-method"),
        (
            "GET",
            "/v1/tenants?limit=0",
            &[],
            "",
            400,
            "malformed-request",
        ),
        (
            "GET",
            "/v1/tenants?limit=201",
            &[],
            "",
            400,
            "malformed-request",
        ),
        (
            "GET",
            "/v1/tenants?cursor=%21",
            &[],
            "",
            400,
            "malformed-request",
        ),
        (
            "GET",
            "/v1/tenants?colour=red",
            &[],
            "",
            400,
            "malformed-request",
        ),
        (
            "GET",
            "/v1/audit?cursor=djE6eA",
            &[],
            "",
            400,
            "malformed-request",
        ),
        (
            "POST",
            "/v1/tenants",
            &[],
            "{}",
            415,
            "unsupported-media-type",
        ),
        (
            "POST",
            "/v1/tenants",
            &[json_body],
            "{",
            400,
            "malformed-request",
        ),
        (
            "POST",
            "/v1/tenants",
            &[json_body],
            "[\"a\",{}]",
            400,
            "malformed-request",
        ),
        (
            "POST",
            "/v1/tenants",
            &[json_body],
            "{\"name\":\"a\",\"colour\":1}",
            422,
            "invalid-value",
        ),
        (
            "POST",
            "/v1/tenants",
            &[json_body],
            "{\"name\":\"a b\"}",
            422,
            "invalid-value",
        ),
        (
            "POST",
            "/v1/tenants",
            &[json_body],
            "{\"name\":\"a\",\"spec\":{\"weight\":0}}",
            422,
            "invalid-value",
        ),
        (
            "POST",
            "/v1/tenants",
            &[json_body],
            "{\"name\":\"a\",\"spec\":{\"classes\":[\"x\"]}}",
            422,
            "invalid-value",
        ),
        (
            "POST",
            "/v1/tenants",
            &[json_body, ("idempotency-key", &long)],
            "{\"name\":\"a\"}",
            400,
            "malformed-request",
        ),
        (
            "PUT",
            "/v1/tenants/acme",
            &[json_body],
            "{\"spec\":{}}",
            428,
            "precondition-required",
        ),
        (
            "PUT",
            "/v1/tenants/acme",
            &[json_body, any],
            "{}",
            422,
            "invalid-value",
        ),
        (
            "PUT",
            "/v1/tenants/acme",
            &[json_body, any],
            &large,
            413,
            "unreadable-body",
        ),
        (
            "PUT",
            "/v1/tenants/acme",
            &[json_body, ("if-none-match", "*")],
            "{\"spec\":{}}",
            409,
            "tenant-exists",
        ),
        (
            "PATCH",
            "/v1/tenants/acme",
            &[json_body],
            "{\"spec\":{}}",
            428,
            "precondition-required",
        ),
        (
            "PATCH",
            "/v1/tenants/acme",
            &[json_body, ("if-match", "1.1")],
            "{\"spec\":{}}",
            400,
            "malformed-request",
        ),
        (
            "PATCH",
            "/v1/tenants/acme",
            &[json_body, ("if-match", "\"1.9\"")],
            "{\"spec\":{}}",
            412,
            "stale-version",
        ),
        (
            "PATCH",
            "/v1/tenants/acme",
            &[json_body, ("if-match", "W/\"1.1\"")],
            "{\"spec\":{}}",
            412,
            "stale-version",
        ),
        (
            "PATCH",
            "/v1/tenants/acme",
            &[json_body, any],
            "{\"spec\":[]}",
            422,
            "invalid-value",
        ),
        (
            "POST",
            "/v1/tenants/acme/pause",
            &[],
            "",
            428,
            "precondition-required",
        ),
        (
            "POST",
            "/v1/tenants/none/pause",
            &[any],
            "",
            404,
            "no-such-tenant",
        ),
        (
            "DELETE",
            "/v1/tenants/acme",
            &[],
            "",
            428,
            "precondition-required",
        ),
        (
            "DELETE",
            "/v1/tenants/acme?on_removal=burn",
            &[any],
            "",
            400,
            "malformed-request",
        ),
        (
            "POST",
            "/v1/tenants/acme/secrets",
            &[json_body, any],
            "{\"id\":\"a\",\"sha256\":\"0\"}",
            422,
            "invalid-value",
        ),
        (
            "DELETE",
            "/v1/tenants/acme/secrets/a",
            &[any],
            "",
            409,
            "secret",
        ),
    ];
    for (method, path, headers, body, status, kind) in cases {
        let answer = api.ask(method, path, headers, body);
        let context = format!("{method} {path} {body:.40} gives {answer:?}");
        assert_eq!(answer.status, *status, "{context}");
        assert_eq!(
            answer.headers["content-type"], "application/problem+json",
            "{context}"
        );
        assert_eq!(
            answer.body["type"],
            format!("urn:madderpitch:problem:{kind}"),
            "{context}"
        );
        assert_eq!(answer.body["status"], *status, "{context}");
        assert!(
            answer.body["detail"]
                .as_str()
                .is_some_and(|detail| !detail.is_empty()),
            "{context}"
        );
        if *status == 412 {
            assert_eq!(
                (&answer.body["current_version"], answer.tag()),
                (&json!("1.1"), "\"1.1\""),
                "{context}"
            );
        }
    }
    assert_eq!(api.get("/v1/tenants/acme").tag(), "\"1.1\"");
    assert_eq!(api.get("/v1/status").body["changes"], 1);
}

#[test]
fn tokens_open_what_their_role_and_scope_allow() {
    let (mut scene, address) = hosted(Vec::new(), "import = false", "");
    scene.start();
    let as_whom = |name: &str| Api::new(&address, Some(&token(name)));
    let (root, ops, eyes, team) = (
        as_whom("root"),
        as_whom("ops"),
        as_whom("eyes"),
        as_whom("team"),
    );
    for (api, status) in [
        (Api::new(&address, None), 401),
        (Api::new(&address, Some("wrong")), 401),
    ] {
        let answer = api.get("/v1/tenants");
        assert_eq!(
            (
                answer.status,
                answer.headers["www-authenticate"].to_str().ok()
            ),
            (status, Some("Bearer"))
        );
    }
    // The document is for all to read.
    assert_eq!(Api::new(&address, None).get("/v1/openapi.json").status, 200);
    assert_eq!(root.create("acme", json!({})).status, 201);
    assert_eq!(team.create("acme2", json!({})).status, 403);
    assert_eq!(team.create("team-a", json!({})).status, 201);
    assert_eq!(ops.create("other", json!({})).status, 403);
    let names = |api: &Api| {
        let list = api.get("/v1/tenants").body["items"]
            .as_array()
            .cloned()
            .unwrap_or_default();
        list.iter()
            .map(|t| t["name"].as_str().unwrap_or("").to_string())
            .collect::<Vec<_>>()
    };
    assert_eq!(names(&eyes), ["acme", "team-a"]);
    assert_eq!(names(&team), ["team-a"]);
    assert_eq!(team.get("/v1/tenants/acme").status, 403);
    assert_eq!(
        team.get("/v1/audit").body["items"].as_array().map(Vec::len),
        Some(1)
    );
    assert_eq!(eyes.get("/v1/audit").status, 403);
    assert_eq!(eyes.get("/v1/tenants/acme/usage").status, 200);
    assert_eq!(eyes.change("POST", "acme/pause").status, 403);
    assert_eq!(ops.change("POST", "acme/pause").status, 200);
    assert_eq!(ops.change("DELETE", "acme").status, 403);
    assert_eq!(ops.change("DELETE", "acme/secrets/x").status, 403);
    // A file that can't be used leaves the old one in force; a good one counts at once.
    let path = scene.folder.join("operator.toml");
    let good = fs::read_to_string(&path).expect("a file");
    let hangup = |scene: &Scene| scene.signal("-HUP");
    fs::write(&path, good.replace("[admin]", "[admin]\ncolour = 1")).expect("written");
    hangup(&scene);
    until("the word on the bad file", || {
        scene.log().contains("colour").then_some(())
    });
    assert_eq!(eyes.get("/v1/tenants").status, 200);
    let without = good.replace("name = \"eyes\"", "name = \"blind\"").replace(
        &tenancy::secret::Digest::of(token("eyes").as_bytes()).to_string(),
        &"0".repeat(64),
    );
    fs::write(&path, without).expect("written");
    hangup(&scene);
    until("the token to be refused", || {
        (eyes.get("/v1/tenants").status == 401).then_some(())
    });
    assert_eq!(root.get("/v1/tenants").status, 200);
}

/// Of all who change one version at once one wins, and the audit log tells each change with its author.
#[test]
fn of_200_concurrent_changes_one_wins_at_each_version() {
    let (mut scene, address) = hosted(Vec::new(), "import = false", "connections = 256");
    scene.start();
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
                    // Each comes again until it has won once.
                    loop {
                        let tag = api.get("/v1/tenants/acme").tag().to_string();
                        let answer = api
                            .patch("acme", &tag, json!({"weight": weight}))
                            .expect("an answer");
                        match answer.status {
                            200 => {
                                let other =
                                    won.lock().unwrap().insert(answer.tag().to_string(), weight);
                                assert_eq!(other, None, "two won at {tag}");
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

/// Answered 2xx, it holds after the restart; not answered, it is there whole or not at all.
#[test]
fn a_change_holds_over_sigkill_once_it_is_answered() {
    let (mut scene, api) = started(Vec::new(), "import = false");
    for n in 0..4 {
        assert_eq!(
            api.create(&format!("t{n}"), json!({"weight": 1})).status,
            201
        );
    }
    for round in 0..6u32 {
        let stop = Arc::new(AtomicBool::new(false));
        // By tenant: the last change that was answered, and the one that was not.
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
        scene.kill();
        stop.store(true, Ordering::SeqCst);
        let done: Vec<_> = threads
            .into_iter()
            .map(|thread| thread.join().expect("done"))
            .collect();
        scene.start();
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
    // Each change stands in the audit log, once.
    let text = fs::read_to_string(scene.folder.join("tenants/audit.jsonl")).expect("a log");
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
fn a_request_that_comes_again_with_its_key_is_done_once_also_over_sigkill() {
    let (mut scene, api) = started(Vec::new(), "import = false");
    let headers = [
        ("content-type", "application/json"),
        ("idempotency-key", "k-1"),
    ];
    let body = json!({"name": "acme", "spec": {"weight": 5}}).to_string();
    let first = api.ask("POST", "/v1/tenants", &headers, &body);
    assert_eq!(
        (first.status, first.headers.get("idempotent-replayed")),
        (201, None)
    );
    assert_eq!(api.change("POST", "acme/pause").status, 200);
    scene.kill();
    scene.start();
    let again = api.ask("POST", "/v1/tenants", &headers, &body);
    assert_eq!((again.status, again.tag()), (201, first.tag()));
    assert_eq!(again.headers["idempotent-replayed"], "true");
    assert_eq!(again.body, first.body);
    let other = json!({"name": "beta"}).to_string();
    assert_eq!(api.ask("POST", "/v1/tenants", &headers, &other).status, 422);
    assert_eq!(api.get("/v1/tenants/acme").body["state"], "paused");
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario from start to end")]
fn corrupt_registry_replica_is_repaired_and_lost_changes_are_reported() {
    let (mut scene, api) = started(Vec::new(), "import = false");
    for n in 0..3 {
        assert_eq!(
            api.create(&format!("t{n}"), json!({"weight": 10 + n}))
                .status,
            201
        );
    }
    let (leader, follower) = (
        scene.folder.join("tenants/tenants.a"),
        scene.folder.join("tenants/tenants.b"),
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
        scene.kill();
        match turn {
            0 => corrupt(&leader, 40),
            1 => corrupt(&follower, 300),
            2 => fs::write(&leader, &fs::read(&leader).expect("a file")[..100]).expect("written"),
            3 => fs::remove_file(&leader).expect("removed"),
            _ => fs::write(scene.folder.join("tenants/tenants.a.new"), "half").expect("written"),
        }
        scene.start();
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
    scene.kill();
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
    scene.start();
    assert_eq!(weights(&api), [10, 11, 77]);
    assert_eq!(api.get("/v1/status").body["lost_changes"], 1);
    assert!(
        scene.log().contains("tenants: changes_lost changes=1\n"),
        "{}",
        scene.log()
    );
    // Both replicas lack their last change: the audit log shows the loss.
    assert_eq!(
        api.patch("t0", "*", json!({"weight": 44}))
            .expect("an answer")
            .status,
        200
    );
    scene.kill();
    for path in [&leader, &follower] {
        let text = fs::read(path).expect("a file");
        let last = text[..text.len() - 1]
            .iter()
            .rposition(|byte| *byte == b'\n')
            .expect("lines")
            + 1;
        fs::write(path, &text[..last]).expect("written");
    }
    scene.start();
    assert_eq!(api.get("/v1/status").body["lost_changes"], 2);
    assert!(
        scene
            .log()
            .contains("tenants: trailing_changes_lost changes=1\n"),
        "{}",
        scene.log()
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
    scene.kill();
    scene.start();
    assert_eq!(api.get("/v1/status").body["lost_changes"], 2);
}

#[test]
fn a_paused_tenants_messages_wait_and_end_when_their_time_is_up() {
    let host = Host::new(|_, _| status("503 Busy"));
    let (mut scene, api) = started(vec![up("a", &host, 1)], "");
    let (short, _) = scene.enqueue_for("acme", "update", 1, 1500);
    let (long, _) = scene.enqueue_for("acme", "payout", 1, 30_000);
    until("both to be held", || {
        (api.usage("acme")["held"] == 2).then_some(())
    });
    assert_eq!(api.change("POST", "acme/pause").status, 200);
    // A call that began before the pause is still answered as the host was scripted when it comes.
    until("the calls to come back", || {
        (api.usage("acme")["in_flight"] == 0).then_some(())
    });
    host.script(|_, _| ok());
    assert!(scene
        .enqueue_for("acme", "update", 1, 9000)
        .1
        .starts_with("-BUSY"));
    let notice = until("the end of what is out of time", || {
        scene.discovery.notice_of(&short)
    });
    assert_eq!(notice["status"], "deferred");
    let calls = host.calls().len();
    thread::sleep(Duration::from_millis(300));
    assert_eq!(host.calls().len(), calls);
    assert_eq!(api.change("POST", "acme/resume").status, 200);
    until("the payout to go", || {
        host.calls_of(&long)
            .iter()
            .any(|call| call.at.elapsed().as_secs() < 5)
            .then_some(())
    });
    until("its delivery", || {
        (api.usage("acme")["delivered"] == 1).then_some(())
    });
    assert_eq!(scene.enqueue_for("acme", "update", 1, 9000).1, "+OK");
}

/// The calls of a removed tenant that are out come to their end, what is held ends as its specification says, and
/// each message has one end. Made anew meanwhile, it is another.
#[test]
fn a_tenant_removed_mid_attempt_has_one_end_for_each_message() {
    for how in ["finish", "refuse"] {
        // One call is answered late; the others find the destination turned away.
        let host = Host::new(|seen, _| match seen.id.as_str() {
            "m0001" => Answer::Later(1500, ok_text()),
            _ => status("503 Busy"),
        });
        let (mut scene, api) = started(vec![up("a", &host, 1)], "");
        let mut ids = Vec::new();
        for _ in 0..4 {
            let (id, answer) = scene.enqueue_for("acme", "payout", 1, 20_000);
            assert_eq!(answer, "+OK");
            ids.push(id);
        }
        until("the calls", || {
            (host.calls_of("m0001").len() == 1 && host.calls().len() > 1).then_some(())
        });
        let removed = api.change("DELETE", &format!("acme?on_removal={how}"));
        assert_eq!(removed.status, 202);
        assert!(scene
            .enqueue_for("acme", "payout", 1, 9000)
            .1
            .starts_with("-ERR the tenant is being removed"));
        // Its notices come while it drains; it is made anew before it is gone, and serves.
        let anew = api.create("acme", json!({"weight": 9}));
        assert_eq!((anew.status, anew.tag()), (201, "\"2.1\""));
        assert_eq!(
            anew.body["draining"],
            json!([removed.tag().trim_matches('"')])
        );
        if how == "finish" {
            host.script(|_, _| ok());
        }
        let (fresh, answer) = scene.enqueue_for("acme", "update", 1, 20_000);
        assert_eq!(answer, "+OK");
        if how == "refuse" {
            for id in &ids[1..] {
                let notice = until("the end of what was held", || scene.discovery.notice_of(id));
                assert_eq!(notice["status"], "deferred");
            }
            host.script(|_, _| ok());
        }
        until("what came later to go", || {
            host.calls_of(&fresh).first().cloned()
        });
        until("the old one to be gone", || {
            (api.get("/v1/tenants/acme").body["draining"] == json!([])).then_some(())
        });
        // One delivery or one notice each, and one call that may have run for a payout.
        for id in &ids {
            let notices = scene
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
fn a_removal_goes_on_over_a_restart() {
    let host = Host::new(|_, _| Answer::Hang);
    let (mut scene, api) = started(vec![up("a", &host, 1)], "");
    let (id, _) = scene.enqueue_for("acme", "update", 1, 20_000);
    until("the call", || host.calls_of(&id).first().cloned());
    assert_eq!(api.change("DELETE", "acme").status, 202);
    assert_eq!(api.create("acme", json!({})).status, 201);
    scene.kill();
    host.script(|_, _| ok());
    scene.start();
    assert_eq!(api.get("/v1/tenants/acme").body["version"], "2.1");
    until("another call", || host.calls_of(&id).get(1).cloned());
    until("the old one to be gone", || {
        (api.get("/v1/tenants/acme").body["draining"] == json!([])).then_some(())
    });
    assert_eq!(api.usage("acme")["owed"], 0);
}

#[test]
fn classes_destinations_rates_and_caps_bind() {
    let host = Host::new(|_, _| Answer::Hang);
    let (mut scene, api) = started(vec![up("a", &host, 1), up("b", &host, 2)], "");
    let patch =
        |spec: Value| assert_eq!(api.patch("acme", "*", spec).expect("an answer").status, 200);
    patch(json!({"classes": ["update"], "destinations": ["1"]}));
    assert!(scene
        .enqueue_for("acme", "payout", 1, 9000)
        .1
        .starts_with("-ERR the tenant may not hand in"));
    assert!(scene
        .enqueue_for("acme", "update", 2, 9000)
        .1
        .starts_with("-ERR the tenant may not send"));
    assert_eq!(scene.enqueue_for("acme", "update", 1, 60_000).1, "+OK");
    assert_eq!(api.usage("acme")["rejected"], 2);
    patch(json!({"rate": {"per_second": 0.5, "burst": 2}}));
    let answers: Vec<String> = (0..4)
        .map(|_| scene.enqueue_for("acme", "update", 1, 60_000).1)
        .collect();
    assert_eq!(answers[..2], ["+OK", "+OK"]);
    // When there is room again is told, to the time that the rate needs.
    let wait: u64 = answers[2]
        .strip_prefix("-BUSY ")
        .expect("a wait")
        .parse()
        .expect("milliseconds");
    assert!((1..=2000).contains(&wait), "{answers:?}");
    patch(json!({"rate": null, "max_held": 3}));
    assert!(scene
        .enqueue_for("acme", "update", 1, 60_000)
        .1
        .starts_with("-BUSY"));
    patch(json!({"max_held": null, "max_in_flight": 1}));
    for _ in 0..3 {
        assert_eq!(scene.enqueue_for("acme", "update", 1, 60_000).1, "+OK");
    }
    let usage = api.usage("acme");
    assert_eq!(
        (usage["held"].as_u64(), usage["taken"].as_u64()),
        (Some(6), Some(6))
    );
    assert!(usage["in_flight"].as_u64() <= Some(3), "{usage}");
    assert_eq!(usage["refused"], 3);
}

#[test]
fn clients_name_themselves_and_speak_for_their_tenant_alone() {
    let host = Host::new(|_, _| ok());
    let (scene, api) = started(vec![up("a", &host, 1)], "auth = true");
    assert_eq!(api.create("beta", json!({})).status, 201);
    let secret = |tenant: &str, id: &str, secret: &str| {
        let sha256 = tenancy::secret::Digest::of(secret.as_bytes());
        let body = json!({"id": id, "sha256": sha256.to_string()}).to_string();
        let headers = [("content-type", "application/json"), ("if-match", "*")];
        let answer = api.ask(
            "POST",
            &format!("/v1/tenants/{tenant}/secrets"),
            &headers,
            &body,
        );
        assert_eq!(answer.status, 201, "{answer:?}");
        assert!(!answer.body.to_string().contains(&sha256.to_string()));
    };
    secret("acme", "main", "swordfish");
    secret("beta", "main", "tunafish");
    let auth = |name: &str, secret: &str| frame(&[b"AUTH", name.as_bytes(), secret.as_bytes()]);
    let ask = |tenant: &str, id: &str| request_for(tenant, id, "update", 1, 9000, b"body");
    let mut client = scene.client();
    client.send(&ask("acme", "a1"));
    assert_eq!(client.line(), "-NOAUTH Authentication required.");
    client.send(&auth("acme", "tunafish"));
    assert!(client.line().starts_with("-WRONGPASS"));
    // Pipelined: the name holds for what follows it.
    client.send(
        &[
            auth("acme", "swordfish"),
            ask("acme", "a2"),
            ask("beta", "b1"),
        ]
        .concat(),
    );
    assert_eq!([client.line(), client.line()], ["+OK", "+OK"]);
    assert!(client
        .line()
        .starts_with("-ERR the message is for another tenant"));
    until("the call", || host.calls_of("a2").first().cloned());
    // Another's message of the same name is another message.
    let mut other = scene.client();
    other.send(&[auth("beta", "tunafish"), ask("beta", "a2")].concat());
    assert_eq!([other.line(), other.line()], ["+OK", "+OK"]);
    until("its own call", || host.calls_of("a2").get(1).cloned());
    // A secret that is taken away counts no more, on open connections too.
    secret("acme", "next", "catfish");
    assert_eq!(api.change("DELETE", "acme/secrets/main").status, 200);
    client.send(&ask("acme", "a3"));
    assert_eq!(client.line(), "-NOAUTH Authentication required.");
    client.send(&[auth("acme", "catfish"), ask("acme", "a3")].concat());
    assert_eq!([client.line(), client.line()], ["+OK", "+OK"]);
    // Who guesses is put off.
    let mut guesser = scene.client();
    for guess in ["1", "2", "3"] {
        guesser.send(&auth("acme", guess));
        assert!(guesser.line().starts_with("-WRONGPASS"), "{guess}");
    }
    assert_eq!(guesser.line(), "");
    // What was pipelined behind the last guess is read with it, and so it is answered.
    let mut hasty = scene.client();
    let guesses = auth("acme", "1").repeat(3);
    hasty.send(&[guesses, ask("acme", "a4"), frame(&[b"PING"])].concat());
    for _ in 0..3 {
        assert!(hasty.line().starts_with("-WRONGPASS"));
    }
    assert!(hasty.line().starts_with("-ERR"));
    assert!(hasty.line().starts_with("-ERR"));
    assert_eq!(hasty.line(), "");
    let mut wrong = scene.client();
    wrong.send(&frame(&[b"AUTH", b"acme"]));
    assert!(wrong.line().starts_with("-ERR AUTH takes"));
    assert!(host
        .calls()
        .iter()
        .all(|seen| seen.id != "a1" && seen.id != "b1"));
}

#[test]
fn without_the_operators_word_there_is_no_auth_and_the_settings_tenants_serve() {
    let host = Host::new(|_, _| ok());
    let mut scene = Scene::started(vec![up("a", &host, 1)]);
    let mut client = scene.client();
    client.send(&frame(&[b"AUTH", b"acme", b"swordfish"]));
    assert_eq!(client.line(), "-ERR unknown command");
    assert_eq!(scene.enqueue("update", 1).1, "+OK");
    assert!(scene
        .enqueue_for("beta", "update", 1, 9000)
        .1
        .starts_with("-ERR unknown tenant"));
    let files = fs::read_dir(scene.folder.join("state")).expect("a folder");
    let mut names: Vec<_> = files
        .map(|file| file.expect("a file").file_name())
        .collect();
    names.sort();
    assert_eq!(
        names,
        ["clock", "journal", "journal.spare", "memory", "owner.lock"]
    );
}

/// What an administrator does, well or not, does not keep messages waiting.
#[test]
fn a_hostile_administrator_delays_no_message() {
    let host = Host::new(|_, _| ok());
    let (mut scene, address) = hosted(vec![up("a", &host, 1)], "", "connections = 8");
    scene.operator = scene
        .operator
        .take()
        .map(|text| text.replace("= 10000\n", "= 50\n"));
    scene.start();
    let api = Api::new(&address, Some(&token("root")));
    let delays = |scene: &mut Scene, many: usize| -> Vec<Duration> {
        let mut all = Vec::new();
        let mut client = scene.client();
        for _ in 0..many {
            let id = scene.id();
            let start = Instant::now();
            client.send(&request(&id, "update", 1, 9000, b"x"));
            assert_eq!(client.line(), "+OK");
            all.push(start.elapsed());
            thread::sleep(Duration::from_millis(2));
        }
        all.sort();
        all
    };
    let calm = delays(&mut scene, 200);
    let stop = Arc::new(AtomicBool::new(false));
    let refused = Arc::new(Mutex::new(BTreeMap::<u16, u64>::new()));
    let mut threads = Vec::new();
    for kind in 0..6 {
        let (address, stop, refused, api) =
            (address.clone(), stop.clone(), refused.clone(), api.clone());
        threads.push(thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                if kind < 3 {
                    // Requests at full speed.
                    if let Some(answer) = api.try_ask("GET", "/v1/tenants", &[], "") {
                        *refused.lock().unwrap().entry(answer.status).or_default() += 1;
                    }
                    continue;
                }
                let Ok(mut stream) = TcpStream::connect(&address) else {
                    continue;
                };
                drop(stream.set_read_timeout(Some(Duration::from_millis(300))));
                let head = "POST /v1/tenants HTTP/1.1\r\nHost: x\r\nContent-Length: 4000000000\r\n";
                let sent = match kind {
                    // A body without end, a head without end, a head a byte at a time.
                    3 => stream.write_all(format!("{head}\r\n{}", "x".repeat(1 << 20)).as_bytes()),
                    4 => stream.write_all(format!("{head}X: {}", "y".repeat(1 << 20)).as_bytes()),
                    _ => head.bytes().take(20).try_for_each(|byte| {
                        thread::sleep(Duration::from_millis(5));
                        stream.write_all(&[byte])
                    }),
                };
                drop(sent);
                drop(stream.read(&mut [0; 100]));
            }
        }));
    }
    let busy = delays(&mut scene, 600);
    stop.store(true, Ordering::SeqCst);
    threads
        .into_iter()
        .for_each(|thread| thread.join().expect("done"));
    let refused = refused.lock().unwrap();
    let at = |all: &[Duration], share: f64| all[(all.len() as f64 * share) as usize];
    println!(
        "p50 {:?} and {:?}, p99 {:?} and {:?}; {refused:?}",
        at(&calm, 0.5),
        at(&busy, 0.5),
        at(&calm, 0.99),
        at(&busy, 0.99)
    );
    assert!(
        refused.get(&429).is_some_and(|count| *count > 100),
        "{refused:?}"
    );
    // A round takes 5 ms; what is measured is the relay's own, on a machine that others share.
    assert!(
        at(&busy, 0.5) < at(&calm, 0.5) + Duration::from_millis(10),
        "{busy:?}"
    );
    // It serves those who behave once the others are gone.
    until("an answer", || {
        (api.get("/v1/tenants").status == 200).then_some(())
    });
}

#[test]
fn a_flood_over_1000_connections_leaves_another_tenant_its_service() {
    let host = Host::new(|_, _| Answer::Later(20, ok_text()));
    let (mut scene, api) = started(vec![up("a", &host, 1)], "");
    scene.kill();
    scene.config["limits"]["sockets"] = 2300.into();
    scene.start();
    assert_eq!(api.create("flood", json!({})).status, 201);
    let stop = Arc::new(AtomicBool::new(false));
    let asked = Arc::new(Mutex::new(0u64));
    let listen = scene.listen;
    let threads: Vec<_> = (0..10)
        .map(|thread| {
            let (stop, asked) = (stop.clone(), asked.clone());
            thread::spawn(move || {
                let open = || TcpStream::connect(listen).expect("connects");
                let mut streams: Vec<TcpStream> = (0..100).map(|_| open()).collect();
                let mut number = 0;
                while !stop.load(Ordering::SeqCst) {
                    for stream in &mut streams {
                        number += 1;
                        let id = format!("f{thread}-{number}");
                        drop(stream.write_all(&request_for("flood", &id, "update", 1, 2000, b"x")));
                    }
                    for stream in &mut streams {
                        let mut answer = [0; 64];
                        if !matches!(stream.read(&mut answer), Ok(1..)) {
                            *stream = open();
                        }
                    }
                    *asked.lock().unwrap() += 100;
                }
            })
        })
        .collect();
    until("the flood", || {
        (*asked.lock().unwrap() > 3000).then_some(())
    });
    let mut ids = BTreeSet::new();
    for _ in 0..100 {
        let (id, answer) = scene.enqueue_for("acme", "update", 1, 9000);
        assert_eq!(answer, "+OK");
        ids.insert(id);
        thread::sleep(Duration::from_millis(10));
    }
    until("all to be delivered", || {
        ids.retain(|id| host.calls_of(id).is_empty());
        ids.is_empty().then_some(())
    });
    stop.store(true, Ordering::SeqCst);
    threads
        .into_iter()
        .for_each(|thread| thread.join().expect("done"));
    let (acme, flood) = (api.usage("acme"), api.usage("flood"));
    println!("flood: {} asked, {flood}", asked.lock().unwrap());
    assert_eq!(
        (acme["refused"].as_u64(), acme["failed"].as_u64()),
        (Some(0), Some(0))
    );
    assert!(flood["refused"].as_u64() > Some(1000), "{flood}");
}

#[test]
fn the_api_listens_at_a_unix_socket() {
    let mut scene = Scene::new(Vec::new());
    let path = scene.folder.join("admin.sock");
    scene.operator = Some(operator(
        &scene,
        &format!("unix:{}", path.display()),
        "",
        "",
    ));
    scene.start();
    let ask = || {
        let mut stream = std::os::unix::net::UnixStream::connect(&path).expect("connects");
        let head = format!(
            "GET /v1/tenants/acme HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {}\r\n",
            token("eyes")
        );
        stream
            .write_all(format!("{head}Connection: close\r\n\r\n").as_bytes())
            .expect("sent");
        let mut text = String::new();
        stream.read_to_string(&mut text).expect("an answer");
        text
    };
    assert!(ask().starts_with("HTTP/1.1 200 OK\r\n"));
    // A kill leaves the socket behind, which keeps nobody from listening again.
    scene.kill();
    scene.start();
    assert!(ask().contains("\"name\":\"acme\""));
}

#[test]
fn a_bad_operator_file_ends_the_start_with_one_line() {
    let scene = Scene::new(Vec::new());
    let good = operator(&scene, "127.0.0.1:0", "", "");
    let repeated = good.clone() + &good[good.find("[[admin").expect("a token")..];
    let cases = [
        ("[tenants]\nfolder = \"relative\"".to_string(), "absolute"),
        (good.replace("[admin]", "[admin]\nnothing = 1"), "nothing"),
        (good.replace("[tenants]", "[tenant]"), "tenant"),
        (good.replace("127.0.0.1:0", "10.0.0.1:80"), "loopback"),
        (good.replace("127.0.0.1:0", "localhost"), "address"),
        (
            good.replace("second = 10000", "second = 0"),
            "requests_per_second",
        ),
        (
            good.replace("[admin]\n", "[admin]\nconnections = 0\n"),
            "connections",
        ),
        (
            good.replace("[tenants]\n", "[tenants]\nstore_mb = 0\n"),
            "store_mb",
        ),
        (
            good.replace("[tenants]\n", "[tenants]\naudit_files = 5000\n"),
            "audit_files",
        ),
        (good.replace("\"viewer\"", "\"boss\""), "boss"),
        (repeated, "twice"),
        (
            good[good.find("[admin]").expect("a section")..].to_string(),
            "needs tenants",
        ),
        (good.replace("tenants\"\n", "nowhere\"\n"), "nowhere"),
        ("\u{0}".to_string(), "operator file"),
    ];
    for (text, named) in cases {
        let mut scene = Scene::new(Vec::new());
        scene.operator = Some(text.clone());
        let output = scene.command().output().expect("runs");
        let line = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success(), "{text}");
        assert_eq!(line.lines().count(), 1, "{text}: {line}");
        assert!(
            line.starts_with("madderpitch: ") && line.contains(named),
            "{named}: {line}"
        );
    }
    let mut command = Scene::new(Vec::new()).command();
    let output = command
        .args(["--operator", "/nowhere/at/all"])
        .output()
        .expect("runs");
    assert!(
        !output.status.success() && String::from_utf8_lossy(&output.stderr).lines().count() == 1
    );
}

/// The file that is shipped is one that a relay takes, but for its folder.
#[test]
fn the_shipped_operator_file_is_a_good_one() {
    let shipped = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/operator.toml");
    let shipped = fs::read_to_string(shipped).expect("a file");
    let mut scene = Scene::new(Vec::new());
    for name in ["tenants", "undeliverable"] {
        fs::create_dir_all(scene.folder.join(name)).expect("a folder");
    }
    let address = bind().local_addr().expect("bound").to_string();
    let text = shipped.replace("/var/lib/madderpitch", &scene.folder.display().to_string());
    let text = text.replace("127.0.0.1:8700", &address);
    // The token, partner and rule that it shows are ones, too.
    let example = |line: &str| {
        let word = |text: &str| text.chars().all(|c| c.is_ascii_alphanumeric() || c == '_');
        let key = line.split_once(" = ").is_some_and(|(key, _)| word(key));
        line.starts_with("[[") || key
    };
    let plain = |line| match str::strip_prefix(line, "# ") {
        Some(shown) if example(shown) => shown,
        _ => line,
    };
    scene.operator = Some(text.lines().map(plain).collect::<Vec<_>>().join("\n"));
    scene.start();
    assert_eq!(Api::new(&address, None).get("/v1/tenants").status, 401);
}
