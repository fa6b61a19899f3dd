//! The policy that decides whether a message may be resent.
//!
//! | idempotency | an attempt may have run | resend |
//! | --- | --- | --- |
//! | idempotent | either | permitted |
//! | keyed, non-idempotent | no | permitted |
//! | keyed | yes, and its destination still remembers the key | permitted with the same key, until the key expires |
//! | keyed | yes, and the key may have expired | as for a non-idempotent message |
//! | non-idempotent | yes | permitted once attestations establish that the message was not applied |
//!
//! An attempt is a span. Its earliest possible start is when its host was chosen: a key's window counts from there. Its
//! latest possible start is the end of its call, after which no more of its request is sent: an attestation of `not
//! applied` covers it if requested [`ResendPolicy::settle_time`] after that end.
//!
//! | end of the record's last call | attestations count from |
//! | --- | --- |
//! | recorded | the settle time after that end |
//! | not recorded, and no call of this process is open | the settle time after [`ResendPolicy::earlier_calls_ended_at`] |
//! | not recorded, and a call is open | not known yet |
//!
//! Attestations that establish an effect block every resend, regardless of idempotency; the record is then closed as
//! applied before. [`crate::attestation`] describes how attestations resolve.

use crate::attestation::{self, AttestationWindow};
use crate::record::{Idempotency, Record};
use crate::Micros;

pub use crate::resend_blocked::ResendBlocked;

/// The current time and the limits that a resend is checked against.
#[derive(Clone, Copy, Debug)]
pub struct ResendPolicy {
    /// The current Unix time.
    pub now: Micros,
    /// How long before the end of its window a key counts as expired, so that a resend arrives within the window.
    pub key_expiry_margin: Micros,
    /// How long an attempt may still be running after the end of its call. An attestation requested earlier does not cover
    /// it.
    pub settle_time: Micros,
    /// When the last call ended at the latest if the record does not tell, in Unix time: the start of this process, as no
    /// call of an earlier one can be open. `None` while a call of the record is open.
    pub earlier_calls_ended_at: Option<Micros>,
    /// How long a partner's attestation of `not applied` remains valid.
    pub attestation_validity: Micros,
    /// Maximum resends of one record.
    pub max_resends: u32,
}

/// How a message may be resent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResendPermit {
    /// As a message that has never run.
    AsNew,
    /// With its idempotency key, as a message that may have run at `first`, and only within the key's window.
    Keyed {
        /// When the host of the first attempt that may have run was chosen, in Unix time.
        first: Micros,
    },
}

/// Checks whether a message may be resent now, and how.
///
/// # Errors
///
/// The [`ResendBlocked`] condition that prevents the resend.
pub fn check_resend(record: &Record, policy: &ResendPolicy) -> Result<ResendPermit, ResendBlocked> {
    let attested = resolve_attestations(record, policy);
    // A message that is known to have taken effect is never resent, regardless of its idempotency.
    if attested == Err(ResendBlocked::Applied) {
        return Err(ResendBlocked::Applied);
    }
    if record.resends >= policy.max_resends {
        return Err(ResendBlocked::ResendsExhausted);
    }
    let first_possible_run = record
        .attempts
        .iter()
        .find(|attempt| attempt.may_have_run)
        .map(|attempt| attempt.sent);
    match (record.idempotency, first_possible_run) {
        (_, None) | (Idempotency::Idempotent, _) => Ok(ResendPermit::AsNew),
        (Idempotency::Keyed { window }, Some(first)) if is_key_valid(first, window, policy) => {
            Ok(ResendPermit::Keyed { first })
        }
        (Idempotency::Keyed { .. } | Idempotency::NonIdempotent, Some(_)) => {
            attested.map(|()| ResendPermit::AsNew)
        }
    }
}

/// Whether the destination still remembers a key that it first received at `first`. If the clock was set back to a time
/// before `first`, the key's age is unknown and the key counts as expired.
fn is_key_valid(first: Micros, window: Micros, policy: &ResendPolicy) -> bool {
    policy.now >= first
        && policy.now.saturating_add(policy.key_expiry_margin) < first.saturating_add(window)
}

/// The earliest time at which an attestation of `not applied` may be requested to count, in Unix time. `None` while a call
/// is open. Zero if no attempt may have run.
#[must_use]
pub fn attestations_count_from(record: &Record, policy: &ResendPolicy) -> Option<Micros> {
    let possible_runs = record
        .attempts
        .iter()
        .filter(|attempt| attempt.may_have_run);
    let Some(last_start) = possible_runs.map(|attempt| attempt.sent).max() else {
        return Some(0);
    };
    let calls_ended_at = record.calls_ended_at.or(policy.earlier_calls_ended_at)?;
    Some(
        calls_ended_at
            .max(last_start)
            .saturating_add(policy.settle_time),
    )
}

/// Checks that the record's attestations establish that no attempt took effect.
fn resolve_attestations(record: &Record, policy: &ResendPolicy) -> Result<(), ResendBlocked> {
    let window = AttestationWindow {
        resends: record.resends,
        settled_at: attestations_count_from(record, policy),
        now: policy.now,
        validity: policy.attestation_validity,
    };
    attestation::resolve(&record.attestations, &window)
}

#[cfg(test)]
mod tests;
