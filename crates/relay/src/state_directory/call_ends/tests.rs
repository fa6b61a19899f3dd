//! The channel of call ends: records arrive in pieces, and each open call ends exactly once.

use std::io::Cursor;

use policy::types::AttemptOutcome;
use relay_events::CompletedCall;

use super::{append_call_end, CallEndsReader, OpenCalls};

fn end(id: u64, attempt: u8) -> CompletedCall {
    CompletedCall {
        id,
        attempt,
        host: 3,
        outcome: AttemptOutcome::Delivered,
        is_final: false,
        load_report: None,
        elapsed: 40_000,
        opened_connection: false,
    }
}

#[test]
fn torn_record_is_read_once_it_is_complete() {
    let mut file = Cursor::new(Vec::new());
    append_call_end(&mut file, &end(7, 0)).expect("written");
    append_call_end(&mut file, &end(8, 1)).expect("written");
    let content = file.into_inner();
    let mut reader = CallEndsReader::new(OpenCalls::new(&[(7, 0, 3), (8, 1, 3)]));
    let mut ends = Vec::new();
    for length in 0..=content.len() {
        ends.extend(reader.read(&content[..length]));
    }
    assert_eq!(ends, [end(7, 0), end(8, 1)]);
    assert!(!reader.has_open_calls());
}

#[test]
fn end_of_an_unknown_call_or_another_attempt_is_ignored() {
    let mut file = Cursor::new(Vec::new());
    for other in [end(7, 1), end(9, 0), end(7, 0), end(7, 0)] {
        append_call_end(&mut file, &other).expect("written");
    }
    let mut reader = CallEndsReader::new(OpenCalls::new(&[(7, 0, 3)]));
    assert_eq!(reader.read(file.get_ref()), [end(7, 0)]);
}

#[test]
fn calls_of_a_process_that_is_gone_end_as_lost_once() {
    let mut reader = CallEndsReader::new(OpenCalls::new(&[(7, 2, 3), (8, 0, 4)]));
    assert!(reader.open_calls().remove(&end(8, 0)));
    let lost: Vec<CompletedCall> = reader.open_calls().take_lost().collect();
    let expected = CompletedCall {
        outcome: AttemptOutcome::ConnectionLost,
        elapsed: 0,
        ..end(7, 2)
    };
    assert_eq!(lost, [expected]);
    assert_eq!(reader.open_calls().take_lost().count(), 0);
}
