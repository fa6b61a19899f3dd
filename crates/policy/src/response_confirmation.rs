//! Response confirmation: to which call a response on a connection belongs.
//!
//! An HTTP/1 response carries no identifier. A host that sends a response twice shifts all later responses of the
//! connection by one, so that each of them seems to answer the call after its own. Only the first response of a
//! connection cannot be the copy of an earlier one. A later response is believed once the connection has been silent for
//! longer than the true response could still take.

use crate::tuning::{
    INITIAL_RESPONSE_WAIT, MAX_RESPONSE_WAIT, MIN_RESPONSE_SAMPLES, MIN_SETTLING_TIME,
    RESPONSE_TIME_SPAN, RESPONSE_WAIT_FACTOR, SURPLUS_QUARANTINE,
};
use crate::types::{AttemptOutcome, Micros};

/// The place of a response on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponsePosition {
    /// The first response of the connection, or one that differs from all earlier ones. It cannot be a copy.
    First,
    /// A later response, which may be a copy of an earlier one.
    Later,
}

/// How the observation of a connection after a response ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettlingEnd {
    /// The connection was silent for the settling time.
    Silent,
    /// The host closed the connection in an orderly way.
    Closed,
    /// The connection was reset, or its responses cannot be told apart.
    Unreadable,
}

/// Whether a call may use a connection that has carried other calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionReuse {
    /// The call may use an idle connection.
    Allowed,
    /// The call may use an idle connection on which every call was delivered. A copy of an earlier response then cannot
    /// make the call look as if it was not executed.
    AfterDeliveries,
    /// The call needs a new connection, which is closed after its response.
    SingleUse,
}

/// The outcome of a call whose response is followed by `surplus` responses on its connection.
///
/// The true response is the reported one or one of the surplus ones. If they differ in whether the call was executed,
/// the call may have been executed.
#[must_use]
pub fn confirmed_outcome(
    position: ResponsePosition,
    reported: AttemptOutcome,
    surplus: &[AttemptOutcome],
    end: SettlingEnd,
) -> AttemptOutcome {
    if position == ResponsePosition::First {
        return reported;
    }
    if end == SettlingEnd::Unreadable {
        return AttemptOutcome::ConnectionLost;
    }
    let candidates = || std::iter::once(reported).chain(surplus.iter().copied());
    let is_delivered = |outcome| outcome == AttemptOutcome::Delivered;
    if candidates().all(is_delivered) || surplus.is_empty() {
        return reported;
    }
    if candidates().any(AttemptOutcome::may_have_executed) {
        return AttemptOutcome::ConnectionLost;
    }
    longest_retry_after(candidates())
}

/// The rejection with the longest wait. None of the outcomes may have been executed.
fn longest_retry_after(outcomes: impl Iterator<Item = AttemptOutcome>) -> AttemptOutcome {
    let wait = |outcome| match outcome {
        AttemptOutcome::Rejected { retry_after } => retry_after,
        _ => 0,
    };
    AttemptOutcome::Rejected {
        retry_after: outcomes.map(wait).max().unwrap_or(0),
    }
}

/// Recent response times of a host, and whether it has sent surplus responses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HostResponses {
    /// Longest response times of the current span and of the one before.
    longest: [Micros; 2],
    /// Numbers of responses in these spans.
    samples: [u64; 2],
    /// Start of the current span.
    span_started_at: Micros,
    /// Time of the last surplus response; `None` if there was none.
    last_surplus_at: Option<Micros>,
    /// Number of surplus responses.
    surplus_count: u64,
}

impl HostResponses {
    /// Records that a call was answered after `elapsed`.
    pub fn record_response(&mut self, now: Micros, elapsed: Micros) {
        let age = now.saturating_sub(self.span_started_at);
        if age >= 2 * RESPONSE_TIME_SPAN {
            self.longest = [0, 0];
            self.samples = [0, 0];
        } else if age >= RESPONSE_TIME_SPAN {
            self.longest = [0, self.longest[0]];
            self.samples = [0, self.samples[0]];
        }
        if age >= RESPONSE_TIME_SPAN {
            self.span_started_at = now;
        }
        self.longest[0] = self.longest[0].max(elapsed);
        self.samples[0] += 1;
    }

    /// Records `count` responses that belong to no call.
    pub fn record_surplus(&mut self, now: Micros, count: u64) {
        self.last_surplus_at = Some(now);
        self.surplus_count += count;
    }

    /// Number of surplus responses since the host was first called.
    #[must_use]
    pub fn surplus_count(&self) -> u64 {
        self.surplus_count
    }

    /// How long a connection must stay silent after a response that came after `elapsed`, before the response is believed
    /// and the connection is used again. Zero for a first response, which is believed at once.
    #[must_use]
    pub fn settling_time(&self, position: ResponsePosition, elapsed: Micros) -> Micros {
        match position {
            ResponsePosition::First => 0,
            ResponsePosition::Later => self
                .response_wait()
                .saturating_sub(elapsed)
                .max(MIN_SETTLING_TIME),
        }
    }

    /// How long after the start of a call its true response is expected at the latest.
    fn response_wait(&self) -> Micros {
        let longest = self.longest[0].max(self.longest[1]);
        let is_representative = self.samples[0] + self.samples[1] >= MIN_RESPONSE_SAMPLES;
        let least = if is_representative {
            MIN_SETTLING_TIME
        } else {
            INITIAL_RESPONSE_WAIT
        };
        (RESPONSE_WAIT_FACTOR * longest).clamp(least, MAX_RESPONSE_WAIT)
    }

    /// Whether a call may use a connection that has carried other calls. `is_repeatable` is false for a call that must
    /// not be executed twice, and `may_wait` for one whose response must be believed at once.
    #[must_use]
    pub fn connection_reuse(
        &self,
        now: Micros,
        is_repeatable: bool,
        may_wait: bool,
    ) -> ConnectionReuse {
        let is_quarantined = self
            .last_surplus_at
            .is_some_and(|at| now < at.saturating_add(SURPLUS_QUARANTINE));
        if is_quarantined || !may_wait {
            ConnectionReuse::SingleUse
        } else if is_repeatable {
            ConnectionReuse::Allowed
        } else {
            ConnectionReuse::AfterDeliveries
        }
    }

    /// Whether the record has no effect on later calls any more.
    #[must_use]
    pub fn is_expired(&self, now: Micros) -> bool {
        let retention = (2 * RESPONSE_TIME_SPAN).max(SURPLUS_QUARANTINE);
        let last_use = self.last_surplus_at.max(Some(self.span_started_at));
        last_use.is_none_or(|at| now >= at.saturating_add(retention))
    }
}
