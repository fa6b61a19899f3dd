//! What the invariant allows for because the relay's queue is known from outside only.

use std::time::Duration;

/// Messages on their way, which the relay may count otherwise.
pub(super) const IN_FLIGHT_MESSAGES: usize = 4;
/// Time after a start, a change, or a fault of the disk for which rejections are not judged.
pub(super) const SETTLE_TIME: Duration = Duration::from_secs(2);
