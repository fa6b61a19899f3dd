//! Background work: which job runs next, for how long, and what becomes of it.
//!
//! Nothing here has I/O or a clock: the caller tells the time in microseconds, runs the slices, and tells what they
//! took. [`job`] has the states of one job, [`scheduler`] the choice between many.

#![warn(missing_docs)]

pub mod job;
pub mod scheduler;

/// Microseconds: of Unix time where a moment is meant, else a span.
pub type Micros = u64;

pub use job::{Job, JobId, Order, Owner, Slice, Spec, State};
pub use scheduler::{Class, Next, Refusal, Settings, Work};
