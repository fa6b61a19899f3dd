use super::*;

use crate::completed_names::NameLimits;
use bytes::Bytes;
use runtime::OsRuntime;
use tempfile::TempDir;

const DISK_LIMIT: u64 = 1_000_000;
const ID: MessageId = 1;
const NOW: Micros = 1_796_168_000_000_000;

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
    let names = SharedNames::default();
    Journal::open(OsRuntime, directory.path(), DISK_LIMIT, names, NOW).expect("opens")
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
    journal.deliver_provisionally(ID, NOW).expect("written");
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
    journal.deliver_provisionally(ID, NOW).expect("written");
    let length = journal.length();
    journal.remove_message(ID).expect("known");
    assert!(journal.pending().is_empty());
    assert_eq!(journal.length(), length);
}

/// A journal whose names of ended messages the test can look up.
fn open_with_names(directory: &TempDir) -> (Journal<OsRuntime>, SharedNames) {
    let limits = NameLimits {
        all: 1_000,
        not_repeatable: 1_000,
    };
    let names = Rc::new(RefCell::new(CompletedNames::new(7, limits, 0)));
    let journal = Journal::open(OsRuntime, directory.path(), DISK_LIMIT, names.clone(), NOW);
    (journal.expect("opens"), names)
}

fn is_known(names: &SharedNames) -> bool {
    names.borrow().owner("acme", "m1").is_some()
}

#[test]
fn name_of_a_completed_message_survives_restarts_and_compactions() {
    let directory = TempDir::new().expect("a folder");
    let mut journal = journal(&directory);
    journal.remove_message(ID).expect("written");
    drop(journal);
    for _ in 0..2 {
        let (mut journal, names) = open_with_names(&directory);
        assert!(is_known(&names));
        journal.write_missing_records().expect("written");
    }
    assert!(is_known(&open_with_names(&directory).1));
}

#[test]
fn name_of_a_withdrawn_or_deferred_message_is_free_after_a_restart() {
    let directory = TempDir::new().expect("a folder");
    let mut withdrawn = journal(&directory);
    withdrawn.withdraw_message(ID).expect("written");
    assert!(withdrawn.pending().is_empty());
    drop(withdrawn);
    assert!(!is_known(&open_with_names(&directory).1));
    let mut deferred = journal(&directory);
    let failure = DeliveryFailure::Deferred(500);
    deferred.record_failure(ID, failure).expect("written");
    deferred.remove_message(ID).expect("written");
    drop(deferred);
    assert!(!is_known(&open_with_names(&directory).1));
}

#[test]
fn name_of_a_provisionally_delivered_message_survives_a_compaction() {
    let directory = TempDir::new().expect("a folder");
    drop(journal(&directory));
    let (mut journal, _) = open_with_names(&directory);
    journal.deliver_provisionally(ID, NOW).expect("written");
    journal.write_missing_records().expect("written");
    drop(journal);
    let (journal, names) = open_with_names(&directory);
    assert!(journal.pending().is_empty() && is_known(&names));
}
