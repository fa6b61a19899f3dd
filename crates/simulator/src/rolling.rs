//! Rolling restarts: a fleet's relays are restarted, a tenth at a time, while hosts leave in steps and discovery moves.
//! Host lists are pushed for even seeds and polled for odd ones.

use crate::faults;
use crate::rng::SimulationRng;
use crate::script::{HostPlan, Script};
use crate::vast;

/// Minimum number of relays, where none is given.
pub const MIN_RELAYS: u64 = 8;
/// Maximum number of relays, where none is given.
pub const MAX_RELAYS: u64 = 24;
/// Minimum number of hosts, where none is given.
pub const MIN_HOSTS: u64 = 10;
/// Maximum number of hosts, where none is given.
pub const MAX_HOSTS: u64 = 40;
/// Minimum number of relays in the settings.
const MIN_ANNOUNCED_RELAYS: usize = 300;
/// Number of hosts of a destination.
const HOSTS_PER_DESTINATION: usize = 3;
/// Capacity of all destinations together, in calls a second.
const TOTAL_CAPACITY: u64 = 250;
/// Minimum capacity of a destination, in calls a second.
const MIN_CAPACITY: u64 = 3;

impl Script {
    /// Draws the scenario of a seed with some hundreds of relays and hosts at most; numbers that are not given are drawn.
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
        let destinations = hosts.div_ceil(HOSTS_PER_DESTINATION) as u64;
        for number in 0..hosts {
            let (destination, place) = (
                1 + number / HOSTS_PER_DESTINATION,
                number % HOSTS_PER_DESTINATION,
            );
            let address = [
                10,
                1 + (destination / 200) as u8,
                1 + (destination % 200) as u8,
                1 + place as u8,
            ];
            script.hosts.push(HostPlan {
                name: format!("s-{destination}-{place}"),
                destination: destination as u16,
                zone: "a",
                address: std::net::SocketAddr::from((address, 8080)),
                response_ms: (20, 90),
            });
            script
                .limits
                .capacity
                .entry(destination as u16)
                .or_insert((TOTAL_CAPACITY / destinations).max(MIN_CAPACITY) as f64);
        }
        script.faults = faults::draw_rolling_faults(&mut rng, relays, hosts, HOSTS_PER_DESTINATION);
        let pushed = seed.is_multiple_of(2);
        // The settings describe the played relays as a part of a large fleet.
        script.settings["siblings"] = relays.max(MIN_ANNOUNCED_RELAYS).into();
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
