//! What a process that takes over is given. Nothing here decides what is sent.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::queued_message::OrderedKey;
use crate::route::Route;
use crate::state::DeliveryPolicy;
use crate::types::{Micros, Outage, RouteKey};

/// Samples of a rolling window that are handed over. All samples of a busy route would take too long to write.
const MAX_SAMPLES: usize = 64;

/// What a process that takes over has to know of routes, ordering keys and classes.
///
/// The state directory stores it in a format that goes by position: the order of fields is fixed.
#[derive(Clone, Default, Serialize, Deserialize)]
pub struct HandoverSnapshot {
    pub(crate) routes: BTreeMap<RouteKey, Route>,
    /// Each ordering key, and until when it is blocked.
    pub ordered_keys: Vec<(u64, Micros)>,
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
            .map(|(key, order)| (*key, order.blocked_until))
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
        for (key, blocked_until) in snapshot.ordered_keys {
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
