//! How replicas share a limit, and how they back off. The harness checks the rules in every test as well.

mod support;

use policy::types::{
    Action, AttemptEnd, AttemptOutcome, Event, HostEntry, MessageId, Micros, ReportField, Settings,
};
use policy::DeliveryPolicy;
use support::{
    handle, host, message, run, settings, settings_of_hundred_replicas, PolicyHarness, MILLISECOND,
    SECOND,
};

#[test]
fn rate_recovers_after_a_spell_of_rejections() {
    let mut harness = PolicyHarness::new(settings(), vec![host(1, 1)]);
    let back = harness.now + 4 * SECOND;
    for _ in 0..60 {
        harness.receive(0, 1, None);
    }
    run(&mut harness, 16 * SECOND, |now, _| {
        Some(if now < back {
            AttemptOutcome::Rejected { retry_after: 0 }
        } else {
            AttemptOutcome::Delivered
        })
    });
    assert!(
        harness.delivered.len() >= 50,
        "{} of 60",
        harness.delivered.len()
    );
}

#[test]
fn invalid_load_reports_and_flapping_hosts_do_not_stop_delivery() {
    let mut set = settings();
    set.report_fields = vec![ReportField::AllowanceLeft, ReportField::LimitPerSecond];
    let mut harness = PolicyHarness::new(set, vec![host(1, 1)]);
    for (n, value) in [f32::NAN, f32::INFINITY, -4.0, 1e30, 0.0, 1e-30]
        .into_iter()
        .cycle()
        .take(60)
        .enumerate()
    {
        let report = vec![value, value];
        harness.handle(vec![Event::ProbeEnded {
            host: 1,
            outcome: AttemptOutcome::Delivered,
            elapsed: 9 * MILLISECOND,
            load_report: report,
        }]);
        harness.update_hosts(
            true,
            if n % 2 == 0 {
                Vec::new()
            } else {
                vec![host(1, 1)]
            },
        );
        harness.receive(0, 1, None);
        run(&mut harness, SECOND / 5, |_, _| {
            Some(AttemptOutcome::Delivered)
        });
    }
    run(&mut harness, 15 * SECOND, |_, _| {
        Some(AttemptOutcome::Delivered)
    });
    assert!(
        harness.delivered.len() >= 50,
        "{} of 60",
        harness.delivered.len()
    );
}

/// Receives twelve messages and ends all calls of nine seconds with `outcome_of` and the share left.
fn run_for_nine_seconds(
    replicas: usize,
    outcome_of: impl Fn(Micros) -> (AttemptOutcome, f32),
) -> PolicyHarness {
    let mut harness = PolicyHarness::new(
        Settings {
            replicas,
            ..settings_of_hundred_replicas()
        },
        vec![host(1, 1)],
    );
    let start = harness.now;
    for _ in 0..12 {
        harness.receive(0, 1, None);
    }
    while harness.now < start + 9 * SECOND {
        harness.advance(50 * MILLISECOND);
        for (id, _) in harness.in_flight() {
            let (outcome, left) = outcome_of(harness.now - start);
            harness.end_attempt_with_report(id, outcome, vec![left, 20.0]);
        }
    }
    harness
}

#[test]
fn busy_replica_may_use_more_than_an_even_part_of_the_limit() {
    let mut harness = PolicyHarness::new(settings_of_hundred_replicas(), vec![host(1, 1)]);
    for _ in 0..20 {
        harness.receive(0, 1, None);
    }
    run(&mut harness, 4 * SECOND, |_, _| {
        Some(AttemptOutcome::Delivered)
    });
    assert_eq!(
        harness.delivered.len(),
        20,
        "an even part is a call in five seconds"
    );
}

/// Calls that one of a hundred replicas with a full queue makes in twenty seconds to a destination that is listed with
/// one limit and reports another, and so much of its allowance left, at each call.
fn count_calls_with_remaining_allowance(left: f32, listed: f32, limit: f32) -> usize {
    let shared = HostEntry {
        weight: listed,
        ..host(1, 1)
    };
    let mut harness = PolicyHarness::new(settings_of_hundred_replicas(), vec![shared]);
    for _ in 0..90 {
        harness.receive(0, 1, None);
    }
    harness.advance(0);
    let start = harness.now;
    while harness.now < start + 20 * SECOND {
        for (id, _) in harness.in_flight() {
            // Half of the rejections have a Retry-After.
            let wait = (id % 2) * 300 * MILLISECOND;
            let outcome = if left < 0.05 {
                AttemptOutcome::Rejected { retry_after: wait }
            } else {
                AttemptOutcome::Delivered
            };
            harness.end_attempt_with_report(id, outcome, vec![left, limit]);
        }
        harness.advance(50 * MILLISECOND);
    }
    harness.sent.len()
}

#[test]
fn hundred_replicas_together_stay_below_an_exhausted_limit() {
    // An even part is half a call a second, ten in this time; the first ones go out before the first report.
    let spent = count_calls_with_remaining_allowance(0.0, 50.0, 50.0);
    assert!(
        spent <= 4 + 6,
        "{spent} calls each at a limit of which nothing is left"
    );
    let low = count_calls_with_remaining_allowance(0.25, 50.0, 50.0);
    assert!(
        (8..=16).contains(&low),
        "{low} calls each with a quarter left: about an even part"
    );
    let much = count_calls_with_remaining_allowance(0.9, 50.0, 50.0);
    assert!(
        much >= 3 * 10,
        "{much} calls each with nearly all left: others leave their parts"
    );
}

#[test]
fn lowered_limit_is_adopted_within_two_reports() {
    let lowered = count_calls_with_remaining_allowance(0.25, 400.0, 100.0);
    assert!(
        lowered <= 26,
        "{lowered} calls each at a quarter of the listed limit; an even part is twenty"
    );
}

#[test]
fn rejections_at_an_exhausted_limit_start_no_recovery_ramp() {
    let full = AttemptOutcome::Rejected { retry_after: 0 };
    let harness = run_for_nine_seconds(10, |at| {
        if at < 3200 * MILLISECOND {
            (full, 0.0)
        } else {
            (AttemptOutcome::Delivered, 0.5)
        }
    });
    assert!(
        harness.delivered.len() >= 10,
        "{} of 12 once the limit let calls in",
        harness.delivered.len()
    );
}

#[test]
fn rejections_with_unused_allowance_are_an_outage() {
    let full = AttemptOutcome::Rejected { retry_after: 0 };
    let harness = run_for_nine_seconds(10, |at| {
        if at < 1800 * MILLISECOND {
            (full, 0.95)
        } else {
            (AttemptOutcome::Delivered, 1.0)
        }
    });
    let back = harness
        .delivered
        .values()
        .min()
        .copied()
        .expect("some are delivered");
    let soon = harness
        .sent
        .iter()
        .filter(|s| (back..back + 3 * SECOND / 2).contains(&s.at))
        .count();
    assert!(
        soon <= 3,
        "{soon} calls within one and a half seconds of the return"
    );
}

#[test]
fn end_of_retry_after_causes_no_burst() {
    let mut harness = PolicyHarness::new(settings_of_hundred_replicas(), vec![host(1, 1)]);
    let first = harness.receive(0, 1, None);
    harness.end_attempt_with_report(
        first,
        AttemptOutcome::Rejected {
            retry_after: 8 * SECOND,
        },
        vec![1.0, 20.0],
    );
    let opens = harness.now + 8 * SECOND;
    run(&mut harness, 19 * SECOND, |_, _| {
        Some(AttemptOutcome::Delivered)
    });
    let next = harness.sent.get(1).map_or(Micros::MAX, |s| s.at);
    assert!(
        next > opens + SECOND,
        "one of a hundred called {} ms after the opening",
        (next - opens) / 1000
    );
    assert_eq!(harness.delivered.len(), 1, "but it must get its turn");
}

/// The calls of all replicas failed at one instant, and the destination stays down: the probes of any second and a
/// half are no more than its initial capacity, but for chance.
#[test]
fn probes_of_hundred_replicas_stay_below_initial_capacity() {
    let (set, limit) = (settings_of_hundred_replicas(), 60.0);
    let mut trials: Vec<Micros> = Vec::new();
    for seed in 0..100 {
        let mut policy = DeliveryPolicy::new(set.clone(), seed * 7919 + 1);
        let mut now = 100 * SECOND;
        let entries = vec![HostEntry {
            weight: limit,
            ..host(1, 1)
        }];
        let mut actions = handle(
            &mut policy,
            now,
            vec![Event::HostsUpdated {
                is_full: true,
                cached: false,
                entries,
            }],
        );
        let arrivals = (0..20)
            .map(|id| Event::MessageReceived(message(id, 0, now)))
            .collect();
        actions.extend(handle(&mut policy, now, arrivals));
        let end = now + 12 * SECOND;
        let mut tries: std::collections::BTreeMap<MessageId, u8> = Default::default();
        while now < end {
            let sent = std::mem::take(&mut actions)
                .into_iter()
                .filter_map(|action| match action {
                    Action::Send { id, host, .. } => Some((id, host)),
                    _ => None,
                });
            now += 10 * MILLISECOND;
            let mut events = Vec::new();
            for (id, host) in sent {
                trials.push(now);
                let attempt = *tries.entry(id).and_modify(|n| *n += 1).or_insert(0);
                let (outcome, report) = (AttemptOutcome::ConnectFailed, Vec::new());
                events.push(Event::AttemptEnded(AttemptEnd {
                    id,
                    attempt,
                    host,
                    outcome,
                    elapsed: 0,
                    is_final: false,
                    load_report: report,
                }));
            }
            actions = handle(&mut policy, now, events);
        }
    }
    trials.sort_unstable();
    // From when all breakers are open.
    let late: Vec<Micros> = trials.into_iter().filter(|at| *at > 102 * SECOND).collect();
    let most = late.iter().map(|from| {
        late.iter()
            .filter(|at| (*from..*from + 3 * SECOND / 2).contains(at))
            .count()
    });
    let (most, room) = (most.max().unwrap_or(0), 2.0 * 0.2 * f64::from(limit) * 1.5);
    assert!(
        (10..=(room + 4.0 * room.sqrt()) as usize).contains(&most),
        "{most} trials, room for {room}"
    );
}
