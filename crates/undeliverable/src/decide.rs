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

use crate::record::{By, Effect, Record, Says, Statement};
use crate::Micros;

/// Operators who must agree.
const OPERATORS: usize = 2;

/// The figures by which is decided.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// Now, in Unix time.
    pub now: Micros,
    /// A key is taken for forgotten so long before its time, so that a call still comes in time.
    pub margin: Micros,
    /// An attempt may still be running for so long after it was sent; a word that was asked for sooner says nothing.
    pub settle: Micros,
    /// A partner's word is believed for so long.
    pub fresh: Micros,
    /// Resends of one record at most.
    pub most_resends: u32,
}

/// How a message may go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Clearance {
    /// As one that has never run.
    Clean,
    /// With its key, as one that may have run at this moment first: not after the key's memory has ended.
    Keyed {
        /// When the first attempt that may have run was sent.
        first: Micros,
    },
}

/// What is missing, or why it never goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Need {
    /// The partner's word, or two operators'.
    Word,
    /// Statements contradict each other: two operators' after the last of them.
    Agreement,
    /// Another operator's statement beside the one there is.
    SecondOperator,
    /// It has taken effect: the record is to be closed.
    Applied,
    /// It was sent again as often as may be.
    Spent,
}

impl Need {
    /// Its word.
    #[must_use]
    pub fn word(self) -> &'static str {
        match self {
            Need::Word => "needs-word",
            Need::Agreement => "needs-agreement",
            Need::SecondOperator => "needs-second-operator",
            Need::Applied => "applied",
            Need::Spent => "resends-spent",
        }
    }
}

impl fmt::Display for Need {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Need::Word => {
                "it may have taken effect; the partner's word or two operators' is needed"
            }
            Need::Agreement => "what was said of it is contradictory; two operators have to agree",
            Need::SecondOperator => "another operator's word is needed beside the first",
            Need::Applied => "it has taken effect",
            Need::Spent => "it was sent again as often as may be",
        })
    }
}

/// Whether a message may be sent again now.
///
/// # Errors
///
/// The [`Need`] that has to be met first.
pub fn may_go(record: &Record, terms: &Terms) -> Result<Clearance, Need> {
    // What is known to have taken effect never goes, whatever its class.
    let word = word(record, terms);
    if word == Err(Need::Applied) {
        return Err(Need::Applied);
    }
    if record.resends >= terms.most_resends {
        return Err(Need::Spent);
    }
    let first = record
        .attempts
        .iter()
        .find(|attempt| attempt.may_have_run)
        .map(|attempt| attempt.sent);
    match (record.effect, first) {
        (_, None) | (Effect::Safe, _) => Ok(Clearance::Clean),
        (Effect::Keyed { window }, Some(first)) if remembered(first, window, terms) => {
            Ok(Clearance::Keyed { first })
        }
        _ => word.map(|()| Clearance::Clean),
    }
}

/// A clock that was set back to before the first attempt says nothing of how old that is.
fn remembered(first: Micros, window: Micros, terms: &Terms) -> bool {
    terms.now >= first && terms.now.saturating_add(terms.margin) < first.saturating_add(window)
}

/// Whether it is known that no attempt took effect.
fn word(record: &Record, terms: &Terms) -> Result<(), Need> {
    let doubt = record
        .attempts
        .iter()
        .filter(|attempt| attempt.may_have_run);
    let settled = doubt
        .map(|attempt| attempt.sent.saturating_add(terms.settle))
        .max()
        .unwrap_or(0);
    // What was said before the last resend, or while an attempt could still run, does not cover what came after;
    // but an effect does not go away again.
    let counts = |statement: &&Statement| {
        let covers = statement.resends == record.resends
            && statement.at >= settled
            && statement.at <= terms.now;
        statement.says == Says::Applied || covers && statement.says == Says::NotApplied
    };
    let all: Vec<&Statement> = record.statements.iter().filter(counts).collect();
    let operators = |from: usize, says: Says| {
        let mut names: Vec<&str> = all[from..]
            .iter()
            .filter(|statement| statement.says == says)
            .filter_map(|statement| match &statement.by {
                By::Operator(name) => Some(name.as_str()),
                By::Partner => None,
            })
            .collect();
        names.sort_unstable();
        names.dedup();
        names.len()
    };
    let last_partner = all
        .iter()
        .rposition(|statement| statement.by == By::Partner);
    let (applied, not) = (Says::Applied, Says::NotApplied);
    let says = |says: Says| all.iter().any(|statement| statement.says == says);
    match (says(applied), says(not)) {
        (false, false) => Err(Need::Word),
        (true, true) => {
            // After the last word of a partner, or the last change of mind, two operators decide.
            let turn = all
                .windows(2)
                .rposition(|two| two[0].says != two[1].says)
                .map_or(0, |at| at + 1);
            let from = turn.max(last_partner.map_or(0, |at| at + 1)).min(all.len());
            match (
                operators(from, applied) >= OPERATORS,
                operators(from, not) >= OPERATORS,
            ) {
                (true, _) => Err(Need::Applied),
                (_, true) => Ok(()),
                _ => Err(Need::Agreement),
            }
        }
        (true, false) => {
            if last_partner.is_some() || operators(0, applied) >= OPERATORS {
                Err(Need::Applied)
            } else {
                Err(Need::SecondOperator)
            }
        }
        (false, true) => {
            let partner = last_partner.map(|at| all[at]);
            let fresh =
                partner.is_some_and(|word| word.at.saturating_add(terms.fresh) >= terms.now);
            match fresh || operators(0, not) >= OPERATORS {
                true => Ok(()),
                false if partner.is_some() => Err(Need::Word),
                false => Err(Need::SecondOperator),
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
    const KEYED: Effect = Effect::Keyed { window: 6 * S };

    fn terms(now: Micros) -> Terms {
        Terms {
            now,
            margin: S,
            settle: 2 * S,
            fresh: 60 * S,
            most_resends: 5,
        }
    }

    fn said(one: &mut Record, by: &str, says: Says, at: Micros) {
        let by = if by.is_empty() {
            By::Partner
        } else {
            By::Operator(by.into())
        };
        one.state_that(by, says, at, None, at).expect("free");
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
        let go = |effect, attempts, now| may_go(&record(effect, attempts), &terms(now));
        assert_eq!(go(Effect::Safe, ran(), 100 * S), Ok(Clearance::Clean));
        assert_eq!(go(Effect::Unsafe, clean(), 100 * S), Ok(Clearance::Clean));
        assert_eq!(go(KEYED, clean(), 100 * S), Ok(Clearance::Clean));
        assert_eq!(
            go(KEYED, ran(), 15 * S),
            Ok(Clearance::Keyed { first: 11 * S })
        );
        assert_eq!(go(KEYED, ran(), 16 * S), Err(Need::Word), "the margin");
        assert_eq!(
            go(KEYED, ran(), 5 * S),
            Err(Need::Word),
            "the clock was set back"
        );
        assert_eq!(go(Effect::Unsafe, ran(), 100 * S), Err(Need::Word));
    }

    #[test]
    fn a_partners_word_counts_if_it_was_asked_after_all_had_settled_and_while_it_is_fresh() {
        let ran = || record(Effect::Unsafe, vec![attempt(10 * S, true)]);
        let after = |says, at, now| {
            let mut one = ran();
            said(&mut one, "", says, at);
            may_go(&one, &terms(now))
        };
        assert_eq!(
            after(Says::NotApplied, 11 * S, 20 * S),
            Err(Need::Word),
            "it could still run"
        );
        assert_eq!(
            after(Says::NotApplied, 12 * S, 20 * S),
            Ok(Clearance::Clean)
        );
        assert_eq!(
            after(Says::NotApplied, 12 * S, 73 * S),
            Err(Need::Word),
            "old news"
        );
        assert_eq!(
            after(Says::NotApplied, 30 * S, 20 * S),
            Err(Need::Word),
            "from after the clock was set back"
        );
        assert_eq!(after(Says::Unknown, 12 * S, 20 * S), Err(Need::Word));
        assert_eq!(
            after(Says::Applied, 1, 20 * S),
            Err(Need::Applied),
            "an effect stays, whenever it was told"
        );
    }

    #[test]
    fn a_word_that_changes_needs_two_operators_after_it() {
        let mut one = record(Effect::Unsafe, vec![attempt(10 * S, true)]);
        said(&mut one, "", Says::NotApplied, 20 * S);
        said(&mut one, "", Says::Applied, 21 * S);
        assert_eq!(may_go(&one, &terms(22 * S)), Err(Need::Agreement));
        said(&mut one, "ann", Says::NotApplied, 22 * S);
        assert_eq!(may_go(&one, &terms(23 * S)), Err(Need::Agreement));
        said(&mut one, "ann", Says::NotApplied, 23 * S);
        assert_eq!(
            may_go(&one, &terms(24 * S)),
            Err(Need::Agreement),
            "one operator twice is one"
        );
        said(&mut one, "bob", Says::NotApplied, 24 * S);
        assert_eq!(may_go(&one, &terms(25 * S)), Ok(Clearance::Clean));
        said(&mut one, "", Says::Applied, 26 * S);
        assert_eq!(may_go(&one, &terms(27 * S)), Err(Need::Agreement));
    }

    #[test]
    fn two_operators_clear_or_close_and_one_does_neither() {
        for (says, after) in [
            (Says::NotApplied, Ok(Clearance::Clean)),
            (Says::Applied, Err(Need::Applied)),
        ] {
            let mut one = record(Effect::Unsafe, vec![attempt(10 * S, true)]);
            said(&mut one, "ann", says, 20 * S);
            assert_eq!(may_go(&one, &terms(21 * S)), Err(Need::SecondOperator));
            said(&mut one, "bob", says, 21 * S);
            assert_eq!(may_go(&one, &terms(22 * S)), after);
        }
    }

    #[test]
    fn what_was_said_before_a_resend_that_may_have_run_clears_nothing_after() {
        let mut one = record(Effect::Unsafe, vec![attempt(10 * S, true)]);
        said(&mut one, "", Says::NotApplied, 20 * S);
        one.begin("ann", 21 * S);
        one.came_back(
            vec![Attempt {
                resend: 1,
                ..attempt(21 * S, true)
            }],
            None,
        );
        assert_eq!(may_go(&one, &terms(24 * S)), Err(Need::Word));
        said(&mut one, "", Says::NotApplied, 24 * S);
        assert_eq!(may_go(&one, &terms(25 * S)), Ok(Clearance::Clean));
        for _ in 0..4 {
            one.begin("ann", 26 * S);
            one.not_begun();
        }
        assert_eq!(may_go(&one, &terms(27 * S)), Err(Need::Spent));
    }

    fn statements() -> impl Strategy<Value = Vec<(u8, u8, u64)>> {
        proptest::collection::vec((0u8..4, 0u8..3, 0u64..200), 0..10)
    }

    proptest! {
        /// Without a word from after the last doubt, or two operators', no unsafe message that may have run goes.
        #[test]
        fn nothing_unsafe_goes_on_too_little(sent in 0u64..100, what in statements(), now in 0u64..300) {
            let mut one = record(Effect::Unsafe, vec![attempt(sent * S, true)]);
            let mut said = Vec::new();
            for (by, says, at) in what {
                let says = [Says::Applied, Says::NotApplied, Says::Unknown][usize::from(says)];
                let who = ["", "ann", "bob", "eve"][usize::from(by)];
                let by = if who.is_empty() { By::Partner } else { By::Operator(who.into()) };
                one.state_that(by, says, at * S, None, at * S).expect("free");
                said.push((who, says, at));
            }
            if may_go(&one, &terms(now * S)).is_ok() {
                let counts = |(_, says, at): &&(&str, Says, u64)| *says == Says::NotApplied && *at >= sent + 2 && *at <= now;
                let good: Vec<_> = said.iter().filter(counts).collect();
                let partner = good.iter().any(|(who, ..)| who.is_empty());
                let mut names: Vec<&str> = good.iter().map(|(who, ..)| *who).filter(|who| !who.is_empty()).collect();
                names.sort_unstable();
                names.dedup();
                prop_assert!(partner || names.len() >= 2, "{said:?}");
                let applied = said.iter().rposition(|(_, says, _)| *says == Says::Applied);
                if let Some(applied) = applied.filter(|at| said[*at].0.is_empty()) {
                    let after: std::collections::BTreeSet<_> = said[applied + 1..].iter().filter(counts).map(|s| s.0).collect();
                    prop_assert!(after.iter().filter(|who| !who.is_empty()).count() >= 2, "{said:?}");
                }
            }
        }
    }
}
