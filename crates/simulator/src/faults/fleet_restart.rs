//! The outage of a destination, and a restart of most relays of a fleet around it.

use std::rc::Rc;
use std::time::Duration;

use super::{partners, process, rolling, upgrade, Fault, FaultBehavior};
use crate::rng::SimulationRng;

/// How the relays restart.
#[derive(Clone, Copy, Debug)]
enum RestartKind {
    /// SIGKILL, and a start after this many milliseconds.
    Kill(u64),
    /// SIGTERM, and a start this many milliseconds after the end.
    Stop(u64),
    /// A new version takes over, and the old one is stopped after this many milliseconds.
    Upgrade(u64),
    /// SIGHUP; the process goes on.
    Reload,
}

impl RestartKind {
    fn draw(rng: &mut SimulationRng) -> Self {
        let delay_ms = rng.between(300, 1_500);
        match rng.below(6) {
            0..=2 => RestartKind::Kill(delay_ms),
            3 => RestartKind::Stop(delay_ms),
            4 => RestartKind::Upgrade(delay_ms),
            _ => RestartKind::Reload,
        }
    }

    fn behavior(self) -> Rc<dyn FaultBehavior> {
        match self {
            RestartKind::Kill(down_ms) => Rc::new(rolling::Restarted::killed(down_ms)),
            RestartKind::Stop(down_ms) => Rc::new(process::Stop::with_downtime(down_ms)),
            RestartKind::Upgrade(delay_ms) => Rc::new(upgrade::NewVersion::without_kills(
                Duration::from_millis(delay_ms),
            )),
            RestartKind::Reload => Rc::new(process::Reload),
        }
    }
}

/// The outage of a destination, and a restart around it.
#[derive(Clone, Debug)]
pub struct FleetRestart {
    /// The destination.
    pub destination: u16,
    /// When the outage begins, in milliseconds.
    pub outage_from_ms: u64,
    /// When it ends, in milliseconds.
    pub outage_until_ms: u64,
    /// When the relays restart, in milliseconds.
    restart_at_ms: u64,
    /// Percentage of the relays that restart.
    restarted_percent: u64,
    kind: RestartKind,
}

impl FleetRestart {
    /// Draws an outage of several seconds, and a restart in it or shortly after its end.
    pub fn draw(rng: &mut SimulationRng, destination: u16) -> Self {
        let outage_from_ms = rng.between(2_500, 4_500);
        let outage_until_ms = outage_from_ms + rng.between(4_000, 7_000);
        FleetRestart {
            destination,
            outage_from_ms,
            outage_until_ms,
            restart_at_ms: rng.between(outage_from_ms + 1_500, outage_until_ms + 1_500),
            restarted_percent: rng.between(60, 100),
            kind: RestartKind::draw(rng),
        }
    }

    /// Whether new versions take over from running processes.
    #[must_use]
    pub fn is_upgrade(&self) -> bool {
        matches!(self.kind, RestartKind::Upgrade(_))
    }
}

/// Adds the faults of an outage and a restart to those of a fleet.
pub fn add_fleet_restart(
    rng: &mut SimulationRng,
    restart: &FleetRestart,
    relays: usize,
    faults: &mut Vec<Fault>,
) {
    let outage: Rc<dyn FaultBehavior> = if rng.percent(75) {
        Rc::new(partners::Hangs(restart.destination))
    } else {
        Rc::new(partners::Shut(restart.destination))
    };
    faults.push(Fault {
        from: restart.outage_from_ms,
        until: restart.outage_until_ms,
        relay: 0,
        behavior: outage,
    });
    let restarted = relays * restart.restarted_percent as usize / 100;
    faults.extend((0..restarted).map(|relay| Fault {
        from: restart.restart_at_ms,
        until: restart.restart_at_ms + 1,
        relay,
        behavior: restart.kind.behavior(),
    }));
    faults.sort_by_key(|fault| fault.from);
}
