//! State transitions of a record. Each transition that changes the record increments its version.

use super::error::RecordError;
use super::stored::{
    Attempt, Outcome, Reason, Record, RecordState, Resolution, MAX_ATTEMPTS, MAX_ATTESTATIONS,
    MAX_NAME_BYTES,
};
use crate::attestation::{Attestation, Attester, ExecutionClaim};
use crate::Micros;

/// Number of oldest attempts that are never replaced, so that the start of the record's history is kept.
const PROTECTED_OLDEST_ATTEMPTS: usize = MAX_ATTEMPTS / 2;

impl Record {
    /// Checks that `operator` may change the record: it has the expected version, is not closed, has no resend in
    /// flight, and no other operator's claim on it is in force.
    ///
    /// # Errors
    ///
    /// A [`RecordError`] if the version differs, or the record is claimed, being resent, or closed.
    pub fn check_unclaimed(
        &self,
        operator: &str,
        version: Option<u32>,
        now: Micros,
    ) -> Result<(), RecordError> {
        if version.is_some_and(|expected| expected != self.version) {
            return Err(RecordError::Version(self.version));
        }
        match &self.state {
            RecordState::Claimed { by, until } if by != operator && *until > now => {
                Err(RecordError::Claimed(by.clone()))
            }
            RecordState::Open | RecordState::Claimed { .. } => Ok(()),
            RecordState::Sending { .. } => Err(RecordError::Sending),
            closed @ RecordState::Closed(..) => Err(RecordError::Closed(closed.as_str())),
        }
    }

    /// Open or claimed becomes claimed by `operator`, for `lease` from now on.
    ///
    /// # Errors
    ///
    /// A [`RecordError`] as for [`Record::check_unclaimed`], or if the name is empty or longer than
    /// [`MAX_NAME_BYTES`].
    pub fn claim(
        &mut self,
        operator: &str,
        version: Option<u32>,
        now: Micros,
        lease: Micros,
    ) -> Result<(), RecordError> {
        if operator.is_empty() || operator.len() > MAX_NAME_BYTES {
            return Err(RecordError::Malformed(
                "the operator's name is empty or too long",
            ));
        }
        self.check_unclaimed(operator, version, now)?;
        self.transition_to(RecordState::Claimed {
            by: operator.into(),
            until: now.saturating_add(lease),
        });
        Ok(())
    }

    /// Claimed becomes open. A record that is not claimed does not change.
    ///
    /// # Errors
    ///
    /// A [`RecordError`] as for [`Record::check_unclaimed`].
    pub fn release(
        &mut self,
        operator: &str,
        version: Option<u32>,
        now: Micros,
    ) -> Result<(), RecordError> {
        self.check_unclaimed(operator, version, now)?;
        if matches!(self.state, RecordState::Claimed { .. }) {
            self.transition_to(RecordState::Open);
        }
        Ok(())
    }

    /// Adds an attestation; the state does not change. An operator's attestation replaces the same operator's earlier
    /// one for the same number of resends. All attestations of the partner are kept. `requested_at` is when the claim
    /// was requested, in Unix time.
    ///
    /// # Errors
    ///
    /// A [`RecordError`] as for [`Record::check_unclaimed`], except that the partner may attest on a claimed record.
    pub fn attest(
        &mut self,
        attester: Attester,
        claim: ExecutionClaim,
        requested_at: Micros,
        version: Option<u32>,
        now: Micros,
    ) -> Result<(), RecordError> {
        match (&attester, &self.state) {
            // A claim excludes other operators, but not the partner's response.
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

    /// Open or claimed becomes sending. Returns the number of the resend, from 1.
    pub fn begin_resend(&mut self, by: &str, now: Micros) -> u32 {
        debug_assert!(
            matches!(self.state, RecordState::Open | RecordState::Claimed { .. }),
            "a resend starts only from an open or claimed record"
        );
        self.resends += 1;
        self.transition_to(RecordState::Sending {
            by: by.into(),
            since: now,
        });
        self.resends
    }

    /// Sending becomes open because the process ended before the resend was submitted. The number of the resend is not
    /// reused.
    pub fn abort_resend(&mut self) {
        if matches!(self.state, RecordState::Sending { .. }) {
            self.transition_to(RecordState::Open);
        }
    }

    /// Sending becomes open because the outcome of the resend is lost. The resend may have run at any time since it
    /// started, so an attempt that may have run is added at either end of that period. The end of its calls is not known.
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
        self.reopen_after_resend(attempts, None, None);
    }

    /// Any state but closed becomes sending. Used if the store has lost the change that started the resend `number`,
    /// but the journal still contains that resend.
    pub fn continue_resend(&mut self, by: &str, number: u32, now: Micros) {
        if self.resends < number && !matches!(self.state, RecordState::Closed(..)) {
            self.resends = number;
            self.transition_to(RecordState::Sending {
                by: by.into(),
                since: now,
            });
        }
    }

    /// Sending becomes open because the resend ended without delivery. The attempts of the resend are added. A `reason`
    /// of `None` keeps the earlier reason. `calls_ended_at` is `None` if a call of the resend is still open.
    pub fn reopen_after_resend(
        &mut self,
        attempts: Vec<Attempt>,
        reason: Option<Reason>,
        calls_ended_at: Option<Micros>,
    ) {
        if !matches!(self.state, RecordState::Sending { .. }) {
            return;
        }
        for attempt in attempts {
            self.push_attempt(attempt);
        }
        self.reason = reason.unwrap_or(self.reason);
        self.calls_ended_at = calls_ended_at;
        self.transition_to(RecordState::Open);
    }

    /// Records that the last open call has ended. The version does not change, as the end permits no transition that an
    /// operator could not have expected.
    pub fn record_calls_end(&mut self, ended_at: Micros) {
        self.calls_ended_at = self.calls_ended_at.max(Some(ended_at));
    }

    /// Any state becomes closed with this resolution.
    pub fn resolve(&mut self, resolution: Resolution, now: Micros) {
        self.transition_to(RecordState::Closed(resolution, now));
    }

    /// Adds an attempt. Beyond [`MAX_ATTEMPTS`], it replaces one of the newer half: the oldest of these that did not
    /// run, or the oldest of these if all of them may have run.
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
