//! How much a tenant has handed in against its rate.

use policy::types::{Micros, RateLimit};

const SECOND: f64 = 1_000_000.0;

/// A meter by the generic cell rate algorithm (ITU-T I.371, virtual scheduling): one moment is all its state.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Meter {
    /// When the bucket will be full again, in microseconds; fractions matter at high rates.
    full_at: f64,
}

impl Meter {
    /// Whether the rate has room for one message; if not, how long until it has.
    pub fn room(&self, now: Micros, rate: RateLimit) -> Result<(), Micros> {
        let early =
            self.full_at.max(now as f64) + SECOND / rate.per_second - now as f64 - depth(rate);
        // Half a microsecond for rounding.
        if early > 0.5 {
            Err(early.ceil() as Micros)
        } else {
            Ok(())
        }
    }

    /// Counts one message.
    pub fn take(&mut self, now: Micros, rate: RateLimit) {
        self.full_at = self.full_at.max(now as f64) + SECOND / rate.per_second;
    }

    /// When all that was taken is made good, in microseconds.
    pub fn full_at(&self) -> Micros {
        self.full_at.ceil() as Micros
    }

    /// Goes on from what another process knew.
    pub fn resume(&mut self, full_at: Micros) {
        self.full_at = full_at as f64;
    }

    /// The rate is another from now on: what was taken by the old one leaves a debt of one bucket at most.
    pub fn change(&mut self, now: Micros, rate: RateLimit) {
        self.full_at = self.full_at.min(now as f64 + depth(rate));
    }
}

/// How long an empty bucket takes to fill, in microseconds.
fn depth(rate: RateLimit) -> f64 {
    SECOND / rate.per_second * rate.burst.max(1.0)
}

#[cfg(test)]
mod tests;
