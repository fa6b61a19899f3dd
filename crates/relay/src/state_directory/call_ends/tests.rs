//! Tests of the file of call ends: records may be read in pieces, and each open call ends exactly once.

use std::io::Cursor;

use policy::types::AttemptOutcome;
use relay_events::CompletedCall;

use super::{append_call_end, CallEndsReader, OpenCall, OpenCalls};
use crate::state_directory::test_support::delivered;

fn call(id: u64, attempt: u8, host: u32) -> OpenCall {
    OpenCall { id, attempt, host }
}

#[test]
fn torn_record_is_read_once_it_is_complete() {
    let mut file = Cursor::new(Vec::new());
    append_call_end(&mut file, &delivered(7, 0)).expect("written");
    append_call_end(&mut file, &delivered(8, 1)).expect("written");
    let content = file.into_inner();
    let mut reader = CallEndsReader::new(OpenCalls::new(&[call(7, 0, 3), call(8, 1, 3)]));
    let mut ends = Vec::new();
    for length in 0..=content.len() {
        ends.extend(reader.read(&content[..length]));
    }
    assert_eq!(ends, [delivered(7, 0), delivered(8, 1)]);
    assert!(!reader.has_open_calls());
}

#[test]
fn end_of_an_unknown_call_or_another_attempt_is_ignored() {
    let mut file = Cursor::new(Vec::new());
    for other in [
        delivered(7, 1),
        delivered(9, 0),
        delivered(7, 0),
        delivered(7, 0),
    ] {
        append_call_end(&mut file, &other).expect("written");
    }
    let mut reader = CallEndsReader::new(OpenCalls::new(&[call(7, 0, 3)]));
    assert_eq!(reader.read(file.get_ref()), [delivered(7, 0)]);
}

#[test]
fn calls_of_an_exited_process_end_once_as_connection_lost() {
    let mut reader = CallEndsReader::new(OpenCalls::new(&[call(7, 2, 3), call(8, 0, 4)]));
    assert!(reader.open_calls_mut().remove(&delivered(8, 0)));
    let lost: Vec<CompletedCall> = reader.open_calls_mut().drain_as_connection_lost().collect();
    let expected = CompletedCall {
        outcome: AttemptOutcome::ConnectionLost,
        elapsed: 0,
        ..delivered(7, 2)
    };
    assert_eq!(lost, [expected]);
    assert_eq!(
        reader.open_calls_mut().drain_as_connection_lost().count(),
        0
    );
}
