//! The record of a message that was given up: its stored form and its state transitions.

mod error;
mod stored;
mod transitions;

#[cfg(test)]
mod tests;

pub use crate::attestation::{Attestation, Attester, ExecutionClaim};
pub use error::RecordError;
pub use stored::{
    Attempt, Idempotency, Origin, Outcome, Reason, Record, RecordId, RecordState, Resolution,
    MAX_ATTEMPTS, MAX_ATTESTATIONS, MAX_NAME_BYTES,
};
