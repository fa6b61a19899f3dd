//! The program: its output and exit codes.

use std::process::{Command, Output};

fn tool(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_relay-simulator"))
        .args(arguments)
        .output()
        .expect("runs")
}

fn text(output: &[u8]) -> String {
    String::from_utf8_lossy(output).into_owned()
}

#[test]
fn bad_arguments_get_one_line_and_exit_code_2() {
    let all: [&[&str]; 8] = [
        &[],
        &["walk"],
        &["run"],
        &["run", "--seeds", "9"],
        &["run", "--seeds", "9..3"],
        &["run", "--seeds", "0..2", "--jobs", "0"],
        &["run", "--seeds", "0..2", "--json", "/nowhere/at/all"],
        &["replay", "x"],
    ];
    for arguments in all {
        let output = tool(arguments);
        assert_eq!(
            output.status.code(),
            Some(2),
            "{arguments:?}: {}",
            text(&output.stderr)
        );
        let line = text(&output.stderr);
        assert_eq!(line.lines().count(), 1, "{arguments:?}: {line}");
        assert!(line.starts_with("relay-simulator: "), "{line}");
    }
}

#[test]
fn runs_and_replays_give_the_same_digests_with_any_number_of_jobs() {
    let folder = tempfile::tempdir().expect("a directory");
    let play = |jobs: &str| {
        let file = folder.path().join(jobs);
        let path = file.to_string_lossy().into_owned();
        let output = tool(&["run", "--seeds", "20..60", "--jobs", jobs, "--json", &path]);
        assert!(output.status.success(), "{}", text(&output.stdout));
        std::fs::read_to_string(file).expect("a report")
    };
    let (one, four) = (play("1"), play("4"));
    assert_eq!(one, four);
    assert_eq!(one.lines().count(), 40);
    let first: serde_json::Value =
        serde_json::from_str(one.lines().next().expect("a line")).expect("JSON");
    assert_eq!(first["seed"], 20);
    let trace = folder.path().join("trace");
    let replayed = tool(&["replay", "20", "--trace", &trace.to_string_lossy()]);
    assert!(replayed.status.success());
    let digest = first["digest"].as_str().expect("a digest");
    assert!(
        text(&replayed.stdout).contains(digest),
        "{}",
        text(&replayed.stdout)
    );
    assert!(std::fs::read_to_string(trace)
        .expect("a trace")
        .contains("process 1 starts"));
}

#[test]
fn seed_without_a_violation_is_not_shrunk() {
    let output = tool(&["shrink", "20"]);
    assert!(output.status.success());
    assert_eq!(text(&output.stdout).trim(), "seed 20 breaks no rule");
}

#[test]
fn demo_ends_by_itself_without_violations_and_removes_its_files() {
    let folder = tempfile::tempdir().expect("a directory");
    let mut command = Command::new(env!("CARGO_BIN_EXE_relay-simulator"));
    let output = command
        .arg("demo")
        .env("TMPDIR", folder.path())
        .output()
        .expect("runs");
    let stdout = text(&output.stdout);
    assert!(output.status.success(), "{stdout}{}", text(&output.stderr));
    assert!(
        stdout.contains("Without an end: 0.") && stdout.contains("No rule was broken"),
        "{stdout}"
    );
    assert!(
        stdout.contains("partner 2 breaks") && stdout.contains("SIGKILL"),
        "{stdout}"
    );
    let left = std::fs::read_dir(folder.path())
        .expect("a directory")
        .count();
    assert_eq!(left, 0);
}
