//! The line protocol: each call, cut at each byte, and what is none.

use control::protocol::{parse_line, LONGEST};
use control::{Command, ParsedLine};
use proptest::prelude::*;

#[test]
fn each_call_is_read_once_its_line_is_whole() {
    for call in Command::ALL {
        for end in ["\n", "\r\n", " \n"] {
            let text = format!("{call}{end}");
            for cut in 0..text.len() {
                assert_eq!(
                    parse_line(&text.as_bytes()[..cut]),
                    ParsedLine::Partial,
                    "{text:?} cut at {cut}"
                );
            }
            assert_eq!(parse_line(text.as_bytes()), ParsedLine::Command(call));
            // What follows the line is not looked at.
            assert_eq!(
                parse_line(format!("{text}more").as_bytes()),
                ParsedLine::Command(call)
            );
        }
    }
}

#[test]
fn what_is_no_call_is_told_so_at_once() {
    let long = vec![b'a'; LONGEST + 1];
    for text in [
        &b"\n"[..],
        b"READY\n",
        b"ready now\n",
        b"\xff\x00\n",
        b"show-stat\0\n",
        &long,
    ] {
        assert!(matches!(parse_line(text), ParsedLine::Wrong(_)), "{text:?}");
    }
}

proptest! {
    #[test]
    fn no_text_is_taken_for_a_call_that_it_does_not_name(text in prop::collection::vec(any::<u8>(), 0..200)) {
        if let ParsedLine::Command(call) = parse_line(&text) {
            let first = text.split(|byte| *byte == b'\n').next().unwrap_or_default();
            prop_assert_eq!(first.trim_ascii(), call.as_str().as_bytes());
        }
        if !text.contains(&b'\n') && text.len() <= LONGEST {
            prop_assert_eq!(parse_line(&text), ParsedLine::Partial);
        }
    }
}
