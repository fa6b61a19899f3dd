//! Golden files of what outlasts a process: this version writes the same bytes as the one that made the files,
//! and reads them. The files in `tests/golden` are never rewritten by a test.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use bytes::Bytes;
use policy::types::{
    Action, AttemptEnd, AttemptOutcome, Class, DestinationKind, Event, HostEntry, HostState,
    Idempotency, Message, PlatformRules, ReportField, Settings, ValueDecay, WeightSource,
};
use policy::DeliveryPolicy;
use relay_events::{CompletedCall, DeliveryFailure, HostList, HostListEntry};
use runtime::OsRuntime;

use crate::cached_state::CachedState;
use crate::journal::{decode, encode, AcceptedMessage, Attempt, Journal, ResendOrigin};
use crate::state_directory::{HandoverState, OpenCall};

const DISK_LIMIT: u64 = 3_000_000;

const OPEN_CALLS: [OpenCall; 2] = [
    OpenCall {
        id: 7,
        attempt: 0,
        host: 3,
    },
    OpenCall {
        id: 17,
        attempt: 2,
        host: 1,
    },
];

fn golden(name: &str) -> Vec<u8> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name);
    fs::read(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// An empty directory of the test's own.
fn directory(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("stored-format-{name}-{}", std::process::id()));
    drop(fs::remove_dir_all(&path));
    fs::create_dir_all(&path).expect("a directory");
    path
}

fn class(effect: Idempotency) -> Class {
    Class {
        latency_objective: 200_000,
        objective_stretch: 0.5,
        time_to_live: 60_000_000,
        idempotency: effect,
        value: 5.0,
        late_value: 0.25,
        is_ordered: true,
    }
}

fn taken(name: &str, class: &str) -> AcceptedMessage {
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

fn attempt(number: u8, may_have_run: bool) -> Attempt {
    Attempt {
        sent_at: 1_796_168_000_000_000 + u64::from(number),
        zone: number,
        may_have_executed: may_have_run,
    }
}

/// Every kind of record.
fn write_journal(directory: &Path) {
    use undeliverable::Outcome as Kept;
    let mut journal = Journal::open(OsRuntime, directory, DISK_LIMIT).expect("opens");
    let classes = [
        (
            "event".to_string(),
            class(Idempotency::Keyed {
                window: 6_000_000,
                zone_only: true,
            }),
        ),
        ("payout".to_string(), class(Idempotency::NonIdempotent)),
        ("update".to_string(), class(Idempotency::Idempotent)),
    ];
    journal
        .declare_classes(classes.iter().map(|(name, class)| (name, class)))
        .expect("written");
    for number in 1..=6 {
        assert_eq!(journal.next_id(), number);
    }
    journal
        .accept_message(1, taken("m1", "event"))
        .expect("written");
    journal
        .start_attempt(1, 0, attempt(0, true))
        .expect("written");
    journal
        .record_host(1, 0, "s-0001", Kept::Refused)
        .expect("written");
    journal.record_outcome(1, 0, false).expect("written");
    journal
        .start_attempt(1, 1, attempt(1, true))
        .expect("written");
    journal
        .accept_message(2, taken("m2", "payout"))
        .expect("written");
    journal
        .start_attempt(2, 0, attempt(0, true))
        .expect("written");
    journal.discard_attempt(2, 0).expect("written");
    journal
        .record_failure(2, DeliveryFailure::Deferred(500))
        .expect("written");
    journal
        .accept_message(3, taken("m3", "update"))
        .expect("written");
    journal.remove_message(3).expect("written");
    journal
        .accept_message(4, taken("m4", "payout"))
        .expect("written");
    journal
        .start_attempt(4, 0, attempt(2, true))
        .expect("written");
    journal
        .record_failure(4, DeliveryFailure::Undeliverable)
        .expect("written");
    let again = ResendOrigin {
        record: 12,
        number: 3,
        past_attempt: Some(attempt(9, true)),
    };
    journal
        .accept_resend(5, taken("m5", "event"), again)
        .expect("written");
    journal
        .start_attempt(5, 1, attempt(3, true))
        .expect("written");
    let again = ResendOrigin {
        record: 13,
        number: 1,
        past_attempt: None,
    };
    journal
        .accept_resend(6, taken("m6", "update"), again)
        .expect("written");
}

#[test]
fn journal_is_written_as_before() {
    let directory = directory("journal-written");
    write_journal(&directory);
    assert_eq!(
        fs::read(directory.join("journal")).expect("written"),
        golden("journal")
    );
    fs::remove_dir_all(directory).expect("removed");
}

#[test]
fn journal_with_a_torn_tail_is_read_as_before() {
    let directory = directory("journal-read");
    let mut bytes = golden("journal");
    let length = bytes.len();
    bytes.extend(&golden("journal")[..21]);
    fs::write(directory.join("journal"), bytes).expect("written");
    let journal = Journal::open(OsRuntime, &directory, DISK_LIMIT).expect("opens");
    assert_eq!(journal.length(), length, "the torn tail is cut off");
    let text = format!("{:#?}\n", summary(&journal));
    assert_eq!(
        text,
        String::from_utf8(golden("journal.txt")).expect("text")
    );
    fs::remove_dir_all(directory).expect("removed");
}

/// What a journal holds, in words that no renaming of types or fields touches.
fn summary(journal: &Journal<OsRuntime>) -> Vec<String> {
    let attempt = |one: &Attempt| format!("{}/{}/{}", one.sent_at, one.zone, one.may_have_executed);
    let mut lines = Vec::new();
    for (id, owed) in journal.pending() {
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
        } = &owed.accepted;
        lines.push(format!(
            "{id} {name} {idempotency_key:?} {ordering_key:?} {class} {tenant} {destination} {deadline} {is_resubmitted} {body:?}"
        ));
        lines.extend(
            owed.attempts
                .iter()
                .map(|one| format!("{id} attempt {}", attempt(one))),
        );
        for (number, (host, outcome)) in &owed.outcomes {
            let outcome = serde_json::to_string(outcome).expect("a word");
            lines.push(format!("{id} outcome {number} {host} {outcome}"));
        }
        lines.extend(owed.failure.map(|verdict| match verdict {
            DeliveryFailure::Undeliverable => format!("{id} end undeliverable"),
            DeliveryFailure::Deferred(after) => format!("{id} end deferred {after}"),
        }));
        if let Some(ResendOrigin {
            record,
            number,
            past_attempt,
        }) = &owed.resend
        {
            lines.push(format!(
                "{id} resend {record} {number} {:?}",
                past_attempt.as_ref().map(attempt)
            ));
        }
        if let Some(terms) = &owed.class_version {
            let Class {
                latency_objective,
                objective_stretch,
                time_to_live,
                idempotency,
                value,
                late_value,
                is_ordered,
            } = &*terms.class;
            let effect = match idempotency {
                Idempotency::Idempotent => "safe".to_string(),
                Idempotency::NonIdempotent => "unsafe".to_string(),
                Idempotency::Keyed { window, zone_only } => format!("keyed {window} {zone_only}"),
            };
            lines.push(format!(
                "{id} class {latency_objective} {objective_stretch} {time_to_live} {effect} {value} {late_value} {is_ordered}"
            ));
        }
    }
    lines
}

fn memory() -> CachedState {
    let line = |at: u16| HostListEntry {
        name: format!("s-{at:04x}"),
        address: SocketAddr::from(([127, 12, 0, at as u8], 40_000)),
        zone: format!("leith-dc-{}", at % 2),
        kind: ["major-partner", "partner"][usize::from(at % 2)].into(),
        destination: at / 3,
        state: if at == 4 {
            HostState::Draining
        } else {
            HostState::Ready
        },
        weight: 1234.5,
    };
    let list = HostList {
        version: 7,
        is_full: true,
        hosts: (0..6).map(line).collect(),
    };
    CachedState {
        list,
        outages: vec![
            (1, 1_796_168_056_871_000, Some(1_796_168_056_991_000)),
            (2, 17, None),
        ],
    }
}

#[test]
fn memory_is_written_and_read_as_before() {
    let directory = directory("memory");
    memory()
        .save(&OsRuntime, &directory, DISK_LIMIT)
        .expect("written");
    assert_eq!(
        fs::read(directory.join("memory")).expect("written"),
        golden("memory")
    );
    fs::write(directory.join("memory"), golden("memory")).expect("written");
    assert_eq!(CachedState::load(&OsRuntime, &directory), memory());
    fs::write(directory.join("memory"), golden("memory-without-checksum")).expect("written");
    assert_eq!(
        CachedState::load(&OsRuntime, &directory),
        memory(),
        "of a version that kept no checksum"
    );
    fs::remove_dir_all(directory).expect("removed");
}

fn settings() -> Settings {
    Settings {
        classes: vec![
            class(Idempotency::Idempotent),
            class(Idempotency::NonIdempotent),
        ],
        kinds: vec![
            DestinationKind {
                has_host_routes: true,
                max_messages_per_call: 1,
            },
            DestinationKind {
                has_host_routes: false,
                max_messages_per_call: 1,
            },
        ],
        tenants: Vec::new(),
        over_quota_value: 0.1,
        decay: ValueDecay::Linear,
        zone_fees: vec![0.0],
        cross_zone_fee: 0.0,
        max_calls: 16,
        max_queued: 100,
        max_queued_bytes: 0,
        max_attempts: 12,
        max_retry_after: 2_000_000,
        can_cancel: true,
        can_probe: false,
        polls_discovery: false,
        replicas: 3,
        zone: 0,
        weight_source: WeightSource::Nominal,
        report_fields: vec![ReportField::AllowanceLeft, ReportField::LimitPerSecond],
        rules: PlatformRules {
            max_poll_interval: 10_000_000,
            initial_capacity_share: 0.2,
            warm_up: 10_000_000,
            overload_factor: 2.0,
            overload_duration: 1_500_000,
            ordering_delay: 1_000_000,
        },
        tick: 5000,
    }
}

/// A module with routes in every state: healthy, refused, failing, and with a call out.
fn module() -> DeliveryPolicy {
    let mut relay = DeliveryPolicy::new(settings(), 7);
    let entry = |host: u32| HostEntry {
        host,
        destination: (host / 2) as u16,
        kind: (host % 2) as u8,
        zone: 0,
        state: HostState::Ready,
        weight: 20.0,
    };
    let mut now = 1_000_000;
    let mut actions = Vec::new();
    let list = Event::HostsUpdated {
        is_full: true,
        cached: false,
        entries: (0..8).map(entry).collect(),
    };
    relay.handle(now, [list], &mut actions);
    for id in 1..=40u64 {
        now += 100_000;
        let message = Message {
            id,
            class: (id % 2) as u16,
            destination: (id % 4) as u16,
            deadline: now + 60_000_000,
            ordering_key: Some(id % 5),
            expected_work: None,
            tenant: 0,
            is_resubmitted: false,
            size: 10,
        };
        actions.clear();
        relay.handle(now, [Event::MessageReceived(message)], &mut actions);
        let ends = actions.iter().filter_map(|action| match action {
            Action::Send { id, host, .. } if id % 10 != 7 => {
                let outcome = match host / 2 {
                    0 => AttemptOutcome::Delivered,
                    1 => AttemptOutcome::Rejected {
                        retry_after: 700_000,
                    },
                    2 => AttemptOutcome::Error,
                    _ => AttemptOutcome::ConnectFailed,
                };
                let report = vec![0.5, 30.0];
                let (id, host) = (*id, *host);
                Some(Event::AttemptEnded(AttemptEnd {
                    id,
                    attempt: 0,
                    host,
                    outcome,
                    elapsed: 40_000,
                    is_final: false,
                    load_report: report,
                }))
            }
            _ => None,
        });
        let ends: Vec<Event> = ends.collect();
        now += 40_000;
        relay.handle(now, ends, &mut Vec::new());
    }
    relay
}

fn state() -> HandoverState {
    let mut state = HandoverState::new(true, OPEN_CALLS.to_vec(), module().handover_snapshot());
    state.host_numbers = vec![("s-0001".into(), 1), ("s-0003".into(), 3)];
    state.completed = vec!["acme\nm9".into(), "acme\nm8".into()];
    state
}

#[test]
fn hand_over_state_is_written_and_read_as_before() {
    let text = golden("upgrade.state");
    assert_eq!(encode(&state()).expect("encodes"), text);
    let (read, size) = decode::<HandoverState>(&text)
        .expect("known")
        .expect("whole");
    assert_eq!(size, text.len());
    assert_eq!(
        (
            read.is_drained,
            &read.open_calls,
            &read.host_numbers,
            &read.completed
        ),
        (
            true,
            &OPEN_CALLS.to_vec(),
            &vec![("s-0001".to_string(), 1), ("s-0003".to_string(), 3)],
            &vec!["acme\nm9".to_string(), "acme\nm8".to_string()],
        )
    );
    assert_eq!(
        encode(&read).expect("encodes"),
        text,
        "the module's part, too, is read whole"
    );
}

fn call_ends() -> Vec<CompletedCall> {
    let outcomes = [
        AttemptOutcome::Delivered,
        AttemptOutcome::Error,
        AttemptOutcome::Rejected {
            retry_after: 700_000,
        },
        AttemptOutcome::Timeout,
        AttemptOutcome::ConnectFailed,
        AttemptOutcome::Reset,
        AttemptOutcome::ConnectionLost,
        AttemptOutcome::Cancelled,
        AttemptOutcome::Obsolete,
        AttemptOutcome::NotStarted,
    ];
    let ends = outcomes.into_iter().zip(1u64..);
    let end = |(outcome, id): (AttemptOutcome, u64)| CompletedCall {
        id,
        attempt: id as u8,
        host: 3,
        outcome,
        is_final: id == 1,
        load_report: (id % 2 == 0).then(|| "x0=0.4,x1=25".to_string()),
        elapsed: 40_000 + id,
        opened_connection: id == 5,
    };
    ends.map(end).collect()
}

#[test]
fn ends_of_calls_in_a_hand_over_are_written_and_read_as_before() {
    let text = golden("upgrade.ends");
    let written: Vec<u8> = call_ends()
        .iter()
        .flat_map(|end| encode(end).expect("encodes"))
        .collect();
    assert_eq!(written, text);
    let mut rest = &text[..];
    let mut read = Vec::new();
    while let Some((end, size)) = decode::<CompletedCall>(rest).expect("known") {
        read.push(end);
        rest = &rest[size..];
    }
    assert_eq!(read, call_ends());
    assert!(rest.is_empty());
}
