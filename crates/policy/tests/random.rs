//! Seeded random events, with settings drawn across what a site may allow; the checker is in `support`.

mod support;

use policy::types::{
    AttemptOutcome, DestinationKind, Event, HostEntry, HostState, Idempotency, ValueDecay,
    WeightSource,
};
use support::{settings, PolicyHarness, TestRng, MILLISECOND, SECOND};

fn play_random_events(seed: u64) {
    let mut rng = TestRng(seed.wrapping_mul(0x9e37_79b9) + 1);
    let mut set = settings();
    for class in &mut set.classes {
        class.is_ordered = rng.below(3) == 0;
        class.time_to_live =
            [10 * MILLISECOND, SECOND, 8 * SECOND, 20 * SECOND][rng.below(4) as usize];
        class.latency_objective = class.latency_objective.min(class.time_to_live);
    }
    set.classes[1].idempotency = Idempotency::Keyed {
        window: (1 + rng.below(8)) * SECOND,
        zone_only: rng.below(2) == 0,
    };
    set.kinds = vec![
        DestinationKind {
            has_host_routes: rng.below(2) == 0,
            max_messages_per_call: 1,
        },
        DestinationKind {
            has_host_routes: rng.below(2) == 0,
            max_messages_per_call: 1 + rng.below(4) as usize,
        },
    ];
    set.max_calls = [0, 1, 2, 8, 30][rng.below(5) as usize];
    set.max_queued = [4, 20, 200][rng.below(3) as usize];
    set.max_attempts = 1 + rng.below(8) as usize;
    set.replicas = 1 + rng.below(6) as usize;
    set.can_probe = rng.below(2) == 0;
    set.can_cancel = rng.below(2) == 0;
    set.polls_discovery = rng.below(2) == 0;
    set.weight_source = [
        WeightSource::Absent,
        WeightSource::Rough,
        WeightSource::Nominal,
    ][rng.below(3) as usize];
    set.decay = if rng.below(2) == 0 {
        ValueDecay::Linear
    } else {
        ValueDecay::Halving
    };
    let entry = |i: u64| HostEntry {
        host: i as u32 * 7919,
        destination: (i % 4) as u16,
        kind: (i % 4 % 2) as u8,
        zone: (i % 3) as u8,
        state: HostState::Ready,
        weight: 3.0,
    };
    let mut harness = PolicyHarness::new(set, (0..9).map(entry).collect());
    let mut ids = Vec::new();
    for _ in 0..400 {
        match rng.below(10) {
            0..=2 => {
                let key = Some(rng.below(4)).filter(|k| *k > 0);
                ids.push(harness.receive(rng.below(3) as u16, rng.below(5) as u16, key));
            }
            3..=6 => {
                let out = harness.in_flight();
                if !out.is_empty() {
                    let (id, host) = out[rng.below(out.len() as u64) as usize];
                    let bad = (u64::from(host) / 7919 + rng.below(3)).is_multiple_of(3);
                    let outcome = match rng.below(if bad { 8 } else { 3 }) {
                        0..=2 => AttemptOutcome::Delivered,
                        3 => AttemptOutcome::Error,
                        4 => AttemptOutcome::Rejected {
                            retry_after: rng.below(2) * rng.below(3000) * MILLISECOND,
                        },
                        5 => AttemptOutcome::ConnectFailed,
                        6 => AttemptOutcome::Reset,
                        _ => AttemptOutcome::Obsolete,
                    };
                    harness.end_attempt(id, outcome);
                }
            }
            7 => {
                if let Some(id) = harness.cancelled().first() {
                    harness.end_attempt(*id, AttemptOutcome::Cancelled);
                }
            }
            8 => match rng.below(6) {
                0 => {
                    let mut changed = entry(rng.below(9));
                    changed.state = [HostState::Ready, HostState::Draining, HostState::Removed]
                        [rng.below(3) as usize];
                    harness.update_hosts(false, vec![changed]);
                }
                1 => harness.update_hosts(true, (0..rng.below(10)).map(entry).collect()),
                2 => harness.handle(vec![Event::DiscoveryFailed]),
                3 if !ids.is_empty() => harness.withdraw(ids[rng.below(ids.len() as u64) as usize]),
                _ => harness.update_hosts(true, (0..9).map(entry).collect()),
            },
            _ => harness.advance(rng.below(900) * MILLISECOND),
        }
    }
    harness.advance(40 * SECOND);
}

#[test]
fn rules_hold_under_random_events() {
    (0..800).for_each(play_random_events);
}
