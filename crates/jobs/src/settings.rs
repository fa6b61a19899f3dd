//! The operator's settings of the scheduler.

use crate::budget::Budget;
use crate::priority_class::PriorityClass;
use crate::time::{Micros, MICROS_PER_SECOND};

/// Upper bound of the configured slice lengths, in microseconds: a live call has to wait for a slice that is running.
const MAX_SLICE: Micros = 100_000;

/// The operator's settings of the scheduler.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Budgets, in the order of [`PriorityClass::ALL`].
    pub budgets: [Budget; PriorityClass::COUNT],
    /// Maximum length of a slice, in microseconds.
    pub max_slice: Micros,
    /// Length of a slice while live calls need the core, in microseconds. It is also the quantum of the round robin:
    /// a class's turn adds this length times its weight to its deficit.
    pub busy_slice: Micros,
    /// While live calls need the core continuously, one slice runs after each interval of this length, in microseconds.
    pub starvation_interval: Micros,
    /// Maximum number of unfinished jobs.
    pub max_jobs: usize,
    /// Maximum number of unfinished jobs of one owner.
    pub max_jobs_per_owner: usize,
}

/// Why settings are invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// A class's weight is 0, or its processor time is 0 or more than one second per second.
    #[error("work: {class:?}: the weight is 0, or the time is not from 1 us to 1 s per second")]
    InvalidBudget {
        /// The class of the invalid budget.
        class: PriorityClass,
    },
    /// A slice length is out of bounds, or [`Settings::busy_slice`] exceeds [`Settings::max_slice`].
    #[error("work: a slice length is not from 1 us to 100 ms, or the busy slice exceeds the maximum slice")]
    InvalidSlice,
    /// A limit on jobs, or the starvation interval, is 0.
    #[error("work: a limit on jobs, or the starvation interval, is 0")]
    ZeroBound,
}

impl Default for Settings {
    fn default() -> Self {
        let budget = |weight, time| Budget {
            weight,
            time,
            bytes: 16 << 20,
            calls: 100,
        };
        Settings {
            budgets: [
                budget(8, 200_000),
                budget(4, 100_000),
                budget(2, 50_000),
                budget(1, 20_000),
            ],
            max_slice: 2_000,
            busy_slice: 500,
            starvation_interval: MICROS_PER_SECOND,
            max_jobs: 10_000,
            max_jobs_per_owner: 1_000,
        }
    }
}

impl Settings {
    /// Checks all values. The text of the error is a single line.
    ///
    /// # Errors
    ///
    /// The first value out of bounds, budgets first.
    pub fn check(&self) -> Result<(), SettingsError> {
        for (class, budget) in PriorityClass::ALL.into_iter().zip(&self.budgets) {
            if budget.weight == 0 || budget.time == 0 || budget.time > MICROS_PER_SECOND {
                return Err(SettingsError::InvalidBudget { class });
            }
        }
        if self.busy_slice == 0 || self.busy_slice > self.max_slice || self.max_slice > MAX_SLICE {
            return Err(SettingsError::InvalidSlice);
        }
        if self.max_jobs == 0 || self.max_jobs_per_owner == 0 || self.starvation_interval == 0 {
            return Err(SettingsError::ZeroBound);
        }
        Ok(())
    }
}
