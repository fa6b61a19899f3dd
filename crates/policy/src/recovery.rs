//! Messages and outages that come from an earlier process.

use crate::policy::DeliveryPolicy;
use crate::state::{Attempt, AttemptState, Call, Fuse, HandoverSnapshot, OrderedKey, Route};
use crate::tuning::{FEW, OUTAGE_LEAST, TALLY_WINDOW};
use crate::types::{HostId, Message, Micros, Outage, PastAttempt};

impl Route {
    /// Whether the route must be remembered: an outage is, for a minute after the last call.
    pub(crate) fn binds(&self, now: Micros) -> bool {
        let told = self.witness && self.tally.back().is_some_and(|(at, _)| at + 6 * TALLY_WINDOW > now);
        self.in_flight > 0 || told || self.wait_until.max(self.rest_until) > now
    }

    /// `chance` of 0 to 1 sets when its turn comes: all who saw the outage would call at once otherwise.
    pub(crate) fn saw_outage(&mut self, since: Micros, chance: f64) {
        if !self.witness {
            (self.down, self.tokens) = (since, self.tokens.min(chance));
        }
        (self.witness, self.back) = (true, None);
    }
}

impl DeliveryPolicy {
    /// Takes a message on with what its attempts from before allow.
    pub(crate) fn again(&mut self, message: Message, attempts: &[PastAttempt]) {
        self.arrived(message);
        let Some(held) = self.held.get_mut(&message.id) else { return };
        held.attempts.extend(attempts.iter().map(|past| {
            let fate = if past.may_have_executed { AttemptState::MayHaveRun } else { AttemptState::NeverRan };
            Attempt { sent: past.sent_at, zone: past.zone, call: 0, fate, called_off: false, booked: 0 }
        }));
    }

    /// Takes back a message from before a restart.
    pub(crate) fn restored(&mut self, message: Message, attempts: &[PastAttempt]) {
        self.again(message, attempts);
        self.held.get_mut(&message.id).into_iter().for_each(|held| held.owed = attempts.is_empty());
        self.found.0 += usize::from(attempts.is_empty());
        // A call that the end of a process cut off may run on at its host.
        let cut = message.ordering_key.filter(|_| attempts.last().is_some_and(|past| past.may_have_executed));
        let turn = cut.and_then(|key| self.keys.get_mut(&key));
        turn.into_iter().for_each(|turn| turn.rest_until = self.now + self.set.rules.ordering_delay);
        // Guards against a destination that returned while this relay was down, of whose outage the last process saw
        // too little: those that it owes something are taken for cold, or what was held would come at once.
        let (now, destination) = (self.now, message.destination);
        for key in self.routes_to(destination) {
            let Some(route) = self.routes.get_mut(&key).filter(|route| !route.witness) else { continue };
            route.saw_outage(now.saturating_sub(OUTAGE_LEAST), 1.0);
            route.back = Some(now);
        }
    }

    /// Takes over from a process with the same list and numbers of hosts and classes.
    pub fn restore_handover(&mut self, heritage: HandoverSnapshot) {
        for (key, known) in heritage.routes {
            let Some(route) = self.routes.get_mut(&key) else { continue };
            // The trial, if it is out still, comes with its message.
            let fuse = if known.fuse == Fuse::HalfOpen { Fuse::Open(0) } else { known.fuse };
            *route = Route { hosts: std::mem::take(&mut route.hosts), in_flight: 0, fuse, ..known };
        }
        let turn = |(key, rest_until)| (key, OrderedKey { rest_until, ..OrderedKey::default() });
        self.keys.extend(heritage.ordered_keys.into_iter().map(turn));
        self.class_usual.iter_mut().zip(heritage.usual).for_each(|(mine, known)| *mine = known);
    }

    /// Takes over a message, of which a call may be out; that holds its slot until its end is told.
    pub(crate) fn adopted(&mut self, message: Message, attempts: &[PastAttempt], out: Option<HostId>) {
        self.again(message, attempts);
        let (Some(host), id) = (out, message.id) else { return };
        self.next_call += 1;
        let call = self.next_call;
        let last = self.held.get_mut(&id).and_then(|held| held.attempts.last_mut());
        last.into_iter().for_each(|last| (last.call, last.fate) = (call, AttemptState::Out));
        let Some(route) = self.route_of(host) else { return };
        let Some(known) = self.routes.get(&route) else { return };
        let overdue_at = self.now + self.overdue_after(&self.held[&id], known);
        self.calls.insert(call, Call { route, host, overdue_at, overdue: false, left: 1 });
        self.hosts.get_mut(&host).into_iter().for_each(|host| host.in_flight += 1);
        if let Some(route) = self.routes.get_mut(&route) {
            route.in_flight += 1;
            route.fuse = if route.fuse == Fuse::Closed { Fuse::Closed } else { Fuse::HalfOpen };
        }
    }

    /// Guards a returning destination against a relay that a restart made forget its outage: its fuse
    /// would be whole, and its backlog would come at once. A destination that is still down gets a trial.
    pub(crate) fn remembered(&mut self, outage: Outage) {
        let (now, chance) = (self.now, self.dice.roll());
        for key in self.routes_to(outage.destination) {
            let Some(route) = self.routes.get_mut(&key) else { continue };
            route.saw_outage(outage.started_at.min(now), chance);
            route.back = outage.recovered_at.map(|back| back.min(now));
            if route.back.is_none() {
                // Most of a large fleet may have started just now.
                let rest = route.sleep_window(self.siblings, &self.set.rules, chance);
                route.trip(if self.siblings > FEW { now + rest } else { now });
            }
        }
    }
}
