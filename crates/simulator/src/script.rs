//! The script of a scenario: hosts, messages and faults, all drawn from one seed.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde_json::{json, Value};

use crate::faults::{self, Fault};
use crate::fleet_restarts;
use crate::history::{Idempotency, Limits};
use crate::hosted::Hosted;
use crate::kept::Kept;
use crate::peers::clients::PlannedMessage;
use crate::rng::SimulationRng;
use crate::traffic::{self, Class, Surge, TrafficPlan, ARRIVAL_SPAN_MS};
use crate::vast::Vast;

/// Minimum number of relays in a scenario with several.
const MIN_RELAYS: u64 = 3;
/// Maximum number of relays in a scenario with several.
const MAX_RELAYS: u64 = 5;
/// Maximum number of attempts of a message, for three seeds out of four.
const MAX_ATTEMPTS: u64 = 12;
/// For every fourth seed the maximum number of attempts lies between this and half of the usual one, so that it is reached.
const MIN_FEW_ATTEMPTS: u64 = 2;
/// Values of the grace period after a host starts to drain, in milliseconds.
const DRAIN_GRACES_MS: [u64; 5] = [1_000, 1_500, 2_000, 2_000, 3_000];
/// Bytes in a megabyte of the disk limit.
const BYTES_PER_MB: f64 = 1e6;

/// Stream of random numbers for repeated responses.
const REPEATED_RESPONSES_STREAM: u64 = 21;

/// Share of the disk that queued messages may use.
const JOURNAL_DISK_SHARE: f64 = 0.3;
/// Maximum disk space of a message beyond its body.
const MESSAGE_OVERHEAD_BYTES: usize = 768;

/// A partner's host.
#[derive(Clone, Debug)]
pub struct HostPlan {
    /// Its id in discovery.
    pub name: String,
    /// Its destination.
    pub destination: u16,
    /// Its zone.
    pub zone: &'static str,
    /// The address at which it accepts connections.
    pub address: SocketAddr,
    /// Minimum and maximum response time, in milliseconds.
    pub response_ms: (u64, u64),
}

/// A scenario.
#[derive(Clone, Debug)]
pub struct Script {
    /// The seed that it was drawn from.
    pub seed: u64,
    /// All hosts.
    pub hosts: Vec<HostPlan>,
    /// All messages, by client.
    pub clients: Vec<Vec<PlannedMessage>>,
    /// Faults, ordered by their start.
    pub faults: Vec<Fault>,
    /// The limits that the checker applies to relays.
    pub limits: Limits,
    /// The settings in the configuration file.
    pub settings: Value,
    /// Disk space of each relay, in megabytes.
    pub disk_mb: f64,
    /// Number of relays.
    pub relays: usize,
    /// Tenants and their administrators, in hosted scenarios.
    pub hosted: Option<Hosted>,
    /// Limits of hosts and discovery, in scenarios with a large fleet.
    pub vast: Option<Vast>,
    /// Parameters of the store of undeliverable messages, in scenarios that keep and resend them.
    pub kept: Option<Kept>,
    /// Whether the relay is upgraded: the platform holds the listening port, and new versions start beside the serving process.
    pub upgrades: bool,
    /// Whether operators drain and reconfigure the relay, and clients call its control socket.
    pub operated: bool,
    /// Whether the relay logs calls and the sizes of its tables.
    pub logs_table_levels: bool,
}

/// The kind of scenario.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum ScenarioKind {
    /// One relay with one tenant, that of the settings.
    #[default]
    Plain,
    /// Several tenants, changed by administrators.
    Hosted,
    /// Three to five relays that call the same partners; for every fourth seed up to a hundred, most of which restart around
    /// an outage.
    Fleet,
    /// A hundred relays with little traffic each, and few destinations whose rate limits also count rejected calls.
    Vast,
    /// A rolling restart of a fleet while hosts are replaced and discovery discovery_moves.
    Rolling,
    /// One relay that stores undeliverable messages, operators who resend them, and partners that apply some calls without
    /// a response.
    Kept,
    /// One relay that is upgraded under load; either process may be killed at any step.
    Upgraded,
    /// One relay that is upgraded, drained and reconfigured under load, with clients of its control socket.
    Operated,
}

/// The first port of discovery agents. Each move of discovery takes the next port.
pub const DISCOVERY_PORT: u16 = 8500;

/// The address at which a relay accepts clients.
#[must_use]
pub fn relay_address(relay: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (relay / 200) as u8, 1 + (relay % 200) as u8], 6379))
}

/// The address of a relay's discovery agent after a number of moves. Each relay has its own agent.
#[must_use]
pub fn discovery_address(relay: usize, discovery_moves: u16) -> SocketAddr {
    SocketAddr::from((
        [10, 200, (relay / 200) as u8, 1 + (relay % 200) as u8],
        DISCOVERY_PORT + discovery_moves,
    ))
}

impl Script {
    /// Draws the plain scenario of a seed.
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
            max_queued_bytes: (disk_mb * BYTES_PER_MB * JOURNAL_DISK_SHARE) as usize,
            ..limits
        };
        let plan = TrafficPlan {
            classes: &classes,
            destinations: &destinations,
            misbehaving_percent: faults
                .iter()
                .find_map(|fault| fault.behavior.misbehaving_client_percent()),
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
            logs_table_levels: false,
        }
    }

    /// Draws the scenario of a seed in which the relay is upgraded.
    #[must_use]
    pub fn draw_upgraded(seed: u64) -> Self {
        let (mut script, mut rng) = (Script::draw(seed), SimulationRng::new(seed, 11));
        script.faults.extend(faults::draw_upgrades(&mut rng));
        script.faults.sort_by_key(|fault| fault.from);
        script.upgrades = true;
        script
    }

    /// Repeats the plain scenario of a seed `times` times, one after the other, with log lines of the relay's table sizes.
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
        script.logs_table_levels = true;
        script
    }

    /// Draws the scenario of a seed with several tenants, which administrators change.
    #[must_use]
    pub fn draw_hosted(seed: u64) -> Self {
        let (mut script, mut rng) = (Script::draw(seed), SimulationRng::new(seed, 3));
        let hosted = Hosted::draw(&mut rng);
        let destinations: Vec<u16> = script.limits.capacity.keys().copied().collect();
        hosted.add_traffic(&mut rng, &mut script.clients, &destinations);
        script.faults.extend(faults::draw_tenant_faults(&mut rng));
        script.faults.sort_by_key(|fault| fault.from);
        script.limits.tenants = hosted
            .tenants
            .iter()
            .map(|plan| (plan.name.clone(), u64::from(plan.weight)))
            .collect();
        script.hosted = Some(hosted);
        script
    }

    /// Draws the scenario of a seed with several relays. Each is configured with their number, and has no other information about
    /// the others.
    #[must_use]
    pub fn draw_fleet(seed: u64) -> Self {
        let (mut script, mut rng) = (Script::draw(seed), SimulationRng::new(seed, 4));
        let relays = rng.between(MIN_RELAYS, MAX_RELAYS);
        let destinations: Vec<u16> = script.limits.capacity.keys().copied().collect();
        faults::add_fleet_faults(&mut rng, &mut script.faults, relays, &destinations);
        script.settings["siblings"] = relays.into();
        script.relays = relays as usize;
        if fleet_restarts::applies_to(seed) {
            fleet_restarts::add_to(&mut script);
        }
        script
    }

    /// Draws the scenario of a seed and kind.
    #[must_use]
    pub fn draw_kind(kind: ScenarioKind, seed: u64) -> Self {
        match kind {
            ScenarioKind::Plain => Script::draw(seed),
            ScenarioKind::Hosted => Script::draw_hosted(seed),
            ScenarioKind::Fleet => Script::draw_fleet(seed),
            ScenarioKind::Kept => Script::draw_kept(seed),
            ScenarioKind::Upgraded => Script::draw_upgraded(seed),
            ScenarioKind::Operated => Script::draw_operated(seed),
            ScenarioKind::Rolling => Script::draw_rolling(seed, None, None),
            ScenarioKind::Vast => Script::draw_vast(seed, crate::vast::RELAYS),
        }
    }

    /// Adds hosts that send some of their responses twice, at any instant, during the whole scenario.
    #[must_use]
    pub fn with_repeated_responses(mut self) -> Self {
        let mut rng = SimulationRng::new(self.seed, REPEATED_RESPONSES_STREAM);
        let destinations: Vec<u16> = self.limits.capacity.keys().copied().collect();
        let repeats = faults::draw_repeated_responses(&mut rng, &destinations, ARRIVAL_SPAN_MS);
        self.faults.extend(repeats);
        self.faults.sort_by_key(|fault| fault.from);
        self
    }

    /// The configuration file of a relay: `settings`, the host snapshot `known`, and the address of its discovery agent.
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

    /// When all messages must have ended: the latest deadline, and the time for operators' resends after it.
    #[must_use]
    pub fn end(&self) -> Duration {
        let plans = self.clients.iter().flatten();
        let last = plans
            .map(|plan| plan.at + Duration::from_millis(plan.time_to_live_ms))
            .max()
            .unwrap_or_default();
        last + self
            .kept
            .as_ref()
            .map_or(Duration::ZERO, |_| crate::kept::OPERATOR_TIME)
    }

    /// Number of messages that clients submit; repeated requests do not count.
    pub fn message_count(&self) -> usize {
        self.clients.iter().map(Vec::len).sum()
    }
}

fn settings(limits: &Limits, classes: &[Class], rng: &mut SimulationRng) -> Value {
    let micros = |span: Duration| span.as_micros() as u64;
    let classes: Vec<Value> = classes
        .iter()
        .map(|class| {
            let mut value = json!({"name": class.name, "aim": 300_000, "giveUp": class.time_to_live_ms * 1000,
                "worth": 2.0, "lateWorth": 0.4, "fifoByKey": class.is_ordered});
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

/// Draws the hosts, one or two for each destination.
fn draw_hosts(rng: &mut SimulationRng, destinations: &[u16]) -> Vec<HostPlan> {
    let mut hosts = Vec::new();
    for destination in destinations {
        let is_slow = rng.percent(20);
        for number in 0..rng.between(1, 2) {
            let last_octet = number as u8 + 1;
            hosts.push(HostPlan {
                name: format!("s-{destination}{number}"),
                destination: *destination,
                zone: if number == 0 { "a" } else { "b" },
                address: SocketAddr::from(([10, 1, *destination as u8, last_octet], 8080)),
                response_ms: if is_slow { (50, 400) } else { (3, 60) },
            });
        }
    }
    hosts
}

/// The surge of a fault, if it causes one.
fn surge_of(fault: &Fault) -> Option<Surge> {
    let (destination, messages) = fault.behavior.surge()?;
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
    let is_ordered = rng.percent(60);
    [
        Class {
            name: "update",
            idempotency: Idempotency::Idempotent,
            is_ordered,
            time_to_live_ms: 6_000,
        },
        Class {
            name: "event",
            idempotency: Idempotency::Keyed { window, zone_only },
            is_ordered: false,
            time_to_live_ms: 8_000,
        },
        Class {
            name: "payout",
            idempotency: Idempotency::NonIdempotent,
            is_ordered: is_ordered && rng.percent(50),
            time_to_live_ms: 10_000,
        },
    ]
}

/// Draws the limits that do not follow from the settings. Some have a random sequence of their own, so that they do not change
/// the other draws of a seed.
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
