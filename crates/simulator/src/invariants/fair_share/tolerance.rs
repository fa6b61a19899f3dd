//! Tolerances of the invariant, as the relay's queue is observed from outside only.

use std::time::Duration;

/// Number of messages in flight that the relay may count differently.
pub(super) const IN_FLIGHT_MESSAGES: usize = 4;
/// Time after a start, a change, or a fault of the disk for which rejections are not checked.
pub(super) const SETTLE_TIME: Duration = Duration::from_secs(2);
