//! `applied once`: a message that is not idempotent takes effect at most once, whoever sends it again.

use super::invariant::Invariant;
use super::violation::Violations;
use crate::history::{History, Idempotency, Observation};

pub struct SingleEffect;

impl Invariant for SingleEffect {
    fn observe(
        &mut self,
        history: &History,
        observation: &Observation<'_>,
        violations: &mut Violations,
    ) {
        let Observation::EffectApplied { id, times } = observation else {
            return;
        };
        let Some(message) = history.messages.get(*id) else {
            return;
        };
        if *times > 1 && message.request.idempotency != Idempotency::Idempotent {
            violations.report(
                "applied once",
                format!("{id} took effect for the time {times}"),
            );
        }
    }
}
