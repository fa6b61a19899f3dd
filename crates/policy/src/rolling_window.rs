//! The rolling window of recent calls: a queue of samples by time.

use crate::state::{Route, Verdict};
use crate::tuning::TALLY_WINDOW;
use crate::types::Micros;

impl Route {
    pub(crate) fn count(&self, verdict: Verdict) -> usize {
        self.tally.iter().filter(|(_, v)| *v == verdict).count()
    }

    pub(crate) fn push(&mut self, now: Micros, verdict: Verdict) {
        self.tally.push_back((now, verdict));
        while self.tally.front().is_some_and(|(at, _)| at + TALLY_WINDOW < now) {
            self.tally.pop_front();
        }
    }
}
