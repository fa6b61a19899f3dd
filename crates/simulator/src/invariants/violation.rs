//! Violations of invariants.

use std::fmt;
use std::time::Duration;

/// A violation of an invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The invariant's name.
    pub invariant: &'static str,
    /// When it was detected, since the start of the simulation.
    pub at: Duration,
    /// What happened.
    pub description: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:.6}: {}: {}",
            self.at.as_secs_f64(),
            self.invariant,
            self.description
        )
    }
}

/// The violations that one observation has caused. Only the first is kept, of one relay and of all relays each.
pub struct Violations {
    at: Duration,
    of_one_relay: Option<Violation>,
    of_all_relays: Option<Violation>,
}

impl Violations {
    /// No violations yet, for an observation at this time.
    #[must_use]
    pub fn new(at: Duration) -> Self {
        Violations {
            at,
            of_one_relay: None,
            of_all_relays: None,
        }
    }

    /// Reports a violation of an invariant of one relay.
    pub fn report(&mut self, invariant: &'static str, description: impl Into<String>) {
        let violation = self.violation(invariant, description.into());
        self.of_one_relay.get_or_insert(violation);
    }

    /// Reports a violation of an invariant of all relays together.
    pub fn report_of_all_relays(&mut self, invariant: &'static str, description: String) {
        let violation = self.violation(invariant, description);
        self.of_all_relays.get_or_insert(violation);
    }

    fn violation(&self, invariant: &'static str, description: String) -> Violation {
        Violation {
            invariant,
            at: self.at,
            description,
        }
    }

    /// The violation to report: the first of one relay, or else the first of all relays together.
    #[must_use]
    pub fn into_first(self) -> Option<Violation> {
        self.of_one_relay.or(self.of_all_relays)
    }
}
