//! Messages, and records of attempts and outages from before a restart.

use super::ids::{DestinationId, MessageId, Micros, TenantId};

/// A submitted message.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Message {
    /// Identifier of the message.
    pub id: MessageId,
    /// Index of the message's class in [`Settings::classes`](super::Settings::classes).
    pub class: u16,
    /// Destination whose hosts may receive the message.
    pub destination: DestinationId,
    /// Time by which the message must have its final answer.
    pub deadline: Micros,
    /// Ordering key, if any; see [`Class::is_ordered`](super::Class::is_ordered).
    pub ordering_key: Option<u64>,
    /// Expected work of the call, if known; it extends the latency objective.
    pub expected_work: Option<Micros>,
    /// Tenant that submitted the message.
    pub tenant: TenantId,
    /// The client has submitted the message before.
    pub is_resubmitted: bool,
    /// Size of the message in the queue, in bytes; zero if bytes are not counted.
    pub size: usize,
}

/// An attempt that was made before a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PastAttempt {
    /// Time at which the attempt was sent.
    pub sent_at: Micros,
    /// Zone of the called host.
    pub zone: u8,
    /// The attempt may have been executed; false if it provably was not.
    pub may_have_executed: bool,
}

/// An outage of a destination that this replica has detected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outage {
    /// Destination that was down.
    pub destination: DestinationId,
    /// Time of the start of the outage, as this replica has detected it.
    pub started_at: Micros,
    /// Time of the first success after the outage; `None` while it lasts.
    pub recovered_at: Option<Micros>,
}
