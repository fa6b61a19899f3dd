//! Calls in flight, and how they ended.

use crate::types::{AttemptOutcome, HostId, Micros, RouteKey};

/// A call in flight; it may carry several messages.
pub(crate) struct Call {
    pub(crate) route: RouteKey,
    pub(crate) host: HostId,
    /// From this moment it counts as slow and as failed, though it may still be answered.
    pub(crate) slow_at: Micros,
    /// It was counted as failed when it became slow.
    pub(crate) is_slow: bool,
    /// Messages whose attempts have not ended.
    pub(crate) pending_messages: usize,
}

impl Call {
    /// A call that starts now, without messages; it counts as slow from `slow_at` on.
    pub(crate) fn starting(route: RouteKey, host: HostId, slow_at: Micros) -> Self {
        Call {
            route,
            host,
            slow_at,
            is_slow: false,
            pending_messages: 0,
        }
    }

    /// Marks the call as slow; returns its route and host.
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
    /// It was counted as failed when it became slow.
    pub(crate) was_slow: bool,
    /// Class of its message; none for a probe.
    pub(crate) class: Option<usize>,
}
