//! The stored formats of the hand-over snapshot and of the call ends.

use policy::types::{
    Action, AttemptEnd, AttemptOutcome, DestinationKind, Event, HostEntry, HostState, Idempotency,
    Message, MessageId, Micros, PlatformRules, ReportField, Settings, ValueDecay, WeightSource,
};
use policy::DeliveryPolicy;
use relay_events::CompletedCall;

use super::{class, golden};
use crate::journal::{decode, encode};
use crate::state_directory::{HandoverState, OpenCall};

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

/// Creates a policy with routes in every state: healthy, rejecting, failing, and with an open call.
fn policy_with_routes_in_every_state() -> DeliveryPolicy {
    let mut policy = DeliveryPolicy::new(settings(), 7);
    let mut now = 1_000_000;
    let mut actions = Vec::new();
    let list = Event::HostsUpdated {
        is_full: true,
        cached: false,
        entries: (0..8).map(host_entry).collect(),
    };
    policy.handle(now, [list], &mut actions);
    for id in 1..=40u64 {
        now += 100_000;
        actions.clear();
        policy.handle(
            now,
            [Event::MessageReceived(message(id, now))],
            &mut actions,
        );
        let ends: Vec<Event> = actions.iter().filter_map(attempt_end).collect();
        now += 40_000;
        policy.handle(now, ends, &mut Vec::new());
    }
    policy
}

fn host_entry(host: u32) -> HostEntry {
    HostEntry {
        host,
        destination: (host / 2) as u16,
        kind: (host % 2) as u8,
        zone: 0,
        state: HostState::Ready,
        weight: 20.0,
    }
}

fn message(id: MessageId, now: Micros) -> Message {
    Message {
        id,
        class: (id % 2) as u16,
        destination: (id % 4) as u16,
        deadline: now + 60_000_000,
        ordering_key: Some(id % 5),
        expected_work: None,
        tenant: 0,
        is_resubmitted: false,
        size: 10,
    }
}

/// The end of an attempt, which depends on its host; `None` for every tenth call, which stays open.
fn attempt_end(action: &Action) -> Option<Event> {
    let Action::Send { id, host, .. } = *action else {
        return None;
    };
    if id % 10 == 7 {
        return None;
    }
    let outcome = match host / 2 {
        0 => AttemptOutcome::Delivered,
        1 => AttemptOutcome::Rejected {
            retry_after: 700_000,
        },
        2 => AttemptOutcome::Error,
        _ => AttemptOutcome::ConnectFailed,
    };
    Some(Event::AttemptEnded(AttemptEnd {
        id,
        attempt: 0,
        host,
        outcome,
        elapsed: 40_000,
        is_final: false,
        load_report: vec![0.5, 30.0],
    }))
}

fn state() -> HandoverState {
    let mut state = HandoverState::new(
        true,
        OPEN_CALLS.to_vec(),
        policy_with_routes_in_every_state().handover_snapshot(),
    );
    state.host_numbers = vec![("s-0001".into(), 1), ("s-0003".into(), 3)];
    state.completed = vec!["acme\nm9".into(), "acme\nm8".into()];
    state
}

#[test]
fn handover_state_is_written_and_read_as_the_golden_file() {
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
        "the policy's part is read completely as well"
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
fn call_ends_are_written_and_read_as_the_golden_file() {
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
