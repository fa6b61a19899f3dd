//! Response confirmation: to which call a response on a connection belongs.
//!
//! An HTTP/1 response carries no identifier. A host that sends a response twice shifts all later responses of the
//! connection by one, so that each of them seems to answer the call after its own. Only the first response of a
//! connection cannot be the copy of an earlier one.
//!
//! Three times are told apart. A connection rests after each response, so that a copy right behind it arrives before the
//! next request. A later response is acted on at once, but its message is kept until its connection has been silent for
//! the confirmation time. That time lasts until the limit of the call where the response has the signs of a copy: it
//! repeats an earlier response, and came sooner than its host has ever answered.

use crate::tuning::{
    CONNECTION_REST, INITIAL_RESPONSE_WAIT, MAX_RESPONSE_WAIT, MIN_LEAD, MIN_RESPONSE_SAMPLES,
    MIN_SETTLING_TIME, RESPONSE_TIME_SPAN, RESPONSE_WAIT_FACTOR, SURPLUS_QUARANTINE,
};
use crate::types::{AttemptOutcome, Micros};

/// The place of a response on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponsePosition {
    /// The first response of the connection, or one that differs from all earlier ones. It cannot be a copy.
    First,
    /// A later response, which may be an altered copy of an earlier one.
    Later,
    /// A later response that begins with the same bytes as an earlier one.
    Repeated,
}

/// How far a response is believed to belong to the call that it seems to answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Credibility {
    /// It cannot be a copy.
    Certain,
    /// It may be a copy, but has no sign of one.
    Likely,
    /// A delivery that repeats an earlier response, and came sooner than its host has answered before.
    Doubtful,
}

impl Credibility {
    /// Whether the end of a delivered message may be written before the response is confirmed.
    #[must_use]
    pub fn may_write_end(self) -> bool {
        self != Credibility::Doubtful
    }
}

/// How long the message of a reported response is kept, while its connection is observed for another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfirmationTime {
    /// From the arrival of the response, in microseconds.
    Lasting(Micros),
    /// Until the time limit of the call.
    UntilCallLimit,
}

/// How the observation of a connection after a response ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettlingEnd {
    /// The connection was silent for the settling time.
    Silent,
    /// The host closed the connection in an orderly way.
    Closed,
    /// The connection was reset, or the response broke off.
    Reset,
    /// What followed the response cannot be told apart.
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
/// the call may have been executed. A delivery behind which nothing came is believed however the observation ended: true
/// responses by far outnumber copies whose call is never answered.
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
    let is_delivered = |outcome| outcome == AttemptOutcome::Delivered;
    let is_lost = match end {
        SettlingEnd::Silent | SettlingEnd::Closed => false,
        SettlingEnd::Reset => !is_delivered(reported),
        SettlingEnd::Unreadable => true,
    };
    if is_lost {
        return AttemptOutcome::ConnectionLost;
    }
    let candidates = || std::iter::once(reported).chain(surplus.iter().copied());
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

/// How long a connection is not used again after the head of a response.
#[must_use]
pub fn connection_rest() -> Micros {
    CONNECTION_REST
}

/// Response times of a host, and whether it has sent surplus responses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HostResponses {
    /// Longest response times of the current span and of the one before.
    longest: [Micros; 2],
    /// Numbers of responses in these spans.
    samples: [u64; 2],
    /// Shortest time to a response that reported a delivery and was confirmed; `None` if there was none.
    shortest_delivery: Option<Micros>,
    /// Start of the earliest call since the host last answered one; `None` if it has answered all.
    unanswered_since: Option<Micros>,
    /// Start of the current span.
    span_started_at: Micros,
    /// Time of the last surplus response; `None` if there was none.
    last_surplus_at: Option<Micros>,
    /// Number of surplus responses.
    surplus_count: u64,
}

impl HostResponses {
    /// Records that a call was answered after `elapsed`.
    pub fn record_response(&mut self, now: Micros, credibility: Credibility, elapsed: Micros) {
        let started_at = now.saturating_sub(elapsed);
        let is_earliest = self.unanswered_since == Some(started_at);
        if credibility != Credibility::Doubtful || is_earliest {
            self.unanswered_since = None;
        }
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

    /// Records a response that came after `elapsed`, reported a delivery, and was confirmed.
    pub fn record_confirmed_delivery(&mut self, elapsed: Micros) {
        let shortest = self.shortest_delivery.unwrap_or(elapsed);
        self.shortest_delivery = Some(shortest.min(elapsed));
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

    /// How far a response that came after `elapsed` is believed.
    ///
    /// A copy that left its host before the next request came arrives within one round trip of that request. A true
    /// response takes that and its work.
    #[must_use]
    pub fn credibility(
        &self,
        position: ResponsePosition,
        reported: AttemptOutcome,
        elapsed: Micros,
    ) -> Credibility {
        match position {
            ResponsePosition::First => return Credibility::Certain,
            ResponsePosition::Repeated if reported == AttemptOutcome::Delivered => {}
            ResponsePosition::Repeated | ResponsePosition::Later => return Credibility::Likely,
        }
        match self.shortest_delivery {
            Some(shortest) if elapsed + MIN_LEAD > shortest => Credibility::Likely,
            _ => Credibility::Doubtful,
        }
    }

    /// How long the message of a response is kept that came after `elapsed`.
    #[must_use]
    pub fn confirmation_time(
        &self,
        position: ResponsePosition,
        credibility: Credibility,
        reported: AttemptOutcome,
        elapsed: Micros,
    ) -> ConfirmationTime {
        let is_delivered = reported == AttemptOutcome::Delivered;
        match credibility {
            Credibility::Certain => ConfirmationTime::Lasting(0),
            Credibility::Doubtful => ConfirmationTime::UntilCallLimit,
            Credibility::Likely if is_delivered && position == ResponsePosition::Later => {
                ConfirmationTime::Lasting(CONNECTION_REST)
            }
            Credibility::Likely => ConfirmationTime::Lasting(self.doubt_time(elapsed)),
        }
    }

    /// How long a doubtful response that came after `elapsed` has to stay alone until it becomes likely. The true response
    /// would by far most often have come by then.
    #[must_use]
    pub fn doubt_time(&self, elapsed: Micros) -> Micros {
        let remaining = self.response_wait().saturating_sub(elapsed);
        remaining.max(MIN_SETTLING_TIME)
    }

    /// Records that the request of a call is about to be written.
    pub fn record_call(&mut self, now: Micros) {
        self.unanswered_since.get_or_insert(now);
    }

    /// Whether the host has left a call unanswered for longer than its responses take.
    fn may_hang(&self, now: Micros) -> bool {
        self.unanswered_since
            .is_some_and(|since| now.saturating_sub(since) > self.response_wait())
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
    /// not be executed twice, and `may_wait` for one whose response must be believed at once. A host that may hang gets
    /// new connections: behind a copy, no true response would come.
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
        if is_quarantined || !may_wait || self.may_hang(now) {
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
