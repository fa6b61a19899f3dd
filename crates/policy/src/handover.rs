//! What a process that takes over is given. Nothing here decides what is sent.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::queued_message::OrderedKey;
use crate::route::Route;
use crate::state::DeliveryPolicy;
use crate::types::{Micros, Outage, RouteKey};

/// Samples of a rolling window that are handed over. All samples of a busy route would take too long to write.
const MAX_SAMPLES: usize = 64;

/// An ordering key, and until when no further message of it may be sent.
///
/// Stored as part of [`HandoverSnapshot`]: the order of fields is fixed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderingKeyBlock {
    /// The ordering key.
    pub key: u64,
    /// An attempt may still be running at its host until this moment; zero if there is none.
    pub blocked_until: Micros,
}

/// What a process that takes over has to know of routes, ordering keys and classes.
///
/// The state directory stores it in a format that goes by position: the order of fields is fixed.
#[derive(Clone, Default, Serialize, Deserialize)]
pub struct HandoverSnapshot {
    pub(crate) routes: BTreeMap<RouteKey, Route>,
    /// The ordering keys with what blocks them.
    pub ordered_keys: Vec<OrderingKeyBlock>,
    /// Mean duration of the calls of each class.
    pub(crate) class_latency: Vec<f64>,
}

impl DeliveryPolicy {
    /// The state for a process that takes over. Messages and calls in flight are handed over apart from it.
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

    /// Takes over from a process with the same list and numbers of hosts and classes.
    pub fn restore_handover(&mut self, snapshot: HandoverSnapshot) {
        for (key, mut known) in snapshot.routes {
            let Some(route) = self.routes.get_mut(&key) else {
                continue;
            };
            known.hosts = std::mem::take(&mut route.hosts);
            known.in_flight = 0;
            // The probe, if it is still in flight, comes with its message.
            known.breaker.forget_probe();
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

    /// The outages whose recovery ramps still apply; they must be persisted.
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
