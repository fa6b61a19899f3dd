//! The messages of a scenario: which client submits which message, and when.

use std::time::Duration;

use crate::history::Idempotency;
use crate::peers::clients::{ClientBehavior, PlannedMessage};
use crate::rng::SimulationRng;

/// Clients submit messages for this long, in milliseconds.
pub(crate) const ARRIVAL_SPAN_MS: u64 = 15_000;
/// Number of clients.
const CLIENTS: u64 = 8;
/// Messages that are spread evenly over that time.
const STEADY_MESSAGES: u64 = 200;

/// A class of messages.
pub(crate) struct Class {
    pub name: &'static str,
    pub idempotency: Idempotency,
    /// Whether messages with the same ordering key are delivered in order.
    pub is_ordered: bool,
    /// Time to live, in milliseconds.
    pub time_to_live_ms: u64,
}

/// Messages beyond the steady ones, for one destination.
pub(crate) struct Surge {
    pub destination: u16,
    pub messages: u64,
    /// When the first may come, in milliseconds.
    pub from_ms: u64,
    /// When the last may come, in milliseconds.
    pub until_ms: u64,
}

/// The parameters of a scenario's messages.
pub(crate) struct TrafficPlan<'a> {
    pub classes: &'a [Class],
    pub destinations: &'a [u16],
    /// Percentage of messages whose clients misbehave, if any do.
    pub misbehaving_percent: Option<u64>,
    pub surges: Vec<Surge>,
}

/// Draws all messages, by client: steady ones over the whole time, and those of the surges.
pub(crate) fn draw_messages(
    rng: &mut SimulationRng,
    plan: &TrafficPlan<'_>,
) -> Vec<Vec<PlannedMessage>> {
    let mut traffic = Traffic {
        plan,
        has_large_bodies: rng.percent(40),
        count: 0,
        clients: (0..CLIENTS).map(|_| Vec::new()).collect(),
    };
    for count in 0..STEADY_MESSAGES {
        // Up to 100 ms of jitter.
        let at = 100 + count * (ARRIVAL_SPAN_MS - 200) / STEADY_MESSAGES + rng.below(100);
        let destination = *rng.pick(plan.destinations);
        traffic.add_message(rng, at, destination);
    }
    for surge in &plan.surges {
        for _ in 0..surge.messages {
            let at = rng.between(surge.from_ms, surge.until_ms);
            traffic.add_message(rng, at, surge.destination);
        }
    }
    traffic.clients
}

/// The messages drawn so far.
struct Traffic<'a> {
    plan: &'a TrafficPlan<'a>,
    has_large_bodies: bool,
    /// Messages so far.
    count: usize,
    /// Messages by client.
    clients: Vec<Vec<PlannedMessage>>,
}

impl Traffic<'_> {
    /// Draws a message that is submitted at a time, in milliseconds.
    fn add_message(&mut self, rng: &mut SimulationRng, at_ms: u64, destination: u16) {
        self.count += 1;
        let class = rng.pick(self.plan.classes);
        let behavior = self.draw_behavior(rng);
        // All messages of a key come from one client, so that one relay gets them, and one after another.
        let client = rng.below(CLIENTS);
        let ordering_key = if rng.percent(50) {
            client * 100 + rng.between(1, 3)
        } else {
            0
        };
        let max_body_bytes = if self.has_large_bodies { 4_000 } else { 200 };
        let body_bytes = rng.below(max_body_bytes) as usize;
        let time_to_live_ms = if rng.percent(10) {
            rng.between(200, 2_000)
        } else {
            class.time_to_live_ms
        };
        self.clients[client as usize].push(PlannedMessage {
            at: Duration::from_millis(at_ms),
            name: format!("m{:04}", self.count),
            tenant: "acme".into(),
            class: class.name,
            idempotency: class.idempotency,
            ordering_key,
            is_ordered: class.is_ordered,
            non_idempotent_from: None,
            destination,
            time_to_live_ms,
            body_bytes,
            behavior,
        });
    }

    fn draw_behavior(&self, rng: &mut SimulationRng) -> ClientBehavior {
        match self.plan.misbehaving_percent {
            Some(share) if rng.percent(share) => *rng.pick(&[
                ClientBehavior::Duplicates,
                ClientBehavior::Disconnects,
                ClientBehavior::Stalls,
                ClientBehavior::SendsMalformed,
            ]),
            _ => ClientBehavior::Regular,
        }
    }
}
