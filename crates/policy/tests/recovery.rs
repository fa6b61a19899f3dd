//! Recovery from outages, restarts and hand-overs. The harness checks its rules in every test as well.

mod support;

use policy::types::{
    Action, AttemptOutcome, Event, HostId, Message, MessageId, Micros, Outage, PastAttempt,
    Settings, WeightSource,
};
use policy::DeliveryPolicy;
use support::{
    cached_host_list, handle, host, message, run, settings, PolicyHarness, IDEMPOTENT, KEYED,
    MILLISECOND, NON_IDEMPOTENT, SECOND,
};

/// Calls a second that the hosts of the tests advertise.
const ADVERTISED_LIMIT: f64 = 20.0;

/// An attempt in zone 0 that may have been executed.
fn possible_execution(sent_at: Micros) -> PastAttempt {
    PastAttempt {
        sent_at,
        zone: 0,
        may_have_executed: true,
    }
}

/// An attempt in zone 0 that provably was not executed.
fn not_executed(sent_at: Micros) -> PastAttempt {
    PastAttempt {
        may_have_executed: false,
        ..possible_execution(sent_at)
    }
}

fn sends_message(actions: &[Action], message: MessageId) -> bool {
    let mut actions = actions.iter();
    actions.any(|action| matches!(action, Action::Send { id, .. } if *id == message))
}

fn count_calls_to(actions: &[Action], called: HostId) -> usize {
    let actions = actions.iter();
    actions
        .filter(|action| matches!(action, Action::Send { host, .. } if *host == called))
        .count()
}

#[test]
fn backlog_does_not_overload_a_recovering_destination() {
    let mut harness = PolicyHarness::new(settings(), vec![host(1, 1)]);
    for _ in 0..60 {
        harness.receive(IDEMPOTENT, 1, None);
    }
    let recovered_at = harness.now + 6 * SECOND;
    run(&mut harness, 15 * SECOND, |now, _| {
        Some(if now < recovered_at {
            AttemptOutcome::ConnectFailed
        } else {
            AttemptOutcome::Delivered
        })
    });
    let rules = &harness.settings.rules;
    let calls: Vec<Micros> = harness.sent.iter().map(|sent| sent.at).collect();
    for start in calls.iter().filter(|at| **at >= recovered_at) {
        let span = *start..start + rules.overload_duration;
        let sent = calls.iter().filter(|at| span.contains(at)).count() as f64;
        // Capacity in the mean of the span: it grows evenly.
        let middle = start + rules.overload_duration / 2 - recovered_at;
        let warmed_up = (middle as f64 / rules.warm_up as f64).min(1.0);
        let initial_share = rules.initial_capacity_share;
        let capacity = ADVERTISED_LIMIT * (initial_share + (1.0 - initial_share) * warmed_up);
        let share = rules.overload_factor * capacity * rules.overload_duration as f64 / 1e6 / 2.0;
        // One more than the rate gives fits into a span that begins with a call.
        assert!(
            sent <= share + 1.0,
            "{sent} calls in a span from {start}, this replica's share is {share}"
        );
    }
    let delivered = harness.delivered.len();
    assert!(delivered > 20, "it must get some: {delivered}");
}

/// What becomes of a restored message at once.
#[derive(Debug, PartialEq)]
enum RestoredOutcome {
    Sent,
    Failed,
}

#[test]
fn restored_messages_are_retried_as_their_past_attempts_allow() {
    use RestoredOutcome::{Failed, Sent};
    let now = 100 * SECOND;
    // The window of the idempotency key is six seconds.
    let (recent, early) = (now - SECOND, now - 7 * SECOND);
    let restored = |class, attempts| Event::MessageRestored {
        message: message(1, class, now),
        attempts,
    };
    let attempts_by_class = [
        (NON_IDEMPOTENT, vec![not_executed(recent)], Sent),
        (
            NON_IDEMPOTENT,
            vec![possible_execution(recent), not_executed(recent)],
            Failed,
        ),
        (KEYED, vec![possible_execution(recent)], Sent),
        (
            KEYED,
            vec![possible_execution(early), possible_execution(recent)],
            Failed,
        ),
        (IDEMPOTENT, vec![possible_execution(early)], Sent),
        (IDEMPOTENT, vec![possible_execution(early); 8], Failed),
    ];
    for (class, attempts, expected) in attempts_by_class {
        let mut policy = DeliveryPolicy::new(settings(), 7);
        let events = vec![cached_host_list(), restored(class, attempts.clone())];
        let actions = handle(&mut policy, now, events);
        let is_sent = sends_message(&actions, 1);
        let is_failed = actions.contains(&Action::Fail(1));
        assert_eq!(
            (is_sent, is_failed),
            (expected == Sent, expected == Failed),
            "class {class} after {attempts:?}"
        );
    }
}

#[test]
fn restored_message_without_attempts_left_is_rejected_with_retry_after() {
    let now = 100 * SECOND;
    let mut policy = DeliveryPolicy::new(settings(), 7);
    let restored = Event::MessageRestored {
        message: message(1, NON_IDEMPOTENT, now),
        attempts: vec![not_executed(now - SECOND); 8],
    };
    let actions = handle(&mut policy, now, vec![cached_host_list(), restored]);
    assert!(
        matches!(
            actions[..],
            [Action::Reject {
                id: 1,
                retry_after: 1..
            }]
        ),
        "{actions:?}"
    );
}

/// When a message with the ordering key `key` is sent first, received in the same round in which one with the key 7 is
/// restored whose last attempt was `past`. Ten seconds after `now` at the latest.
fn first_call_after_restored(settings: &Settings, past: PastAttempt, key: u64) -> Micros {
    let now = 100 * SECOND;
    let with_key = |id, key| Message {
        ordering_key: Some(key),
        ..message(id, NON_IDEMPOTENT, now)
    };
    let mut policy = DeliveryPolicy::new(settings.clone(), 7);
    // All attempts are used up, as after the calls of another process whose ends are unknown.
    let restored = Event::MessageRestored {
        message: with_key(1, 7),
        attempts: vec![past; 8],
    };
    let received = Event::MessageReceived(with_key(2, key));
    let events = vec![cached_host_list(), restored, received];
    let mut actions = handle(&mut policy, now, events);
    let mut at = now;
    while !sends_message(&actions, 2) && at < now + 10 * SECOND {
        at += 10 * MILLISECOND;
        actions = handle(&mut policy, at, Vec::new());
    }
    at
}

/// The call may still be running at its host.
#[test]
fn ordering_key_is_blocked_after_a_call_cut_off_by_restart() {
    let now = 100 * SECOND;
    let mut settings = settings();
    settings.classes[usize::from(NON_IDEMPOTENT)].is_ordered = true;
    let delay = settings.rules.ordering_delay;
    assert!(delay > 20 * MILLISECOND, "there is something to wait for");
    let past = possible_execution(now - SECOND);
    for (past, key, is_blocked) in [
        (past, 7, true),
        (past, 8, false),
        (not_executed(now - SECOND), 7, false),
    ] {
        let at = first_call_after_restored(&settings, past, key);
        let has_waited = (now + delay..now + 10 * SECOND).contains(&at);
        let waited_ms = (at - now) / MILLISECOND;
        assert_eq!(
            has_waited, is_blocked,
            "key {key} after {past:?}: {waited_ms} ms"
        );
    }
}

#[test]
fn restored_outage_allows_one_probe() {
    let now = 100 * SECOND;
    for (recovered_at, most_sent) in [
        (None, 1),
        (Some(now - SECOND), 1),
        (Some(now - 11 * SECOND), 12),
    ] {
        let mut policy = DeliveryPolicy::new(settings(), 7);
        let outage = Outage {
            destination: 1,
            started_at: now - 20 * SECOND,
            recovered_at,
        };
        let mut events = vec![cached_host_list(), Event::OutageRestored(outage)];
        events.extend((1..=12).map(|id| Event::MessageReceived(message(id, IDEMPOTENT, now))));
        let sent = handle(&mut policy, now, events).len();
        assert!(
            sent <= most_sent,
            "{sent} sent, recovered at {recovered_at:?}"
        );
        assert_eq!(policy.outages().count(), usize::from(most_sent == 1));
    }
}

/// The last process may have seen too little of an outage to persist it.
#[test]
fn restored_messages_are_paced_by_the_recovery_ramp() {
    let now = 100 * SECOND;
    let mut policy = DeliveryPolicy::new(settings(), 7);
    let mut events = vec![Event::HostsUpdated {
        is_full: true,
        cached: true,
        entries: vec![host(1, 1), host(2, 2)],
    }];
    events.extend((1..=8).map(|id| Event::MessageRestored {
        message: message(id, IDEMPOTENT, now),
        attempts: Vec::new(),
    }));
    // Another destination, for which nothing was restored.
    events.extend((11..=14).map(|id| {
        Event::MessageReceived(Message {
            destination: 2,
            ..message(id, IDEMPOTENT, now)
        })
    }));
    let actions = handle(&mut policy, now, events);
    assert_eq!(count_calls_to(&actions, 1), 1, "{actions:?}");
    assert!(count_calls_to(&actions, 2) > 1, "{actions:?}");
    // Two replicas, a limit of 20 calls a second, a fifth of it at first, overload at twice that: 4 a second.
    let mut later_calls = 0;
    for round in 1..=50 {
        let actions = handle(&mut policy, now + round * 10 * MILLISECOND, Vec::new());
        later_calls += count_calls_to(&actions, 1);
    }
    assert!(
        (1..=2).contains(&later_calls),
        "{later_calls} in half a second"
    );
}

/// Messages that another process handed over count as accepted: arrivals of higher value must not displace them.
#[test]
fn adopted_messages_are_not_shed_for_arrivals_beyond_a_fourth() {
    let now = 100 * SECOND;
    let adopted = 8;
    let settings = Settings {
        max_queued: 10,
        ..settings()
    };
    let mut policy = DeliveryPolicy::new(settings, 7);
    let no_host = Event::HostsUnconfirmed(true);
    let mut events = vec![cached_host_list(), no_host];
    events.extend((1..=adopted).map(|id| Event::MessageAdopted {
        // Accepted ten seconds ago: worth less than what arrives.
        message: message(id, IDEMPOTENT, now - 10 * SECOND),
        attempts: Vec::new(),
        in_flight_at: None,
    }));
    handle(&mut policy, now, events);
    let mut shed = 0;
    for round in 1..=20 {
        let now = now + round * 10 * MILLISECOND;
        let arrivals = (0..3).map(|number| {
            Event::MessageReceived(message(100 * round + number, NON_IDEMPOTENT, now))
        });
        let actions = handle(&mut policy, now, arrivals.collect());
        let rejected = actions.iter().filter_map(|action| match action {
            Action::Reject { id, .. } => Some(*id),
            _ => None,
        });
        shed += rejected.filter(|id| *id <= adopted).count() as u64;
    }
    assert!(4 * shed <= adopted, "{shed} of {adopted} are shed");
}

/// Outages after calls at this interval, a rejection with a Retry-After of a second, and a success after it.
fn outages_after_retry_after(call_interval: Micros) -> usize {
    let mut harness = PolicyHarness::new(settings(), vec![host(1, 1)]);
    for _ in 0..30 {
        let id = harness.receive(IDEMPOTENT, 1, None);
        harness.end_attempt(id, AttemptOutcome::Delivered);
        harness.advance(call_interval);
    }
    let id = harness.receive(IDEMPOTENT, 1, None);
    let retry_after = SECOND;
    harness.end_attempt(id, AttemptOutcome::Rejected { retry_after });
    harness.advance(8 * SECOND / 5);
    let next = harness.in_flight().first().map(|attempt| attempt.id);
    let id = next.unwrap_or_else(|| harness.receive(IDEMPOTENT, 1, None));
    harness.end_attempt(id, AttemptOutcome::Delivered);
    harness.policy.outages().count()
}

/// Only the first calls met the outage, as the relay backed off until the destination was back.
#[test]
fn outage_hidden_by_backoff_starts_the_recovery_ramp() {
    // The limit is 20 a second for two replicas: one a second is far from this replica's share.
    assert_eq!(outages_after_retry_after(SECOND), 1);
}

/// The limit is 20 a second for two replicas: six a second use this replica's share, and the limit causes the
/// rejection.
#[test]
fn rejection_at_the_limit_starts_no_recovery_ramp() {
    assert_eq!(outages_after_retry_after(150 * MILLISECOND), 0);
}

/// A larger snapshot would take a busy relay too long to write.
#[test]
fn handover_snapshot_does_not_grow_with_recent_calls() {
    let snapshot_size = |calls: usize| {
        let settings = Settings {
            weight_source: WeightSource::Absent,
            ..settings()
        };
        let mut harness = PolicyHarness::new(settings, vec![host(1, 1)]);
        for _ in 0..calls {
            let id = harness.receive(IDEMPOTENT, 1, None);
            harness.advance(MILLISECOND);
            harness.end_attempt(id, AttemptOutcome::Delivered);
        }
        assert_eq!(harness.delivered.len(), calls);
        let snapshot = harness.policy.handover_snapshot();
        postcard::to_allocvec(&snapshot).expect("encoded").len()
    };
    let after_few = snapshot_size(100);
    let after_many = snapshot_size(4000);
    assert!(
        after_many <= after_few + 16,
        "{after_few} bytes after 100 calls, {after_many} after 4,000 in four seconds"
    );
}
