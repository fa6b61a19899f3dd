//! Scenarios of a large fleet: many relays with little traffic each, few destinations that limit connections and whose
//! rate limits also count rejected calls, and a discovery that answers one relay after the other.

use std::time::Duration;

use crate::checker::Counts;
use crate::faults;
use crate::history::{Idempotency, Limits};
use crate::invariants::Violation;
use crate::peers::clients::{ClientBehavior, PlannedMessage};
use crate::rng::SimulationRng;
use crate::script::{HostPlan, Script};

/// Number of relays, where none is given.
pub const RELAYS: usize = 100;
/// Clients submit messages for this long, in milliseconds.
const ARRIVAL_SPAN_MS: u64 = 16_000;
/// Latency objective of all classes.
const LATENCY_OBJECTIVE: Duration = Duration::from_millis(1_000);
/// Time to live of all messages.
const TIME_TO_LIVE: Duration = Duration::from_millis(9_000);
/// Maximum number of queued messages of all relays together, whatever their number.
const TOTAL_QUEUED: usize = 2_400;
/// Maximum number of calls in flight of all relays together.
const TOTAL_IN_FLIGHT: usize = 400;
/// Minimum limit of queued messages of each relay.
const MIN_QUEUED: usize = 24;
/// Minimum limit of calls in flight of each relay.
const MIN_IN_FLIGHT: usize = 5;
/// Time in which discovery answers one poll of each relay, whatever their number, in milliseconds.
const POLL_ROUND_MS: u64 = 5_000;

/// The classes of such a scenario.
pub(crate) const CLASSES: [(&str, Idempotency); 3] = [
    ("update", Idempotency::Idempotent),
    (
        "event",
        Idempotency::Keyed {
            window: Duration::from_secs(6),
            zone_only: false,
        },
    ),
    ("payout", Idempotency::NonIdempotent),
];

/// Bounds of the fleet's efficiency, checked besides the invariants. They are about half above the largest values of the seeds
/// 0..120.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Calls that hosts rejected, for each submitted message.
    pub rejections_per_message: f64,
    /// Polls of the host list, for each start of a relay.
    pub polls_per_start: f64,
    /// Connections that hosts accepted, for each call.
    pub connections_per_call: f64,
}

/// Limits of hosts and discovery in such a scenario.
#[derive(Clone, Debug)]
pub struct Vast {
    /// Maximum number of connections of a host.
    pub max_connections: usize,
    /// Time that discovery takes to answer a poll of the host list.
    pub poll_time: Duration,
    /// Bounds that the fleet as a whole must keep.
    pub bounds: Bounds,
}

impl Vast {
    /// The bounded ratios: name, value and bound of each.
    #[must_use]
    pub fn ratios(&self, script: &Script, counts: &Counts) -> [(&'static str, f64, f64); 3] {
        let starts = (script.relays as u64 + counts.restarts) as f64;
        let ratio = |part: u64, all: f64| part as f64 / all.max(1.0);
        [
            (
                "few refusals",
                ratio(counts.rejected_calls, script.message_count() as f64),
                self.bounds.rejections_per_message,
            ),
            (
                "few calls for lists",
                ratio(counts.discovery_polls, starts),
                self.bounds.polls_per_start,
            ),
            (
                "few connections",
                ratio(counts.host_connections, counts.calls as f64),
                self.bounds.connections_per_call,
            ),
        ]
    }

    /// The first ratio beyond its bound, as a violation.
    #[must_use]
    pub fn check_bounds(
        &self,
        script: &Script,
        counts: &Counts,
        at: Duration,
    ) -> Option<Violation> {
        let ratios = self.ratios(script, counts);
        let (invariant, ratio, bound) =
            ratios.into_iter().find(|(_, ratio, bound)| ratio > bound)?;
        Some(Violation {
            invariant,
            at,
            description: format!("{ratio:.2} where {bound:.2} are the bound"),
        })
    }
}

impl Script {
    /// Draws the scenario of a seed with a number of relays. The load does not depend on it.
    #[must_use]
    pub fn draw_vast(seed: u64, relays: usize) -> Self {
        let mut script = Script::draw(seed);
        let mut rng = SimulationRng::new(seed, 6);
        let destinations: Vec<u16> = (1..=rng.between(3, 5) as u16).collect();
        script.hosts.clear();
        script.limits.capacity.clear();
        for destination in &destinations {
            let zone = "a";
            let address = std::net::SocketAddr::from(([10, 1, *destination as u8, 1], 8080));
            let name = format!("s-{destination}0");
            script.hosts.push(HostPlan {
                name,
                destination: *destination,
                zone,
                address,
                response_ms: (20, 90),
            });
            script
                .limits
                .capacity
                .insert(*destination, rng.between(25, 90) as f64);
        }
        script.faults = faults::draw_large_fleet_faults(&mut rng, &destinations, relays);
        script.relays = relays;
        script.disk_mb = 1.0;
        let (max_queued, max_in_flight) = (
            (TOTAL_QUEUED / relays).max(MIN_QUEUED),
            (TOTAL_IN_FLIGHT / relays).clamp(MIN_IN_FLIGHT, 60),
        );
        script.limits = Limits {
            max_attempts: 12,
            warm_up_initial_share: 0.2,
            warm_up_time: Duration::from_secs(8),
            overload_window: Duration::from_millis(1_500),
            max_in_flight,
            max_queued_messages: max_queued,
            max_disk_bytes: 1_000_000,
            max_queued_bytes: 300_000,
            time_after_objective: TIME_TO_LIVE - LATENCY_OBJECTIVE,
            discovery_is_pushed: false,
            ..script.limits
        };
        let settings = &mut script.settings;
        let micros = |span: Duration| span.as_micros() as u64;
        settings["siblings"] = relays.into();
        // All relays poll one discovery, which answers one poll after the other.
        settings["discovery"] = "ask".into();
        settings["familyInfo"]["callsOut"] = max_in_flight.into();
        settings["limits"]["mostHeld"] = max_queued.into();
        settings["limits"]["maxAttempts"] = 12.into();
        settings["limits"]["idleClose"] = 10_000_000.into();
        settings["rules"]["cold"] = micros(script.limits.warm_up_time).into();
        settings["rules"]["coldFrom"] = script.limits.warm_up_initial_share.into();
        settings["rules"]["overloadFor"] = micros(script.limits.overload_window).into();
        for (number, (name, idempotency)) in CLASSES.iter().enumerate() {
            let class = &mut settings["services"][number];
            class["name"] = (*name).into();
            class["aim"] = micros(LATENCY_OBJECTIVE).into();
            class["giveUp"] = micros(TIME_TO_LIVE).into();
            class["fifoByKey"] = false.into();
            class["keyScope"] = "all".into();
            if let Idempotency::Keyed { window, .. } = idempotency {
                class["window"] = micros(*window).into();
            }
        }
        script.clients = messages(
            &mut SimulationRng::new(seed, 7),
            &script.limits,
            &CLASSES,
            relays,
        );
        let bounds = Bounds {
            rejections_per_message: 0.25,
            polls_per_start: 2.0,
            connections_per_call: 0.45,
        };
        script.vast = Some(Vast {
            max_connections: relays + relays / 2 + 20,
            poll_time: Duration::from_millis((POLL_ROUND_MS / relays as u64).min(50)),
            bounds,
        });
        script
    }
}

/// Draws messages for about four fifths of each destination's capacity, some of them in bursts, each for any relay.
pub(crate) fn messages(
    rng: &mut SimulationRng,
    limits: &Limits,
    classes: &[(&'static str, Idempotency)],
    relays: usize,
) -> Vec<Vec<PlannedMessage>> {
    let mut clients: Vec<Vec<PlannedMessage>> = (0..relays).map(|_| Vec::new()).collect();
    let mut number = 0;
    for (destination, capacity) in &limits.capacity {
        let load_percent = rng.between(65, 95);
        let count = (*capacity * ARRIVAL_SPAN_MS as f64 / 1000.0) as u64 * load_percent / 100;
        let burst = rng.between(1_000, ARRIVAL_SPAN_MS - 2_000);
        for _ in 0..count {
            number += 1;
            let at = if rng.percent(8) {
                burst + rng.below(500)
            } else {
                100 + rng.below(ARRIVAL_SPAN_MS)
            };
            let (class, idempotency) = *rng.pick(classes);
            let time_to_live_ms = TIME_TO_LIVE.as_millis() as u64;
            clients[rng.below(relays as u64) as usize].push(PlannedMessage {
                at: Duration::from_millis(at),
                name: format!("m{number:05}"),
                tenant: "acme".into(),
                class,
                idempotency,
                ordering_key: 0,
                is_ordered: false,
                non_idempotent_from: None,
                destination: *destination,
                time_to_live_ms,
                body_bytes: 60,
                behavior: ClientBehavior::Regular,
            });
        }
    }
    clients
}
