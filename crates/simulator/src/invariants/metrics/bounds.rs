//! Bounds of a count that is only partly known.

/// Deviation that is always tolerated; a larger percentage takes precedence.
const MIN_TOLERANCE: u64 = 3;

/// The range of a count, by what was observed.
#[derive(Clone, Copy, Default)]
pub(super) struct Bounds {
    /// Events that were certainly counted.
    pub min: u64,
    /// Events that may have been counted.
    pub max: u64,
}

impl Bounds {
    /// Adds an event that was certainly counted, or may have been.
    pub fn count(&mut self, is_certain: bool) {
        self.min += u64::from(is_certain);
        self.max += 1;
    }

    /// Adds `more` events that may have been counted.
    pub fn allow(&mut self, more: u64) {
        self.max += more;
    }

    /// Removes the upper bound.
    pub fn lift_max(&mut self) {
        // Small enough that the multiplication by a percentage does not overflow.
        self.max = u64::MAX / 200;
    }

    /// Whether a value lies within the bounds, with a tolerance in percent.
    pub fn contain(self, value: u64, tolerance_percent: u64) -> bool {
        let tolerance = |bound: u64| MIN_TOLERANCE.max(bound * tolerance_percent / 100);
        value + tolerance(self.min) >= self.min && value <= self.max + tolerance(self.max)
    }
}
