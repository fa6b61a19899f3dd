//! Resource budgets of the priority classes, and what remains of them.

use crate::time::{Micros, MICROS_PER_SECOND};

/// The resources that a priority class may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// The class's share of processor time relative to the other classes' weights; 1 or more.
    pub weight: u64,
    /// Microseconds of processor time per second.
    pub time: Micros,
    /// Bytes per second.
    pub bytes: u64,
    /// Calls per second.
    pub calls: u64,
}

/// The resources that a slice used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResourceUsage {
    /// Processor time, in microseconds.
    pub time: Micros,
    /// Bytes, as counted by the caller.
    pub bytes: u64,
    /// Calls, as counted by the caller.
    pub calls: u64,
}

/// What remains of a class's budget. Values are negative after a slice that used more than remained.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RemainingBudget {
    /// Deficit of the round robin between classes, in microseconds: the class may run while it is positive.
    pub(crate) deficit: i64,
    /// Microseconds of processor time.
    pub(crate) time: i64,
    bytes: i64,
    calls: i64,
}

impl RemainingBudget {
    /// One second's budget, and no deficit.
    pub(crate) fn full(budget: &Budget) -> Self {
        RemainingBudget {
            deficit: 0,
            time: budget.time as i64,
            bytes: budget.bytes as i64,
            calls: budget.calls as i64,
        }
    }

    /// Whether time, bytes and calls all remain.
    pub(crate) fn allows_slice(&self) -> bool {
        self.time > 0 && self.bytes > 0 && self.calls > 0
    }

    /// Adds the budget for `elapsed` microseconds, at most 1,000,000. No value exceeds the budget of one second.
    pub(crate) fn refill(&mut self, budget: &Budget, elapsed: Micros) {
        self.time = refilled(self.time, budget.time, elapsed);
        self.bytes = refilled(self.bytes, budget.bytes, elapsed);
        self.calls = refilled(self.calls, budget.calls, elapsed);
    }

    /// Subtracts what a slice used. An overrun delays later slices, but is limited to the budget of one second.
    pub(crate) fn charge(&mut self, budget: &Budget, usage: ResourceUsage) {
        self.deficit = charged(self.deficit, usage.time.max(1), MICROS_PER_SECOND);
        self.time = charged(self.time, usage.time, budget.time);
        self.bytes = charged(self.bytes, usage.bytes, budget.bytes);
        self.calls = charged(self.calls, usage.calls, budget.calls);
    }
}

fn refilled(remaining: i64, per_second: u64, elapsed: Micros) -> i64 {
    // The product of two 64-bit numbers needs 128 bits.
    let granted = u128::from(per_second) * u128::from(elapsed) / u128::from(MICROS_PER_SECOND);
    (remaining + granted as i64).min(per_second as i64)
}

fn charged(remaining: i64, used: u64, max_debt: u64) -> i64 {
    let lower_bound = -(max_debt.min(i64::MAX as u64) as i64);
    remaining.saturating_sub_unsigned(used).max(lower_bound)
}
