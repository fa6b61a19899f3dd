//! Records that are sent again by themselves: on the recovery of their partner, or after a time.

use std::collections::{BTreeMap, VecDeque};

use crate::filter::Filter;
use crate::record::{Record, RecordState};
use crate::Micros;

/// Good calls in a row by which a partner counts as recovered.
const RECOVERED: usize = 3;
/// Spans that are looked back for a rule's rate.
const MINUTE: Micros = 60_000_000;

/// When a rule sends a record again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RuleTrigger {
    /// Once its partner has taken three other calls in a row since the record's last attempt.
    Recovered,
    /// So long after it was given up; each resend waits as long again.
    After(Micros),
}

/// A rule that an operator has set.
#[derive(Clone, Debug, PartialEq)]
pub struct Rule {
    /// Its name.
    pub name: String,
    /// Which records.
    pub filter: Filter,
    /// When.
    pub when: RuleTrigger,
    /// So many a minute at most.
    pub per_minute: u32,
    /// Resends of a record at most, whoever made them.
    pub resends: u32,
}

/// How partners do, by live calls alone: resends don't count, or one that came through would let all go.
#[derive(Debug, Default)]
pub struct PartnerHealth {
    /// Moments of the last good calls since the last bad one.
    good: BTreeMap<u16, VecDeque<Micros>>,
}

impl PartnerHealth {
    /// A live call has ended.
    pub fn record_call(&mut self, destination: u16, good: bool, now: Micros) {
        let row = self.good.entry(destination).or_default();
        if !good {
            row.clear();
            return;
        }
        row.push_back(now);
        while row.len() > RECOVERED {
            row.pop_front();
        }
    }

    /// Since when a partner is well; none if it is not, or not known to be.
    #[must_use]
    pub fn healthy_since(&self, destination: u16) -> Option<Micros> {
        self.good
            .get(&destination)
            .filter(|row| row.len() >= RECOVERED)?
            .front()
            .copied()
    }
}

/// The rules in force, with what each has sent lately.
#[derive(Debug, Default)]
pub struct Rules {
    rules: Vec<(Rule, VecDeque<Micros>)>,
}

impl Rules {
    /// These rules.
    #[must_use]
    pub fn new(rules: Vec<Rule>) -> Self {
        Rules {
            rules: rules
                .into_iter()
                .map(|rule| (rule, VecDeque::new()))
                .collect(),
        }
    }

    /// Whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rules.is_empty()
    }

    /// Whether any rule has room for one more now.
    pub fn has_capacity(&mut self, now: Micros) -> bool {
        self.rules
            .iter_mut()
            .any(|(rule, sent)| room(rule, sent, now))
    }

    /// The first rule that sends a record now, by its place.
    pub fn matching_rule(
        &mut self,
        record: &Record,
        partners: &PartnerHealth,
        now: Micros,
    ) -> Option<usize> {
        if record.state != RecordState::Open {
            return None;
        }
        let last = record
            .attempts
            .iter()
            .map(|attempt| attempt.sent)
            .max()
            .unwrap_or(0)
            .max(record.given_up_at);
        self.rules.iter_mut().position(|(rule, sent)| {
            let due = match rule.when {
                RuleTrigger::Recovered => partners
                    .healthy_since(record.origin.destination)
                    .is_some_and(|since| since > last),
                RuleTrigger::After(span) => {
                    let times = u64::from(record.resends) + 1;
                    now >= record
                        .given_up_at
                        .saturating_add(span.saturating_mul(times))
                }
            };
            due && record.resends < rule.resends
                && rule.filter.matches(record)
                && room(rule, sent, now)
        })
    }

    /// A rule has sent a record; returns who sent it, as the record's state names it.
    pub fn record_resend(&mut self, rule: usize, now: Micros) -> String {
        let Some((rule, sent)) = self.rules.get_mut(rule) else {
            return String::new();
        };
        sent.push_back(now);
        format!("rule {}", rule.name)
    }
}

fn room(rule: &Rule, sent: &mut VecDeque<Micros>, now: Micros) -> bool {
    // Of a clock that was set back what was sent later counts as sent now.
    sent.iter_mut().for_each(|at| *at = (*at).min(now));
    while sent
        .front()
        .is_some_and(|at| at.saturating_add(MINUTE) <= now)
    {
        sent.pop_front();
    }
    (sent.len() as u32) < rule.per_minute
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::record::Idempotency;
    use crate::test_records::{attempt, record};

    fn rule(when: RuleTrigger) -> Rule {
        Rule {
            name: "r".into(),
            filter: Filter::default(),
            when,
            per_minute: 2,
            resends: 3,
        }
    }

    #[test]
    fn a_partner_is_well_after_three_good_calls_in_a_row_since_the_records_last_attempt() {
        let (mut partners, mut rules) = (
            PartnerHealth::default(),
            Rules::new(vec![rule(RuleTrigger::Recovered)]),
        );
        let one = record(Idempotency::Idempotent, vec![attempt(6_000_000, false)]);
        for at in [7_000_000, 7_100_000] {
            partners.record_call(3, true, at);
        }
        assert_eq!(rules.matching_rule(&one, &partners, 8_000_000), None);
        partners.record_call(3, false, 7_200_000);
        for at in [5_900_000, 7_400_000, 7_500_000] {
            partners.record_call(3, true, at);
        }
        assert_eq!(
            rules.matching_rule(&one, &partners, 8_000_000),
            None,
            "one of them was before the last attempt"
        );
        partners.record_call(3, true, 7_600_000);
        assert_eq!(rules.matching_rule(&one, &partners, 8_000_000), Some(0));
        partners.record_call(4, false, 7_700_000);
        assert_eq!(
            rules.matching_rule(&one, &partners, 8_000_000),
            Some(0),
            "another partner's trouble"
        );
    }

    #[test]
    fn each_resend_waits_as_long_again_and_a_rule_keeps_its_rate() {
        let (partners, mut rules) = (
            PartnerHealth::default(),
            Rules::new(vec![rule(RuleTrigger::After(10_000_000))]),
        );
        let mut one = record(Idempotency::Idempotent, Vec::new());
        assert_eq!(rules.matching_rule(&one, &partners, 14_999_999), None);
        assert_eq!(rules.matching_rule(&one, &partners, 15_000_000), Some(0));
        assert_eq!(rules.record_resend(0, 15_000_000), "rule r");
        one.begin_resend("rule r", 15_000_000);
        assert_eq!(
            rules.matching_rule(&one, &partners, 99_000_000),
            None,
            "it is out"
        );
        one.reopen_after_resend(Vec::new(), None);
        assert_eq!(rules.matching_rule(&one, &partners, 24_999_999), None);
        assert_eq!(rules.matching_rule(&one, &partners, 25_000_000), Some(0));
        rules.record_resend(0, 25_000_000);
        assert!(!rules.has_capacity(25_000_001));
        assert_eq!(
            rules.matching_rule(&one, &partners, 26_000_000),
            None,
            "two a minute"
        );
        assert!(
            !rules.has_capacity(1_000_000),
            "a clock that is set back frees nothing"
        );
        assert!(rules.has_capacity(61_000_001));
        (0..2).for_each(|_| {
            one.begin_resend("x", 0);
            one.abort_resend();
        });
        assert_eq!(
            rules.matching_rule(&one, &partners, 999_000_000),
            None,
            "resent as often as the rule wants"
        );
    }
}
