//! Errors of the scheduler.

use thiserror::Error;

use crate::job_spec::SpecError;
use crate::time::Micros;

/// Why a job is rejected, or a command is not applied.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SchedulerError {
    /// There is no job with this number.
    #[error("there is no such job")]
    JobNotFound,
    /// The job has changed since the caller read it.
    #[error("the job has changed: its current version is {current}")]
    VersionMismatch {
        /// The job's current version.
        current: u64,
    },
    /// The job is finished, or the command would not change it.
    #[error("the job is finished, or the command would not change it")]
    NoChange,
    /// The maximum number of unfinished jobs is reached, for all owners or for this one.
    #[error("the maximum number of unfinished jobs is reached")]
    QueueFull {
        /// How long the caller should wait before it submits again, in microseconds.
        retry_after: Micros,
    },
    /// The specification is invalid.
    #[error(transparent)]
    InvalidSpec(#[from] SpecError),
}
