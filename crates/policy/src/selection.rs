//! Selection: whether a route takes a call now, and which host of which route a message goes to.

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

/// Where a message goes.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) struct Selection {
    pub(crate) route: RouteKey,
    pub(crate) host: HostId,
}

/// Whether a call is for recovered messages that have not been attempted yet. These go out despite an open breaker
/// or a backoff, or they would reach their deadlines behind it; a Retry-After holds for them too.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Urgency {
    Normal,
    Recovered,
}

impl Urgency {
    /// The urgency of a route or destination at which recovered messages are to be attempted at `rate` calls a second.
    pub(crate) fn of_rate(rate: f64) -> Self {
        if rate > 0.0 {
            Urgency::Recovered
        } else {
            Urgency::Normal
        }
    }
}

impl QueuedMessage {
    /// Recovered if not even a connection was tried for it since the restart.
    pub(crate) fn urgency(&self) -> Urgency {
        if self.recovery == Recovery::Restored && self.attempts.is_empty() {
            Urgency::Recovered
        } else {
            Urgency::Normal
        }
    }
}

/// Whether a route takes a call.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Readiness {
    Ready,
    /// Not before this moment; `Micros::MAX` until something happens.
    NotBefore(Micros),
}

/// Slots of a healthy route at most.
fn healthy_slots(max_calls: usize) -> f64 {
    (max_calls as f64 * HEALTHY_SLOT_SHARE - HEALTHY_SLOT_MARGIN).floor()
}

/// Slots of a route at most while its breaker is not closed and some call in flight does not hang.
fn probe_slots(max_calls: usize) -> f64 {
    let share = (max_calls as f64 * SUSPECT_SLOT_SHARE).floor();
    share.max(MIN_SUSPECT_SLOTS)
}

impl Route {
    /// Whether hung calls hold all slots of a route whose breaker is not closed. Only a repeatable message may be the probe
    /// then: its attempt times out, and does not hold a slot to its deadline as well.
    fn needs_slot_beyond_hung_calls(&self, max_calls: usize) -> bool {
        !self.breaker.is_closed() && self.in_flight as f64 >= probe_slots(max_calls)
    }

    /// Until when the breaker or the limits of concurrency allow no further call; `Micros::MAX` until a call ends.
    /// `probe_slots` is the most calls in flight while the breaker is not closed.
    fn blocked_until(
        &self,
        now: Micros,
        max_calls: usize,
        probe_slots: f64,
        urgency: Urgency,
    ) -> Option<Micros> {
        let most = if self.breaker.is_suspect() {
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
            BreakerState::Closed => in_flight >= most.min(self.pacing.concurrency_limit).max(1.0),
        };
        is_full.then_some(Micros::MAX)
    }
}

impl DeliveryPolicy {
    /// Whether the route takes a call now.
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

    /// Calls that a route may have in flight while its breaker is not closed. Where all of them hang, as many as a healthy
    /// route: unsafe calls hang to their deadlines, and must not keep a destination that is back from its probe.
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

    /// The cheapest host that the message may go to now; of equals the first.
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
        // The end of the process cuts off calls, which then may have been executed: only repeatable ones risk that.
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
        // While time is left, non-idempotent messages wait where calls fail after they may have been executed.
        let reserve = (class.time_to_live as f64 * RISKY_TIME_RESERVE) as Micros;
        is_repeatable || !route.breaker.is_risky() || queued.message.deadline <= self.now + reserve
    }

    /// Whether the message waits and may go to this host: it is ready, and its key is known there.
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

    /// What a call to the host costs: ejection, failures, load and fees.
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
