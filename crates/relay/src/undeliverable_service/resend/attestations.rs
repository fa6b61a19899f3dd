//! Attestations of records: queries of partners, their answers, and what follows from attestations that count.

use policy::types::Micros;
use runtime::{log, Runtime};
use undeliverable::record::{Attester, ExecutionClaim, RecordError, Resolution};
use undeliverable::resend_policy::{attestations_count_from, check_resend, ResendBlocked};
use undeliverable::RecordId;

use super::super::partner_query::QueryState;
use super::Resender;

const MICROS_PER_MS: Micros = 1_000;

impl<R: Runtime> Resender<R> {
    /// Handles a record that may not be resent: queries its partner, or closes it, if that applies. Returns whether a
    /// partner's answer may permit the resend soon.
    pub fn handle_refusal(
        &mut self,
        id: RecordId,
        refusal: &RecordError,
        now: Micros,
    ) -> QueryState {
        match refusal {
            RecordError::ResendBlocked(
                ResendBlocked::NeedsAttestation | ResendBlocked::AttestationTooEarly { .. },
            ) => self.query_partner(id, now),
            RecordError::ResendBlocked(ResendBlocked::Applied) => {
                self.close_if_applied(id, now);
                QueryState::NotPossible
            }
            _ => QueryState::NotPossible,
        }
    }

    /// Queries a record's partner, unless it was queried recently.
    pub fn query_partner(&mut self, id: RecordId, now: Micros) -> QueryState {
        let Some(record) = self.store.access(|store| store.find(id)).flatten() else {
            return QueryState::NotPossible;
        };
        let answers_count_from = attestations_count_from(&record, &self.policy_for(id, now));
        self.partner_queries
            .query(id, &record, answers_count_from, now)
    }

    /// Adds a partner's answer to its record.
    pub fn attest_for_partner(
        &mut self,
        id: RecordId,
        claim: ExecutionClaim,
        queried_at: Micros,
        now: Micros,
    ) {
        self.store.access(|store| {
            store.update(id, |record| {
                record.attest(Attester::Partner, claim, queried_at, None, now)
            })
        });
        self.log_early_attestation(id, now);
    }

    /// Logs that an attestation was requested too early, if that is what a record lacks.
    pub fn log_early_attestation(&mut self, id: RecordId, now: Micros) {
        let Some(record) = self.store.access(|store| store.find(id)).flatten() else {
            return;
        };
        let blocked = check_resend(&record, &self.policy_for(id, now)).err();
        if let Some(ResendBlocked::AttestationTooEarly { retry_after }) = blocked {
            let retry_after_ms = retry_after.map(|micros| micros.div_ceil(MICROS_PER_MS));
            log!(
                self.runtime,
                "undeliverable: word_too_early record={id} counts_in_ms={}",
                retry_after_ms.map_or("unknown".into(), |ms| ms.to_string())
            );
        }
    }

    /// Closes a record if its attestations state that the message already took effect.
    pub fn close_if_applied(&mut self, id: RecordId, now: Micros) {
        let policy = self.policy_for(id, now);
        self.store.access(|store| {
            store.update(id, |record| {
                record.check_unclaimed("", None, now)?;
                if check_resend(record, &policy) == Err(ResendBlocked::Applied) {
                    record.resolve(Resolution::AppliedBefore, now);
                }
                Ok::<_, RecordError>(())
            })
        });
    }
}
