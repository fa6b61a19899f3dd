//! `bad input`: malformed input is rejected with an error line or by closing the connection, except around a restart.

use super::invariant::Invariant;
use super::violation::Violations;
use crate::history::{History, Observation};

pub struct MalformedInput;

impl Invariant for MalformedInput {
    fn observe(
        &mut self,
        history: &History,
        observation: &Observation<'_>,
        violations: &mut Violations,
    ) {
        let Observation::MalformedInputChecked {
            sent_at,
            was_rejected: false,
        } = observation
        else {
            return;
        };
        let overlaps_restart = history
            .restarts
            .iter()
            .any(|restart| restart.from <= history.now && *sent_at <= restart.until);
        if !overlaps_restart {
            violations.report(
                "bad input",
                "what can't be read got no error line and no close",
            );
        }
    }
}
