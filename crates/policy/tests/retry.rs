//! Whether and when a message is sent again, and its final answer. The harness checks the rules in every test as well.

mod support;

use policy::types::{Action, AttemptOutcome, Event};
use policy::DeliveryPolicy;
use support::{handle, host, listed, message, run, settings, PolicyHarness, MILLISECOND, SECOND};

#[test]
fn message_is_answered_without_slots_or_after_its_deadline() {
    let mut set = settings();
    set.max_calls = 0;
    let mut harness = PolicyHarness::new(set, vec![host(1, 1)]);
    let first = harness.receive(2, 1, None);
    let second = harness.receive_with_deadline(2, 1, None, harness.now);
    assert!(harness.answers.contains_key(&first) && harness.answers.contains_key(&second));
    assert!(harness.sent.is_empty());
}

#[test]
fn non_idempotent_message_that_may_have_executed_fails_without_retry() {
    for outcome in [
        AttemptOutcome::Error,
        AttemptOutcome::Timeout,
        AttemptOutcome::Reset,
        AttemptOutcome::Cancelled,
    ] {
        let mut harness = PolicyHarness::new(settings(), vec![host(1, 1), host(2, 1)]);
        let id = harness.receive(2, 1, None);
        harness.end_attempt(id, outcome);
        harness.advance(25 * SECOND);
        assert_eq!(harness.answers[&id], Action::Fail(id), "after {outcome:?}");
        assert_eq!(harness.sent.len(), 1);
    }
}

#[test]
fn non_idempotent_message_that_was_not_executed_is_retried() {
    let mut harness = PolicyHarness::new(settings(), vec![host(1, 1)]);
    let id = harness.receive(2, 1, None);
    harness.end_attempt(id, AttemptOutcome::ConnectFailed);
    harness.advance(5 * SECOND);
    assert_eq!(harness.sent.len(), 2);
}

#[test]
fn keyed_message_fails_at_the_end_of_its_idempotency_window() {
    let mut harness = PolicyHarness::new(settings(), vec![host(1, 1)]);
    let id = harness.receive(1, 1, None);
    run(&mut harness, 15 * SECOND, |_, _| {
        Some(AttemptOutcome::Error)
    });
    assert_eq!(harness.answers[&id], Action::Fail(id));
    assert!(harness.sent.len() > 1);
}

#[test]
fn retry_after_applies_to_the_destination_or_to_the_host_route() {
    for apart in [false, true] {
        let mut set = settings();
        set.kinds[0].has_host_routes = apart;
        let mut harness = PolicyHarness::new(set, vec![host(1, 1), host(2, 1)]);
        let id = harness.receive(0, 1, None);
        let told = harness.sent[0].host;
        harness.end_attempt(
            id,
            AttemptOutcome::Rejected {
                retry_after: 3 * SECOND,
            },
        );
        harness.receive(0, 1, None);
        harness.advance(2 * SECOND);
        let others = harness.sent[1..].iter().filter(|s| s.host != told).count();
        assert_eq!(others > 0, apart, "apart {apart}");
        run(&mut harness, 4 * SECOND, |_, _| {
            Some(AttemptOutcome::Delivered)
        });
        assert_eq!(harness.delivered.len(), 2);
    }
}

#[test]
fn huge_retry_after_is_honoured_without_overflow() {
    let mut harness = PolicyHarness::new(settings(), vec![host(1, 1)]);
    let id = harness.receive(0, 1, None);
    harness.end_attempt(
        id,
        AttemptOutcome::Rejected {
            retry_after: u64::from(u32::MAX) * MILLISECOND,
        },
    );
    harness.advance(60 * SECOND);
    assert_eq!(harness.sent.len(), 1);
    assert!(harness.answers.contains_key(&id));
}

#[test]
fn ordering_key_is_kept_and_blocked_after_an_attempt_that_may_still_run() {
    let mut set = settings();
    set.classes[0].is_ordered = true;
    let mut harness = PolicyHarness::new(set, vec![host(1, 1)]);
    let first = harness.receive(0, 1, Some(5));
    let second = harness.receive(0, 1, Some(5));
    assert_eq!(harness.sent.len(), 1);
    harness.withdraw(first);
    harness.advance(SECOND);
    assert_eq!(harness.sent.len(), 1, "the first is still out");
    harness.end_attempt(first, AttemptOutcome::Reset);
    let ended = harness.now;
    harness.advance(5 * SECOND);
    let at = harness.sent.iter().find(|s| s.id == second).map(|s| s.at);
    assert!(at.is_some_and(|at| at >= ended + SECOND), "sent at {at:?}");
}

#[test]
fn no_call_starts_that_shutdown_would_cut_off() {
    let now = 100 * SECOND;
    let mut policy = DeliveryPolicy::new(settings(), 7);
    let stopping = Event::ShuttingDown {
        at: now + 3 * SECOND,
    };
    let arrived = |id, class, now| Event::MessageReceived(message(id, class, now));
    let early = handle(
        &mut policy,
        now,
        vec![listed(false), stopping, arrived(1, 2, now)],
    );
    assert!(
        matches!(early[..], [Action::Send { id: 1, .. }]),
        "{early:?}"
    );
    // By now an unsafe call might be cut off; one that may be repeated should end in time.
    let now = now + 2 * SECOND;
    let late = handle(
        &mut policy,
        now,
        vec![arrived(2, 2, now), arrived(3, 0, now)],
    );
    assert!(matches!(late[..], [Action::Send { id: 3, .. }]), "{late:?}");
    let now = now + 9 * SECOND / 10;
    assert_eq!(handle(&mut policy, now, vec![arrived(4, 0, now)]), []);
}
