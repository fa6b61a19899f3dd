//! Tests of the line protocol: every command, truncated at every byte, and lines that are not commands.

use control::protocol::{parse_line, MAX_LINE_LENGTH};
use control::{Command, LineError, ParsedLine};
use proptest::prelude::*;

#[test]
fn command_is_parsed_once_its_line_is_complete() {
    for command in Command::ALL {
        for end in ["\n", "\r\n", " \n"] {
            let text = format!("{command}{end}");
            for cut in 0..text.len() {
                assert_eq!(
                    parse_line(&text.as_bytes()[..cut]),
                    ParsedLine::Partial,
                    "{text:?} cut at {cut}"
                );
            }
            assert_eq!(parse_line(text.as_bytes()), ParsedLine::Command(command));
            // Input after the line is ignored.
            assert_eq!(
                parse_line(format!("{text}more").as_bytes()),
                ParsedLine::Command(command)
            );
        }
    }
}

#[test]
fn line_that_is_not_a_command_is_rejected_at_once() {
    let long = vec![b'a'; MAX_LINE_LENGTH + 1];
    for text in [
        &b"\n"[..],
        b"READY\n",
        b"ready now\n",
        b"\xff\x00\n",
        b"show-stat\0\n",
        &long,
    ] {
        assert!(
            matches!(parse_line(text), ParsedLine::Invalid(_)),
            "{text:?}"
        );
    }
}

#[test]
fn rejected_line_has_its_reason() {
    let long = "a".repeat(MAX_LINE_LENGTH + 1);
    for (text, error, message) in [
        (long.as_str(), LineError::TooLong, "the line is too long"),
        (
            &format!("{long}\n"),
            LineError::TooLong,
            "the line is too long",
        ),
        ("reboot\n", LineError::UnknownCommand, "unknown call"),
    ] {
        assert_eq!(parse_line(text.as_bytes()), ParsedLine::Invalid(error));
        assert_eq!(error.to_string(), message);
    }
}

proptest! {
    #[test]
    fn text_is_parsed_only_as_the_command_that_it_names(text in prop::collection::vec(any::<u8>(), 0..200)) {
        if let ParsedLine::Command(command) = parse_line(&text) {
            let first = text.split(|byte| *byte == b'\n').next().unwrap_or_default();
            prop_assert_eq!(first.trim_ascii(), command.as_str().as_bytes());
        }
        if !text.contains(&b'\n') && text.len() <= MAX_LINE_LENGTH {
            prop_assert_eq!(parse_line(&text), ParsedLine::Partial);
        }
    }
}
