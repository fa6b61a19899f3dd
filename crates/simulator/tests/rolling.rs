//! Rolling restarts of a fleet while hosts leave. Long ranges of seeds and fleets of full size are played with
//! `run --days rolling`.

mod support;

use simulator::machine::PlantedFault;
use simulator::script::{ScenarioKind, Script};
use simulator::world::{play, Options};

#[test]
fn leaving_hosts_get_no_calls_on_the_first_seeds() {
    support::hold(ScenarioKind::Rolling, 0..40, 500);
}

#[test]
fn scenarios_are_reproducible() {
    support::same_again(ScenarioKind::Rolling, 4..6);
}

#[test]
fn scenarios_cover_both_kinds_of_discovery_leaving_hosts_and_restarts() {
    let scripts: Vec<Script> = (0..2)
        .map(|seed| Script::draw_kind(ScenarioKind::Rolling, seed))
        .collect();
    assert_eq!(
        scripts
            .iter()
            .map(|script| script.limits.discovery_is_pushed)
            .collect::<Vec<_>>(),
        [true, false]
    );
    for script in &scripts {
        let report = play(script, Options::default());
        assert_eq!(
            report.counts.restarts as usize, script.relays,
            "{:?}",
            report.violation_text
        );
        let left = script
            .faults
            .iter()
            .filter(|fault| format!("{:?}", fault.behavior).starts_with("Drains"));
        assert!(left.count() > 0);
    }
}

/// Draining entries are hidden from the relay. A process counts as notified at its start of the entries of its discovery agent,
/// even if they were not sent then.
#[test]
fn calls_to_hosts_that_left_during_a_restart_are_reported() {
    let options = Options {
        planted_fault: Some(PlantedFault::HideDraining),
        ..Options::default()
    };
    support::seeds_until(ScenarioKind::Rolling, "leaving", 0..80, options, |_| {});
}

#[test]
fn scenarios_can_be_drawn_for_any_number_of_relays_and_hosts() {
    let script = Script::draw_rolling(1, Some(350), Some(400));
    assert_eq!((script.relays, script.hosts.len()), (350, 400));
    let mut addresses: Vec<_> = script.hosts.iter().map(|host| host.address).collect();
    addresses.extend((0..1024).map(simulator::script::relay_address));
    addresses.extend((0..1024).map(|relay| simulator::script::discovery_address(relay, 0)));
    let all = addresses.len();
    addresses.sort();
    addresses.dedup();
    assert_eq!(addresses.len(), all, "all addresses are different");
}
