//! Responses of the API: problems, and the permissions of roles and scopes.

use super::*;

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario from start to end")]
fn invalid_request_gets_problem_response_and_changes_nothing() {
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
        let answer = api.send(method, path, headers, body);
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
fn tokens_permit_only_what_their_role_and_scope_allow() {
    let (mut test_bed, address) = new_with_tenants(Vec::new(), "import = false", "");
    test_bed.start();
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
    // The OpenAPI document can be read without a token.
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
    // An invalid file leaves the previous one in force; a valid one takes effect immediately.
    let path = test_bed.folder.join("operator.toml");
    let good = fs::read_to_string(&path).expect("a file");
    let hangup = |test_bed: &TestBed| test_bed.signal("-HUP");
    fs::write(&path, good.replace("[admin]", "[admin]\ncolour = 1")).expect("written");
    hangup(&test_bed);
    wait_until("the error for the bad file to be logged", || {
        test_bed.log().contains("colour").then_some(())
    });
    assert_eq!(eyes.get("/v1/tenants").status, 200);
    let without = good.replace("name = \"eyes\"", "name = \"blind\"").replace(
        &tenancy::secret::Digest::of(token("eyes").as_bytes()).to_string(),
        &"0".repeat(64),
    );
    fs::write(&path, without).expect("written");
    hangup(&test_bed);
    wait_until("the token to be refused", || {
        (eyes.get("/v1/tenants").status == 401).then_some(())
    });
    assert_eq!(root.get("/v1/tenants").status, 200);
}
