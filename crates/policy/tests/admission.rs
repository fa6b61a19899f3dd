//! Tests of admission, host selection and discovery. The harness also checks the rules in `support/rules.rs` in every
//! test.

mod support;

use policy::types::{Action, AttemptOutcome, Event, HostEntry, HostState, Settings};
use policy::DeliveryPolicy;
use support::{
    handle, host, host_list, message, run_with_outcome, settings, PolicyHarness, IDEMPOTENT, SECOND,
};

#[test]
fn message_for_unknown_destination_is_rejected_by_its_deadline() {
    let mut harness = PolicyHarness::new(settings(), vec![host(1, 1)]);
    let id = harness.receive(IDEMPOTENT, 9, None);
    harness.advance(30 * SECOND);
    assert_eq!(harness.answers[&id], Action::Reject { id, retry_after: 0 });
}

#[test]
fn draining_host_receives_no_new_calls() {
    let mut harness = PolicyHarness::new(settings(), vec![host(1, 1), host(2, 1)]);
    let draining = HostEntry {
        state: HostState::Draining,
        ..host(1, 1)
    };
    harness.change_hosts(vec![draining]);
    for _ in 0..4 {
        harness.receive(IDEMPOTENT, 1, None);
    }
    assert!(harness.sent.len() > 1 && harness.sent.iter().all(|sent| sent.host == 2));
    harness.replace_hosts(vec![host(3, 1)]);
    harness.receive(IDEMPOTENT, 1, None);
    run_with_outcome(&mut harness, SECOND, AttemptOutcome::Delivered);
    assert_eq!(harness.sent.last().map(|sent| sent.host), Some(3));
}

#[test]
fn full_queue_still_admits_messages_for_healthy_destination() {
    let mut harness = PolicyHarness::new(settings(), vec![host(1, 1), host(2, 2)]);
    for _ in 0..200 {
        harness.receive(IDEMPOTENT, 1, None);
    }
    let queued = 200 - harness.answers.len() - harness.delivered.len();
    assert!(queued < harness.settings.max_queued, "{queued} queued");
    let healthy = harness.receive(IDEMPOTENT, 2, None);
    assert!(harness.sent.iter().any(|sent| sent.id == healthy));
}

#[test]
fn discovery_is_polled_again_after_it_failed() {
    let settings = Settings {
        polls_discovery: true,
        ..settings()
    };
    let interval = settings.rules.max_poll_interval;
    let mut harness = PolicyHarness::new(settings, Vec::new());
    let count_subscriptions = |harness: &PolicyHarness| {
        let actions = harness.actions.iter();
        actions
            .filter(|action| **action == Action::Subscribe(true))
            .count()
    };
    harness.handle(vec![Event::DiscoveryFailed]);
    harness.advance(interval);
    let first = count_subscriptions(&harness);
    assert!(first >= 1);
    harness.handle(vec![Event::DiscoveryFailed]);
    harness.advance(interval);
    assert!(count_subscriptions(&harness) > first);
}

#[test]
fn cached_host_list_does_not_replace_the_subscription() {
    let settings = Settings {
        polls_discovery: true,
        ..settings()
    };
    let mut policy = DeliveryPolicy::new(settings, 1);
    let cached = Event::HostsUpdated {
        is_full: true,
        cached: true,
        entries: Vec::new(),
    };
    let actions = handle(&mut policy, 1, vec![cached]);
    assert!(actions.contains(&Action::Subscribe(true)), "{actions:?}");
}

#[test]
fn messages_share_a_call_up_to_the_limit_of_their_kind() {
    let mut settings = settings();
    settings.kinds[0].max_messages_per_call = 4;
    settings.max_calls = 1;
    let mut harness = PolicyHarness::new(settings, vec![host(1, 1)]);
    let first = harness.receive(IDEMPOTENT, 1, None);
    for _ in 0..6 {
        harness.receive(IDEMPOTENT, 1, None);
    }
    assert_eq!(harness.sent.len(), 1);
    harness.end_attempt(first, AttemptOutcome::Delivered);
    harness.advance(SECOND);
    assert_eq!(
        harness.sent.len(),
        5,
        "the second call should carry four of the six waiting messages"
    );
}

#[test]
fn message_beyond_a_full_queue_is_rejected_with_retry_after() {
    let settings = Settings {
        max_queued: 3,
        max_calls: 8,
        ..settings()
    };
    let mut policy = DeliveryPolicy::new(settings, 7);
    let mut now = 100 * SECOND;
    handle(&mut policy, now, vec![host_list()]);
    // All three messages are in flight, so none of them can be shed.
    for id in 1..=3 {
        now += SECOND;
        let received = Event::MessageReceived(message(id, IDEMPOTENT, now));
        handle(&mut policy, now, vec![received]);
    }
    now += SECOND;
    let received = Event::MessageReceived(message(4, IDEMPOTENT, now));
    let actions = handle(&mut policy, now, vec![received]);
    let is_rejected = |action: &Action| {
        matches!(
            action,
            Action::Reject {
                id: 4,
                retry_after: 1..
            }
        )
    };
    assert!(actions.iter().any(is_rejected), "{actions:?}");
}
