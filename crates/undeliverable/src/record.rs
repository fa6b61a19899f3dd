//! What is kept of a message that was given up, and how its state changes.

use serde::{Deserialize, Serialize};
use tenancy::registry::tenant_name;

use crate::Micros;

/// Names a record in its store; later ones are larger.
pub type RecordId = u64;
/// Attempts that are kept of one record; of more the first ones and the newest are.
pub const MAX_ATTEMPTS: usize = 64;
/// Statements that are kept of one record.
pub const MAX_ATTESTATIONS: usize = 16;
/// The longest name of an operator, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Whether a message may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Idempotency {
    /// Repeats do no harm.
    Idempotent,
    /// Hosts drop repeats of a key for so long, counted from the first attempt that may have run.
    Keyed {
        /// How long.
        window: Micros,
    },
    /// Must not run twice.
    NonIdempotent,
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
    pub fn as_str(self) -> &'static str {
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
    pub fn parse(text: &str) -> Option<Self> {
        Reason::ALL.into_iter().find(|reason| reason.as_str() == text)
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
    #[serde(rename = "called-off")]
    Cancelled,
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
pub enum ExecutionClaim {
    /// It did.
    Applied,
    /// It did not, and will not.
    NotApplied,
    /// That can't be told.
    Unknown,
}

/// Who says it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Attester {
    /// The partner, asked by the message's id.
    Partner,
    /// An operator, by name.
    Operator(String),
}

/// A statement on a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attestation {
    /// Who.
    pub attester: Attester,
    /// What.
    pub claim: ExecutionClaim,
    /// When it was asked for, in Unix time: what happened after is not covered.
    pub at: Micros,
    /// How many resends the record had then.
    pub resends: u32,
}

/// How a record was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Resolution {
    /// A resend was delivered.
    Delivered,
    /// It had taken effect before.
    AppliedBefore,
    /// An operator wants it no more.
    Discarded,
}

/// Where a record stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordState {
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
    Closed(Resolution, Micros),
}

impl RecordState {
    /// Its word.
    #[must_use]
    pub fn as_str(&self) -> &'static str {
        match self {
            RecordState::Open => "open",
            RecordState::Claimed { .. } => "claimed",
            RecordState::Sending { .. } => "sending",
            RecordState::Closed(Resolution::Delivered, _) => "delivered",
            RecordState::Closed(Resolution::AppliedBefore, _) => "applied-before",
            RecordState::Closed(Resolution::Discarded, _) => "discarded",
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
    pub idempotency_key: Option<String>,
    /// Key of its order.
    pub ordering_key: Option<u64>,
    /// When its time was up, in Unix time.
    pub deadline: Micros,
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
    pub idempotency: Idempotency,
    /// Bytes of its body.
    pub size: u32,
    /// When it was given up first, in Unix time; a resend that fails does not make it younger.
    pub given_up_at: Micros,
    /// Why, at the last time.
    pub reason: Reason,
    /// Every attempt, in order.
    pub attempts: Vec<Attempt>,
    /// What was said of it, in order.
    pub attestations: Vec<Attestation>,
    /// Where it stands.
    pub state: RecordState,
    /// Grows with every change.
    pub version: u32,
    /// How often it was sent again.
    pub resends: u32,
}

/// Why a change of a record is refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
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
    ResendBlocked(crate::resend_policy::ResendBlocked),
    /// The last call of its message may still be on its way to be called off.
    #[error("its last call was given up a moment ago")]
    Settling,
    /// The relay could not take it on once more; the record is open again.
    #[error(
        "its class or tenant is gone, a message of its name is in hand, or the journal is full"
    )]
    NotAccepted,
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
    /// A [`RecordError`] if the version is another one, or the record is claimed, being sent, or closed.
    pub fn check_unclaimed(
        &self,
        who: &str,
        version: Option<u32>,
        now: Micros,
    ) -> Result<(), RecordError> {
        if let Some(wanted) = version.filter(|wanted| *wanted != self.version) {
            debug_assert!(wanted != self.version);
            return Err(RecordError::Version(self.version));
        }
        match &self.state {
            RecordState::Claimed { by, until } if by != who && *until > now => {
                Err(RecordError::Claimed(by.clone()))
            }
            RecordState::Open | RecordState::Claimed { .. } => Ok(()),
            RecordState::Sending { .. } => Err(RecordError::Sending),
            closed @ RecordState::Closed(..) => Err(RecordError::Closed(closed.as_str())),
        }
    }

    fn becomes(&mut self, state: RecordState) {
        self.state = state;
        self.version = self.version.wrapping_add(1);
    }

    /// Sets it aside for an operator.
    ///
    /// # Errors
    ///
    /// A [`RecordError`] as for [`Record::check_unclaimed`], or if the name is empty or too long.
    pub fn claim(
        &mut self,
        who: &str,
        version: Option<u32>,
        now: Micros,
        lease: Micros,
    ) -> Result<(), RecordError> {
        if who.is_empty() || who.len() > MAX_NAME_BYTES {
            return Err(RecordError::Malformed(
                "the operator's name is empty or too long",
            ));
        }
        self.check_unclaimed(who, version, now)?;
        self.becomes(RecordState::Claimed {
            by: who.into(),
            until: now.saturating_add(lease),
        });
        Ok(())
    }

    /// Gives a claim up; whoever has none changes nothing.
    ///
    /// # Errors
    ///
    /// A [`RecordError`] as for [`Record::check_unclaimed`].
    pub fn release(
        &mut self,
        who: &str,
        version: Option<u32>,
        now: Micros,
    ) -> Result<(), RecordError> {
        self.check_unclaimed(who, version, now)?;
        if matches!(self.state, RecordState::Claimed { .. }) {
            self.becomes(RecordState::Open);
        }
        Ok(())
    }

    /// Adds a statement. The same operator's earlier one on the same resend counts no more.
    ///
    /// # Errors
    ///
    /// A [`RecordError`] as for [`Record::check_unclaimed`], unless the partner itself answers on a claimed record.
    pub fn attest(
        &mut self,
        by: Attester,
        says: ExecutionClaim,
        asked: Micros,
        version: Option<u32>,
        now: Micros,
    ) -> Result<(), RecordError> {
        let who = match &by {
            Attester::Operator(name) => name.clone(),
            Attester::Partner => String::new(),
        };
        // A partner's word is heard also on a record that an operator has set aside.
        match (&by, &self.state) {
            (Attester::Partner, RecordState::Claimed { .. }) => {}
            _ => self.check_unclaimed(&who, version, now)?,
        }
        let resends = self.resends;
        self.attestations
            .retain(|old| old.attester != by || old.resends != resends || by == Attester::Partner);
        if self.attestations.len() >= MAX_ATTESTATIONS {
            self.attestations.remove(0);
        }
        self.attestations.push(Attestation {
            attester: by,
            claim: says,
            at: asked,
            resends,
        });
        self.version = self.version.wrapping_add(1);
        Ok(())
    }

    /// It is about to be sent again; returns the number of the resend.
    pub fn begin_resend(&mut self, by: &str, now: Micros) -> u32 {
        debug_assert!(
            matches!(self.state, RecordState::Open | RecordState::Claimed { .. }),
            "one resend at a time"
        );
        self.resends += 1;
        self.becomes(RecordState::Sending {
            by: by.into(),
            since: now,
        });
        self.resends
    }

    /// A resend was never handed over: the process ended between. The number is used up.
    pub fn abort_resend(&mut self) {
        if matches!(self.state, RecordState::Sending { .. }) {
            self.becomes(RecordState::Open);
        }
    }

    /// A resend of which nobody knows any more what became of it, since some moment before now: it may have run at
    /// any time between, so that both ends of that span stand in the story.
    pub fn record_unknown_outcome(&mut self, now: Micros) {
        let RecordState::Sending { since, .. } = self.state else {
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
        self.reopen_after_resend(vec![doubt(since.min(now)), doubt(now)], None);
    }

    /// The store has gone back to before a resend that is under way.
    pub fn continue_resend(&mut self, by: &str, number: u32, now: Micros) {
        if self.resends < number && !matches!(self.state, RecordState::Closed(..)) {
            self.resends = number;
            self.becomes(RecordState::Sending {
                by: by.into(),
                since: now,
            });
        }
    }

    /// A resend has ended without delivery; its attempts are added to the story.
    pub fn reopen_after_resend(&mut self, attempts: Vec<Attempt>, reason: Option<Reason>) {
        if !matches!(self.state, RecordState::Sending { .. }) {
            return;
        }
        for attempt in attempts {
            if self.attempts.len() >= MAX_ATTEMPTS {
                // The first half tells how it began; a doubt is never dropped.
                let middle = (MAX_ATTEMPTS / 2..self.attempts.len())
                    .find(|at| !self.attempts[*at].may_have_run);
                self.attempts.remove(middle.unwrap_or(MAX_ATTEMPTS / 2));
            }
            self.attempts.push(attempt);
        }
        self.reason = reason.unwrap_or(self.reason);
        self.becomes(RecordState::Open);
    }

    /// It needs nothing more.
    pub fn resolve(&mut self, how: Resolution, now: Micros) {
        self.becomes(RecordState::Closed(how, now));
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

    pub fn record(effect: Idempotency, attempts: Vec<Attempt>) -> Record {
        let origin = Origin {
            name: "m1".into(),
            tenant: "acme/2".into(),
            class: "payout".into(),
            destination: 3,
            idempotency_key: Some("k".into()),
            ordering_key: None,
            deadline: 5_000_000,
        };
        Record {
            origin,
            idempotency: effect,
            size: 10,
            given_up_at: 5_000_000,
            reason: Reason::OutOfTime,
            attempts,
            attestations: Vec::new(),
            state: RecordState::Open,
            version: 1,
            resends: 0,
        }
    }

    #[test]
    fn a_resend_that_is_lost_sight_of_is_a_doubt_from_its_beginning_until_now() {
        let mut one = record(Idempotency::Idempotent, Vec::new());
        one.begin_resend("ann", 100);
        one.record_unknown_outcome(900);
        let told: Vec<_> = one
            .attempts
            .iter()
            .map(|a| (a.sent, a.may_have_run, a.resend))
            .collect();
        assert_eq!(
            (one.state.clone(), told),
            (RecordState::Open, vec![(100, true, 1), (900, true, 1)])
        );
        one.record_unknown_outcome(950);
        assert_eq!(one.attempts.len(), 2, "nothing is under way");
        one.continue_resend("ann", 3, 1000);
        assert_eq!((one.state.as_str(), one.resends), ("sending", 3));
        one.resolve(Resolution::Delivered, 1001);
        one.continue_resend("ann", 4, 1002);
        assert_eq!(one.state.as_str(), "delivered");
    }

    #[test]
    fn words_of_reasons_are_read_back_and_are_as_serde_has_them() {
        for reason in Reason::ALL {
            assert_eq!(Reason::parse(reason.as_str()), Some(reason));
        }
        assert_eq!(Reason::parse("nothing"), None);
    }

    #[test]
    fn a_claim_keeps_others_out_until_it_is_over_and_versions_tell_changes() {
        let mut one = record(Idempotency::Idempotent, Vec::new());
        one.claim("ann", Some(1), 100, 50).expect("free");
        assert_eq!(
            one.claim("bob", None, 120, 50),
            Err(RecordError::Claimed("ann".into()))
        );
        assert_eq!(
            one.claim("ann", Some(1), 120, 50),
            Err(RecordError::Version(2))
        );
        one.claim("ann", Some(2), 120, 50).expect("its own");
        one.claim("bob", Some(3), 170, 50).expect("over");
        assert_eq!(
            one.release("ann", None, 171),
            Err(RecordError::Claimed("bob".into()))
        );
        one.release("bob", None, 171).expect("its own");
        assert_eq!(one.state, RecordState::Open);
        assert!(
            one.claim("", None, 0, 1).is_err() && one.claim(&"x".repeat(65), None, 0, 1).is_err()
        );
    }

    #[test]
    fn one_resend_at_a_time_and_a_clock_set_back_frees_nothing_early() {
        let mut one = record(Idempotency::Idempotent, Vec::new());
        one.claim("ann", None, 1000, 500).expect("free");
        // The clock is set back: the claim lasts longer, never shorter.
        assert!(one.check_unclaimed("bob", None, 10).is_err());
        assert_eq!(one.begin_resend("ann", 1000), 1);
        assert_eq!(
            one.check_unclaimed("ann", None, 1000),
            Err(RecordError::Sending)
        );
        one.reopen_after_resend(vec![attempt(9, true)], Some(Reason::MayHaveRun));
        assert_eq!(
            (one.attempts.len(), one.reason, one.given_up_at),
            (1, Reason::MayHaveRun, 5_000_000)
        );
        assert_eq!(one.begin_resend("bob", 1001), 2);
        one.abort_resend();
        assert_eq!((one.state.clone(), one.resends), (RecordState::Open, 2));
        one.resolve(Resolution::Delivered, 1002);
        assert_eq!(
            one.check_unclaimed("ann", None, 1003),
            Err(RecordError::Closed("delivered"))
        );
        one.reopen_after_resend(vec![attempt(9, true)], None);
        assert_eq!(
            one.attempts.len(),
            1,
            "a closed record has no more attempts"
        );
    }

    #[test]
    fn the_story_is_bound_and_keeps_every_doubt() {
        let mut one = record(
            Idempotency::NonIdempotent,
            (0..40).map(|at| attempt(at, false)).collect(),
        );
        for round in 0..10 {
            one.begin_resend("ann", round);
            one.reopen_after_resend(
                (0..12)
                    .map(|at| attempt(100 * round + at, at == 3))
                    .collect(),
                None,
            );
        }
        assert_eq!(one.attempts.len(), MAX_ATTEMPTS);
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
        let mut one = record(Idempotency::NonIdempotent, vec![attempt(1, true)]);
        one.claim("ann", None, 10, 100).expect("free");
        one.attest(Attester::Partner, ExecutionClaim::Applied, 11, None, 12)
            .expect("heard");
        assert!(one
            .attest(
                Attester::Operator("bob".into()),
                ExecutionClaim::Applied,
                11,
                None,
                12
            )
            .is_err());
        one.attest(
            Attester::Operator("ann".into()),
            ExecutionClaim::Unknown,
            11,
            None,
            12,
        )
        .expect("its own");
        one.attest(
            Attester::Operator("ann".into()),
            ExecutionClaim::Applied,
            13,
            None,
            13,
        )
        .expect("its own");
        assert_eq!(
            one.attestations.len(),
            2,
            "the later one of an operator counts"
        );
        for at in 0..40 {
            one.attest(Attester::Partner, ExecutionClaim::Unknown, at, None, 14)
                .expect("heard");
        }
        assert_eq!(one.attestations.len(), MAX_ATTESTATIONS);
    }
}
