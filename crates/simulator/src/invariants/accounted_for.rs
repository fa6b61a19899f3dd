//! `accounted for`: each undeliverable message has exactly one record, whose state agrees with what took effect.

use std::collections::{BTreeMap, BTreeSet};

use super::invariant::Invariant;
use super::violation::Violations;
use crate::history::{History, Notice, NoticeStatus, Observation};

const NAME: &str = "accounted for";

#[derive(Default)]
pub struct AccountedFor {
    /// Messages that took effect.
    executed: BTreeSet<String>,
    /// Idempotency keys of these messages. A client that submits a message again uses the same key under another id, and
    /// the partner ignores the second one.
    executed_keys: BTreeSet<String>,
    /// The state of each record, by its message.
    records: BTreeMap<String, String>,
}

impl Invariant for AccountedFor {
    fn observe(
        &mut self,
        history: &History,
        observation: &Observation<'_>,
        violations: &mut Violations,
    ) {
        match observation {
            Observation::EffectApplied { id, .. } => {
                self.executed.insert((*id).into());
                self.executed_keys.extend(key_of(history, id));
            }
            Observation::UndeliverableRecordRead { id, state } => {
                let earlier = self.records.insert((*id).into(), (*state).into());
                if earlier.is_some() {
                    violations.report(NAME, format!("{id} has two records"));
                }
            }
            Observation::AllUndeliverableRecordsRead => self.check_records(history, violations),
            _ => {}
        }
    }
}

fn key_of(history: &History, id: &str) -> Option<String> {
    let message = history.messages.get(id)?;
    message.request.idempotency_key.clone()
}

impl AccountedFor {
    /// Whether a message took effect, or another one with its idempotency key did.
    fn is_executed(&self, history: &History, id: &str) -> bool {
        let key = key_of(history, id);
        self.executed.contains(id) || key.is_some_and(|key| self.executed_keys.contains(&key))
    }

    fn check_records(&self, history: &History, violations: &mut Violations) {
        for (id, message) in &history.messages {
            let is_undeliverable = matches!(
                message.notice,
                Some(Notice {
                    status: NoticeStatus::Undeliverable,
                    ..
                })
            );
            if !is_undeliverable {
                continue;
            }
            match self.records.get(id).map(String::as_str) {
                None if history.limits.undeliverable_store_is_damaged => {}
                None => violations.report(NAME, format!("{id} was given up and has no record")),
                Some("delivered" | "applied-before") if !self.is_executed(history, id) => {
                    violations.report(
                        NAME,
                        format!("{id} is closed as done and never took effect"),
                    );
                }
                Some(_) => {}
            }
        }
    }
}
