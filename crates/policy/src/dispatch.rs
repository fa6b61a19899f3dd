//! The order in which waiting messages are sent, and the slots they take.

use std::collections::BTreeMap;

use crate::policy::DeliveryPolicy;
use crate::scheduler::{Candidate, Capacity};
use crate::state::{Attempt, AttemptState, Call, Fuse, QueuedMessage, RouteKey};
use crate::tuning::{HOLD_ROOM, HORIZON, PATIENCE, SECOND};
use crate::types::{Action, DestinationId, HostId, Idempotency, MessageId, Micros, ValueDecay};

impl DeliveryPolicy {
    /// Offers the waiting messages, worst regret first, to the routes that take calls.
    pub(crate) fn dispatch(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        let mut waiting: BTreeMap<DestinationId, Vec<MessageId>> = BTreeMap::new();
        for (id, held) in &self.held {
            if !self.doubted && held.waits() && held.not_before <= now && self.in_turn(held) {
                waiting.entry(held.message.destination).or_default().push(*id);
            }
        }
        let mut offers: Vec<Candidate> = Vec::new();
        for (destination, ids) in &waiting {
            let pressing = self.pressing(ids);
            for key in self.routes_to(*destination) {
                let Some(route) = self.routes.get_mut(&key) else { continue };
                (route.waiting, route.pressing) = (ids.len(), pressing.min(route.told.unwrap_or(pressing)));
            }
            if !self.routes_to(*destination).into_iter().any(|key| self.opening(key, pressing > 0.0).is_ok())
            {
                continue;
            }
            for id in ids {
                let held = &self.held[id];
                let soon = self.worth_at(held, now);
                let left = held.aim_at.saturating_sub(now) as f64 / SECOND as f64;
                let regret = soon - self.worth_at(held, now + HORIZON) + 0.02 * soon / (1.0 + left);
                let (tenant, destination) = (held.message.tenant, *destination);
                let usual = self.routes_to(destination).first().and_then(|key| self.routes.get(key));
                let cost = usual.map_or(0, |route| self.usual(held, route) as Micros);
                offers.push(Candidate {
                    id: *id,
                    tenant,
                    destination,
                    cost_of_delay: regret,
                    expected_duration: cost,
                });
            }
        }
        offers.sort_by(|a, b| b.cost_of_delay.total_cmp(&a.cost_of_delay).then(a.id.cmp(&b.id)));
        offers.sort_by_key(|offer| self.held[&offer.id].first_by());
        self.scheduler.order_candidates(now, &mut offers);
        let (keep, mut stuck, mut short) = (self.hold(HOLD_ROOM), self.stuck(), false);
        for i in 0..offers.len() {
            short = self.calls.len() >= self.set.max_calls;
            if short {
                break;
            }
            let Candidate { mut id, tenant, destination, .. } = offers[i];
            // Guards those who hold less than their part against a hold full of calls that are out.
            let full = stuck.messages >= keep.messages || stuck.bytes >= keep.bytes;
            if full && self.scheduler.must_yield(now, tenant, keep) {
                continue;
            }
            let Some((key, host)) = self.choose(id) else { continue };
            // The trial risks its message: of those that may go there, take the one that risks least.
            if self.routes.get(&key).is_some_and(|r| r.fuse != Fuse::Closed && !r.harmless) {
                let mates = offers.iter().filter(|o| o.destination == destination);
                let mut mates: Vec<_> = mates.map(|o| o.id).collect();
                mates.sort_by_key(|mate| (self.held[mate].first_by(), self.risk(*mate)));
                id = mates.into_iter().find(|m| self.choose(*m) == Some((key, host))).unwrap_or(id);
                let unsafe_only = self.set.can_probe && self.risk(id) > 2;
                if let Some(route) = self.routes.get_mut(&key).filter(|_| unsafe_only) {
                    (route.tokens, route.fuse) = (route.tokens - 1.0, Fuse::HalfOpen);
                    out.push(Action::Probe(host));
                    continue;
                }
            }
            self.send(id, key, host, None, out);
            let bytes = stuck.bytes + self.held.get(&id).map_or(0, |held| held.message.size);
            stuck = Capacity { messages: stuck.messages + 1, bytes };
            let per_call = self.hosts.get(&host).map_or(1, |h| self.kind(&h.entry).max_messages_per_call);
            let mates = offers[i..].iter().filter(|o| o.destination == destination);
            let mut mates = mates.filter(|o| self.held.get(&o.id).is_some_and(|h| self.fits(h, host)));
            let joining: Vec<_> = (1..per_call).map_while(|_| mates.next()).map(|o| o.id).collect();
            for mate in joining {
                self.send(mate, key, host, Some(self.next_call), out);
            }
        }
        self.scheduler.round_ended(short);
    }

    /// Calls a second by which what a restart found untried among these is tried before its time is up; a relay may stall.
    pub(crate) fn pressing(&self, ids: &[MessageId]) -> f64 {
        let untried = ids.iter().map(|id| &self.held[id]).filter(|held| held.presses());
        let left =
            untried.map(|h| h.message.deadline.saturating_sub(self.now + SECOND / 4).max(self.set.tick));
        let (count, sum) = left.fold((0.0, 0.0), |(n, sum), left| (n + 1.0, sum + left as f64));
        count * count / f64::max(sum, 1.0) * SECOND as f64
    }

    pub(crate) fn in_turn(&self, held: &QueuedMessage) -> bool {
        let turn = held.message.ordering_key.filter(|_| self.class(&held.message).is_ordered);
        let Some(turn) = turn.and_then(|key| self.keys.get(&key)) else { return true };
        let own_rest = held.attempts.iter().any(|a| a.fate == AttemptState::MayHaveRun);
        turn.line.front() == Some(&held.message.id) && (turn.rest_until <= self.now || own_rest)
    }

    pub(crate) fn worth_at(&self, held: &QueuedMessage, at: Micros) -> f64 {
        let (class, due) = (self.class(&held.message), held.message.deadline);
        if at >= due {
            return 0.0;
        }
        let late = at.saturating_sub(held.aim_at) as f64;
        let share = match self.set.decay {
            ValueDecay::Linear => 1.0 - (1.0 - class.late_value) * late / (due - held.aim_at).max(1) as f64,
            ValueDecay::Halving => {
                0.5f64.powf(late / class.latency_objective.max(1) as f64).max(class.late_value)
            }
        };
        held.worth * share
    }

    pub(crate) fn send(
        &mut self, id: MessageId, key: RouteKey, to: HostId, join: Option<u64>, out: &mut Vec<Action>,
    ) {
        let now = self.now;
        let (Some(held), Some(route)) = (self.held.get(&id), self.routes.get(&key)) else { return };
        let class = self.class(&held.message);
        let usual = self.usual(held, route);
        let overdue_at = now + self.overdue_after(held, route);
        let left = held.message.deadline.saturating_sub(now);
        let patience = PATIENCE * usual * (held.attempts.len() as f64 + 1.0);
        let patience = (patience.max(class.latency_objective as f64) as Micros).max(left / 3).min(left);
        let timeout = match (class.idempotency, held.tainted()) {
            (Idempotency::NonIdempotent, _) => left,
            // Leaves room for another attempt while the key is remembered.
            (Idempotency::Keyed { window, .. }, None) if window < left => patience.min(window / 2),
            _ => patience,
        };
        if join.is_none() {
            self.next_call += 1;
            let call = Call { route: key, host: to, overdue_at, overdue: false, left: 0 };
            self.calls.insert(self.next_call, call);
            if let Some(route) = self.routes.get_mut(&key) {
                (route.in_flight, route.tokens) = (route.in_flight + 1, route.tokens - 1.0);
                route.fuse = if route.fuse == Fuse::Closed { Fuse::Closed } else { Fuse::HalfOpen };
            }
        }
        let call = join.unwrap_or(self.next_call);
        self.calls.get_mut(&call).into_iter().for_each(|call| call.left += 1);
        let (Some(host), Some(held)) = (self.hosts.get_mut(&to), self.held.get_mut(&id)) else { return };
        host.in_flight += usize::from(join.is_none());
        let (zone, fate) = (host.entry.zone, AttemptState::Out);
        let booked = if join.is_none() { usual as Micros } else { 0 };
        self.scheduler.call_started(&held.message, booked);
        held.attempts.push(Attempt { sent: now, zone, call, fate, called_off: false, booked });
        out.push(Action::Send { id, host: to, timeout: timeout.max(1) });
    }

    /// Guards against calls that hang, run away or crawl holding the slots that others could use: once few are free, the
    /// overdue one that is out longest is called off. It might still be answered, so only while slots are short.
    pub(crate) fn free_slots(&mut self, out: &mut Vec<Action>) {
        let slots = self.set.max_calls;
        if !self.set.can_cancel || self.calls.len() + 1 < slots {
            return;
        }
        let last = |held: &QueuedMessage| {
            held.attempts.last().map_or((0, false), |a| {
                let overdue = self.calls.get(&a.call).is_some_and(|c| c.overdue);
                (a.sent, overdue && a.fate == AttemptState::Out && !a.called_off)
            })
        };
        let hung = self.held.iter().filter(|(_, held)| last(held).1);
        let Some(id) = hung.min_by_key(|(_, held)| last(held).0).map(|(id, _)| *id) else { return };
        let Some(held) = self.held.get_mut(&id) else { return };
        let attempt = (held.attempts.len() - 1) as u8;
        out.push(Action::Cancel { id, attempt });
        held.attempts[usize::from(attempt)].called_off = true;
    }
}
