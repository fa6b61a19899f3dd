//! Seeded random events with random settings from the range that a site may use. The harness checks the rules in
//! `support/rules.rs`.

mod support;

use policy::types::{
    AttemptOutcome, DestinationKind, Event, HostEntry, HostId, HostState, Idempotency, MessageId,
    Settings, ValueDecay, WeightSource,
};
use support::{settings, PolicyHarness, TestRng, KEYED, MILLISECOND, SECOND};

/// Distance between host identifiers, so that they cannot be mistaken for indices.
const HOST_ID_STEP: HostId = 7919;
const HOST_COUNT: u64 = 9;

fn random_settings(rng: &mut TestRng) -> Settings {
    let mut settings = settings();
    for class in &mut settings.classes {
        class.is_ordered = rng.below(3) == 0;
        class.time_to_live = rng.choose(&[10 * MILLISECOND, SECOND, 8 * SECOND, 20 * SECOND]);
        class.latency_objective = class.latency_objective.min(class.time_to_live);
    }
    settings.classes[usize::from(KEYED)].idempotency = Idempotency::Keyed {
        window: (1 + rng.below(8)) * SECOND,
        zone_only: rng.flip(),
    };
    settings.kinds = vec![
        DestinationKind {
            has_host_routes: rng.flip(),
            max_messages_per_call: 1,
        },
        DestinationKind {
            has_host_routes: rng.flip(),
            max_messages_per_call: 1 + rng.below(4) as usize,
        },
    ];
    settings.max_calls = rng.choose(&[0, 1, 2, 8, 30]);
    settings.max_queued = rng.choose(&[4, 20, 200]);
    settings.max_attempts = 1 + rng.below(8) as usize;
    settings.replicas = 1 + rng.below(6) as usize;
    settings.can_probe = rng.flip();
    settings.can_cancel = rng.flip();
    settings.polls_discovery = rng.flip();
    settings.weight_source = rng.choose(&[
        WeightSource::Absent,
        WeightSource::Rough,
        WeightSource::Nominal,
    ]);
    settings.decay = rng.choose(&[ValueDecay::Linear, ValueDecay::Halving]);
    settings
}

fn host_entry(index: u64) -> HostEntry {
    HostEntry {
        host: index as HostId * HOST_ID_STEP,
        destination: (index % 4) as u16,
        kind: (index % 4 % 2) as u8,
        zone: (index % 3) as u8,
        state: HostState::Ready,
        weight: 3.0,
    }
}

fn all_hosts() -> Vec<HostEntry> {
    (0..HOST_COUNT).map(host_entry).collect()
}

/// A random outcome of a call. A third of the calls, chosen at random, may fail.
fn random_outcome(rng: &mut TestRng, host: HostId) -> AttemptOutcome {
    let may_fail = (u64::from(host / HOST_ID_STEP) + rng.below(3)).is_multiple_of(3);
    match rng.below(if may_fail { 8 } else { 3 }) {
        0..=2 => AttemptOutcome::Delivered,
        3 => AttemptOutcome::Error,
        4 => AttemptOutcome::Rejected {
            retry_after: rng.below(2) * rng.below(3000) * MILLISECOND,
        },
        5 => AttemptOutcome::ConnectFailed,
        6 => AttemptOutcome::Reset,
        _ => AttemptOutcome::Obsolete,
    }
}

fn end_random_attempt(harness: &mut PolicyHarness, rng: &mut TestRng) {
    let in_flight = harness.in_flight();
    if in_flight.is_empty() {
        return;
    }
    let attempt = rng.choose(&in_flight);
    let outcome = random_outcome(rng, attempt.host);
    harness.end_attempt(attempt.id, outcome);
}

/// Changes the host list, lets discovery fail, or withdraws a message.
fn apply_rare_event(harness: &mut PolicyHarness, rng: &mut TestRng, ids: &[MessageId]) {
    match rng.below(6) {
        0 => {
            let entry = host_entry(rng.below(HOST_COUNT));
            let state = rng.choose(&[HostState::Ready, HostState::Draining, HostState::Removed]);
            harness.change_hosts(vec![HostEntry { state, ..entry }]);
        }
        1 => {
            let count = rng.below(HOST_COUNT + 1);
            harness.replace_hosts((0..count).map(host_entry).collect());
        }
        2 => harness.handle(vec![Event::DiscoveryFailed]),
        3 if !ids.is_empty() => harness.withdraw(rng.choose(ids)),
        _ => harness.replace_hosts(all_hosts()),
    }
}

fn run_random_events(seed: u64) {
    let mut rng = TestRng(seed.wrapping_mul(0x9e37_79b9) + 1);
    let settings = random_settings(&mut rng);
    let mut harness = PolicyHarness::new(settings, all_hosts());
    let mut ids = Vec::new();
    for _ in 0..400 {
        match rng.below(10) {
            0..=2 => {
                let key = Some(rng.below(4)).filter(|key| *key > 0);
                let class = rng.below(3) as u16;
                let destination = rng.below(5) as u16;
                ids.push(harness.receive(class, destination, key));
            }
            3..=6 => end_random_attempt(&mut harness, &mut rng),
            7 => {
                if let Some(id) = harness.cancelled().first() {
                    harness.end_attempt(*id, AttemptOutcome::Cancelled);
                }
            }
            8 => apply_rare_event(&mut harness, &mut rng, &ids),
            _ => harness.advance(rng.below(900) * MILLISECOND),
        }
    }
    harness.advance(40 * SECOND);
}

#[test]
fn rules_hold_under_random_events() {
    (0..800).for_each(run_random_events);
}
