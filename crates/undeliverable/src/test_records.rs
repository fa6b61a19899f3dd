//! Attempts and records for the tests of this crate.

use crate::record::{Attempt, Idempotency, Origin, Outcome, Reason, Record, RecordState};
use crate::Micros;

/// An attempt that timed out if it may have run, or else one that the host rejected.
pub(crate) fn attempt(sent: Micros, may_have_run: bool) -> Attempt {
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

/// An open record of a payout by the tenant `acme`, given up at 5 s.
pub(crate) fn record(idempotency: Idempotency, attempts: Vec<Attempt>) -> Record {
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
        idempotency,
        size: 10,
        given_up_at: 5_000_000,
        reason: Reason::OutOfTime,
        attempts,
        attestations: Vec::new(),
        state: RecordState::Open,
        version: 1,
        resends: 0,
        calls_ended_at: None,
    }
}
