//! `steps`: the simulation makes progress.

use super::invariant::Invariant;
use super::violation::Violations;
use crate::history::{History, Observation};

pub struct StepLimit;

impl Invariant for StepLimit {
    fn observe(
        &mut self,
        _history: &History,
        observation: &Observation<'_>,
        violations: &mut Violations,
    ) {
        if matches!(observation, Observation::StepLimitExceeded) {
            violations.report("steps", "the world needs too many steps");
        }
    }
}
