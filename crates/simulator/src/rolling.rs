//! Days of a rolling restart: a fleet's relays are restarted, a tenth at a time, while hosts are replaced in steps and discovery
//! moves; lists are pushed on even seeds and asked for on odd ones.

use crate::faults;
use crate::rng::SimulationRng;
use crate::script::{HostPlan, Script};
use crate::vast;

/// Relays and hosts of a day, where no other number is asked for: at least, and at most.
pub const RELAYS: (u64, u64) = (8, 24);
/// The same for hosts.
pub const HOSTS: (u64, u64) = (10, 40);
/// Relays that the settings tell of, at least.
const FLEET: usize = 300;
/// Hosts of a destination.
const EACH: usize = 3;
/// Calls a second that all destinations take together, and one of them at least.
const ALL: (u64, u64) = (250, 3);

impl Script {
    /// The day of a seed with so many relays and hosts, some hundreds of either; as drawn where none are asked for.
    #[must_use]
    pub fn draw_rolling(seed: u64, relays: Option<usize>, hosts: Option<usize>) -> Self {
        let mut rng = SimulationRng::new(seed, 12);
        let relays = relays
            .unwrap_or(rng.between(RELAYS.0, RELAYS.1) as usize)
            .max(1);
        let hosts = hosts
            .unwrap_or(rng.between(HOSTS.0, HOSTS.1) as usize)
            .max(1);
        let mut script = Script::draw_vast(seed, relays);
        script.vast = None;
        script.hosts.clear();
        script.limits.capacity.clear();
        let blocks = hosts.div_ceil(EACH) as u64;
        for number in 0..hosts {
            let (block, place) = (1 + number / EACH, number % EACH);
            let address = [
                10,
                1 + (block / 200) as u8,
                1 + (block % 200) as u8,
                1 + place as u8,
            ];
            script.hosts.push(HostPlan {
                name: format!("s-{block}-{place}"),
                block: block as u16,
                zone: "a",
                address: std::net::SocketAddr::from((address, 8080)),
                takes: (20, 90),
            });
            script
                .limits
                .capacity
                .entry(block as u16)
                .or_insert((ALL.0 / blocks).max(ALL.1) as f64);
        }
        script.faults = faults::of_rolling(&mut rng, relays, hosts, EACH);
        let pushed = seed.is_multiple_of(2);
        // Those that are played are a part of a large fleet, as far as they are told.
        script.settings["siblings"] = relays.max(FLEET).into();
        script.limits.discovery_is_pushed = pushed;
        script.settings["discovery"] = if pushed { "push" } else { "ask" }.into();
        script.clients = vast::messages(
            &mut SimulationRng::new(seed, 13),
            &script.limits,
            &vast::CLASSES,
            relays,
        );
        script
    }
}
