//! Messages that were given up: kept with their story, looked through, and sent again without a second effect.
//!
//! What is decided here has no I/O: [`decide`] says whether a record may be sent again, [`record`] how its state
//! changes, [`batch`] and [`rules`] which records are next. [`store`] keeps records in an embedded database over a
//! file that the caller gives. Each record has a version that grows with every change; whoever wants to change one
//! names the version that was seen, so that of two who ask for the same only one is heard.

pub mod batch;
pub mod filter;
pub mod record;
pub mod resend_policy;
pub mod rules;
pub mod store;

/// A moment or a span, in microseconds.
pub type Micros = u64;

pub use filter::Filter;
pub use record::{
    Attempt, Idempotency, Outcome, Reason, Record, RecordId, RecordState, Resolution,
};
pub use resend_policy::{ResendBlocked, ResendPermit, ResendPolicy};
pub use store::Store;
