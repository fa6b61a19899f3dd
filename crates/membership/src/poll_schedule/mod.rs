//! When to poll discovery, and how long to wait for its response.
//!
//! In push mode an agent on the relay's own machine answers at once and at no cost, and every event that it holds binds
//! the relay immediately: polls are frequent and the backoff stays short. In poll mode all replicas share one discovery
//! service: delays grow with the number of replicas, within the time after which events bind them.

#[cfg(test)]
mod tests;

use std::time::Duration;

use policy::random::RandomFractions;

use crate::{DiscoveryMode, DiscoverySettings};

/// A watch that delivers nothing for this long counts as dead, even if its connection is open: a heartbeat is due every
/// [`HEARTBEAT_INTERVAL`].
pub const WATCH_SILENCE_TIMEOUT: Duration = Duration::from_millis(3500);

/// The platform counts a relay as notified of an event this long after the relay's watch fell silent.
const NOTIFIED_AFTER_SILENCE: Duration = Duration::from_secs(6);

/// Interval at which discovery sends an empty line while nothing changes. A confirmation may therefore be this old.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);

/// The least time that has to remain for discovery's response, its transfer and the relay's own processing.
const RESPONSE_MARGIN: Duration = Duration::from_millis(1500);

/// Push mode: upper bound of the wait for a connection and the response on it.
const PUSH_RESPONSE_TIMEOUT: Duration = Duration::from_millis(750);

/// Push mode: backoff after the first failure.
const PUSH_BACKOFF_MIN: Duration = Duration::from_millis(50);

/// Push mode: upper bound of the backoff.
const PUSH_BACKOFF_MAX: Duration = Duration::from_millis(250);

/// Push mode: the response timeout is at most this fraction of the drain grace.
///
/// With [`PUSH_BACKOFF_GRACE_FRACTION`], whose backoff is jittered by a factor of up to 1.5, the relay receives the
/// response of an agent that recovers within 0.375 + 1.5 × 0.125 = 0.5625 of the grace. The remainder is for the
/// relay's own processing.
const PUSH_RESPONSE_GRACE_FRACTION: f64 = 0.375;

/// Push mode: the backoff is at most this fraction of the drain grace.
const PUSH_BACKOFF_GRACE_FRACTION: f64 = 0.125;

/// A list whose first byte has arrived is complete within this time, and within half of the drain grace.
const LIST_TRANSFER_TIMEOUT: Duration = Duration::from_secs(1);

/// Poll mode: backoff after the first failure, for a single relay.
const POLL_BACKOFF_MIN: Duration = Duration::from_millis(50);

/// Poll mode: upper bound of the backoff, for a single relay.
const POLL_BACKOFF_MAX: Duration = Duration::from_secs(1);

/// Poll mode: upper bound of the wait for a response, for a single relay.
const POLL_RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Poll mode: each further replica adds this to the first backoff and to the period over which first polls are spread,
/// because discovery answers one relay after the other.
const POLL_BACKOFF_MIN_PER_REPLICA: Duration = Duration::from_millis(20);

/// Poll mode: each further replica adds this to the upper bound of the backoff.
const POLL_BACKOFF_MAX_PER_REPLICA: Duration = Duration::from_millis(80);

/// Poll mode: each further replica adds this to the response timeout. An event that a waiting poll misses binds the
/// relay only after that poll was answered.
const POLL_RESPONSE_TIMEOUT_PER_REPLICA: Duration = Duration::from_millis(40);

/// Upper bound of every delay and timeout here, whatever the number of replicas.
const MAX_DELAY: Duration = Duration::from_secs(10);

/// Upper bound of the number of replicas that delays are computed for.
const MAX_REPLICAS: usize = 100_000;

/// Paces one relay's polls of discovery.
///
/// After a start or an outage that affects all replicas at the same time, they would poll discovery together. Replicas
/// with a short timeout would abandon polls that discovery still answers, and rejected replicas would retry together.
/// Delays therefore grow with the number of replicas and are jittered.
pub struct PollSchedule {
    mode: DiscoveryMode,
    /// At least 1 and at most [`MAX_REPLICAS`].
    replicas: u32,
    drain_grace: Duration,
    rng: RandomFractions,
    /// The next backoff, before jitter.
    backoff: Duration,
    last_list_was_bad: bool,
}

impl PollSchedule {
    /// Creates the schedule of one of `settings.replicas` relays, with random numbers from the configured seed.
    #[must_use]
    pub fn new(settings: &DiscoverySettings) -> Self {
        // Inverted, so that the sequence differs from the one that the policy draws from the same seed.
        let rng = RandomFractions::new(!settings.seed);
        let mut schedule = PollSchedule {
            mode: settings.mode,
            replicas: settings.replicas.clamp(1, MAX_REPLICAS) as u32,
            drain_grace: settings.drain_grace,
            rng,
            backoff: Duration::ZERO,
            last_list_was_bad: false,
        };
        schedule.record_success();
        schedule
    }

    /// How changes of the host list reach the relay.
    #[must_use]
    pub fn mode(&self) -> DiscoveryMode {
        self.mode
    }

    /// Whether an agent pushes changes, instead of the replicas polling a shared service.
    #[must_use]
    pub fn is_push(&self) -> bool {
        self.mode == DiscoveryMode::Push
    }

    /// In poll mode, the maximum age of a list's confirmation with which a starting process may use the list.
    ///
    /// Within this age, no event after that confirmation binds the process before its first poll is answered.
    pub(crate) fn confirmation_lifetime(settings: &DiscoverySettings) -> Duration {
        let grace = settings.drain_grace;
        let binds_after = NOTIFIED_AFTER_SILENCE + grace;
        binds_after.saturating_sub(grace / 2 + RESPONSE_MARGIN + HEARTBEAT_INTERVAL)
    }

    /// How long a process waits before its first poll. In poll mode the delay is drawn at random, to spread the replicas.
    pub fn initial_delay(&mut self) -> Duration {
        match self.mode {
            DiscoveryMode::Push => Duration::ZERO,
            DiscoveryMode::Poll => (POLL_BACKOFF_MIN_PER_REPLICA * (self.replicas - 1))
                .min(self.drain_grace / 2)
                .mul_f64(self.rng.next_fraction()),
        }
    }

    /// How long to wait for a connection and the start of the response.
    #[must_use]
    pub fn response_timeout(&self) -> Duration {
        match self.mode {
            DiscoveryMode::Push => {
                PUSH_RESPONSE_TIMEOUT.min(self.drain_grace.mul_f64(PUSH_RESPONSE_GRACE_FRACTION))
            }
            DiscoveryMode::Poll => {
                self.scaled_by_replicas(POLL_RESPONSE_TIMEOUT, POLL_RESPONSE_TIMEOUT_PER_REPLICA)
            }
        }
    }

    /// How long the transfer of a list may take once it has begun.
    #[must_use]
    pub fn transfer_timeout(&self) -> Duration {
        LIST_TRANSFER_TIMEOUT.min(self.drain_grace / 2)
    }

    /// Records that discovery has sent something usable, which resets the backoff.
    pub fn record_success(&mut self) {
        self.backoff = self.min_backoff();
        self.last_list_was_bad = false;
    }

    /// How long to wait before requesting a full snapshot after a list that was invalid or stale.
    ///
    /// The events in such a list bind the relay although it could not use them, so the first request follows at once.
    /// Further ones back off, so that a series of bad lists does not cause a flood of requests.
    pub fn next_delay_after_bad_list(&mut self) -> Duration {
        let is_first = !std::mem::replace(&mut self.last_list_was_bad, true);
        if is_first {
            Duration::ZERO
        } else {
            self.next_delay()
        }
    }

    /// How long to wait before the next poll. The backoff doubles with each call until [`record_success`] resets it.
    ///
    /// A single relay waits for exactly the backoff; with several replicas the delay is random, between 0.5 and 1.5
    /// times the backoff.
    ///
    /// [`record_success`]: PollSchedule::record_success
    pub fn next_delay(&mut self) -> Duration {
        let backoff = self.backoff;
        self.backoff = (backoff * 2).min(self.max_backoff());
        if self.replicas < 2 {
            return backoff;
        }
        backoff
            .mul_f64(0.5 + self.rng.next_fraction())
            .min(MAX_DELAY)
    }

    fn min_backoff(&self) -> Duration {
        match self.mode {
            DiscoveryMode::Push => PUSH_BACKOFF_MIN.min(self.max_backoff()),
            DiscoveryMode::Poll => self
                .scaled_by_replicas(POLL_BACKOFF_MIN, POLL_BACKOFF_MIN_PER_REPLICA)
                .min(self.max_backoff_before_events_bind()),
        }
    }

    fn max_backoff(&self) -> Duration {
        match self.mode {
            DiscoveryMode::Push => {
                PUSH_BACKOFF_MAX.min(self.drain_grace.mul_f64(PUSH_BACKOFF_GRACE_FRACTION))
            }
            DiscoveryMode::Poll => self
                .scaled_by_replicas(POLL_BACKOFF_MAX, POLL_BACKOFF_MAX_PER_REPLICA)
                .min(self.max_backoff_before_events_bind()),
        }
    }

    /// In poll mode, the longest backoff after a watch fell silent that still leaves time for a response before the
    /// events that the watch missed bind the relay. The factor compensates for jitter, which adds up to half of
    /// the backoff.
    fn max_backoff_before_events_bind(&self) -> Duration {
        (NOTIFIED_AFTER_SILENCE + self.drain_grace)
            .saturating_sub(WATCH_SILENCE_TIMEOUT + RESPONSE_MARGIN)
            .mul_f64(2.0 / 3.0)
    }

    fn scaled_by_replicas(&self, base: Duration, per_further_replica: Duration) -> Duration {
        (base + per_further_replica * (self.replicas - 1)).min(MAX_DELAY)
    }
}
