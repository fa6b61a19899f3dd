//! A rolling restart of a whole fleet while hosts are replaced.

use std::rc::Rc;
use std::time::Duration;

use super::{listing, process, Fault, FaultBehavior, FaultContext};
use crate::rng::SimulationRng;

/// A relay is terminated or killed, and starts again `down` milliseconds after its end.
#[derive(Debug)]
pub(super) struct Restarted {
    stopped: bool,
    down: u64,
}

impl Restarted {
    /// A SIGKILL, and a start `down` milliseconds later.
    pub fn killed(down: u64) -> Self {
        Restarted {
            stopped: false,
            down,
        }
    }

    /// The downtime after SIGTERM varies, so that a process that exits early is down for as long as slower ones take to exit.
    pub fn draw(rng: &mut SimulationRng) -> Self {
        let stopped = rng.percent(50);
        Restarted {
            stopped,
            down: if stopped {
                rng.between(600, 4_300)
            } else {
                600
            },
        }
    }
}

impl FaultBehavior for Restarted {
    fn inject(&self, context: &mut dyn FaultContext, _: Duration) {
        let down = Duration::from_millis(self.down);
        if self.stopped {
            context.terminate(down);
        } else {
            context.set_downtime(down);
            context.machine().kill(context.process());
        }
    }
}

/// Draws a rolling restart of all relays, a tenth at a time, while up to a third of the hosts leave in steps, never
/// the last one of a destination; discovery moves for most relays, and is late or silent for some.
pub fn draw_rolling_faults(
    rng: &mut SimulationRng,
    relays: usize,
    hosts: usize,
    hosts_per_destination: usize,
) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut add = |from: u64, span: u64, relay: usize, behavior: Rc<dyn FaultBehavior>| {
        faults.push(Fault {
            from,
            until: from + span,
            relay,
            behavior,
        });
    };
    for relay in 0..relays {
        let batch = (relay * 10 / relays) as u64;
        add(
            2_000 + batch * 1_200 + rng.below(200),
            1,
            relay,
            Rc::new(Restarted::draw(rng)),
        );
    }
    let discovery_moves_at = rng.between(4_000, 10_000);
    for relay in 0..relays {
        if rng.percent(70) {
            add(
                discovery_moves_at + rng.below(1_000),
                1,
                relay,
                Rc::new(process::Reload),
            );
        }
        match rng.below(10) {
            0 => add(
                rng.between(2_000, 11_000),
                rng.between(200, 3_000),
                relay,
                Rc::new(listing::ListSilent),
            ),
            1 => add(
                rng.between(2_000, 11_000),
                2_000,
                relay,
                Rc::new(listing::ListLags::draw(rng)),
            ),
            _ => {}
        }
    }
    for _ in 0..rng.between(3, 6) {
        let from = rng.between(2_500, 14_000);
        for host in 0..hosts {
            // One host of each destination always stays: not the first one, which idle relays prefer.
            let stays = (host + 1) % hosts_per_destination == 0 || host + 1 == hosts;
            if !stays && rng.percent(15) {
                add(
                    from,
                    rng.between(3_000, 6_000),
                    0,
                    Rc::new(listing::Drains(host)),
                );
            }
        }
    }
    faults.sort_by_key(|fault| fault.from);
    faults
}
