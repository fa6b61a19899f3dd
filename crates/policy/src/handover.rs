//! The state that is handed over to a successor process. This module does not affect what is sent.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::queued_message::OrderedKey;
use crate::route::Route;
use crate::state::DeliveryPolicy;
use crate::types::{Micros, Outage, RouteKey};

/// Maximum number of rolling-window samples per route in a handover. Writing all samples of a busy route would take too
/// long.
const MAX_SAMPLES: usize = 64;

/// An ordering key and the time until which no further message with it may be sent.
///
/// Stored as part of [`HandoverSnapshot`]: the order of the fields is fixed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderingKeyBlock {
    /// The ordering key of the messages.
    pub key: u64,
    /// Time until which an attempt may still be running at its host; zero if there is no such attempt.
    pub blocked_until: Micros,
}

/// State of routes, ordering keys and classes for a successor process.
///
/// The state directory stores it in a positional format: the order of the fields is fixed.
#[derive(Clone, Default, Serialize, Deserialize)]
pub struct HandoverSnapshot {
    pub(crate) routes: BTreeMap<RouteKey, Route>,
    /// The ordering keys and the times until which they are blocked.
    pub ordered_keys: Vec<OrderingKeyBlock>,
    /// Mean duration of the calls of each class in microseconds, by class index.
    pub(crate) class_latency: Vec<f64>,
}

impl DeliveryPolicy {
    /// Returns the state for a successor process. Messages and calls in flight are handed over separately.
    #[must_use]
    pub fn handover_snapshot(&self) -> HandoverSnapshot {
        let mut routes = self.routes.clone();
        for route in routes.values_mut() {
            route.breaker.window.keep_latest(MAX_SAMPLES);
        }
        let ordered_keys = self
            .ordered_keys
            .iter()
            .map(|(key, order)| OrderingKeyBlock {
                key: *key,
                blocked_until: order.blocked_until,
            })
            .collect();
        HandoverSnapshot {
            routes,
            ordered_keys,
            class_latency: self.class_latency.clone(),
        }
    }

    /// Restores the state of a predecessor that had the same hosts and classes under the same numbers.
    pub fn restore_handover(&mut self, snapshot: HandoverSnapshot) {
        for (key, mut known) in snapshot.routes {
            let Some(route) = self.routes.get_mut(&key) else {
                continue;
            };
            known.hosts = std::mem::take(&mut route.hosts);
            known.in_flight = 0;
            // A probe that is still in flight is handed over with its message.
            known.breaker.discard_probe();
            known.recovery.prior_rate = known.pacing.known_success_rate();
            *route = known;
        }
        for OrderingKeyBlock { key, blocked_until } in snapshot.ordered_keys {
            self.ordered_keys.insert(
                key,
                OrderedKey {
                    blocked_until,
                    ..OrderedKey::default()
                },
            );
        }
        for (latency, known) in self.class_latency.iter_mut().zip(snapshot.class_latency) {
            *latency = known;
        }
    }

    /// Outages whose recovery ramps still apply. The caller must persist them.
    pub fn outages(&self) -> impl Iterator<Item = Outage> + '_ {
        let active = self
            .routes
            .iter()
            .filter(|(_, route)| route.recovery.is_active);
        active.map(|(key, route)| Outage {
            destination: key.destination,
            started_at: route.recovery.down_since,
            recovered_at: route.recovery.recovered_at,
        })
    }
}
