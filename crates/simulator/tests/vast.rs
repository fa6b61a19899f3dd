//! Scenarios with a hundred relays. Long ranges of seeds are played with `run --days vast`.

mod support;

use serde_json::Value;
use simulator::script::{ScenarioKind, Script};
use simulator::vast::Vast;
use simulator::world::{play, Options, Report};

fn play_seed(seed: u64, misconfigure: Option<fn(&mut Value)>) -> (Script, Report) {
    let script = Script::draw_kind(ScenarioKind::Vast, seed);
    let report = play(
        &script,
        Options {
            misconfigure,
            ..Options::default()
        },
    );
    (script, report)
}

/// Names of the ratios that exceed their bounds in a scenario.
fn exceeded_bounds(seed: u64, misconfigure: Option<fn(&mut Value)>) -> Vec<&'static str> {
    let (script, report) = play_seed(seed, misconfigure);
    let Some(vast) = &script.vast else {
        panic!("not a scenario of a large fleet")
    };
    let figures = vast.ratios(&script, &report.counts).into_iter();
    figures
        .filter(|(_, figure, most)| figure > most)
        .map(|(rule, _, _)| rule)
        .collect()
}

#[test]
fn all_invariants_and_bounds_hold_on_the_first_seeds() {
    support::hold(ScenarioKind::Vast, 0..6, 1000);
}

#[test]
fn scenarios_are_reproducible() {
    let (script, first) = play_seed(3, None);
    let again = std::thread::spawn(|| play_seed(3, None).1)
        .join()
        .expect("played");
    assert_eq!(first.digest, again.digest);
    assert_eq!(script.relays, 100);
    assert!(
        first.counts.restarts == 0 || first.counts.restarts >= 50,
        "most are killed, or none"
    );
}

/// Relays without siblings each use the whole limit instead of an equal part, and poll the host list too often as their polls
/// are not spread.
#[test]
fn relays_without_siblings_exceed_the_bounds_of_rejections_and_polls() {
    let alone: fn(&mut Value) = |config| config["settings"]["siblings"] = 1.into();
    let over: Vec<_> = (0..6)
        .flat_map(|seed| exceeded_bounds(seed, Some(alone)))
        .collect();
    assert!(over.contains(&"few refusals"), "{over:?}");
    assert!(over.contains(&"few calls for lists"), "{over:?}");
}

#[test]
fn short_lived_connections_are_reported() {
    let closes: fn(&mut Value) = |config| config["settings"]["limits"]["idleClose"] = 20_000.into();
    assert_eq!(exceeded_bounds(0, Some(closes)), ["few connections"]);
}

#[test]
fn scenarios_can_be_drawn_for_any_number_of_relays_with_the_same_load() {
    let sizes = [1, 3, 30, 100].map(|relays| Script::draw_vast(5, relays));
    let first = sizes[0].message_count();
    assert!(sizes.iter().all(|script| script.message_count() == first));
    let vast: Vec<&Vast> = sizes
        .iter()
        .filter_map(|script| script.vast.as_ref())
        .collect();
    assert_eq!(vast.len(), sizes.len());
    let alone = play(&sizes[0], Options::default());
    assert_eq!(alone.violation_text, None);
    assert!(
        alone.counts.delivered * 10 >= first as u64 * 9,
        "{:?}",
        alone.counts
    );
}
