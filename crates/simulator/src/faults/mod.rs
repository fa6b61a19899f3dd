//! The faults of a scenario. Each fault type draws its own parameters, and injects and clears itself through a
//! [`FaultContext`].
//!
//! The `Debug` text of a fault is written into the trace, and so is a part of the digest: the names of fault types and
//! of their fields stay as they are.

mod fleet;
mod fleet_restart;
mod kept;
mod late_calls;
mod listing;
mod partners;
mod process;
mod rolling;
mod staff;
mod tenants;
mod traffic;
mod upgrade;
mod vast;

use std::fmt::Debug;
use std::rc::Rc;
use std::time::Duration;

pub use fleet::add_fleet_faults;
pub use fleet_restart::{add_fleet_restart, FleetRestart};
pub use kept::draw_undeliverable_store_faults;
pub use late_calls::draw_late_calls;
pub use rolling::draw_rolling_faults;
pub use staff::draw_operator_actions;
pub use tenants::draw_tenant_faults;
pub use upgrade::draw_upgrades;
pub use vast::draw_large_fleet_faults;

use crate::history::Observation;
use crate::machine::{AddressFault, Machine, ProcessId};
use crate::peers::discovery::Discovery;
use crate::peers::host_behavior::HostBehavior;
use crate::rng::SimulationRng;

/// The part of the simulated world that a fault may act on.
pub trait FaultContext {
    /// The simulated machines, network and disks.
    fn machine(&self) -> &Machine;
    /// The discovery agent of the affected relay.
    fn discovery(&self) -> &Discovery;
    /// Reports an observation to the checker.
    fn observe(&self, observation: &Observation<'_>);
    /// Changes the behavior of a destination's hosts.
    fn update_hosts(&self, destination: u16, change: &dyn Fn(&mut HostBehavior));
    /// Adds `by` milliseconds to the planned response times of a destination's hosts; 0 restores them.
    fn add_latency(&self, destination: u16, by: u64);
    /// Sets the network fault of the addresses of a destination's hosts.
    fn set_address_fault(&self, destination: u16, fault: AddressFault);
    /// Publishes a host's health in the host list of every agent, and increases the list's version by `jump`.
    fn publish_host_status(&self, host: usize, health: &'static str, jump: u64);
    /// Number of hosts.
    fn host_count(&self) -> usize;
    /// Gives a host a new name, as if it were replaced.
    fn rename_host(&self, host: usize);
    /// Number of the affected relay, if the fault affects one; also that of its machine.
    fn relay(&self) -> usize;
    /// The process of the affected relay.
    fn process(&self) -> ProcessId;
    /// Kills all relays within one instant.
    fn kill_all_relays(&mut self);
    /// Kills a percentage of the relays within one instant.
    fn kill_relays(&mut self, percent: u64);
    /// Starts or ends a network partition between the relay's machine and the hosts of a destination.
    fn set_partitioned(&self, destination: u16, is_partitioned: bool);
    /// Sets how long the relay is down after its next kill.
    fn set_downtime(&mut self, downtime: Duration);
    /// Sends SIGTERM; the relay starts again `downtime` after its end.
    fn terminate(&mut self, downtime: Duration);
    /// Moves the discovery agent to another address, and sends SIGHUP with a configuration that names it.
    fn move_discovery(&mut self);
    /// Starts a new version beside the serving process.
    fn start_upgrade(&mut self, plan: Upgrade);
    /// Lets an operator drain or resume the relay.
    fn set_draining(&mut self, is_draining: bool);
    /// Changes the settings, and sends SIGHUP.
    fn reload_settings(&mut self, change: &dyn Fn(&mut serde_json::Value));
    /// Corrupts the configuration file in the way of a number, and sends SIGHUP. Does nothing where a process is about to read
    /// the file, for its start or after a recent change.
    fn corrupt_config(&mut self, kind: u64);
    /// Restores the valid configuration file.
    fn restore_config(&mut self);
    /// Kills the relay's process a number of effects after an administrator's or operator's next change is sent.
    fn kill_after_next_change(&mut self, effects: u64);
}

/// How a new version takes over.
#[derive(Clone, Copy, Debug)]
pub struct Upgrade {
    /// Time from the new process's report that it is ready until the old one gets SIGTERM.
    pub stop_after: Duration,
    /// Numbers of effects after which the old and the new process get SIGKILL; none for no kill.
    pub kills: [Option<u64>; 2],
}

/// What a kind of fault does while it is active.
pub trait FaultBehavior: Debug {
    /// Injects the fault, which will be cleared at `until`.
    fn inject(&self, context: &mut dyn FaultContext, until: Duration);

    /// Clears the fault.
    fn clear(&self, _context: &mut dyn FaultContext) {}

    /// Whether requests may get lost on their way to a host.
    fn may_lose_requests(&self) -> bool {
        false
    }

    /// The destination whose responses may reach the relay late, incomplete or corrupted, if there is one.
    fn corrupts_responses_of(&self) -> Option<u16> {
        None
    }

    /// The destination and number of additional messages that clients submit while the fault is active.
    fn surge(&self) -> Option<(u16, u64)> {
        None
    }

    /// Percentage of messages that come from misbehaving clients, over the whole scenario.
    fn misbehaving_client_percent(&self) -> Option<u64> {
        None
    }
}

/// A fault and the time for which it is active.
#[derive(Clone, Debug)]
pub struct Fault {
    /// When it is injected, in milliseconds.
    pub from: u64,
    /// When it is cleared, in milliseconds.
    pub until: u64,
    /// Number of the affected relay; not used by faults that affect no single relay.
    pub relay: usize,
    /// The kind of fault.
    pub behavior: Rc<dyn FaultBehavior>,
}

/// A destination and a host that a fault may affect.
struct Target {
    destination: u16,
    host: usize,
}

fn draw_behavior(
    rng: &mut SimulationRng,
    destinations: &[u16],
    hosts: usize,
) -> Rc<dyn FaultBehavior> {
    let target = Target {
        destination: *rng.pick(destinations),
        host: rng.below(hosts as u64) as usize,
    };
    match rng.below(27) {
        0 => Rc::new(partners::Fails::draw(rng, &target)),
        1 => Rc::new(partners::Shut(target.destination)),
        2 => Rc::new(partners::ShutTold(target.destination)),
        3 => Rc::new(partners::Hangs(target.destination)),
        4 => Rc::new(partners::Trickles(target.destination)),
        5 => Rc::new(partners::Refuses(target.destination)),
        6 => Rc::new(partners::BlackHole(target.destination)),
        7 => Rc::new(partners::Cuts::draw(rng, &target)),
        8 => Rc::new(partners::Stale(target.destination)),
        9 => Rc::new(partners::Spoils::draw(rng, &target)),
        10 => Rc::new(partners::Limited::draw(rng, &target)),
        11 => Rc::new(partners::Slow::draw(rng, &target)),
        12 => Rc::new(listing::Drains(target.host)),
        13 => Rc::new(listing::Replaced(target.host)),
        14 => Rc::new(listing::ListLags::draw(rng)),
        15 | 16 => Rc::new(listing::ListSilent),
        17 => Rc::new(listing::ListJumps),
        18 | 19 => Rc::new(process::Kill::draw(rng)),
        20 => Rc::new(process::KillInRewriting::draw(rng)),
        21 => Rc::new(process::Stop::draw(rng)),
        22 => Rc::new(process::Reload),
        23 => Rc::new(process::DiskFull::draw(rng)),
        24 => Rc::new(process::ShortWrites::draw(rng)),
        25 => Rc::new(traffic::Surge::draw(rng, &target)),
        _ => Rc::new(traffic::BadClients::draw(rng)),
    }
}

/// Draws for each destination what percentage of its responses are sent twice, until `until_ms`.
pub fn draw_repeated_responses(
    rng: &mut SimulationRng,
    destinations: &[u16],
    until_ms: u64,
) -> Vec<Fault> {
    let fault = |destination: &u16| Fault {
        from: 1,
        until: until_ms,
        relay: 0,
        behavior: Rc::new(partners::Repeats(*destination, rng.between(1, 15))),
    };
    destinations.iter().map(fault).collect()
}

/// Draws two faults that overlap and up to three more, ordered by their start.
pub fn draw(rng: &mut SimulationRng, destinations: &[u16], hosts: usize) -> Vec<Fault> {
    let mut faults = Vec::new();
    let middle = rng.between(4_000, 11_000);
    for number in 0..rng.between(2, 5) {
        let (from, until) = if number < 2 {
            (
                middle - rng.between(100, 3_500),
                middle + rng.between(300, 4_000),
            )
        } else {
            let from = rng.between(500, 13_000);
            (from, from + rng.between(200, 5_000))
        };
        faults.push(Fault {
            from,
            until,
            relay: 0,
            behavior: draw_behavior(rng, destinations, hosts),
        });
    }
    faults.sort_by_key(|fault| fault.from);
    faults
}
