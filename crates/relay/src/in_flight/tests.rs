//! Tests of the answers to requests by the names of their messages.

use super::*;

const NOW: Micros = 1_796_168_000_000_000;

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

/// A hand-over snapshot of an earlier version has the names of the last second.
#[test]
fn names_that_an_earlier_version_handed_over_are_recognized() {
    let mut new = InFlightMessages::default();
    let names: Vec<String> = (1..=2000)
        .map(|number| format!("acme\nm{number}"))
        .collect();
    new.restore_completed(NOW, &names);
    assert_eq!(new.ended().borrow().len(), 2000);
    for number in [1, 257, 2000] {
        let repeated = message("acme", &format!("m{number}"));
        assert_eq!(submit(&mut new, &repeated), DUPLICATE);
    }
}

#[test]
fn name_in_use_by_another_tenant_is_not_accepted_in_any_state() {
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

    messages.complete(NOW, &name, Repeatability::NotRepeatable);
    assert_eq!(submit(&mut messages, &other), IN_USE, "ended");
    assert_eq!(submit(&mut messages, &own), DUPLICATE);

    let mut successor = InFlightMessages::new(messages.ended().clone());
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
    messages.complete(NOW, &second_name, Repeatability::NotRepeatable);
    messages.await_notification(second_name.clone());
    assert_eq!(messages.len(), 1);
    assert!(messages.is_name_shared(&first_name), "not notified");
    messages.notified(&second_name);
    assert!(!messages.is_name_shared(&first_name));
    assert!(messages.is_name_shared(&second_name));
    assert_eq!(submit(&mut messages, &first), DUPLICATE);
}
