//! What is kept of a message that was given up, and how its state changes.

use serde::{Deserialize, Serialize};
use tenancy::registry::tenant_name;

use crate::Micros;

/// Names a record in its store; later ones are larger.
pub type RecordId = u64;
/// Attempts that are kept of one record; of more the first ones and the newest are.
pub const MOST_ATTEMPTS: usize = 64;
/// Statements that are kept of one record.
pub const MOST_STATEMENTS: usize = 16;
/// The longest name of an operator, in bytes.
pub const LONGEST_NAME: usize = 64;

/// Whether a message may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Effect {
    /// Repeats do no harm.
    Safe,
    /// Hosts drop repeats of a key for so long, counted from the first attempt that may have run.
    Keyed {
        /// How long.
        window: Micros,
    },
    /// Must not run twice.
    Unsafe,
}

/// Why a message was given up. The vocabulary is fixed: a word is never given another meaning.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// Its time was up, and no call had been made.
    OutOfTimeUnsent,
    /// Its time was up after one call or more.
    OutOfTime,
    /// All attempts that a message may have were made.
    AttemptsSpent,
    /// It may have run and must not run twice.
    MayHaveRun,
    /// It may have run, and its destination remembers its key no longer.
    KeyForgotten,
    /// Its tenant was removed.
    TenantRemoved,
    /// After a restart its class or tenant is not known any more.
    NotKnown,
    /// The module gave it up for another reason.
    GivenUp,
}

impl Reason {
    /// All of them, in the order of their numbers.
    pub const ALL: [Reason; 8] = [
        Reason::OutOfTimeUnsent,
        Reason::OutOfTime,
        Reason::AttemptsSpent,
        Reason::MayHaveRun,
        Reason::KeyForgotten,
        Reason::TenantRemoved,
        Reason::NotKnown,
        Reason::GivenUp,
    ];

    /// Its word.
    #[must_use]
    pub fn word(self) -> &'static str {
        match self {
            Reason::OutOfTimeUnsent => "out-of-time-unsent",
            Reason::OutOfTime => "out-of-time",
            Reason::AttemptsSpent => "attempts-spent",
            Reason::MayHaveRun => "may-have-run",
            Reason::KeyForgotten => "key-forgotten",
            Reason::TenantRemoved => "tenant-removed",
            Reason::NotKnown => "not-known",
            Reason::GivenUp => "given-up",
        }
    }

    /// The reason of a word.
    #[must_use]
    pub fn of(word: &str) -> Option<Self> {
        Reason::ALL.into_iter().find(|reason| reason.word() == word)
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// Nothing is known: the process ended meanwhile.
    Unknown,
    /// An error was answered.
    Error,
    /// Turned away.
    Refused,
    /// No answer in time.
    TimedOut,
    /// No connection came up.
    NotConnected,
    /// The connection broke.
    Broken,
    /// Called off.
    CalledOff,
    /// Not sent.
    NotSent,
    /// Delivered.
    Delivered,
}

/// An attempt on a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// When it was sent, in Unix time.
    pub sent: Micros,
    /// The host's name; empty where it is not known.
    pub host: String,
    /// How it ended.
    pub outcome: Outcome,
    /// False once it is known not to have run.
    pub may_have_run: bool,
    /// 0 for those before the message was given up, else the number of the resend.
    pub resend: u32,
}

/// What somebody says of whether a message took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Says {
    /// It did.
    Applied,
    /// It did not, and will not.
    NotApplied,
    /// That can't be told.
    Unknown,
}

/// Who says it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum By {
    /// The partner, asked by the message's id.
    Partner,
    /// An operator, by name.
    Operator(String),
}

/// A statement on a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Statement {
    /// Who.
    pub by: By,
    /// What.
    pub says: Says,
    /// When it was asked for, in Unix time: what happened after is not covered.
    pub at: Micros,
    /// How many resends the record had then.
    pub resends: u32,
}

/// How a record was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Closed {
    /// A resend was delivered.
    Delivered,
    /// It had taken effect before.
    AppliedBefore,
    /// An operator wants it no more.
    Discarded,
}

/// Where a record stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// Nobody does anything with it.
    Open,
    /// An operator has set it aside until then; others may not change it.
    Claimed {
        /// Who.
        by: String,
        /// Until then, in Unix time.
        until: Micros,
    },
    /// It is being sent again.
    Sending {
        /// Who wanted that: an operator, a batch or a rule.
        by: String,
        /// Since when.
        since: Micros,
    },
    /// It needs nothing more.
    Closed(Closed, Micros),
}

impl State {
    /// Its word.
    #[must_use]
    pub fn word(&self) -> &'static str {
        match self {
            State::Open => "open",
            State::Claimed { .. } => "claimed",
            State::Sending { .. } => "sending",
            State::Closed(Closed::Delivered, _) => "delivered",
            State::Closed(Closed::AppliedBefore, _) => "applied-before",
            State::Closed(Closed::Discarded, _) => "discarded",
        }
    }
}

/// The message as it was handed in, but for its body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// Its name on the wire.
    pub name: String,
    /// Its tenant, as the journal names it.
    pub tenant: String,
    /// Its class.
    pub class: String,
    /// Its destination.
    pub destination: u16,
    /// Idempotency key.
    pub key: Option<String>,
    /// Key of its order.
    pub order: Option<u64>,
    /// When its time was up, in Unix time.
    pub due: Micros,
}

impl Origin {
    /// The tenant's name, without the generation that the journal adds.
    #[must_use]
    pub fn tenant_name(&self) -> &str {
        tenant_name(&self.tenant)
    }
}

/// A message that was given up.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The message.
    pub origin: Origin,
    /// Whether it may run more than once.
    pub effect: Effect,
    /// Bytes of its body.
    pub size: u32,
    /// When it was given up first, in Unix time; a resend that fails does not make it younger.
    pub ended: Micros,
    /// Why, at the last time.
    pub reason: Reason,
    /// Every attempt, in order.
    pub attempts: Vec<Attempt>,
    /// What was said of it, in order.
    pub statements: Vec<Statement>,
    /// Where it stands.
    pub state: State,
    /// Grows with every change.
    pub version: u32,
    /// How often it was sent again.
    pub resends: u32,
}

/// Why a change of a record is refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// There is none of this number, or it was dropped.
    #[error("there is no such record")]
    NoRecord,
    /// It has changed since.
    #[error("the record is in version {0} by now")]
    Version(u32),
    /// Somebody has it.
    #[error("the record is claimed by {0}")]
    Claimed(String),
    /// It is being sent.
    #[error("the record is being sent again")]
    Sending,
    /// It needs nothing more.
    #[error("the record is closed: {0}")]
    Closed(&'static str),
    /// It may not be sent again as things stand.
    #[error("the message may not be sent again: {0}")]
    Need(crate::decide::Need),
    /// The last call of its message may still be on its way to be called off.
    #[error("its last call was given up a moment ago")]
    Resting,
    /// The relay could not take it on once more; the record is open again.
    #[error(
        "its class or tenant is gone, a message of its name is in hand, or the journal is full"
    )]
    NotHandedOver,
    /// What was given is of no use.
    #[error("{0}")]
    Malformed(&'static str),
}

impl Record {
    /// Whether one of its attempts may have run, as far as the attempts alone tell.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.may_have_run)
    }

    /// Whether somebody may change it, and in which state that finds it: a claim that is over is none.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] if the version is another one, or the record is claimed, being sent, or closed.
    pub fn free(&self, who: &str, version: Option<u32>, now: Micros) -> Result<(), Refusal> {
        if let Some(wanted) = version.filter(|wanted| *wanted != self.version) {
            debug_assert!(wanted != self.version);
            return Err(Refusal::Version(self.version));
        }
        match &self.state {
            State::Claimed { by, until } if by != who && *until > now => {
                Err(Refusal::Claimed(by.clone()))
            }
            State::Open | State::Claimed { .. } => Ok(()),
            State::Sending { .. } => Err(Refusal::Sending),
            closed @ State::Closed(..) => Err(Refusal::Closed(closed.word())),
        }
    }

    fn becomes(&mut self, state: State) {
        self.state = state;
        self.version = self.version.wrapping_add(1);
    }

    /// Sets it aside for an operator.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] as for [`Record::free`], or if the name is empty or too long.
    pub fn claim(
        &mut self,
        who: &str,
        version: Option<u32>,
        now: Micros,
        lease: Micros,
    ) -> Result<(), Refusal> {
        if who.is_empty() || who.len() > LONGEST_NAME {
            return Err(Refusal::Malformed(
                "the operator's name is empty or too long",
            ));
        }
        self.free(who, version, now)?;
        self.becomes(State::Claimed {
            by: who.into(),
            until: now.saturating_add(lease),
        });
        Ok(())
    }

    /// Gives a claim up; whoever has none changes nothing.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] as for [`Record::free`].
    pub fn release(&mut self, who: &str, version: Option<u32>, now: Micros) -> Result<(), Refusal> {
        self.free(who, version, now)?;
        if matches!(self.state, State::Claimed { .. }) {
            self.becomes(State::Open);
        }
        Ok(())
    }

    /// Adds a statement. The same operator's earlier one on the same resend counts no more.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] as for [`Record::free`], unless the partner itself answers on a claimed record.
    pub fn state_that(
        &mut self,
        by: By,
        says: Says,
        asked: Micros,
        version: Option<u32>,
        now: Micros,
    ) -> Result<(), Refusal> {
        let who = match &by {
            By::Operator(name) => name.clone(),
            By::Partner => String::new(),
        };
        // A partner's word is heard also on a record that an operator has set aside.
        match (&by, &self.state) {
            (By::Partner, State::Claimed { .. }) => {}
            _ => self.free(&who, version, now)?,
        }
        let resends = self.resends;
        self.statements
            .retain(|old| old.by != by || old.resends != resends || by == By::Partner);
        if self.statements.len() >= MOST_STATEMENTS {
            self.statements.remove(0);
        }
        self.statements.push(Statement {
            by,
            says,
            at: asked,
            resends,
        });
        self.version = self.version.wrapping_add(1);
        Ok(())
    }

    /// It is about to be sent again; returns the number of the resend.
    pub fn begin(&mut self, by: &str, now: Micros) -> u32 {
        debug_assert!(
            matches!(self.state, State::Open | State::Claimed { .. }),
            "one resend at a time"
        );
        self.resends += 1;
        self.becomes(State::Sending {
            by: by.into(),
            since: now,
        });
        self.resends
    }

    /// A resend was never handed over: the process ended between. The number is used up.
    pub fn not_begun(&mut self) {
        if matches!(self.state, State::Sending { .. }) {
            self.becomes(State::Open);
        }
    }

    /// A resend of which nobody knows any more what became of it, since some moment before now: it may have run at
    /// any time between, so that both ends of that span stand in the story.
    pub fn lost_sight(&mut self, now: Micros) {
        let State::Sending { since, .. } = self.state else {
            return;
        };
        let resend = self.resends;
        let doubt = |sent| Attempt {
            sent,
            host: String::new(),
            outcome: Outcome::Unknown,
            may_have_run: true,
            resend,
        };
        self.came_back(vec![doubt(since.min(now)), doubt(now)], None);
    }

    /// The store has gone back to before a resend that is under way.
    pub fn resume(&mut self, by: &str, number: u32, now: Micros) {
        if self.resends < number && !matches!(self.state, State::Closed(..)) {
            self.resends = number;
            self.becomes(State::Sending {
                by: by.into(),
                since: now,
            });
        }
    }

    /// A resend has ended without delivery; its attempts are added to the story.
    pub fn came_back(&mut self, attempts: Vec<Attempt>, reason: Option<Reason>) {
        if !matches!(self.state, State::Sending { .. }) {
            return;
        }
        for attempt in attempts {
            if self.attempts.len() >= MOST_ATTEMPTS {
                // The first half tells how it began; a doubt is never dropped.
                let middle = (MOST_ATTEMPTS / 2..self.attempts.len())
                    .find(|at| !self.attempts[*at].may_have_run);
                self.attempts.remove(middle.unwrap_or(MOST_ATTEMPTS / 2));
            }
            self.attempts.push(attempt);
        }
        self.reason = reason.unwrap_or(self.reason);
        self.becomes(State::Open);
    }

    /// It needs nothing more.
    pub fn close(&mut self, how: Closed, now: Micros) {
        self.becomes(State::Closed(how, now));
    }
}

#[cfg(test)]
pub(crate) mod tests {
    use super::*;

    pub fn attempt(sent: Micros, may_have_run: bool) -> Attempt {
        let outcome = if may_have_run {
            Outcome::TimedOut
        } else {
            Outcome::Refused
        };
        Attempt {
            sent,
            host: "h".into(),
            outcome,
            may_have_run,
            resend: 0,
        }
    }

    pub fn record(effect: Effect, attempts: Vec<Attempt>) -> Record {
        let origin = Origin {
            name: "m1".into(),
            tenant: "acme/2".into(),
            class: "payout".into(),
            destination: 3,
            key: Some("k".into()),
            order: None,
            due: 5_000_000,
        };
        Record {
            origin,
            effect,
            size: 10,
            ended: 5_000_000,
            reason: Reason::OutOfTime,
            attempts,
            statements: Vec::new(),
            state: State::Open,
            version: 1,
            resends: 0,
        }
    }

    #[test]
    fn a_resend_that_is_lost_sight_of_is_a_doubt_from_its_beginning_until_now() {
        let mut one = record(Effect::Safe, Vec::new());
        one.begin("ann", 100);
        one.lost_sight(900);
        let told: Vec<_> = one
            .attempts
            .iter()
            .map(|a| (a.sent, a.may_have_run, a.resend))
            .collect();
        assert_eq!(
            (one.state.clone(), told),
            (State::Open, vec![(100, true, 1), (900, true, 1)])
        );
        one.lost_sight(950);
        assert_eq!(one.attempts.len(), 2, "nothing is under way");
        one.resume("ann", 3, 1000);
        assert_eq!((one.state.word(), one.resends), ("sending", 3));
        one.close(Closed::Delivered, 1001);
        one.resume("ann", 4, 1002);
        assert_eq!(one.state.word(), "delivered");
    }

    #[test]
    fn words_of_reasons_are_read_back_and_are_as_serde_has_them() {
        for reason in Reason::ALL {
            assert_eq!(Reason::of(reason.word()), Some(reason));
        }
        assert_eq!(Reason::of("nothing"), None);
    }

    #[test]
    fn a_claim_keeps_others_out_until_it_is_over_and_versions_tell_changes() {
        let mut one = record(Effect::Safe, Vec::new());
        one.claim("ann", Some(1), 100, 50).expect("free");
        assert_eq!(
            one.claim("bob", None, 120, 50),
            Err(Refusal::Claimed("ann".into()))
        );
        assert_eq!(one.claim("ann", Some(1), 120, 50), Err(Refusal::Version(2)));
        one.claim("ann", Some(2), 120, 50).expect("its own");
        one.claim("bob", Some(3), 170, 50).expect("over");
        assert_eq!(
            one.release("ann", None, 171),
            Err(Refusal::Claimed("bob".into()))
        );
        one.release("bob", None, 171).expect("its own");
        assert_eq!(one.state, State::Open);
        assert!(
            one.claim("", None, 0, 1).is_err() && one.claim(&"x".repeat(65), None, 0, 1).is_err()
        );
    }

    #[test]
    fn one_resend_at_a_time_and_a_clock_set_back_frees_nothing_early() {
        let mut one = record(Effect::Safe, Vec::new());
        one.claim("ann", None, 1000, 500).expect("free");
        // The clock is set back: the claim lasts longer, never shorter.
        assert!(one.free("bob", None, 10).is_err());
        assert_eq!(one.begin("ann", 1000), 1);
        assert_eq!(one.free("ann", None, 1000), Err(Refusal::Sending));
        one.came_back(vec![attempt(9, true)], Some(Reason::MayHaveRun));
        assert_eq!(
            (one.attempts.len(), one.reason, one.ended),
            (1, Reason::MayHaveRun, 5_000_000)
        );
        assert_eq!(one.begin("bob", 1001), 2);
        one.not_begun();
        assert_eq!((one.state.clone(), one.resends), (State::Open, 2));
        one.close(Closed::Delivered, 1002);
        assert_eq!(
            one.free("ann", None, 1003),
            Err(Refusal::Closed("delivered"))
        );
        one.came_back(vec![attempt(9, true)], None);
        assert_eq!(
            one.attempts.len(),
            1,
            "a closed record has no more attempts"
        );
    }

    #[test]
    fn the_story_is_bound_and_keeps_every_doubt() {
        let mut one = record(
            Effect::Unsafe,
            (0..40).map(|at| attempt(at, false)).collect(),
        );
        for round in 0..10 {
            one.begin("ann", round);
            one.came_back(
                (0..12)
                    .map(|at| attempt(100 * round + at, at == 3))
                    .collect(),
                None,
            );
        }
        assert_eq!(one.attempts.len(), MOST_ATTEMPTS);
        assert_eq!(
            one.attempts
                .iter()
                .filter(|attempt| attempt.may_have_run)
                .count(),
            10
        );
        assert_eq!(one.attempts[0].sent, 0);
        assert_eq!(one.attempts.last().map(|last| last.sent), Some(911));
    }

    #[test]
    fn a_partners_word_is_heard_while_an_operator_has_the_record() {
        let mut one = record(Effect::Unsafe, vec![attempt(1, true)]);
        one.claim("ann", None, 10, 100).expect("free");
        one.state_that(By::Partner, Says::Applied, 11, None, 12)
            .expect("heard");
        assert!(one
            .state_that(By::Operator("bob".into()), Says::Applied, 11, None, 12)
            .is_err());
        one.state_that(By::Operator("ann".into()), Says::Unknown, 11, None, 12)
            .expect("its own");
        one.state_that(By::Operator("ann".into()), Says::Applied, 13, None, 13)
            .expect("its own");
        assert_eq!(
            one.statements.len(),
            2,
            "the later one of an operator counts"
        );
        for at in 0..40 {
            one.state_that(By::Partner, Says::Unknown, at, None, 14)
                .expect("heard");
        }
        assert_eq!(one.statements.len(), MOST_STATEMENTS);
    }
}
