//! Which messages are accepted, and where they may go. The harness checks the rules in every test as well.

mod support;

use policy::types::{Action, AttemptOutcome, Event, HostEntry, HostState};
use policy::DeliveryPolicy;
use support::{handle, host, listed, message, run, settings, PolicyHarness, SECOND};

#[test]
fn message_for_unknown_destination_is_rejected_by_its_deadline() {
    let mut harness = PolicyHarness::new(settings(), vec![host(1, 1)]);
    let id = harness.receive(0, 9, None);
    harness.advance(30 * SECOND);
    assert_eq!(harness.answers[&id], Action::Reject { id, retry_after: 0 });
}

#[test]
fn draining_host_receives_no_new_calls() {
    let mut harness = PolicyHarness::new(settings(), vec![host(1, 1), host(2, 1)]);
    harness.update_hosts(
        false,
        vec![HostEntry {
            state: HostState::Draining,
            ..host(1, 1)
        }],
    );
    for _ in 0..4 {
        harness.receive(0, 1, None);
    }
    assert!(harness.sent.len() > 1 && harness.sent.iter().all(|s| s.host == 2));
    harness.update_hosts(true, vec![host(3, 1)]);
    harness.receive(0, 1, None);
    run(&mut harness, SECOND, |_, _| Some(AttemptOutcome::Delivered));
    assert_eq!(harness.sent.last().map(|s| s.host), Some(3));
}

#[test]
fn full_queue_still_admits_messages_for_healthy_destination() {
    let mut harness = PolicyHarness::new(settings(), vec![host(1, 1), host(2, 2)]);
    for _ in 0..200 {
        harness.receive(0, 1, None);
    }
    let held = 200 - harness.answers.len() - harness.delivered.len();
    assert!(held < harness.settings.max_queued, "{held} held");
    let good = harness.receive(0, 2, None);
    assert!(harness.sent.iter().any(|s| s.id == good));
}

#[test]
fn discovery_is_polled_again_after_it_failed() {
    let mut set = settings();
    set.polls_discovery = true;
    let mut harness = PolicyHarness::new(set.clone(), Vec::new());
    let asked = |b: &PolicyHarness| {
        b.actions
            .iter()
            .filter(|a| **a == Action::Subscribe(true))
            .count()
    };
    harness.handle(vec![Event::DiscoveryFailed]);
    harness.advance(set.rules.max_poll_interval);
    let first = asked(&harness);
    assert!(first >= 1);
    harness.handle(vec![Event::DiscoveryFailed]);
    harness.advance(set.rules.max_poll_interval);
    assert!(asked(&harness) > first);
    let mut cached = policy::DeliveryPolicy::new(set, 1);
    let mut out = Vec::new();
    cached.handle(
        1,
        [Event::HostsUpdated {
            is_full: true,
            cached: true,
            entries: Vec::new(),
        }],
        &mut out,
    );
    assert!(
        out.contains(&Action::Subscribe(true)),
        "a remembered list is no subscription"
    );
}

#[test]
fn messages_share_a_call_up_to_the_limit_of_their_kind() {
    let mut set = settings();
    set.kinds[0].max_messages_per_call = 4;
    set.max_calls = 1;
    let mut harness = PolicyHarness::new(set, vec![host(1, 1)]);
    let first = harness.receive(0, 1, None);
    let rest: Vec<_> = (0..6).map(|_| harness.receive(0, 1, None)).collect();
    assert_eq!(harness.sent.len(), 1);
    harness.end_attempt(first, AttemptOutcome::Delivered);
    harness.advance(SECOND);
    assert_eq!(
        harness.sent.len(),
        5,
        "four of {} in the second call",
        rest.len()
    );
}

#[test]
fn message_beyond_a_full_queue_is_rejected_with_retry_after() {
    let now = 100 * SECOND;
    let mut set = settings();
    (set.max_queued, set.max_calls) = (3, 8);
    let mut policy = DeliveryPolicy::new(set, 7);
    handle(&mut policy, now, vec![listed(false)]);
    for id in 1..=3 {
        // Out, each: there is nothing to make room with.
        handle(
            &mut policy,
            now + id * SECOND,
            vec![Event::MessageReceived(message(id, 0, now + id * SECOND))],
        );
    }
    let actions = handle(
        &mut policy,
        now + 4 * SECOND,
        vec![Event::MessageReceived(message(4, 0, now + 4 * SECOND))],
    );
    assert!(
        actions.iter().any(|a| matches!(
            a,
            Action::Reject {
                id: 4,
                retry_after: 1..
            }
        )),
        "{actions:?}"
    );
}
