//! Rules by which records are resent automatically: on the recovery of their partner, or after a delay.

use std::collections::{BTreeMap, VecDeque};

use crate::filter::Filter;
use crate::record::{Record, RecordState};
use crate::Micros;

/// Consecutive deliveries after which a partner counts as recovered.
const RECOVERY_DELIVERIES: usize = 3;
/// The window of a rule's rate.
const RATE_WINDOW: Micros = 60_000_000;

/// When a rule resends a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RuleTrigger {
    /// Once its partner has accepted three consecutive live calls since the record's last attempt.
    Recovered,
    /// This delay after it was given up; each further resend is due one delay later.
    After(Micros),
}

/// A rule from the operator's settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Rule {
    /// Its name.
    pub name: String,
    /// The records that it resends.
    pub filter: Filter,
    /// When it resends them.
    pub when: RuleTrigger,
    /// Maximum resends in a minute.
    pub per_minute: u32,
    /// Maximum resends of a record, whoever requested them.
    pub resends: u32,
}

/// The health of partners by live calls alone. Resends do not count, as one delivery would release all others.
#[derive(Debug, Default)]
pub struct PartnerHealth {
    /// By destination: when the latest deliveries since the last failure ended, at most [`RECOVERY_DELIVERIES`].
    deliveries: BTreeMap<u16, VecDeque<Micros>>,
}

impl PartnerHealth {
    /// A live call has ended, with or without delivery.
    pub fn record_call(&mut self, destination: u16, delivered: bool, now: Micros) {
        let deliveries = self.deliveries.entry(destination).or_default();
        if !delivered {
            deliveries.clear();
            return;
        }
        deliveries.push_back(now);
        while deliveries.len() > RECOVERY_DELIVERIES {
            deliveries.pop_front();
        }
    }

    /// Since when a partner is recovered: the earliest of its last three consecutive deliveries. None if it has fewer.
    #[must_use]
    pub fn healthy_since(&self, destination: u16) -> Option<Micros> {
        self.deliveries
            .get(&destination)
            .filter(|deliveries| deliveries.len() >= RECOVERY_DELIVERIES)?
            .front()
            .copied()
    }
}

/// A rule and its resends within the last [`RATE_WINDOW`].
#[derive(Debug)]
struct ActiveRule {
    rule: Rule,
    resent_at: VecDeque<Micros>,
}

/// The rules in force, in the order of the settings.
#[derive(Debug, Default)]
pub struct Rules {
    rules: Vec<ActiveRule>,
}

impl Rules {
    /// Rules that have not resent anything yet.
    #[must_use]
    pub fn new(rules: Vec<Rule>) -> Self {
        Rules {
            rules: rules
                .into_iter()
                .map(|rule| ActiveRule {
                    rule,
                    resent_at: VecDeque::new(),
                })
                .collect(),
        }
    }

    /// Whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rules.is_empty()
    }

    /// Whether the rate of any rule allows a resend now.
    pub fn has_capacity(&mut self, now: Micros) -> bool {
        self.rules.iter_mut().any(|active| active.has_capacity(now))
    }

    /// The index of the first rule that resends this record now.
    pub fn matching_rule(
        &mut self,
        record: &Record,
        partners: &PartnerHealth,
        now: Micros,
    ) -> Option<usize> {
        if record.state != RecordState::Open {
            return None;
        }
        let last_attempt = record
            .attempts
            .iter()
            .map(|attempt| attempt.sent)
            .max()
            .unwrap_or(0)
            .max(record.given_up_at);
        self.rules.iter_mut().position(|active| {
            let rule = &active.rule;
            let is_due = match rule.when {
                RuleTrigger::Recovered => partners
                    .healthy_since(record.origin.destination)
                    .is_some_and(|since| since > last_attempt),
                RuleTrigger::After(delay) => {
                    let delays = u64::from(record.resends) + 1;
                    now >= record
                        .given_up_at
                        .saturating_add(delay.saturating_mul(delays))
                }
            };
            is_due
                && record.resends < rule.resends
                && rule.filter.matches(record)
                && active.has_capacity(now)
        })
    }

    /// The rule at this index has resent a record. Returns who did, as [`RecordState::Sending`] names it.
    pub fn record_resend(&mut self, rule: usize, now: Micros) -> String {
        let Some(active) = self.rules.get_mut(rule) else {
            return String::new();
        };
        active.resent_at.push_back(now);
        format!("rule {}", active.rule.name)
    }
}

impl ActiveRule {
    /// Whether the rate allows a resend now; forgets the resends that have left the window.
    fn has_capacity(&mut self, now: Micros) -> bool {
        // When the clock was set back, a resend in the future counts as one of now.
        for resent_at in &mut self.resent_at {
            *resent_at = (*resent_at).min(now);
        }
        while self
            .resent_at
            .front()
            .is_some_and(|resent_at| resent_at.saturating_add(RATE_WINDOW) <= now)
        {
            self.resent_at.pop_front();
        }
        (self.resent_at.len() as u32) < self.rule.per_minute
    }
}

#[cfg(test)]
mod tests;
