//! Whether a message may be sent again.
//!
//! | idempotency | an attempt may have run | resend |
//! | --- | --- | --- |
//! | idempotent | either | permitted |
//! | keyed, non-idempotent | no | permitted |
//! | keyed | yes, and its destination still remembers the key | permitted with the same key, until the key expires |
//! | keyed | yes, and the key may have expired | as a non-idempotent one |
//! | non-idempotent | yes | permitted once attestations establish that it was not applied |
//!
//! Attestations that establish an effect block every resend, whatever the idempotency; the record is then closed as
//! applied before. How attestations resolve stands in [`crate::attestation`].

use crate::attestation::{self, AttestationWindow};
use crate::record::{Idempotency, Record};
use crate::Micros;

pub use crate::resend_blocked::ResendBlocked;

/// The moment and the limits that a resend is checked against.
#[derive(Clone, Copy, Debug)]
pub struct ResendPolicy {
    /// Now, in Unix time.
    pub now: Micros,
    /// How long before the end of its window a key counts as expired, so that the resend still arrives in time.
    pub key_expiry_margin: Micros,
    /// How long after it was sent an attempt may still be running; an attestation requested sooner does not cover it.
    pub settle_time: Micros,
    /// How long a partner's attestation stays in date.
    pub attestation_validity: Micros,
    /// Maximum resends of one record.
    pub max_resends: u32,
}

/// How a message may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResendPermit {
    /// As a message that has never run.
    AsNew,
    /// With its idempotency key, as a message that may have run at `first`; not after the key's window has ended.
    Keyed {
        /// When the first attempt that may have run was sent, in Unix time.
        first: Micros,
    },
}

/// Whether a message may be sent again now.
///
/// # Errors
///
/// The [`ResendBlocked`] that has to be met first.
pub fn check_resend(record: &Record, policy: &ResendPolicy) -> Result<ResendPermit, ResendBlocked> {
    let attested = resolve_attestations(record, policy);
    // What is known to have taken effect is never sent again, whatever its idempotency.
    if attested == Err(ResendBlocked::Applied) {
        return Err(ResendBlocked::Applied);
    }
    if record.resends >= policy.max_resends {
        return Err(ResendBlocked::ResendsExhausted);
    }
    let first_doubt = record
        .attempts
        .iter()
        .find(|attempt| attempt.may_have_run)
        .map(|attempt| attempt.sent);
    match (record.idempotency, first_doubt) {
        (_, None) | (Idempotency::Idempotent, _) => Ok(ResendPermit::AsNew),
        (Idempotency::Keyed { window }, Some(first)) if is_key_valid(first, window, policy) => {
            Ok(ResendPermit::Keyed { first })
        }
        (Idempotency::Keyed { .. } | Idempotency::NonIdempotent, Some(_)) => {
            attested.map(|()| ResendPermit::AsNew)
        }
    }
}

/// Whether the destination still remembers a key that it first saw at `first`. With a clock that was set back to
/// before that, the key's age is not known, and it counts as expired.
fn is_key_valid(first: Micros, window: Micros, policy: &ResendPolicy) -> bool {
    policy.now >= first
        && policy.now.saturating_add(policy.key_expiry_margin) < first.saturating_add(window)
}

/// Whether it is established that no attempt took effect.
fn resolve_attestations(record: &Record, policy: &ResendPolicy) -> Result<(), ResendBlocked> {
    let settled_at = record
        .attempts
        .iter()
        .filter(|attempt| attempt.may_have_run)
        .map(|attempt| attempt.sent.saturating_add(policy.settle_time))
        .max()
        .unwrap_or(0);
    let window = AttestationWindow {
        resends: record.resends,
        settled_at,
        now: policy.now,
        validity: policy.attestation_validity,
    };
    attestation::resolve(&record.attestations, &window)
}

#[cfg(test)]
mod tests;
