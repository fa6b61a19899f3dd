//! The program on the wire: how it ends.

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn drill(input: &[u8]) -> Output {
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
        .expect("takes the input");
    child.wait_with_output().expect("ends")
}

#[test]
fn end_of_input_is_a_clean_end() {
    let output = drill(&[0; 12]);
    assert!(output.status.success() && output.stderr.is_empty());
    assert_eq!(output.stdout, [0; 8]);
}

#[test]
fn bad_input_gives_one_plain_line_and_a_failure() {
    let too_short = [9u8, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1];
    let unknown = [1u8, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 99];
    for input in [&[0u8; 5][..], &too_short, &unknown] {
        let output = drill(input);
        let line = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            !output.status.success() && line.lines().count() == 1,
            "{line}"
        );
        assert!(!line.contains("panicked"), "{line}");
    }
}
