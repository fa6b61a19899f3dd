//! Scenarios in which operators drain and reconfigure the relay and read its metrics. Long ranges of seeds are played with
//! `run --days operated`.

mod support;

use simulator::machine::PlantedFault;
use simulator::script::{ScenarioKind, Script};
use simulator::world::{play, Options};

#[test]
fn all_invariants_hold_on_the_first_seeds() {
    support::hold(ScenarioKind::Operated, 0..200, 20);
}

/// Guards against a violation of the order: a new version died with calls in flight, and the old one sent the next messages of
/// their keys at once.
#[test]
fn order_holds_when_a_new_version_dies_with_calls_in_flight() {
    support::hold(ScenarioKind::Operated, [450, 9602], 20);
}

/// The scenarios cover what they are meant to: relays are drained and resumed, load new settings and reject invalid files, and
/// classes are added and removed, all of it during upgrades too.
#[test]
fn scenarios_cover_drains_reloads_and_upgrades() {
    let traced = Options {
        traced: true,
        ..Options::default()
    };
    let lines = [
        "control: state_changed event=drain state=draining",
        "control: state_changed event=resume state=serving",
        "configuration: reload_rejected",
        "upgrade: handed_over",
    ];
    let (mut seen, mut transient) = ([0; 4], 0);
    for seed in 0..40 {
        let trace = play(&Script::draw_operated(seed), traced).trace.join("\n");
        for (seen, line) in seen.iter_mut().zip(lines) {
            *seen += u32::from(trace.contains(line));
        }
        transient += trace
            .lines()
            .filter(|line| line.contains(" r0") && line.ends_with("is answered +OK"))
            .count();
    }
    assert!(
        seen[0] >= 35 && seen[1] >= 25 && seen[2] >= 15 && seen[3] >= 15,
        "{seen:?}"
    );
    assert!(transient >= 400, "{transient}");
}

#[test]
fn scenarios_are_reproducible() {
    support::same_again(ScenarioKind::Operated, 0..4);
}

fn caught(rule: &str, fault: PlantedFault) {
    let options = Options {
        planted_fault: Some(fault),
        ..Options::default()
    };
    support::seeds_until(ScenarioKind::Operated, rule, 0..60, options, |_| {});
}

#[test]
fn connections_that_stay_open_in_a_drain_are_reported() {
    caught("drained", PlantedFault::KeepClientsOpen);
}

#[test]
fn metrics_that_hide_deliveries_are_reported() {
    caught("figures", PlantedFault::ZeroDeliveryMetrics);
}

/// A relay that keeps reading its old configuration resends messages of a class that has become non-idempotent, and counts
/// invalid files as successful reloads.
#[test]
fn stale_configuration_is_reported() {
    caught("no double effect", PlantedFault::StaleConfiguration);
    caught("figures", PlantedFault::StaleConfiguration);
}

#[test]
fn control_socket_that_does_not_answer_is_reported() {
    caught("door", PlantedFault::MuteControlSocket);
}
