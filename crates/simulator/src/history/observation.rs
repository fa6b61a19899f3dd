//! What the peers of a relay can observe.

use std::time::Duration;

use super::message::{CallId, CallOutcome, ReceivedCall, SubmittedRequest};
use super::tenant::{TenantChange, TenantSnapshot};

/// Something that passes round a relay, at the moment at which it is reported.
pub enum Observation<'a> {
    /// A process of the relay starts.
    ProcessStarted(u32),
    /// The relay replies to `PING` for the first time since its start.
    ProcessReady,
    /// The relay gets SIGTERM.
    TerminationRequested,
    /// The relay's process is gone, by a kill or by itself.
    ProcessTerminated,
    /// The relay's process has ended by itself, with this result.
    ProcessExited(&'a Result<(), String>),
    /// Size of the state directory, in bytes.
    DiskUsage(u64),
    /// Writes to the disk fail from now on, or succeed again.
    DiskFull(bool),
    /// The simulation needs more steps than it may.
    StepLimitExceeded,
    /// The platform's endpoint for notices is down for a while.
    NoticeEndpointDown {
        /// From then on.
        from: Duration,
        /// Until then.
        until: Duration,
    },
    /// The last byte of a request is sent.
    RequestSent(&'a SubmittedRequest),
    /// A client reads the reply to its request.
    ReplyReceived {
        /// The message's id.
        id: &'a str,
        /// The reply's line.
        reply: &'a str,
    },
    /// A client stops waiting for the reply to its request of this id.
    RequestAbandoned(&'a str),
    /// What a client sent that cannot be parsed has had its error line or a close by now, or has not.
    MalformedInputChecked {
        /// When it was sent.
        sent_at: Duration,
        /// Whether it had an error line or a close.
        was_rejected: bool,
    },
    /// A call's last byte has come to a host.
    CallReceived {
        /// The call.
        call: &'a ReceivedCall,
        /// Whether the relay still holds the connection of a number.
        is_connection_open: &'a dyn Fn(u64) -> bool,
    },
    /// A host writes the status line of its response.
    ResponseStarted {
        /// The call.
        call: &'a CallId,
        /// What the status line says.
        outcome: CallOutcome,
    },
    /// The relay has read the response to a call.
    ResponseRead(&'a CallId),
    /// A host sees a call's connection end.
    CallConnectionClosed(&'a CallId),
    /// The platform takes a notice.
    NoticeReceived {
        /// The message's id.
        id: &'a str,
        /// How it ended.
        status: &'a str,
    },
    /// Discovery is polled for the list or for its changes.
    DiscoveryPolled,
    /// A host has accepted a connection; the number of those that it holds now.
    HostConnectionAccepted(usize),
    /// Discovery has written a host's line to the relay.
    HostStatusSent {
        /// The host's id.
        host: &'a str,
        /// Whether it is up.
        is_up: bool,
    },
    /// A host's line in the list has changed.
    HostStatusListed {
        /// The host's id.
        host: &'a str,
        /// Whether it is up.
        is_up: bool,
        /// When the relay counts as notified, unless the line is sent to it before.
        notified_at: Duration,
    },
    /// A poll of discovery begins to wait for its response, or has had it or was given up.
    DiscoveryPollPending(bool),
    /// The relay's discovery agent sends nothing from now on, or does again.
    DiscoverySilent(bool),
    /// All hosts of a destination are at fault from now on, or are back.
    DestinationOutage {
        /// The destination.
        destination: u16,
        /// Whether they are at fault.
        is_down: bool,
    },
    /// An administrator sends a change of a tenant for the first time.
    TenantChangeRequested {
        /// Identifies the change.
        change_id: u64,
        /// The tenant.
        tenant: &'a str,
        /// The change.
        change: TenantChange,
    },
    /// A response to a change of a tenant.
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
    /// A change of a tenant has no response and is not requested again.
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
        /// The tenant, if there is one.
        snapshot: Option<&'a TenantSnapshot>,
    },
    /// A message took effect at its destination.
    EffectApplied {
        /// The message's id.
        id: &'a str,
        /// How often it has taken effect by now.
        times: u32,
    },
    /// A record of an undeliverable message was read.
    UndeliverableRecordRead {
        /// The message's id.
        id: &'a str,
        /// The record's state.
        state: &'a str,
    },
    /// All records of undeliverable messages were read.
    AllUndeliverableRecordsRead,
    /// The relay has confirmed to an operator that it drains, or that it takes clients again.
    DrainingConfirmed(bool),
    /// An operator asks the relay to take clients again, and has no response yet.
    ResumeRequested,
    /// The load balancer has probed whether the relay takes clients, and it said yes or no.
    ReadinessProbed(bool),
    /// Number of clients' connections that the relay holds, without those that are just being opened.
    ClientConnectionsHeld(usize),
    /// SIGHUP with a configuration file that is valid, or is not.
    ReloadRequested {
        /// Whether the file is valid.
        is_valid: bool,
    },
    /// Number of attempts that messages may have which are submitted from now on.
    MaxAttemptsChanged(usize),
    /// These processes, the old and the new, take part in an upgrade.
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
    /// A call to the control socket got no response in time.
    ControlCallTimedOut,
    /// It is time to look at what must have happened by now.
    Tick,
}
