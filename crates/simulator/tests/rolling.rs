//! Rolling restarts of a fleet while hosts are replaced. Long ranges, and fleets of full size, are the tool's
//! (`run --days rolling`).

mod support;

use simulator::machine::PlantedFault;
use simulator::script::{ScenarioKind, Script};
use simulator::world::{play, Options};

#[test]
fn no_host_announced_as_leaving_gets_anything_on_the_first_seeds() {
    support::hold(ScenarioKind::Rolling, 0..40, 500);
}

#[test]
fn a_seed_gives_its_day_again() {
    support::same_again(ScenarioKind::Rolling, 4..6);
}

/// Both kinds of discovery are played, hosts leave, and all relays are restarted.
#[test]
fn a_day_holds_what_it_is_about() {
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

/// A drain that reads as none: what a process was to hear at its start counts as told, though it was not sent then.
#[test]
fn hosts_that_left_while_a_process_was_down_are_seen_to_be_called() {
    let options = Options {
        planted_fault: Some(PlantedFault::HideDraining),
        ..Options::default()
    };
    support::seeds_until(ScenarioKind::Rolling, "leaving", 0..80, options, |_| {});
}

#[test]
fn a_day_can_be_drawn_for_any_number_of_relays_and_hosts() {
    let script = Script::draw_rolling(1, Some(350), Some(400));
    assert_eq!((script.relays, script.hosts.len()), (350, 400));
    let mut addresses: Vec<_> = script.hosts.iter().map(|host| host.address).collect();
    addresses.extend((0..1024).map(simulator::script::relay_address));
    addresses.extend((0..1024).map(|relay| simulator::script::discovery_address(relay, 0)));
    let all = addresses.len();
    addresses.sort();
    addresses.dedup();
    assert_eq!(addresses.len(), all, "no two have one address");
}
