//! Bounds of a count that is only partly known.

/// A count may be off by this, or by its percentage if that is more.
const MIN_TOLERANCE: u64 = 3;

/// What a count may be, by what was observed.
#[derive(Clone, Copy, Default)]
pub(super) struct Bounds {
    /// What was certainly counted.
    pub min: u64,
    /// What may have been counted.
    pub max: u64,
}

impl Bounds {
    /// Something was counted, or may have been.
    pub fn count(&mut self, is_certain: bool) {
        self.min += u64::from(is_certain);
        self.max += 1;
    }

    /// More may have been counted, up to a number.
    pub fn allow(&mut self, more: u64) {
        self.max += more;
    }

    /// Any number may have been counted.
    pub fn lift_max(&mut self) {
        // Small enough for the percentage of it.
        self.max = u64::MAX / 200;
    }

    /// Whether they contain a value, which may be off by a percentage.
    pub fn contain(self, value: u64, tolerance_percent: u64) -> bool {
        let tolerance = |bound: u64| MIN_TOLERANCE.max(bound * tolerance_percent / 100);
        value + tolerance(self.min) >= self.min && value <= self.max + tolerance(self.max)
    }
}
