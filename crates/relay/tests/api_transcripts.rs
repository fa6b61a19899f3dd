//! Compares the administration API byte for byte with golden files in `tests/golden`: its OpenAPI document, and
//! transcripts of requests and responses for each resource and each problem. No test rewrites the golden files; a test
//! that fails prints the actual responses.
//!
//! The tests use HTTP only, so that they do not depend on the names of the program's items.

#[allow(unused_imports)]
mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use serde_json::{json, Value};
use support::*;

/// Response headers left out of a transcript: the date varies, and the others concern the connection.
const HEADERS_LEFT_OUT: [&str; 3] = ["connection", "content-length", "date"];
/// Maximum number of differences listed when documents differ.
const MOST_DIFFERENCES: usize = 20;
/// Longer than the second after a message was given up during which its record can't be resent.
const LONGER_THAN_A_RECORD_RESTS: Duration = Duration::from_millis(1500);

/// Name, role, scope and SHA-256 of each token in the operator file. The token itself is its name written twice.
const TOKENS: &[(&str, &str, &str, &str)] = &[
    (
        "root",
        "admin",
        "*",
        "0242c0436daa4c241ca8a793764b7dfb50c223121bb844cf49be670a3af4dd18",
    ),
    (
        "ops",
        "operator",
        "*",
        "e8e32c1d9e99e531b4d502918972ba94e47ab420dadad415821e63dc55f7b391",
    ),
    (
        "eyes",
        "viewer",
        "*",
        "7cc6bb7e4f0bec37d2ce5a1ca2f6fb5bef7925256a1762a01e691d044bb791b0",
    ),
    (
        "team",
        "admin",
        "team-*",
        "588d4a3a320262519ff166f140caecfb5435b3426eb48505d4db9a329686d6ec",
    ),
    (
        "second",
        "operator",
        "*",
        "e2dca3f462ce101e4b42a6d4bf974b9e0216b4b3342dcbb1547dcb342f2680a4",
    ),
];

/// A relay with an administration API.
struct Administration {
    test_bed: TestBed,
    address: SocketAddr,
}

/// A golden transcript, and the actual responses to its requests. Its lines are headings (`# TEXT`), starts of parts
/// between which the test performs other actions (`@ PART`), requests (`> REQUEST`) and responses (`< LINE`).
struct Transcript {
    name: &'static str,
    golden: String,
    actual: Vec<String>,
    parts: usize,
}

/// A response as received.
struct Answered {
    status: u16,
    headers: BTreeMap<String, String>,
    body: Vec<u8>,
}

impl Answered {
    fn json(&self) -> Value {
        serde_json::from_slice(&self.body).expect("a JSON body")
    }
}

impl Administration {
    /// Starts a relay with these sections of the operator file beside `[admin]`, which contains the lines of `limits`.
    fn start(hosts: Vec<Value>, limits: &str, sections: impl Fn(&Path) -> String) -> Self {
        let mut test_bed = TestBed::new(hosts);
        let address = unused_address();
        let mut operator = format!("[admin]\nlisten = \"{address}\"\n{limits}\n");
        for (name, role, scope, digest) in TOKENS {
            operator += &format!(
                "[[admin.tokens]]\nname = \"{name}\"\nrole = \"{role}\"\nsha256 = \"{digest}\"\n\
                 tenants = [\"{scope}\"]\n"
            );
        }
        operator += &sections(&test_bed.folder);
        test_bed.operator = Some(operator);
        test_bed.start();
        Administration { test_bed, address }
    }

    /// Sends a request in the notation of the transcripts.
    fn send(&self, request: &str) -> Answered {
        let (line, headers, body) = parts_of(request);
        let (method, path) = line.split_once(' ').expect("a method and a path");
        let mut text = format!("{method} {path} HTTP/1.1\r\nhost: relay\r\nconnection: close\r\n");
        headers
            .iter()
            .for_each(|header| text += &format!("{header}\r\n"));
        if !body.is_empty() {
            text += &format!("content-length: {}\r\n", body.len());
        }
        text += &format!("\r\n{body}");
        let mut stream = TcpStream::connect(self.address).expect("the API listens");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set");
        // The relay may answer a body that is too long before it has read all of it.
        drop(stream.write_all(text.as_bytes()));
        let mut reader = BufReader::new(stream);
        let mut next = || {
            let mut line = String::new();
            reader.read_line(&mut line).expect("a line of the head");
            line.trim_end().to_string()
        };
        let status = next();
        let status = status.strip_prefix("HTTP/1.1 ").expect("an answer");
        let status = status[..3].parse().expect("a status");
        let mut headers = BTreeMap::new();
        loop {
            let line = next();
            if line.is_empty() {
                break;
            }
            let (name, value) = line.split_once(": ").expect("a header");
            let before = headers.insert(name.to_ascii_lowercase(), value.to_string());
            assert_eq!(before, None, "duplicate header {name}");
        }
        let length = headers
            .get("content-length")
            .map_or(0, |n| n.parse().expect("a number"));
        let mut body = vec![0; length];
        reader.read_exact(&mut body).expect("the body");
        Answered {
            status,
            headers,
            body,
        }
    }

    /// Repeats a GET until the body of the response satisfies the predicate.
    fn wait(&self, path: &str, holds: impl Fn(&Value) -> bool) {
        let request = format!("root GET {path}");
        wait_until(path, || holds(&self.send(&request).json()).then_some(()));
    }
}

impl Transcript {
    fn of(name: &'static str) -> Self {
        Transcript {
            name,
            golden: golden(name),
            actual: Vec::new(),
            parts: 0,
        }
    }

    /// Sends the requests of the next part, which must have this name.
    fn play(&mut self, api: &Administration, part: &str) {
        let golden = self.golden.clone();
        let mut parts = golden.split("@ ").skip(1 + self.parts);
        let lines = parts.next().expect("another part");
        self.parts += 1;
        let (found, lines) = lines.split_once('\n').expect("lines of the part");
        assert_eq!(found, part, "{}", self.name);
        self.actual.push(format!("@ {part}"));
        for line in lines.lines() {
            if line.starts_with('#') {
                self.actual.push(line.to_string());
            } else if let Some(request) = line.strip_prefix("> ") {
                let answered = api.send(request);
                self.note(request, &answered);
            }
        }
    }

    fn note(&mut self, request: &str, answered: &Answered) {
        self.actual.push(format!("> {request}"));
        self.actual.push(format!("< {}", answered.status));
        for (name, value) in &answered.headers {
            if !HEADERS_LEFT_OUT.contains(&name.as_str()) {
                self.actual.push(format!("< {name}: {value}"));
            }
        }
        if !answered.body.is_empty() {
            let body = match std::str::from_utf8(&answered.body) {
                Ok(text) if !text.contains(char::is_control) => text.to_string(),
                _ => answered.body.escape_ascii().to_string(),
            };
            self.actual
                .push(format!("< {}", without_what_varies(&body)));
        }
        self.actual.push(String::new());
    }

    /// Compares the whole transcript. All parts must have been played.
    fn assert_as_it_was(&self) {
        let (name, golden) = (self.name, &self.golden);
        let actual = self.actual.join("\n") + "\n";
        if actual == *golden {
            return;
        }
        println!("=== {name}\n{actual}=== end of {name}");
        let both = actual.lines().zip(golden.lines());
        let differing = (0..).zip(both).find(|(_, (one, other))| one != other);
        let Some((at, (one, other))) = differing else {
            panic!("{name}: one is a prefix of the other, or the line endings differ");
        };
        let request = self.actual[..at]
            .iter()
            .rfind(|line| line.starts_with("> "));
        panic!(
            "{name}:{}, after {request:?}\n  actual: {one}\nexpected: {other}",
            at + 1
        );
    }
}

fn golden(name: &str) -> String {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden");
    let path = folder.join(name);
    fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Returns the request line, the headers and the body of a request in a transcript, which is written
/// `TOKEN METHOD PATH | HEADER: VALUE | … | = BODY`. The token `nobody` stands for no token, `json` for the JSON media
/// type, `merge` for that of a merge patch, and `any` for `If-Match: *`.
fn parts_of(request: &str) -> (&str, Vec<String>, String) {
    let mut parts = request.split(" | ");
    let (token, line) = parts
        .next()
        .and_then(|first| first.split_once(' '))
        .expect("a token and a request line");
    let mut headers = Vec::new();
    if token != "nobody" {
        headers.push(format!("authorization: Bearer {token}{token}"));
    }
    let mut body = String::new();
    for part in parts {
        let part = part
            .replace("{200 CHARACTERS}", &"k".repeat(200))
            .replace("{70000 CHARACTERS}", &"x".repeat(70_000))
            .replace("{SHA256}", &"0".repeat(64));
        match part.as_str() {
            "json" => headers.push("content-type: application/json".into()),
            "merge" => headers.push("content-type: application/merge-patch+json".into()),
            "any" => headers.push("if-match: *".into()),
            other => match other.strip_prefix("= ") {
                Some(text) => body = text.to_string(),
                None => headers.push(other.to_string()),
            },
        }
    }
    (line, headers, body)
}

/// Replaces the values that vary from run to run with placeholders: times, except those of 2020, which the tests
/// themselves send, and the request names that the relay generates.
fn without_what_varies(body: &str) -> String {
    without_times(&without_request_names(body))
}

/// Replaces each JSON string that is a time with milliseconds, such as `"2026-12-01T08:00:00.000Z"`, with `"TIME"`.
fn without_times(body: &str) -> String {
    const SHAPE: &str = "\"0000-00-00T00:00:00.000Z\"";
    let is_time = |text: &str| {
        let same = |(byte, shape): (u8, u8)| match shape {
            b'0' => byte.is_ascii_digit(),
            other => byte == other,
        };
        text.len() >= SHAPE.len() && text.bytes().zip(SHAPE.bytes()).all(same)
    };
    let mut out = String::new();
    let mut rest = body;
    while let Some(first) = rest.chars().next() {
        if is_time(rest) && !rest.starts_with("\"2020-") {
            out += "\"TIME\"";
            rest = &rest[SHAPE.len()..];
            continue;
        }
        out.push(first);
        rest = &rest[first.len_utf8()..];
    }
    out
}

/// Replaces the value of each member `request` that ends in `-` and a number with `REQUEST`.
fn without_request_names(body: &str) -> String {
    const MEMBER: &str = "\"request\":\"";
    let mut parts = body.split(MEMBER);
    let mut out = parts.next().unwrap_or("").to_string();
    for part in parts {
        out += MEMBER;
        let (name, after) = part.split_once('"').expect("the end of the string");
        let given = name
            .rsplit_once('-')
            .is_some_and(|(_, n)| n.parse::<u64>().is_ok());
        out += if given { "REQUEST" } else { name };
        out += &format!("\"{after}");
    }
    out
}

/// Collects the JSON pointers at which two documents differ, each with both values.
fn differences(pointer: &str, actual: &Value, golden: &Value, found: &mut Vec<String>) {
    match (actual, golden) {
        (Value::Object(one), Value::Object(other)) => {
            let names: BTreeSet<&String> = one.keys().chain(other.keys()).collect();
            for name in names {
                let escaped = name.replace('~', "~0").replace('/', "~1");
                let below = format!("{pointer}/{escaped}");
                match (one.get(name), other.get(name)) {
                    (Some(one), Some(other)) => differences(&below, one, other, found),
                    (Some(_), None) => found.push(format!("{below}: is new")),
                    _ => found.push(format!("{below}: is missing")),
                }
            }
        }
        (Value::Array(one), Value::Array(other)) if one.len() == other.len() => {
            for (at, (one, other)) in one.iter().zip(other).enumerate() {
                differences(&format!("{pointer}/{at}"), one, other, found);
            }
        }
        _ if actual == golden => {}
        _ => found.push(format!("{pointer}: is {actual}, not {golden}")),
    }
}

fn hosted_tenants(folder: &Path, import: bool) -> String {
    let tenants = folder.join("tenants");
    fs::create_dir_all(&tenants).expect("a folder");
    format!("[tenants]\nfolder = {tenants:?}\nimport = {import}\n")
}

const FAST: &str = "requests_per_second = 10000";

#[test]
fn served_openapi_document_matches_golden_file() {
    let api = Administration::start(Vec::new(), FAST, |folder| hosted_tenants(folder, false));
    let answered = api.send("nobody GET /v1/openapi.json");
    assert_eq!(answered.status, 200);
    assert_eq!(answered.headers["content-type"], "application/json");
    let mut served = answered.json();
    // The only part that changes with each release.
    assert_eq!(served["info"]["version"], env!("CARGO_PKG_VERSION"));
    served["info"]["version"] = json!("VERSION");
    let golden: Value = serde_json::from_str(&golden("openapi.json")).expect("JSON");
    let mut found = Vec::new();
    differences("", &served, &golden, &mut found);
    if served != golden {
        println!("=== openapi.json\n{served:#}\n=== end of openapi.json");
    }
    found.truncate(MOST_DIFFERENCES);
    assert!(found.is_empty(), "the document differs:\n{found:#?}");
    assert!(served == golden);
}

#[test]
fn differing_documents_are_reported_by_pointer() {
    let golden = json!({"a/b": {"c": [1, 2]}, "d": 1, "e": {}});
    let actual = json!({"a/b": {"c": [1, 3]}, "e": {"f": null}});
    let mut found = Vec::new();
    differences("", &actual, &golden, &mut found);
    assert_eq!(
        found,
        ["/a~1b/c/1: is 3, not 2", "/d: is missing", "/e/f: is new"]
    );
    found.clear();
    differences("", &golden, &golden, &mut found);
    assert!(found.is_empty());
}

#[test]
fn only_times_and_generated_request_ids_are_replaced() {
    let body = r#"{"at":"2026-12-01T08:00:00.123Z","request":"a1b2-7"}"#;
    let replaced = r#"{"at":"TIME","request":"REQUEST"}"#;
    assert_eq!(without_what_varies(body), replaced);
    for kept in [
        r#"{"at":"2026-12-01","version":"1.7","request":"named"}"#,
        r#"{"since":"2020-01-01T00:00:00.000Z"}"#,
        r#"{"at":"2026-12-01T08:00:00Z"}"#,
        r#"{"at":"2026-12-01T08:00:00.123456Z"}"#,
        r#"{"detail":"no time such as 2026-12-01T08:00:00.000Z"}"#,
    ] {
        assert_eq!(without_what_varies(kept), kept);
    }
}

/// Problems that no request of a test can cause: the relay is shutting down or answers unexpectedly.
const PROBLEMS_LEFT_OUT: [&str; 1] = ["internal"];
/// All problem types of the API.
const PROBLEMS: [&str; 34] = [
    "batch-exists",
    "batch-over",
    "forbidden",
    "idempotency-key-reused",
    "internal",
    "invalid-value",
    "malformed-request",
    "needs-agreement",
    "needs-second-operator",
    "needs-word",
    "no-such-batch",
    "no-such-method",
    "no-such-path",
    "no-such-record",
    "no-such-tenant",
    "not-handed-over",
    "precondition-required",
    "record-claimed",
    "record-closed",
    "record-resting",
    "record-sending",
    "resends-spent",
    "secret",
    "stale-version",
    "tenant-draining",
    "tenant-exists",
    "tenant-removed",
    "too-many",
    "too-many-requests",
    "too-much-under-way",
    "unauthorized",
    "unavailable",
    "unreadable-body",
    "unsupported-media-type",
];

#[test]
fn every_operation_and_problem_type_is_in_a_transcript() {
    let transcripts = [
        "api-not-kept.transcript",
        "api-record-resting.transcript",
        "api-tenants.transcript",
        "api-too-many-requests.transcript",
        "api-undeliverable.transcript",
    ];
    let text: String = transcripts.iter().map(|name| golden(name)).collect();
    for problem in PROBLEMS {
        let found = text.contains(&format!("\"urn:madderpitch:problem:{problem}\""));
        assert_eq!(found, !PROBLEMS_LEFT_OUT.contains(&problem), "{problem}");
    }
    let lines: Vec<&str> = text.lines().collect();
    let done = lines.windows(2).filter(|two| two[1].starts_with("< 2"));
    let done: Vec<(&str, Vec<&str>)> = done
        .filter_map(|two| {
            let (line, _, _) = parts_of(two[0].strip_prefix("> ")?);
            let (method, target) = line.split_once(' ')?;
            Some((method, target.split('?').next()?.split('/').collect()))
        })
        .collect();
    let document: Value = serde_json::from_str(&golden("openapi.json")).expect("JSON");
    for (path, item) in document["paths"].as_object().expect("paths") {
        let wanted: Vec<&str> = path.split('/').collect();
        let is_path = |parts: &[&str]| {
            let mut both = parts.iter().zip(&wanted);
            parts.len() == wanted.len()
                && both.all(|(part, wanted)| part == wanted || wanted.starts_with('{'))
        };
        for method in item.as_object().expect("operations").keys() {
            let is_done = done
                .iter()
                .any(|(one, parts)| one.eq_ignore_ascii_case(method) && is_path(parts));
            assert!(is_done, "{method} {path}");
        }
    }
}

#[test]
fn tenant_secret_usage_audit_and_status_responses_match_golden_transcript() {
    let host = Host::new(|_, _| ok());
    let silent = Host::new(|_, _| HostResponse::Hang);
    let hosts = vec![
        entry("a", host.address, 1, "up"),
        entry("silent", silent.address, 2, "up"),
    ];
    let mut api = Administration::start(hosts, FAST, |folder| hosted_tenants(folder, false));
    let mut transcript = Transcript::of("api-tenants.transcript");
    transcript.play(&api, "before there are messages");
    let answer = api.test_bed.enqueue_for("acme", "update", 1, 20_000).1;
    assert_eq!(answer, "+OK");
    api.wait("/v1/tenants/acme/usage", |usage| {
        usage["delivered"] == 1 && usage["held"] == 0 && usage["owed"] == 0
    });
    // The host does not respond, so that the message is held while its tenant drains.
    let (id, answer) = api.test_bed.enqueue_for("drains", "update", 2, 50_000);
    assert_eq!(answer, "+OK");
    wait_until("the call", || silent.calls_of(&id).first().cloned());
    transcript.play(&api, "a message is delivered and another is held");
    api.wait("/v1/tenants/t1", |tenant| tenant["status"] == 410);
    transcript.play(&api, "a tenant is gone");
    transcript.assert_as_it_was();
}

#[test]
fn responses_without_records_or_hosted_tenants_match_golden_transcript() {
    let mut transcript = Transcript::of("api-not-kept.transcript");
    let api = Administration::start(Vec::new(), FAST, |folder| hosted_tenants(folder, false));
    transcript.play(&api, "undeliverable messages are not kept");
    let (partner, _) = partner();
    let api = Administration::start(Vec::new(), FAST, |folder| kept_records(folder, partner));
    transcript.play(&api, "the tenants are those of the settings");
    transcript.assert_as_it_was();
}

#[test]
fn rate_limited_responses_match_golden_transcript() {
    let limits = "requests_per_second = 1";
    let api = Administration::start(Vec::new(), limits, |folder| hosted_tenants(folder, false));
    let mut transcript = Transcript::of("api-too-many-requests.transcript");
    let request = "root GET /v1/openapi.json";
    // Two requests are admitted, then one per second; requests without pauses eventually exceed the rate.
    let refused = wait_until("a rejected request", || {
        let mut answered = (0..8).map(|_| api.send(request));
        answered.find(|answered| answered.status == 429)
    });
    transcript.actual.push("@ the rate is passed".into());
    transcript.note(request, &refused);
    transcript.assert_as_it_was();
}

/// Starts a partner that is queried about whether a message took effect. Returns its address and the status that it
/// responds with, which the test may change.
fn partner() -> (SocketAddr, Arc<Mutex<&'static str>>) {
    let listener: TcpListener = bind();
    let address = listener.local_addr().expect("bound");
    let says = Arc::new(Mutex::new("absent"));
    let told = says.clone();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let body = json!({"status": *told.lock().unwrap()}).to_string();
            let mut reader = BufReader::new(stream.try_clone().expect("cloned"));
            let mut line = String::new();
            while matches!(reader.read_line(&mut line), Ok(1..)) && !line.ends_with("\r\n\r\n") {}
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            drop(stream.write_all((head + &body).as_bytes()));
        }
    });
    (address, says)
}

/// Returns the operator file's section for recording undeliverable messages: one resend at a time, one resend per
/// record, and a partner at destination 1 that can be queried.
fn kept_records(folder: &Path, partner: SocketAddr) -> String {
    let kept = folder.join("kept");
    fs::create_dir_all(&kept).expect("a folder");
    format!(
        "[undeliverable]\nfolder = {kept:?}\nsettle_s = 0.0\nat_once = 1\nmax_resends = 1\n\
         [[undeliverable.partners]]\ndestination = 1\naddress = \"{partner}\"\npath = \"/s/{{id}}\"\n\
         applied = [\"done\"]\nnot_applied = [\"absent\"]\n"
    )
}

/// Submits a message and waits until it is given up and stored as the record with this number.
fn submit_until_undeliverable(
    api: &mut Administration,
    tenant: &str,
    class: &str,
    destination: u16,
    record: u32,
) {
    // A payout is not called twice, so that its first broken call ends it; messages of other classes expire.
    let left = if class == "payout" { 20_000 } else { 400 };
    let answer = api.test_bed.enqueue_for(tenant, class, destination, left).1;
    assert_eq!(answer, "+OK");
    api.wait(&format!("/v1/undeliverable/{record}"), |shown| {
        shown["id"] == record
    });
}

#[test]
fn undeliverable_record_and_batch_responses_match_golden_transcript() {
    let (partner, says) = partner();
    let host = Host::new(|_, _| HostResponse::Close);
    let silent = Host::new(|_, _| HostResponse::Hang);
    let silent_too = Host::new(|_, _| HostResponse::Hang);
    let hosts = vec![
        entry("a", host.address, 1, "up"),
        entry("silent", silent.address, 2, "up"),
        entry("b", host.address, 3, "up"),
        // Each silent host is used for one message only: after an unanswered call it may receive no other.
        entry("silent-too", silent_too.address, 4, "up"),
    ];
    let mut api = Administration::start(hosts, FAST, |folder| {
        hosted_tenants(folder, true) + &kept_records(folder, partner)
    });
    let mut transcript = Transcript::of("api-undeliverable.transcript");
    transcript.play(&api, "there are no records");
    submit_until_undeliverable(&mut api, "acme", "update", 2, 1);
    submit_until_undeliverable(&mut api, "acme", "payout", 1, 2);
    submit_until_undeliverable(&mut api, "acme", "payout", 3, 3);
    submit_until_undeliverable(&mut api, "acme", "event", 4, 4);
    submit_until_undeliverable(&mut api, "beta", "payout", 3, 5);
    submit_until_undeliverable(&mut api, "acme", "payout", 3, 6);
    thread::sleep(LONGER_THAN_A_RECORD_RESTS);
    transcript.play(&api, "six records are read and claimed");
    transcript.play(&api, "batches");
    api.wait("/v1/undeliverable-batches/empty", |batch| {
        batch["state"] == "done"
    });
    transcript.play(&api, "a batch is done");
    transcript.play(&api, "a record fails once more");
    api.wait("/v1/undeliverable/6", |record| {
        record["state"] == "open" && record["resends"] == 1
    });
    transcript.play(&api, "it was sent again as often as may be");
    *says.lock().unwrap() = "done";
    transcript.play(&api, "the partner is asked");
    api.wait("/v1/undeliverable/2", |record| {
        record["state"] == "applied-before"
    });
    transcript.play(&api, "the partner has said that it is done");
    host.script(|_, _| ok());
    transcript.play(&api, "operators say that a message was not applied");
    api.wait("/v1/undeliverable/3", |record| {
        record["state"] == "delivered"
    });
    transcript.play(&api, "it is delivered, and a tenant is removed");
    api.wait("/v1/tenants/beta", |tenant| tenant["status"] == 410);
    transcript.play(&api, "the tenant is gone");
    transcript.assert_as_it_was();
}

#[test]
fn resend_of_a_settling_record_matches_golden_transcript() {
    let (partner, _) = partner();
    let silent = Host::new(|_, _| HostResponse::Hang);
    let hosts = vec![entry("silent", silent.address, 2, "up")];
    let mut api = Administration::start(hosts, FAST, |folder| {
        hosted_tenants(folder, true) + &kept_records(folder, partner)
    });
    let mut transcript = Transcript::of("api-record-resting.transcript");
    let mut record = 0;
    let refused = wait_until("a resend to be rejected during the record's rest", || {
        record += 1;
        submit_until_undeliverable(&mut api, "acme", "update", 2, record);
        let answered = api.send(&format!("ops POST /v1/undeliverable/{record}/resend | any"));
        (answered.json()["type"] == "urn:madderpitch:problem:record-resting").then_some(answered)
    });
    transcript.actual.push("@ a record rests".into());
    transcript.note("ops POST /v1/undeliverable/RECORD/resend | any", &refused);
    transcript.assert_as_it_was();
}
