//! Undeliverable messages: the records of messages that were given up, the policy for resending them, and their store.
//!
//! All decisions are free of I/O: [`resend_policy`] decides whether a record may be resent, [`record`] implements its
//! state transitions, and [`batch`] and [`rules`] decide which records are resent next. [`store`] keeps records in an
//! embedded database over a file that the caller opens. Each record has a version that increases with every change. A
//! change request names the version that its caller has read, so one of two concurrent requests fails.

pub mod attestation;
pub mod batch;
pub mod filter;
pub mod record;
mod resend_blocked;
pub mod resend_policy;
pub mod rules;
pub mod store;
#[cfg(test)]
mod test_records;

/// A point in Unix time or a duration, in microseconds.
pub type Micros = u64;

pub use filter::Filter;
pub use record::{
    Attempt, Idempotency, Outcome, Reason, Record, RecordId, RecordState, Resolution,
};
pub use resend_policy::{ResendBlocked, ResendPermit, ResendPolicy};
pub use store::Store;
