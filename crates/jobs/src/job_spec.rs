//! The specification of a job.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::priority_class::PriorityClass;
use crate::time::Micros;

/// Number of a job, from 1, in the order of submission.
pub type JobId = u64;

/// Maximum length of a job's name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Maximum number of jobs that one job may depend on.
pub const MAX_DEPENDENCIES: usize = 16;

/// Who a job belongs to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Owner {
    /// The relay itself.
    System,
    /// The tenant of this name.
    Tenant(String),
}

/// The specification of a job. Points in time are Unix time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Name for operators; 1 to [`MAX_NAME_BYTES`] bytes without control characters.
    pub name: String,
    /// Who the job belongs to.
    pub owner: Owner,
    /// Priority class, whose budget the job's slices use.
    pub class: PriorityClass,
    /// Earliest time at which the first slice may start.
    pub not_before: Micros,
    /// Among the jobs of one owner, the one with the earliest deadline runs first. A deadline that has passed has no
    /// effect: it gives no precedence, and the job does not fail.
    pub deadline: Option<Micros>,
    /// The job repeats indefinitely with this period, which is counted from the start of the previous one. Must not be
    /// 0; none if the job runs once.
    pub period: Option<Micros>,
    /// Jobs that have to complete before this one starts; at most [`MAX_DEPENDENCIES`].
    pub dependencies: Vec<JobId>,
    /// Maximum attempts of one slice; 1 or more.
    pub max_attempts: u32,
    /// Whether a slice that may have executed can be executed again from the checkpoint before it.
    pub is_idempotent: bool,
}

/// Why the specification of a job is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SpecError {
    /// The name is empty, too long, or contains control characters.
    #[error(
        "the name is empty, longer than {MAX_NAME_BYTES} bytes, or contains control characters"
    )]
    InvalidName,
    /// The maximum of attempts or the period is 0.
    #[error("the maximum of attempts or the period is 0")]
    ZeroAttemptsOrPeriod,
    /// There are too many dependencies, or one of them does not exist.
    #[error(
        "the job depends on more than {MAX_DEPENDENCIES} jobs, or on a job that does not exist"
    )]
    InvalidDependencies,
}

impl JobSpec {
    /// Checks the bounds of all values. The caller checks whether the dependencies exist.
    pub(crate) fn check(&self) -> Result<(), SpecError> {
        let is_name_valid = !self.name.is_empty()
            && self.name.len() <= MAX_NAME_BYTES
            && !self.name.chars().any(char::is_control);
        if !is_name_valid {
            return Err(SpecError::InvalidName);
        }
        if self.max_attempts == 0 || self.period == Some(0) {
            return Err(SpecError::ZeroAttemptsOrPeriod);
        }
        if self.dependencies.len() > MAX_DEPENDENCIES {
            return Err(SpecError::InvalidDependencies);
        }
        Ok(())
    }
}
