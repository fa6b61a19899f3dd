//! Which host and route a message takes.

use crate::policy::DeliveryPolicy;
use crate::state::{Fuse, QueuedMessage, Route, RouteKey};
use crate::tuning::{CUT_SHORT, DOUBTFUL_SHARE, HEALTHY_SHARE, OVERDUE, SECOND, UNSAFE_RESERVE};
use crate::types::{HostId, HostState, Idempotency, MessageId, Micros};

impl DeliveryPolicy {
    /// Whether the route takes a call now; if not, when to look again.
    pub(crate) fn opening(&mut self, key: RouteKey, pressing: bool) -> Result<(), Micros> {
        let now = self.now;
        let rate = self.refill(key);
        let slots = self.set.max_calls as f64;
        let Some(route) = self.routes.get(&key) else { return Err(Micros::MAX) };
        // Guards what a restart found untried against its end behind a fuse or a rest; a told wait binds it.
        let rest = if pressing { route.wait_until } else { route.wait_until.max(route.rest_until) };
        if rest > now {
            return Err(rest);
        }
        let (share, less) = if route.doubtful() { (DOUBTFUL_SHARE, 0.0) } else { (HEALTHY_SHARE, 0.01) };
        let most = (slots * share - less).floor();
        let in_flight = route.in_flight as f64;
        let barred = match route.fuse {
            Fuse::Open(until) if until > now && !pressing => return Err(until),
            Fuse::Open(_) => in_flight >= most.max(2.0),
            Fuse::HalfOpen => !pressing || in_flight >= most.max(2.0),
            Fuse::Closed => in_flight >= most.min(route.cap).max(1.0),
        };
        if barred {
            return Err(Micros::MAX);
        }
        if route.tokens < 1.0 {
            return Err((((1.0 - route.tokens) / rate * SECOND as f64) as Micros).saturating_add(now + 1));
        }
        Ok(())
    }

    pub(crate) fn choose(&mut self, id: MessageId) -> Option<(RouteKey, HostId)> {
        let now = self.now;
        let (destination, presses) = self.held.get(&id).map(|h| (h.message.destination, h.presses()))?;
        let mut best: Option<(f64, RouteKey, HostId)> = None;
        for key in self.routes_to(destination) {
            if self.opening(key, presses).is_err() {
                continue;
            }
            let (held, route) = (self.held.get(&id)?, self.routes.get(&key)?);
            let class = self.class(&held.message);
            // Guards against calls cut off by the end of the process, which count as run: only repeatable ones risk that.
            let needs = match class.idempotency {
                Idempotency::NonIdempotent => self.overdue_after(held, route),
                _ => (CUT_SHORT * self.usual(held, route)) as Micros,
            };
            if now.saturating_add(needs) > self.stops_at {
                continue;
            }
            // Guards unsafe messages against a route where calls fail after they may have run: they
            // wait, while time is left. Hurts when the doubt is false and nothing else goes there.
            let reserve = (class.time_to_live as f64 * UNSAFE_RESERVE) as Micros;
            if class.idempotency == Idempotency::NonIdempotent
                && route.risky()
                && held.message.deadline > now + reserve
            {
                continue;
            }
            for host_id in route.hosts.iter().filter(|h| self.fits(held, **h)) {
                let host = &self.hosts[host_id];
                let toll = self.set.zone_fees.get(usize::from(host.entry.zone)).filter(|_| key.1.is_some());
                let away = if host.entry.zone == self.set.zone { 0.0 } else { self.set.cross_zone_fee };
                let cost = if host.avoid_until > now { 100.0 } else { 0.0 }
                    + f64::from(host.run.min(5)) * 5.0
                    + host.in_flight as f64 * route.usual
                    + (away + toll.copied().unwrap_or(0.0)) * 10.0;
                if best.is_none_or(|(least, _, _)| cost < least) {
                    best = Some((cost, key, *host_id));
                }
            }
        }
        best.map(|(_, key, host)| (key, host))
    }

    /// Whether the message waits and may go to this host: listed ready, and the key's memory reaches it.
    pub(crate) fn fits(&self, held: &QueuedMessage, host: HostId) -> bool {
        let Some(host) = self.hosts.get(&host) else { return false };
        let zone_kept = match (self.class(&held.message).idempotency, held.tainted()) {
            (Idempotency::Keyed { zone_only: true, .. }, Some(first)) => first.zone == host.entry.zone,
            _ => true,
        };
        let theirs = self.scheduler.may_start_call(held.message.tenant);
        host.entry.state == HostState::Ready && zone_kept && theirs && held.waits() && self.may_send(held)
    }

    /// Usual length of a call with this message at the route.
    pub(crate) fn usual(&self, held: &QueuedMessage, route: &Route) -> f64 {
        let class = usize::from(held.message.class);
        self.class_usual.get(class).unwrap_or(&self.class_usual[0]) * route.usual
    }

    pub(crate) fn overdue_after(&self, held: &QueuedMessage, route: &Route) -> Micros {
        (OVERDUE * self.usual(held, route)) as Micros + SECOND / 4
    }
}
