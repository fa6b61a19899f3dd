//! What goes wrong on a day. A fault knows how to draw and to apply itself; it reaches the world through a scene.

mod fleet;
mod kept;
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

use crate::history::Observation;
use crate::machine::{AddressFault, Machine, ProcessId};
use crate::operated::{Changes, IN_USE};
use crate::peers::discovery::Discovery;
use crate::peers::host_behavior::HostBehavior;
use crate::rng::SimulationRng;

/// What a fault may touch of the world.
pub trait Scene {
    /// The machine.
    fn machine(&self) -> &Machine;
    /// Discovery.
    fn discovery(&self) -> &Discovery;
    /// Tells the checker what is true from now on.
    fn observe(&self, observation: &Observation<'_>);
    /// Changes how the hosts of a destination do.
    fn host_behavior(&self, block: u16, change: &dyn Fn(&mut HostBehavior));
    /// Makes the hosts of a destination slower by so many milliseconds than they are.
    fn slow(&self, block: u16, by: u64);
    /// What is wrong with the addresses of a destination's hosts from now on.
    fn address(&self, block: u16, fault: AddressFault);
    /// Changes a host's entry in the list, whose version grows by `jump`.
    fn list(&self, host: usize, health: &'static str, jump: u64);
    /// Hosts there are.
    fn hosts(&self) -> usize;
    /// A host has another name from now on.
    fn rename(&self, host: usize);
    /// Number of the relay that the fault strikes, if it strikes one; also that of its machine.
    fn relay(&self) -> usize;
    /// The relay's process.
    fn process(&self) -> ProcessId;
    /// Kills all relays within one instant.
    fn kill_all(&mut self);
    /// Kills so many of a hundred relays within one instant.
    fn kill_some(&mut self, percent: u64);
    /// From the relay's machine nothing gets through to the hosts of a destination, or does again.
    fn cut(&self, block: u16, cut: bool);
    /// How long the relay is down after its next kill.
    fn down_for(&mut self, span: Duration);
    /// SIGTERM; the relay starts again so long after its end.
    fn stop(&mut self, down: Duration);
    /// SIGHUP with a configuration that names another discovery.
    fn reload(&mut self);
    /// A new version starts beside the process that serves.
    fn upgrade(&mut self, plan: Upgrade);
    /// An operator drains the relay, or puts it back to work.
    fn drain(&mut self, drain: bool);
    /// SIGHUP with changed settings.
    fn retune(&mut self, change: &dyn Fn(&mut serde_json::Value));
    /// SIGHUP with a file that is not whole, in a way; not where a process is about to read it for its start.
    fn spoil_file(&mut self, way: u64);
    /// The file is whole again.
    fn mend_file(&mut self);
    /// SIGKILL so many effects after the next change of a tenant is sent.
    fn strike_at_change(&mut self, effects: u64);
}

/// How a new version takes over.
#[derive(Clone, Copy, Debug)]
pub struct Upgrade {
    /// The old process gets SIGTERM so long after the new one has said yes.
    pub stop_after: Duration,
    /// SIGKILL of the old process, and of the new one, after so many effects.
    pub kills: [Option<u64>; 2],
}

/// Something that goes wrong for a while.
pub trait Trouble: Debug {
    /// It begins, and will end at `until`.
    fn begins(&self, scene: &mut dyn Scene, until: Duration);

    /// It ends.
    fn ends(&self, _scene: &mut dyn Scene) {}

    /// What is written to a host may get lost on its way.
    fn eats(&self) -> bool {
        false
    }

    /// Answers of this destination may reach the relay late, in part or spoilt.
    fn garbles(&self) -> Option<u16> {
        None
    }

    /// So many more messages for a destination are handed in while it holds.
    fn surge(&self) -> Option<(u16, u64)> {
        None
    }

    /// Of a hundred messages so many come from clients with a bad habit, all day.
    fn bad_clients(&self) -> Option<u64> {
        None
    }
}

/// A fault and when it holds, in milliseconds.
#[derive(Clone, Debug)]
pub struct Fault {
    /// From then on.
    pub from: u64,
    /// Until then.
    pub until: u64,
    /// The relay that it strikes, if it strikes one.
    pub relay: usize,
    /// What goes wrong.
    pub trouble: Rc<dyn Trouble>,
}

/// What a fault may strike: one of the destinations, and one of the hosts.
struct Target {
    block: u16,
    host: usize,
}

fn trouble(rng: &mut SimulationRng, blocks: &[u16], hosts: usize) -> Rc<dyn Trouble> {
    let at = Target {
        block: *rng.pick(blocks),
        host: rng.below(hosts as u64) as usize,
    };
    match rng.below(27) {
        0 => Rc::new(partners::Fails::draw(rng, &at)),
        1 => Rc::new(partners::Shut(at.block)),
        2 => Rc::new(partners::ShutTold(at.block)),
        3 => Rc::new(partners::Hangs(at.block)),
        4 => Rc::new(partners::Trickles(at.block)),
        5 => Rc::new(partners::Refuses(at.block)),
        6 => Rc::new(partners::BlackHole(at.block)),
        7 => Rc::new(partners::Cuts::draw(rng, &at)),
        8 => Rc::new(partners::Stale(at.block)),
        9 => Rc::new(partners::Spoils::draw(rng, &at)),
        10 => Rc::new(partners::Limited::draw(rng, &at)),
        11 => Rc::new(partners::Slow::draw(rng, &at)),
        12 => Rc::new(listing::Drains(at.host)),
        13 => Rc::new(listing::Replaced(at.host)),
        14 => Rc::new(listing::ListLags::draw(rng)),
        15 | 16 => Rc::new(listing::ListSilent),
        17 => Rc::new(listing::ListJumps),
        18 | 19 => Rc::new(process::Kill::draw(rng)),
        20 => Rc::new(process::KillInRewriting::draw(rng)),
        21 => Rc::new(process::Stop::draw(rng)),
        22 => Rc::new(process::Reload),
        23 => Rc::new(process::DiskFull::draw(rng)),
        24 => Rc::new(process::ShortWrites::draw(rng)),
        25 => Rc::new(traffic::Surge::draw(rng, &at)),
        _ => Rc::new(traffic::BadClients::draw(rng)),
    }
}

/// Up to two faults that strike the registry of tenants.
pub fn of_tenants(rng: &mut SimulationRng) -> Vec<Fault> {
    // Two copies heal what either loses, not what both do.
    let copy = if rng.percent(50) {
        "tenants.a"
    } else {
        "tenants.b"
    };
    let trouble = |rng: &mut SimulationRng| -> Rc<dyn Trouble> {
        if rng.percent(60) {
            Rc::new(tenants::KillInChange::draw(rng))
        } else {
            Rc::new(tenants::SpoiltRegistry::draw(rng, copy))
        }
    };
    let fault = |rng: &mut SimulationRng| {
        let from = rng.between(500, 13_000);
        Fault {
            from,
            until: from + 1,
            relay: 0,
            trouble: trouble(rng),
        }
    };
    (0..rng.between(0, 2)).map(|_| fault(rng)).collect()
}

/// Up to three faults that strike the store of undeliverable messages, each with whether it may lose records.
pub fn of_kept(rng: &mut SimulationRng) -> Vec<(Fault, bool)> {
    let fault = |rng: &mut SimulationRng| {
        let from = rng.between(2_000, 20_000);
        let (span, spoils, trouble): (u64, bool, Rc<dyn Trouble>) = match rng.below(10) {
            0..=6 => (1, false, Rc::new(kept::KillInResend::draw(rng))),
            7 => (1, true, Rc::new(kept::SpoiltStore::draw(rng))),
            _ => (rng.between(500, 4_000), true, Rc::new(kept::StoreFull)),
        };
        (
            Fault {
                from,
                until: from + span,
                relay: 0,
                trouble,
            },
            spoils,
        )
    };
    (0..rng.between(0, 3)).map(|_| fault(rng)).collect()
}

/// One to three new versions over the day.
pub fn of_upgrades(rng: &mut SimulationRng) -> Vec<Fault> {
    let mut from = 0;
    let fault = |_| {
        from += rng.between(1_500, 5_000);
        Fault {
            from,
            until: from + 1,
            relay: 0,
            trouble: Rc::new(upgrade::NewVersion::draw(rng)),
        }
    };
    (0..3).map(fault).collect()
}

/// What staff do: the changes of the day, one or two drains, and up to two files that are not whole.
pub fn of_staff(rng: &mut SimulationRng, changes: &Changes) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut add = |from: u64, until: u64, trouble: Rc<dyn Trouble>| {
        faults.push(Fault {
            from,
            until,
            relay: 0,
            trouble,
        });
    };
    add(changes.rush.0, changes.rush.1, Rc::new(staff::Rush));
    changes
        .hardened
        .into_iter()
        .for_each(|at| add(at, at + 1, Rc::new(staff::Hardens)));
    if let Some((at, most)) = changes.fewer {
        add(at, at + IN_USE, Rc::new(staff::Fewer(most)));
    }
    let mut from = rng.between(1_000, 5_000);
    for _ in 0..rng.between(1, 2) {
        let until = from + rng.between(1_000, 6_500);
        add(from, until, Rc::new(staff::Drain));
        from = until + rng.between(1_500, 4_000);
    }
    for _ in 0..rng.below(3) {
        let at = rng.between(1_000, 13_000);
        add(at, at + 150, Rc::new(staff::SpoiltFile::draw(rng)));
    }
    faults
}

/// What befalls several relays: each fault of the day strikes one of them, and up to two more strike some apart
/// from the others.
pub fn of_fleet(rng: &mut SimulationRng, faults: &mut Vec<Fault>, relays: u64, blocks: &[u16]) {
    for _ in 0..rng.between(0, 2) {
        let from = rng.between(500, 12_000);
        let until = from + rng.between(300, 4_000);
        let trouble: Rc<dyn Trouble> = match rng.below(4) {
            0 => Rc::new(fleet::KillAll::draw(rng)),
            1 | 2 => Rc::new(fleet::CutOff(*rng.pick(blocks))),
            _ => Rc::new(listing::ListSilent),
        };
        faults.push(Fault {
            from,
            until,
            relay: 0,
            trouble,
        });
    }
    faults
        .iter_mut()
        .for_each(|fault| fault.relay = rng.below(relays) as usize);
    faults.sort_by_key(|fault| fault.from);
}

/// What befalls a large fleet: one of a restart of most, an outage of destinations with half of the traffic, and a
/// limit lowered for nine seconds; at times two of them.
pub fn of_vast(rng: &mut SimulationRng, blocks: &[u16], relays: usize) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut add = |from: u64, span: u64, trouble: Rc<dyn Trouble>| {
        faults.push(Fault {
            from,
            until: from + span,
            relay: 0,
            trouble,
        });
    };
    let first = rng.below(3);
    let second = if rng.percent(30) { rng.below(3) } else { first };
    for kind in std::collections::BTreeSet::from([first, second]) {
        let from = rng.between(3_000, 7_000);
        match kind {
            0 if relays > 1 => add(from, 1, Rc::new(vast::KillMost::draw(rng))),
            0 | 1 => {
                let half = &blocks[..blocks.len().div_ceil(2)];
                half.iter()
                    .for_each(|block| add(from, 5_000, Rc::new(vast::Down(*block))));
            }
            _ => add(from, 9_000, Rc::new(vast::Lowered(*rng.pick(blocks)))),
        }
    }
    faults.sort_by_key(|fault| fault.from);
    faults
}

/// All relays are restarted, a tenth at a time, while up to a third of the hosts leave in steps, never the last of a
/// destination; discovery moves for most relays, and is late or silent for some.
pub fn of_rolling(rng: &mut SimulationRng, relays: usize, hosts: usize, each: usize) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut add = |from: u64, span: u64, relay: usize, trouble: Rc<dyn Trouble>| {
        faults.push(Fault {
            from,
            until: from + span,
            relay,
            trouble,
        });
    };
    for relay in 0..relays {
        let turn = (relay * 10 / relays) as u64;
        add(
            2_000 + turn * 1_200 + rng.below(200),
            1,
            relay,
            Rc::new(rolling::Restarted::draw(rng)),
        );
    }
    let moved = rng.between(4_000, 10_000);
    for relay in 0..relays {
        if rng.percent(70) {
            add(moved + rng.below(1_000), 1, relay, Rc::new(process::Reload));
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
            // One of each destination stays for good: not the first, which idle relays prefer.
            let stays = (host + 1) % each == 0 || host + 1 == hosts;
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

/// Two faults that overlap, and up to three more, in the order of their beginnings.
pub fn draw(rng: &mut SimulationRng, blocks: &[u16], hosts: usize) -> Vec<Fault> {
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
            trouble: trouble(rng, blocks, hosts),
        });
    }
    faults.sort_by_key(|fault| fault.from);
    faults
}
