//! Advertised limits, pacing and the recovery ramp.

use crate::policy::DeliveryPolicy;
use crate::state::{Route, RouteKey, Verdict};
use crate::tuning::{
    ALLOWANCE_LITTLE, ALLOWANCE_SPENT, FIRST_CAP, OUTAGE_LEAST, PACE_LEAST, PACE_MOST, PART, PART_RISE,
    SECOND, SHARERS, SMOOTH, TRUST,
};
use crate::types::{HostId, Micros, ReportField};

impl Route {
    pub(crate) fn fresh() -> Self {
        let (pace, cap, usual) = (f64::INFINITY, FIRST_CAP, 1.0);
        Route { harmless: true, part: PART.2, pace, tokens: 1.0, cap, usual, ..Route::default() }
    }

    pub(crate) fn own_rate(&self, now: Micros) -> f64 {
        let good = self.tally.iter().filter(|(at, v)| at + 3 * SECOND >= now && *v == Verdict::Good).count();
        good as f64 / 3.0
    }

    /// What this relay may surely take, in calls a second: its part of what is told, or its own best yet.
    pub(crate) fn fair(&self, siblings: f64) -> f64 {
        let part = |told: f64| (told / siblings.min(SHARERS)).max(self.best.min(told / 2.0));
        self.told.map_or(self.best, part).max(PACE_LEAST)
    }

    /// Calls a second that this relay may ask for where the destination tells of its limit.
    pub(crate) fn ration(&self, siblings: f64) -> f64 {
        match (self.told, self.left) {
            (Some(told), Some(_)) => told / siblings * self.part,
            _ => f64::INFINITY,
        }
    }

    /// A report told what is left of the allowance. Guards a limit that refused calls use up too against a fleet in which
    /// no relay sees much of it: asked for more than it gives, it serves none. What is left is old news to a thin sender,
    /// so the part falls at once and to a fixed share, and rises slowly.
    pub(crate) fn reported(&mut self, left: f64) {
        self.left = Some(left);
        self.part = match left {
            _ if left < ALLOWANCE_SPENT => PART.0,
            _ if left < ALLOWANCE_LITTLE => self.part.min(PART.1),
            _ => (self.part.max(PART.1) * (1.0 + PART_RISE * (left - ALLOWANCE_LITTLE))).min(PART.2),
        };
    }

    /// The gap, in seconds, at which all relays together ask for what is told.
    pub(crate) fn even_gap(&self, siblings: f64) -> f64 {
        siblings / self.told.unwrap_or(siblings)
    }
}

impl DeliveryPolicy {
    /// A limit for all relays was told: the first sets the pace, later ones move it by `trust`.
    pub(crate) fn tell(route: &mut Route, limit: f64, trust: f64, siblings: f64) {
        // Guards against reports that are wildly wrong; it hurts a destination slower than the least pace.
        if (PACE_LEAST..=PACE_MOST).contains(&limit) {
            if route.told.is_none() {
                route.pace = route.pace.min(limit / siblings.min(SHARERS));
            }
            let told = route.told.unwrap_or(limit);
            route.told = Some(told + trust * (limit.clamp(told / 2.0, told * 2.0) - told));
        }
    }

    pub(crate) fn report(&mut self, host: HostId, values: &[f32]) {
        let at =
            |field| self.set.report_fields.iter().position(|f| *f == field).and_then(|at| values.get(at));
        let (left, limit) = (at(ReportField::AllowanceLeft), at(ReportField::LimitPerSecond));
        let (left, limit) = (left.map(|v| f64::from(*v)), limit.map_or(0.0, |v| f64::from(*v)));
        if let Some(route) = self.route_of(host).and_then(|key| self.routes.get_mut(&key)) {
            // A limit that is far from what was told has changed; noise is small.
            let told = route.told.unwrap_or(limit).max(PACE_LEAST);
            let trust = (TRUST * (limit - told).abs() / told).clamp(SMOOTH, 1.0);
            Self::tell(route, limit, trust, self.siblings);
            match left.filter(|_| limit > 0.0) {
                Some(left) => route.reported(left),
                None => route.left = None,
            }
        }
    }

    /// What a route back from an outage that this relay saw may get from it, in calls a second. Guards against pushing a
    /// cold destination over, whatever laid it low: its capacity grows from the told least share to all of it, and each
    /// relay takes its part. It hurts when the failures were no outage, for as long as a destination may be cold.
    pub(crate) fn ramp(&self, route: &Route) -> f64 {
        if !route.witness {
            return f64::INFINITY;
        }
        let rules = &self.set.rules;
        // All relays together hold no more than came while it was down: a message's part is one in all that.
        let down = route.back.unwrap_or(self.now).saturating_sub(route.down).max(OUTAGE_LEAST);
        let queue = route.waiting as f64 * SECOND as f64 / down as f64;
        let all = route.told.unwrap_or(route.best * self.siblings).max(1.0);
        let part = (all / self.siblings).max(queue.min(all));
        let warm = route.back.map_or(0.0, |b| (self.now - b) as f64 / rules.warm_up.max(1) as f64).min(1.0);
        let share = rules.initial_capacity_share + (1.0 - rules.initial_capacity_share) * warm;
        rules.overload_factor * part * share
    }

    /// Fills the route's bucket and gives the rate at which it fills.
    pub(crate) fn refill(&mut self, key: RouteKey) -> f64 {
        let (now, cold) = (self.now, self.set.rules.warm_up);
        let ramp = self.routes.get(&key).map_or(0.0, |route| self.ramp(route));
        let Some(route) = self.routes.get_mut(&key) else { return 0.0 };
        if route.back.is_some_and(|back| back + cold <= now) {
            (route.witness, route.back) = (false, None);
        }
        // A wait fills no bucket: all who were told of its end would come at once.
        let passed = (now - route.tokens_at.max(route.wait_until.min(now))) as f64 / SECOND as f64;
        let rate = route.pace.min(ramp).min(route.ration(self.siblings)).max(route.pressing);
        let depth = if ramp.is_finite() { 1.0 } else { (rate * 0.6).max(1.0) };
        route.tokens = if rate.is_finite() { (route.tokens + rate * passed).min(depth) } else { depth };
        route.tokens_at = now;
        rate
    }

    /// From 0.9 to 1.1, so that relays which saw the same do not act in step.
    pub(crate) fn jitter(&mut self) -> f64 {
        0.9 + 0.2 * self.dice.roll()
    }
}
