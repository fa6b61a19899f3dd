//! Messages that were given up: their records, which of them may be sent again, and their store.
//!
//! All decisions are free of I/O: [`resend_policy`] decides whether a record may be sent again, [`record`] has the
//! transitions of its state, [`batch`] and [`rules`] decide which records are resent next. [`store`] keeps records in
//! an embedded database over a file that the caller opens. Each record has a version that grows with every change; a
//! request for a change names the version that its caller has read, so that of two concurrent requests one fails.

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

/// A moment in Unix time or a duration, in microseconds.
pub type Micros = u64;

pub use filter::Filter;
pub use record::{
    Attempt, Idempotency, Outcome, Reason, Record, RecordId, RecordState, Resolution,
};
pub use resend_policy::{ResendBlocked, ResendPermit, ResendPolicy};
pub use store::Store;
