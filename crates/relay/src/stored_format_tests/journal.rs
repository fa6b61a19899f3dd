//! The stored format of the journal, with every kind of record.

use std::cell::RefCell;
use std::fs;
use std::path::Path;
use std::rc::Rc;

use bytes::Bytes;
use policy::types::{Class, Idempotency, MessageId};
use relay_events::DeliveryFailure;
use runtime::OsRuntime;
use undeliverable::Outcome;

use super::{class, directory, golden, DISK_LIMIT};
use crate::completed_names::{CompletedNames, NameLimits, NameOwner, Repeatability};
use crate::journal::{
    AcceptedMessage, Attempt, Journal, PendingMessage, ResendOrigin, SharedNames,
};

fn accepted(name: &str, class: &str) -> AcceptedMessage {
    AcceptedMessage {
        name: name.into(),
        idempotency_key: Some(format!("k-{name}")),
        ordering_key: Some(7),
        class: class.into(),
        tenant: "acme/2".into(),
        destination: 7,
        deadline: 1_796_168_056_871_000,
        is_resubmitted: name == "m2",
        body: Bytes::from_static(b"\r\n\x00body"),
    }
}

fn attempt(number: u8, may_have_executed: bool) -> Attempt {
    Attempt {
        sent_at: 1_796_168_000_000_000 + u64::from(number),
        zone: number,
        may_have_executed,
    }
}

fn open(directory: &Path) -> std::io::Result<Journal<OsRuntime>> {
    Journal::open(OsRuntime, directory, DISK_LIMIT, SharedNames::default(), 0)
}

/// Writes a journal with every kind of record.
fn write_journal(directory: &Path) {
    let mut journal = open(directory).expect("opens");
    declare_classes(&mut journal);
    for number in 1..=6 {
        assert_eq!(journal.next_id(), number);
    }
    write_retried_message(&mut journal);
    write_deferred_message(&mut journal);
    write_completed_message(&mut journal);
    write_undeliverable_message(&mut journal);
    write_resends(&mut journal);
}

fn declare_classes(journal: &mut Journal<OsRuntime>) {
    let keyed = Idempotency::Keyed {
        window: 6_000_000,
        zone_only: true,
    };
    let classes = [
        ("event".to_string(), class(keyed)),
        ("payout".to_string(), class(Idempotency::NonIdempotent)),
        ("update".to_string(), class(Idempotency::Idempotent)),
    ];
    journal
        .declare_classes(classes.iter().map(|(name, class)| (name, class)))
        .expect("written");
}

fn accept(journal: &mut Journal<OsRuntime>, id: MessageId, class: &str) {
    journal
        .accept_message(id, accepted(&format!("m{id}"), class))
        .expect("written");
}

fn start(journal: &mut Journal<OsRuntime>, id: MessageId, number: u8, attempt: Attempt) {
    journal.start_attempt(id, number, attempt).expect("written");
}

fn write_retried_message(journal: &mut Journal<OsRuntime>) {
    accept(journal, 1, "event");
    start(journal, 1, 0, attempt(0, true));
    journal
        .record_host(1, 0, "s-0001", Outcome::Refused)
        .expect("written");
    journal.record_outcome(1, 0, false).expect("written");
    start(journal, 1, 1, attempt(1, true));
}

fn write_deferred_message(journal: &mut Journal<OsRuntime>) {
    accept(journal, 2, "payout");
    start(journal, 2, 0, attempt(0, true));
    journal.discard_attempt(2, 0).expect("written");
    journal
        .record_failure(2, DeliveryFailure::Deferred(500))
        .expect("written");
}

fn write_completed_message(journal: &mut Journal<OsRuntime>) {
    accept(journal, 3, "update");
    journal.remove_message(3).expect("written");
}

fn write_undeliverable_message(journal: &mut Journal<OsRuntime>) {
    accept(journal, 4, "payout");
    start(journal, 4, 0, attempt(2, true));
    journal
        .record_failure(4, DeliveryFailure::Undeliverable)
        .expect("written");
}

/// Writes one resend with a past attempt, which has the number 0, and one without.
fn write_resends(journal: &mut Journal<OsRuntime>) {
    let origin = ResendOrigin {
        record: 12,
        number: 3,
        past_attempt: Some(attempt(9, true)),
    };
    journal
        .accept_resend(5, accepted("m5", "event"), origin)
        .expect("written");
    start(journal, 5, 1, attempt(3, true));
    let origin = ResendOrigin {
        record: 13,
        number: 1,
        past_attempt: None,
    };
    journal
        .accept_resend(6, accepted("m6", "update"), origin)
        .expect("written");
}

#[test]
fn written_journal_matches_the_golden_file() {
    let directory = directory("journal-written");
    write_journal(&directory);
    assert_eq!(
        fs::read(directory.join("journal")).expect("written"),
        golden("journal")
    );
    fs::remove_dir_all(directory).expect("removed");
}

/// Writes the records that were added for the names of ended messages.
fn write_names(directory: &Path, names: &SharedNames) {
    let mut journal =
        Journal::open(OsRuntime, directory, DISK_LIMIT, names.clone(), 0).expect("opens");
    let now = 1_796_168_000_000_000;
    let payout = Repeatability::NotRepeatable;
    names.borrow_mut().insert(now, "acme", "m1", payout);
    names.borrow_mut().insert(now, "globex", "m2", payout);
    journal.write_missing_records().expect("written");
    accept(&mut journal, 3, "payout");
    journal.withdraw_message(3).expect("written");
}

fn names_with_seed(seed: u64) -> SharedNames {
    let names = CompletedNames::new(seed, NameLimits::default(), 0);
    Rc::new(RefCell::new(names))
}

#[test]
fn names_of_ended_messages_match_the_golden_file() {
    let directory = directory("journal-names-written");
    write_names(&directory, &names_with_seed(7));
    assert_eq!(
        fs::read(directory.join("journal")).expect("written"),
        golden("journal-names")
    );
    fs::remove_dir_all(directory).expect("removed");
}

#[test]
fn golden_names_of_ended_messages_are_read() {
    let directory = directory("journal-names-read");
    fs::write(directory.join("journal"), golden("journal-names")).expect("written");
    let names = names_with_seed(99);
    let now = 1_796_168_020_000_000;
    let opened = Journal::open(OsRuntime, &directory, DISK_LIMIT, names.clone(), now);
    assert!(opened.expect("opens").pending().is_empty());
    let names = names.borrow();
    assert_eq!(names.owner("acme", "m1"), Some(NameOwner::SameTenant));
    assert_eq!(names.owner("acme", "m2"), Some(NameOwner::OtherTenant));
    assert_eq!(names.owner("acme", "m3"), None);
    fs::remove_dir_all(directory).expect("removed");
}

#[test]
fn golden_journal_with_a_torn_tail_is_read() {
    let directory = directory("journal-read");
    let mut bytes = golden("journal");
    let length = bytes.len();
    bytes.extend(&golden("journal")[..21]);
    fs::write(directory.join("journal"), bytes).expect("written");
    let journal = open(&directory).expect("opens");
    assert_eq!(journal.length(), length, "the torn tail is truncated");
    let text = format!("{:#?}\n", summary(&journal));
    assert_eq!(
        text,
        String::from_utf8(golden("journal.txt")).expect("text")
    );
    fs::remove_dir_all(directory).expect("removed");
}

/// The content of a journal, as text that does not depend on the names of types or fields.
fn summary(journal: &Journal<OsRuntime>) -> Vec<String> {
    let messages = journal.pending().iter();
    messages
        .flat_map(|(id, pending)| message_summary(*id, pending))
        .collect()
}

fn message_summary(id: MessageId, pending: &PendingMessage) -> Vec<String> {
    let mut lines = vec![accepted_line(&pending.accepted)];
    let attempts = pending.attempts.iter();
    lines.extend(attempts.map(|attempt| format!("attempt {}", attempt_text(attempt))));
    for (number, (host, outcome)) in &pending.outcomes {
        let outcome = serde_json::to_string(outcome).expect("a word");
        lines.push(format!("outcome {number} {host} {outcome}"));
    }
    lines.extend(pending.failure.map(|failure| match failure {
        DeliveryFailure::Undeliverable => "end undeliverable".to_string(),
        DeliveryFailure::Deferred(after) => format!("end deferred {after}"),
    }));
    lines.extend(pending.resend.as_ref().map(resend_line));
    let class_version = pending.class_version.as_ref();
    lines.extend(class_version.map(|version| class_line(&version.class)));
    lines.iter().map(|line| format!("{id} {line}")).collect()
}

fn attempt_text(attempt: &Attempt) -> String {
    let Attempt {
        sent_at,
        zone,
        may_have_executed,
    } = attempt;
    format!("{sent_at}/{zone}/{may_have_executed}")
}

fn accepted_line(message: &AcceptedMessage) -> String {
    let AcceptedMessage {
        name,
        idempotency_key,
        ordering_key,
        class,
        tenant,
        destination,
        deadline,
        is_resubmitted,
        body,
    } = message;
    format!(
        "{name} {idempotency_key:?} {ordering_key:?} {class} {tenant} {destination} {deadline} {is_resubmitted} {body:?}"
    )
}

fn resend_line(origin: &ResendOrigin) -> String {
    let ResendOrigin {
        record,
        number,
        past_attempt,
    } = origin;
    let past_attempt = past_attempt.as_ref().map(attempt_text);
    format!("resend {record} {number} {past_attempt:?}")
}

fn class_line(class: &Class) -> String {
    let Class {
        latency_objective,
        objective_stretch,
        time_to_live,
        idempotency,
        value,
        late_value,
        is_ordered,
    } = class;
    let idempotency = match idempotency {
        Idempotency::Idempotent => "safe".to_string(),
        Idempotency::NonIdempotent => "unsafe".to_string(),
        Idempotency::Keyed { window, zone_only } => format!("keyed {window} {zone_only}"),
    };
    format!(
        "class {latency_objective} {objective_stretch} {time_to_live} {idempotency} {value} {late_value} {is_ordered}"
    )
}
