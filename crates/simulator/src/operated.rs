//! Scenarios in which operators work on a live relay: they drain it, change its settings while messages are in flight, and
//! read its metrics.
//!
//! They extend a plain scenario, for even seeds with upgrades, with draws from a random sequence of their own.

use std::time::Duration;

use serde_json::{json, Value};

use crate::faults;
use crate::history::Idempotency;
use crate::peers::clients::{ClientBehavior, PlannedMessage};
use crate::rng::SimulationRng;
use crate::script::Script;

/// The class that is added and removed at run time.
pub const TRANSIENT_CLASS: &str = "rush";
/// The class that becomes non-idempotent.
pub const HARDENED_CLASS: &str = "event";
/// Its effect in the settings after that change.
const HARDENED_EFFECT: &str = "fragile";
/// Time from SIGHUP until a new configuration is in use, in milliseconds.
pub const CONFIG_IN_USE_MS: u64 = 1_200;
/// Messages of the transient class.
const TRANSIENT_CLASS_MESSAGES: usize = 25;
/// Time to live of messages of the transient class, in milliseconds.
const TRANSIENT_CLASS_TIME_TO_LIVE_MS: u64 = 6_000;

/// The changes of the settings, with their times in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Changes {
    /// When the transient class is added, and removed.
    pub transient_class: (u64, u64),
    /// When a class becomes non-idempotent, if it does.
    pub non_idempotent_at: Option<u64>,
    /// When the maximum number of attempts is lowered, and to which value.
    pub max_attempts_lowered: Option<(u64, usize)>,
}

impl Changes {
    fn draw(rng: &mut SimulationRng, max_attempts: usize) -> Self {
        let from = rng.between(1_000, 8_000);
        let transient_class = (from, from + rng.between(3_000, 6_000));
        let non_idempotent_at = rng.percent(60).then(|| rng.between(2_000, 11_000));
        let max_attempts_lowered = rng
            .percent(60)
            .then(|| (rng.between(2_000, 11_000), (max_attempts / 2).max(2)));
        Changes {
            transient_class,
            non_idempotent_at,
            max_attempts_lowered,
        }
    }
}

/// The classes in the settings.
fn classes(settings: &mut Value) -> &mut Vec<Value> {
    match &mut settings["services"] {
        Value::Array(classes) => classes,
        other => panic!("the settings have no classes but {other}"),
    }
}

/// Adds the transient class to the settings, or removes it.
pub fn set_transient_class(settings: &mut Value, is_present: bool) {
    let classes = classes(settings);
    classes.retain(|class| class["name"] != TRANSIENT_CLASS);
    if is_present {
        classes.push(
            json!({"name": TRANSIENT_CLASS, "aim": 300_000, "giveUp": TRANSIENT_CLASS_TIME_TO_LIVE_MS * 1000, "worth": 2.0, "lateWorth": 0.4,
            "fifoByKey": false, "effect": "fragile", "keyScope": "all"}),
        );
    }
}

/// Makes [`HARDENED_CLASS`] non-idempotent.
pub fn make_non_idempotent(settings: &mut Value) {
    let class = classes(settings)
        .iter_mut()
        .find(|class| class["name"] == HARDENED_CLASS);
    class
        .into_iter()
        .for_each(|class| class["effect"] = HARDENED_EFFECT.into());
}

/// Number of ways in which [`corrupt_config`] makes a configuration invalid.
pub const CONFIG_CORRUPTIONS: u64 = 6;

/// An invalid configuration: empty, truncated, or with a missing or invalid value, by `kind`.
#[must_use]
pub fn corrupt_config(config: &Value, kind: u64) -> Vec<u8> {
    let text = config.to_string().into_bytes();
    let mut config = config.clone();
    match kind {
        0 => return Vec::new(),
        1 => return text[..text.len() / 2].to_vec(),
        2 => drop(
            config["settings"]["limits"]
                .as_object_mut()
                .map(|limits| limits.remove("maxAttempts")),
        ),
        3 => config["settings"]["services"][0]["giveUp"] = 0.into(),
        4 => config["settings"]["limits"]["maxAttempts"] = (-3).into(),
        // Valid except for the address of discovery.
        _ => config["discovery"] = "nowhere".into(),
    }
    config.to_string().into_bytes()
}

impl Script {
    /// Draws the scenario of a seed in which operators work on the relay.
    #[must_use]
    pub fn draw_operated(seed: u64) -> Self {
        let (mut script, mut rng) = (Script::draw(seed), SimulationRng::new(seed, 13));
        let changes = Changes::draw(&mut rng, script.limits.max_attempts);
        if seed.is_multiple_of(2) {
            script.faults.extend(faults::draw_upgrades(&mut rng));
        }
        script
            .faults
            .extend(faults::draw_operator_actions(&mut rng, &changes));
        script.faults.sort_by_key(|fault| fault.from);
        let corrupted = script.faults.iter().filter_map(|fault| {
            Some((
                fault.behavior.corrupts_responses_of()?,
                Duration::from_millis(fault.from),
            ))
        });
        script.limits.corrupted_responses = corrupted.collect();
        script.limits.requests_may_vanish = script
            .faults
            .iter()
            .any(|fault| fault.behavior.may_lose_requests());
        script.limits.transient_class = Some(TRANSIENT_CLASS);
        (script.upgrades, script.operated) = (true, true);
        if let Some(at) = changes.non_idempotent_at {
            let from = Duration::from_millis(at + CONFIG_IN_USE_MS);
            let plans = script.clients.iter_mut().flatten();
            plans
                .filter(|plan| plan.class == HARDENED_CLASS)
                .for_each(|plan| plan.non_idempotent_from = Some(from));
        }
        let destinations: Vec<u16> = script.limits.capacity.keys().copied().collect();
        let clients = script.clients.len() as u64;
        for number in 0..TRANSIENT_CLASS_MESSAGES {
            let plan = PlannedMessage {
                at: Duration::from_millis(rng.between(
                    changes.transient_class.0 + CONFIG_IN_USE_MS,
                    changes.transient_class.1 - 100,
                )),
                name: format!("r{number:04}"),
                tenant: "acme".into(),
                class: TRANSIENT_CLASS,
                idempotency: Idempotency::NonIdempotent,
                ordering_key: 0,
                is_ordered: false,
                non_idempotent_from: None,
                destination: *rng.pick(&destinations),
                time_to_live_ms: TRANSIENT_CLASS_TIME_TO_LIVE_MS,
                body_bytes: rng.below(200) as usize,
                behavior: ClientBehavior::Regular,
            };
            script.clients[rng.below(clients) as usize].push(plan);
        }
        script
    }
}
