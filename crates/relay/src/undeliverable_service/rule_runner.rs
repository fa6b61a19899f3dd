//! Resends records by rules, without an operator: once their partners have recovered, or after a delay.

use policy::types::{AttemptOutcome, Micros};
use runtime::Runtime;
use undeliverable::record::RecordError;
use undeliverable::resend_policy::check_resend;
use undeliverable::rules::{PartnerHealth, Rules};
use undeliverable::{Filter, Record, RecordId};

use super::resend::{Resend, ResendRequest, Resender};
use super::settings::Settings;

/// Maximum number of records that one run examines.
const MAX_EXAMINED_RECORDS: usize = 64;

/// The rules, and the position up to which they have examined the store.
pub struct RuleRunner {
    rules: Rules,
    partners: PartnerHealth,
    /// The last record that was examined; zero if the next run begins with the first record.
    last_examined: RecordId,
}

impl RuleRunner {
    /// Creates a runner with the rules of the settings.
    pub fn new(settings: &Settings) -> Self {
        RuleRunner {
            rules: Rules::new(settings.rules()),
            partners: PartnerHealth::default(),
            last_examined: 0,
        }
    }

    /// Lets the next run begin with the first record.
    pub fn restart_scan(&mut self) {
        self.last_examined = 0;
    }

    /// Records the outcome of an attempt of a message that is not a resend.
    pub fn attempt_ended(&mut self, destination: u16, outcome: AttemptOutcome, now: Micros) {
        if !self.rules.is_empty() {
            let is_delivered = outcome == AttemptOutcome::Delivered;
            self.partners.record_call(destination, is_delivered, now);
        }
    }

    /// Begins the resends that are due.
    pub fn run<R: Runtime>(
        &mut self,
        resender: &mut Resender<R>,
        now: Micros,
        resends: &mut Vec<Resend>,
    ) {
        if self.rules.is_empty() || !self.rules.has_capacity(now) || !resender.has_capacity(resends)
        {
            return;
        }
        let open = Filter::default().only_open();
        let after = self.last_examined;
        let page = resender
            .store
            .access(|store| store.page_after(&open, after, MAX_EXAMINED_RECORDS));
        let Some(page) = page else {
            return;
        };
        self.last_examined = page.next.unwrap_or(0);
        for (id, record) in page.records {
            if !resender.has_capacity(resends) {
                self.last_examined = id - 1;
                return;
            }
            resends.extend(self.resend_record(id, &record, resender, now));
        }
    }

    /// Resends a record if a rule matches and the resend is permitted.
    fn resend_record<R: Runtime>(
        &mut self,
        id: RecordId,
        record: &Record,
        resender: &mut Resender<R>,
        now: Micros,
    ) -> Option<Resend> {
        if resender.is_settling(id) {
            return None;
        }
        let rule = self.rules.matching_rule(record, &self.partners, now)?;
        // Checked first, so that a record that may not be resent does not consume the rule's rate.
        if let Err(blocked) = check_resend(record, &resender.policy_for(id, now)) {
            resender.handle_refusal(id, &RecordError::ResendBlocked(blocked), now);
            return None;
        }
        let sender = self.rules.record_resend(rule, now);
        let request = ResendRequest {
            record: id,
            sender: &sender,
            claimant: &sender,
            version: Some(record.version),
        };
        resender.begin(&request, now).ok()
    }
}
