//! What happens on a day: hosts, messages and faults, all drawn from one seed.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde_json::{json, Value};

use crate::faults::{self, Fault};
use crate::history::{Idempotency, Limits};
use crate::hosted::Hosted;
use crate::kept::Kept;
use crate::peers::clients::{ClientBehavior, PlannedMessage};
use crate::rng::SimulationRng;
use crate::vast::Vast;

/// Clients hand messages in for this long, and at least so many of them.
const ARRIVALS: (u64, usize) = (15_000, 200);
/// Clients of a day.
const CLIENTS: u64 = 8;
/// Relays of a day that has several.
const RELAYS: (u64, u64) = (3, 5);
/// Attempts at most; on every fourth day fewer, so that the bound is met.
const ATTEMPTS: (u64, u64) = (2, 12);
/// What a drain may leave a relay, in milliseconds.
const GRACES: [u64; 5] = [1_000, 1_500, 2_000, 2_000, 3_000];

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

struct Class {
    name: &'static str,
    idempotency: Idempotency,
    in_order: bool,
    left: u64,
}

impl Script {
    /// The day of a seed.
    #[must_use]
    pub fn draw(seed: u64) -> Self {
        let mut rng = SimulationRng::new(seed, 0);
        let blocks: Vec<u16> = (1..=rng.between(2, 4) as u16).collect();
        let mut hosts = Vec::new();
        for block in &blocks {
            let slow = rng.percent(20);
            for number in 0..rng.between(1, 2) {
                let name = format!("s-{block}{number}");
                let address = SocketAddr::from(([10, 1, *block as u8, number as u8 + 1], 8080));
                let takes = if slow { (50, 400) } else { (3, 60) };
                let zone = if number == 0 { "a" } else { "b" };
                hosts.push(HostPlan {
                    name,
                    block: *block,
                    zone,
                    address,
                    takes,
                });
            }
        }
        let zone_only = rng.percent(30);
        let window = Duration::from_millis(rng.between(2_000, 20_000));
        let in_order = rng.percent(60);
        let classes = [
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
        ];
        let capacity: BTreeMap<u16, f64> = blocks
            .iter()
            .map(|b| (*b, rng.between(8, 60) as f64))
            .collect();
        let few = SimulationRng::new(seed, 2).between(ATTEMPTS.0, ATTEMPTS.1 / 2);
        let attempts = if seed % 4 == 3 { few } else { ATTEMPTS.1 } as usize;
        let limits = Limits {
            max_attempts: attempts,
            ordering_pause: Duration::from_millis(rng.between(100, 800)),
            warm_up_initial_share: rng.between(15, 60) as f64 / 100.0,
            warm_up_time: Duration::from_millis(rng.between(2_000, 8_000)),
            overload_factor: 2.0,
            overload_window: Duration::from_millis(rng.between(1_000, 2_500)),
            // Numbers of their own, so that all else of a seed's day stays as it was.
            drain_grace: Duration::from_millis(*SimulationRng::new(seed, 14).pick(&GRACES)),
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
        };
        let disk_mb = *rng.pick(&[0.25, 0.4, 1.0, 3.0]);
        let settings = settings(&limits, &classes, &mut rng);
        let faults = faults::draw(&mut rng, &blocks, hosts.len());
        let number =
            |path: &str| settings.pointer(path).and_then(Value::as_u64).unwrap_or(0) as usize;
        let limits = Limits {
            max_disk_bytes: (disk_mb * 1e6) as u64,
            max_in_flight: number("/familyInfo/callsOut"),
            max_queued_messages: number("/limits/mostHeld"),
            max_queued_bytes: (disk_mb * 1e6 * JOURNAL_PART) as usize,
            ..limits
        };
        let clients = messages(&mut rng, &classes, &blocks, &faults);
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
            let later = time * ARRIVALS.0;
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
        let relays = rng.between(RELAYS.0, RELAYS.1);
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

fn messages(
    rng: &mut SimulationRng,
    classes: &[Class],
    blocks: &[u16],
    faults: &[Fault],
) -> Vec<Vec<PlannedMessage>> {
    let mut clients: Vec<Vec<PlannedMessage>> = (0..CLIENTS).map(|_| Vec::new()).collect();
    let bad = faults.iter().find_map(|fault| fault.trouble.bad_clients());
    let large = rng.percent(40);
    let mut number = 0;
    let mut add = |rng: &mut SimulationRng, at: u64, block: u16| {
        number += 1;
        let class = rng.pick(classes);
        let habit = match bad {
            Some(share) if rng.percent(share) => *rng.pick(&[
                ClientBehavior::Duplicates,
                ClientBehavior::Disconnects,
                ClientBehavior::Stalls,
                ClientBehavior::SendsMalformed,
            ]),
            _ => ClientBehavior::Regular,
        };
        // A relay gets all messages of a key, and a client sends those of one key one after another.
        let client = rng.below(CLIENTS);
        let order = if rng.percent(50) {
            client * 100 + rng.between(1, 3)
        } else {
            0
        };
        let size = if large {
            rng.below(4_000)
        } else {
            rng.below(200)
        } as usize;
        clients[client as usize].push(PlannedMessage {
            at: Duration::from_millis(at),
            name: format!("m{number:04}"),
            tenant: "acme".into(),
            class: class.name,
            idempotency: class.idempotency,
            ordering_key: order,
            is_ordered: class.in_order,
            non_idempotent_from: None,
            destination: block,
            time_to_live_ms: if rng.percent(10) {
                rng.between(200, 2_000)
            } else {
                class.left
            },
            body_bytes: size,
            behavior: habit,
        });
    };
    for count in 0..ARRIVALS.1 as u64 {
        // Evenly over the whole time, each a little off its place.
        let at = 100 + count * (ARRIVALS.0 - 200) / ARRIVALS.1 as u64 + rng.below(100);
        let block = *rng.pick(blocks);
        add(rng, at, block);
    }
    for fault in faults {
        if let Some((block, many)) = fault.trouble.surge() {
            for _ in 0..many {
                let at = rng.between(fault.from, fault.until.min(ARRIVALS.0));
                add(rng, at, block);
            }
        }
    }
    clients
}
