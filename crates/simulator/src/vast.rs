//! Days of a large fleet: many relays, each with little traffic, round few destinations whose limits refused calls
//! use up, with few connections and a discovery that answers one relay after the other.

use std::time::Duration;

use crate::checker::Counts;
use crate::faults;
use crate::history::{Idempotency, Limits};
use crate::invariants::Violation;
use crate::peers::clients::{ClientBehavior, PlannedMessage};
use crate::rng::SimulationRng;
use crate::script::{HostPlan, Script};

/// Relays of a day, where no other number is asked for.
pub const RELAYS: usize = 100;
/// Clients hand messages in for so many milliseconds.
const ARRIVALS: u64 = 16_000;
/// Latency objective of all classes.
const LATENCY_OBJECTIVE: Duration = Duration::from_millis(1_000);
/// Time to live of all messages.
const TIME_TO_LIVE: Duration = Duration::from_millis(9_000);
/// Messages that all relays together queue at most, whatever their number.
const TOTAL_QUEUED: usize = 2_400;
/// Calls that all relays together have in flight at most.
const TOTAL_IN_FLIGHT: usize = 400;
/// Messages that each relay may queue at least.
const MIN_QUEUED: usize = 24;
/// Calls that each relay may have in flight at least.
const MIN_IN_FLIGHT: usize = 5;
/// Discovery answers one call from each relay in so many milliseconds, whatever their number.
const ALL_CALLS: u64 = 5_000;

/// The classes of such a day.
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

/// What is bound on such a day beside the rules: some half above the largest figures of the seeds 0..120.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Calls turned away, for each message handed in first.
    pub turned_away: f64,
    /// Calls for the list, for each relay and start.
    pub lists: f64,
    /// Connections that hosts took, for each call.
    pub opened: f64,
}

/// What hosts and discovery of such a day are like.
#[derive(Clone, Debug)]
pub struct Vast {
    /// Connections that a host holds at most.
    pub connections: usize,
    /// What a call for the list takes discovery.
    pub each_list: Duration,
    /// What the whole fleet keeps to.
    pub bounds: Bounds,
}

impl Vast {
    /// The figures that are bound: the name, the figure, the bound.
    #[must_use]
    pub fn figures(&self, script: &Script, counts: &Counts) -> [(&'static str, f64, f64); 3] {
        let starts = (script.relays as u64 + counts.restarts) as f64;
        let ratio = |part: u64, all: f64| part as f64 / all.max(1.0);
        [
            (
                "few refusals",
                ratio(counts.rejected_calls, script.size() as f64),
                self.bounds.turned_away,
            ),
            (
                "few calls for lists",
                ratio(counts.discovery_polls, starts),
                self.bounds.lists,
            ),
            (
                "few connections",
                ratio(counts.host_connections, counts.calls as f64),
                self.bounds.opened,
            ),
        ]
    }

    /// The bound that was not kept, if one was not.
    #[must_use]
    pub fn judge(&self, script: &Script, counts: &Counts, at: Duration) -> Option<Violation> {
        let figures = self.figures(script, counts);
        let (rule, figure, most) = figures
            .into_iter()
            .find(|(_, figure, most)| figure > most)?;
        Some(Violation {
            invariant: rule,
            at,
            description: format!("{figure:.2} where {most:.2} are the bound"),
        })
    }
}

impl Script {
    /// The day of a seed with so many relays; the load does not depend on their number.
    #[must_use]
    pub fn draw_vast(seed: u64, relays: usize) -> Self {
        let mut script = Script::draw(seed);
        let mut rng = SimulationRng::new(seed, 6);
        let blocks: Vec<u16> = (1..=rng.between(3, 5) as u16).collect();
        script.hosts.clear();
        script.limits.capacity.clear();
        for block in &blocks {
            let zone = "a";
            let address = std::net::SocketAddr::from(([10, 1, *block as u8, 1], 8080));
            let name = format!("s-{block}0");
            script.hosts.push(HostPlan {
                name,
                block: *block,
                zone,
                address,
                takes: (20, 90),
            });
            script
                .limits
                .capacity
                .insert(*block, rng.between(25, 90) as f64);
        }
        script.faults = faults::of_vast(&mut rng, &blocks, relays);
        script.relays = relays;
        script.disk_mb = 1.0;
        let (held, slots) = (
            (TOTAL_QUEUED / relays).max(MIN_QUEUED),
            (TOTAL_IN_FLIGHT / relays).clamp(MIN_IN_FLIGHT, 60),
        );
        script.limits = Limits {
            max_attempts: 12,
            warm_up_initial_share: 0.2,
            warm_up_time: Duration::from_secs(8),
            overload_window: Duration::from_millis(1_500),
            max_in_flight: slots,
            max_queued_messages: held,
            max_disk_bytes: 1_000_000,
            max_queued_bytes: 300_000,
            time_after_objective: TIME_TO_LIVE - LATENCY_OBJECTIVE,
            discovery_is_pushed: false,
            ..script.limits
        };
        let set = &mut script.settings;
        let micros = |span: Duration| span.as_micros() as u64;
        set["siblings"] = relays.into();
        // One discovery for all, which answers one call after the other.
        set["discovery"] = "ask".into();
        set["familyInfo"]["callsOut"] = slots.into();
        set["limits"]["mostHeld"] = held.into();
        set["limits"]["maxAttempts"] = 12.into();
        set["limits"]["idleClose"] = 10_000_000.into();
        set["rules"]["cold"] = micros(script.limits.warm_up_time).into();
        set["rules"]["coldFrom"] = script.limits.warm_up_initial_share.into();
        set["rules"]["overloadFor"] = micros(script.limits.overload_window).into();
        for (number, (name, idempotency)) in CLASSES.iter().enumerate() {
            let class = &mut set["services"][number];
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
            turned_away: 0.25,
            lists: 2.0,
            opened: 0.45,
        };
        script.vast = Some(Vast {
            connections: relays + relays / 2 + 20,
            each_list: Duration::from_millis((ALL_CALLS / relays as u64).min(50)),
            bounds,
        });
        script
    }
}

/// At each destination four fifths of what it takes, some of it in clumps; any relay may get any of it.
pub(crate) fn messages(
    rng: &mut SimulationRng,
    limits: &Limits,
    classes: &[(&'static str, Idempotency)],
    relays: usize,
) -> Vec<Vec<PlannedMessage>> {
    let mut clients: Vec<Vec<PlannedMessage>> = (0..relays).map(|_| Vec::new()).collect();
    let mut number = 0;
    for (block, capacity) in &limits.capacity {
        let part = rng.between(65, 95);
        let count = (*capacity * ARRIVALS as f64 / 1000.0) as u64 * part / 100;
        let clump = rng.between(1_000, ARRIVALS - 2_000);
        for _ in 0..count {
            number += 1;
            let at = if rng.percent(8) {
                clump + rng.below(500)
            } else {
                100 + rng.below(ARRIVALS)
            };
            let (class, idempotency) = *rng.pick(classes);
            let left = TIME_TO_LIVE.as_millis() as u64;
            clients[rng.below(relays as u64) as usize].push(PlannedMessage {
                at: Duration::from_millis(at),
                name: format!("m{number:05}"),
                tenant: "acme".into(),
                class,
                idempotency,
                ordering_key: 0,
                is_ordered: false,
                non_idempotent_from: None,
                destination: *block,
                time_to_live_ms: left,
                body_bytes: 60,
                behavior: ClientBehavior::Regular,
            });
        }
    }
    clients
}
