//! Units of time.

/// Microseconds: since the Unix epoch where a point in time is meant, otherwise a duration.
pub type Micros = u64;

pub(crate) const MICROS_PER_SECOND: Micros = 1_000_000;
