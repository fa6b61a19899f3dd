//! `door`: requests to the control socket get a response before the client's timeout.

use super::invariant::Invariant;
use super::violation::Violations;
use crate::history::{History, Observation};

pub struct ControlSocket;

impl Invariant for ControlSocket {
    fn observe(
        &mut self,
        _history: &History,
        observation: &Observation<'_>,
        violations: &mut Violations,
    ) {
        if matches!(observation, Observation::ControlCallTimedOut) {
            violations.report("door", "a call got no answer within its time");
        }
    }
}
