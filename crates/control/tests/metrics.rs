//! The ledger: whatever happens in whatever order, the figures add up.

use control::metrics::MOST_CLASSES;
use control::{HostCounts, MessageEnd, Metrics};
use proptest::prelude::*;

fn names(list: &[&str]) -> Vec<String> {
    list.iter().map(|name| name.to_string()).collect()
}

/// The value of a figure as the door shows it.
fn figure(text: &str, name: &str) -> Option<u64> {
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix(&format!("relay.{name}=")));
    line.and_then(|value| value.parse().ok())
}

fn end() -> impl Strategy<Value = MessageEnd> {
    prop_oneof![
        Just(MessageEnd::Success),
        Just(MessageEnd::Overload),
        Just(MessageEnd::Error),
        Just(MessageEnd::Other)
    ]
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Taken,
    Ended(usize, MessageEnd),
    TurnedAway(usize, MessageEnd),
    Reload(bool),
    HandedOver,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => Just(Step::Taken),
        4 => (0..4usize, end()).prop_map(|(class, end)| Step::Ended(class, end)),
        2 => (0..4usize, end()).prop_map(|(class, end)| Step::TurnedAway(class, end)),
        1 => any::<bool>().prop_map(Step::Reload),
        1 => Just(Step::HandedOver),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]

    #[test]
    fn what_was_taken_has_ended_or_is_concurrent(steps in prop::collection::vec(step(), 0..200)) {
        let classes = names(&["a", "b", "c", "no class"]);
        let mut ledger = Metrics::new(&classes[..3]);
        let (mut held, mut counts, mut reloads) = (0u64, [[0u64; 3]; 3], [0u64; 2]);
        for step in steps {
            let mut count = |class: usize, end: MessageEnd| {
                let column = match end {
                    MessageEnd::Success => 0,
                    MessageEnd::Overload => 1,
                    MessageEnd::Error => 2,
                    MessageEnd::Other => return,
                };
                counts.get_mut(class).into_iter().for_each(|row| row[column] += 1);
            };
            match step {
                Step::Taken => {
                    ledger.record_accepted();
                    held += 1;
                }
                Step::Ended(class, end) if held > 0 => {
                    ledger.record_end(&classes[class], end);
                    held -= 1;
                    count(class, end);
                }
                Step::Ended(..) => {}
                Step::TurnedAway(class, end) => {
                    ledger.record_rejected(&classes[class], end);
                    count(class, end);
                }
                Step::Reload(taken) => {
                    ledger.record_reload(taken);
                    reloads[usize::from(!taken)] += 1;
                }
                Step::HandedOver => {
                    ledger.record_handover();
                    held = 0;
                }
            }
            let (taken, ended) = ledger.accepted_and_ended();
            prop_assert_eq!(taken, ended + ledger.concurrent());
            prop_assert_eq!(ledger.concurrent(), held);
        }
        let text = ledger.render(7, HostCounts { listed: 5, disabled: 2 });
        for (class, row) in classes.iter().zip(counts) {
            for (name, value) in ["success", "overload", "error"].into_iter().zip(row) {
                prop_assert_eq!(figure(&text, &format!("{name}.{class}")), Some(value));
            }
        }
        let plain = [("dispatches", 7), ("concurrent", held), ("targets", 5), ("targets_disabled", 2),
            ("reload_success", reloads[0]), ("reload_failure", reloads[1])];
        for (name, value) in plain {
            prop_assert_eq!(figure(&text, name), Some(value));
        }
        prop_assert_eq!(figure(&text, "success.no class"), None, "names are the client's");
    }
}

#[test]
fn classes_come_at_zero_and_those_that_go_keep_their_counts() {
    let mut ledger = Metrics::new(&names(&["a", "b"]));
    ledger.record_accepted();
    ledger.record_end("a", MessageEnd::Success);
    ledger.set_classes(&names(&["b", "c"]));
    let text = ledger.render(0, HostCounts::default());
    assert_eq!(
        (figure(&text, "success.a"), figure(&text, "success.c")),
        (Some(1), Some(0))
    );
}

#[test]
fn names_of_classes_are_bounded_and_those_in_force_always_stand() {
    let mut ledger = Metrics::default();
    for number in 0..2 * MOST_CLASSES {
        ledger.set_classes(&names(&[&format!("c{number}"), "always"]));
        ledger.record_rejected("always", MessageEnd::Error);
    }
    let text = ledger.render(0, HostCounts::default());
    assert_eq!(
        text.lines()
            .filter(|line| line.starts_with("relay.success."))
            .count(),
        MOST_CLASSES
    );
    assert_eq!(figure(&text, "error.always"), Some(2 * MOST_CLASSES as u64));
    assert_eq!(
        figure(&text, &format!("success.c{}", 2 * MOST_CLASSES - 1)),
        Some(0)
    );
}
