//! Records to fill a store with, and filters that match some of them. Records depend only on their numbers, and filters
//! only on the number of records.

use undeliverable::record::{Idempotency, Origin};
use undeliverable::{Attempt, Filter, Outcome, Reason, Record, RecordState};

/// Size of a message's body, in bytes.
pub(super) const BODY_BYTES: usize = 200;

/// Time between the ends of two consecutive records, in microseconds.
const RECORD_INTERVAL: u64 = 50_000;
const ATTEMPT_INTERVAL: u64 = 1000;
const HOUR: u64 = 3_600_000_000;
const DESTINATIONS: u64 = 200;
const TENANTS: u64 = 97;
const CLASSES: [&str; 3] = ["payout", "event", "update"];

/// Creates the record with this number.
pub(super) fn sample_record(number: u64) -> Record {
    let ended = number * RECORD_INTERVAL;
    let attempts = (0..1 + number % 4)
        .map(|attempt| sample_attempt(number, ended.saturating_sub(attempt * ATTEMPT_INTERVAL)))
        .collect();
    Record {
        origin: sample_origin(number, ended),
        idempotency: Idempotency::NonIdempotent,
        size: BODY_BYTES as u32,
        given_up_at: ended,
        reason: Reason::ALL[number as usize % Reason::ALL.len()],
        attempts,
        attestations: Vec::new(),
        state: RecordState::Open,
        version: 1,
        resends: 0,
        calls_ended_at: None,
    }
}

fn sample_origin(number: u64, due: u64) -> Origin {
    Origin {
        name: format!("payout-{number:09}"),
        tenant: format!("tenant-{:03}", number % TENANTS),
        class: CLASSES[number as usize % CLASSES.len()].into(),
        destination: (number % DESTINATIONS) as u16,
        idempotency_key: Some(format!("key-{number:09}")),
        ordering_key: None,
        deadline: due,
    }
}

/// Creates an attempt of the record with this number. Every third record may have executed.
fn sample_attempt(number: u64, sent: u64) -> Attempt {
    let may_have_run = number.is_multiple_of(3);
    Attempt {
        sent,
        host: format!("partner-{}-a.example", number % DESTINATIONS),
        outcome: if may_have_run {
            Outcome::TimedOut
        } else {
            Outcome::Refused
        },
        may_have_run,
        resend: 0,
    }
}

/// Filters with their names, from one that matches all records to one that matches few.
pub(super) fn sample_filters(records: u64) -> [(&'static str, Filter); 6] {
    let none = Filter::default;
    let tenant = || Some("tenant-013".to_string());
    let class = || Some(CLASSES[0].to_string());
    let middle = records * RECORD_INTERVAL / 2;
    [
        ("no filter", none()),
        (
            "destination",
            Filter {
                destination: Some(17),
                ..none()
            },
        ),
        (
            "tenant and class",
            Filter {
                tenant: tenant(),
                class: class(),
                ..none()
            },
        ),
        (
            "reason and may have run",
            Filter {
                reason: Some(Reason::AttemptsSpent),
                may_have_run: Some(true),
                ..none()
            },
        ),
        (
            "destination and an hour",
            Filter {
                destination: Some(17),
                since: Some(middle),
                until: Some(middle + HOUR),
                ..none()
            },
        ),
        (
            "tenant, class, reason: few fit",
            Filter {
                tenant: tenant(),
                class: class(),
                reason: Some(Reason::GivenUp),
                ..none()
            },
        ),
    ]
}
