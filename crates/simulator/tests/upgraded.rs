//! Days on which new versions take over: two processes of one relay on one folder, either of them killed at any step.
//! Long ranges are the tool's (`run --days upgraded`).

mod support;

use simulator::machine::PlantedFault;
use simulator::script::{ScenarioKind, Script};
use simulator::world::{play, Options};

/// Days that broke a rule once: what had waited in the shared port was given too much time (267, 299), or was taken on
/// for a client that had gone (112, 284); an old process left though the new one had just died (275).
/// The world's own fault: a new configuration was told only to the process that was yet to take over, so that the
/// other's notices went to a discovery that had moved (3194 and after).
const MENDED: [u64; 12] = [
    267, 299, 112, 284, 275, 3194, 3806, 5473, 5940, 6676, 9298, 10114,
];

#[test]
fn all_rules_hold_on_the_first_seeds() {
    support::hold(ScenarioKind::Upgraded, (0..200).chain(MENDED), 20);
}

/// The days are about something: most see all goes across, many a process that starts as after a crash, and some one
/// that takes everything back.
#[test]
fn processes_hand_over_die_and_take_back() {
    let traced = Options {
        traced: true,
        ..Options::default()
    };
    let mut seen = [0; 3];
    for seed in 0..80 {
        let trace = play(&Script::draw_upgraded(seed), traced).trace.join("\n");
        let lines = [
            "upgrade: handed_over",
            "and was replaced",
            "upgrade: directory_reclaimed",
        ];
        for (seen, line) in seen.iter_mut().zip(lines) {
            *seen += u32::from(trace.contains(line));
        }
    }
    assert!(seen[0] >= 60 && seen[1] >= 40 && seen[2] >= 1, "{seen:?}");
}

#[test]
fn a_seed_gives_the_same_day_again() {
    support::same_again(ScenarioKind::Upgraded, 0..4);
}

/// Two processes that both believe to own the folder have a second effect, or lose what the other took on.
#[test]
fn two_owners_are_caught() {
    let options = Options {
        planted_fault: Some(PlantedFault::ShareLocks),
        ..Options::default()
    };
    let rules = (0..40).filter_map(|seed| {
        play(&Script::draw_upgraded(seed), options)
            .violation
            .map(|violation| violation.invariant)
    });
    let rules: Vec<&str> = rules.collect();
    println!("{rules:?}");
    assert!(rules.len() >= 10, "{rules:?}");
}
