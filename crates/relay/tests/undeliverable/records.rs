//! Contents of the records of undeliverable messages, and which tokens may read them.

use super::*;

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario from start to end")]
fn undeliverable_message_is_recorded_with_history_and_shown_to_authorized_tokens() {
    let ledger = Ledger::new();
    let host = Host::new(|_, _| HostResponse::Close);
    let mut bed = UndeliverableTestBed::new(up(&host), &ledger, "", 100);
    let all = bed.given_up("payout", 5);
    assert_eq!(all.len(), 5);
    let (name, record) = all.iter().next().expect("one");
    assert_eq!(
        (record["reason"].as_str(), record["effect"].as_str()),
        (Some("may-have-run"), Some("unsafe"))
    );
    assert_eq!(
        (record["tenant"].as_str(), record["size"].as_u64()),
        (Some("acme"), Some(4))
    );
    assert_eq!(record["attempts"][0]["host"], "a");
    assert_eq!(record["attempts"][0]["outcome"], "broken");
    assert_eq!(record["may_have_run"], true);
    // The message's final notification was still sent.
    wait_until("the notice", || bed.test_bed.discovery.notice_for(name));
    let id = &record["id"];
    let body = format!("/v1/undeliverable/{id}/body");
    let raw = bed.as_of("eyes").try_send("GET", &body, &[], "");
    assert_eq!(raw.expect("an answer").status, 403);
    // Filters.
    for (filter, found) in [
        ("&class=payout", 5),
        ("&class=event", 0),
        ("&destination=1&reason=may-have-run", 5),
        ("&reason=out-of-time", 0),
        ("&may_have_run=false", 0),
        ("&tenant=acme&state=open", 5),
        ("&until=2020-01-01T00:00:00Z", 0),
        ("&since=2020-01-01T00:00:00Z", 5),
    ] {
        assert_eq!(bed.all(filter).len(), found, "{filter}");
    }
    for bad in [
        "reason=none",
        "since=yesterday",
        "cursor=x",
        "limit=0",
        "colour=red",
    ] {
        assert_eq!(
            bed.api.get(&format!("/v1/undeliverable?{bad}")).status,
            400,
            "{bad}"
        );
    }
    // A cursor keeps its position while new records arrive.
    let first = bed.api.get("/v1/undeliverable?limit=2").body;
    let newest: Vec<u64> = first["items"]
        .as_array()
        .expect("items")
        .iter()
        .filter_map(|r| r["id"].as_u64())
        .collect();
    bed.given_up("payout", 1);
    let cursor = first["next"].as_str().expect("more");
    let second = bed
        .api
        .get(&format!("/v1/undeliverable?limit=2&cursor={cursor}"))
        .body;
    assert_eq!(
        second["items"][0]["id"].as_u64(),
        newest.last().map(|id| id - 1)
    );
    // Counts, and the scopes of tokens.
    let counts = bed.api.get("/v1/undeliverable/counts?by=reason").body;
    assert_eq!(
        counts["items"],
        json!([{"value": "may-have-run", "records": 6}])
    );
    for name in ["team", "nobodys"] {
        let theirs = bed.as_of(name);
        assert_eq!(
            theirs.get("/v1/undeliverable").body["items"],
            json!([]),
            "{name}"
        );
        assert_eq!(
            theirs.get(&format!("/v1/undeliverable/{id}")).status,
            404,
            "{name}"
        );
        assert_eq!(
            theirs.get("/v1/undeliverable/counts?by=tenant").body["items"],
            json!([]),
            "{name}"
        );
    }
    let team = bed.as_of("team");
    assert_eq!(team.get("/v1/undeliverable").body["items"], json!([]));
    assert_eq!(team.get(&format!("/v1/undeliverable/{id}")).status, 404);
    assert_eq!(act_as(&team, id, "discard", "*").status, 404);
    assert_eq!(team.get("/v1/undeliverable/counts?by=reason").status, 403);
    assert_eq!(act_as(&bed.as_of("eyes"), id, "claim", "*").status, 403);
    // A change without a version is rejected, and so is one for another version.
    let path = format!("/v1/undeliverable/{id}/claim");
    assert_eq!(bed.api.send("POST", &path, &[], "").status, 428);
    assert_eq!(act_as(&bed.api, id, "claim", "\"7\"").status, 412);
    let status = bed.api.get("/v1/undeliverable/status").body;
    // The responses match the schemas of the OpenAPI document.
    let document = bed.api.get("/v1/openapi.json").body;
    let batch = json!({"name": "b", "filter": {"reason": "may-have-run"}});
    let batch = bed.api.send(
        "POST",
        "/v1/undeliverable-batches",
        &[JSON],
        &batch.to_string(),
    );
    assert_eq!(batch.status, 201);
    let nobodys = bed.as_of("nobodys");
    assert_eq!(
        nobodys.get("/v1/undeliverable-batches").body["items"],
        json!([])
    );
    let run = nobodys.send(
        "POST",
        "/v1/undeliverable-batches/b/run",
        &[("if-match", "*")],
        "",
    );
    assert_eq!(run.status, 404);
    for (name, body) in [
        ("UndeliverablePage", &second),
        ("UndeliverableRecord", &bed.one(id)),
        ("UndeliverableCounts", &counts),
        ("UndeliverableStatus", &status),
        ("ResendBatch", &batch.body),
        ("BatchList", &bed.api.get("/v1/undeliverable-batches").body),
    ] {
        let mut schema = document["components"]["schemas"][name].clone();
        schema["components"] = document["components"].clone();
        let validator = jsonschema::draft202012::new(&schema).expect("a schema");
        let errors: Vec<String> = validator.iter_errors(body).map(|e| e.to_string()).collect();
        assert!(errors.is_empty(), "{name}: {errors:?} in {body}");
    }
    assert_eq!(
        (status["records"].as_u64(), status["trouble"].is_null()),
        (Some(6), true)
    );
}

#[test]
fn message_of_removed_tenant_is_recorded_and_not_resent() {
    let ledger = Ledger::new();
    let host = Host::new(|_, _| HostResponse::Close);
    let mut bed = UndeliverableTestBed::new(up(&host), &ledger, "# hosted", 100);
    let root = bed.as_of("root");
    wait_until("the tenant", || {
        (root.get("/v1/tenants/acme").status == 200).then_some(())
    });
    let all = bed.given_up("payout", 1);
    let (name, record) = all.iter().next().expect("one");
    let id = &record["id"];
    assert_eq!(root.change("DELETE", "acme").status, 202);
    wait_until("the tenant to be gone", || {
        (root.get("/v1/tenants/acme").status == 410).then_some(())
    });
    assert_eq!(bed.act(id, "ask").status, 202);
    wait_until("a reply", || bed.one(id)["needs"].is_null().then_some(()));
    assert_eq!(
        problem(&bed.act(id, "resend")),
        (409, "not-handed-over".into())
    );
    assert_eq!(
        (bed.one(id)["state"].as_str(), host.calls_of(name).len()),
        (Some("open"), 1)
    );
}
