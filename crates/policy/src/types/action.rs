//! What the policy decides: the actions that its caller carries out.

use super::ids::{HostId, MessageId, Micros};

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Call a host with a message.
    Send {
        /// The message.
        id: MessageId,
        /// The host.
        host: HostId,
        /// The attempt times out after this.
        timeout: Micros,
    },
    /// Probe a host.
    Probe(HostId),
    /// Send a timer event after a while.
    SetTimer {
        /// From now.
        delay: Micros,
        /// Comes back in the event.
        token: u64,
    },
    /// Answer that the message was not delivered and not executed; the client may safely submit it again.
    Reject {
        /// The message.
        id: MessageId,
        /// Retry-After, zero for none.
        retry_after: Micros,
    },
    /// Answer that the message failed; it may have been executed.
    Fail(MessageId),
    /// Cancel an attempt.
    Cancel {
        /// The message.
        id: MessageId,
        /// Which attempt.
        attempt: u8,
    },
    /// Close idle connections to a host.
    CloseIdleConnections(HostId),
    /// Watch the list of hosts, or stop.
    Subscribe(bool),
    /// Poll the full list of hosts once.
    PollDiscovery,
    /// Send a message to one peer, or to all.
    SendToPeers {
        /// Number of the peer; all if none.
        to: Option<u16>,
        /// The content.
        content: Vec<u8>,
    },
    /// Write a line to the log.
    Log(String),
    /// End the process: the policy cannot go on.
    Abort(String),
}
