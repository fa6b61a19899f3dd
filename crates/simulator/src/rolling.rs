//! Days of a rolling restart: a fleet's relays are restarted, a tenth at a time, while hosts are replaced in steps and discovery
//! moves; lists are pushed on even seeds and asked for on odd ones.

use crate::faults;
use crate::rng::SimulationRng;
use crate::script::{HostPlan, Script};
use crate::vast;

/// Relays of a day at least, where no number is asked for.
pub const MIN_RELAYS: u64 = 8;
/// Relays of a day at most, where no number is asked for.
pub const MAX_RELAYS: u64 = 24;
/// Hosts of a day at least, where no number is asked for.
pub const MIN_HOSTS: u64 = 10;
/// Hosts of a day at most, where no number is asked for.
pub const MAX_HOSTS: u64 = 40;
/// Relays that the settings tell of, at least.
const FLEET: usize = 300;
/// Hosts of a destination.
const EACH: usize = 3;
/// Calls a second that all destinations take together.
const TOTAL_CAPACITY: u64 = 250;
/// Calls a second that a destination takes at least.
const MIN_CAPACITY: u64 = 3;

impl Script {
    /// The day of a seed with so many relays and hosts, some hundreds of either; as drawn where none are asked for.
    #[must_use]
    pub fn draw_rolling(seed: u64, relays: Option<usize>, hosts: Option<usize>) -> Self {
        let mut rng = SimulationRng::new(seed, 12);
        let relays = relays
            .unwrap_or(rng.between(MIN_RELAYS, MAX_RELAYS) as usize)
            .max(1);
        let hosts = hosts
            .unwrap_or(rng.between(MIN_HOSTS, MAX_HOSTS) as usize)
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
                .or_insert((TOTAL_CAPACITY / blocks).max(MIN_CAPACITY) as f64);
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
