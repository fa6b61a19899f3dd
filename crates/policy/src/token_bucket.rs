//! A token bucket. The caller passes the rate and the depth to each refill.

use serde::{Deserialize, Serialize};

use crate::types::Micros;

const SECOND: f64 = 1e6;
/// Time of the last refill of a bucket that was never refilled. Its first refill fills it.
const NEVER: Micros = 0;

/// A token bucket. The number of tokens may be negative.
#[derive(Clone, Default, Serialize, Deserialize)]
pub(crate) struct TokenBucket {
    pub(crate) tokens: f64,
    refilled_at: Micros,
}

impl TokenBucket {
    /// Creates a bucket with this number of tokens.
    pub(crate) fn with_tokens(tokens: f64) -> Self {
        TokenBucket {
            tokens,
            refilled_at: NEVER,
        }
    }

    /// Adds `rate` tokens per second for the time since the last refill, up to `depth`. Time before `paused_until` adds
    /// nothing. An infinite rate fills the bucket.
    pub(crate) fn refill(&mut self, now: Micros, paused_until: Micros, rate: f64, depth: f64) {
        let start = self.refilled_at.max(paused_until.min(now));
        let elapsed = (now - start) as f64 / SECOND;
        self.tokens = if rate.is_finite() {
            (self.tokens + rate * elapsed).min(depth)
        } else {
            depth
        };
        self.refilled_at = now;
    }

    /// Removes one token, even if none is left.
    pub(crate) fn take(&mut self) {
        self.tokens -= 1.0;
    }

    /// Reduces the number of tokens to `max` if there are more. A bucket that was never refilled accumulates tokens from
    /// `now` on.
    pub(crate) fn limit_to(&mut self, now: Micros, max: f64) {
        self.tokens = self.tokens.min(max);
        if self.refilled_at == NEVER {
            self.refilled_at = now;
        }
    }

    /// Time until the bucket contains a whole token, at `rate` tokens per second.
    pub(crate) fn time_to_token(&self, rate: f64) -> Micros {
        ((1.0 - self.tokens) / rate * SECOND) as Micros
    }
}
