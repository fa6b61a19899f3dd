//! Calls that begin late and take time, in scenarios in which undeliverable messages are resent: connections come up late,
//! hosts read calls late, and each call takes effect only after its work. Some of these scenarios have upgrades, too.
//!
//! They extend some scenarios, with draws from a random sequence of their own.

use std::time::Duration;

use crate::faults;
use crate::kept::EFFECT_DELAY;
use crate::peers::effect_log::CONNECTION_CHECK_INTERVAL;
use crate::rng::SimulationRng;
use crate::script::Script;

/// Stream of random numbers of these draws.
const STREAM: u64 = 23;
/// One in this many seeds has late calls.
const SEED_PERIOD: u64 = 4;
/// Remainder of such seeds.
const SEED_REMAINDER: u64 = 2;
/// Percentage of the scenarios with late calls in which the relay is upgraded.
const UPGRADE_PERCENT: u64 = 30;

/// Whether the scenario of a seed has late calls.
pub(crate) fn applies_to(seed: u64) -> bool {
    seed % SEED_PERIOD == SEED_REMAINDER
}

/// How long hosts work on a call at most: less than the relay's setting, by the time in which a host notices the end of a
/// connection.
fn max_work() -> Duration {
    EFFECT_DELAY - 2 * CONNECTION_CHECK_INTERVAL
}

/// Adds late connections and late reads, and upgrades to some scenarios.
pub(crate) fn add_to(script: &mut Script) {
    let mut rng = SimulationRng::new(script.seed, STREAM);
    let destinations: Vec<u16> = script.limits.capacity.keys().copied().collect();
    let late_calls = faults::draw_late_calls(&mut rng, &destinations);
    script.faults.extend(late_calls);
    if rng.percent(UPGRADE_PERCENT) {
        script.faults.extend(faults::draw_upgrades(&mut rng));
        script.upgrades = true;
    }
    script.faults.sort_by_key(|fault| fault.from);
    if let Some(kept) = &mut script.kept {
        kept.max_work = max_work();
    }
}
