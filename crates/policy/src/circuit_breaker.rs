//! The circuit breaker of a route: how outcomes change its state.

use crate::policy::DeliveryPolicy;
use crate::state::{Fuse, Route, RouteKey, Verdict};
use crate::tuning::{
    ALLOWANCE_SPENT, ALLOWANCE_UNUSED, AVOID, BEST_FADE, CAP_CUT, ERROR_SHARE, FEW, FIRST_GAP, GAP_EVEN,
    GAP_GROWS, GAP_SHRINKS, GLITCH, OUTAGE_LAST, OUTAGE_LEAST, OUTAGE_SHARE, PACE_RISE, REST_MOST,
    RUN_OUTAGE, RUN_TRIP, SECOND, SHARERS, SHUT_AFTER, SLEEP_WINDOW, SMOOTH, UNSAFE_DOUBT, VOLUME_FLOOR,
};
use crate::types::{AttemptOutcome, HostId, Micros, PlatformRules, WeightSource};

impl Route {
    /// Guards a healthy destination with a few broken answers: only where most late calls failed was there an outage.
    pub(crate) fn failing(&self) -> bool {
        let last = self.tally.iter().rev().take(OUTAGE_LAST);
        let (failed, all) = last.fold((0, 0), |(failed, all), (_, verdict)| {
            (failed + usize::from(*verdict == Verdict::Failed), all + 1)
        });
        failed > 1 && failed as f64 >= OUTAGE_SHARE * f64::from(all)
    }

    /// Guards a destination that few calls met while it was away: one that fails on behind a fuse that it has
    /// tripped, or fails several calls with no success between, had an outage, whatever came before.
    pub(crate) fn out_of_order(&self) -> bool {
        self.failing() || self.fuse != Fuse::Closed || self.run >= RUN_OUTAGE
    }

    /// The rest before the next trial, by `chance` of 0 to 1. Guards a destination that comes back against the trials of a
    /// large fleet, which alone are more than it takes while cold: all together they ask for no more than that, and those
    /// that failed together don't come together. It hurts where few of the relays have anything for it.
    pub(crate) fn sleep_window(&self, siblings: f64, rules: &PlatformRules, chance: f64) -> Micros {
        if siblings <= FEW {
            return (SLEEP_WINDOW as f64 * (0.9 + 0.2 * chance)) as Micros;
        }
        let cold = (rules.overload_factor * rules.initial_capacity_share).max(0.1);
        let even = self.even_gap(siblings) / cold * SECOND as f64;
        (even.clamp(SLEEP_WINDOW as f64, OUTAGE_LEAST as f64) * (0.5 + chance)) as Micros
    }

    pub(crate) fn doubtful(&self) -> bool {
        self.run > 0 || self.fuse != Fuse::Closed
    }

    pub(crate) fn risky(&self) -> bool {
        let failed = self.count(Verdict::Failed) as f64;
        !self.harmless && (self.doubtful() || failed > 1.0 && failed > UNSAFE_DOUBT * self.tally.len() as f64)
    }

    pub(crate) fn trip(&mut self, until: Micros) {
        self.fuse = Fuse::Open(until);
    }
}

impl DeliveryPolicy {
    /// Books an outcome; `counted` tells that the call was booked as a pending error already.
    pub(crate) fn judge(
        &mut self, key: RouteKey, host: HostId, outcome: AttemptOutcome, elapsed: Micros, counted: bool,
        class: Option<usize>,
    ) {
        let (now, chance) = (self.now, self.dice.roll());
        match outcome {
            AttemptOutcome::Delivered => {
                // The pending error was a false alarm.
                if let (true, Some(route)) = (counted, self.routes.get_mut(&key)) {
                    let last = route.tally.iter().rposition(|(_, v)| *v == Verdict::Failed);
                    last.and_then(|at| route.tally.remove(at));
                }
                self.succeeded(key, host, elapsed, chance, class);
            }
            AttemptOutcome::Rejected { .. } => self.refused(key),
            // Guards healthy hosts: a kept connection that breaks is no news of its host; the next call asks on a new one.
            AttemptOutcome::ConnectionLost
            | AttemptOutcome::Cancelled
            | AttemptOutcome::Obsolete
            | AttemptOutcome::NotStarted
                if !counted =>
            {
                if let Some(route) = self.routes.get_mut(&key).filter(|r| r.fuse == Fuse::HalfOpen) {
                    route.trip(now);
                }
            }
            _ if counted => {
                // Told at last that the calls failed: only now is the outage witnessed.
                let route = self.routes.get_mut(&key).filter(|r| !r.witness && r.out_of_order());
                route.into_iter().for_each(|route| route.saw_outage(now, chance));
            }
            _ => self.failed(key, host, outcome == AttemptOutcome::ConnectFailed, true),
        }
    }

    pub(crate) fn succeeded(
        &mut self, key: RouteKey, host: HostId, elapsed: Micros, chance: f64, class: Option<usize>,
    ) {
        let now = self.now;
        if let Some(host) = self.hosts.get_mut(&host) {
            (host.run, host.avoid_until) = (0, 0);
        }
        let Some(route) = self.routes.get_mut(&key) else { return };
        // Guards a destination whose outage few calls met, as the relay rested after a refusal or waited for two
        // that hung: what was away from then until now, as far as this relay can tell, is back from an outage.
        let shut = route.refused_run > 0 && !route.limited && now >= route.shut_since + SHUT_AFTER;
        let hung = route.run > 1 && now >= route.failing_since + SHUT_AFTER;
        if shut || hung {
            route.saw_outage(if shut { route.shut_since } else { route.failing_since }, chance);
        }
        let good = route.tally.iter().rfind(|(_, v)| *v == Verdict::Good).map_or(0, |(at, _)| *at);
        route.push(now, Verdict::Good);
        (route.run, route.refused_run) = (0, 0);
        let longest = (route.even_gap(self.siblings) * GAP_EVEN * SECOND as f64) as Micros;
        route.gap = (route.gap / GAP_SHRINKS).min(longest);
        route.rest_until = now + route.gap;
        if route.fuse != Fuse::Closed {
            // Rest fills no bucket: what has waited must not come at once.
            (route.fuse, route.tokens) = (Fuse::Closed, route.tokens.min(0.0));
        }
        // Guards against the good end of a call from before the outage: the destination would count as warm too soon.
        let since = now.saturating_sub(elapsed);
        if route.witness && route.back.is_none() && since >= route.down && now >= route.wait_until {
            // Guards a busy destination whose queue was full for a moment against the ramp of one that was away.
            route.witness = route.down < good || now >= good + GLITCH;
            route.back = Some(now).filter(|_| route.witness);
        }
        route.cap += 1.0 / route.cap;
        let doubt = if self.set.weight_source == WeightSource::Rough { 1.5 } else { 1.1 };
        let ceiling = route.told.map_or(f64::INFINITY, |told| told * doubt);
        route.pace = (route.pace + PACE_RISE * route.fair(self.siblings).max(1.0)).min(ceiling);
        route.best = (route.best * BEST_FADE).max(route.own_rate(now));
        if let Some(mean) = class.and_then(|c| self.class_usual.get_mut(c)) {
            let ratio = elapsed as f64 / *mean;
            *mean += SMOOTH * 0.3 * (elapsed as f64 / route.usual - *mean);
            route.usual = (route.usual + SMOOTH * (ratio - route.usual)).clamp(0.2, 50.0);
        }
    }

    pub(crate) fn refused(&mut self, key: RouteKey) {
        let (now, chance, siblings) = (self.now, self.dice.roll(), self.siblings);
        let Some(route) = self.routes.get_mut(&key) else { return };
        route.push(now, Verdict::Refused);
        route.refused_run += 1;
        let limited = route.left.is_some_and(|left| left < ALLOWANCE_SPENT);
        // Where this relay's even part of what is told is in use, the limit is the likelier cause.
        let busy = route.own_rate(now) * siblings.min(SHARERS) * 2.0 > route.told.unwrap_or(0.0);
        route.limited = limited || busy;
        route.shut_since = if route.refused_run == 1 || limited { now } else { route.shut_since };
        // Refused with the allowance hardly touched, a destination is shut.
        let shut = route.left.is_some_and(|left| left > ALLOWANCE_UNUSED);
        if limited {
            // The part says how soon; not all who were refused may come again at once.
            route.tokens = route.tokens.min(chance);
            route.rest_until = route.rest_until.max(route.wait_until);
        } else if route.rest_until <= now {
            // Of calls that were out together the first refusal counts.
            let (fair, even) = (route.fair(siblings), route.even_gap(siblings));
            let first = (even.clamp(FIRST_GAP.0, FIRST_GAP.1) * SECOND as f64) as Micros;
            let most = ((even * GAP_EVEN * SECOND as f64) as Micros).clamp(SLEEP_WINDOW, REST_MOST);
            route.gap = (route.gap * GAP_GROWS).clamp(first, most.max(first));
            let from = route.pace.min(route.own_rate(now).max(fair));
            route.pace = (from * CAP_CUT).max(fair / GAP_EVEN);
            route.cap = (route.cap * CAP_CUT).max(1.0);
            // Not all who were told the same end of a wait may come at once: within a gap, by chance.
            let told = route.wait_until > now;
            let share = if told { chance } else { 0.9 + 0.2 * chance };
            route.rest_until = now.max(route.wait_until) + (route.gap as f64 * share) as Micros;
        }
        // Refusals alone for long are a shut destination, an outage; a few are its limit.
        let alone = route.refused_run > RUN_TRIP || route.fuse != Fuse::Closed;
        if shut || alone && now >= route.shut_since + SHUT_AFTER {
            route.saw_outage(route.shut_since, chance);
        }
        if alone {
            route.harmless = true;
            route.trip(now + route.sleep_window(siblings, &self.set.rules, chance));
        }
    }

    /// A call failed, or is out so long that it counts as failed.
    pub(crate) fn failed(&mut self, key: RouteKey, host: HostId, harmless: bool, told: bool) {
        let (now, chance, siblings) = (self.now, self.dice.roll(), self.siblings);
        if let Some(host) = self.hosts.get_mut(&host) {
            host.run += 1;
            host.avoid_until = now + (AVOID as f64 * (0.9 + 0.2 * chance)) as Micros;
        }
        let Some(route) = self.routes.get_mut(&key) else { return };
        // An outage of one endpoint must not close the rest: while one is in good standing, use that.
        let elsewhere = route.hosts.iter().any(|h| self.hosts.get(h).is_some_and(|h| h.avoid_until <= now));
        route.push(now, Verdict::Failed);
        route.run += 1;
        route.failing_since = if route.run == 1 { now } else { route.failing_since };
        route.harmless = harmless;
        let failures = route.count(Verdict::Failed);
        if told && route.out_of_order() {
            route.saw_outage(now, chance);
        }
        let share = (failures + route.count(Verdict::Refused)) as f64 / route.tally.len() as f64;
        // Where many calls are good, two failures in a row are no rarity and no outage.
        let row = route.run >= RUN_TRIP && route.failing();
        let trips = row || route.tally.len() >= VOLUME_FLOOR && share > ERROR_SHARE;
        if route.fuse != Fuse::Closed || trips && !elsewhere {
            route.trip(now + route.sleep_window(siblings, &self.set.rules, chance));
        }
    }

    /// Guards against hangs and silence: what is out far too long is an error before its time-out, any stall.
    pub(crate) fn overdue(&mut self) {
        let now = self.now;
        let late = self.calls.values_mut().filter(|c| !c.overdue && c.overdue_at <= now);
        let late: Vec<_> = late.map(|c| (std::mem::replace(&mut c.overdue, true), c.route, c.host)).collect();
        for (_, route, host) in late {
            self.failed(route, host, false, false);
        }
    }
}
