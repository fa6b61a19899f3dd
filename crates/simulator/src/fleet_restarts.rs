//! Restarts of most relays of a fleet around the outage of a destination for which all of them hold a backlog.
//!
//! They extend every fourth scenario of a fleet, with draws from a random sequence of their own.

use std::time::Duration;

use crate::faults::{self, FleetRestart};
use crate::peers::clients::{ClientBehavior, PlannedMessage};
use crate::rng::SimulationRng;
use crate::script::Script;

/// Stream of random numbers of these draws.
const STREAM: u64 = 22;
/// One in this many seeds has restarts around an outage.
const SEED_PERIOD: u64 = 4;
/// Remainder of such seeds.
const SEED_REMAINDER: u64 = 1;
/// Numbers of relays.
const RELAYS: [u64; 6] = [3, 5, 10, 20, 40, 100];
/// Limits of the destination, in calls a second.
const CAPACITIES: [f64; 4] = [20.0, 30.0, 60.0, 120.0];
/// From the first message of the backlog to the outage, and from the return to the last one, in milliseconds.
const TRAFFIC_MARGIN_MS: u64 = 2_000;

/// Whether the scenario of a seed has restarts around an outage.
pub(crate) fn applies_to(seed: u64) -> bool {
    seed % SEED_PERIOD == SEED_REMAINDER
}

/// Adds an outage of one destination, a restart of most relays around it, and steady messages for the destination.
pub(crate) fn add_to(script: &mut Script) {
    let mut rng = SimulationRng::new(script.seed, STREAM);
    let destinations: Vec<u16> = script.limits.capacity.keys().copied().collect();
    let destination = *rng.pick(&destinations);
    let capacity = *rng.pick(&CAPACITIES);
    script.relays = *rng.pick(&RELAYS) as usize;
    script.settings["siblings"] = script.relays.into();
    for fault in &mut script.faults {
        fault.relay %= script.relays;
    }
    script.limits.capacity.insert(destination, capacity);
    let restart = FleetRestart::draw(&mut rng, destination);
    script.upgrades = restart.is_upgrade();
    add_backlog(&mut rng, script, &restart, capacity);
    faults::add_fleet_restart(&mut rng, &restart, script.relays, &mut script.faults);
}

/// Adds messages that arrive at a steady rate at all relays. They resemble messages that the scenario already has.
fn add_backlog(
    rng: &mut SimulationRng,
    script: &mut Script,
    restart: &FleetRestart,
    capacity: f64,
) {
    let regular = script.clients.iter().flatten();
    let templates: Vec<PlannedMessage> = regular
        .filter(|message| message.behavior == ClientBehavior::Regular)
        .cloned()
        .collect();
    let load_percent = rng.between(60, 100);
    let from_ms = restart.outage_from_ms - TRAFFIC_MARGIN_MS;
    let until_ms = restart.outage_until_ms + TRAFFIC_MARGIN_MS;
    let span_ms = until_ms - from_ms;
    let count = (capacity * span_ms as f64 / 1000.0) as u64 * load_percent / 100;
    let mut clients = vec![Vec::new(); script.relays];
    for number in 0..count {
        let at_ms = from_ms + number * span_ms / count;
        let message = PlannedMessage {
            at: Duration::from_millis(at_ms),
            name: format!("b{number:04}"),
            ordering_key: 0,
            destination: restart.destination,
            ..rng.pick(&templates).clone()
        };
        clients[number as usize % script.relays].push(message);
    }
    // The clients with these numbers call the relays in order.
    while !script.clients.len().is_multiple_of(script.relays) {
        script.clients.push(Vec::new());
    }
    script.clients.extend(clients);
}
