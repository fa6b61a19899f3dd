//! Tests of the adapter program: exit status and error line.

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run_adapter(input: &[u8]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_madderpitch-adapter"));
    let command = command
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    let mut child = command.spawn().expect("starts");
    child
        .stdin
        .take()
        .expect("piped")
        .write_all(input)
        .expect("accepts the input");
    child.wait_with_output().expect("ends")
}

#[test]
fn end_of_input_exits_with_success() {
    let output = run_adapter(&[0; 12]);
    assert!(output.status.success() && output.stderr.is_empty());
    assert_eq!(output.stdout, [0; 8]);
}

#[test]
fn invalid_input_exits_with_failure_and_one_error_line() {
    let too_short = [9u8, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1];
    let unknown = [1u8, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 99];
    for input in [&[0u8; 5][..], &too_short, &unknown] {
        let output = run_adapter(input);
        let line = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            !output.status.success() && line.lines().count() == 1,
            "{line}"
        );
        assert!(!line.contains("panicked"), "{line}");
    }
}

#[test]
fn error_lines_name_the_program_and_the_truncated_part() {
    let truncated_payload = [9u8, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1];
    for (input, expected) in [
        (
            &[0u8; 5][..],
            "madderpitch-adapter: input ends within a header, after 5 of 12 bytes\n",
        ),
        (
            &truncated_payload,
            "madderpitch-adapter: input ends within a frame, after 1 of 9 bytes\n",
        ),
    ] {
        let output = run_adapter(input);
        assert_eq!(String::from_utf8_lossy(&output.stderr), expected);
    }
}
