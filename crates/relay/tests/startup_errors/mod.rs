//! Golden files of the errors that the program reports when it cannot start: for each case an input, the exit code, and
//! the one line on standard error. No test writes these files.
//!
//! A case is `== NAME`, the lines of its input, `-- exit CODE`, and the expected line.

use std::io::Read;
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use crate::support::TEST_TIMEOUT;

/// One input and the expected output of the program.
pub struct Case {
    pub name: String,
    pub input: Vec<String>,
    /// Exit code and standard error, as in the file.
    pub expected: String,
}

/// Reads a golden file as a whole; lines before the first case are comments.
pub fn cases(file: &str) -> Vec<Case> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(file);
    let text = std::fs::read_to_string(path).expect("a golden file");
    let cases: Vec<Case> = text.split("\n== ").skip(1).map(case).collect();
    let mut names: Vec<&str> = cases.iter().map(|case| case.name.as_str()).collect();
    names.sort_unstable();
    names.dedup();
    assert_eq!(names.len(), cases.len(), "two cases have the same name");
    cases
}

fn case(text: &str) -> Case {
    let (input, expected) = text.split_once("\n-- ").expect("input and expected output");
    let mut lines = input.lines().map(String::from);
    Case {
        name: lines.next().expect("a name"),
        input: lines.collect(),
        expected: expected.trim_end_matches('\n').into(),
    }
}

/// Runs a program that should exit at once. Returns its exit code and standard error, formatted as in the file.
pub fn run(mut command: Command) -> String {
    let mut process = command
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("starts");
    let start = Instant::now();
    let status = loop {
        if let Some(status) = process.try_wait().expect("a status") {
            break status;
        }
        if start.elapsed() > TEST_TIMEOUT {
            process.kill().expect("killed");
            process.wait().expect("ended");
            return "did not end".into();
        }
        std::thread::sleep(Duration::from_millis(1));
    };
    let (mut output, mut errors) = (String::new(), String::new());
    let stdout = process.stdout.as_mut().expect("piped");
    stdout.read_to_string(&mut output).expect("text");
    let stderr = process.stderr.as_mut().expect("piped");
    stderr.read_to_string(&mut errors).expect("text");
    assert_eq!(output, "", "standard output is not empty");
    let code = status.code().expect("an exit code");
    let line = errors.strip_suffix('\n').expect("a complete line");
    assert!(!line.contains('\n'), "more than one line: {errors}");
    format!("exit {code}\n{line}")
}

/// Compares every case with the program's current output, and reports all that differ.
pub fn check(file: &str, answer: impl Fn(&Case) -> String) {
    let cases = cases(file);
    let differ: Vec<String> = cases
        .iter()
        .filter_map(|case| {
            let now = answer(case);
            let (name, expected) = (&case.name, &case.expected);
            (now != *expected).then(|| format!("== {name}\nexpected: {expected}\nnow: {now}\n"))
        })
        .collect();
    assert!(
        differ.is_empty(),
        "{} of {} cases of {file} differ:\n{}",
        differ.len(),
        cases.len(),
        differ.concat()
    );
}
