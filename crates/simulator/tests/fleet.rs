//! Days on which three to five relays share the work, and some are struck apart from the others. Long ranges are
//! the tool's (`run --days fleet`).

mod support;

use simulator::script::{ScenarioKind, Script};
use simulator::world::{play, Options};

/// Pushes a returning destination over by a fifth of a call; `regressions.rs` plays it, and `KNOWN-RED.txt` lists it.
const OPEN: u64 = 20;

#[test]
fn all_rules_hold_on_the_first_seeds() {
    support::hold(
        ScenarioKind::Fleet,
        (0..200).filter(|seed| *seed != OPEN),
        100,
    );
}

#[test]
fn a_day_has_several_relays_that_are_struck_apart_and_a_seed_gives_it_again() {
    let day = |seed| {
        play(
            &Script::draw_fleet(seed),
            Options {
                traced: true,
                ..Options::default()
            },
        )
    };
    let (first, again) = (
        day(3),
        std::thread::spawn(move || day(3)).join().expect("played"),
    );
    assert_eq!(first.digest, again.digest);
    let script = Script::draw_fleet(3);
    assert!((3..=5).contains(&script.relays));
    let starts = first
        .trace
        .iter()
        .filter(|line| line.contains("process") && line.contains("starts"))
        .count();
    assert!(starts >= script.relays, "{starts}");
    let struck: std::collections::BTreeSet<usize> = (0..40)
        .flat_map(|seed| Script::draw_fleet(seed).faults)
        .map(|fault| fault.relay)
        .collect();
    assert!(struck.len() >= 4, "{struck:?}");
}

/// Each relay keeps to the budget as far as it can tell, and all together break it.
#[test]
fn relays_that_think_they_are_alone_push_a_returning_destination_over_together() {
    let alone = |config: &mut serde_json::Value| config["settings"]["siblings"] = 1.into();
    let options = Options {
        misconfigure: Some(alone),
        ..Options::default()
    };
    support::seeds_until(
        ScenarioKind::Fleet,
        "not pushed over",
        0..600,
        options,
        |_| {},
    );
}
