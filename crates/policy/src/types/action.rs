//! The actions that the policy returns and its caller carries out.

use super::ids::{HostId, MessageId, Micros};

/// An action for the caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to a host.
    Send {
        /// The message to send.
        id: MessageId,
        /// The host to call.
        host: HostId,
        /// Time after which the attempt times out.
        timeout: Micros,
    },
    /// Probe a host without a message, and report the result as `Event::ProbeEnded`.
    Probe(HostId),
    /// Send [`Event::TimerFired`](super::Event::TimerFired) after a delay.
    SetTimer {
        /// Time until the timer fires.
        delay: Micros,
        /// Value to return in the event.
        token: u64,
    },
    /// Answer that the message was not delivered and not executed; the client may safely submit it again.
    Reject {
        /// The rejected message.
        id: MessageId,
        /// Retry-After for the client; zero for none.
        retry_after: Micros,
    },
    /// Answer that the message failed; it may have been executed.
    Fail(MessageId),
    /// Cancel an attempt that is in flight.
    Cancel {
        /// The message of the attempt.
        id: MessageId,
        /// Number of the attempt, from 0.
        attempt: u8,
    },
    /// Close idle connections to a host.
    CloseIdleConnections(HostId),
    /// Start to watch the list of hosts, or stop if false.
    Subscribe(bool),
    /// Poll the full list of hosts once.
    PollDiscovery,
    /// Send a message to one peer, or to all.
    SendToPeers {
        /// Number of the peer; `None` for all peers.
        to: Option<u16>,
        /// Content of the message.
        content: Vec<u8>,
    },
    /// Write a line to the log.
    Log(String),
    /// End the process for the given reason, as the policy cannot continue.
    Abort(String),
}
