use super::*;

use bytes::Bytes;
use runtime::OsRuntime;
use tempfile::TempDir;

const DISK_LIMIT: u64 = 1_000_000;
const ID: MessageId = 1;

fn message() -> AcceptedMessage {
    AcceptedMessage {
        name: "m1".into(),
        idempotency_key: None,
        ordering_key: None,
        class: "payout".into(),
        tenant: "acme".into(),
        destination: 1,
        deadline: 1_796_168_056_871_000,
        is_resubmitted: false,
        body: Bytes::from_static(b"body"),
    }
}

fn attempt() -> Attempt {
    Attempt {
        sent_at: 1_796_168_000_000_000,
        zone: 1,
        may_have_executed: true,
    }
}

/// A journal with one message.
fn journal(directory: &TempDir) -> Journal<OsRuntime> {
    let mut journal = reopen(directory);
    journal.accept_message(ID, message()).expect("written");
    journal
}

fn reopen(directory: &TempDir) -> Journal<OsRuntime> {
    Journal::open(OsRuntime, directory.path(), DISK_LIMIT).expect("opens")
}

/// Whether each attempt of the message may have been executed.
fn attempts(journal: &Journal<OsRuntime>) -> Vec<bool> {
    let pending = &journal.pending()[&ID];
    let attempts = pending.attempts.iter();
    attempts.map(|attempt| attempt.may_have_executed).collect()
}

/// Makes an attempt whose request is written.
fn start(journal: &mut Journal<OsRuntime>, number: u8) {
    journal
        .prepare_attempt(ID, number, attempt())
        .expect("has space");
    journal
        .start_attempt(ID, number, attempt())
        .expect("written");
}

#[test]
fn prepared_attempt_is_known_to_this_process_only() {
    let directory = TempDir::new().expect("a directory");
    let mut journal = journal(&directory);
    journal
        .prepare_attempt(ID, 0, attempt())
        .expect("has space");
    assert!(!journal.is_started(ID, 0));
    assert_eq!(attempts(&journal), [false]);
    assert_eq!(attempts(&reopen(&directory)), [false; 0]);
    // A failure to connect is not recorded either.
    let length = journal.length();
    journal.record_outcome(ID, 0, false).expect("known");
    assert_eq!(journal.length(), length);
}

#[test]
fn started_attempt_may_have_been_executed_after_a_restart() {
    let directory = TempDir::new().expect("a directory");
    let mut journal = journal(&directory);
    start(&mut journal, 0);
    assert!(journal.is_started(ID, 0));
    assert_eq!(attempts(&reopen(&directory)), [true]);
}

/// The write of the request fails midway, and the attempt continues on another connection.
#[test]
fn retracted_attempt_can_be_started_again_under_its_number() {
    let directory = TempDir::new().expect("a directory");
    let mut journal = journal(&directory);
    start(&mut journal, 0);
    journal.retract_attempt(ID, 0, attempt()).expect("written");
    assert_eq!(attempts(&journal), [false], "the attempt keeps its number");
    assert_eq!(attempts(&reopen(&directory)), [false; 0]);
    journal.start_attempt(ID, 0, attempt()).expect("written");
    assert_eq!(attempts(&reopen(&directory)), [true]);
}

#[test]
fn attempts_without_a_record_leave_a_gap_in_a_compacted_journal() {
    let directory = TempDir::new().expect("a directory");
    let mut journal = journal(&directory);
    journal
        .prepare_attempt(ID, 0, attempt())
        .expect("has space");
    start(&mut journal, 1);
    journal
        .prepare_attempt(ID, 2, attempt())
        .expect("has space");
    journal.write_missing_records().expect("written");
    assert_eq!(attempts(&journal), [false, true, false]);
    assert_eq!(attempts(&reopen(&directory)), [false, true]);
}

#[test]
fn discarded_attempt_without_a_record_is_not_written() {
    let directory = TempDir::new().expect("a directory");
    let mut journal = journal(&directory);
    let length = journal.length();
    journal
        .prepare_attempt(ID, 0, attempt())
        .expect("has space");
    journal.discard_attempt(ID, 0).expect("known");
    assert_eq!(attempts(&journal), [false; 0]);
    assert_eq!(journal.length(), length);
}

#[test]
fn attempt_of_a_message_that_has_ended_does_not_start() {
    let directory = TempDir::new().expect("a directory");
    let mut journal = journal(&directory);
    journal
        .prepare_attempt(ID, 0, attempt())
        .expect("has space");
    journal
        .record_failure(ID, DeliveryFailure::Deferred(0))
        .expect("written");
    assert!(journal.start_attempt(ID, 0, attempt()).is_err());
    journal.remove_message(ID).expect("written");
    assert!(journal.start_attempt(ID, 0, attempt()).is_err());
}

/// Guards against a delivery that the next process takes back, and against one that this process cannot.
#[test]
fn provisional_delivery_ends_the_message_for_the_next_process_until_it_is_taken_back() {
    let directory = TempDir::new().expect("a directory");
    let mut journal = journal(&directory);
    start(&mut journal, 0);
    journal.deliver_provisionally(ID).expect("written");
    assert!(journal.pending().contains_key(&ID), "kept in this process");
    assert!(!journal.is_started(ID, 0), "no call for a new owner");
    assert!(reopen(&directory).pending().is_empty());
    journal.write_missing_records().expect("written");
    assert!(reopen(&directory).pending().is_empty());

    journal.reopen_message(ID);
    assert!(journal.lacks_records());
    journal.write_missing_records().expect("written");
    assert_eq!(attempts(&reopen(&directory)), [true]);
    assert!(!journal.pending()[&ID].may_end_provisionally());
    journal.remove_message(ID).expect("written");
    assert!(reopen(&directory).pending().is_empty());
}

#[test]
fn confirmed_delivery_is_written_once() {
    let directory = TempDir::new().expect("a directory");
    let mut journal = journal(&directory);
    start(&mut journal, 0);
    journal.deliver_provisionally(ID).expect("written");
    let length = journal.length();
    journal.remove_message(ID).expect("known");
    assert!(journal.pending().is_empty());
    assert_eq!(journal.length(), length);
}
