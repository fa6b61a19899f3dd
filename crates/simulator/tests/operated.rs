//! Days on which staff drain and retune the relay and ask for its figures. Long ranges are the tool's
//! (`run --days operated`).

mod support;

use simulator::machine::PlantedFault;
use simulator::script::{ScenarioKind, Script};
use simulator::world::{play, Options};

#[test]
fn all_rules_hold_on_the_first_seeds() {
    support::hold(ScenarioKind::Operated, 0..200, 20);
}

/// A new version died with calls out, and the old one let the next of their keys go at once.
#[test]
fn days_that_broke_the_order_hold() {
    support::hold(ScenarioKind::Operated, [450, 9602], 20);
}

/// The days are about something: relays are drained and are back, take new settings and turn files down, classes come
/// and go, and all that beside upgrades.
#[test]
fn staff_get_something_done() {
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
    let (mut seen, mut rushed) = ([0; 4], 0);
    for seed in 0..40 {
        let trace = play(&Script::draw_operated(seed), traced).trace.join("\n");
        for (seen, line) in seen.iter_mut().zip(lines) {
            *seen += u32::from(trace.contains(line));
        }
        rushed += trace
            .lines()
            .filter(|line| line.contains(" r0") && line.ends_with("is answered +OK"))
            .count();
    }
    assert!(
        seen[0] >= 35 && seen[1] >= 25 && seen[2] >= 15 && seen[3] >= 15,
        "{seen:?}"
    );
    assert!(rushed >= 400, "{rushed}");
}

#[test]
fn a_seed_gives_the_same_day_again() {
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
fn connections_that_stay_open_in_a_drain_are_seen() {
    caught("drained", PlantedFault::KeepClientsOpen);
}

#[test]
fn figures_that_hide_deliveries_are_seen() {
    caught("figures", PlantedFault::ZeroDeliveryMetrics);
}

/// A relay that reads its old file sends again what may not be any more, and counts files that it should turn down.
#[test]
fn settings_that_are_not_taken_are_seen() {
    caught("no double effect", PlantedFault::StaleConfiguration);
    caught("figures", PlantedFault::StaleConfiguration);
}

#[test]
fn control_socket_that_does_not_answer_is_reported() {
    caught("door", PlantedFault::MuteControlSocket);
}
