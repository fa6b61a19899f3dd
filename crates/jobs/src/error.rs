//! Errors of the scheduler.

use thiserror::Error;

use crate::job_spec::SpecError;
use crate::time::Micros;

/// Why a job is rejected, or a command has no effect.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SchedulerError {
    /// There is no job of this number.
    #[error("there is no such job")]
    JobNotFound,
    /// The job has changed since the caller read it.
    #[error("the job is in version {current} by now")]
    VersionMismatch {
        /// The job's present version.
        current: u64,
    },
    /// The job is finished, or the command would not change it.
    #[error("the job is over, or does so already")]
    NoChange,
    /// There are as many unfinished jobs as the settings allow, of all owners or of this one.
    #[error("as many jobs are under way as may be")]
    QueueFull {
        /// When the caller may try again, in microseconds from now.
        retry_after: Micros,
    },
    /// The specification is not valid.
    #[error(transparent)]
    InvalidSpec(#[from] SpecError),
}
