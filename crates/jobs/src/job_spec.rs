//! What a caller specifies of a job.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::priority_class::PriorityClass;
use crate::time::Micros;

/// Identifies a job; later jobs have larger numbers.
pub type JobId = u64;

/// Longest name of a job, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Most jobs that one job may depend on.
pub const MAX_DEPENDENCIES: usize = 16;

/// Who a job belongs to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Owner {
    /// The relay itself.
    System,
    /// The tenant of this name.
    Tenant(String),
}

/// The specification of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Name for operators; 1 to [`MAX_NAME_BYTES`] bytes without control characters.
    pub name: String,
    /// Who the job belongs to.
    pub owner: Owner,
    /// Class of priority.
    pub class: PriorityClass,
    /// The first slice starts at this time or later.
    pub not_before: Micros,
    /// Until this time, the job with the earliest deadline goes first among its owner's jobs. Nothing fails when a
    /// deadline passes.
    pub deadline: Option<Micros>,
    /// The job repeats without end, each period counted from the start of the one before; more than 0.
    pub period: Option<Micros>,
    /// Jobs that have to be completed first; [`MAX_DEPENDENCIES`] at most.
    pub dependencies: Vec<JobId>,
    /// Most attempts of one slice; 1 or more.
    pub max_attempts: u32,
    /// Whether a slice that may have executed can be executed again from the checkpoint before it.
    pub is_idempotent: bool,
}

/// Why the specification of a job is not valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SpecError {
    /// The name is empty, too long, or has control characters.
    #[error("a name is empty, over {MAX_NAME_BYTES} bytes, or has control characters")]
    InvalidName,
    /// The attempts or the period are 0.
    #[error("tries or a period of 0")]
    ZeroAttemptsOrPeriod,
    /// There are too many dependencies, or one of them does not exist.
    #[error("it is to come after over {MAX_DEPENDENCIES} jobs, or after one that is not there")]
    InvalidDependencies,
}

impl JobSpec {
    /// Checks the bounds of all values; whether the dependencies exist is not known here.
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
