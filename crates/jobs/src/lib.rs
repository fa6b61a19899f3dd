//! The scheduler for background jobs: which job runs next, for how long, and what happens to it afterwards.
//!
//! Nothing here does I/O or reads a clock. The caller passes the time with every call, runs the slices that
//! [`Scheduler::next_decision`] chooses, and reports with [`Scheduler::slice_completed`] what they used. A [`Job`] is the
//! state machine of one job; the [`Scheduler`] chooses between all of them.

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
