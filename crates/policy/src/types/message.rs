//! Messages, and what is known of them and of destinations from before a restart.

use super::ids::{DestinationId, MessageId, Micros, TenantId};

/// A submitted message.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Message {
    /// Its identifier.
    pub id: MessageId,
    /// Index of its class in the settings.
    pub class: u16,
    /// Its destination.
    pub destination: DestinationId,
    /// Its deadline.
    pub deadline: Micros,
    /// Its ordering key, if it has one.
    pub ordering_key: Option<u64>,
    /// Expected work, if known.
    pub expected_work: Option<Micros>,
    /// Its tenant.
    pub tenant: TenantId,
    /// The client has submitted it before.
    pub is_resubmitted: bool,
    /// Bytes that it takes in the queue; zero where they do not count.
    pub size: usize,
}

/// An attempt that was made before a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PastAttempt {
    /// When it was sent.
    pub sent_at: Micros,
    /// Zone of the host it went to.
    pub zone: u8,
    /// It may have been executed; false if it provably was not.
    pub may_have_executed: bool,
}

/// An outage of a destination that this replica has seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outage {
    /// The destination.
    pub destination: DestinationId,
    /// When it was first seen.
    pub started_at: Micros,
    /// The first success after; none while it lasts.
    pub recovered_at: Option<Micros>,
}
