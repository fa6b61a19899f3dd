//! Tests the user-visible behaviour of `relayctl` against transcripts in `tests/golden`: help texts, requests, tables,
//! `--json` output, lines on standard error and exit codes. A scripted server answers each invocation with fixed
//! documents.
//!
//! In a golden file, `$` is a command line, `>` a request, `<` a reply, `1|` a line of standard output, `2|` a line of
//! standard error, and `=` an exit code. Addresses, folders and random values are replaced by placeholders. The keys
//! of JSON objects are sorted, because their order depends on a feature of `serde_json` that other packages of a build
//! may enable. No test rewrites a golden file: the actual transcript is left in the build's temporary folder.

mod support;

use std::process::Command;

use serde_json::{json, Value};
use sha2::{Digest, Sha256};

use support::scripted_server::Endpoint;
use support::transcript::{lines_of, relayctl, run_with_input, Invocation, Transcript};

/// An address on which nothing listens.
const CLOSED_ADDRESS: &str = "127.0.0.1:1";

/// The names of the subcommands in a help text.
fn subcommands(usage: &str) -> Vec<String> {
    usage
        .lines()
        .skip_while(|line| *line != "Commands:")
        .skip(1)
        .take_while(|line| !line.is_empty())
        .filter_map(|line| line.strip_prefix("  ")?.split(' ').next())
        .filter(|name| !name.is_empty() && *name != "help")
        .map(String::from)
        .collect()
}

fn tenant(version: &str, spec: &Value) -> Value {
    json!({"name": "beta", "version": version, "state": "active", "spec": spec, "draining": [],
        "secrets": [{"id": "main", "created_at": "2026-12-01T08:00:00Z"}],
        "created_at": "2026-12-01T08:00:00Z", "changed_at": "2026-12-01T09:00:00Z"})
}

fn full_spec() -> Value {
    json!({"weight": 7, "rate": {"per_second": 2.5, "burst": 3}, "max_held": 50, "max_in_flight": 4,
        "classes": ["payout", "refund"], "destinations": ["10-19", "42"], "on_removal": "refuse"})
}

fn record(id: u64, state: &str) -> Value {
    json!({"id": id, "version": 3, "state": state, "holder": (state == "claimed").then_some("root"),
        "state_at": null, "message": format!("m{id}"), "tenant": "acme", "class": "payout",
        "destination": 17, "key": null, "effect": "unsafe", "key_window_s": null, "size": 4,
        "ended_at": "2026-12-01T08:00:00Z", "due_at": "2026-12-01T07:59:00Z", "reason": "out-of-time",
        "may_have_run": id % 2 == 1, "resends": 0, "attempts": [], "statements": []})
}

fn record_with_history() -> Value {
    let mut record = record(5, "open");
    record["attempts"] = json!([
        {"at": "2026-12-01T07:58:00Z", "host": "h1", "outcome": "timed-out", "may_have_run": true, "resend": 0},
        {"at": "2026-12-01T07:59:00Z", "host": null, "outcome": "refused", "may_have_run": false, "resend": 1}]);
    record["statements"] = json!([{"at": "2026-12-01T09:00:00Z", "operator": "root", "says": "not-applied", "resends": 0},
        {"at": "2026-12-01T09:30:00Z", "operator": null, "says": "unknown", "resends": 0}]);
    record["needs"] = json!("needs-word");
    record
}

fn batch(state: &str) -> Value {
    json!({"name": "night", "version": 2, "state": state, "by": "root", "made_at": "2026-12-01T09:00:00Z",
        "filter": {"class": "payout"}, "per_second": 0.5, "at_once": 2, "stop_after": 4, "found": 249,
        "may_go": 125, "needs": {"needs-word": 124}, "sent": 3, "delivered": 1, "failed": 1, "skipped": 1})
}

fn problem(status: u16, title: &str, detail: &str) -> Value {
    json!({"type": "urn:madderpitch:problem:x", "title": title, "status": status, "detail": detail})
}

#[test]
fn help_texts_match_golden_transcript() {
    let mut transcript = Transcript::new();
    let mut remaining = vec![String::new()];
    while let Some(command) = remaining.pop() {
        let usage = transcript.run(relayctl(&format!("{command} --help")));
        let usage = String::from_utf8(usage.stdout).expect("UTF-8");
        let below = subcommands(&usage);
        remaining.extend(below.iter().rev().map(|name| format!("{command} {name}")));
    }
    transcript.run(relayctl("-h"));
    transcript.run(relayctl("help tenants set"));
    transcript.verify("usage.txt");
}

#[test]
fn version_is_printed_with_the_program_name() {
    let output = run_with_input(
        {
            let mut command = Command::new(env!("CARGO_BIN_EXE_relayctl"));
            command.arg("--version").env_clear();
            command
        },
        "",
    );
    assert_eq!(
        lines_of(&output.stdout),
        [format!("relayctl {}", env!("CARGO_PKG_VERSION"))]
    );
    assert_eq!(output.status.code(), Some(0));
}

#[test]
fn rejected_arguments_match_golden_transcript() {
    let mut transcript = Transcript::new();
    for arguments in [
        "",
        "tenants",
        "secrets",
        "undeliverable",
        "undeliverable batch",
        "control",
        "nothing",
        "tenants lst",
        "tenants show",
        "tenants list --limit 3",
        "tenants create beta --burst 3",
        "tenants create beta --weight -1",
        "tenants create beta --weight ten",
        "tenants create beta --rate fast",
        "tenants create beta --on-removal keep",
        "tenants set beta --clear name",
        "tenants remove beta --wait soon",
        "tenants replace beta",
        "audit --limit 0",
        "audit --limit 1001",
        "--timeout 0 status",
        "--timeout 3601 status",
        "token root",
        "token root --role king",
        "control --at nowhere ready",
        "control --at 127.0.0.1:1 explode",
        "undeliverable show one",
        "undeliverable list --limit 0",
        "undeliverable list --limit 100001",
        "undeliverable list --may-have-run perhaps",
        "undeliverable list --destination 70000",
        "undeliverable counts --by day",
        "undeliverable attest 1",
        "undeliverable attest 1 --says maybe",
        "undeliverable claim 1 --if-version 1.2",
        "undeliverable batch plan",
    ] {
        transcript.run(relayctl(arguments));
    }
    transcript.verify("rejected_arguments.txt");
}

#[test]
fn tenant_queries_match_golden_transcript() {
    let mut transcript = Transcript::new();
    let spec = full_spec();
    let plain = json!({"name": "acme", "version": "1.1", "state": "paused", "secrets": [],
        "spec": {"weight": 500, "on_removal": "finish"}, "draining": []});
    for options in ["", "--json"] {
        transcript.run(
            relayctl(&format!("{options} tenants list"))
                .reply(200, &json!({"items": [plain], "next": "page+2"}))
                .reply(200, &json!({"items": [tenant("1.2", &spec)], "next": null})),
        );
        transcript.run(
            relayctl(&format!("{options} tenants list"))
                .reply(200, &json!({"items": [], "next": null})),
        );
        transcript.run(
            relayctl(&format!("{options} tenants show beta"))
                .tagged_reply("\"1.2\"", &tenant("1.2", &spec)),
        );
        let usage = |version: &str, draining: &[Value]| {
            json!({"name": "beta", "version": version, "since": "2026-12-01T08:00:00Z", "taken": 9,
                "delivered": 5, "refused": 1, "failed": 0, "rejected": 2, "held": 3, "in_flight": 1, "owed": 0,
                "draining": draining})
        };
        transcript.run(
            relayctl(&format!("{options} tenants usage beta"))
                .reply(200, &usage("2.1", &[usage("1.4", &[])])),
        );
    }
    transcript.verify("tenant_queries.txt");
}

#[test]
fn tenant_changes_match_golden_transcript() {
    let mut transcript = Transcript::new();
    let before = tenant("1.2", &json!({"weight": 1, "on_removal": "finish"}));
    let after = tenant("1.3", &full_spec());
    let all_options =
        "--weight 7 --rate 2.5 --burst 9 --max-held 50 --max-in-flight 4 --class payout \
        --class refund --destination 10-19 --destination 42 --on-removal refuse";
    transcript.write("spec.json", "{\"weight\": 9}");
    for arguments in [
        "tenants create beta".to_string(),
        format!("tenants create beta {all_options}"),
        "--json tenants create beta --rate 0.25".into(),
        "tenants create beta --rate 5000000.5".into(),
        "tenants set beta --weight 8 --if-version 1.2".into(),
        "--json tenants set beta --weight 8 --if-version \"1.2\"".into(),
        "tenants replace beta --from <folder>/spec.json --if-version 1.2".into(),
        "tenants pause beta --if-version 1.2".into(),
        "tenants resume beta --if-version 1.2".into(),
        "tenants remove beta --if-version 1.2".into(),
    ] {
        transcript.run(relayctl(&arguments).reply(200, &after));
    }
    for arguments in [
        format!("tenants set beta {all_options}"),
        "tenants set beta --max-held 5 --clear weight --clear rate --clear max-held --clear max-in-flight \
            --clear classes --clear destinations --clear on-removal"
            .into(),
        "tenants replace beta --from <folder>/spec.json".into(),
        "tenants pause beta".into(),
        "--json tenants resume beta".into(),
        "tenants remove beta".into(),
        "--json tenants remove beta --on-removal finish".into(),
    ] {
        transcript.run(
            relayctl(&arguments)
                .tagged_reply("\"1.2\"", &before)
                .reply(200, &after),
        );
    }
    transcript.run(
        relayctl("tenants replace beta --from - --if-version 1.2")
            .input("{\"weight\": 10}\n")
            .reply(200, &after),
    );
    transcript.verify("tenant_changes.txt");
}

#[test]
fn removal_that_waits_matches_golden_transcript() {
    let mut transcript = Transcript::new();
    let removed = tenant("1.3", &json!({}));
    let mut next_incarnation = tenant("2.1", &json!({}));
    next_incarnation["draining"] = json!(["1.3"]);
    let remove = |wait: &str| {
        relayctl(&format!("tenants remove beta --if-version 1.2 {wait}")).reply(202, &removed)
    };
    let gone = problem(404, "not found", "there is no tenant beta");
    transcript.run(
        remove("--wait 60")
            .reply(200, &removed)
            .reply(200, &next_incarnation)
            .reply(404, &gone),
    );
    transcript.run(remove("--wait 60").reply(200, &tenant("2.1", &json!({}))));
    transcript.run(remove("--wait 60").reply(410, &gone));
    transcript.run(remove("--wait 0").reply(200, &removed));
    transcript.run(remove("--wait 60").reply(403, &problem(403, "forbidden", "not this tenant")));
    transcript.verify("tenant_removal.txt");
}

#[test]
fn secrets_match_golden_transcript() {
    let mut transcript = Transcript::new();
    let shown = tenant("1.2", &full_spec());
    for options in ["", "--json"] {
        transcript.run(
            relayctl(&format!("{options} secrets add beta main"))
                .tagged_reply("\"1.2\"", &shown)
                .reply(201, &tenant("1.3", &full_spec()))
                .fields_in_any_order(),
        );
        transcript.run(
            relayctl(&format!("{options} secrets remove beta main"))
                .tagged_reply("\"1.2\"", &shown)
                .reply(200, &tenant("1.3", &full_spec())),
        );
    }
    transcript.run(
        relayctl("secrets add beta main --if-version 1.2")
            .reply(201, &tenant("1.3", &full_spec()))
            .fields_in_any_order(),
    );
    transcript.run(
        relayctl("secrets remove beta main --if-version 1.2")
            .reply(200, &tenant("1.3", &full_spec())),
    );
    transcript.verify("secrets.txt");
}

#[test]
fn audit_status_and_document_match_golden_transcript() {
    let mut transcript = Transcript::new();
    let entry = |seq: u64, from: Value, to: Value| {
        json!({"seq": seq, "at": "2026-12-01T08:00:00Z", "actor": "root", "role": "admin", "action": "set",
            "tenant": "beta", "from": from, "to": to})
    };
    let state = |version: &str, spec: Value| json!({"version": version, "spec": spec});
    let first_page = json!({"next": "c2", "items": [
        entry(4, state("1.2", json!({"weight": 8})), Value::Null),
        entry(3, state("1.1", json!({"weight": 1, "max_held": 3})), state("1.2", json!({"weight": 8})))]});
    let second_page = json!({"next": "c3", "items": [
        entry(2, state("1.1", json!({"weight": 1})), state("1.1", json!({"weight": 1}))),
        entry(1, Value::Null, state("1.1", json!({"classes": ["payout"]})))]});
    let status = json!({"tenants": 2, "changes": 7, "lost_changes": 0, "unwritten_audit_entries": 0,
        "since": "2026-12-01T08:00:00Z"});
    for options in ["", "--json"] {
        let audit = |arguments: &str| relayctl(&format!("{options} audit {arguments}"));
        transcript.run(
            audit("--limit 4")
                .reply(200, &first_page)
                .reply(200, &second_page),
        );
        transcript.run(audit("--tenant beta").reply(200, &json!({"items": [], "next": null})));
        transcript.run(relayctl(&format!("{options} status")).reply(200, &status));
        transcript.run(
            relayctl(&format!("{options} openapi"))
                .reply(200, &json!({"openapi": "3.1.0", "paths": {}})),
        );
    }
    transcript.run(
        relayctl("audit --limit 1000")
            .reply(200, &second_page)
            .reply(200, &json!({"items": []})),
    );
    transcript.verify("audit_status_openapi.txt");
}

#[test]
fn tokens_match_golden_transcript_and_their_digest() {
    let mut transcript = Transcript::new();
    transcript.run(relayctl("token root --role admin"));
    transcript.run(relayctl(
        "token eyes --role viewer --tenant acme --tenant north*",
    ));
    transcript.run(
        relayctl("token")
            .argument("a b")
            .argument("--role")
            .argument("viewer"),
    );
    let output = transcript.run(relayctl("--json token hands --role operator --tenant acme"));
    transcript.verify("token.txt");
    let shown: Value = serde_json::from_slice(&output.stdout).expect("JSON");
    let token = shown["token"].as_str().expect("a token");
    let digest = Sha256::digest(token.as_bytes());
    let digest: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
    assert_eq!(shown["sha256"], digest);
}

#[test]
fn undeliverable_queries_match_golden_transcript() {
    let mut transcript = Transcript::new();
    let page = |ids: &[u64], next: Value| {
        let items: Vec<Value> = ids.iter().map(|id| record(*id, "open")).collect();
        json!({"items": items, "next": next})
    };
    let all_options = "--destination 17 --class payout --reason out-of-time --tenant acme \
        --since 2026-12-01T08:00:00+01:00 --until 2026-12-02T00:00:00Z --may-have-run true --state open";
    let status = json!({"records": 250, "bytes": 4096, "unreadable": 0, "lost": 0, "sending": 1, "trouble": null,
        "dropped": [{"tenant": "acme", "cause": "age", "records": 3}]});
    for options in ["", "--json"] {
        let list = |arguments: &str| relayctl(&format!("{options} undeliverable list {arguments}"));
        transcript.run(list("--limit 2").reply(200, &page(&[5, 4], json!("c2"))));
        transcript.run(
            list("--limit 250")
                .reply(200, &page(&[3], json!("c2")))
                .reply(200, &page(&[2, 1], Value::Null)),
        );
        transcript.run(list(all_options).reply(200, &page(&[], Value::Null)));
        transcript.run(
            relayctl(&format!("{options} undeliverable show 5"))
                .tagged_reply("\"3\"", &record_with_history())
                .fields_in_any_order(),
        );
        transcript.run(relayctl(&format!("{options} undeliverable status")).reply(200, &status));
        for group in ["destination", "class", "reason", "tenant", "state"] {
            transcript.run(
                relayctl(&format!("{options} undeliverable counts --by {group}")).reply(
                    200,
                    &json!({"items": [{"value": "a", "records": 249}, {"value": "b", "records": 1}]}),
                ),
            );
        }
    }
    transcript.run(relayctl("undeliverable counts").reply(200, &json!({"items": []})));
    transcript.verify("undeliverable_queries.txt");
}

#[test]
fn undeliverable_exports_match_golden_transcript() {
    let mut transcript = Transcript::new();
    let first_page = json!({"items": [record(3, "open"), record_with_history()], "next": "c2"});
    let second_page = json!({"items": [record(1, "claimed")], "next": null});
    for arguments in ["", "--state open --to <folder>/export.jsonl"] {
        transcript.run(
            relayctl(&format!("undeliverable export {arguments}"))
                .reply(200, &first_page)
                .reply(200, &second_page),
        );
    }
    transcript.add_file("export.jsonl");
    transcript.run(relayctl("undeliverable export --to <folder>/export.jsonl"));
    transcript.run(relayctl("undeliverable export --class").argument("a b"));
    transcript.verify("undeliverable_exports.txt");
}

#[test]
fn undeliverable_changes_match_golden_transcript() {
    let mut transcript = Transcript::new();
    for action in [
        "claim 5",
        "release 5",
        "resend 5",
        "ask 5",
        "attest 5 --says applied",
        "attest 5 --says not-applied",
        "attest 5 --says unknown",
        "discard 5",
    ] {
        transcript.run(
            relayctl(&format!("undeliverable {action}"))
                .tagged_reply("\"3\"", &record(5, "open"))
                .reply(200, &record(5, "claimed")),
        );
    }
    transcript.run(
        relayctl("--json undeliverable claim 5 --if-version 3").reply(200, &record(5, "claimed")),
    );
    let refused = problem(
        409,
        "not now",
        "needs-word: its partner or two operators have to say",
    );
    transcript.run(relayctl("undeliverable resend 5 --if-version 3").reply(409, &refused));
    transcript.verify("undeliverable_changes.txt");
}

#[test]
fn resend_batches_match_golden_transcript() {
    let mut transcript = Transcript::new();
    let plan = "undeliverable batch plan night";
    for options in ["", "--json"] {
        let batch_command =
            |arguments: &str| relayctl(&format!("{options} undeliverable batch {arguments}"));
        transcript.run(batch_command("list").reply(
            200,
            &json!({"items": [batch("planned"), batch("cancelled")]}),
        ));
        transcript.run(batch_command("show night").tagged_reply("\"2\"", &batch("planned")));
        for action in ["run night", "pause night", "cancel night"] {
            transcript.run(
                batch_command(action)
                    .tagged_reply("\"2\"", &batch("planned"))
                    .reply(200, &batch("running")),
            );
        }
        transcript.run(relayctl(&format!("{options} {plan}")).reply(201, &batch("planned")));
    }
    transcript.run(
        relayctl(&format!(
            "{plan} --destination 17 --class payout --reason out-of-time --tenant acme --since 2026-12-01T08:00:00Z \
             --until 2026-12-02T00:00:00Z --may-have-run false --state open --per-second 0.5 --at-once 2 --stop-after 4"
        ))
        .reply(201, &batch("planned")),
    );
    transcript.run(relayctl(&format!("{plan} --state discarded")));
    transcript.run(
        relayctl("undeliverable batch run night --if-version 2").reply(200, &batch("running")),
    );
    transcript.run(relayctl("undeliverable batch show").argument("a b"));
    transcript.run(relayctl("undeliverable batch plan").argument("a b"));
    transcript.verify("resend_batches.txt");
}

#[test]
fn control_socket_commands_match_golden_transcript() {
    let mut transcript = Transcript::new();
    let metrics = "ok figures\nrelay.success.a=3\nrelay.concurrent=0\neof\n";
    for options in ["", "--json"] {
        let control = |word: &str| relayctl(&format!("{options} control --at <server> {word}"));
        transcript.run(control("ready").control_reply("ok takes clients\n"));
        transcript.run(control("drain").control_reply("ok is being emptied\n"));
        transcript.run(control("resume").control_reply("ok\n"));
        transcript.run(control("show-stat").control_reply(metrics));
        transcript.run(control("ready").control_reply("fail takes no clients: draining\n"));
        transcript.run(control("resume").control_reply("fail\n"));
    }
    let control = |word: &str| {
        relayctl(&format!("control {word}")).environment("BALANCER_CONTROL", "<server>")
    };
    transcript.run(control("ready").control_reply("ok takes clients\n"));
    for reply in [
        "",
        "ok",
        "perhaps\n",
        "ok\nrelay.x=1\n",
        "ok\nrelay.x=y\neof\n",
    ] {
        transcript.run(relayctl("--json control --at <server> show-stat").control_reply(reply));
    }
    let endpoint = Endpoint::ControlSocket;
    transcript.run(
        control("ready")
            .endpoint(endpoint)
            .raw_reply("a byte that is not UTF-8", b"ok \xff\n"),
    );
    transcript.run(
        control("ready")
            .endpoint(endpoint)
            .raw_reply("over 1 MiB", &vec![b'x'; (1 << 20) + 4096]),
    );
    transcript.run(control("--timeout 1 ready").endpoint(endpoint).no_reply());
    transcript.run(relayctl(&format!("control --at {CLOSED_ADDRESS} drain")));
    transcript.verify("control.txt");
}

#[test]
fn error_replies_match_golden_transcript() {
    let mut transcript = Transcript::new();
    let list = || relayctl("tenants list");
    for status in [
        400, 401, 403, 404, 405, 409, 410, 412, 413, 422, 423, 428, 500, 501, 502,
    ] {
        transcript.run(list().reply(status, &problem(status, "some title", "some detail")));
    }
    let mut with_field = problem(422, "invalid value", "0 is not from 1 to 10000");
    with_field["field"] = json!("spec.weight");
    transcript.run(relayctl("tenants create beta --weight 0").reply(422, &with_field));
    transcript.run(relayctl("--json tenants create beta --weight 0").reply(422, &with_field));
    transcript.run(list().reply(400, &problem(400, "two", "lines\nof text")));
    transcript.run(list().reply(409, &json!({"title": "a title alone"})));
    transcript.run(list().reply(409, &json!({"detail": "a detail alone"})));
    transcript.run(list().reply(404, &json!({})));
    for status in [404, 500, 302, 299, 599] {
        transcript.run(list().http_reply(status, "", ""));
    }
    transcript.run(list().http_reply(200, "", ""));
    transcript.run(list().http_reply(200, "", "[1, 2"));
    transcript.run(list().http_reply(404, "", "<html>"));
    transcript.run(relayctl("status").http_reply(200, "", ""));
    transcript.run(relayctl("openapi").http_reply(200, "", ""));
    transcript.verify("error_replies.txt");
}

#[test]
fn requests_to_busy_server_match_golden_transcript() {
    let mut transcript = Transcript::new();
    for status in [429, 503] {
        let busy = problem(status, "busy", "come again");
        let five_times = |invocation: Invocation| {
            (0..5).fold(invocation, |invocation, _| invocation.reply(status, &busy))
        };
        transcript.run(five_times(relayctl("tenants list")));
    }
    let busy = problem(503, "busy", "come again");
    transcript.run(
        relayctl("tenants pause beta")
            .reply(503, &busy)
            .tagged_reply("\"1.2\"", &tenant("1.2", &full_spec()))
            .reply(503, &busy)
            .reply(503, &busy)
            .reply(200, &tenant("1.3", &full_spec())),
    );
    transcript.verify("busy_server.txt");
}

#[test]
fn unreachable_servers_match_golden_transcript() {
    let mut transcript = Transcript::new();
    transcript.run(relayctl(&format!("--server {CLOSED_ADDRESS} status")));
    transcript.run(relayctl("--server unix:<folder>/nothing.sock status"));
    transcript.run(relayctl("--server nowhere status"));
    let five_times = |invocation: Invocation, shown: &str, bytes: &[u8]| {
        (0..5).fold(invocation, |invocation, _| {
            invocation.raw_reply(shown, bytes)
        })
    };
    transcript.run(five_times(
        relayctl("status"),
        "(the connection is closed)",
        b"",
    ));
    transcript.run(five_times(
        relayctl("status"),
        "half a head",
        b"HTTP/1.1 200 OK\r\ncontent-",
    ));
    transcript.run(five_times(
        relayctl("status"),
        "half a body",
        b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{",
    ));
    transcript.run(five_times(
        relayctl("status"),
        "another protocol",
        b"+PONG\r\n",
    ));
    transcript.verify("unreachable_servers.txt");
}

#[test]
fn silent_server_matches_golden_transcript() {
    let mut transcript = Transcript::new();
    let silent =
        |invocation: Invocation| (0..5).fold(invocation, |invocation, _| invocation.no_reply());
    transcript.run(silent(relayctl("--timeout 1 status")));
    transcript.verify("silent_server.txt");
}

#[test]
fn rejected_values_match_golden_transcript() {
    let mut transcript = Transcript::new();
    transcript.write("not.json", "{weight");
    for name in ["a b", "", "a/b", "ü", "a\"b"] {
        transcript.run(relayctl("tenants show").argument(name));
    }
    for arguments in [
        "tenants create a/b",
        "tenants set a/b --weight 1",
        "tenants set beta",
        "tenants pause a/b",
        "tenants usage a/b",
        "tenants remove a/b",
        "tenants replace beta --from <folder>/nothing.json",
        "tenants replace beta --from <folder>/not.json",
        "secrets add a/b main",
        "secrets remove beta a/b",
        "audit --tenant a/b",
        "undeliverable list --class a&b",
        "undeliverable list --since 2026-12-01T08:00:00Z/",
        "undeliverable list --tenant ü",
        "undeliverable export --to <folder>/nothing/export.jsonl",
    ] {
        transcript.run(relayctl(arguments));
    }
    transcript.run(relayctl("undeliverable list --reason").argument(""));
    transcript.run(relayctl("tenants replace beta --from -").input("no JSON"));
    transcript.run(
        relayctl("tenants pause beta --if-version")
            .argument("line\nbreak")
            .endpoint(Endpoint::Tcp),
    );
    let untagged = tenant("1.2", &full_spec());
    transcript.run(relayctl("tenants pause beta").reply(200, &untagged));
    transcript.run(relayctl("undeliverable claim 5").reply(200, &record(5, "open")));
    transcript.verify("rejected_values.txt");
}

#[test]
fn server_and_token_options_match_golden_transcript() {
    let mut transcript = Transcript::new();
    transcript.write("token", "from-file\n");
    transcript.write("two-lines", "from\nfile\n");
    let status = json!({"tenants": 2});
    for arguments in [
        "status",
        "--server <server> status",
        "status --server <server> --json",
        "--token-file <folder>/token status",
        "--token-file <folder>/token --timeout 3600 status",
    ] {
        transcript.run(relayctl(arguments).reply(200, &status));
    }
    transcript.run(
        relayctl("status --token-file -")
            .input("from-input\n")
            .reply(200, &status),
    );
    for (name, value) in [
        ("MADDERPITCH_TOKEN", "from-variable"),
        ("MADDERPITCH_TOKEN", ""),
        ("MADDERPITCH_TOKEN_FILE", "<folder>/token"),
    ] {
        transcript.run(
            relayctl("status")
                .environment(name, value)
                .reply(200, &status),
        );
    }
    transcript.run(
        relayctl("status --token-file <folder>/token")
            .environment("MADDERPITCH_TOKEN", "from-variable")
            .reply(200, &status),
    );
    transcript.run(
        relayctl("status")
            .endpoint(Endpoint::UnixSocket)
            .reply(200, &status),
    );
    transcript.run(relayctl("--token-file <folder>/nothing status"));
    transcript.run(relayctl("--token-file <folder>/two-lines status"));
    transcript.verify("server_and_token.txt");
}
