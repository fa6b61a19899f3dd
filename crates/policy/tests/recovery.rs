//! Recovery from outages, restarts and hand-overs. The harness checks the rules in every test as well.

mod support;

use policy::types::{Action, AttemptOutcome, Event, Message, Outage, PastAttempt, WeightSource};
use policy::DeliveryPolicy;
use support::{
    handle, host, listed, message, run, settings, PolicyHarness, SentMessage, MILLISECOND, SECOND,
};

#[test]
fn backlog_does_not_overload_a_recovering_destination() {
    let mut harness = PolicyHarness::new(settings(), vec![host(1, 1)]);
    for _ in 0..60 {
        harness.receive(0, 1, None);
    }
    let back = harness.now + 6 * SECOND;
    let cold = |now| {
        if now < back {
            AttemptOutcome::ConnectFailed
        } else {
            AttemptOutcome::Delivered
        }
    };
    run(&mut harness, 15 * SECOND, |now, _| Some(cold(now)));
    let (told, rules) = (20.0, &harness.settings.rules);
    for SentMessage { at: start, .. } in harness.sent.iter().filter(|s| s.at >= back) {
        let end = start + rules.overload_duration;
        let sent = harness
            .sent
            .iter()
            .filter(|s| (*start..end).contains(&s.at))
            .count() as f64;
        // Capacity in the mean of the span: it warms evenly.
        let mid = start + rules.overload_duration / 2 - back;
        let warm = (mid as f64 / rules.warm_up as f64).min(1.0);
        let capacity =
            told * (rules.initial_capacity_share + (1.0 - rules.initial_capacity_share) * warm);
        let part = rules.overload_factor * capacity * rules.overload_duration as f64 / 1e6 / 2.0;
        // One more than the rate gives fits into a span that begins with a call.
        assert!(
            sent <= part + 1.0,
            "{sent} calls in a span from {start}, this replica's part is {part}"
        );
    }
    assert!(
        harness.delivered.len() > 20,
        "but it must get some: {}",
        harness.delivered.len()
    );
}

#[test]
fn restored_messages_are_retried_as_their_past_attempts_allow() {
    let now = 100 * SECOND;
    let past = |may_have_run, sent| PastAttempt {
        sent_at: sent,
        zone: 0,
        may_have_executed: may_have_run,
    };
    let restored = |class, attempts| Event::MessageRestored {
        message: message(1, class, now),
        attempts,
    };
    // Non-idempotent, keyed and idempotent; not executed, executed within the window, executed before it.
    for (class, attempts, sent, failed) in [
        (2, vec![past(false, now - SECOND)], true, false),
        (
            2,
            vec![past(true, now - SECOND), past(false, now - SECOND)],
            false,
            true,
        ),
        (1, vec![past(true, now - SECOND)], true, false),
        (
            1,
            vec![past(true, now - 7 * SECOND), past(true, now - SECOND)],
            false,
            true,
        ),
        (0, vec![past(true, now - 7 * SECOND)], true, false),
        (0, vec![past(true, now - 7 * SECOND); 8], false, true),
    ] {
        let mut policy = DeliveryPolicy::new(settings(), 7);
        let actions = handle(
            &mut policy,
            now,
            vec![listed(true), restored(class, attempts.clone())],
        );
        let was_sent = actions
            .iter()
            .any(|action| matches!(action, Action::Send { id: 1, .. }));
        assert_eq!(
            (was_sent, actions.contains(&Action::Fail(1))),
            (sent, failed),
            "{class} {attempts:?}"
        );
    }
    // All attempts are used up and none was executed: the rejection has a Retry-After.
    let mut policy = DeliveryPolicy::new(settings(), 7);
    let actions = handle(
        &mut policy,
        now,
        vec![
            listed(true),
            restored(2, vec![past(false, now - SECOND); 8]),
        ],
    );
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

/// The call may still be running at its host.
#[test]
fn ordering_key_is_blocked_after_a_call_cut_off_by_restart() {
    let (now, mut set) = (100 * SECOND, settings());
    set.classes[2].is_ordered = true;
    let gap = set.rules.ordering_delay;
    assert!(gap > 20 * MILLISECOND, "there is something to wait for");
    let one = |id, key| Message {
        ordering_key: Some(key),
        ..message(id, 2, now)
    };
    for (may_have_run, key, waits) in [(true, 7, true), (true, 8, false), (false, 7, false)] {
        let mut policy = DeliveryPolicy::new(set.clone(), 7);
        // As after the calls of another process, whose ends are unknown.
        let attempts = vec![
            PastAttempt {
                sent_at: now - SECOND,
                zone: 0,
                may_have_executed: may_have_run
            };
            8
        ];
        let restored = Event::MessageRestored {
            message: one(1, 7),
            attempts,
        };
        let mut actions = handle(
            &mut policy,
            now,
            vec![listed(true), restored, Event::MessageReceived(one(2, key))],
        );
        let sent = |actions: &[Action]| {
            actions
                .iter()
                .any(|a| matches!(a, Action::Send { id: 2, .. }))
        };
        let mut at = now;
        while !sent(&actions) && at < now + 10 * SECOND {
            at += 10 * MILLISECOND;
            actions = handle(&mut policy, at, Vec::new());
        }
        let waited = (now + gap..now + 10 * SECOND).contains(&at);
        assert_eq!(
            waited,
            waits,
            "{may_have_run}, {key}: {} ms",
            (at - now) / MILLISECOND
        );
    }
}

#[test]
fn restored_outage_allows_one_probe() {
    let now = 100 * SECOND;
    for (back, most) in [
        (None, 1),
        (Some(now - SECOND), 1),
        (Some(now - 11 * SECOND), 12),
    ] {
        let mut policy = DeliveryPolicy::new(settings(), 7);
        let outage = Outage {
            destination: 1,
            started_at: now - 20 * SECOND,
            recovered_at: back,
        };
        let mut events = vec![listed(true), Event::OutageRestored(outage)];
        events.extend((1..=12).map(|id| Event::MessageReceived(message(id, 0, now))));
        let sent = handle(&mut policy, now, events).len();
        assert!(sent <= most, "{sent} sent, back {back:?}");
        assert_eq!(policy.outages().count(), usize::from(most == 1));
    }
}

/// The last process may have seen too little of an outage to persist it.
#[test]
fn restored_messages_are_paced_by_the_recovery_ramp() {
    let now = 100 * SECOND;
    let mut policy = DeliveryPolicy::new(settings(), 7);
    let entries = vec![host(1, 1), host(2, 2)];
    let mut events = vec![Event::HostsUpdated {
        is_full: true,
        cached: true,
        entries,
    }];
    let restored = |id| Event::MessageRestored {
        message: message(id, 0, now),
        attempts: Vec::new(),
    };
    events.extend((1..=8).map(restored));
    // Another destination, for which nothing was recovered.
    events.extend((11..=14).map(|id| {
        Event::MessageReceived(Message {
            destination: 2,
            ..message(id, 0, now)
        })
    }));
    let actions = handle(&mut policy, now, events);
    let sent = |actions: &[Action], host| {
        actions
            .iter()
            .filter(|a| matches!(a, Action::Send { host: to, .. } if *to == host))
            .count()
    };
    assert_eq!(
        (sent(&actions, 1), sent(&actions, 2) > 1),
        (1, true),
        "{actions:?}"
    );
    // Two replicas, a limit of 20 calls a second, a fifth of it at first, overload at twice that: 4 a second.
    let mut more = 0;
    for tick in 1..=50 {
        more += sent(
            &handle(&mut policy, now + tick * 10 * MILLISECOND, Vec::new()),
            1,
        );
    }
    assert!((1..=2).contains(&more), "{more} in half a second");
}

/// Only the first calls met the outage, as the relay backed off until the destination was back.
#[test]
fn outage_hidden_by_backoff_starts_the_recovery_ramp() {
    let shut = |busy: bool| {
        let mut harness = PolicyHarness::new(settings(), vec![host(1, 1)]);
        // The limit is 20 a second for two replicas: six a second use this replica's part, one is far from it.
        for _ in 0..30 {
            let id = harness.receive(0, 1, None);
            harness.end_attempt(id, AttemptOutcome::Delivered);
            harness.advance(if busy { 150 * MILLISECOND } else { SECOND });
        }
        let id = harness.receive(0, 1, None);
        harness.end_attempt(
            id,
            AttemptOutcome::Rejected {
                retry_after: SECOND,
            },
        );
        harness.advance(8 * SECOND / 5);
        let id = harness
            .in_flight()
            .first()
            .map_or_else(|| harness.receive(0, 1, None), |(id, _)| *id);
        harness.end_attempt(id, AttemptOutcome::Delivered);
        harness.policy.outages().count()
    };
    assert_eq!(shut(false), 1);
    // A destination at its limit rejects calls too, and is not down.
    assert_eq!(shut(true), 0);
}

/// A larger snapshot would take a busy relay too long to write.
#[test]
fn handover_snapshot_does_not_grow_with_recent_calls() {
    let snapshot_size = |calls: usize| {
        let mut set = settings();
        set.weight_source = WeightSource::Absent;
        let mut harness = PolicyHarness::new(set, vec![host(1, 1)]);
        for _ in 0..calls {
            let id = harness.receive(0, 1, None);
            harness.advance(MILLISECOND);
            harness.end_attempt(id, AttemptOutcome::Delivered);
        }
        assert_eq!(harness.delivered.len(), calls);
        postcard::to_allocvec(&harness.policy.handover_snapshot())
            .expect("written")
            .len()
    };
    let (few, many) = (snapshot_size(100), snapshot_size(4000));
    assert!(
        many <= few + 16,
        "{few} bytes after 100 calls, {many} after 4,000 in four seconds"
    );
}
