//! What invariants allow for where the moment is not known at which something reached the relay.

use std::time::Duration;

/// Time for which what was on its way at a moment may still pass.
pub(super) const IN_FLIGHT_TOLERANCE: Duration = Duration::from_millis(50);
/// What the relay was notified of less than this before a kill may not have reached the disk.
pub(super) const UNSAVED_BEFORE_KILL: Duration = Duration::from_millis(100);
