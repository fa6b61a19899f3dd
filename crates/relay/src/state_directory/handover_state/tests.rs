//! Tests of the size limit of the hand-over snapshot, and of the versions that are read.

use std::io::ErrorKind;

use policy::HandoverSnapshot;

use super::{HandoverState, FORMAT_VERSION, MAX_DISK_SHARE};
use crate::journal::MAX_PAYLOAD_SIZE;
use crate::state_directory::test_support::OPEN_CALL;

const LARGE_DISK: u64 = 1_000_000_000;

fn state(completed: usize, used_rates: usize) -> HandoverState {
    let mut state = HandoverState::new(true, vec![OPEN_CALL], HandoverSnapshot::default());
    state.completed = (0..completed).map(|at| format!("completed-{at}")).collect();
    state.used_rates = (0..used_rates)
        .map(|at| (format!("tenant-{at}"), 1_000_000))
        .collect();
    state
}

/// The disk limit under which the snapshot may take `snapshot_bytes`.
fn disk_limit(snapshot_bytes: usize) -> u64 {
    (snapshot_bytes as f64 / MAX_DISK_SHARE).ceil() as u64
}

#[test]
fn snapshot_within_the_bound_is_read_completely() {
    let mut written = state(3, 2);
    let bytes = written.encode_bounded(LARGE_DISK).expect("it fits");
    let read = HandoverState::read(&bytes).expect("it is valid");
    assert!(read.is_drained);
    assert_eq!(read.open_calls, written.open_calls);
    assert_eq!(read.completed, written.completed);
    assert_eq!(read.used_rates, written.used_rates);
}

#[test]
fn bounded_snapshot_holds_the_latest_completed_names_and_the_first_used_rates() {
    let limit = 2_000;
    let bytes = state(1_000, 1_000)
        .encode_bounded(disk_limit(limit))
        .expect("it fits");
    assert!(bytes.len() <= limit, "{} bytes", bytes.len());
    let read = HandoverState::read(&bytes).expect("it is valid");
    let all = state(1_000, 1_000);
    assert!(all.completed.starts_with(&read.completed) && !read.completed.is_empty());
    assert!(all.used_rates.starts_with(&read.used_rates));
    let bytes = state(100_000, 0)
        .encode_bounded(LARGE_DISK)
        .expect("it fits");
    assert!(bytes.len() <= MAX_PAYLOAD_SIZE, "a record is never longer");
}

#[test]
fn snapshot_that_cannot_be_shortened_is_an_error() {
    let error = state(10, 10).encode_bounded(0).expect_err("no space");
    assert_eq!(error.kind(), ErrorKind::StorageFull);
    assert_eq!(
        error.to_string(),
        "the hand-over snapshot exceeds its size limit"
    );
}

#[test]
fn torn_snapshot_and_one_of_another_version_are_not_read() {
    let mut other = state(1, 0);
    let bytes = other.encode_bounded(LARGE_DISK).expect("it fits");
    assert!(HandoverState::read(&bytes[..bytes.len() - 1]).is_none());
    other.format_version = FORMAT_VERSION + 1;
    let bytes = other.encode_bounded(LARGE_DISK).expect("it fits");
    assert!(HandoverState::read(&bytes).is_none());
}
