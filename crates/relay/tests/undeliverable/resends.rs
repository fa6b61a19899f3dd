//! Which attestations permit a resend, and that a resend takes effect once.

use super::*;

#[test]
fn a_message_that_may_have_run_goes_only_by_the_partners_word() {
    let ledger = Ledger::new();
    let book = ledger.clone();
    // Every second call is applied; none is answered.
    let host = Host::new(move |seen, before| {
        if before % 2 == 0 {
            book.apply(&seen.id);
        }
        Answer::Close
    });
    let mut desk = Desk::new(up(&host), &ledger, "", 100);
    let all = desk.given_up("payout", 6);
    host.script({
        let book = ledger.clone();
        move |seen, _| {
            book.apply(&seen.id);
            ok()
        }
    });
    for (name, record) in &all {
        let id = &record["id"];
        let applied = ledger.times(name) == 1;
        assert_eq!(desk.one(id)["needs"], "needs-word");
        // A resend is rejected, and the partner is queried meanwhile.
        assert_eq!(problem(&desk.act(id, "resend")), (409, "needs-word".into()));
        if applied {
            desk.in_state(id, "applied-before");
            assert_eq!(
                problem(&desk.act(id, "resend")),
                (409, "record-closed".into())
            );
        } else {
            until("the word", || desk.one(id)["needs"].is_null().then_some(()));
            until("the resend", || {
                (desk.act(id, "resend").status == 202).then_some(())
            });
            let record = desk.in_state(id, "delivered");
            assert_eq!(
                (
                    record["resends"].as_u64(),
                    record["statements"][0]["says"].as_str()
                ),
                (Some(1), Some("not-applied"))
            );
        }
    }
    for name in all.keys() {
        assert_eq!(ledger.times(name), 1, "{name}");
    }
}

#[test]
fn a_partners_word_that_says_nothing_lets_nothing_go() {
    let ledger = Ledger::new();
    let host = Host::new(only_good);
    let mut desk = Desk::new(up(&host), &ledger, "", 100);
    let _good = Good::traffic(&desk.scene);
    thread::sleep(Duration::from_millis(300));
    let all = desk.given_up("payout", 1);
    let id = &all.values().next().expect("one")["id"];
    // Unknown, no JSON, late.
    for lie in [
        r#"{"status":"queued"}"#,
        "yes",
        r#"{"status":["absent"]}"#,
        "",
    ] {
        ledger.answers(Some(lie));
        let before = ledger.asked.lock().unwrap().len();
        assert_eq!(desk.act(id, "ask").status, 202, "{lie}");
        until("the question", || {
            (ledger.asked.lock().unwrap().len() > before).then_some(())
        });
        thread::sleep(Duration::from_millis(2300));
        assert_eq!(
            problem(&desk.act(id, "resend")),
            (409, "needs-word".into()),
            "{lie}"
        );
    }
    // Concurrent partner queries are bounded; a further one is answered 429.
    ledger.answers(Some(""));
    let more = desk.given_up("payout", 9);
    let asked = more
        .values()
        .filter(|record| record["id"] != *id)
        .map(|record| problem(&desk.act(&record["id"], "ask")));
    let refused: Vec<(u16, String)> = asked.filter(|(status, _)| *status != 202).collect();
    assert_eq!(refused, [(429, "too-much-under-way".to_string())]);
    thread::sleep(Duration::from_millis(2300));
    // It changes its mind: not applied, then applied. Two operators have to agree.
    for (lie, needs) in [
        (r#"{"status":"absent"}"#, Value::Null),
        (r#"{"status":"done"}"#, json!("needs-agreement")),
    ] {
        ledger.answers(Some(lie));
        assert_eq!(desk.act(id, "ask").status, 202);
        until("the word", || {
            (desk.one(id)["needs"] == needs).then_some(())
        });
    }
    assert_eq!(
        problem(&desk.act(id, "resend")),
        (409, "needs-agreement".into())
    );
    assert_eq!(attest(&desk.api, id, "not-applied").status, 200);
    assert_eq!(attest(&desk.api, id, "not-applied").status, 200);
    assert_eq!(
        desk.one(id)["needs"],
        "needs-agreement",
        "one operator, twice"
    );
    assert_eq!(attest(&desk.as_of("second"), id, "not-applied").status, 200);
    host.script(|_, _| ok());
    until("the resend", || {
        (desk.act(id, "resend").status == 202).then_some(())
    });
    desk.in_state(id, "delivered");
}

#[test]
fn two_operators_and_repeated_requests_make_one_resend() {
    let ledger = Ledger::new();
    let host = Host::new(|_, _| status("500 Broken"));
    let mut desk = Desk::new(up(&host), &ledger, "at_once = 64", 100);
    // Given up without a call that may have run: its time is up.
    let (name, answer) = desk.scene.enqueue_body("update", 1, 300, b"body");
    assert_eq!(answer, "+OK");
    let record = until("the record", || desk.all("").remove(&name));
    let (id, tag) = (&record["id"], format!("\"{}\"", record["version"]));
    // A claim keeps the other one out.
    assert_eq!(desk.act(id, "claim").status, 200);
    assert_eq!(
        problem(&act_as(&desk.as_of("second"), id, "resend", "*")),
        (423, "record-claimed".into())
    );
    assert_eq!(desk.act(id, "release").status, 200);
    assert_eq!(act_as(&desk.api, id, "resend", &tag).status, 412);
    let tag = format!("\"{}\"", desk.one(id)["version"]);
    host.script(|_, _| Answer::Later(300, ok_text()));
    let before = host.calls_of(&name).len();
    let askers: Vec<_> = (0..8)
        .map(|n| {
            let api = desk.as_of(if n % 2 == 0 { "ops" } else { "second" });
            let (id, tag) = (id.clone(), tag.clone());
            thread::spawn(move || act_as(&api, &id, "resend", &tag).status)
        })
        .collect();
    let statuses: Vec<u16> = askers
        .into_iter()
        .map(|asker| asker.join().expect("asked"))
        .collect();
    assert_eq!(
        statuses.iter().filter(|status| **status == 202).count(),
        1,
        "{statuses:?}"
    );
    assert!(
        statuses
            .iter()
            .all(|status| [202, 409, 412].contains(status)),
        "{statuses:?}"
    );
    desk.in_state(id, "delivered");
    assert_eq!(host.calls_of(&name).len(), before + 1);
    // No second final answer.
    let told = desk
        .scene
        .discovery
        .notices
        .lock()
        .unwrap()
        .iter()
        .filter(|n| n["id"] == name.as_str())
        .count();
    assert_eq!(told, 1);
}

#[test]
fn a_resend_that_fails_again_adds_to_the_story_and_makes_it_no_younger() {
    let ledger = Ledger::new();
    let host = Host::new(only_good);
    let mut desk = Desk::new(up(&host), &ledger, "max_resends = 2", 100);
    let _good = Good::traffic(&desk.scene);
    thread::sleep(Duration::from_millis(300));
    let first = desk
        .given_up("payout", 1)
        .into_values()
        .next()
        .expect("one");
    let id = &first["id"];
    for resends in 1..=2 {
        assert_eq!(desk.act(id, "ask").status, 202);
        until("the word", || desk.one(id)["needs"].is_null().then_some(()));
        until("the resend", || {
            (desk.act(id, "resend").status == 202).then_some(())
        });
        let record = until("its end", || {
            Some(desk.one(id)).filter(|r| {
                r["state"] == "open" && r["attempts"].as_array().map(Vec::len) == Some(1 + resends)
            })
        });
        assert_eq!(record["resends"].as_u64(), Some(resends as u64));
        assert_eq!(
            record["attempts"][resends]["resend"].as_u64(),
            Some(resends as u64)
        );
        assert_eq!(record["ended_at"], first["ended_at"]);
        // The word was given before the last attempt.
        assert_eq!(
            record["needs"],
            if resends == 2 {
                "resends-spent"
            } else {
                "needs-word"
            }
        );
    }
    assert_eq!(
        problem(&desk.act(id, "resend")),
        (409, "resends-spent".into())
    );
    assert_eq!(desk.act(id, "discard").status, 200);
    assert_eq!(desk.one(id)["state"], "discarded");
}

#[test]
fn a_killed_relay_goes_on_with_a_resend_and_does_not_begin_it_anew() {
    let ledger = Ledger::new();
    let host = Host::new(|_, _| status("500 Broken"));
    let mut desk = Desk::new(up(&host), &ledger, "at_once = 4\nmax_resends = 2", 100);
    let (name, _) = desk.scene.enqueue_body("update", 1, 300, b"body");
    let record = until("the record", || desk.all("").remove(&name));
    let id = &record["id"];
    let first = record["attempts"].as_array().expect("attempts").len();
    assert_eq!(desk.act(id, "resend").status, 202);
    until("a call", || {
        (host.calls_of(&name).len() > first).then_some(())
    });
    desk.scene.kill();
    desk.scene.start();
    let shown = desk.one(id);
    assert_eq!(
        (shown["state"].as_str(), shown["resends"].as_u64()),
        (Some("sending"), Some(1))
    );
    assert_eq!(
        problem(&desk.act(id, "resend")),
        (409, "record-sending".into())
    );
    host.script(|_, _| ok());
    let record = desk.in_state(id, "delivered");
    assert_eq!(record["resends"].as_u64(), Some(1));
}
