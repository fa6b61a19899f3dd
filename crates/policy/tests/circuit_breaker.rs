//! Which failures open a breaker or count as an outage, and which do not. The harness checks the rules in every test as well.

mod support;

use policy::types::{AttemptOutcome, Settings};
use support::{
    host, run, settings, settings_of_hundred_replicas, PolicyHarness, MILLISECOND, SECOND,
};

#[test]
fn messages_for_failing_destination_are_held_back() {
    let mut harness = PolicyHarness::new(settings(), vec![host(1, 1), host(2, 1)]);
    for _ in 0..30 {
        harness.receive(0, 1, None);
    }
    run(&mut harness, 10 * SECOND, |_, _| {
        Some(AttemptOutcome::ConnectFailed)
    });
    assert!(
        harness.sent.len() < 25,
        "{} calls for 30 messages",
        harness.sent.len()
    );
}

#[test]
fn hang_opens_the_breaker_before_the_first_timeout() {
    let mut harness = PolicyHarness::new(settings(), vec![host(1, 1)]);
    for _ in 0..8 {
        harness.receive(0, 1, None);
        run(&mut harness, SECOND / 2, |_, _| {
            Some(AttemptOutcome::Delivered)
        });
    }
    let before = harness.sent.len();
    for n in 0..20 {
        harness.receive(if n < 2 { 0 } else { 2 }, 1, None);
        run(&mut harness, SECOND / 2, |_, _| None);
    }
    let risked = harness.sent[before..]
        .iter()
        .filter(|s| !harness.delivered.contains_key(&s.id))
        .count();
    assert!(risked <= 8, "{risked} of 20 messages sent into a hang");
    let mut few = PolicyHarness::new(settings(), vec![host(1, 1)]);
    for _ in 0..30 {
        few.receive(0, 1, None);
    }
    run(&mut few, 4 * SECOND, |_, _| None);
    assert!(few.sent.len() <= 9, "{} calls into a hang", few.sent.len());
}

#[test]
fn short_rejections_at_the_limit_are_not_an_outage() {
    let mut harness = PolicyHarness::new(settings(), vec![host(1, 1)]);
    let start = harness.now;
    let flow = |now| {
        if now < start + SECOND {
            AttemptOutcome::Rejected { retry_after: 0 }
        } else {
            AttemptOutcome::Delivered
        }
    };
    for _ in 0..40 {
        harness.receive(0, 1, None);
        run(&mut harness, 200 * MILLISECOND, |now, _| Some(flow(now)));
    }
    let late = harness.delivered.len();
    assert!(late >= 36, "{late} of 40 delivered within the flow");
}

#[test]
fn few_failures_among_many_successes_start_no_recovery_ramp() {
    let mut harness = PolicyHarness::new(settings(), vec![host(1, 1)]);
    for n in 0..200 {
        harness.receive(0, 1, None);
        let broken = n % 20 == 0;
        run(&mut harness, 100 * MILLISECOND, |_, _| {
            Some(if broken {
                AttemptOutcome::Reset
            } else {
                AttemptOutcome::Delivered
            })
        });
        assert_eq!(harness.policy.outages().count(), 0, "after {n} messages");
    }
    // Most calls failing is one.
    let seen = (0..40).any(|n| {
        harness.receive(0, 1, None);
        run(&mut harness, 100 * MILLISECOND, |_, _| {
            Some(if n % 3 > 0 {
                AttemptOutcome::Reset
            } else {
                AttemptOutcome::Delivered
            })
        });
        harness.policy.outages().count() == 1
    });
    assert!(seen);
}

#[test]
fn scattered_failures_do_not_open_the_breaker_of_a_busy_destination() {
    for outcome in [AttemptOutcome::Reset, AttemptOutcome::ConnectionLost] {
        let mut harness = PolicyHarness::new(settings(), vec![host(1, 1)]);
        let ids: Vec<_> = (0..100)
            .map(|n| {
                let id = harness.receive(0, 1, None);
                // Two in a row now and then.
                let broken = n > 10 && n % 20 < 2;
                run(&mut harness, 100 * MILLISECOND, |_, _| {
                    Some(if broken {
                        outcome
                    } else {
                        AttemptOutcome::Delivered
                    })
                });
                id
            })
            .collect();
        let late = ids
            .iter()
            .filter(|id| !harness.delivered.contains_key(id))
            .count();
        assert!(late <= 3, "{late} of 100 waited after {outcome:?}");
    }
}

#[test]
fn slow_calls_that_succeed_start_no_recovery_ramp() {
    let mut harness = PolicyHarness::new(settings(), vec![host(1, 1)]);
    for n in 0..60 {
        harness.receive(0, 1, None);
        // Every tenth call takes two seconds, the others fifty milliseconds.
        let slow = harness
            .sent
            .iter()
            .step_by(10)
            .map(|s| (s.id, s.at))
            .collect::<Vec<_>>();
        for _ in 0..4 {
            harness.advance(50 * MILLISECOND);
            for (id, _) in harness.in_flight() {
                let since = slow
                    .iter()
                    .find(|(slow_id, _)| *slow_id == id)
                    .map_or(0, |(_, at)| *at);
                if since == 0 || harness.now >= since + 2 * SECOND {
                    harness.end_attempt(id, AttemptOutcome::Delivered);
                }
            }
        }
        assert!(
            harness.cancelled().is_empty(),
            "called off in round {n} with slots to spare"
        );
    }
    harness.advance(3 * SECOND);
    assert!(
        harness.delivered.len() >= 54,
        "{} of 60 delivered",
        harness.delivered.len()
    );
}

#[test]
fn hung_non_idempotent_calls_do_not_exhaust_the_slots() {
    let mut harness = PolicyHarness::new(settings(), (1..9).map(|i| host(i, i as u16)).collect());
    for i in 0..24 {
        harness.receive(2, 1 + i % 6, None);
    }
    let start = harness.now;
    run(&mut harness, 8 * SECOND, |_, host| {
        (host > 6).then_some(AttemptOutcome::Delivered)
    });
    let good: Vec<_> = (0..20).map(|_| harness.receive(0, 8, None)).collect();
    run(&mut harness, 4 * SECOND, |_, host| {
        (host > 6).then_some(AttemptOutcome::Delivered)
    });
    let served = good
        .iter()
        .filter(|id| harness.delivered.contains_key(id))
        .count();
    assert_eq!(served, 20, "from {start}");
}

#[test]
fn failing_host_does_not_open_the_breaker_of_its_destination() {
    let mut harness = PolicyHarness::new(settings(), vec![host(1, 1), host(2, 1)]);
    let mut ids = Vec::new();
    for _ in 0..20 {
        ids.push(harness.receive(0, 1, None));
        run(&mut harness, SECOND / 4, |_, host| {
            Some(if host == 1 {
                AttemptOutcome::ConnectFailed
            } else {
                AttemptOutcome::Delivered
            })
        });
    }
    run(&mut harness, SECOND, |_, host| {
        Some(if host == 1 {
            AttemptOutcome::ConnectFailed
        } else {
            AttemptOutcome::Delivered
        })
    });
    assert!(
        harness.delivered.len() >= 19,
        "{} of 20",
        harness.delivered.len()
    );
}

#[test]
fn faults_of_other_destinations_do_not_delay_a_healthy_one() {
    let hosts = (1..9).map(|i| host(i, i as u16)).collect();
    let mut harness = PolicyHarness::new(settings(), hosts);
    let mut healthy = Vec::new();
    for round in 0..200u16 {
        for destination in 1..8 {
            if round % 2 == 0 {
                harness.receive(round % 3, destination, None);
            }
        }
        healthy.push((harness.receive(0, 8, None), harness.now));
        run(&mut harness, 150 * MILLISECOND, |now, host| match host {
            8 => Some(AttemptOutcome::Delivered),
            1 | 2 => None,
            3 => Some(AttemptOutcome::Error),
            4 => Some(AttemptOutcome::Rejected {
                retry_after: 700 * MILLISECOND,
            }),
            5 => Some(if (now / SECOND).is_multiple_of(2) {
                AttemptOutcome::Delivered
            } else {
                AttemptOutcome::Error
            }),
            6 => (now / SECOND)
                .is_multiple_of(3)
                .then_some(AttemptOutcome::Rejected { retry_after: 0 }),
            _ => Some(AttemptOutcome::ConnectFailed),
        });
    }
    let lost = healthy
        .iter()
        .filter(|(id, _)| !harness.delivered.contains_key(id))
        .count();
    let slow = healthy.iter().filter(|(id, at)| {
        harness
            .delivered
            .get(id)
            .is_some_and(|d| d - at > 500 * MILLISECOND)
    });
    let slow = slow.count();
    assert!(
        lost == 0 && slow <= 6,
        "of 200 healthy messages {lost} were lost and {slow} slow"
    );
}

#[test]
fn momentarily_full_destination_is_not_an_outage() {
    let mut harness = PolicyHarness::new(
        Settings {
            replicas: 10,
            ..settings_of_hundred_replicas()
        },
        vec![host(1, 1)],
    );
    let start = harness.now;
    for outcome in [
        AttemptOutcome::Delivered,
        AttemptOutcome::Rejected { retry_after: 0 },
        AttemptOutcome::Delivered,
    ] {
        harness.receive(0, 1, None);
        while harness.in_flight().is_empty() {
            harness.advance(100 * MILLISECOND);
        }
        harness.end_attempt_with_report(harness.in_flight()[0].0, outcome, vec![1.0, 20.0]);
    }
    assert!(
        harness.now < start + 3 * SECOND / 2,
        "the two that were good are not close"
    );
    run(&mut harness, 2 * SECOND, |_, _| {
        Some(AttemptOutcome::Delivered)
    });
    let before = harness.delivered.len();
    for _ in 0..10 {
        harness.receive(0, 1, None);
    }
    run(&mut harness, 4 * SECOND, |_, _| {
        Some(AttemptOutcome::Delivered)
    });
    let soon = harness.delivered.len() - before;
    assert_eq!(
        soon, 10,
        "calls in four seconds; the ramp of an outage keeps two of them back"
    );
}

#[test]
fn three_consecutive_failures_are_an_outage_and_two_are_not() {
    for (failures, outages) in [(2, 0), (3, 1)] {
        let mut harness = PolicyHarness::new(settings(), vec![host(1, 1)]);
        for _ in 0..20 {
            let id = harness.receive(0, 1, None);
            harness.end_attempt(id, AttemptOutcome::Delivered);
            harness.advance(200 * MILLISECOND);
        }
        for _ in 0..failures {
            let id = harness.receive(0, 1, None);
            harness.end_attempt(id, AttemptOutcome::Error);
            harness.withdraw(id);
            harness.advance(200 * MILLISECOND);
        }
        assert_eq!(
            harness.policy.outages().count(),
            outages,
            "after {failures} failures"
        );
    }
}
