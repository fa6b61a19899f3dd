//! What happens on a day: hosts, messages and faults, all drawn from one seed.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde_json::{json, Value};

use crate::faults::{self, Fault};
use crate::history::{Idempotency, Limits};
use crate::hosted::Hosted;
use crate::kept::Kept;
use crate::peers::clients::PlannedMessage;
use crate::rng::SimulationRng;
use crate::traffic::{self, Class, Surge, TrafficPlan, ARRIVAL_SPAN_MS};
use crate::vast::Vast;

/// Relays of a day that has several, at least.
const MIN_RELAYS: u64 = 3;
/// Relays of a day that has several, at most.
const MAX_RELAYS: u64 = 5;
/// Attempts of a message on most days, at most.
const MAX_ATTEMPTS: u64 = 12;
/// On every fourth day the limit of attempts lies between this and half of the usual one, so that it is met.
const MIN_FEW_ATTEMPTS: u64 = 2;
/// The grace after a drain, in milliseconds.
const DRAIN_GRACES_MS: [u64; 5] = [1_000, 1_500, 2_000, 2_000, 3_000];
/// Bytes in a megabyte of the disk limit.
const BYTES_PER_MB: f64 = 1e6;

/// The part of the disk that messages may take, and what one takes beside its body at most.
const JOURNAL_PART: f64 = 0.3;
const MESSAGE_OVERHEAD_BYTES: usize = 768;

/// A partner's host.
#[derive(Clone, Debug)]
pub struct HostPlan {
    /// Its id.
    pub name: String,
    /// Its destination.
    pub block: u16,
    /// Its zone.
    pub zone: &'static str,
    /// Where it takes connections.
    pub address: SocketAddr,
    /// Bounds of the time that it takes, in milliseconds.
    pub takes: (u64, u64),
}

/// A day.
#[derive(Clone, Debug)]
pub struct Script {
    /// What it was drawn from.
    pub seed: u64,
    /// All hosts.
    pub hosts: Vec<HostPlan>,
    /// All messages, by client.
    pub clients: Vec<Vec<PlannedMessage>>,
    /// What goes wrong, in the order of its beginnings.
    pub faults: Vec<Fault>,
    /// What relays are held to.
    pub limits: Limits,
    /// The settings, as the configuration has them.
    pub settings: Value,
    /// Megabytes of disk.
    pub disk_mb: f64,
    /// Relays that share the work.
    pub relays: usize,
    /// Tenants and their administrators, on days that have them.
    pub hosted: Option<Hosted>,
    /// What hosts and discovery are like, on days of a large fleet.
    pub vast: Option<Vast>,
    /// What is given up is kept and sent again, on days that have that.
    pub kept: Option<Kept>,
    /// The platform holds the clients' port, and new versions start beside the one that serves.
    pub upgrades: bool,
    /// Staff drain and retune the relay, and callers stand at its door.
    pub operated: bool,
    /// The relay's log has lines of all that passes and of how full its tables are.
    pub levels: bool,
}

/// Which days are played.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum Days {
    /// One tenant, that of the settings.
    #[default]
    Plain,
    /// Several tenants, changed by administrators.
    Hosted,
    /// Three to five relays round the same partners.
    Fleet,
    /// A hundred relays with little traffic each, round few destinations whose limits refused calls use up.
    Vast,
    /// A rolling restart of a fleet while hosts are replaced and discovery moves.
    Rolling,
    /// One relay that keeps what it gives up, operators who send it again, and partners that apply some calls silently.
    Kept,
    /// One relay, which new versions take over under load, killed at any step.
    Upgraded,
    /// The same where staff drain and retune it besides, and callers stand at its door.
    Operated,
}

/// The port that discovery answers at; a reload moves it to the next.
pub const DISCOVERY_PORT: u16 = 8500;
/// Where the relay of a number takes clients.
#[must_use]
pub fn relay_address(relay: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (relay / 200) as u8, 1 + (relay % 200) as u8], 6379))
}

/// Where a relay's discovery answers after so many reloads: each has an agent of its own.
#[must_use]
pub fn discovery_address(relay: usize, moves: u16) -> SocketAddr {
    SocketAddr::from((
        [10, 200, (relay / 200) as u8, 1 + (relay % 200) as u8],
        DISCOVERY_PORT + moves,
    ))
}

impl Script {
    /// The day of a seed.
    #[must_use]
    pub fn draw(seed: u64) -> Self {
        let mut rng = SimulationRng::new(seed, 0);
        let destinations: Vec<u16> = (1..=rng.between(2, 4) as u16).collect();
        let hosts = draw_hosts(&mut rng, &destinations);
        let classes = draw_classes(&mut rng);
        let limits = draw_limits(seed, &mut rng, &destinations);
        let disk_mb = *rng.pick(&[0.25, 0.4, 1.0, 3.0]);
        let settings = settings(&limits, &classes, &mut rng);
        let faults = faults::draw(&mut rng, &destinations, hosts.len());
        let number =
            |path: &str| settings.pointer(path).and_then(Value::as_u64).unwrap_or(0) as usize;
        let limits = Limits {
            max_disk_bytes: (disk_mb * BYTES_PER_MB) as u64,
            max_in_flight: number("/familyInfo/callsOut"),
            max_queued_messages: number("/limits/mostHeld"),
            max_queued_bytes: (disk_mb * BYTES_PER_MB * JOURNAL_PART) as usize,
            ..limits
        };
        let plan = TrafficPlan {
            classes: &classes,
            destinations: &destinations,
            misbehaving_percent: faults.iter().find_map(|fault| fault.trouble.bad_clients()),
            surges: faults.iter().filter_map(surge_of).collect(),
        };
        let clients = traffic::draw_messages(&mut rng, &plan);
        Script {
            seed,
            hosts,
            clients,
            faults,
            limits,
            settings,
            disk_mb,
            relays: 1,
            hosted: None,
            vast: None,
            kept: None,
            upgrades: false,
            operated: false,
            levels: false,
        }
    }

    /// The day of a seed on which new versions take over.
    #[must_use]
    pub fn draw_upgraded(seed: u64) -> Self {
        let (mut script, mut rng) = (Script::draw(seed), SimulationRng::new(seed, 11));
        script.faults.extend(faults::of_upgrades(&mut rng));
        script.faults.sort_by_key(|fault| fault.from);
        script.upgrades = true;
        script
    }

    /// The day of a seed so many times over, one after the other, with lines on how full the relay's tables are.
    #[must_use]
    pub fn draw_long(seed: u64, times: u64) -> Self {
        let mut script = Script::draw(seed);
        let (faults, clients) = (script.faults.clone(), script.clients.clone());
        for time in 1..times {
            let later = time * ARRIVAL_SPAN_MS;
            let again = |fault: &Fault| Fault {
                from: fault.from + later,
                until: fault.until + later,
                ..fault.clone()
            };
            script.faults.extend(faults.iter().map(again));
            for (mine, plans) in script.clients.iter_mut().zip(&clients) {
                mine.extend(plans.iter().map(|plan| PlannedMessage {
                    at: plan.at + Duration::from_millis(later),
                    name: format!("{}x{time}", plan.name),
                    ..plan.clone()
                }));
            }
        }
        script.levels = true;
        script
    }

    /// The day of a seed with several tenants, which administrators change.
    #[must_use]
    pub fn draw_hosted(seed: u64) -> Self {
        let (mut script, mut rng) = (Script::draw(seed), SimulationRng::new(seed, 3));
        let hosted = Hosted::draw(&mut rng);
        let blocks: Vec<u16> = script.limits.capacity.keys().copied().collect();
        hosted.fill(&mut rng, &mut script.clients, &blocks);
        script.faults.extend(faults::of_tenants(&mut rng));
        script.faults.sort_by_key(|fault| fault.from);
        script.limits.tenants = hosted
            .tenants
            .iter()
            .map(|plan| (plan.name.clone(), u64::from(plan.weight)))
            .collect();
        script.hosted = Some(hosted);
        script
    }

    /// The day of a seed with several relays, which know of each other only how many they are.
    #[must_use]
    pub fn draw_fleet(seed: u64) -> Self {
        let (mut script, mut rng) = (Script::draw(seed), SimulationRng::new(seed, 4));
        let relays = rng.between(MIN_RELAYS, MAX_RELAYS);
        let blocks: Vec<u16> = script.limits.capacity.keys().copied().collect();
        faults::of_fleet(&mut rng, &mut script.faults, relays, &blocks);
        script.settings["siblings"] = relays.into();
        script.relays = relays as usize;
        script
    }

    /// The day of a seed, of a kind.
    #[must_use]
    pub fn of(days: Days, seed: u64) -> Self {
        match days {
            Days::Plain => Script::draw(seed),
            Days::Hosted => Script::draw_hosted(seed),
            Days::Fleet => Script::draw_fleet(seed),
            Days::Kept => Script::draw_kept(seed),
            Days::Upgraded => Script::draw_upgraded(seed),
            Days::Operated => Script::draw_operated(seed),
            Days::Rolling => Script::draw_rolling(seed, None, None),
            Days::Vast => Script::draw_vast(seed, crate::vast::RELAYS),
        }
    }

    /// The configuration file of a relay with these settings, with discovery at an address.
    #[must_use]
    pub fn config(
        &self,
        relay: usize,
        settings: &Value,
        known: &Value,
        discovery: SocketAddr,
    ) -> Value {
        let (listen, seed) = (
            relay_address(relay).to_string(),
            format!("{:x}", self.seed + relay as u64),
        );
        json!({"name": format!("n{relay}"), "listen": listen, "discovery": discovery.to_string(),
            "state": "/state", "seed": seed, "settings": settings, "known": known,
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256, "disk_mb": self.disk_mb}})
    }

    /// When the last message is handed in, and by when all must have their end.
    #[must_use]
    pub fn ends(&self) -> Duration {
        let plans = self.clients.iter().flatten();
        let last = plans
            .map(|plan| plan.at + Duration::from_millis(plan.time_to_live_ms))
            .max()
            .unwrap_or_default();
        last + self
            .kept
            .as_ref()
            .map_or(Duration::ZERO, |_| crate::kept::AFTER)
    }

    /// Messages that clients hand in, each counted once.
    pub fn size(&self) -> usize {
        self.clients.iter().map(Vec::len).sum()
    }
}

fn settings(limits: &Limits, classes: &[Class], rng: &mut SimulationRng) -> Value {
    let micros = |span: Duration| span.as_micros() as u64;
    let classes: Vec<Value> = classes
        .iter()
        .map(|class| {
            let mut value = json!({"name": class.name, "aim": 300_000, "giveUp": class.left * 1000,
                "worth": 2.0, "lateWorth": 0.4, "fifoByKey": class.in_order});
            let (effect, window, scope) = match class.idempotency {
                Idempotency::Idempotent => ("retryable", None, "all"),
                Idempotency::Keyed {
                    window,
                    zone_only: true,
                } => ("dedup", Some(window), "zone"),
                Idempotency::Keyed { window, .. } => ("dedup", Some(window), "all"),
                Idempotency::NonIdempotent => ("fragile", None, "all"),
            };
            value["effect"] = effect.into();
            value["keyScope"] = scope.into();
            if let Some(window) = window {
                value["window"] = micros(window).into();
            }
            value
        })
        .collect();
    json!({
        "dcs": ["a", "b"], "discovery": "push", "skus": ["partner"],
        "familyInfo": {"callsOut": rng.between(6, 24), "kindApart": [false], "late": "linear", "perCall": [1],
            "toll": [0.0, 0.0]},
        "fees": {"crossZone": 0.0},
        "limits": {"cancelling": true, "dialTimeout": 1_000_000, "idleClose": rng.between(1_500, 8_000) * 1000,
            "maxAttempts": limits.max_attempts, "maxRetryAfter": 2_000_000, "mostHeld": rng.between(40, 150),
            "probes": false, "retryAfter": true},
        "myZone": 0, "overShareWorth": 0.1, "siblings": 1, "tick": 5000, "weightSource": "nominal",
        "rules": {"cold": micros(limits.warm_up_time), "coldFrom": limits.warm_up_initial_share,
            "overloadFactor": limits.overload_factor, "overloadFor": micros(limits.overload_window),
            "drainGrace": micros(limits.drain_grace), "turnGap": micros(limits.ordering_pause)},
        "services": classes,
        "stats": {"fields": ["x0", "x1"], "source": "answers"},
        "tenants": [{"name": "acme", "quotaPerS": 1000.0, "share": 1.0}]
    })
}

/// The hosts of all destinations, one or two each.
fn draw_hosts(rng: &mut SimulationRng, destinations: &[u16]) -> Vec<HostPlan> {
    let mut hosts = Vec::new();
    for destination in destinations {
        let is_slow = rng.percent(20);
        for number in 0..rng.between(1, 2) {
            let last_octet = number as u8 + 1;
            hosts.push(HostPlan {
                name: format!("s-{destination}{number}"),
                block: *destination,
                zone: if number == 0 { "a" } else { "b" },
                address: SocketAddr::from(([10, 1, *destination as u8, last_octet], 8080)),
                takes: if is_slow { (50, 400) } else { (3, 60) },
            });
        }
    }
    hosts
}

/// The surge that a fault is, if it is one.
fn surge_of(fault: &Fault) -> Option<Surge> {
    let (destination, messages) = fault.trouble.surge()?;
    Some(Surge {
        destination,
        messages,
        from_ms: fault.from,
        until_ms: fault.until.min(ARRIVAL_SPAN_MS),
    })
}

/// An idempotent class, a keyed one and a non-idempotent one.
fn draw_classes(rng: &mut SimulationRng) -> [Class; 3] {
    let zone_only = rng.percent(30);
    let window = Duration::from_millis(rng.between(2_000, 20_000));
    let in_order = rng.percent(60);
    [
        Class {
            name: "update",
            idempotency: Idempotency::Idempotent,
            in_order,
            left: 6_000,
        },
        Class {
            name: "event",
            idempotency: Idempotency::Keyed { window, zone_only },
            in_order: false,
            left: 8_000,
        },
        Class {
            name: "payout",
            idempotency: Idempotency::NonIdempotent,
            in_order: in_order && rng.percent(50),
            left: 10_000,
        },
    ]
}

/// The limits, without those that follow from the settings. Some are drawn from numbers of their own, so that they
/// change nothing else of a seed's day.
fn draw_limits(seed: u64, rng: &mut SimulationRng, destinations: &[u16]) -> Limits {
    let capacity: BTreeMap<u16, f64> = destinations
        .iter()
        .map(|destination| (*destination, rng.between(8, 60) as f64))
        .collect();
    let few_attempts = SimulationRng::new(seed, 2).between(MIN_FEW_ATTEMPTS, MAX_ATTEMPTS / 2);
    let max_attempts = if seed % 4 == 3 {
        few_attempts
    } else {
        MAX_ATTEMPTS
    };
    Limits {
        max_attempts: max_attempts as usize,
        ordering_pause: Duration::from_millis(rng.between(100, 800)),
        warm_up_initial_share: rng.between(15, 60) as f64 / 100.0,
        warm_up_time: Duration::from_millis(rng.between(2_000, 8_000)),
        overload_factor: 2.0,
        overload_window: Duration::from_millis(rng.between(1_000, 2_500)),
        drain_grace: Duration::from_millis(*SimulationRng::new(seed, 14).pick(&DRAIN_GRACES_MS)),
        time_after_objective: Duration::ZERO,
        max_disk_bytes: 0,
        capacity,
        max_in_flight: 0,
        max_queued_messages: 0,
        max_queued_bytes: 0,
        message_overhead_bytes: MESSAGE_OVERHEAD_BYTES,
        tenants: Vec::new(),
        undeliverable_are_resent: false,
        undeliverable_store_is_damaged: false,
        requests_may_vanish: false,
        corrupted_responses: Vec::new(),
        transient_class: None,
        discovery_is_pushed: true,
    }
}
