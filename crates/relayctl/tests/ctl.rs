//! Tests of `relayctl` against a relay in this process: the output, and the exit codes that scripts rely on.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use runtime::{OsRuntime, Runtime};
use serde_json::{json, Value};
use undeliverable::record::{Idempotency, Origin};
use undeliverable::{Attempt, Outcome, Reason, Record, RecordState, Store};

/// A port below those of outgoing connections.
const RELAY_PORT: u16 = 20_000;
const RELAYCTL: &str = env!("CARGO_BIN_EXE_relayctl");

/// Returns an address to bind. No socket is opened to choose the port: a program that another test starts at that moment
/// would hold a copy of it.
fn unused_address() -> SocketAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [high, low, ..] = std::process::id().to_le_bytes();
    let ip = Ipv4Addr::new(127, high, low, NEXT.fetch_add(1, Ordering::Relaxed));
    SocketAddr::from((ip, RELAY_PORT))
}

/// The configuration of a relay without hosts.
fn relay_configuration(folder: &Path) -> Value {
    let free = || unused_address().to_string();
    json!({"name": "n0", "listen": free(), "discovery": free(), "state": folder, "seed": "1",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256, "disk_mb": 3}, "known": {"seq": 1, "hosts": []},
        "settings": {"dcs": ["a"], "discovery": "push", "skus": ["p"], "tick": 5000, "siblings": 1,
            "familyInfo": {"callsOut": 16, "kindApart": [false], "perCall": [1]},
            "limits": {"cancelling": true, "dialTimeout": 1000000, "idleClose": 10000000, "maxAttempts": 12,
                "maxRetryAfter": 2000000, "mostHeld": 100, "retryAfter": true},
            "rules": {"cold": 1000000, "coldFrom": 0.9, "overloadFactor": 2.0, "overloadFor": 1500000},
            "services": [{"name": "payout", "aim": 200000, "giveUp": 60000000, "effect": "fragile"}],
            "tenants": [{"name": "acme", "share": 0.5}]}})
}

/// Fills a store with undeliverable payouts; every other one may have executed.
fn fill_store(folder: &Path, count: u64) {
    let record = |number: u64| Record {
        origin: Origin {
            name: format!("m{number}"),
            tenant: "acme".into(),
            class: "payout".into(),
            destination: 17,
            idempotency_key: None,
            ordering_key: None,
            deadline: 1_000_000 * number,
        },
        idempotency: Idempotency::NonIdempotent,
        size: 4,
        given_up_at: u64::from(u32::MAX) * 1_000_000,
        reason: Reason::OutOfTime,
        attempts: vec![Attempt {
            sent: 1,
            host: "h".into(),
            outcome: Outcome::TimedOut,
            may_have_run: number % 2 == 1,
            resend: 0,
        }],
        attestations: Vec::new(),
        state: RecordState::Open,
        version: 1,
        resends: 0,
        calls_ended_at: None,
    };
    let pages = OsRuntime
        .open_random_access(&folder.join("undeliverable.redb"))
        .expect("a file");
    let store = Store::open(pages, false).expect("a store");
    let records: Vec<(Record, &[u8])> = (1..=count)
        .map(|number| (record(number), &b"body"[..]))
        .collect();
    store.insert(&records).expect("kept");
}

struct TestBed {
    folder: tempfile::TempDir,
    server: String,
}

impl TestBed {
    /// Starts a relay that runs until this process ends. The environment variable that names its configuration applies to
    /// the whole process, so this file can have only one test.
    fn start_in_process() -> TestBed {
        let folder = tempfile::tempdir().expect("a folder");
        let at = |name: &str| folder.path().join(name);
        std::fs::create_dir(at("state")).expect("a folder");
        std::fs::create_dir(at("tenants")).expect("a folder");
        std::fs::create_dir(at("kept")).expect("a folder");
        fill_store(&at("kept"), 250);
        std::fs::write(
            at("config.json"),
            relay_configuration(&at("state")).to_string(),
        )
        .expect("written");
        let server = format!("unix:{}", at("admin.sock").display());
        let mut text = format!(
            "[tenants]\nfolder = {:?}\n[admin]\nlisten = {server:?}\n",
            at("tenants")
        );
        for (name, role) in [("root", "admin"), ("viewer", "viewer")] {
            let made = Command::new(RELAYCTL)
                .args(["--json", "token", name, "--role", role])
                .output()
                .expect("runs");
            let made: Value = serde_json::from_slice(&made.stdout).expect("JSON");
            let (token, sha256) = (made["token"].as_str().expect("a token"), &made["sha256"]);
            std::fs::write(at(name), format!("{token}\n")).expect("written");
            text += &format!(
                "[[admin.tokens]]\nname = {name:?}\nrole = {role:?}\nsha256 = {sha256}\ntenants = [\"*\"]\n"
            );
        }
        text += &format!("[undeliverable]\nfolder = {:?}\n", at("kept"));
        std::fs::write(at("operator.toml"), text).expect("written");
        std::env::set_var("BALANCER_CONFIG", at("config.json"));
        let operator = at("operator.toml");
        thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("a runtime");
            let run = relay::run(OsRuntime, Some(operator));
            let ended = tokio::task::LocalSet::new().block_on(&runtime, run);
            eprintln!("the relay ended: {ended:?}");
        });
        let bed = TestBed { folder, server };
        let start = Instant::now();
        while !bed.path("admin.sock").exists() {
            assert!(
                start.elapsed() < Duration::from_secs(60),
                "the relay does not start"
            );
            thread::sleep(Duration::from_millis(5));
        }
        bed
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    fn command(&self, token: &str, arguments: &[&str]) -> Command {
        let mut command = Command::new(RELAYCTL);
        command
            .env_remove("MADDERPITCH_TOKEN")
            .env("MADDERPITCH_TOKEN_FILE", self.path(token));
        command
            .env("MADDERPITCH_SERVER", &self.server)
            .args(arguments);
        command
    }

    fn run(&self, arguments: &[&str]) -> Output {
        self.command("root", arguments).output().expect("runs")
    }

    /// The output of a command, which must succeed.
    fn stdout(&self, arguments: &[&str]) -> String {
        let output = self.run(arguments);
        assert_eq!(
            output.status.code(),
            Some(0),
            "{arguments:?}: {}",
            text(&output.stderr)
        );
        text(&output.stdout)
    }

    /// The JSON output of a command, which must succeed.
    fn json(&self, arguments: &[&str]) -> Value {
        let printed = self.stdout(&[&["--json"], arguments].concat());
        serde_json::from_str(&printed).expect("JSON")
    }

    /// The exit code of a command, which must fail with one line on standard error.
    fn failure_code(&self, arguments: &[&str]) -> Option<i32> {
        failure_code_of(&self.run(arguments))
    }
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn failure_code_of(output: &Output) -> Option<i32> {
    let error = text(&output.stderr);
    assert!(
        !output.status.success() && output.stdout.is_empty(),
        "{}",
        text(&output.stdout)
    );
    assert!(
        error.starts_with("relayctl: ") && error.lines().count() == 1,
        "{error}"
    );
    output.status.code()
}

#[test]
fn commands_print_results_and_fail_with_exit_codes() {
    let bed = TestBed::start_in_process();
    check_tenant_specifications(&bed);
    check_tenant_operations(&bed);
    check_registry_queries(&bed);
    check_exit_codes(&bed);
    check_undeliverable_queries(&bed);
    check_undeliverable_export(&bed);
    check_undeliverable_changes(&bed);
    check_resend_batches(&bed);
}

fn check_tenant_specifications(bed: &TestBed) {
    // The tenant from the settings: its share of 0.5 becomes the weight 500.
    let listed = bed.stdout(&["tenants", "list"]);
    let line: Vec<&str> = listed
        .lines()
        .nth(1)
        .expect("a line")
        .split_whitespace()
        .collect();
    assert_eq!(line[..4], ["acme", "active", "1.1", "500"]);
    let made = bed.json(&[
        "tenants",
        "create",
        "beta",
        "--weight",
        "7",
        "--rate",
        "2.5",
        "--class",
        "payout",
        "--destination",
        "10-19",
        "--on-removal",
        "refuse",
    ]);
    assert_eq!(
        made["spec"],
        json!({"weight": 7, "rate": {"per_second": 2.5, "burst": 3}, "classes": ["payout"],
            "destinations": ["10-19"], "on_removal": "refuse"})
    );
    let set = bed.json(&[
        "tenants",
        "set",
        "beta",
        "--max-held",
        "5",
        "--clear",
        "rate",
        "--clear",
        "classes",
    ]);
    assert_eq!(
        (
            &set["version"],
            &set["spec"]["max_held"],
            &set["spec"]["rate"]
        ),
        (&json!("1.2"), &json!(5), &Value::Null)
    );
    assert_eq!(
        bed.failure_code(&[
            "tenants",
            "set",
            "beta",
            "--weight",
            "8",
            "--if-version",
            "1.1"
        ]),
        Some(4)
    );
    assert_eq!(
        bed.json(&[
            "tenants",
            "set",
            "beta",
            "--weight",
            "8",
            "--if-version",
            "1.2"
        ])["version"],
        "1.3"
    );
    std::fs::write(bed.path("spec.json"), "{\"weight\": 9}").expect("written");
    let spec = bed.path("spec.json").display().to_string();
    let replaced = bed.json(&["tenants", "replace", "beta", "--from", &spec]);
    assert_eq!(
        replaced["spec"],
        json!({"weight": 9, "on_removal": "finish"})
    );
}

fn check_tenant_operations(bed: &TestBed) {
    assert_eq!(bed.json(&["tenants", "pause", "beta"])["state"], "paused");
    assert_eq!(bed.json(&["tenants", "resume", "beta"])["state"], "active");
    let secret = bed.json(&["secrets", "add", "beta", "main"]);
    assert!(
        secret["secret"]
            .as_str()
            .is_some_and(|secret| secret.len() == 43),
        "{secret}"
    );
    assert_eq!(
        bed.json(&["tenants", "show", "beta"])["secrets"][0]["id"],
        "main"
    );
    assert_eq!(
        bed.json(&["secrets", "remove", "beta", "main"])["secrets"],
        json!([])
    );
    let usage = bed.stdout(&["tenants", "usage", "beta"]);
    assert!(
        usage.starts_with("VERSION") && usage.contains("IN FLIGHT"),
        "{usage}"
    );
    assert_eq!(
        bed.json(&["tenants", "remove", "beta", "--wait", "30"])["state"],
        "draining"
    );
    assert_eq!(bed.failure_code(&["tenants", "show", "beta"]), Some(3));
}

/// Checks the audit log of the changes by the preceding checks, the status, and the API's document.
fn check_registry_queries(bed: &TestBed) {
    let audit = bed.stdout(&["audit", "--tenant", "beta", "--limit", "3"]);
    assert_eq!(audit.lines().count(), 4, "{audit}");
    assert!(
        audit.contains("secret_dropped") && audit.contains("gone"),
        "{audit}"
    );
    assert!(bed.stdout(&["audit"]).contains("weight 8 > 9"));
    assert!(bed.stdout(&["status"]).contains("lost changes"));
    assert_eq!(
        serde_json::from_str::<Value>(&bed.stdout(&["openapi"])).expect("JSON")["openapi"],
        "3.1.0"
    );
}

fn check_exit_codes(bed: &TestBed) {
    assert_eq!(bed.failure_code(&["tenants", "set", "acme"]), Some(2));
    assert_eq!(bed.failure_code(&["tenants", "show", "a b"]), Some(2));
    assert_eq!(
        bed.failure_code(&["tenants", "replace", "acme", "--from", "/nowhere/at/all"]),
        Some(2)
    );
    assert_eq!(bed.failure_code(&["tenants", "show", "none"]), Some(3));
    assert_eq!(bed.failure_code(&["tenants", "pause", "none"]), Some(3));
    assert_eq!(bed.failure_code(&["tenants", "create", "acme"]), Some(4));
    assert_eq!(
        bed.failure_code(&["tenants", "create", "gamma", "--weight", "0"]),
        Some(8)
    );
    let viewer = bed
        .command("viewer", &["tenants", "pause", "acme"])
        .output()
        .expect("runs");
    assert_eq!(failure_code_of(&viewer), Some(5));
    let unauthenticated = bed
        .command("spec.json", &["tenants", "list"])
        .output()
        .expect("runs");
    assert_eq!(failure_code_of(&unauthenticated), Some(5));
    assert_eq!(
        bed.failure_code(&["--server", "unix:/nowhere/at/all", "tenants", "list"]),
        Some(6)
    );
    assert_eq!(bed.run(&["tenants"]).status.code(), Some(2));
    assert_eq!(bed.run(&["--help"]).status.code(), Some(0));
}

fn undeliverable<'a>(rest: &[&'a str]) -> Vec<&'a str> {
    [&["undeliverable"], rest].concat()
}

fn check_undeliverable_queries(bed: &TestBed) {
    let stdout = |rest: &[&str]| bed.stdout(&undeliverable(rest));
    let json = |rest: &[&str]| bed.json(&undeliverable(rest));
    let listed = stdout(&["list", "--limit", "3"]);
    assert_eq!(listed.lines().count(), 4, "{listed}");
    assert!(
        listed.starts_with("ID") && listed.contains("out-of-time"),
        "{listed}"
    );
    assert_eq!(
        json(&["list", "--may-have-run", "true", "--limit", "1000"])
            .as_array()
            .map(Vec::len),
        Some(125)
    );
    assert_eq!(
        json(&["list", "--until", "2020-01-01T00:00:00Z"]),
        json!([])
    );
    let counts = stdout(&["counts", "--by", "destination"]);
    let counted: Vec<&str> = counts.split_whitespace().collect();
    assert_eq!(counted, ["DESTINATION", "RECORDS", "17", "250"]);
    assert!(stdout(&["status"]).contains("250"));
    let history = stdout(&["show", "1"]);
    assert!(
        history.contains("needs-word")
            && history.contains("timed-out")
            && history.contains("attempts"),
        "{history}"
    );
}

/// Checks that an export is complete, has one record per line, and does not overwrite a file.
fn check_undeliverable_export(bed: &TestBed) {
    let exported = bed.stdout(&["undeliverable", "export"]);
    let lines: Vec<Value> = exported
        .lines()
        .map(|line| serde_json::from_str(line).expect("JSON"))
        .collect();
    assert_eq!(
        (lines.len(), lines[0]["message"].as_str()),
        (250, Some("m250"))
    );
    let file = bed.path("export.jsonl").display().to_string();
    let to = ["undeliverable", "export", "--state", "open", "--to", &file];
    bed.stdout(&to);
    assert_eq!(std::fs::read_to_string(&file).expect("written"), exported);
    assert_eq!(bed.failure_code(&to), Some(2));
}

fn check_undeliverable_changes(bed: &TestBed) {
    let json = |rest: &[&str]| bed.json(&undeliverable(rest));
    let failure_code = |rest: &[&str]| bed.failure_code(&undeliverable(rest));
    assert_eq!(json(&["claim", "1"])["holder"], "root");
    assert_eq!(failure_code(&["claim", "1", "--if-version", "1"]), Some(4));
    assert_eq!(
        failure_code(&["resend", "1"]),
        Some(4),
        "an attestation is missing"
    );
    assert_eq!(
        json(&["attest", "1", "--says", "not-applied"])["statements"][0]["operator"],
        "root"
    );
    assert_eq!(json(&["release", "1"])["state"], "open");
    assert_eq!(
        failure_code(&["ask", "1"]),
        Some(8),
        "its partner cannot be queried"
    );
    assert_eq!(json(&["discard", "1"])["state"], "discarded");
    assert_eq!(failure_code(&["discard", "1"]), Some(4));
    assert_eq!(failure_code(&["show", "999"]), Some(3));
    assert_eq!(failure_code(&["list", "--reason", "none"]), Some(8));
    assert_eq!(failure_code(&["list", "--class", "a b"]), Some(2));
    let viewer = bed
        .command("viewer", &["undeliverable", "claim", "2"])
        .output()
        .expect("runs");
    assert_eq!(failure_code_of(&viewer), Some(5));
}

fn check_resend_batches(bed: &TestBed) {
    let stdout = |rest: &[&str]| bed.stdout(&undeliverable(rest));
    let json = |rest: &[&str]| bed.json(&undeliverable(rest));
    let failure_code = |rest: &[&str]| bed.failure_code(&undeliverable(rest));
    let planned = json(&[
        "batch",
        "plan",
        "night",
        "--class",
        "payout",
        "--per-second",
        "0.01",
    ]);
    assert_eq!(
        (&planned["state"], &planned["found"]),
        (&json!("planned"), &json!(249))
    );
    assert_eq!(
        (&planned["may_go"], &planned["needs"]["needs-word"]),
        (&json!(125), &json!(124))
    );
    assert_eq!(failure_code(&["batch", "plan", "night"]), Some(4));
    assert_eq!(
        failure_code(&["batch", "plan", "closed", "--state", "discarded"]),
        Some(2)
    );
    assert_eq!(json(&["batch", "run", "night"])["state"], "running");
    assert_eq!(json(&["batch", "pause", "night"])["state"], "paused");
    assert_eq!(json(&["batch", "cancel", "night"])["state"], "cancelled");
    assert_eq!(failure_code(&["batch", "run", "night"]), Some(4));
    assert_eq!(failure_code(&["batch", "show", "none"]), Some(3));
    let batches = stdout(&["batch", "list"]);
    assert!(
        batches.contains("night") && batches.contains("cancelled"),
        "{batches}"
    );
}
