//! A scheduler for background jobs. It decides which job runs next and for how long, and tracks the state of each job.
//!
//! This crate does no I/O and reads no clock. The caller passes the time with every call, runs the slices that
//! [`Scheduler::next_decision`] chooses, and reports their resource usage with [`Scheduler::slice_completed`]. A
//! [`Job`] is the state machine of one job; the [`Scheduler`] chooses between all jobs.

#![warn(missing_docs)]

mod budget;
mod error;
mod job;
mod job_spec;
mod job_table;
mod priority_class;
mod scheduler;
mod settings;
mod time;

pub use budget::{Budget, ResourceUsage};
pub use error::SchedulerError;
pub use job::{
    FailureCause, Job, JobCommand, JobState, SliceOutcome, MAX_CHECKPOINT_BYTES, MAX_RETRY_BACKOFF,
    MIN_RETRY_BACKOFF,
};
pub use job_spec::{JobId, JobSpec, Owner, SpecError, MAX_DEPENDENCIES, MAX_NAME_BYTES};
pub use job_table::MAX_FINISHED_JOBS;
pub use priority_class::PriorityClass;
pub use scheduler::{LiveTraffic, Scheduler, SchedulerDecision};
pub use settings::{Settings, SettingsError};
pub use time::Micros;
