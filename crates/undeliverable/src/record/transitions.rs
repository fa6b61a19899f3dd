//! The transitions of a record's state. Each one that changes the record raises its version.

use super::error::RecordError;
use super::stored::{
    Attempt, Outcome, Reason, Record, RecordState, Resolution, MAX_ATTEMPTS, MAX_ATTESTATIONS,
    MAX_NAME_BYTES,
};
use crate::attestation::{Attestation, Attester, ExecutionClaim};
use crate::Micros;

/// The oldest attempts, none of which is replaced: they show how the record began.
const PROTECTED_OLDEST_ATTEMPTS: usize = MAX_ATTEMPTS / 2;

impl Record {
    /// Whether `who` may change the record: it has the expected version, is not closed, has no resend in flight, and
    /// nobody else's claim on it is in force.
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
        if version.is_some_and(|expected| expected != self.version) {
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

    /// Open or claimed becomes claimed, for `lease` from now on.
    ///
    /// # Errors
    ///
    /// A [`RecordError`] as for [`Record::check_unclaimed`], or if the name is empty or longer than
    /// [`MAX_NAME_BYTES`].
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
        self.transition_to(RecordState::Claimed {
            by: who.into(),
            until: now.saturating_add(lease),
        });
        Ok(())
    }

    /// Claimed becomes open. A record that is not claimed stays as it is.
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
            self.transition_to(RecordState::Open);
        }
        Ok(())
    }

    /// Adds an attestation; the state stays. It replaces the same operator's earlier one on the same resend, while
    /// all of the partner's are kept. `requested_at` is when the claim was asked for, in Unix time.
    ///
    /// # Errors
    ///
    /// A [`RecordError`] as for [`Record::check_unclaimed`], unless the partner itself attests on a claimed record.
    pub fn attest(
        &mut self,
        attester: Attester,
        claim: ExecutionClaim,
        requested_at: Micros,
        version: Option<u32>,
        now: Micros,
    ) -> Result<(), RecordError> {
        match (&attester, &self.state) {
            // A claim keeps other operators out, not the partner's response.
            (Attester::Partner, RecordState::Claimed { .. }) => {}
            (Attester::Partner, _) => self.check_unclaimed("", version, now)?,
            (Attester::Operator(name), _) => self.check_unclaimed(name, version, now)?,
        }
        let resends = self.resends;
        self.attestations.retain(|earlier| {
            earlier.attester != attester
                || earlier.resends != resends
                || attester == Attester::Partner
        });
        if self.attestations.len() >= MAX_ATTESTATIONS {
            self.attestations.remove(0);
        }
        self.attestations.push(Attestation {
            attester,
            claim,
            at: requested_at,
            resends,
        });
        self.increment_version();
        Ok(())
    }

    /// Open or claimed becomes sending; returns the number of the resend.
    pub fn begin_resend(&mut self, by: &str, now: Micros) -> u32 {
        debug_assert!(
            matches!(self.state, RecordState::Open | RecordState::Claimed { .. }),
            "one resend at a time"
        );
        self.resends += 1;
        self.transition_to(RecordState::Sending {
            by: by.into(),
            since: now,
        });
        self.resends
    }

    /// Sending becomes open, as the process ended before the resend was submitted. Its number is not used again.
    pub fn abort_resend(&mut self) {
        if matches!(self.state, RecordState::Sending { .. }) {
            self.transition_to(RecordState::Open);
        }
    }

    /// Sending becomes open, as the outcome of the resend is lost. It may have run at any time since it began, so
    /// both ends of that span are added as attempts that may have run.
    pub fn record_unknown_outcome(&mut self, now: Micros) {
        let RecordState::Sending { since, .. } = self.state else {
            return;
        };
        let resend = self.resends;
        let unknown_attempt = |sent| Attempt {
            sent,
            host: String::new(),
            outcome: Outcome::Unknown,
            may_have_run: true,
            resend,
        };
        let attempts = vec![unknown_attempt(since.min(now)), unknown_attempt(now)];
        self.reopen_after_resend(attempts, None);
    }

    /// Any state but closed becomes sending, where the store has lost the change that began the resend `number`,
    /// which the journal still has.
    pub fn continue_resend(&mut self, by: &str, number: u32, now: Micros) {
        if self.resends < number && !matches!(self.state, RecordState::Closed(..)) {
            self.resends = number;
            self.transition_to(RecordState::Sending {
                by: by.into(),
                since: now,
            });
        }
    }

    /// Sending becomes open, as the resend ended without delivery. Its attempts are added; `None` keeps the reason.
    pub fn reopen_after_resend(&mut self, attempts: Vec<Attempt>, reason: Option<Reason>) {
        if !matches!(self.state, RecordState::Sending { .. }) {
            return;
        }
        for attempt in attempts {
            self.push_attempt(attempt);
        }
        self.reason = reason.unwrap_or(self.reason);
        self.transition_to(RecordState::Open);
    }

    /// Any state becomes closed.
    pub fn resolve(&mut self, resolution: Resolution, now: Micros) {
        self.transition_to(RecordState::Closed(resolution, now));
    }

    /// Adds an attempt. Past [`MAX_ATTEMPTS`] it replaces one of the newer half: the oldest of these that did not
    /// run, or the oldest if all may have.
    fn push_attempt(&mut self, attempt: Attempt) {
        if self.attempts.len() >= MAX_ATTEMPTS {
            let dispensable = (PROTECTED_OLDEST_ATTEMPTS..self.attempts.len())
                .find(|index| !self.attempts[*index].may_have_run);
            self.attempts
                .remove(dispensable.unwrap_or(PROTECTED_OLDEST_ATTEMPTS));
        }
        self.attempts.push(attempt);
    }

    fn transition_to(&mut self, state: RecordState) {
        self.state = state;
        self.increment_version();
    }

    fn increment_version(&mut self) {
        self.version = self.version.wrapping_add(1);
    }
}
