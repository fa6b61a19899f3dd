//! Tests of whether and when a message is sent again, and of its final answer. The harness also checks the rules in
//! `support/rules.rs` in every test.

mod support;

use policy::types::{Action, AttemptEnd, AttemptOutcome, Event, Settings};
use policy::DeliveryPolicy;
use support::{
    handle, host, host_list, message, run_with_outcome, settings, PolicyHarness, IDEMPOTENT, KEYED,
    MILLISECOND, NON_IDEMPOTENT, SECOND,
};

#[test]
fn message_is_answered_without_slots_or_after_its_deadline() {
    let settings = Settings {
        max_calls: 0,
        ..settings()
    };
    let mut harness = PolicyHarness::new(settings, vec![host(1, 1)]);
    let without_slots = harness.receive(NON_IDEMPOTENT, 1, None);
    let after_deadline = harness.receive_with_deadline(NON_IDEMPOTENT, 1, None, harness.now);
    assert!(harness.answers.contains_key(&without_slots));
    assert!(harness.answers.contains_key(&after_deadline));
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
        let id = harness.receive(NON_IDEMPOTENT, 1, None);
        harness.end_attempt(id, outcome);
        harness.advance(25 * SECOND);
        assert_eq!(harness.answers[&id], Action::Fail(id), "after {outcome:?}");
        assert_eq!(harness.sent.len(), 1);
    }
}

#[test]
fn non_idempotent_message_that_was_not_executed_is_retried() {
    let mut harness = PolicyHarness::new(settings(), vec![host(1, 1)]);
    let id = harness.receive(NON_IDEMPOTENT, 1, None);
    harness.end_attempt(id, AttemptOutcome::ConnectFailed);
    harness.advance(5 * SECOND);
    assert_eq!(harness.sent.len(), 2);
}

#[test]
fn keyed_message_fails_at_the_end_of_its_idempotency_window() {
    let mut harness = PolicyHarness::new(settings(), vec![host(1, 1)]);
    let id = harness.receive(KEYED, 1, None);
    run_with_outcome(&mut harness, 15 * SECOND, AttemptOutcome::Error);
    assert_eq!(harness.answers[&id], Action::Fail(id));
    assert!(harness.sent.len() > 1);
}

#[test]
fn retry_after_applies_to_the_destination_or_to_the_host_route() {
    for has_host_routes in [false, true] {
        let mut settings = settings();
        settings.kinds[0].has_host_routes = has_host_routes;
        let mut harness = PolicyHarness::new(settings, vec![host(1, 1), host(2, 1)]);
        let id = harness.receive(IDEMPOTENT, 1, None);
        let rejecting_host = harness.sent[0].host;
        let retry_after = 3 * SECOND;
        harness.end_attempt(id, AttemptOutcome::Rejected { retry_after });
        harness.receive(IDEMPOTENT, 1, None);
        harness.advance(2 * SECOND);
        let uses_other_host = harness.sent[1..]
            .iter()
            .any(|sent| sent.host != rejecting_host);
        assert_eq!(uses_other_host, has_host_routes);
        run_with_outcome(&mut harness, 4 * SECOND, AttemptOutcome::Delivered);
        assert_eq!(harness.delivered.len(), 2);
    }
}

#[test]
fn huge_retry_after_is_honoured_without_overflow() {
    let mut harness = PolicyHarness::new(settings(), vec![host(1, 1)]);
    let id = harness.receive(IDEMPOTENT, 1, None);
    let retry_after = u64::from(u32::MAX) * MILLISECOND;
    harness.end_attempt(id, AttemptOutcome::Rejected { retry_after });
    harness.advance(60 * SECOND);
    assert_eq!(harness.sent.len(), 1);
    assert!(harness.answers.contains_key(&id));
}

#[test]
fn ordering_key_is_blocked_after_an_attempt_that_may_still_run() {
    let mut settings = settings();
    settings.classes[usize::from(IDEMPOTENT)].is_ordered = true;
    let mut harness = PolicyHarness::new(settings, vec![host(1, 1)]);
    let first = harness.receive(IDEMPOTENT, 1, Some(5));
    let second = harness.receive(IDEMPOTENT, 1, Some(5));
    assert_eq!(harness.sent.len(), 1);
    harness.withdraw(first);
    harness.advance(SECOND);
    assert_eq!(
        harness.sent.len(),
        1,
        "the first message is still in flight"
    );
    harness.end_attempt(first, AttemptOutcome::Reset);
    let ended_at = harness.now;
    harness.advance(5 * SECOND);
    let mut sent = harness.sent.iter();
    let sent_at = sent.find(|sent| sent.id == second).map(|sent| sent.at);
    assert!(
        sent_at.is_some_and(|at| at >= ended_at + SECOND),
        "attempt ended at {ended_at}, next message sent at {sent_at:?}"
    );
}

#[test]
fn no_call_starts_that_shutdown_would_cut_off() {
    let now = 100 * SECOND;
    let mut policy = DeliveryPolicy::new(settings(), 7);
    let shutting_down = Event::ShuttingDown {
        at: now + 3 * SECOND,
    };
    let received = |id, class, now| Event::MessageReceived(message(id, class, now));
    let events = vec![host_list(), shutting_down, received(1, NON_IDEMPOTENT, now)];
    let early = handle(&mut policy, now, events);
    assert!(
        matches!(early[..], [Action::Send { id: 1, .. }]),
        "{early:?}"
    );
    // With one second left, a non-idempotent call might be cut off; a repeatable one is expected to end in time.
    let now = now + 2 * SECOND;
    let events = vec![
        received(2, NON_IDEMPOTENT, now),
        received(3, IDEMPOTENT, now),
    ];
    let late = handle(&mut policy, now, events);
    assert!(matches!(late[..], [Action::Send { id: 3, .. }]), "{late:?}");
    let now = now + 9 * SECOND / 10;
    let last = handle(&mut policy, now, vec![received(4, IDEMPOTENT, now)]);
    assert_eq!(last, []);
}

/// The end of the first attempt of message 1, at host 1.
fn attempt_end(outcome: AttemptOutcome, is_final: bool) -> AttemptEnd {
    AttemptEnd {
        id: 1,
        attempt: 0,
        host: 1,
        outcome,
        elapsed: 100 * MILLISECOND,
        is_final,
        load_report: Vec::new(),
    }
}

#[test]
fn final_answer_that_is_not_confirmed_stands_until_it_is_taken_back() {
    for (class, is_taken_back) in [
        (NON_IDEMPOTENT, false),
        (NON_IDEMPOTENT, true),
        (IDEMPOTENT, true),
    ] {
        let mut policy = DeliveryPolicy::new(settings(), 1);
        let mut now = SECOND;
        let received = Event::MessageReceived(message(1, class, now));
        let sent = handle(&mut policy, now, vec![host_list(), received]);
        assert!(matches!(sent[..], [Action::Send { id: 1, .. }]), "{sent:?}");
        now += 100 * MILLISECOND;
        let answered = attempt_end(AttemptOutcome::Delivered, true);
        let none = handle(&mut policy, now, vec![Event::AttemptAnswered(answered)]);
        assert_eq!(none, []);
        // Past the deadline of the message.
        now += 30 * SECOND;
        assert_eq!(handle(&mut policy, now, Vec::new()), []);
        let end = if is_taken_back {
            attempt_end(AttemptOutcome::ConnectionLost, false)
        } else {
            attempt_end(AttemptOutcome::Delivered, true)
        };
        let ended = handle(&mut policy, now, vec![Event::AttemptEnded(end)]);
        let expected = if is_taken_back {
            vec![Action::Fail(1)]
        } else {
            Vec::new()
        };
        assert_eq!(ended, expected, "{class} {is_taken_back}");
    }
}
