//! The state machine that joins the decisions: events in, actions out.

use std::collections::BTreeSet;

use crate::call::CallEnd;
use crate::selection::{Readiness, Urgency};
use crate::state::DeliveryPolicy;
use crate::tuning::{MIN_POLL_BACKOFF, SECOND};
use crate::types::{Action, Event, HostEntry, Micros, WeightSource};

impl DeliveryPolicy {
    /// Takes the events of one round and appends the actions that follow from them.
    pub fn handle(
        &mut self,
        now: Micros,
        events: impl IntoIterator<Item = Event>,
        actions: &mut Vec<Action>,
    ) {
        self.now = now;
        for event in events {
            self.handle_event(event, actions);
        }
        self.record_slow_calls();
        self.give_up_undeliverable(actions);
        self.dispatch(actions);
        self.shed_load(0, actions);
        self.free_slots(actions);
        if !self.is_subscribed && self.poll_at <= now {
            actions.push(Action::Subscribe(true));
            self.poll_at = now + (self.settings.rules.max_poll_interval / 2).max(SECOND);
        }
        self.set_timer(actions);
    }

    fn handle_event(&mut self, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::HostsUpdated {
                is_full,
                cached,
                entries,
            } => self.update_hosts(is_full, cached, entries),
            Event::DiscoveryFailed => self.back_off_discovery(),
            Event::HostsUnconfirmed(is_unconfirmed) => self.hosts_unconfirmed = is_unconfirmed,
            Event::MessageReceived(message) => self.admit(message, actions),
            Event::MessageRestored { message, attempts } => {
                self.restore_message(message, &attempts)
            }
            Event::MessageResent { message, attempts } => {
                self.enqueue_with_attempts(message, &attempts)
            }
            Event::MessageAdopted {
                message,
                attempts,
                out,
            } => self.adopt_message(message, &attempts, out),
            Event::OutageRestored(outage) => self.restore_outage(outage),
            Event::SettingsChanged(settings) => self.change_settings(*settings),
            Event::ShuttingDown { at } => self.shutdown_at = at,
            Event::ResponseStarted { id } => self.start_response(id),
            Event::AttemptEnded(end) => self.end_attempt(end),
            Event::MessageWithdrawn(id) => self.settle(id),
            Event::TenantChanged(tenant, terms) => {
                self.scheduler.update_tenant(self.now, tenant, terms)
            }
            Event::TimerFired(token) => self.timer_at = self.timer_at.filter(|at| *at != token),
            Event::ProbeEnded {
                host,
                outcome,
                elapsed,
                load_report,
            } => {
                self.record_load_report(host, &load_report);
                if let Some(route) = self.route_of(host) {
                    let (was_slow, class) = (false, None);
                    self.record_outcome(&CallEnd {
                        route,
                        host,
                        outcome,
                        elapsed,
                        was_slow,
                        class,
                    });
                }
            }
            Event::PeerMessage { .. } => {}
        }
    }

    /// Takes over the list of hosts, or what changed of it.
    fn update_hosts(&mut self, is_full: bool, is_cached: bool, mut entries: Vec<HostEntry>) {
        if is_full {
            entries.extend(self.unlisted_hosts(&entries));
        }
        for entry in entries {
            let key = self
                .place_host(entry)
                .filter(|_| self.settings.weight_source != WeightSource::Absent);
            if let Some(route) = key.and_then(|key| self.routes.get_mut(&key)) {
                route.record_limit(f64::from(entry.weight), 1.0, self.replicas);
            }
        }
        self.forget_removed_hosts();
        if !is_cached {
            (self.is_subscribed, self.poll_backoff) = (true, MIN_POLL_BACKOFF);
        }
    }

    /// Discovery failed: polls again after a backoff.
    fn back_off_discovery(&mut self) {
        (self.is_subscribed, self.poll_at) = (false, self.now + self.poll_backoff);
        let longest = (self.settings.rules.max_poll_interval / 4).max(MIN_POLL_BACKOFF);
        self.poll_backoff = (self.poll_backoff * 2).min(longest);
    }

    /// Sets one timer, for the next moment at which something can change by itself.
    fn set_timer(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        let poll_at = if self.is_subscribed {
            Micros::MAX
        } else {
            self.poll_at
        };
        let slow_at = self
            .calls
            .values()
            .filter(|call| !call.is_slow)
            .map(|call| call.slow_at);
        let wake = slow_at.fold(poll_at.min(self.next_message_change()), Micros::min);
        let wake = wake
            .min(self.next_ready_route())
            .max(now + self.settings.tick.max(1));
        if wake < Micros::MAX && self.timer_at.is_none_or(|at| at > wake || at <= now) {
            self.timer_at = Some(wake);
            actions.push(Action::SetTimer {
                delay: wake - now,
                token: wake,
            });
        }
    }

    /// When the next message reaches its deadline, or may be attempted as far as it and its key are concerned.
    fn next_message_change(&self) -> Micros {
        let mut next = Micros::MAX;
        for queued in self.open_messages() {
            next = next.min(
                queued
                    .message
                    .deadline
                    .saturating_sub(2 * self.settings.tick),
            );
            if !queued.is_in_flight() {
                let order = queued
                    .message
                    .ordering_key
                    .and_then(|key| self.ordered_keys.get(&key));
                let pauses = [
                    queued.not_before,
                    order.map_or(0, |order| order.blocked_until),
                ];
                next = pauses
                    .into_iter()
                    .filter(|until| *until > self.now)
                    .fold(next, Micros::min);
            }
        }
        next
    }

    /// When the next route that messages wait for takes a call.
    fn next_ready_route(&mut self) -> Micros {
        let waiting = self.open_messages().filter(|queued| !queued.is_in_flight());
        let destinations: BTreeSet<_> = waiting.map(|queued| queued.message.destination).collect();
        let keys: Vec<_> = destinations
            .into_iter()
            .flat_map(|to| self.routes_to(to))
            .collect();
        let mut next = Micros::MAX;
        for key in keys {
            let urgency = Urgency::from(
                self.routes
                    .get(&key)
                    .is_some_and(|route| route.urgent_rate > 0.0),
            );
            next = next.min(match self.readiness(key, urgency) {
                Readiness::Ready => self.now + SECOND / 2,
                Readiness::NotBefore(at) => at,
            });
        }
        next
    }
}
