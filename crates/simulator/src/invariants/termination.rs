//! `stop`: a process ends in time after SIGTERM.

use std::time::Duration;

use super::invariant::Invariant;
use super::violation::Violations;
use crate::history::{History, Observation};

/// Time from SIGTERM until the process ends.
const TERMINATION_TIMEOUT: Duration = Duration::from_millis(3700);

pub struct Termination;

impl Invariant for Termination {
    fn observe(
        &mut self,
        history: &History,
        observation: &Observation<'_>,
        violations: &mut Violations,
    ) {
        if !matches!(observation, Observation::Tick) {
            return;
        }
        let requested_at = history.termination_requested_at;
        if let Some(at) = requested_at.filter(|at| *at + TERMINATION_TIMEOUT < history.now) {
            let at = at.as_secs_f64();
            violations.report(
                "stop",
                format!("the process told to stop at {at:.3} goes on"),
            );
        }
    }
}
