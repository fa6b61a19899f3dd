//! The state machine that turns the events of a round into actions.

use crate::call::CallEnd;
use crate::state::DeliveryPolicy;
use crate::tuning::{MIN_POLL_BACKOFF, POLL_BACKOFF_DIVISOR, POLL_INTERVAL_DIVISOR, SECOND};
use crate::types::{Action, AttemptOutcome, Event, HostEntry, HostId, Micros, WeightSource};

impl DeliveryPolicy {
    /// Runs one round at the time `now`: processes its events and appends the resulting actions.
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
        self.answer_undeliverable_messages(actions);
        self.dispatch(actions);
        self.shed_load(0, actions);
        self.free_slots(actions);
        self.subscribe_if_due(actions);
        self.set_timer(actions);
    }

    fn handle_event(&mut self, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::HostsUpdated {
                is_full,
                cached,
                mut entries,
            } => {
                if is_full {
                    entries.extend(self.unlisted_hosts(&entries));
                }
                self.update_hosts(entries);
                if !cached {
                    self.confirm_subscription();
                }
            }
            Event::DiscoveryFailed => self.back_off_discovery(),
            Event::HostsUnconfirmed(is_unconfirmed) => self.hosts_unconfirmed = is_unconfirmed,
            Event::MessageReceived(message) => self.admit(message, actions),
            Event::MessageRestored { message, attempts } => {
                self.restore_message(message, &attempts);
            }
            Event::MessageResent { message, attempts } => {
                self.enqueue_with_attempts(message, &attempts);
            }
            Event::MessageAdopted {
                message,
                attempts,
                in_flight_at,
            } => self.adopt_message(message, &attempts, in_flight_at),
            Event::OutageRestored(outage) => self.restore_outage(outage),
            Event::SettingsChanged(settings) => self.change_settings(*settings),
            Event::ShuttingDown { at } => self.shutdown_at = at,
            Event::ResponseStarted { id } => self.start_response(id),
            Event::AttemptAnswered(end) => self.answer_attempt(end),
            Event::AttemptEnded(end) => self.end_attempt(end),
            Event::RetryAfterReceived { host, retry_after } => {
                self.receive_retry_after(host, retry_after);
            }
            Event::MessageWithdrawn(id) => self.settle(id),
            Event::TenantChanged(tenant, terms) => {
                self.scheduler.update_tenant(self.now, tenant, terms);
            }
            Event::TimerFired(token) => self.timer_at = self.timer_at.filter(|at| *at != token),
            Event::ProbeEnded {
                host,
                outcome,
                elapsed,
                load_report,
            } => self.end_probe(host, outcome, elapsed, &load_report),
            Event::PeerMessage { .. } => {}
        }
    }

    /// Records the outcome of a probe that carried no message.
    fn end_probe(
        &mut self,
        host: HostId,
        outcome: AttemptOutcome,
        elapsed: Micros,
        load_report: &[f32],
    ) {
        self.record_load_report(host, load_report);
        let Some(route) = self.route_of(host) else {
            return;
        };
        self.record_outcome(&CallEnd {
            route,
            host,
            outcome,
            elapsed,
            was_slow: false,
            class: None,
        });
    }

    /// Applies entries of discovery's host list and the limits that they advertise.
    fn update_hosts(&mut self, entries: Vec<HostEntry>) {
        let has_weights = self.settings.weight_source != WeightSource::Absent;
        for entry in entries {
            let key = self.place_host(entry).filter(|_| has_weights);
            if let Some(route) = key.and_then(|key| self.routes.get_mut(&key)) {
                route.record_limit(f64::from(entry.weight), 1.0, self.replicas);
            }
        }
        self.purge_removed_hosts();
    }

    /// Records that discovery has answered: the host list is watched and is not polled.
    fn confirm_subscription(&mut self) {
        self.is_subscribed = true;
        self.poll_backoff = MIN_POLL_BACKOFF;
    }

    /// Records a failure of discovery and schedules the next poll after a backoff.
    fn back_off_discovery(&mut self) {
        self.is_subscribed = false;
        self.poll_at = self.now + self.poll_backoff;
        let longest = self.settings.rules.max_poll_interval / POLL_BACKOFF_DIVISOR;
        self.poll_backoff = (self.poll_backoff * 2).min(longest.max(MIN_POLL_BACKOFF));
    }

    /// Requests the host list again if it is not watched and the next poll is due.
    fn subscribe_if_due(&mut self, actions: &mut Vec<Action>) {
        if self.is_subscribed || self.poll_at > self.now {
            return;
        }
        actions.push(Action::Subscribe(true));
        let interval = self.settings.rules.max_poll_interval / POLL_INTERVAL_DIVISOR;
        self.poll_at = self.now + interval.max(SECOND);
    }
}
