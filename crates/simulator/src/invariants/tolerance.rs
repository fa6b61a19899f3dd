//! Tolerances for events whose time of arrival at the relay is not known.

use std::time::Duration;

/// Time for which data that was in flight at some time may still arrive.
pub(super) const IN_FLIGHT_TOLERANCE: Duration = Duration::from_millis(50);
/// Notifications that the relay received less than this before a kill may not have reached the disk.
pub(super) const UNSAVED_BEFORE_KILL: Duration = Duration::from_millis(100);
