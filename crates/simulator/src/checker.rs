//! Checks the invariants of a run by what is observed on sockets and the disk alone.
//!
//! The peers report each request, call, reply, notice and discovery entry as it passes. The checker has no access to the
//! state of the relay or its policy. All times are relative to the start of the simulation. Limits are those of the settings,
//! with a tolerance of 50 ms for data in flight. Observations are recorded in [`crate::history`], and each invariant has its
//! own file in [`crate::invariants`].

mod counts;

use std::ops::Range;
use std::time::Duration;

pub use counts::Counts;

use crate::history::{CallId, History, Idempotency, Limits, Observation, ReceivedCall};
use crate::invariants::returning_destinations::ReturningDestinations;
use crate::invariants::{self, Invariant, Violation, Violations};

/// A relay's history, and its invariants.
struct Lane {
    history: History,
    invariants: Vec<Box<dyn Invariant>>,
}

/// Checks a run: each relay by itself, and all relays together.
pub struct Checker {
    lanes: Vec<Lane>,
    returning_destinations: ReturningDestinations,
    violation: Option<Violation>,
    /// Counts of observations, for the report.
    pub counts: Counts,
}

impl Checker {
    /// A checker with these limits, for a number of relays; zero counts as one.
    #[must_use]
    pub fn new(limits: Limits, relays: usize) -> Self {
        let lane = |_| Lane {
            history: History::new(limits.clone()),
            invariants: invariants::all(),
        };
        Checker {
            lanes: (0..relays.max(1)).map(lane).collect(),
            returning_destinations: ReturningDestinations::default(),
            violation: None,
            counts: Counts::default(),
        }
    }

    /// The first violation so far.
    #[must_use]
    pub fn violation(&self) -> Option<&Violation> {
        self.violation.as_ref()
    }

    /// The idempotency of a submitted message; none if it was not submitted.
    #[must_use]
    pub fn idempotency_of(&self, message_id: &str) -> Option<Idempotency> {
        let mut lanes = self.lanes.iter();
        lanes
            .find_map(|lane| lane.history.messages.get(message_id))
            .map(|message| message.request.idempotency)
    }

    /// Number of messages that were accepted and have not ended.
    #[must_use]
    pub fn open_messages(&self) -> usize {
        self.lanes.iter().map(|lane| lane.history.open.len()).sum()
    }

    /// Passes an observation of a relay to all invariants, and then records it.
    pub fn observe(&mut self, at: Duration, relay: usize, observation: &Observation<'_>) {
        for lane in &mut self.lanes {
            lane.history.now = at;
        }
        let lanes = self.lanes_of(relay, observation);
        let mut violations = Violations::new(at);
        self.returning_destinations.observe(
            self.lanes.iter().map(|lane| &lane.history),
            lanes.start,
            observation,
            &mut violations,
        );
        for lane in &mut self.lanes[lanes] {
            let Lane {
                history,
                invariants,
            } = lane;
            self.counts.count(history, observation);
            for invariant in invariants {
                invariant.observe(history, observation, &mut violations);
            }
            history.record(observation);
        }
        if let Some(violation) = violations.into_first() {
            self.violation.get_or_insert(violation);
        }
    }

    /// The lanes that an observation of a relay concerns.
    fn lanes_of(&self, relay: usize, observation: &Observation<'_>) -> Range<usize> {
        match observation {
            // These concern all relays.
            Observation::DestinationOutage { .. }
            | Observation::Tick
            | Observation::StepLimitExceeded => 0..self.lanes.len(),
            // A host can attribute a call to a relay by the message's id alone.
            Observation::CallReceived { call, .. } => self.lane_of(&call.message_id, relay),
            Observation::ResponseStarted { call, .. }
            | Observation::CallConnectionClosed(call)
            | Observation::ResponseRead(call) => self.lane_of(&call.message_id, relay),
            _ => relay..relay + 1,
        }
    }

    /// The lane of the relay to which a message was submitted, or a default, as a range of one.
    fn lane_of(&self, message_id: &str, default: usize) -> Range<usize> {
        let mut lanes = self.lanes.iter();
        let lane = lanes
            .position(|lane| lane.history.messages.contains_key(message_id))
            .unwrap_or(default);
        lane..lane + 1
    }

    /// Observes that the last byte of a call has arrived at a host. `is_connection_open` returns whether the relay still holds
    /// a connection. Returns none if the message was never submitted.
    pub fn observe_call(
        &mut self,
        at: Duration,
        call: &ReceivedCall,
        is_connection_open: &dyn Fn(u64) -> bool,
    ) -> Option<CallId> {
        let observation = Observation::CallReceived {
            call,
            is_connection_open,
        };
        self.observe(at, 0, &observation);
        let mut lanes = self.lanes.iter();
        let message = lanes.find_map(|lane| lane.history.messages.get(&call.message_id))?;
        Some(CallId {
            message_id: call.message_id.clone(),
            index: message.calls.len() - 1,
        })
    }
}
