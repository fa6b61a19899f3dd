//! A rolling window of call results: a queue of samples in order of time. It holds no threshold.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::types::Micros;

/// How a call counts for its route.
#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum CallResult {
    /// It was delivered.
    Success,
    /// The destination rejected it unseen.
    Rejected,
    /// It failed, or counts as failed since it became slow.
    Failure,
}

/// One call of the window.
#[derive(Clone, Serialize, Deserialize)]
pub(crate) struct Sample {
    at: Micros,
    result: CallResult,
}

/// The results of recent calls, the oldest first.
#[derive(Clone, Default, Serialize, Deserialize)]
pub(crate) struct RollingWindow {
    samples: VecDeque<Sample>,
}

impl RollingWindow {
    /// Adds a result and drops samples that are older than `span`.
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

    /// Number of samples.
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

    /// Number of samples with this result that are no older than `span`.
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

    /// When the latest call ended.
    pub(crate) fn latest_at(&self) -> Option<Micros> {
        self.samples.back().map(|sample| sample.at)
    }

    /// When the latest call with this result ended.
    pub(crate) fn last_at(&self, result: CallResult) -> Option<Micros> {
        self.samples
            .iter()
            .rfind(|sample| sample.result == result)
            .map(|sample| sample.at)
    }

    /// Takes out the latest sample with this result.
    pub(crate) fn remove_last(&mut self, result: CallResult) {
        if let Some(index) = self
            .samples
            .iter()
            .rposition(|sample| sample.result == result)
        {
            self.samples.remove(index);
        }
    }

    /// Drops all but the latest `count` samples.
    pub(crate) fn keep_latest(&mut self, count: usize) {
        self.samples
            .drain(..self.samples.len().saturating_sub(count));
    }
}
