//! A rate limiter that uses the generic cell rate algorithm (ITU-T I.371, virtual scheduling), which is equivalent to a
//! token bucket.

use policy::types::{Micros, RateLimit};

pub(crate) const MICROS_PER_SECOND: f64 = 1_000_000.0;
/// A shortage below this is a rounding error, in microseconds.
const ROUNDING_TOLERANCE: f64 = 0.5;

/// The state of a rate limiter, which consists of a single point in time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Meter {
    /// When the bucket is full again, in microseconds. Has a fraction because intervals are short at high rates.
    full_at: f64,
}

impl Meter {
    /// Checks that the rate admits one message now.
    ///
    /// # Errors
    ///
    /// How long until the rate admits one, in microseconds.
    pub fn check(&self, now: Micros, rate: RateLimit) -> Result<(), Micros> {
        let shortage = self.full_at.max(now as f64) + MICROS_PER_SECOND / rate.per_second
            - now as f64
            - refill_time(rate);
        if shortage > ROUNDING_TOLERANCE {
            Err(shortage.ceil() as Micros)
        } else {
            Ok(())
        }
    }

    /// Counts one admitted message.
    pub fn consume(&mut self, now: Micros, rate: RateLimit) {
        self.full_at = self.full_at.max(now as f64) + MICROS_PER_SECOND / rate.per_second;
    }

    /// When the bucket is full again.
    pub fn full_at(&self) -> Micros {
        self.full_at.ceil() as Micros
    }

    /// Restores the value of [`Meter::full_at`] from an earlier process.
    pub fn restore(&mut self, full_at: Micros) {
        self.full_at = full_at as f64;
    }

    /// Applies a changed rate. Earlier consumption leaves the bucket empty at most, without further debt.
    pub fn change_rate(&mut self, now: Micros, rate: RateLimit) {
        self.full_at = self.full_at.min(now as f64 + refill_time(rate));
    }
}

/// How long an empty bucket takes to fill, in microseconds. A bucket holds at least one message.
fn refill_time(rate: RateLimit) -> f64 {
    MICROS_PER_SECOND / rate.per_second * rate.burst.max(1.0)
}

#[cfg(test)]
mod tests;
