//! Tests of the automatic resend rules.

use super::*;
use crate::record::Idempotency;
use crate::test_records::{attempt, record};

fn rule(trigger: RuleTrigger) -> Rule {
    Rule {
        name: "r".into(),
        filter: Filter::default(),
        trigger,
        per_minute: 2,
        max_resends: 3,
    }
}

#[test]
fn partner_is_recovered_after_three_consecutive_deliveries_since_the_last_attempt() {
    let (mut partners, mut rules) = (
        PartnerHealth::default(),
        Rules::new(vec![rule(RuleTrigger::Recovered)]),
    );
    let record = record(Idempotency::Idempotent, vec![attempt(6_000_000, false)]);
    for at in [7_000_000, 7_100_000] {
        partners.record_call(3, true, at);
    }
    assert_eq!(rules.matching_rule(&record, &partners, 8_000_000), None);
    partners.record_call(3, false, 7_200_000);
    for at in [5_900_000, 7_400_000, 7_500_000] {
        partners.record_call(3, true, at);
    }
    assert_eq!(
        rules.matching_rule(&record, &partners, 8_000_000),
        None,
        "one of the three deliveries precedes the last attempt"
    );
    partners.record_call(3, true, 7_600_000);
    assert_eq!(rules.matching_rule(&record, &partners, 8_000_000), Some(0));
    partners.record_call(4, false, 7_700_000);
    assert_eq!(
        rules.matching_rule(&record, &partners, 8_000_000),
        Some(0),
        "a failure of another partner has no effect"
    );
}

#[test]
fn each_resend_waits_another_delay_and_rule_respects_its_rate() {
    let (partners, mut rules) = (
        PartnerHealth::default(),
        Rules::new(vec![rule(RuleTrigger::After(10_000_000))]),
    );
    let mut record = record(Idempotency::Idempotent, Vec::new());
    assert_eq!(rules.matching_rule(&record, &partners, 14_999_999), None);
    assert_eq!(rules.matching_rule(&record, &partners, 15_000_000), Some(0));
    assert_eq!(rules.record_resend(0, 15_000_000), "rule r");
    record.begin_resend("rule r", 15_000_000);
    assert_eq!(
        rules.matching_rule(&record, &partners, 99_000_000),
        None,
        "a resend is in flight"
    );
    record.reopen_after_resend(Vec::new(), None, Some(0));
    assert_eq!(rules.matching_rule(&record, &partners, 24_999_999), None);
    assert_eq!(rules.matching_rule(&record, &partners, 25_000_000), Some(0));
    rules.record_resend(0, 25_000_000);
    assert!(!rules.has_capacity(25_000_001));
    assert_eq!(
        rules.matching_rule(&record, &partners, 26_000_000),
        None,
        "the rate is two resends per minute"
    );
    assert!(
        !rules.has_capacity(1_000_000),
        "a backward clock step restores no capacity"
    );
    assert!(rules.has_capacity(61_000_001));
    (0..2).for_each(|_| {
        record.begin_resend("x", 0);
        record.abort_resend();
    });
    assert_eq!(
        rules.matching_rule(&record, &partners, 999_000_000),
        None,
        "the rule's maximum of resends is reached"
    );
}
