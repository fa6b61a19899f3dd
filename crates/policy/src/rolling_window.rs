//! A rolling window of call results in chronological order. Thresholds are left to its users.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::types::Micros;

/// How a call counts for the circuit breaker of its route.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum CallResult {
    /// The message was delivered.
    Success,
    /// The destination rejected the call without executing it.
    Rejected,
    /// The call failed, or became slow and so counts as failed.
    Failure,
}

/// A call in the window.
#[derive(Clone, Serialize, Deserialize)]
pub(crate) struct Sample {
    at: Micros,
    result: CallResult,
}

/// The results of recent calls, oldest first.
#[derive(Clone, Default, Serialize, Deserialize)]
pub(crate) struct RollingWindow {
    samples: VecDeque<Sample>,
}

impl RollingWindow {
    /// Adds a result and removes samples that are older than `span`.
    pub(crate) fn record(&mut self, now: Micros, span: Micros, result: CallResult) {
        self.samples.push_back(Sample { at: now, result });
        while self
            .samples
            .front()
            .is_some_and(|oldest| oldest.at + span < now)
        {
            self.samples.pop_front();
        }
    }

    /// Number of samples in the window.
    pub(crate) fn len(&self) -> usize {
        self.samples.len()
    }

    /// Number of samples with this result.
    pub(crate) fn count(&self, result: CallResult) -> usize {
        self.samples
            .iter()
            .filter(|sample| sample.result == result)
            .count()
    }

    /// Number of samples with this result that are not older than `span`.
    pub(crate) fn count_within(&self, result: CallResult, span: Micros, now: Micros) -> usize {
        let recent = self.samples.iter().filter(|sample| sample.at + span >= now);
        recent.filter(|sample| sample.result == result).count()
    }

    /// Number of samples with this result among the latest `samples`.
    pub(crate) fn count_latest(&self, samples: usize, result: CallResult) -> usize {
        self.samples
            .iter()
            .rev()
            .take(samples)
            .filter(|sample| sample.result == result)
            .count()
    }

    /// Time of the latest sample.
    pub(crate) fn latest_at(&self) -> Option<Micros> {
        self.samples.back().map(|sample| sample.at)
    }

    /// Time of the latest sample with this result.
    pub(crate) fn last_at(&self, result: CallResult) -> Option<Micros> {
        self.samples
            .iter()
            .rfind(|sample| sample.result == result)
            .map(|sample| sample.at)
    }

    /// Removes the latest sample with this result.
    pub(crate) fn remove_last(&mut self, result: CallResult) {
        if let Some(index) = self
            .samples
            .iter()
            .rposition(|sample| sample.result == result)
        {
            self.samples.remove(index);
        }
    }

    /// Removes all but the latest `count` samples.
    pub(crate) fn keep_latest(&mut self, count: usize) {
        self.samples
            .drain(..self.samples.len().saturating_sub(count));
    }
}
