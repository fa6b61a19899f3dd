//! `drained`: a drained relay closes its client connections and is not ready; a resumed one becomes ready again.

use std::time::Duration;

use super::invariant::Invariant;
use super::tolerance::IN_FLIGHT_TOLERANCE;
use super::violation::Violations;
use crate::history::{History, Observation};

const NAME: &str = "drained";
/// Time from the start of a drain until the relay reports that it is not ready, and holds no client connections.
const DRAIN_TIME: Duration = Duration::from_secs(4);
/// Time from the end of a drain until the relay reports that it is ready.
const RESUME_TIME: Duration = Duration::from_secs(2);

#[derive(Default)]
pub struct DrainedRelay {
    /// When the drain was confirmed; none if the relay is not drained.
    drained_since: Option<Duration>,
    /// When the drain ended; none once the relay has reported that it is ready.
    resumed_since: Option<Duration>,
}

impl Invariant for DrainedRelay {
    fn observe(
        &mut self,
        history: &History,
        observation: &Observation<'_>,
        violations: &mut Violations,
    ) {
        let is_past = |since: Option<Duration>, span: Duration| {
            since.is_some_and(|since| since + span + IN_FLIGHT_TOLERANCE < history.now)
        };
        match observation {
            Observation::DrainingConfirmed(true) => {
                self.drained_since = Some(history.now);
                self.resumed_since = None;
            }
            Observation::ResumeRequested => self.drained_since = None,
            Observation::DrainingConfirmed(false) => {
                self.drained_since = None;
                self.resumed_since = Some(history.now);
            }
            // A new process is not drained, and needs longer to become ready.
            Observation::ProcessTerminated
            | Observation::TerminationRequested
            | Observation::UpgradeStarted(_) => self.resumed_since = None,
            Observation::ProcessStarted(_) => self.drained_since = None,
            Observation::ReadinessProbed(true) => {
                self.resumed_since = None;
                if is_past(self.drained_since, DRAIN_TIME) {
                    violations.report(NAME, "a drained relay says that it takes clients");
                }
            }
            Observation::ReadinessProbed(false) if is_past(self.resumed_since, RESUME_TIME) => {
                violations.report(NAME, "the drain is over, and the relay still says no");
            }
            Observation::ClientConnectionsHeld(connections)
                if is_past(self.drained_since, DRAIN_TIME)
                    && history.termination_requested_at.is_none() =>
            {
                violations.report(
                    NAME,
                    format!("a drained relay holds {connections} connections of clients"),
                );
            }
            _ => {}
        }
    }
}
