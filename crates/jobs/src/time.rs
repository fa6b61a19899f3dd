//! The unit of time.

/// A point in Unix time or a duration, in microseconds.
pub type Micros = u64;

pub(crate) const MICROS_PER_SECOND: Micros = 1_000_000;
