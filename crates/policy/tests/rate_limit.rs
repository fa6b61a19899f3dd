//! Tests of how replicas share a limit and back off. The harness also checks the rules in `support/rules.rs` in every
//! test.

mod support;

use std::collections::BTreeMap;

use policy::types::{
    Action, AttemptEnd, AttemptOutcome, Event, HostEntry, MessageId, Micros, ReportField, Settings,
};
use policy::DeliveryPolicy;
use support::{
    handle, host, message, run, run_with_outcome, settings, settings_of_hundred_replicas,
    PolicyHarness, IDEMPOTENT, MILLISECOND, SECOND,
};

/// A rejection without a Retry-After.
const REJECTION: AttemptOutcome = AttemptOutcome::Rejected { retry_after: 0 };

#[test]
fn rate_recovers_after_a_series_of_rejections() {
    let mut harness = PolicyHarness::new(settings(), vec![host(1, 1)]);
    let accepted_from = harness.now + 4 * SECOND;
    for _ in 0..60 {
        harness.receive(IDEMPOTENT, 1, None);
    }
    run(&mut harness, 16 * SECOND, |now, _| {
        Some(if now < accepted_from {
            REJECTION
        } else {
            AttemptOutcome::Delivered
        })
    });
    let delivered = harness.delivered.len();
    assert!(delivered >= 50, "{delivered} of 60 delivered");
}

#[test]
fn invalid_load_reports_and_flapping_hosts_do_not_stop_delivery() {
    let settings = Settings {
        report_fields: vec![ReportField::AllowanceLeft, ReportField::LimitPerSecond],
        ..settings()
    };
    let mut harness = PolicyHarness::new(settings, vec![host(1, 1)]);
    let invalid_values = [f32::NAN, f32::INFINITY, -4.0, 1e30, 0.0, 1e-30];
    for (n, value) in invalid_values.into_iter().cycle().take(60).enumerate() {
        harness.handle(vec![Event::ProbeEnded {
            host: 1,
            outcome: AttemptOutcome::Delivered,
            elapsed: 9 * MILLISECOND,
            load_report: vec![value, value],
        }]);
        let is_listed = n % 2 == 1;
        harness.replace_hosts(is_listed.then(|| host(1, 1)).into_iter().collect());
        harness.receive(IDEMPOTENT, 1, None);
        run_with_outcome(&mut harness, SECOND / 5, AttemptOutcome::Delivered);
    }
    run_with_outcome(&mut harness, 15 * SECOND, AttemptOutcome::Delivered);
    let delivered = harness.delivered.len();
    assert!(delivered >= 50, "{delivered} of 60 delivered");
}

/// The outcome of a call and the share of the allowance that the destination reports with it.
struct ReportedAnswer {
    outcome: AttemptOutcome,
    allowance_left: f32,
}

/// Runs one of ten replicas with twelve messages for nine seconds. Each call ends with the answer that `answer_at`
/// returns for the time since the start.
fn run_for_nine_seconds(answer_at: impl Fn(Micros) -> ReportedAnswer) -> PolicyHarness {
    let settings = Settings {
        replicas: 10,
        ..settings_of_hundred_replicas()
    };
    let mut harness = PolicyHarness::new(settings, vec![host(1, 1)]);
    let start = harness.now;
    for _ in 0..12 {
        harness.receive(IDEMPOTENT, 1, None);
    }
    while harness.now < start + 9 * SECOND {
        harness.advance(50 * MILLISECOND);
        for attempt in harness.in_flight() {
            let answer = answer_at(harness.now - start);
            let report = vec![answer.allowance_left, 20.0];
            harness.end_attempt_with_report(attempt.id, answer.outcome, report);
        }
    }
    harness
}

#[test]
fn busy_replica_may_use_more_than_an_even_share_of_the_limit() {
    let mut harness = PolicyHarness::new(settings_of_hundred_replicas(), vec![host(1, 1)]);
    for _ in 0..20 {
        harness.receive(IDEMPOTENT, 1, None);
    }
    run_with_outcome(&mut harness, 4 * SECOND, AttemptOutcome::Delivered);
    assert_eq!(
        harness.delivered.len(),
        20,
        "an even share of the limit is one call in five seconds"
    );
}

/// A destination that reports a constant allowance and limit with each answer.
struct ReportingDestination {
    allowance_left: f32,
    /// Limit in calls per second, as listed by discovery.
    listed_limit: f32,
    /// Limit in calls per second, as reported by the destination.
    reported_limit: f32,
}

impl ReportingDestination {
    /// Counts the calls that one of a hundred replicas with 90 queued messages makes in twenty seconds.
    fn count_calls(&self) -> usize {
        let listed = HostEntry {
            weight: self.listed_limit,
            ..host(1, 1)
        };
        let mut harness = PolicyHarness::new(settings_of_hundred_replicas(), vec![listed]);
        for _ in 0..90 {
            harness.receive(IDEMPOTENT, 1, None);
        }
        harness.advance(0);
        let start = harness.now;
        while harness.now < start + 20 * SECOND {
            for attempt in harness.in_flight() {
                let report = vec![self.allowance_left, self.reported_limit];
                let outcome = self.outcome(attempt.id);
                harness.end_attempt_with_report(attempt.id, outcome, report);
            }
            harness.advance(50 * MILLISECOND);
        }
        harness.sent.len()
    }

    /// Outcome of a call: a rejection if the allowance is exhausted, with a Retry-After for half of the messages.
    fn outcome(&self, id: MessageId) -> AttemptOutcome {
        if self.allowance_left < 0.05 {
            AttemptOutcome::Rejected {
                retry_after: (id % 2) * 300 * MILLISECOND,
            }
        } else {
            AttemptOutcome::Delivered
        }
    }
}

/// Counts the calls to a destination with a limit of 50 calls per second. An even share is half a call per second, so
/// ten calls in twenty seconds.
fn count_calls_with_remaining_allowance(allowance_left: f32) -> usize {
    let destination = ReportingDestination {
        allowance_left,
        listed_limit: 50.0,
        reported_limit: 50.0,
    };
    destination.count_calls()
}

#[test]
fn hundred_replicas_together_stay_below_an_exhausted_limit() {
    // The first four calls start before the first report arrives.
    let exhausted = count_calls_with_remaining_allowance(0.0);
    assert!(
        exhausted <= 4 + 6,
        "{exhausted} calls per replica with an exhausted allowance"
    );
    let low = count_calls_with_remaining_allowance(0.25);
    assert!(
        (8..=16).contains(&low),
        "{low} calls per replica with a quarter left; expected about an even share of ten"
    );
    let unused = count_calls_with_remaining_allowance(0.9);
    assert!(
        unused >= 3 * 10,
        "{unused} calls per replica with nearly all left; the unused shares of others should be used"
    );
}

#[test]
fn lowered_limit_is_adopted_within_two_reports() {
    let destination = ReportingDestination {
        allowance_left: 0.25,
        listed_limit: 400.0,
        reported_limit: 100.0,
    };
    let calls = destination.count_calls();
    assert!(
        calls <= 26,
        "{calls} calls per replica at a quarter of the listed limit; an even share is twenty"
    );
}

#[test]
fn rejections_at_an_exhausted_limit_start_no_recovery_ramp() {
    let harness = run_for_nine_seconds(|elapsed| {
        if elapsed < 3200 * MILLISECOND {
            ReportedAnswer {
                outcome: REJECTION,
                allowance_left: 0.0,
            }
        } else {
            ReportedAnswer {
                outcome: AttemptOutcome::Delivered,
                allowance_left: 0.5,
            }
        }
    });
    let delivered = harness.delivered.len();
    assert!(
        delivered >= 10,
        "{delivered} of 12 delivered once the limit allowed calls"
    );
}

#[test]
fn rejections_with_unused_allowance_are_an_outage() {
    let harness = run_for_nine_seconds(|elapsed| {
        if elapsed < 1800 * MILLISECOND {
            ReportedAnswer {
                outcome: REJECTION,
                allowance_left: 0.95,
            }
        } else {
            ReportedAnswer {
                outcome: AttemptOutcome::Delivered,
                allowance_left: 1.0,
            }
        }
    });
    let first_delivery = harness.delivered.values().min().copied();
    let recovered_at = first_delivery.expect("no message was delivered");
    let ramp = recovered_at..recovered_at + 3 * SECOND / 2;
    let calls = harness
        .sent
        .iter()
        .filter(|sent| ramp.contains(&sent.at))
        .count();
    assert!(
        calls <= 3,
        "{calls} calls within one and a half seconds of the recovery"
    );
}

#[test]
fn end_of_retry_after_causes_no_burst() {
    let mut harness = PolicyHarness::new(settings_of_hundred_replicas(), vec![host(1, 1)]);
    let first = harness.receive(IDEMPOTENT, 1, None);
    let retry_after = 8 * SECOND;
    let rejection = AttemptOutcome::Rejected { retry_after };
    harness.end_attempt_with_report(first, rejection, vec![1.0, 20.0]);
    let paused_until = harness.now + retry_after;
    run_with_outcome(&mut harness, 19 * SECOND, AttemptOutcome::Delivered);
    let next = harness.sent.get(1).map_or(Micros::MAX, |sent| sent.at);
    assert!(
        next > paused_until + SECOND,
        "one of a hundred replicas called {} ms after the end of the Retry-After",
        (next - paused_until) / MILLISECOND
    );
    assert_eq!(
        harness.delivered.len(),
        1,
        "the message should still be delivered"
    );
}

/// Times of the calls that one of a hundred replicas makes in twelve seconds. It has twenty messages for a destination
/// with this limit, to which no connection can be opened.
fn calls_of_replica(seed: u64, limit: f32) -> Vec<Micros> {
    let mut policy = DeliveryPolicy::new(settings_of_hundred_replicas(), seed);
    let mut now = 100 * SECOND;
    let end = now + 12 * SECOND;
    let listed = HostEntry {
        weight: limit,
        ..host(1, 1)
    };
    let host_list = Event::HostsUpdated {
        is_full: true,
        cached: false,
        entries: vec![listed],
    };
    let mut actions = handle(&mut policy, now, vec![host_list]);
    let received = (0..20).map(|id| Event::MessageReceived(message(id, IDEMPOTENT, now)));
    actions.extend(handle(&mut policy, now, received.collect()));
    let mut calls = Vec::new();
    let mut attempt_counts: BTreeMap<MessageId, u8> = BTreeMap::new();
    while now < end {
        now += 10 * MILLISECOND;
        let mut events = Vec::new();
        for action in &actions {
            let Action::Send { id, host, .. } = *action else {
                continue;
            };
            calls.push(now);
            let attempt_count = attempt_counts.entry(id).or_default();
            events.push(Event::AttemptEnded(AttemptEnd {
                id,
                attempt: *attempt_count,
                host,
                outcome: AttemptOutcome::ConnectFailed,
                elapsed: 0,
                is_final: false,
                load_report: Vec::new(),
            }));
            *attempt_count += 1;
        }
        actions = handle(&mut policy, now, events);
    }
    calls
}

/// Calls of all replicas fail at the same time and the destination stays down. Within any 1.5 seconds, the number of
/// probes must not exceed the destination's initial capacity, apart from random variation.
#[test]
fn probes_of_hundred_replicas_stay_below_initial_capacity() {
    let limit = 60.0;
    // All breakers are open from two seconds after the start.
    let mut probes: Vec<Micros> = (0..100)
        .flat_map(|replica| calls_of_replica(replica * 7919 + 1, limit))
        .filter(|at| *at > 102 * SECOND)
        .collect();
    probes.sort_unstable();
    let count_from = |start: &Micros| {
        let span = *start..start + 3 * SECOND / 2;
        probes.iter().filter(|at| span.contains(at)).count()
    };
    let max_probes = probes.iter().map(count_from).max().unwrap_or(0);
    let capacity = 2.0 * 0.2 * f64::from(limit) * 1.5;
    let tolerance = 4.0 * capacity.sqrt();
    assert!(
        (10..=(capacity + tolerance) as usize).contains(&max_probes),
        "{max_probes} probes within 1.5 seconds with capacity for {capacity}"
    );
}
