//! Whether a message is taken on, and what makes room for it.

use std::collections::BTreeMap;

use crate::policy::DeliveryPolicy;
use crate::scheduler::Capacity;
use crate::state::{Fuse, QueuedMessage};
use crate::tuning::{HOLD_ROOM, OUTAGE_LEAST, SECOND};
use crate::types::{Action, DestinationId, Message, MessageId, Micros};

impl DeliveryPolicy {
    /// Takes a message on if its tenant may have one more and there is room, or its tenant holds no more than its part.
    pub(crate) fn at_the_door(&mut self, message: Message, out: &mut Vec<Action>) {
        if let Err(after) = self.scheduler.admit(self.now, message.tenant) {
            let after = if after > 0 { after } else { self.advice() };
            return out.push(Action::Reject { id: message.id, retry_after: after });
        }
        let most = self.hold(0);
        let full = |relay: &DeliveryPolicy| {
            relay.held.len() >= most.messages || relay.bytes + message.size > most.bytes
        };
        if full(self) && !self.scheduler.exceeds_share(message.tenant, most) {
            self.make_room(message.size, out);
        }
        // Guards the hold where nothing in it may be refused to make room.
        if full(self) {
            let after = self.advice();
            return out.push(Action::Reject { id: message.id, retry_after: after });
        }
        self.arrived(message);
    }

    pub(crate) fn arrived(&mut self, message: Message) {
        let class = self.class(&message);
        let stretch = message.expected_work.map_or(0.0, |w| w as f64 * class.objective_stretch) as Micros;
        let aim_at =
            (message.deadline.saturating_sub(class.time_to_live) + class.latency_objective + stretch)
                .min(message.deadline);
        let (worth, in_order, attempts) = (class.value, class.is_ordered, Vec::new());
        self.scheduler.message_queued(self.now, &message);
        self.bytes += message.size;
        if let (true, Some(key)) = (in_order, message.ordering_key) {
            self.keys.entry(key).or_default().line.push_back(message.id);
        }
        let (not_before, over, started, owed) = (0, false, false, false);
        let held = QueuedMessage { message, aim_at, attempts, not_before, over, started, worth, owed };
        self.held.insert(message.id, held);
    }

    /// How long a refused client is told to stay away.
    pub(crate) fn advice(&mut self) -> Micros {
        (self.set.max_retry_after as f64 * 0.75 * self.jitter()) as Micros
    }

    /// Guards against a hold filled by messages for dead or swamped destinations: the door would turn away good ones.
    /// Refuses those worth least when their turn may come; a client that comes again is a wider hold than ours. Of what a
    /// restart found untried a fourth at most, those with the least time left: most is tried also after two restarts.
    pub(crate) fn make_room(&mut self, wanted: usize, out: &mut Vec<Action>) {
        let keep = self.hold(HOLD_ROOM);
        let enough =
            |relay: &DeliveryPolicy| relay.held.len() <= keep.messages && relay.bytes + wanted <= keep.bytes;
        if enough(self) {
            return;
        }
        let mut ahead: BTreeMap<DestinationId, (f64, f64)> = BTreeMap::new();
        let mut ranked: Vec<(bool, f64, MessageId)> = Vec::new();
        for (id, held) in self.held.iter().filter(|(_, held)| held.waits()) {
            let destination = held.message.destination;
            let line = ahead.entry(destination).or_insert_with(|| self.outlook(destination));
            line.0 += line.1;
            if held.tainted().is_none() {
                let turn = self.now + (line.0.min(60.0) * SECOND as f64) as Micros;
                let worth =
                    if held.untried() { held.message.deadline as f64 } else { self.worth_at(held, turn) };
                ranked.push((held.untried(), worth, *id));
            }
        }
        ranked.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(b.2.cmp(&a.2)));
        for (untried, _, id) in ranked {
            if enough(self) {
                break;
            }
            let kept = untried && 4 * (self.found.1 + 1) > self.found.0;
            if !kept && self.scheduler.exceeds_share(self.held[&id].message.tenant, keep) {
                self.found.1 += usize::from(untried);
                let after = self.advice();
                self.end(id, after, out);
            }
        }
    }

    /// What the hold has room for, but for one part in so many; all if none.
    pub(crate) fn hold(&self, spared: usize) -> Capacity {
        let less = |most: usize| most - most.checked_div(spared).map_or(0, |part| part.max(1).min(most));
        let bytes = if self.set.max_queued_bytes == 0 { usize::MAX } else { less(self.set.max_queued_bytes) };
        Capacity { messages: less(self.set.max_queued), bytes }
    }

    /// What is held and may not be refused.
    pub(crate) fn stuck(&self) -> Capacity {
        let stuck = self.held.values().filter(|held| !held.waits() || held.tainted().is_some());
        let (places, bytes) = stuck.fold((0, 0), |(n, sum), held| (n + 1, sum + held.message.size));
        Capacity { messages: places, bytes }
    }

    /// Seconds until a destination takes calls again, and between one call and the next.
    pub(crate) fn outlook(&self, destination: DestinationId) -> (f64, f64) {
        let (mut pace, mut shut) = (0.0, true);
        for route in self.routes_to(destination).iter().filter_map(|key| self.routes.get(key)) {
            pace += route.pace.min(self.ramp(route)).min(SECOND as f64 / route.gap.max(SECOND / 20) as f64);
            shut &= route.fuse != Fuse::Closed;
        }
        (if shut { OUTAGE_LEAST as f64 / SECOND as f64 } else { 0.0 }, 1.0 / pace.max(0.1))
    }
}
