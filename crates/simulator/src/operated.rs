//! Days on which staff work on a live relay: they drain it, retune it while messages are under way, and ask for its
//! figures. Drawn on top of an upgraded day from numbers of their own.

use std::time::Duration;

use serde_json::{json, Value};

use crate::faults;
use crate::history::Idempotency;
use crate::peers::clients::{ClientBehavior, PlannedMessage};
use crate::rng::SimulationRng;
use crate::script::Script;

/// The class that comes and goes.
pub const RUSH: &str = "rush";
/// The class that becomes non-idempotent.
pub const HARDENED_CLASS: &str = "event";
/// The effect that the settings give it then.
const HARDENED_EFFECT: &str = "fragile";
/// A new configuration is in use so long after its signal, in milliseconds.
pub const IN_USE: u64 = 1_200;
/// Messages of the class that comes and goes.
const RUSH_MESSAGES: usize = 25;
/// Time to live of these messages, in milliseconds.
const RUSH_TIME_TO_LIVE_MS: u64 = 6_000;

/// When what changes, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Changes {
    /// A class comes, and goes.
    pub rush: (u64, u64),
    /// A class turns unsafe.
    pub hardened: Option<u64>,
    /// Messages may have so many attempts from then on.
    pub fewer: Option<(u64, usize)>,
}

impl Changes {
    fn draw(rng: &mut SimulationRng, attempts: usize) -> Self {
        let from = rng.between(1_000, 8_000);
        let rush = (from, from + rng.between(3_000, 6_000));
        let hardened = rng.percent(60).then(|| rng.between(2_000, 11_000));
        let fewer = rng
            .percent(60)
            .then(|| (rng.between(2_000, 11_000), (attempts / 2).max(2)));
        Changes {
            rush,
            hardened,
            fewer,
        }
    }
}

/// The settings' classes.
fn classes(settings: &mut Value) -> &mut Vec<Value> {
    match &mut settings["services"] {
        Value::Array(classes) => classes,
        other => panic!("the settings have no classes but {other}"),
    }
}

/// The class that comes and goes is there from now on, or is not.
pub fn rush(settings: &mut Value, there: bool) {
    let classes = classes(settings);
    classes.retain(|class| class["name"] != RUSH);
    if there {
        classes.push(
            json!({"name": RUSH, "aim": 300_000, "giveUp": RUSH_TIME_TO_LIVE_MS * 1000, "worth": 2.0, "lateWorth": 0.4,
            "fifoByKey": false, "effect": "fragile", "keyScope": "all"}),
        );
    }
}

/// A class turns unsafe.
pub fn harden(settings: &mut Value) {
    let class = classes(settings)
        .iter_mut()
        .find(|class| class["name"] == HARDENED_CLASS);
    class
        .into_iter()
        .for_each(|class| class["effect"] = HARDENED_EFFECT.into());
}

/// Ways in which a configuration is not whole.
pub const SPOILT: u64 = 6;

/// A configuration that is not whole, in one of those ways.
#[must_use]
pub fn spoil(config: &Value, way: u64) -> Vec<u8> {
    let text = config.to_string().into_bytes();
    let mut config = config.clone();
    match way {
        0 => return Vec::new(),
        1 => return text[..text.len() / 2].to_vec(),
        2 => drop(
            config["settings"]["limits"]
                .as_object_mut()
                .map(|limits| limits.remove("maxAttempts")),
        ),
        3 => config["settings"]["services"][0]["giveUp"] = 0.into(),
        4 => config["settings"]["limits"]["maxAttempts"] = (-3).into(),
        // All of it but for a discovery that is none.
        _ => config["discovery"] = "nowhere".into(),
    }
    config.to_string().into_bytes()
}

impl Script {
    /// The day of a seed on which staff work on the relay.
    #[must_use]
    pub fn draw_operated(seed: u64) -> Self {
        let (mut script, mut rng) = (Script::draw(seed), SimulationRng::new(seed, 13));
        let changes = Changes::draw(&mut rng, script.limits.max_attempts);
        if seed.is_multiple_of(2) {
            script.faults.extend(faults::of_upgrades(&mut rng));
        }
        script.faults.extend(faults::of_staff(&mut rng, &changes));
        script.faults.sort_by_key(|fault| fault.from);
        let garbled = script.faults.iter().filter_map(|fault| {
            Some((fault.trouble.garbles()?, Duration::from_millis(fault.from)))
        });
        script.limits.corrupted_responses = garbled.collect();
        script.limits.requests_may_vanish = script.faults.iter().any(|fault| fault.trouble.eats());
        script.limits.transient_class = Some(RUSH);
        (script.upgrades, script.operated) = (true, true);
        if let Some(at) = changes.hardened {
            let from = Duration::from_millis(at + IN_USE);
            let plans = script.clients.iter_mut().flatten();
            plans
                .filter(|plan| plan.class == HARDENED_CLASS)
                .for_each(|plan| plan.non_idempotent_from = Some(from));
        }
        let blocks: Vec<u16> = script.limits.capacity.keys().copied().collect();
        let many = script.clients.len() as u64;
        for number in 0..RUSH_MESSAGES {
            let plan = PlannedMessage {
                at: Duration::from_millis(
                    rng.between(changes.rush.0 + IN_USE, changes.rush.1 - 100),
                ),
                name: format!("r{number:04}"),
                tenant: "acme".into(),
                class: RUSH,
                idempotency: Idempotency::NonIdempotent,
                ordering_key: 0,
                is_ordered: false,
                non_idempotent_from: None,
                destination: *rng.pick(&blocks),
                time_to_live_ms: RUSH_TIME_TO_LIVE_MS,
                body_bytes: rng.below(200) as usize,
                behavior: ClientBehavior::Regular,
            };
            script.clients[rng.below(many) as usize].push(plan);
        }
        script
    }
}
