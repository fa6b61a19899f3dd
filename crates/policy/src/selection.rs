//! Selection: whether a route accepts a call now, and which route and host a message is sent to.

use crate::host_record::HostRecord;
use crate::queued_message::{QueuedMessage, Recovery};
use crate::route::{BreakerState, Route};
use crate::state::DeliveryPolicy;
use crate::tuning::{
    EJECTED_HOST_COST, FAILURE_COST, FEE_COST, HEALTHY_SLOT_MARGIN, HEALTHY_SLOT_SHARE,
    MAX_COSTED_FAILURES, MIN_SUSPECT_SLOTS, RISKY_TIME_RESERVE, SHUTDOWN_MARGIN_FACTOR,
    SUSPECT_SLOT_SHARE,
};
use crate::types::{HostId, HostState, Idempotency, MessageId, Micros, RouteKey};

/// The route and the host that a message is sent to.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) struct Selection {
    pub(crate) route: RouteKey,
    pub(crate) host: HostId,
}

/// Whether a call is for recovered messages that have not been attempted yet. These are sent despite an open breaker or
/// a backoff, as they could reach their deadlines waiting for it. They still wait for a Retry-After.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Urgency {
    Normal,
    Recovered,
}

impl Urgency {
    /// The urgency for a route or destination that needs `rate` calls per second for its recovered messages.
    pub(crate) fn of_rate(rate: f64) -> Self {
        if rate > 0.0 {
            Urgency::Recovered
        } else {
            Urgency::Normal
        }
    }
}

impl QueuedMessage {
    /// `Recovered` if the message was restored after a restart, has no attempt at all, not even a failed connection, and
    /// can be called in time.
    pub(crate) fn urgency(&self) -> Urgency {
        let is_untried = self.recovery == Recovery::Restored && self.attempts.is_empty();
        if is_untried && !self.is_unreachable {
            Urgency::Recovered
        } else {
            Urgency::Normal
        }
    }
}

/// Whether a route accepts a call.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Readiness {
    Ready,
    /// No call before this time; `Micros::MAX` if this depends on an event.
    NotBefore(Micros),
}

/// Maximum number of slots of a healthy route.
fn healthy_slots(max_calls: usize) -> f64 {
    (max_calls as f64 * HEALTHY_SLOT_SHARE - HEALTHY_SLOT_MARGIN).floor()
}

/// Maximum number of slots of a route while its breaker is not closed and at least one call in flight is not hung.
fn probe_slots(max_calls: usize) -> f64 {
    let share = (max_calls as f64 * SUSPECT_SLOT_SHARE).floor();
    share.max(MIN_SUSPECT_SLOTS)
}

impl Route {
    /// Whether the calls in flight hold all probe slots of a suspect route. A further call starts only if all of them are
    /// hung, and only with a repeatable message: its attempt times out, while a non-idempotent one could hold another
    /// slot until its deadline.
    fn needs_slot_beyond_hung_calls(&self, max_calls: usize) -> bool {
        self.breaker.is_suspect() && self.in_flight as f64 >= probe_slots(max_calls)
    }

    /// Time until which the breaker or the concurrency limits block further calls; `Micros::MAX` until a call ends,
    /// `None` if nothing blocks them. `probe_slots` is the maximum number of calls in flight while the breaker is not
    /// closed, and for recovered messages also while it is.
    fn blocked_until(
        &self,
        now: Micros,
        max_calls: usize,
        probe_slots: f64,
        urgency: Urgency,
    ) -> Option<Micros> {
        let max_slots = if self.breaker.is_suspect() {
            (max_calls as f64 * SUSPECT_SLOT_SHARE).floor()
        } else {
            healthy_slots(max_calls)
        };
        let in_flight = self.in_flight as f64;
        let is_urgent = urgency == Urgency::Recovered;
        let lacks_probe_slot = in_flight >= probe_slots;
        let is_full = match self.breaker.state {
            BreakerState::Open(until) if until > now && !is_urgent => return Some(until),
            BreakerState::Open(_) => lacks_probe_slot,
            BreakerState::HalfOpen => !is_urgent || lacks_probe_slot,
            BreakerState::Closed => {
                let max_slots = if is_urgent {
                    max_slots.max(probe_slots)
                } else {
                    max_slots
                };
                in_flight >= max_slots.min(self.pacing.concurrency_limit).max(1.0)
            }
        };
        is_full.then_some(Micros::MAX)
    }
}

impl DeliveryPolicy {
    /// Whether the route accepts a call now, and if not, when. Refills its token bucket.
    pub(crate) fn readiness(&mut self, key: RouteKey, urgency: Urgency) -> Readiness {
        let now = self.now;
        let rate = self.refill(key);
        let Some(route) = self.routes.get(&key) else {
            return Readiness::NotBefore(Micros::MAX);
        };
        let backoff_until = match urgency {
            Urgency::Normal => route.backoff_until,
            Urgency::Recovered => 0,
        };
        let paused_until = route.retry_after_until.max(backoff_until);
        if paused_until > now {
            return Readiness::NotBefore(paused_until);
        }
        let max_calls = self.settings.max_calls;
        let probe_slots = self.probe_slots(key, route);
        if let Some(until) = route.blocked_until(now, max_calls, probe_slots, urgency) {
            return Readiness::NotBefore(until);
        }
        let bucket = &route.pacing.bucket;
        if bucket.tokens < 1.0 {
            let next_token_at = bucket.time_to_token(rate).saturating_add(now + 1);
            return Readiness::NotBefore(next_token_at);
        }
        Readiness::Ready
    }

    /// Maximum number of probes in flight on a route. If all calls in flight are hung, the limit of a healthy route
    /// applies: non-idempotent calls hang until their deadlines and must not prevent the probe of a destination that has
    /// recovered.
    fn probe_slots(&self, key: RouteKey, route: &Route) -> f64 {
        let max_calls = self.settings.max_calls;
        let usual = probe_slots(max_calls);
        if !route.needs_slot_beyond_hung_calls(max_calls) {
            return usual;
        }
        let mut calls = self.calls.values().filter(|call| call.route == key);
        if calls.all(|call| call.is_slow) {
            healthy_slots(max_calls).max(usual)
        } else {
            usual
        }
    }

    /// The host with the lowest cost that the message may be sent to now; the first one of equals.
    pub(crate) fn select(&mut self, id: MessageId) -> Option<Selection> {
        let queued = self.queue.get(&id)?;
        let destination = queued.message.destination;
        let urgency = queued.urgency();
        let mut best: Option<(f64, Selection)> = None;
        for key in self.routes_to(destination) {
            if self.readiness(key, urgency) != Readiness::Ready {
                continue;
            }
            let queued = self.queue.get(&id)?;
            let route = self.routes.get(&key)?;
            if !self.may_use_route(queued, route) {
                continue;
            }
            for host in &route.hosts {
                if !self.may_use_host(queued, *host) {
                    continue;
                }
                let cost = self.host_cost(&self.hosts[host], route, key);
                if best.is_none_or(|(least, _)| cost < least) {
                    let selection = Selection {
                        route: key,
                        host: *host,
                    };
                    best = Some((cost, selection));
                }
            }
        }
        best.map(|(_, selection)| selection)
    }

    /// Whether a call with this message may start at the route now.
    fn may_use_route(&self, queued: &QueuedMessage, route: &Route) -> bool {
        let class = self.class(&queued.message);
        let is_repeatable = class.idempotency != Idempotency::NonIdempotent;
        // The end of the process cuts off calls, which may then have been executed. Only calls with repeatable messages
        // may risk that.
        let time_needed = if is_repeatable {
            (SHUTDOWN_MARGIN_FACTOR * self.expected_latency(queued, route)) as Micros
        } else {
            self.slow_call_threshold(queued, route)
        };
        if self.now.saturating_add(time_needed) > self.shutdown_at {
            return false;
        }
        if !is_repeatable && route.needs_slot_beyond_hung_calls(self.settings.max_calls) {
            return false;
        }
        // Non-idempotent messages avoid routes whose calls fail after they may have been executed, while enough time is
        // left to wait.
        let reserve = (class.time_to_live as f64 * RISKY_TIME_RESERVE) as Micros;
        is_repeatable || !route.breaker.is_risky() || queued.message.deadline <= self.now + reserve
    }

    /// Whether the message waits and may be sent to this host: the host is ready and remembers the message's
    /// idempotency key, the tenant may start a call, and another attempt is allowed.
    pub(crate) fn may_use_host(&self, queued: &QueuedMessage, host: HostId) -> bool {
        let Some(host) = self.hosts.get(&host) else {
            return false;
        };
        let idempotency = self.class(&queued.message).idempotency;
        let is_key_known = match (idempotency, queued.first_possible_execution()) {
            (Idempotency::Keyed { zone_only, .. }, Some(first)) if zone_only => {
                first.zone == host.entry.zone
            }
            _ => true,
        };
        let has_quota = self.scheduler.may_start_call(queued.message.tenant);
        let is_ready = host.entry.state == HostState::Ready;
        is_ready && is_key_known && has_quota && queued.is_waiting() && self.may_attempt(queued)
    }

    /// Cost of a call to the host, from its ejection, failures, load and fees, in units of one call in flight.
    fn host_cost(&self, host: &HostRecord, route: &Route, key: RouteKey) -> f64 {
        let zone = host.entry.zone;
        let zone_fee = self
            .settings
            .zone_fees
            .get(usize::from(zone))
            .filter(|_| key.host.is_some());
        let cross_zone_fee = if zone == self.settings.zone {
            0.0
        } else {
            self.settings.cross_zone_fee
        };
        let ejection = if host.ejected_until > self.now {
            EJECTED_HOST_COST
        } else {
            0.0
        };
        ejection
            + f64::from(host.consecutive_failures.min(MAX_COSTED_FAILURES)) * FAILURE_COST
            + host.in_flight as f64 * route.relative_latency
            + (cross_zone_fee + zone_fee.copied().unwrap_or(0.0)) * FEE_COST
    }
}
