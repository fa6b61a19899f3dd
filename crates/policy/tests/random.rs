//! Seeded random events, with settings drawn across what a site may allow; the checker is in `support`.

mod support;

use policy::types::*;
use support::*;

fn script(seed: u64) {
    let mut dice = Dice(seed.wrapping_mul(0x9e37_79b9) + 1);
    let mut set = settings();
    for class in &mut set.classes {
        class.is_ordered = dice.below(3) == 0;
        class.time_to_live = [10 * MS, S, 8 * S, 20 * S][dice.below(4) as usize];
        class.latency_objective = class.latency_objective.min(class.time_to_live);
    }
    set.classes[1].idempotency =
        Idempotency::Keyed { window: (1 + dice.below(8)) * S, zone_only: dice.below(2) == 0 };
    set.kinds = vec![
        DestinationKind { has_host_routes: dice.below(2) == 0, max_messages_per_call: 1 },
        DestinationKind {
            has_host_routes: dice.below(2) == 0,
            max_messages_per_call: 1 + dice.below(4) as usize,
        },
    ];
    set.max_calls = [0, 1, 2, 8, 30][dice.below(5) as usize];
    set.max_queued = [4, 20, 200][dice.below(3) as usize];
    set.max_attempts = 1 + dice.below(8) as usize;
    set.replicas = 1 + dice.below(6) as usize;
    set.can_probe = dice.below(2) == 0;
    set.can_cancel = dice.below(2) == 0;
    set.polls_discovery = dice.below(2) == 0;
    set.weight_source =
        [WeightSource::Absent, WeightSource::Rough, WeightSource::Nominal][dice.below(3) as usize];
    set.decay = if dice.below(2) == 0 { ValueDecay::Linear } else { ValueDecay::Halving };
    let entry = |i: u64| HostEntry {
        host: i as u32 * 7919,
        destination: (i % 4) as u16,
        kind: (i % 4 % 2) as u8,
        zone: (i % 3) as u8,
        state: HostState::Ready,
        weight: 3.0,
    };
    let mut bench = Bench::new(set, (0..9).map(entry).collect());
    let mut ids = Vec::new();
    for _ in 0..400 {
        match dice.below(10) {
            0..=2 => {
                let key = Some(dice.below(4)).filter(|k| *k > 0);
                ids.push(bench.arrive(dice.below(3) as u16, dice.below(5) as u16, key));
            }
            3..=6 => {
                let out = bench.out();
                if !out.is_empty() {
                    let (id, host) = out[dice.below(out.len() as u64) as usize];
                    let bad = (u64::from(host) / 7919 + dice.below(3)).is_multiple_of(3);
                    let outcome = match dice.below(if bad { 8 } else { 3 }) {
                        0..=2 => AttemptOutcome::Delivered,
                        3 => AttemptOutcome::Error,
                        4 => AttemptOutcome::Rejected { retry_after: dice.below(2) * dice.below(3000) * MS },
                        5 => AttemptOutcome::ConnectFailed,
                        6 => AttemptOutcome::Reset,
                        _ => AttemptOutcome::Obsolete,
                    };
                    bench.finish(id, outcome);
                }
            }
            7 => {
                if let Some(id) = bench.cancelled().first() {
                    bench.finish(*id, AttemptOutcome::Cancelled);
                }
            }
            8 => match dice.below(6) {
                0 => {
                    let mut changed = entry(dice.below(9));
                    changed.state =
                        [HostState::Ready, HostState::Draining, HostState::Removed][dice.below(3) as usize];
                    bench.list(false, vec![changed]);
                }
                1 => bench.list(true, (0..dice.below(10)).map(entry).collect()),
                2 => bench.play(vec![Event::DiscoveryFailed]),
                3 if !ids.is_empty() => bench.withdraw(ids[dice.below(ids.len() as u64) as usize]),
                _ => bench.list(true, (0..9).map(entry).collect()),
            },
            _ => bench.pass(dice.below(900) * MS),
        }
    }
    bench.pass(40 * S);
}

#[test]
fn rules_hold_under_random_events() {
    (0..800).for_each(script);
}
