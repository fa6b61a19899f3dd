//! Observations that a relay's peers report.

use std::time::Duration;

use super::message::{CallId, CallOutcome, ReceivedCall, SubmittedRequest};
use super::tenant::{TenantChange, TenantSnapshot};

/// An event at or around a relay, reported when it occurs.
pub enum Observation<'a> {
    /// A process of the relay starts.
    ProcessStarted(u32),
    /// The relay replies to `PING` for the first time since its start.
    ProcessReady,
    /// The relay receives SIGTERM.
    TerminationRequested,
    /// The relay's process has ended, whether killed or by itself.
    ProcessTerminated,
    /// The relay's process has exited by itself, with this result.
    ProcessExited(&'a Result<(), String>),
    /// Size of the state directory, in bytes.
    DiskUsage(u64),
    /// From now on writes to the disk fail (true) or succeed again (false).
    DiskFull(bool),
    /// The simulation exceeded its limit of steps.
    StepLimitExceeded,
    /// The platform's endpoint for notices is unavailable for a period.
    NoticeEndpointDown {
        /// Start of the outage.
        from: Duration,
        /// End of the outage.
        until: Duration,
    },
    /// The last byte of a request was sent.
    RequestSent(&'a SubmittedRequest),
    /// A client reads the reply to its request.
    ReplyReceived {
        /// The message's id.
        id: &'a str,
        /// The reply's line.
        reply: &'a str,
    },
    /// A client stops waiting for the reply to its request; holds the message's id.
    RequestAbandoned(&'a str),
    /// Result of waiting for the relay to reject malformed input with an error line or a close.
    MalformedInputChecked {
        /// When the input was sent.
        sent_at: Duration,
        /// Whether the relay sent an error line or closed the connection in time.
        was_rejected: bool,
    },
    /// A host received the last byte of a call.
    CallReceived {
        /// The call.
        call: &'a ReceivedCall,
        /// Returns whether the relay still holds the connection with the given number.
        is_connection_open: &'a dyn Fn(u64) -> bool,
    },
    /// A host writes the status line of its response.
    ResponseStarted {
        /// The call.
        call: &'a CallId,
        /// The outcome that the status line reports.
        outcome: CallOutcome,
    },
    /// The relay has read the response to a call.
    ResponseRead(&'a CallId),
    /// A host detects the end of a call's connection.
    CallConnectionClosed(&'a CallId),
    /// The platform receives a notice.
    NoticeReceived {
        /// The message's id.
        id: &'a str,
        /// Final status of the message, as the notice's text.
        status: &'a str,
    },
    /// Discovery is polled for the list or for its changes.
    DiscoveryPolled,
    /// A host has accepted a connection; holds the number of connections it has open now.
    HostConnectionAccepted(usize),
    /// Discovery has sent the entry of a host to the relay.
    HostStatusSent {
        /// The host's id.
        host: &'a str,
        /// Whether it is up.
        is_up: bool,
    },
    /// The entry of a host in discovery's list has changed.
    HostStatusListed {
        /// The host's id.
        host: &'a str,
        /// Whether it is up.
        is_up: bool,
        /// When the relay counts as notified, unless the entry is sent to it earlier.
        notified_at: Duration,
    },
    /// A discovery poll starts to wait for its response (true), or was answered or abandoned (false).
    DiscoveryPollPending(bool),
    /// From now on the relay's discovery agent sends nothing (true) or sends again (false).
    DiscoverySilent(bool),
    /// All hosts of a destination become unavailable, or available again.
    DestinationOutage {
        /// The destination.
        destination: u16,
        /// Whether the hosts are unavailable.
        is_down: bool,
    },
    /// An administrator sends a change of a tenant, for the first time if the request is repeated.
    TenantChangeRequested {
        /// Identifies the change.
        change_id: u64,
        /// The tenant.
        tenant: &'a str,
        /// The change.
        change: TenantChange,
    },
    /// An administrator received the response to a change of a tenant.
    TenantChangeResponse {
        /// Identifies the change.
        change_id: u64,
        /// The tenant.
        tenant: &'a str,
        /// The status code.
        status: u16,
        /// The tenant as the response shows it.
        snapshot: Option<&'a TenantSnapshot>,
        /// Whether the response is the stored one of an earlier request with the same idempotency key.
        is_replayed: bool,
    },
    /// A change of a tenant got no response and will not be requested again.
    TenantChangeTimedOut {
        /// Identifies the change.
        change_id: u64,
        /// The tenant.
        tenant: &'a str,
    },
    /// A tenant was read.
    TenantRead {
        /// The tenant.
        tenant: &'a str,
        /// When the request was sent.
        requested_at: Duration,
        /// The tenant as the response shows it, if it exists.
        snapshot: Option<&'a TenantSnapshot>,
    },
    /// A message took effect at its destination.
    EffectApplied {
        /// The message's id.
        id: &'a str,
        /// How many times it has taken effect so far.
        times: u32,
    },
    /// An operator read the record of an undeliverable message.
    UndeliverableRecordRead {
        /// The message's id.
        id: &'a str,
        /// The record's state.
        state: &'a str,
    },
    /// An operator has read all records of undeliverable messages.
    AllUndeliverableRecordsRead,
    /// The relay has confirmed to an operator that it is draining (true) or accepts clients again (false).
    DrainingConfirmed(bool),
    /// An operator requests that the relay accept clients again and has no response yet.
    ResumeRequested,
    /// The load balancer's readiness probe was answered; holds whether the relay accepts clients.
    ReadinessProbed(bool),
    /// Number of client connections that the relay holds, not counting those still being opened.
    ClientConnectionsHeld(usize),
    /// The relay receives SIGHUP to reload its configuration file.
    ReloadRequested {
        /// Whether the file is valid.
        is_valid: bool,
    },
    /// New maximum number of attempts for messages submitted from now on.
    MaxAttemptsChanged(usize),
    /// An upgrade starts; holds the old and the new process.
    UpgradeStarted([u32; 2]),
    /// A process has reported its metrics.
    MetricsReported {
        /// The process.
        process: u32,
        /// When the report was requested.
        requested_at: Duration,
        /// The report.
        text: &'a str,
    },
    /// A call to the control socket timed out.
    ControlCallTimedOut,
    /// Periodic trigger for invariants to check what is overdue.
    Tick,
}
