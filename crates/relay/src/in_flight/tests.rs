//! Tests of the answers to requests by the names of their messages.

use super::*;
use std::time::Duration;

use message_names::HANDOVER_WINDOW;

fn message(tenant: &str, name: &str) -> AcceptedMessage {
    AcceptedMessage {
        name: name.into(),
        idempotency_key: None,
        ordering_key: None,
        class: "payout".into(),
        tenant: tenant.into(),
        destination: 1,
        deadline: 0,
        is_resubmitted: false,
        body: "body".into(),
    }
}

fn name(number: usize) -> MessageName {
    MessageName::new("acme", &format!("m{number}"))
}

/// What a request for a message gets: its reply if it is answered at once, and whether the name is in use.
fn submit(messages: &mut InFlightMessages, message: &AcceptedMessage) -> (Option<Reply>, bool) {
    let (reply, mut answer) = oneshot::channel();
    let name = MessageName::of_message(message);
    let submission = messages.answer_duplicate(&name, reply);
    let is_in_use = matches!(submission, Submission::NameInUse(_));
    (answer.try_recv().ok(), is_in_use)
}

const NEW: (Option<Reply>, bool) = (None, false);
const DUPLICATE: (Option<Reply>, bool) = (Some(Reply::Ok), false);
const IN_USE: (Option<Reply>, bool) = (None, true);

/// The hand-over state includes every name that completed within the window, whatever their number, so that the next
/// process recognizes duplicates.
#[test]
fn names_completed_within_the_window_are_in_the_handover_state() {
    let (mut old, mut new, start) = (
        InFlightMessages::default(),
        InFlightMessages::default(),
        Instant::now(),
    );
    old.complete(start, name(0));
    let now = start + HANDOVER_WINDOW + Duration::from_millis(1);
    (1..=2000).for_each(|number| old.complete(now, name(number)));
    new.restore_completed(now, old.recently_completed_names(now));
    assert_eq!(new.recently_completed(), 2000, "the first one is older");
    for number in [1, 257, 2000] {
        let repeated = message("acme", &format!("m{number}"));
        assert_eq!(submit(&mut new, &repeated), DUPLICATE);
    }
    assert_eq!(
        old.recently_completed_names(now)[0],
        name(2000).to_stored(),
        "the last one comes first"
    );
}

#[test]
fn name_in_use_by_another_tenant_is_not_accepted_in_any_state() {
    let now = Instant::now();
    let (own, other) = (message("acme", "m1"), message("globex", "m1"));
    let name = MessageName::of_message(&own);

    let mut messages = InFlightMessages::default();
    assert_eq!(submit(&mut messages, &own), NEW);
    let (reply, _answer) = oneshot::channel();
    messages.add_arriving(1, own.clone(), reply);
    assert_eq!(submit(&mut messages, &other), IN_USE, "while it arrives");

    messages.take_arriving();
    assert_eq!(submit(&mut messages, &other), IN_USE, "in flight");
    let other_name = MessageName::of_message(&other);
    assert!(messages.contains(&other_name), "a resend has to wait");
    assert_eq!(submit(&mut messages, &own), DUPLICATE);

    messages.complete(now, name.clone());
    assert_eq!(submit(&mut messages, &other), IN_USE, "ended");
    assert_eq!(submit(&mut messages, &own), DUPLICATE);

    let mut successor = InFlightMessages::default();
    successor.restore_completed(now, messages.recently_completed_names(now));
    assert_eq!(
        submit(&mut successor, &other),
        IN_USE,
        "ended before an upgrade"
    );
    assert_eq!(submit(&mut successor, &own), DUPLICATE);

    let mut restarted = InFlightMessages::default();
    restarted.insert_restored(1, &own);
    assert_eq!(submit(&mut restarted, &other), IN_USE, "from the journal");
    assert_eq!(submit(&mut restarted, &own), DUPLICATE);

    let mut restarted = InFlightMessages::default();
    restarted.await_notification(name.clone());
    assert_eq!(submit(&mut restarted, &other), IN_USE, "not notified");
    assert_eq!(submit(&mut restarted, &own), DUPLICATE);
    restarted.notified(&name);
    assert_eq!(submit(&mut restarted, &other), NEW);
}

#[test]
fn end_of_one_message_leaves_another_of_the_same_name_open() {
    let (first, second) = (message("acme", "m1"), message("globex", "m1"));
    let (first_name, second_name) = (
        MessageName::of_message(&first),
        MessageName::of_message(&second),
    );
    let mut messages = InFlightMessages::default();
    messages.insert_restored(1, &first);
    messages.insert_restored(2, &second);
    assert!(messages.is_name_shared(&first_name));
    messages.complete(Instant::now(), second_name.clone());
    messages.await_notification(second_name.clone());
    assert_eq!(messages.len(), 1);
    assert!(messages.is_name_shared(&first_name), "not notified");
    messages.notified(&second_name);
    assert!(!messages.is_name_shared(&first_name));
    assert!(messages.is_name_shared(&second_name));
    assert_eq!(submit(&mut messages, &first), DUPLICATE);
}
