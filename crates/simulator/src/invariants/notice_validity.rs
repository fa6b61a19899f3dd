//! `notices`: a notice has a known status and is about a message that was submitted.

use super::invariant::Invariant;
use super::violation::Violations;
use crate::history::{History, NoticeStatus, Observation};

pub struct NoticeValidity;

impl Invariant for NoticeValidity {
    fn observe(
        &mut self,
        history: &History,
        observation: &Observation<'_>,
        violations: &mut Violations,
    ) {
        let Observation::NoticeReceived { id, status } = observation else {
            return;
        };
        if NoticeStatus::parse(status).is_none() {
            violations.report("notices", format!("{id} has the status {status:?}"));
        } else if !history.messages.contains_key(*id) {
            violations.report("notices", format!("of {id}, which nobody handed in"));
        }
    }
}
