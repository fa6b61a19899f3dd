//! The interface of invariants.

use super::violation::Violations;
use crate::history::{History, Observation};

/// An invariant that is checked for one relay.
pub trait Invariant {
    /// Checks an observation that the history has not recorded yet, and reports violations.
    fn observe(
        &mut self,
        history: &History,
        observation: &Observation<'_>,
        violations: &mut Violations,
    );
}
