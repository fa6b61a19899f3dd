//! Recovery from outages, and restoration of the messages, calls and outages of an earlier process.

use crate::call::Call;
use crate::queued_message::{AttemptState, Recovery};
use crate::route::Route;
use crate::state::DeliveryPolicy;
use crate::tuning::{
    MIN_OUTAGE, MIN_SUCCESS_GAP_OF_OUTAGE, OUTAGE_RETENTION, SMALL_FLEET, UNAVAILABLE_AFTER,
};
use crate::types::{HostId, Message, MessageId, Micros, Outage, PastAttempt};

impl Route {
    /// Whether a route without hosts must be retained: calls in flight, a Retry-After, a backoff and a recent outage
    /// remain in effect when the host list changes.
    pub(crate) fn must_be_retained(&self, now: Micros) -> bool {
        let last_call = self.breaker.window.latest_at();
        let is_recent = last_call.is_some_and(|at| at + OUTAGE_RETENTION > now);
        let has_outage = self.recovery.is_active && is_recent;
        let paused_until = self.retry_after_until.max(self.backoff_until);
        self.in_flight > 0 || has_outage || paused_until > now
    }

    /// Records at `now` an outage that began at `since`, and activates the recovery ramp. `chance`, a random number from 0 to 1,
    /// spreads the next calls of all replicas that detected the outage.
    pub(crate) fn record_outage(&mut self, now: Micros, since: Micros, chance: f64) {
        if !self.recovery.is_active {
            self.recovery.down_since = since;
            self.recovery.prior_rate = self.pacing.known_success_rate();
            self.pacing.bucket.limit_to(now, chance);
        }
        self.recovery.is_active = true;
        self.recovery.recovered_at = None;
    }

    /// Checks at a success for an outage that few calls encountered because they got no answer or were held back. Such
    /// an outage counts from the first error.
    pub(crate) fn detect_unseen_outage(&mut self, now: Micros, chance: f64) {
        let breaker = &self.breaker;
        let was_rejecting = breaker.consecutive_rejections > 0
            && !breaker.is_limit_likely
            && now >= breaker.rejected_since + UNAVAILABLE_AFTER;
        let was_failing =
            breaker.consecutive_failures > 1 && now >= breaker.failing_since + UNAVAILABLE_AFTER;
        let since = if was_rejecting {
            breaker.rejected_since
        } else {
            breaker.failing_since
        };
        if was_rejecting || was_failing {
            self.record_outage(now, since, chance);
        }
    }

    /// Ends the outage at a success, unless the successful call was sent (`sent_at`) before the outage began or a
    /// Retry-After is pending. No ramp follows if the previous success precedes the outage and is less than
    /// [`MIN_SUCCESS_GAP_OF_OUTAGE`] ago: a full queue at the destination was then taken for an outage.
    pub(crate) fn end_outage(&mut self, now: Micros, sent_at: Micros, last_success: Micros) {
        let recovery = &mut self.recovery;
        let is_down = recovery.is_active && recovery.recovered_at.is_none();
        if is_down && sent_at >= recovery.down_since && now >= self.retry_after_until {
            let had_success = recovery.down_since < last_success;
            let is_gap_long = now >= last_success + MIN_SUCCESS_GAP_OF_OUTAGE;
            recovery.is_active = had_success || is_gap_long;
            recovery.recovered_at = Some(now).filter(|_| recovery.is_active);
        }
    }
}

impl DeliveryPolicy {
    /// Restores a message that was accepted before a restart.
    pub(crate) fn restore_message(&mut self, message: Message, attempts: &[PastAttempt]) {
        self.enqueue_with_attempts(message, attempts);
        self.mark_recovered(message.id, Recovery::Restored);
        // A call that was cut off by the end of the process may still be running at its host.
        let may_still_run = attempts.last().is_some_and(|past| past.may_have_executed);
        let key = message.ordering_key.filter(|_| may_still_run);
        if let Some(order) = key.and_then(|key| self.ordered_keys.get_mut(&key)) {
            order.blocked_until = self.now + self.settings.rules.ordering_delay;
        }
        // The destination may have recovered while this process was down: the ramp keeps the backlog from being sent in
        // a burst.
        let now = self.now;
        for key in self.routes_to(message.destination) {
            let is_large_fleet = self.replicas > SMALL_FLEET;
            let Some(route) = self.routes.get_mut(&key) else {
                continue;
            };
            if !route.recovery.is_active {
                // The first calls of a large fleet that restarts as a whole must not coincide.
                let chance = if is_large_fleet {
                    self.random.next_fraction()
                } else {
                    1.0
                };
                route.record_outage(now, now.saturating_sub(MIN_OUTAGE), chance);
            }
        }
    }

    /// Marks a message without attempts as recovered and counts it.
    fn mark_recovered(&mut self, id: MessageId, recovery: Recovery) {
        let queued = self.queue.get_mut(&id);
        if let Some(queued) = queued.filter(|queued| queued.attempts.is_empty()) {
            queued.recovery = recovery;
            self.recovered_count += 1;
        }
    }

    /// Takes over a message from a process that shuts down. `host` is where its call is still in flight, if it is; the
    /// call occupies a slot until it ends.
    pub(crate) fn adopt_message(
        &mut self,
        message: Message,
        attempts: &[PastAttempt],
        host: Option<HostId>,
    ) {
        self.enqueue_with_attempts(message, attempts);
        self.mark_recovered(message.id, Recovery::Adopted);
        let Some(host) = host else { return };
        self.latest_call += 1;
        let Some(queued) = self.queue.get_mut(&message.id) else {
            return;
        };
        if let Some(last) = queued.attempts.last_mut() {
            last.call = self.latest_call;
            last.state = AttemptState::InFlight;
        }
        let Some(key) = self.route_of(host) else {
            return;
        };
        let Some(route) = self.routes.get(&key) else {
            return;
        };
        let slow_at = self.now + self.slow_call_threshold(&self.queue[&message.id], route);
        self.start_call(Call {
            pending_messages: 1,
            ..Call::starting(key, host, slow_at)
        });
    }

    /// Restores an outage from before a restart; without it, the backlog would be sent in a burst. The breaker opens
    /// for an outage that has not ended, so that the next call is a probe.
    pub(crate) fn restore_outage(&mut self, outage: Outage) {
        let now = self.now;
        let chance = self.random.next_fraction();
        for key in self.routes_to(outage.destination) {
            let Some(route) = self.routes.get_mut(&key) else {
                continue;
            };
            route.record_outage(now, outage.started_at.min(now), chance);
            route.recovery.recovered_at = outage.recovered_at.map(|at| at.min(now));
            if route.recovery.recovered_at.is_none() {
                // In a large fleet, most replicas may be starting at the same time.
                let open_for = route.open_duration(self.replicas, &self.settings.rules, chance);
                let open_until = if self.replicas > SMALL_FLEET {
                    now + open_for
                } else {
                    now
                };
                route.breaker.trip(open_until);
            }
        }
    }
}
