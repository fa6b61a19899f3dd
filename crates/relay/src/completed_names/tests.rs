//! Tests of the names of ended messages: how long they are kept, and what happens at the limits.

use super::*;

const NOW: Micros = 1_796_168_000_000_000;
const WINDOW: Micros = 60 * MICROS_PER_SECOND;
const TENANT: &str = "acme";

fn names(all: usize, not_repeatable: usize) -> CompletedNames {
    let limits = NameLimits {
        all,
        not_repeatable,
    };
    CompletedNames::new(7, limits, WINDOW)
}

fn is_known(names: &CompletedNames, name: &str) -> bool {
    names.owner(TENANT, name).is_some()
}

#[test]
fn name_belongs_to_the_tenant_whose_message_had_it() {
    let mut names = names(10, 10);
    names.insert(NOW, TENANT, "m1", Repeatability::NotRepeatable);
    assert_eq!(names.owner(TENANT, "m1"), Some(NameOwner::SameTenant));
    assert_eq!(names.owner("globex", "m1"), Some(NameOwner::OtherTenant));
    assert_eq!(names.owner(TENANT, "m2"), None);
}

#[test]
fn names_are_kept_for_the_window() {
    let mut names = names(10, 10);
    names.insert(NOW, TENANT, "payout", Repeatability::NotRepeatable);
    names.insert(NOW, TENANT, "update", Repeatability::Repeatable);
    names.insert(NOW + WINDOW, TENANT, "later", Repeatability::Repeatable);
    assert!(is_known(&names, "payout") && is_known(&names, "update"));
    let later = NOW + WINDOW + 2 * MICROS_PER_SECOND;
    assert!(!names.is_full(later));
    assert!(!is_known(&names, "payout") && !is_known(&names, "update"));
    assert!(is_known(&names, "later"));
}

#[test]
fn name_that_must_not_be_repeated_is_not_dropped_behind_any_number_of_others() {
    let mut names = names(100, 50);
    names.insert(NOW, TENANT, "payout", Repeatability::NotRepeatable);
    for number in 0..100_000 {
        let name = format!("update-{number}");
        names.insert(NOW, TENANT, &name, Repeatability::Repeatable);
    }
    assert!(is_known(&names, "payout"));
    assert!(is_known(&names, "update-99999"));
    assert_eq!(names.len(), 100);
}

#[test]
fn full_table_is_reported_until_names_expire() {
    let mut names = names(100, 3);
    for name in ["a", "b", "c"] {
        assert!(!names.is_full(NOW));
        names.insert(NOW, TENANT, name, Repeatability::NotRepeatable);
    }
    assert!(names.is_full(NOW + WINDOW));
    // What was accepted before is remembered nevertheless.
    names.insert(NOW, TENANT, "d", Repeatability::NotRepeatable);
    assert!(is_known(&names, "a") && is_known(&names, "d"));
    assert!(!names.is_full(NOW + WINDOW + 2 * MICROS_PER_SECOND));
}

#[test]
fn stored_names_are_recognized_by_a_process_with_another_seed() {
    let mut before = names(20_000, 20_000);
    for number in 0..10_000 {
        let name = format!("payout-{number}");
        before.insert(NOW, TENANT, &name, Repeatability::NotRepeatable);
    }
    before.insert(NOW, TENANT, "update", Repeatability::Repeatable);
    let limits = NameLimits {
        all: 20_000,
        not_repeatable: 20_000,
    };
    let mut after = CompletedNames::new(99, limits, WINDOW);
    for block in before.to_stored() {
        after.restore(NOW + WINDOW / 2, before.seed(), &block);
    }
    assert!((0..10_000).all(|number| is_known(&after, &format!("payout-{number}"))));
    assert_eq!(
        after.owner("globex", "payout-1"),
        Some(NameOwner::OtherTenant)
    );
    assert!(!is_known(&after, "update"));
    let mut expired = CompletedNames::new(99, limits, WINDOW);
    for block in before.to_stored() {
        expired.restore(NOW + 2 * WINDOW, before.seed(), &block);
    }
    assert_eq!(expired.len(), 0);
}
