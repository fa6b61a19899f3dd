//! Rules that resend records automatically, when their partner has recovered or after a delay.

use std::collections::{BTreeMap, VecDeque};

use crate::filter::Filter;
use crate::record::{Record, RecordState};
use crate::Micros;

/// Consecutive deliveries after which a partner counts as recovered.
const RECOVERY_DELIVERIES: usize = 3;
/// The window over which a rule's rate is counted, in microseconds.
const RATE_WINDOW: Micros = 60_000_000;

/// When a rule resends a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RuleTrigger {
    /// Once the partner has accepted three consecutive live calls since the record's last attempt.
    Recovered,
    /// This long after the message was given up, in microseconds; each further resend is due one such delay later.
    After(Micros),
}

/// A rule from the operator's settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Rule {
    /// The name under which the rule resends records.
    pub name: String,
    /// Selects the records to resend.
    pub filter: Filter,
    /// When a selected record is resent.
    pub trigger: RuleTrigger,
    /// Maximum resends per minute.
    pub per_minute: u32,
    /// Maximum resends of one record, including those by operators, batches and other rules.
    pub max_resends: u32,
}

/// The health of partners, judged by live calls only. Resends do not count: otherwise a delivered resend would trigger
/// all others.
#[derive(Debug, Default)]
pub struct PartnerHealth {
    /// By destination: when the latest deliveries since the last failure ended, at most [`RECOVERY_DELIVERIES`].
    deliveries: BTreeMap<u16, VecDeque<Micros>>,
}

impl PartnerHealth {
    /// Records the end of a live call, with or without delivery.
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

    /// The time since which a partner counts as recovered: the earliest of its last three consecutive deliveries. None
    /// if there are fewer.
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
    /// Activates rules, with no resends counted against their rates.
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

    /// Whether no rule is configured.
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
            let is_due = match rule.trigger {
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
                && record.resends < rule.max_resends
                && rule.filter.matches(record)
                && active.has_capacity(now)
        })
    }

    /// Counts a resend against the rate of the rule at this index. Returns the sender's name in
    /// [`RecordState::Sending`].
    pub fn record_resend(&mut self, rule: usize, now: Micros) -> String {
        let Some(active) = self.rules.get_mut(rule) else {
            return String::new();
        };
        active.resent_at.push_back(now);
        format!("rule {}", active.rule.name)
    }
}

impl ActiveRule {
    /// Whether the rate permits a resend now. Removes the resends that have left the window.
    fn has_capacity(&mut self, now: Micros) -> bool {
        // If the clock was set back, a resend dated in the future counts as having been sent now.
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
