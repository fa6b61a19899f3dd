//! The monotonic clock in a form that outlasts the process.

use std::time::Duration;

/// Identifies one boot of a machine's kernel. Every boot has a different identifier.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BootId(pub String);

/// A reading of the machine's monotonic clock. Readings of the same boot can be compared, even if different processes
/// took them, and changes of the wall clock don't affect them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BootTime {
    /// The boot during which the clock was read.
    pub boot: BootId,
    /// The time on the monotonic clock. Only differences between readings of the same boot are meaningful.
    pub elapsed: Duration,
}
