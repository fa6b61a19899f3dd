//! Tests of the metrics: the counters are consistent after any sequence of events.

use control::metrics::MAX_CLASSES;
use control::{HostCounts, MessageEnd, Metrics};
use proptest::prelude::*;

fn names(list: &[&str]) -> Vec<String> {
    list.iter().map(|name| name.to_string()).collect()
}

/// The value of a metric in the text that the control socket returns.
fn metric(text: &str, name: &str) -> Option<u64> {
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
    Accepted,
    Ended(usize, MessageEnd),
    Rejected(usize, MessageEnd),
    Reload(bool),
    Handover,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => Just(Step::Accepted),
        4 => (0..4usize, end()).prop_map(|(class, end)| Step::Ended(class, end)),
        2 => (0..4usize, end()).prop_map(|(class, end)| Step::Rejected(class, end)),
        1 => any::<bool>().prop_map(Step::Reload),
        1 => Just(Step::Handover),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, ..ProptestConfig::default() })]

    #[test]
    fn accepted_messages_are_either_ended_or_concurrent(steps in prop::collection::vec(step(), 0..200)) {
        let classes = names(&["a", "b", "c", "no class"]);
        let mut metrics = Metrics::new(&classes[..3]);
        let (mut open, mut counts, mut reloads) = (0u64, [[0u64; 3]; 3], [0u64; 2]);
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
                Step::Accepted => {
                    metrics.record_accepted();
                    open += 1;
                }
                Step::Ended(class, end) if open > 0 => {
                    metrics.record_end(&classes[class], end);
                    open -= 1;
                    count(class, end);
                }
                Step::Ended(..) => {}
                Step::Rejected(class, end) => {
                    metrics.record_rejected(&classes[class], end);
                    count(class, end);
                }
                Step::Reload(is_applied) => {
                    metrics.record_reload(is_applied);
                    reloads[usize::from(!is_applied)] += 1;
                }
                Step::Handover => {
                    metrics.record_handover();
                    open = 0;
                }
            }
            let totals = metrics.message_totals();
            prop_assert_eq!(totals.accepted, totals.ended + metrics.concurrent());
            prop_assert_eq!(metrics.concurrent(), open);
        }
        let text = metrics.render(7, HostCounts { listed: 5, disabled: 2 });
        for (class, row) in classes.iter().zip(counts) {
            for (name, value) in ["success", "overload", "error"].into_iter().zip(row) {
                prop_assert_eq!(metric(&text, &format!("{name}.{class}")), Some(value));
            }
        }
        let totals = [("dispatches", 7), ("concurrent", open), ("targets", 5), ("targets_disabled", 2),
            ("reload_success", reloads[0]), ("reload_failure", reloads[1])];
        for (name, value) in totals {
            prop_assert_eq!(metric(&text, name), Some(value));
        }
        prop_assert_eq!(metric(&text, "success.no class"), None, "its name was chosen by the client");
    }
}

#[test]
fn new_classes_start_at_zero_and_removed_ones_keep_their_counters() {
    let mut metrics = Metrics::new(&names(&["a", "b"]));
    metrics.record_accepted();
    metrics.record_end("a", MessageEnd::Success);
    metrics.set_classes(&names(&["b", "c"]));
    let text = metrics.render(0, HostCounts::default());
    assert_eq!(
        (metric(&text, "success.a"), metric(&text, "success.c")),
        (Some(1), Some(0))
    );
}

#[test]
fn number_of_classes_is_bounded_and_configured_ones_are_always_listed() {
    let mut metrics = Metrics::default();
    for number in 0..2 * MAX_CLASSES {
        metrics.set_classes(&names(&[&format!("c{number}"), "always"]));
        metrics.record_rejected("always", MessageEnd::Error);
    }
    let text = metrics.render(0, HostCounts::default());
    assert_eq!(
        text.lines()
            .filter(|line| line.starts_with("relay.success."))
            .count(),
        MAX_CLASSES
    );
    assert_eq!(metric(&text, "error.always"), Some(2 * MAX_CLASSES as u64));
    assert_eq!(
        metric(&text, &format!("success.c{}", 2 * MAX_CLASSES - 1)),
        Some(0)
    );
}
