//! Dispatch: sends waiting messages in order while slots are free, and groups them into calls.

use crate::call::Call;
use crate::retry::RepeatRisk;
use crate::scheduler::Candidate;
use crate::selection::Selection;
use crate::state::DeliveryPolicy;
use crate::types::{Action, MessageId, Micros};

/// Which call a message is sent in.
#[derive(Clone, Copy, PartialEq, Eq)]
enum CallMode {
    /// A new call, which other messages may join.
    New,
    /// The call that was started last.
    JoinLatest,
}

impl DeliveryPolicy {
    /// Sends waiting messages, in the order of [`Self::ordered_candidates`], to the routes that accept calls.
    pub(crate) fn dispatch(&mut self, actions: &mut Vec<Action>) {
        let candidates = self.ordered_candidates();
        let target = self.queue_target();
        let mut unsheddable = self.unsheddable_size();
        let mut is_short_of_slots = false;
        for (index, chosen) in candidates.iter().enumerate() {
            is_short_of_slots = self.calls.len() >= self.settings.max_calls;
            if is_short_of_slots {
                break;
            }
            // Once messages that cannot be shed fill the queue, tenants below their quota take precedence.
            let is_full =
                unsheddable.messages >= target.messages || unsheddable.bytes >= target.bytes;
            if is_full && self.scheduler.must_yield(self.now, chosen.tenant, target) {
                continue;
            }
            let Some(selection) = self.select(chosen.id) else {
                continue;
            };
            let id = self.replace_by_least_risky(&candidates, chosen, selection);
            if self.probes_instead(id, selection) {
                actions.push(Action::Probe(selection.host));
                continue;
            }
            self.send(id, selection, CallMode::New, actions);
            unsheddable.messages += 1;
            unsheddable.bytes += self.queue.get(&id).map_or(0, |queued| queued.message.size);
            self.fill_call(&candidates[index..], selection, actions);
        }
        self.scheduler.round_ended(is_short_of_slots);
    }

    /// If the call is a probe that may fail after it was executed, returns the message with the lowest risk of all that
    /// may be sent to the selected host; otherwise the chosen one.
    fn replace_by_least_risky(
        &mut self,
        candidates: &[Candidate],
        chosen: &Candidate,
        selection: Selection,
    ) -> MessageId {
        let route = self.routes.get(&selection.route);
        if !route.is_some_and(|route| route.breaker.risks_message()) {
            return chosen.id;
        }
        let mut ids: Vec<_> = candidates
            .iter()
            .filter(|other| other.destination == chosen.destination)
            .map(|other| other.id)
            .collect();
        ids.sort_by_key(|id| (self.dispatch_deadline(*id), self.repeat_risk(*id)));
        ids.into_iter()
            .find(|id| self.select(*id) == Some(selection))
            .unwrap_or(chosen.id)
    }

    /// Whether to probe the host without a message, because only non-idempotent messages wait for it. Takes a token for
    /// the probe.
    fn probes_instead(&mut self, id: MessageId, selection: Selection) -> bool {
        let is_unsafe =
            self.settings.can_probe && self.repeat_risk(id) >= RepeatRisk::NonIdempotent;
        let Some(route) = self.routes.get_mut(&selection.route) else {
            return false;
        };
        let probes = is_unsafe && route.breaker.risks_message();
        if probes {
            route.pacing.bucket.take();
            route.breaker.record_start();
        }
        probes
    }

    /// Adds messages to the latest call, up to the limit of its host's kind.
    fn fill_call(
        &mut self,
        candidates: &[Candidate],
        selection: Selection,
        actions: &mut Vec<Action>,
    ) {
        let Some(first) = candidates.first() else {
            return;
        };
        let host = self.hosts.get(&selection.host);
        let per_call = host.map_or(1, |host| self.kind(&host.entry).max_messages_per_call);
        let may_join = |other: &&Candidate| {
            let queued = self.queue.get(&other.id);
            other.destination == first.destination
                && queued.is_some_and(|queued| self.may_use_host(queued, selection.host))
        };
        let joining: Vec<_> = candidates
            .iter()
            .filter(may_join)
            .take(per_call.saturating_sub(1))
            .map(|other| other.id)
            .collect();
        for id in joining {
            self.send(id, selection, CallMode::JoinLatest, actions);
        }
    }

    fn send(
        &mut self,
        id: MessageId,
        selection: Selection,
        mode: CallMode,
        actions: &mut Vec<Action>,
    ) {
        let Selection { route: key, host } = selection;
        let (Some(queued), Some(route)) = (self.queue.get(&id), self.routes.get(&key)) else {
            return;
        };
        let expected_latency = self.expected_latency(queued, route);
        let slow_at = self.now + self.slow_call_threshold(queued, route);
        let timeout = self.attempt_timeout(queued, expected_latency);
        let expected_duration = match mode {
            CallMode::New => expected_latency as Micros,
            CallMode::JoinLatest => 0,
        };
        if mode == CallMode::New {
            self.latest_call += 1;
            let Some(route) = self.routes.get_mut(&key) else {
                return;
            };
            route.pacing.bucket.take();
            self.start_call(Call::starting(key, host, slow_at));
        }
        let Some(message) = self.add_attempt(id, host, expected_duration) else {
            return;
        };
        self.scheduler.call_started(&message, expected_duration);
        actions.push(Action::Send { id, host, timeout });
    }

    /// Starts `call` under the number `latest_call`.
    pub(crate) fn start_call(&mut self, call: Call) {
        if let Some(route) = self.routes.get_mut(&call.route) {
            route.breaker.record_start();
        }
        self.add_call(call);
    }
}
