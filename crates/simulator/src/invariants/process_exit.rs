//! `crash`: a process exits only after it was asked to terminate, and without an error.

use super::invariant::Invariant;
use super::violation::Violations;
use crate::history::{History, Observation};

pub struct ProcessExit;

impl Invariant for ProcessExit {
    fn observe(
        &mut self,
        history: &History,
        observation: &Observation<'_>,
        violations: &mut Violations,
    ) {
        match observation {
            Observation::ProcessExited(Err(line)) => {
                violations.report("crash", format!("the relay ended: {line}"));
            }
            Observation::ProcessExited(Ok(())) if history.termination_requested_at.is_none() => {
                violations.report("crash", "the relay ended without being told to");
            }
            _ => {}
        }
    }
}
