//! Records of calls in flight and of ended calls.

use crate::types::{AttemptOutcome, HostId, Micros, RouteKey};

/// A call in flight, which may carry several messages.
pub(crate) struct Call {
    pub(crate) route: RouteKey,
    pub(crate) host: HostId,
    /// Time from which the call counts as slow, and so as failed, although it may still be answered.
    pub(crate) slow_at: Micros,
    /// The call became slow and was counted as failed at that time.
    pub(crate) is_slow: bool,
    /// Number of messages in the call whose attempts have not ended.
    pub(crate) pending_messages: usize,
}

impl Call {
    /// Creates a call without messages that counts as slow from `slow_at` on.
    pub(crate) fn starting(route: RouteKey, host: HostId, slow_at: Micros) -> Self {
        Call {
            route,
            host,
            slow_at,
            is_slow: false,
            pending_messages: 0,
        }
    }

    /// Marks the call as slow and returns its route and host.
    pub(crate) fn mark_slow(&mut self) -> (RouteKey, HostId) {
        self.is_slow = true;
        (self.route, self.host)
    }
}

/// How a call or probe ended.
pub(crate) struct CallEnd {
    pub(crate) route: RouteKey,
    pub(crate) host: HostId,
    pub(crate) outcome: AttemptOutcome,
    pub(crate) elapsed: Micros,
    /// The call was counted as failed when it became slow.
    pub(crate) was_slow: bool,
    /// Class of the message that ended the call; `None` for a probe without a message.
    pub(crate) class: Option<usize>,
}
