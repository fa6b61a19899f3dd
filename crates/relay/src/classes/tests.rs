//! Tests of the assignment and reuse of class numbers.

use super::*;
use policy::types::Idempotency;

fn class(time_to_live: u64, idempotency: Idempotency) -> Class {
    Class {
        latency_objective: 1,
        objective_stretch: 0.0,
        time_to_live,
        idempotency,
        value: 1.0,
        late_value: 0.0,
        is_ordered: false,
    }
}

fn names(text: &str) -> Vec<String> {
    text.split(' ').map(String::from).collect()
}

#[test]
fn changed_class_gets_a_new_number_while_the_old_one_is_in_use() {
    let (idempotent, non_idempotent) = (
        class(9, Idempotency::Idempotent),
        class(9, Idempotency::NonIdempotent),
    );
    let mut classes = Classes::new(&names("a b"), &[idempotent.clone(), idempotent.clone()]);
    assert!(classes.update(
        &names("a b"),
        &[non_idempotent.clone(), idempotent.clone()],
        |number| number == 0
    ));
    assert_eq!(classes.number("a"), Some(2));
    assert_eq!(classes.number("b"), Some(1));
    assert_eq!(
        classes.definitions(),
        [
            idempotent.clone(),
            idempotent.clone(),
            non_idempotent.clone()
        ]
    );
    // The old number is assigned again once no message has it.
    assert!(classes.update(
        &names("a b c"),
        &[
            non_idempotent.clone(),
            idempotent.clone(),
            idempotent.clone()
        ],
        |_| false
    ));
    assert_eq!(
        (classes.number("a"), classes.number("c")),
        (Some(2), Some(0))
    );
    assert_eq!(classes.definitions().len(), 3);
}

#[test]
fn removed_class_is_unknown_and_gets_its_number_back_when_it_returns() {
    let idempotent = class(9, Idempotency::Idempotent);
    let mut classes = Classes::new(&names("a b"), &[idempotent.clone(), idempotent.clone()]);
    assert!(classes.update(&names("b"), std::slice::from_ref(&idempotent), |_| true));
    assert_eq!(classes.number("a"), None);
    assert!(classes.class_by_name("a").is_none());
    // A class that returns with the same definition gets the number that its messages still have.
    assert!(classes.update(
        &names("b a"),
        &[idempotent.clone(), idempotent.clone()],
        |_| true
    ));
    assert_eq!(classes.number("a"), Some(0));
    let other = class(7, Idempotency::NonIdempotent);
    assert!(
        classes.update(&names("b a"), &[idempotent.clone(), other.clone()], |_| {
            true
        })
    );
    assert_eq!(
        (classes.number("a"), classes.class_by_name("a")),
        (Some(2), Some(&other))
    );
}

#[test]
fn restored_message_keeps_a_definition_that_is_not_configured() {
    let (idempotent, non_idempotent) = (
        class(9, Idempotency::Idempotent),
        class(9, Idempotency::NonIdempotent),
    );
    let mut classes = Classes::new(&names("a"), std::slice::from_ref(&non_idempotent));
    assert_eq!(classes.number_for_version("a", &non_idempotent), Some(0));
    assert_eq!(classes.number_for_version("a", &idempotent), Some(1));
    assert_eq!(classes.number_for_version("gone", &idempotent), Some(2));
    assert_eq!(
        (classes.number("a"), classes.number("gone")),
        (Some(0), None)
    );
}

#[test]
fn update_beyond_the_maximum_is_rejected_without_a_change() {
    let mut classes = Classes::new(&names("a"), &[class(1, Idempotency::Idempotent)]);
    let mut rejected = 0;
    for time_to_live in 2..MAX_CLASSES as u64 + 50 {
        let before = classes.definitions();
        if !classes.update(
            &names("a"),
            &[class(time_to_live, Idempotency::Idempotent)],
            |_| true,
        ) {
            rejected += 1;
            assert_eq!(classes.definitions(), before);
        }
    }
    assert_eq!((classes.definitions().len(), rejected), (MAX_CLASSES, 49));
}
