//! The command line against a relay in this process: what it prints, and the exit codes that scripts use.

use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::thread;
use std::time::{Duration, Instant};

use runtime::{OsRuntime, Runtime};
use serde_json::{json, Value};
use undeliverable::record::{Idempotency, Origin};
use undeliverable::{Attempt, Outcome, Reason, Record, RecordState, Store};

const CTL: &str = env!("CARGO_BIN_EXE_relayctl");

/// What a relay without hosts is told.
fn configuration(folder: &Path) -> Value {
    let free = || {
        TcpListener::bind("127.0.0.1:0")
            .and_then(|l| l.local_addr())
            .expect("a port")
            .to_string()
    };
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

/// Fills a store with payouts that were given up; every other one may have run.
fn fill(folder: &Path, count: u64) {
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

struct Scene {
    folder: tempfile::TempDir,
    server: String,
}

impl Scene {
    /// A relay that runs in this process until that ends. The variable that names its configuration is the
    /// process's, so that one test does it all.
    fn start() -> Scene {
        let folder = tempfile::tempdir().expect("a folder");
        let at = |name: &str| folder.path().join(name);
        std::fs::create_dir(at("state")).expect("a folder");
        std::fs::create_dir(at("tenants")).expect("a folder");
        std::fs::create_dir(at("kept")).expect("a folder");
        fill(&at("kept"), 250);
        std::fs::write(at("config.json"), configuration(&at("state")).to_string())
            .expect("written");
        let server = format!("unix:{}", at("admin.sock").display());
        let mut text = format!(
            "[tenants]\nfolder = {:?}\n[admin]\nlisten = {server:?}\n",
            at("tenants")
        );
        for (name, role) in [("root", "admin"), ("eyes", "viewer")] {
            let made = Command::new(CTL)
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
        let scene = Scene { folder, server };
        let start = Instant::now();
        while !scene.path("admin.sock").exists() {
            assert!(
                start.elapsed() < Duration::from_secs(60),
                "the relay does not start"
            );
            thread::sleep(Duration::from_millis(5));
        }
        scene
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    fn command(&self, token: &str, arguments: &[&str]) -> Command {
        let mut command = Command::new(CTL);
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

    /// What is printed, of a command that does well.
    fn good(&self, arguments: &[&str]) -> String {
        let output = self.run(arguments);
        assert_eq!(
            output.status.code(),
            Some(0),
            "{arguments:?}: {}",
            text(&output.stderr)
        );
        text(&output.stdout)
    }

    fn json(&self, arguments: &[&str]) -> Value {
        let printed = self.good(&[&["--json"], arguments].concat());
        serde_json::from_str(&printed).expect("JSON")
    }

    /// The exit code of a command that does not, which prints one line.
    fn code(&self, arguments: &[&str]) -> Option<i32> {
        code(&self.run(arguments))
    }
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn code(output: &Output) -> Option<i32> {
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
#[expect(clippy::too_many_lines, reason = "one scenario from start to end")]
fn a_tenants_life_from_a_shell() {
    let scene = Scene::start();
    // The tenant of the settings, with its share as its weight.
    let listed = scene.good(&["tenants", "list"]);
    let line: Vec<&str> = listed
        .lines()
        .nth(1)
        .expect("a line")
        .split_whitespace()
        .collect();
    assert_eq!(line[..4], ["acme", "active", "1.1", "500"]);
    let made = scene.json(&[
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
    let set = scene.json(&[
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
        scene.code(&[
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
        scene.json(&[
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
    std::fs::write(scene.path("spec.json"), "{\"weight\": 9}").expect("written");
    let spec = scene.path("spec.json").display().to_string();
    let replaced = scene.json(&["tenants", "replace", "beta", "--from", &spec]);
    assert_eq!(
        replaced["spec"],
        json!({"weight": 9, "on_removal": "finish"})
    );
    assert_eq!(scene.json(&["tenants", "pause", "beta"])["state"], "paused");
    assert_eq!(
        scene.json(&["tenants", "resume", "beta"])["state"],
        "active"
    );
    let secret = scene.json(&["secrets", "add", "beta", "main"]);
    assert!(
        secret["secret"]
            .as_str()
            .is_some_and(|secret| secret.len() == 43),
        "{secret}"
    );
    assert_eq!(
        scene.json(&["tenants", "show", "beta"])["secrets"][0]["id"],
        "main"
    );
    assert_eq!(
        scene.json(&["secrets", "remove", "beta", "main"])["secrets"],
        json!([])
    );
    let usage = scene.good(&["tenants", "usage", "beta"]);
    assert!(
        usage.starts_with("VERSION") && usage.contains("IN FLIGHT"),
        "{usage}"
    );
    assert_eq!(
        scene.json(&["tenants", "remove", "beta", "--wait", "30"])["state"],
        "draining"
    );
    assert_eq!(scene.code(&["tenants", "show", "beta"]), Some(3));
    let audit = scene.good(&["audit", "--tenant", "beta", "--limit", "3"]);
    assert_eq!(audit.lines().count(), 4, "{audit}");
    assert!(
        audit.contains("secret_dropped") && audit.contains("gone"),
        "{audit}"
    );
    assert!(scene.good(&["audit"]).contains("weight 8 > 9"));
    assert!(scene.good(&["status"]).contains("lost changes"));
    assert_eq!(
        serde_json::from_str::<Value>(&scene.good(&["openapi"])).expect("JSON")["openapi"],
        "3.1.0"
    );

    // The exit codes.
    assert_eq!(scene.code(&["tenants", "set", "acme"]), Some(2));
    assert_eq!(scene.code(&["tenants", "show", "a b"]), Some(2));
    assert_eq!(
        scene.code(&["tenants", "replace", "acme", "--from", "/nowhere/at/all"]),
        Some(2)
    );
    assert_eq!(scene.code(&["tenants", "show", "none"]), Some(3));
    assert_eq!(scene.code(&["tenants", "pause", "none"]), Some(3));
    assert_eq!(scene.code(&["tenants", "create", "acme"]), Some(4));
    assert_eq!(
        scene.code(&["tenants", "create", "gamma", "--weight", "0"]),
        Some(8)
    );
    let eyes = scene
        .command("eyes", &["tenants", "pause", "acme"])
        .output()
        .expect("runs");
    assert_eq!(code(&eyes), Some(5));
    let nobody = scene
        .command("spec.json", &["tenants", "list"])
        .output()
        .expect("runs");
    assert_eq!(code(&nobody), Some(5));
    assert_eq!(
        scene.code(&["--server", "unix:/nowhere/at/all", "tenants", "list"]),
        Some(6)
    );
    assert_eq!(scene.run(&["tenants"]).status.code(), Some(2));
    assert_eq!(scene.run(&["--help"]).status.code(), Some(0));
    undeliverable(&scene);
}

/// Undeliverable messages from the same shell.
fn undeliverable(scene: &Scene) {
    let do_with = |rest: &[&'static str]| [&["undeliverable"], rest].concat();
    let good = |rest: &[&'static str]| scene.good(&do_with(rest));
    let json = |rest: &[&'static str]| scene.json(&do_with(rest));
    let fails = |rest: &[&'static str]| scene.code(&do_with(rest));
    let listed = good(&["list", "--limit", "3"]);
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
    let counts = good(&["counts", "--by", "destination"]);
    let counted: Vec<&str> = counts.split_whitespace().collect();
    assert_eq!(counted, ["DESTINATION", "RECORDS", "17", "250"]);
    assert!(good(&["status"]).contains("250"));
    let story = good(&["show", "1"]);
    assert!(
        story.contains("needs-word") && story.contains("timed-out") && story.contains("attempts"),
        "{story}"
    );
    // An export is whole, a line a record, and does not write over a file.
    let exported = good(&["export"]);
    let lines: Vec<Value> = exported
        .lines()
        .map(|line| serde_json::from_str(line).expect("JSON"))
        .collect();
    assert_eq!(
        (lines.len(), lines[0]["message"].as_str()),
        (250, Some("m250"))
    );
    let file = scene.path("export.jsonl").display().to_string();
    let to = ["undeliverable", "export", "--state", "open", "--to", &file];
    scene.good(&to);
    assert_eq!(std::fs::read_to_string(&file).expect("written"), exported);
    assert_eq!(scene.code(&to), Some(2));
    // Changes and what they are refused with.
    assert_eq!(json(&["claim", "1"])["holder"], "root");
    assert_eq!(fails(&["claim", "1", "--if-version", "1"]), Some(4));
    assert_eq!(fails(&["resend", "1"]), Some(4), "it needs a word");
    assert_eq!(
        json(&["attest", "1", "--says", "not-applied"])["statements"][0]["operator"],
        "root"
    );
    assert_eq!(json(&["release", "1"])["state"], "open");
    assert_eq!(fails(&["ask", "1"]), Some(8), "its partner can't be asked");
    assert_eq!(json(&["discard", "1"])["state"], "discarded");
    assert_eq!(fails(&["discard", "1"]), Some(4));
    assert_eq!(fails(&["show", "999"]), Some(3));
    assert_eq!(fails(&["list", "--reason", "none"]), Some(8));
    assert_eq!(fails(&["list", "--class", "a b"]), Some(2));
    let eyes = scene
        .command("eyes", &["undeliverable", "claim", "2"])
        .output()
        .expect("runs");
    assert_eq!(code(&eyes), Some(5));
    // Batches.
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
    assert_eq!(fails(&["batch", "plan", "night"]), Some(4));
    assert_eq!(
        fails(&["batch", "plan", "closed", "--state", "discarded"]),
        Some(2)
    );
    assert_eq!(json(&["batch", "run", "night"])["state"], "running");
    assert_eq!(json(&["batch", "pause", "night"])["state"], "paused");
    assert_eq!(json(&["batch", "cancel", "night"])["state"], "cancelled");
    assert_eq!(fails(&["batch", "run", "night"]), Some(4));
    assert_eq!(fails(&["batch", "show", "none"]), Some(3));
    let batches = good(&["batch", "list"]);
    assert!(
        batches.contains("night") && batches.contains("cancelled"),
        "{batches}"
    );
}
