//! Whether a message may be sent again.
//!
//! | effect | an attempt may have run | may go |
//! | --- | --- | --- |
//! | safe | either | yes |
//! | keyed, unsafe | no | yes |
//! | keyed | yes, and its destination remembers the key | yes, with the same key, while that lasts |
//! | keyed | yes, and the key may be forgotten | as an unsafe one |
//! | unsafe | yes | with the partner's word `not applied`, asked after the last attempt had come to its end, or with two operators' |
//!
//! `applied`, by the partner or by two operators, closes the record as applied before. Where statements on the same
//! resend contradict each other, nothing goes until two operators agree after the last of them.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::record::{Attestation, Attester, ExecutionClaim, Idempotency, Record};
use crate::Micros;

/// Operators who must agree.
const OPERATORS: usize = 2;

/// The figures by which is decided.
#[derive(Clone, Copy, Debug)]
pub struct ResendPolicy {
    /// Now, in Unix time.
    pub now: Micros,
    /// A key is taken for forgotten so long before its time, so that a call still comes in time.
    pub key_expiry_margin: Micros,
    /// An attempt may still be running for so long after it was sent; a word that was asked for sooner says nothing.
    pub settle_time: Micros,
    /// A partner's word is believed for so long.
    pub attestation_validity: Micros,
    /// Resends of one record at most.
    pub max_resends: u32,
}

/// How a message may go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResendPermit {
    /// As one that has never run.
    AsNew,
    /// With its key, as one that may have run at this moment first: not after the key's memory has ended.
    Keyed {
        /// When the first attempt that may have run was sent.
        first: Micros,
    },
}

/// What is missing, or why it never goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ResendBlocked {
    /// The partner's word, or two operators'.
    NeedsAttestation,
    /// Statements contradict each other: two operators' after the last of them.
    NeedsAgreement,
    /// Another operator's statement beside the one there is.
    NeedsSecondOperator,
    /// It has taken effect: the record is to be closed.
    Applied,
    /// It was sent again as often as may be.
    ResendsExhausted,
}

impl ResendBlocked {
    /// Its word.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            ResendBlocked::NeedsAttestation => "needs-word",
            ResendBlocked::NeedsAgreement => "needs-agreement",
            ResendBlocked::NeedsSecondOperator => "needs-second-operator",
            ResendBlocked::Applied => "applied",
            ResendBlocked::ResendsExhausted => "resends-spent",
        }
    }
}

impl fmt::Display for ResendBlocked {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ResendBlocked::NeedsAttestation => {
                "it may have taken effect; the partner's word or two operators' is needed"
            }
            ResendBlocked::NeedsAgreement => {
                "what was said of it is contradictory; two operators have to agree"
            }
            ResendBlocked::NeedsSecondOperator => {
                "another operator's word is needed beside the first"
            }
            ResendBlocked::Applied => "it has taken effect",
            ResendBlocked::ResendsExhausted => "it was sent again as often as may be",
        })
    }
}

/// Whether a message may be sent again now.
///
/// # Errors
///
/// The [`ResendBlocked`] that has to be met first.
pub fn check_resend(record: &Record, terms: &ResendPolicy) -> Result<ResendPermit, ResendBlocked> {
    // What is known to have taken effect never goes, whatever its class.
    let word = word(record, terms);
    if word == Err(ResendBlocked::Applied) {
        return Err(ResendBlocked::Applied);
    }
    if record.resends >= terms.max_resends {
        return Err(ResendBlocked::ResendsExhausted);
    }
    let first = record
        .attempts
        .iter()
        .find(|attempt| attempt.may_have_run)
        .map(|attempt| attempt.sent);
    match (record.idempotency, first) {
        (_, None) | (Idempotency::Idempotent, _) => Ok(ResendPermit::AsNew),
        (Idempotency::Keyed { window }, Some(first)) if remembered(first, window, terms) => {
            Ok(ResendPermit::Keyed { first })
        }
        _ => word.map(|()| ResendPermit::AsNew),
    }
}

/// A clock that was set back to before the first attempt says nothing of how old that is.
fn remembered(first: Micros, window: Micros, terms: &ResendPolicy) -> bool {
    terms.now >= first
        && terms.now.saturating_add(terms.key_expiry_margin) < first.saturating_add(window)
}

/// Whether it is known that no attempt took effect.
fn word(record: &Record, terms: &ResendPolicy) -> Result<(), ResendBlocked> {
    let doubt = record
        .attempts
        .iter()
        .filter(|attempt| attempt.may_have_run);
    let settled = doubt
        .map(|attempt| attempt.sent.saturating_add(terms.settle_time))
        .max()
        .unwrap_or(0);
    // What was said before the last resend, or while an attempt could still run, does not cover what came after;
    // but an effect does not go away again.
    let counts = |statement: &&Attestation| {
        let covers = statement.resends == record.resends
            && statement.at >= settled
            && statement.at <= terms.now;
        statement.claim == ExecutionClaim::Applied
            || covers && statement.claim == ExecutionClaim::NotApplied
    };
    let all: Vec<&Attestation> = record.attestations.iter().filter(counts).collect();
    let operators = |from: usize, says: ExecutionClaim| {
        let mut names: Vec<&str> = all[from..]
            .iter()
            .filter(|statement| statement.claim == says)
            .filter_map(|statement| match &statement.attester {
                Attester::Operator(name) => Some(name.as_str()),
                Attester::Partner => None,
            })
            .collect();
        names.sort_unstable();
        names.dedup();
        names.len()
    };
    let last_partner = all
        .iter()
        .rposition(|statement| statement.attester == Attester::Partner);
    let (applied, not) = (ExecutionClaim::Applied, ExecutionClaim::NotApplied);
    let says = |says: ExecutionClaim| all.iter().any(|statement| statement.claim == says);
    match (says(applied), says(not)) {
        (false, false) => Err(ResendBlocked::NeedsAttestation),
        (true, true) => {
            // After the last word of a partner, or the last change of mind, two operators decide.
            let turn = all
                .windows(2)
                .rposition(|two| two[0].claim != two[1].claim)
                .map_or(0, |at| at + 1);
            let from = turn.max(last_partner.map_or(0, |at| at + 1)).min(all.len());
            match (
                operators(from, applied) >= OPERATORS,
                operators(from, not) >= OPERATORS,
            ) {
                (true, _) => Err(ResendBlocked::Applied),
                (_, true) => Ok(()),
                _ => Err(ResendBlocked::NeedsAgreement),
            }
        }
        (true, false) => {
            if last_partner.is_some() || operators(0, applied) >= OPERATORS {
                Err(ResendBlocked::Applied)
            } else {
                Err(ResendBlocked::NeedsSecondOperator)
            }
        }
        (false, true) => {
            let partner = last_partner.map(|at| all[at]);
            let fresh = partner.is_some_and(|word| {
                word.at.saturating_add(terms.attestation_validity) >= terms.now
            });
            match fresh || operators(0, not) >= OPERATORS {
                true => Ok(()),
                false if partner.is_some() => Err(ResendBlocked::NeedsAttestation),
                false => Err(ResendBlocked::NeedsSecondOperator),
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::record::tests::{attempt, record};
    use crate::record::Attempt;
    use proptest::prelude::*;

    const S: Micros = 1_000_000;
    const KEYED: Idempotency = Idempotency::Keyed { window: 6 * S };

    fn terms(now: Micros) -> ResendPolicy {
        ResendPolicy {
            now,
            key_expiry_margin: S,
            settle_time: 2 * S,
            attestation_validity: 60 * S,
            max_resends: 5,
        }
    }

    fn said(one: &mut Record, by: &str, says: ExecutionClaim, at: Micros) {
        let by = if by.is_empty() {
            Attester::Partner
        } else {
            Attester::Operator(by.into())
        };
        one.attest(by, says, at, None, at).expect("free");
    }

    #[test]
    fn the_table_of_the_module() {
        let ran = || {
            vec![
                attempt(10 * S, false),
                attempt(11 * S, true),
                attempt(12 * S, true),
            ]
        };
        let clean = || vec![attempt(10 * S, false)];
        let go = |effect, attempts, now| check_resend(&record(effect, attempts), &terms(now));
        assert_eq!(
            go(Idempotency::Idempotent, ran(), 100 * S),
            Ok(ResendPermit::AsNew)
        );
        assert_eq!(
            go(Idempotency::NonIdempotent, clean(), 100 * S),
            Ok(ResendPermit::AsNew)
        );
        assert_eq!(go(KEYED, clean(), 100 * S), Ok(ResendPermit::AsNew));
        assert_eq!(
            go(KEYED, ran(), 15 * S),
            Ok(ResendPermit::Keyed { first: 11 * S })
        );
        assert_eq!(
            go(KEYED, ran(), 16 * S),
            Err(ResendBlocked::NeedsAttestation),
            "the margin"
        );
        assert_eq!(
            go(KEYED, ran(), 5 * S),
            Err(ResendBlocked::NeedsAttestation),
            "the clock was set back"
        );
        assert_eq!(
            go(Idempotency::NonIdempotent, ran(), 100 * S),
            Err(ResendBlocked::NeedsAttestation)
        );
    }

    #[test]
    fn a_partners_word_counts_if_it_was_asked_after_all_had_settled_and_while_it_is_fresh() {
        let ran = || record(Idempotency::NonIdempotent, vec![attempt(10 * S, true)]);
        let after = |says, at, now| {
            let mut one = ran();
            said(&mut one, "", says, at);
            check_resend(&one, &terms(now))
        };
        assert_eq!(
            after(ExecutionClaim::NotApplied, 11 * S, 20 * S),
            Err(ResendBlocked::NeedsAttestation),
            "it could still run"
        );
        assert_eq!(
            after(ExecutionClaim::NotApplied, 12 * S, 20 * S),
            Ok(ResendPermit::AsNew)
        );
        assert_eq!(
            after(ExecutionClaim::NotApplied, 12 * S, 73 * S),
            Err(ResendBlocked::NeedsAttestation),
            "old news"
        );
        assert_eq!(
            after(ExecutionClaim::NotApplied, 30 * S, 20 * S),
            Err(ResendBlocked::NeedsAttestation),
            "from after the clock was set back"
        );
        assert_eq!(
            after(ExecutionClaim::Unknown, 12 * S, 20 * S),
            Err(ResendBlocked::NeedsAttestation)
        );
        assert_eq!(
            after(ExecutionClaim::Applied, 1, 20 * S),
            Err(ResendBlocked::Applied),
            "an effect stays, whenever it was told"
        );
    }

    #[test]
    fn a_word_that_changes_needs_two_operators_after_it() {
        let mut one = record(Idempotency::NonIdempotent, vec![attempt(10 * S, true)]);
        said(&mut one, "", ExecutionClaim::NotApplied, 20 * S);
        said(&mut one, "", ExecutionClaim::Applied, 21 * S);
        assert_eq!(
            check_resend(&one, &terms(22 * S)),
            Err(ResendBlocked::NeedsAgreement)
        );
        said(&mut one, "ann", ExecutionClaim::NotApplied, 22 * S);
        assert_eq!(
            check_resend(&one, &terms(23 * S)),
            Err(ResendBlocked::NeedsAgreement)
        );
        said(&mut one, "ann", ExecutionClaim::NotApplied, 23 * S);
        assert_eq!(
            check_resend(&one, &terms(24 * S)),
            Err(ResendBlocked::NeedsAgreement),
            "one operator twice is one"
        );
        said(&mut one, "bob", ExecutionClaim::NotApplied, 24 * S);
        assert_eq!(check_resend(&one, &terms(25 * S)), Ok(ResendPermit::AsNew));
        said(&mut one, "", ExecutionClaim::Applied, 26 * S);
        assert_eq!(
            check_resend(&one, &terms(27 * S)),
            Err(ResendBlocked::NeedsAgreement)
        );
    }

    #[test]
    fn two_operators_clear_or_close_and_one_does_neither() {
        for (says, after) in [
            (ExecutionClaim::NotApplied, Ok(ResendPermit::AsNew)),
            (ExecutionClaim::Applied, Err(ResendBlocked::Applied)),
        ] {
            let mut one = record(Idempotency::NonIdempotent, vec![attempt(10 * S, true)]);
            said(&mut one, "ann", says, 20 * S);
            assert_eq!(
                check_resend(&one, &terms(21 * S)),
                Err(ResendBlocked::NeedsSecondOperator)
            );
            said(&mut one, "bob", says, 21 * S);
            assert_eq!(check_resend(&one, &terms(22 * S)), after);
        }
    }

    #[test]
    fn what_was_said_before_a_resend_that_may_have_run_clears_nothing_after() {
        let mut one = record(Idempotency::NonIdempotent, vec![attempt(10 * S, true)]);
        said(&mut one, "", ExecutionClaim::NotApplied, 20 * S);
        one.begin_resend("ann", 21 * S);
        one.reopen_after_resend(
            vec![Attempt {
                resend: 1,
                ..attempt(21 * S, true)
            }],
            None,
        );
        assert_eq!(
            check_resend(&one, &terms(24 * S)),
            Err(ResendBlocked::NeedsAttestation)
        );
        said(&mut one, "", ExecutionClaim::NotApplied, 24 * S);
        assert_eq!(check_resend(&one, &terms(25 * S)), Ok(ResendPermit::AsNew));
        for _ in 0..4 {
            one.begin_resend("ann", 26 * S);
            one.abort_resend();
        }
        assert_eq!(
            check_resend(&one, &terms(27 * S)),
            Err(ResendBlocked::ResendsExhausted)
        );
    }

    fn statements() -> impl Strategy<Value = Vec<(u8, u8, u64)>> {
        proptest::collection::vec((0u8..4, 0u8..3, 0u64..200), 0..10)
    }

    proptest! {
        /// Without a word from after the last doubt, or two operators', no unsafe message that may have run goes.
        #[test]
        fn nothing_unsafe_goes_on_too_little(sent in 0u64..100, what in statements(), now in 0u64..300) {
            let mut one = record(Idempotency::NonIdempotent, vec![attempt(sent * S, true)]);
            let mut said = Vec::new();
            for (by, says, at) in what {
                let says = [ExecutionClaim::Applied, ExecutionClaim::NotApplied, ExecutionClaim::Unknown][usize::from(says)];
                let who = ["", "ann", "bob", "eve"][usize::from(by)];
                let by = if who.is_empty() { Attester::Partner } else { Attester::Operator(who.into()) };
                one.attest(by, says, at * S, None, at * S).expect("free");
                said.push((who, says, at));
            }
            if check_resend(&one, &terms(now * S)).is_ok() {
                let counts = |(_, says, at): &&(&str, ExecutionClaim, u64)| *says == ExecutionClaim::NotApplied && *at >= sent + 2 && *at <= now;
                let good: Vec<_> = said.iter().filter(counts).collect();
                let partner = good.iter().any(|(who, ..)| who.is_empty());
                let mut names: Vec<&str> = good.iter().map(|(who, ..)| *who).filter(|who| !who.is_empty()).collect();
                names.sort_unstable();
                names.dedup();
                prop_assert!(partner || names.len() >= 2, "{said:?}");
                let applied = said.iter().rposition(|(_, says, _)| *says == ExecutionClaim::Applied);
                if let Some(applied) = applied.filter(|at| said[*at].0.is_empty()) {
                    let after: std::collections::BTreeSet<_> = said[applied + 1..].iter().filter(counts).map(|s| s.0).collect();
                    prop_assert!(after.iter().filter(|who| !who.is_empty()).count() >= 2, "{said:?}");
                }
            }
        }
    }
}
