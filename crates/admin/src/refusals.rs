//! Conversion of refusals of the registry and of the undeliverable store to problems.

use axum::http::StatusCode;
use tenancy::registry::RegistryError;
use undeliverable::batch::BatchError;
use undeliverable::record::RecordError;
use undeliverable::ResendBlocked;

use crate::problem::Problem;

const MICROS_PER_SECOND: u64 = 1_000_000;

impl From<RegistryError> for Problem {
    fn from(error: RegistryError) -> Self {
        let detail = error.to_string();
        let (status, kind) = match error {
            RegistryError::Stale(current) => return Problem::stale(current.to_string(), detail),
            RegistryError::Invalid(invalid) => {
                return Problem::invalid_field(invalid.field, detail)
            }
            RegistryError::Unknown(_) => (StatusCode::NOT_FOUND, "no-such-tenant"),
            RegistryError::Gone(_) => (StatusCode::GONE, "tenant-removed"),
            RegistryError::Exists(_) => (StatusCode::CONFLICT, "tenant-exists"),
            RegistryError::Draining(_) => (StatusCode::CONFLICT, "tenant-draining"),
            RegistryError::TooMany { .. } => (StatusCode::CONFLICT, "too-many"),
            RegistryError::SecretExists(_) | RegistryError::UnknownSecret(_) => {
                (StatusCode::CONFLICT, "secret")
            }
            RegistryError::KeyReused => {
                (StatusCode::UNPROCESSABLE_ENTITY, "idempotency-key-reused")
            }
        };
        Problem::new(status, kind, detail)
    }
}

impl From<RecordError> for Problem {
    fn from(error: RecordError) -> Self {
        let detail = error.to_string();
        let (status, kind) = match &error {
            RecordError::Version(current) => return Problem::stale(current.to_string(), detail),
            RecordError::Malformed(_) => return Problem::invalid_value(detail),
            RecordError::NoRecord => (StatusCode::NOT_FOUND, "no-such-record"),
            RecordError::Claimed(_) => (StatusCode::LOCKED, "record-claimed"),
            RecordError::Sending => (StatusCode::CONFLICT, "record-sending"),
            RecordError::Closed(_) => (StatusCode::CONFLICT, "record-closed"),
            RecordError::ResendBlocked(reason) => (StatusCode::CONFLICT, reason.as_str()),
            RecordError::Settling => (StatusCode::TOO_MANY_REQUESTS, "record-resting"),
            RecordError::NotAccepted => (StatusCode::CONFLICT, "not-handed-over"),
        };
        let problem = Problem::new(status, kind, detail);
        match retry_after(&error) {
            Some(micros) => problem.with_retry_after(micros.div_ceil(MICROS_PER_SECOND)),
            None => problem,
        }
    }
}

/// Microseconds after which a caller may retry, if that is known.
fn retry_after(error: &RecordError) -> Option<u64> {
    match error {
        RecordError::ResendBlocked(ResendBlocked::AttestationTooEarly { retry_after }) => {
            *retry_after
        }
        _ => None,
    }
}

impl From<BatchError> for Problem {
    fn from(error: BatchError) -> Self {
        let detail = error.to_string();
        let (status, kind) = match error {
            BatchError::Version(current) => return Problem::stale(current.to_string(), detail),
            BatchError::Malformed(_) => return Problem::invalid_value(detail),
            BatchError::Exists => (StatusCode::CONFLICT, "batch-exists"),
            BatchError::NotFound => (StatusCode::NOT_FOUND, "no-such-batch"),
            BatchError::TooMany => (StatusCode::CONFLICT, "too-many"),
            BatchError::Ended(_) => (StatusCode::CONFLICT, "batch-over"),
        };
        Problem::new(status, kind, detail)
    }
}
