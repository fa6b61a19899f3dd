//! Drives a policy with events. The `rules` module checks each action that the policy returns.

use std::collections::BTreeMap;

use policy::types::{
    Action, AttemptEnd, AttemptOutcome, DestinationId, Event, HostEntry, HostId, HostState,
    Message, MessageId, Micros, Settings,
};
use policy::{DeliveryPolicy, RouteKey};

use super::{MILLISECOND, SECOND};

/// How long after its deadline a message may get its final answer at the latest.
pub const ANSWER_TOLERANCE: Micros = 20 * MILLISECOND;

/// A message that the policy has sent.
#[derive(Clone, Copy)]
pub struct SentMessage {
    pub at: Micros,
    pub id: MessageId,
    pub host: HostId,
}

/// An attempt that has not ended.
#[derive(Clone, Copy)]
pub struct InFlightAttempt {
    pub id: MessageId,
    pub host: HostId,
}

/// An attempt as the harness has observed it.
pub(super) struct ObservedAttempt {
    pub(super) host: HostId,
    pub(super) zone: u8,
    pub(super) sent_at: Micros,
    pub(super) times_out_at: Micros,
    pub(super) outcome: Option<AttemptOutcome>,
}

impl ObservedAttempt {
    pub(super) fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }
}

/// A message as the harness has observed it.
pub(super) struct TrackedMessage {
    pub(super) message: Message,
    pub(super) attempts: Vec<ObservedAttempt>,
    pub(super) is_answered: bool,
}

impl TrackedMessage {
    /// The last attempt if it is in flight.
    fn attempt_in_flight(&self) -> Option<&ObservedAttempt> {
        self.attempts.last().filter(|last| last.is_in_flight())
    }
}

/// An ordering key after an attempt that may still be running at its host.
#[derive(Clone, Copy, Default)]
pub(super) struct KeyBlock {
    pub(super) until: Micros,
    /// The message of that attempt, which may be sent again despite the block.
    pub(super) message: MessageId,
}

/// A timer that the policy has set.
struct Timer {
    due_at: Micros,
    token: u64,
}

/// The next attempt to time out. Ordered by time, then by message identifier.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct NextTimeout {
    at: Micros,
    id: MessageId,
}

/// Drives a policy with events and panics if its actions break a rule.
pub struct PolicyHarness {
    pub policy: DeliveryPolicy,
    pub settings: Settings,
    pub now: Micros,
    pub sent: Vec<SentMessage>,
    pub answers: BTreeMap<MessageId, Action>,
    pub delivered: BTreeMap<MessageId, Micros>,
    pub actions: Vec<Action>,
    pub(super) messages: BTreeMap<MessageId, TrackedMessage>,
    pub(super) hosts: BTreeMap<HostId, HostEntry>,
    /// The messages of each ordering key, in the order of arrival.
    pub(super) ordered_messages: BTreeMap<u64, Vec<MessageId>>,
    pub(super) key_blocks: BTreeMap<u64, KeyBlock>,
    pub(super) retry_after_until: BTreeMap<RouteKey, Micros>,
    timers: Vec<Timer>,
    next_id: MessageId,
}

impl PolicyHarness {
    pub fn new(settings: Settings, hosts: Vec<HostEntry>) -> Self {
        let mut harness = PolicyHarness {
            policy: DeliveryPolicy::new(settings.clone(), 7),
            settings,
            now: 100 * SECOND,
            sent: Vec::new(),
            answers: BTreeMap::new(),
            delivered: BTreeMap::new(),
            actions: Vec::new(),
            messages: BTreeMap::new(),
            hosts: BTreeMap::new(),
            ordered_messages: BTreeMap::new(),
            key_blocks: BTreeMap::new(),
            retry_after_until: BTreeMap::new(),
            timers: Vec::new(),
            next_id: 1,
        };
        harness.replace_hosts(hosts);
        harness
    }

    /// Sends a full snapshot of the host list to the policy.
    pub fn replace_hosts(&mut self, entries: Vec<HostEntry>) {
        for known in self.hosts.values_mut() {
            known.state = HostState::Removed;
        }
        self.record_hosts(&entries);
        self.handle(vec![Event::HostsUpdated {
            is_full: true,
            cached: false,
            entries,
        }]);
    }

    /// Sends changed entries of the host list to the policy.
    pub fn change_hosts(&mut self, entries: Vec<HostEntry>) {
        self.record_hosts(&entries);
        self.handle(vec![Event::HostsUpdated {
            is_full: false,
            cached: false,
            entries,
        }]);
    }

    fn record_hosts(&mut self, entries: &[HostEntry]) {
        for entry in entries {
            self.hosts.insert(entry.host, *entry);
        }
    }

    pub fn receive(
        &mut self,
        class: u16,
        destination: DestinationId,
        key: Option<u64>,
    ) -> MessageId {
        let time_to_live = self.settings.classes[usize::from(class)].time_to_live;
        self.receive_with_deadline(class, destination, key, self.now + time_to_live)
    }

    pub fn receive_with_deadline(
        &mut self,
        class: u16,
        destination: DestinationId,
        key: Option<u64>,
        deadline: Micros,
    ) -> MessageId {
        let id = self.next_id;
        self.next_id += 1;
        let message = Message {
            id,
            class,
            destination,
            deadline,
            ordering_key: key,
            expected_work: None,
            tenant: 0,
            is_resubmitted: false,
            size: 0,
        };
        if let Some(key) = self.effective_key(&message) {
            self.ordered_messages.entry(key).or_default().push(id);
        }
        self.messages.insert(
            id,
            TrackedMessage {
                message,
                attempts: Vec::new(),
                is_answered: false,
            },
        );
        self.handle(vec![Event::MessageReceived(message)]);
        id
    }

    /// The ordering key of a message if its class is ordered.
    pub(super) fn effective_key(&self, message: &Message) -> Option<u64> {
        let class = &self.settings.classes[usize::from(message.class)];
        message.ordering_key.filter(|_| class.is_ordered)
    }

    pub fn withdraw(&mut self, id: MessageId) {
        if let Some(tracked) = self.messages.get_mut(&id) {
            tracked.is_answered = true;
        }
        self.handle(vec![Event::MessageWithdrawn(id)]);
    }

    /// Attempts that have not ended.
    pub fn in_flight(&self) -> Vec<InFlightAttempt> {
        let attempts = self.messages.iter().filter_map(|(id, tracked)| {
            let attempt = tracked.attempt_in_flight()?;
            Some(InFlightAttempt {
                id: *id,
                host: attempt.host,
            })
        });
        attempts.collect()
    }

    pub fn end_attempt(&mut self, id: MessageId, outcome: AttemptOutcome) {
        self.end_attempt_with_report(id, outcome, Vec::new());
    }

    /// Ends the attempt in flight of a message, with a load report from the destination.
    pub fn end_attempt_with_report(
        &mut self,
        id: MessageId,
        outcome: AttemptOutcome,
        load_report: Vec<f32>,
    ) {
        let now = self.now;
        let Some(tracked) = self.messages.get_mut(&id) else {
            return;
        };
        let attempt = (tracked.attempts.len() - 1) as u8;
        let Some(last) = tracked.attempts.last_mut() else {
            return;
        };
        assert!(
            last.is_in_flight(),
            "the test ended an attempt of message {id} twice"
        );
        last.outcome = Some(outcome);
        let host = last.host;
        let elapsed = now - last.sent_at;
        if outcome == AttemptOutcome::Delivered && !tracked.is_answered {
            tracked.is_answered = true;
            self.delivered.insert(id, now);
        }
        let is_final = tracked.is_answered;
        let message = tracked.message;
        if may_still_run(outcome) {
            self.block_key(&message);
        }
        self.handle(vec![Event::AttemptEnded(AttemptEnd {
            id,
            attempt,
            host,
            outcome,
            elapsed,
            is_final,
            load_report,
        })]);
        // Recorded after the round of the rejection, so that the rules do not apply to calls of that round, although
        // the policy starts none.
        if let AttemptOutcome::Rejected {
            retry_after: retry_after @ 1..,
        } = outcome
        {
            let route = self.route(host);
            let until = self.retry_after_until.entry(route).or_default();
            *until = (*until).max(now + retry_after);
        }
    }

    /// Blocks the ordering key of a message with an attempt that may still be running at its host.
    fn block_key(&mut self, message: &Message) {
        let until = self.now + self.settings.rules.ordering_delay;
        if let Some(key) = self.effective_key(message) {
            let message = message.id;
            self.key_blocks.insert(key, KeyBlock { until, message });
        }
    }

    /// The route of a host.
    pub(super) fn route(&self, host: HostId) -> RouteKey {
        let entry = &self.hosts[&host];
        let kind = self.settings.kinds.get(usize::from(entry.kind));
        let has_host_routes = kind.is_some_and(|kind| kind.has_host_routes);
        RouteKey {
            destination: entry.destination,
            host: has_host_routes.then_some(host),
        }
    }

    /// Advances the time by `span`. Timers fire and attempts time out when due.
    pub fn advance(&mut self, span: Micros) {
        let end = self.now + span;
        loop {
            let timer_at = self.timers.iter().map(|timer| timer.due_at).min();
            let timeout = self.next_timeout();
            let next = timer_at
                .unwrap_or(Micros::MAX)
                .min(timeout.map_or(Micros::MAX, |timeout| timeout.at));
            if next > end {
                break;
            }
            let tick = self.settings.tick;
            self.now = self.now.max(next.div_ceil(tick) * tick);
            match timeout {
                Some(NextTimeout { at, id }) if at <= next => {
                    self.end_attempt(id, AttemptOutcome::Timeout);
                }
                _ => self.fire_due_timers(),
            }
        }
        self.now = self.now.max(end);
        self.check_deadlines();
    }

    /// The attempt in flight that times out first.
    fn next_timeout(&self) -> Option<NextTimeout> {
        let timeouts = self.messages.iter().filter_map(|(id, tracked)| {
            let attempt = tracked.attempt_in_flight()?;
            Some(NextTimeout {
                at: attempt.times_out_at,
                id: *id,
            })
        });
        timeouts.min()
    }

    fn fire_due_timers(&mut self) {
        let now = self.now;
        let due = self.timers.iter().filter(|timer| timer.due_at <= now);
        let events = due.map(|timer| Event::TimerFired(timer.token)).collect();
        self.timers.retain(|timer| timer.due_at > now);
        self.handle(events);
    }

    /// Records a timer that the policy has set.
    pub(super) fn set_timer(&mut self, delay: Micros, token: u64) {
        let due_at = self.now + delay;
        self.timers.push(Timer { due_at, token });
    }

    pub fn handle(&mut self, events: Vec<Event>) {
        let mut actions = Vec::new();
        self.policy.handle(self.now, events, &mut actions);
        for action in &actions {
            self.check_action(action);
        }
        self.check_slots();
        self.actions.extend(actions);
    }

    /// Messages of cancelled attempts that have not ended.
    pub fn cancelled(&self) -> Vec<MessageId> {
        let cancelled = self.actions.iter().filter_map(|action| match action {
            Action::Cancel { id, attempt } => {
                let attempt = self.messages[id].attempts.get(usize::from(*attempt))?;
                attempt.is_in_flight().then_some(*id)
            }
            _ => None,
        });
        cancelled.collect()
    }
}

/// Whether the call may still be running at its host. Does not use the policy's own classification.
fn may_still_run(outcome: AttemptOutcome) -> bool {
    matches!(
        outcome,
        AttemptOutcome::Timeout
            | AttemptOutcome::Reset
            | AttemptOutcome::ConnectionLost
            | AttemptOutcome::Cancelled
    )
}
