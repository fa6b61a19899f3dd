//! Clients that authenticate as a tenant.

use super::*;

#[test]
fn authenticated_clients_are_limited_to_their_tenant() {
    let host = Host::new(|_, _| ok());
    let (test_bed, api) = started(vec![up("a", &host, 1)], "auth = true");
    assert_eq!(api.create("beta", json!({})).status, 201);
    let secret = |tenant: &str, id: &str, secret: &str| {
        let sha256 = tenancy::secret::Digest::of(secret.as_bytes());
        let body = json!({"id": id, "sha256": sha256.to_string()}).to_string();
        let headers = [("content-type", "application/json"), ("if-match", "*")];
        let answer = api.send(
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
    let mut client = test_bed.client();
    client.send(&ask("acme", "a1"));
    assert_eq!(client.line(), "-NOAUTH Authentication required.");
    client.send(&auth("acme", "tunafish"));
    assert!(client.line().starts_with("-WRONGPASS"));
    // Pipelined: the authentication applies to the requests after it.
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
    wait_until("the call", || host.calls_of("a2").first().cloned());
    // Hosts and the platform know a message by its id alone: another tenant cannot use the id, but any other one.
    let mut other = test_bed.client();
    let requests = [
        auth("beta", "tunafish"),
        ask("beta", "a2"),
        ask("beta", "b2"),
    ];
    other.send(&requests.concat());
    let answers = [other.line(), other.line(), other.line()];
    assert_eq!(answers, ["+OK", "-BUSY 1000", "+OK"]);
    wait_until("its separate call", || host.calls_of("b2").first().cloned());
    assert_eq!(host.calls_of("a2").len(), 1);
    // A deleted secret becomes invalid, on open connections too.
    secret("acme", "next", "catfish");
    assert_eq!(api.change("DELETE", "acme/secrets/main").status, 200);
    client.send(&ask("acme", "a3"));
    assert_eq!(client.line(), "-NOAUTH Authentication required.");
    client.send(&[auth("acme", "catfish"), ask("acme", "a3")].concat());
    assert_eq!([client.line(), client.line()], ["+OK", "+OK"]);
    // A client is disconnected after three wrong secrets.
    let mut guesser = test_bed.client();
    for guess in ["1", "2", "3"] {
        guesser.send(&auth("acme", guess));
        assert!(guesser.line().starts_with("-WRONGPASS"), "{guess}");
    }
    assert_eq!(guesser.line(), "");
    // Requests pipelined after the last guess are read with it and therefore answered.
    let mut hasty = test_bed.client();
    let guesses = auth("acme", "1").repeat(3);
    hasty.send(&[guesses, ask("acme", "a4"), frame(&[b"PING"])].concat());
    for _ in 0..3 {
        assert!(hasty.line().starts_with("-WRONGPASS"));
    }
    assert!(hasty.line().starts_with("-ERR"));
    assert!(hasty.line().starts_with("-ERR"));
    assert_eq!(hasty.line(), "");
    let mut wrong = test_bed.client();
    wrong.send(&frame(&[b"AUTH", b"acme"]));
    assert!(wrong.line().starts_with("-ERR AUTH takes"));
    assert!(host
        .calls()
        .iter()
        .all(|seen| seen.id != "a1" && seen.id != "b1"));
}

#[test]
fn without_auth_in_operator_file_configured_tenants_need_no_credentials() {
    let host = Host::new(|_, _| ok());
    let mut test_bed = TestBed::started(vec![up("a", &host, 1)]);
    let mut client = test_bed.client();
    client.send(&frame(&[b"AUTH", b"acme", b"swordfish"]));
    assert_eq!(client.line(), "-ERR unknown command");
    assert_eq!(test_bed.enqueue("update", 1).1, "+OK");
    assert!(test_bed
        .enqueue_for("beta", "update", 1, 9000)
        .1
        .starts_with("-ERR unknown tenant"));
    let files = fs::read_dir(test_bed.folder.join("state")).expect("a folder");
    let mut names: Vec<_> = files
        .map(|file| file.expect("a file").file_name())
        .collect();
    names.sort();
    assert_eq!(
        names,
        ["clock", "journal", "journal.spare", "memory", "owner.lock"]
    );
}
