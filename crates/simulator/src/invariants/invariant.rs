//! What an invariant is.

use super::violation::Violations;
use crate::history::{History, Observation};

/// An invariant of one relay.
pub trait Invariant {
    /// Looks at an observation that the history has not recorded yet, and reports what it violates.
    fn observe(
        &mut self,
        history: &History,
        observation: &Observation<'_>,
        violations: &mut Violations,
    );
}
