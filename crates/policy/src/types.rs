//! The module's interface: start settings, events in, actions out.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A moment or a span, in microseconds.
pub type Micros = u64;
/// Names a message; returned exactly as given.
pub type MessageId = u64;
/// Names a host; returned exactly as given.
pub type HostId = u32;
/// Names a destination; a message may only go to hosts of its destination.
pub type DestinationId = u16;
/// Names a tenant: its index in the settings, or the number that it has while it is known.
pub type TenantId = u16;

/// Whether a message may be tried again after an attempt that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Idempotency {
    /// Repeats do no harm.
    Idempotent,
    /// Repeats are dropped by hosts that remember the key, for a while.
    Keyed {
        /// How long the key is remembered, from the first attempt that may have run.
        window: Micros,
        /// True if only hosts of one zone share the memory; false if all of the destination do.
        zone_only: bool,
    },
    /// Must not run twice.
    NonIdempotent,
}

/// A class of message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Full worth when delivered within this time from first hand-in.
    pub latency_objective: Micros,
    /// The aim grows by this many times the message's own expected work.
    pub objective_stretch: f64,
    /// Deadline, from first hand-in.
    pub time_to_live: Micros,
    /// Repeat rule.
    pub idempotency: Idempotency,
    /// Worth of one message.
    pub value: f64,
    /// Share of the worth left at the deadline.
    pub late_value: f64,
    /// Messages with one key go one at a time, in the order taken.
    pub is_ordered: bool,
}

/// How worth falls after the aim.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ValueDecay {
    #[default]
    /// Evenly, down to the late worth at the deadline.
    Linear,
    /// By half with each further aim, not under the late worth.
    Halving,
}

/// How much the listed weights of hosts tell.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WeightSource {
    #[default]
    /// Nothing.
    Absent,
    /// The calls a second that the route takes from all relays.
    Nominal,
    /// The same, up to half too high or too low.
    Rough,
}

/// What a value of a load report means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    /// Share of the allowance that is left.
    AllowanceLeft,
    /// The limit in calls a second; zero where there is none.
    LimitPerSecond,
    /// Anything the module makes no use of.
    Other,
}

/// A kind of destination.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DestinationKind {
    /// The hosts of a destination are separate routes.
    pub has_host_routes: bool,
    /// Messages that may share one call.
    pub max_messages_per_call: usize,
}

/// A tenant's share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tenant {
    /// Messages a second, over all relays, that count in full.
    pub quota_per_second: f64,
    /// Its part of the service, against those of others; 1 where none is told.
    pub share: f64,
}

/// How much a tenant may hand in; more is refused.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Messages a second in the long run, above 0.
    pub per_second: f64,
    /// Messages that may come at once, 1 at least.
    pub burst: f64,
}

/// Where a tenant stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TenantState {
    /// Its messages are taken on and sent.
    #[default]
    Active,
    /// Nothing is taken on, nothing new is sent; what is held waits, and ends when its time is up.
    Paused,
    /// Nothing is taken on; what is held goes on to its end.
    Draining,
    /// Nothing is taken on; calls that are out come to their end, all else ends at once.
    Terminating,
}

/// What a tenant is entitled to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantTerms {
    /// Its part against those of others, 1 at least.
    pub weight: u32,
    /// How much it may hand in; any amount if none.
    pub rate: Option<RateLimit>,
    /// Messages held at most.
    pub max_queued: usize,
    /// Messages out in calls at most.
    pub max_in_flight: usize,
    /// Where it stands.
    pub state: TenantState,
}

impl Default for TenantTerms {
    fn default() -> Self {
        TenantTerms {
            weight: 1,
            rate: None,
            max_queued: usize::MAX,
            max_in_flight: usize::MAX,
            state: TenantState::Active,
        }
    }
}

/// The figures of the rules.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlatformRules {
    /// With discovery by asking: longest time without asking.
    pub max_poll_interval: Micros,
    /// Share of capacity a destination has at least when back from an outage.
    pub initial_capacity_share: f64,
    /// It has all of its capacity after this.
    pub warm_up: Micros,
    /// It falls over above this multiple of its present capacity ...
    pub overload_factor: f64,
    /// ... kept up for this long.
    pub overload_duration: Micros,
    /// How long a key rests after an attempt that might still be running.
    pub ordering_delay: Micros,
}

/// What a relay is told when it starts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Classes of message, by index.
    pub classes: Vec<Class>,
    /// Kinds of destination, by index.
    pub kinds: Vec<DestinationKind>,
    /// Tenants, by index; may be empty.
    pub tenants: Vec<Tenant>,
    /// Worth of a message past its tenant's share, as a fraction.
    pub over_quota_value: f64,
    /// How worth falls after the aim.
    pub decay: ValueDecay,
    /// Fee by zone for each message a route apart takes on.
    pub zone_fees: Vec<f64>,
    /// Points for attempts that cross zones.
    pub cross_zone_fee: f64,
    /// Calls out at once.
    pub max_calls: usize,
    /// Messages held at once, sent or not.
    pub max_queued: usize,
    /// Bytes that they may take together; zero where nothing bounds them.
    pub max_queued_bytes: usize,
    /// Attempts a message at most.
    pub max_attempts: usize,
    /// The longest wait a client heeds; zero if clients are not told waits.
    pub max_retry_after: Micros,
    /// Attempts may be called off.
    pub can_cancel: bool,
    /// Hosts may be probed.
    pub can_probe: bool,
    /// Changes to the list come only when asked for.
    pub polls_discovery: bool,
    /// Relays in this tier, this one included.
    pub replicas: usize,
    /// Zone of this relay.
    pub zone: u8,
    /// Meaning of the listed weights.
    pub weight_source: WeightSource,
    /// Meaning of the values in load reports, in order.
    pub report_fields: Vec<ReportField>,
    /// The rules' figures.
    pub rules: PlatformRules,
    /// Least time between rounds.
    pub tick: Micros,
}

impl Settings {
    /// The value of a field in a load report, if it has one.
    pub fn reported_value(&self, field: ReportField, values: &[f32]) -> Option<f64> {
        let index = self.report_fields.iter().position(|known| *known == field)?;
        values.get(index).map(|value| f64::from(*value))
    }
}

/// Listing state of a host; it says nothing of health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostState {
    /// May be sent to.
    Ready,
    /// Nothing new may go there.
    Draining,
    /// Removed.
    Removed,
}

/// One line of the list of hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostEntry {
    /// The host.
    pub host: HostId,
    /// Its destination.
    pub destination: DestinationId,
    /// Index into the kinds.
    pub kind: u8,
    /// Its zone.
    pub zone: u8,
    /// Listing state.
    pub state: HostState,
    /// See [`WeightSource`].
    pub weight: f32,
}

/// A message handed in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Message {
    /// Its name.
    pub id: MessageId,
    /// Index into the classes.
    pub class: u16,
    /// Where it must go.
    pub destination: DestinationId,
    /// Deadline.
    pub deadline: Micros,
    /// Key of its order, if it has one.
    pub ordering_key: Option<u64>,
    /// Expected work, if known.
    pub expected_work: Option<Micros>,
    /// Whose it is.
    pub tenant: TenantId,
    /// The client has handed it in before.
    pub is_resubmitted: bool,
    /// Bytes that it takes while it is held; zero where they don't count.
    pub size: usize,
}

/// An attempt that was made before a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PastAttempt {
    /// When it was sent.
    pub sent_at: Micros,
    /// Zone of the host it went to.
    pub zone: u8,
    /// It may have run; false if it is known not to have.
    pub may_have_executed: bool,
}

/// An outage of a destination that this relay was told of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outage {
    /// The destination.
    pub destination: DestinationId,
    /// When it was first told.
    pub started_at: Micros,
    /// The first success after; none while it lasts.
    pub recovered_at: Option<Micros>,
}

/// How a call or probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// Delivered.
    Delivered,
    /// Answered with an error; may have run.
    Error,
    /// Turned away unseen, perhaps with a wait that must be heeded.
    Rejected {
        /// The wait told, zero if none.
        retry_after: Micros,
    },
    /// No answer in time; may have run or still do so.
    Timeout,
    /// No connection; never ran.
    ConnectFailed,
    /// The connection broke; may have run.
    Reset,
    /// A connection that was kept from an earlier call broke before anything came back; may have run, but
    /// says more about the connection than about its host.
    ConnectionLost,
    /// Called off; may have run.
    Cancelled,
    /// Not sent; never ran.
    Obsolete,
    /// Not a byte was written, as its host may not be called any more, or not yet; it is no attempt.
    NotStarted,
}

impl AttemptOutcome {
    /// False where it proves that the call never ran.
    pub fn may_have_executed(self) -> bool {
        !matches!(
            self,
            AttemptOutcome::Rejected { .. }
                | AttemptOutcome::ConnectFailed
                | AttemptOutcome::Obsolete
                | AttemptOutcome::NotStarted
        )
    }

    /// Whether the call may still be running at its host.
    pub fn may_still_run(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Timeout
                | AttemptOutcome::Reset
                | AttemptOutcome::ConnectionLost
                | AttemptOutcome::Cancelled
        )
    }

    /// Whether anything was written to the host.
    pub fn reached_host(self) -> bool {
        !matches!(self, AttemptOutcome::ConnectFailed | AttemptOutcome::Obsolete | AttemptOutcome::NotStarted)
    }

    /// Whether the outcome says nothing of the host: it comes of a reused connection or of the relay itself.
    pub fn is_inconclusive(self) -> bool {
        matches!(
            self,
            AttemptOutcome::ConnectionLost
                | AttemptOutcome::Cancelled
                | AttemptOutcome::Obsolete
                | AttemptOutcome::NotStarted
        )
    }
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd {
    /// The message.
    pub id: MessageId,
    /// Which attempt, from 0.
    pub attempt: u8,
    /// Where it went.
    pub host: HostId,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// Time since sending.
    pub elapsed: Micros,
    /// No answer is owed any more.
    pub is_final: bool,
    /// Values as in the settings' `report`.
    pub load_report: Vec<f32>,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The list of hosts: whole, or just what changed.
    HostsUpdated {
        /// The entries replace the list instead of changing it.
        is_full: bool,
        /// The list was remembered from before the start, not fresh news.
        cached: bool,
        /// The lines.
        entries: Vec<HostEntry>,
    },
    /// A request for the list failed, or the subscription dropped.
    DiscoveryFailed,
    /// Whether calls wait, as the list of hosts is still to be confirmed.
    HostsUnconfirmed(bool),
    /// A message came in; one final answer is owed.
    MessageReceived(Message),
    /// A message taken on before a restart, for which the final answer is still owed.
    MessageRestored {
        /// The message.
        message: Message,
        /// Its attempts so far, in order; none is out any more.
        attempts: Vec<PastAttempt>,
    },
    /// A message that was given up before and is sent again; one final answer is owed.
    MessageResent {
        /// The message.
        message: Message,
        /// Attempts that count still, in order; none is out any more.
        attempts: Vec<PastAttempt>,
    },
    /// A message that is taken over from a process that goes on to its calls' ends only; one final answer is owed.
    MessageAdopted {
        /// The message.
        message: Message,
        /// Its attempts so far, in order.
        attempts: Vec<PastAttempt>,
        /// Where the last of them is out still, if it is.
        out: Option<HostId>,
    },
    /// An outage that this relay was told of before a restart.
    OutageRestored(Outage),
    /// The settings from now on. What a class's number means for the messages that have it does not change; a number
    /// that no message has may mean another class.
    SettingsChanged(Box<Settings>),
    /// The process ends at this moment; no call should be out then.
    ShuttingDown {
        /// When.
        at: Micros,
    },
    /// The answer of a streamed message has started.
    ResponseStarted {
        /// The message.
        id: MessageId,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// Nobody wants the message any more.
    MessageWithdrawn(MessageId),
    /// A tenant's terms from now on; none when it is gone.
    TenantChanged(TenantId, Option<TenantTerms>),
    /// A timer of ours is due.
    TimerFired(u64),
    /// A probe ended.
    ProbeEnded {
        /// Where it went.
        host: HostId,
        /// How it ended.
        outcome: AttemptOutcome,
        /// Time since sending.
        elapsed: Micros,
        /// Values as in the settings' `report`.
        load_report: Vec<f32>,
    },
    /// A fellow relay said something; the module takes no notice.
    PeerMessage {
        /// Its number.
        from: u16,
        /// The content.
        content: Vec<u8>,
    },
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Call a host with a message.
    Send {
        /// The message.
        id: MessageId,
        /// The host.
        host: HostId,
        /// Give up the attempt after this.
        timeout: Micros,
    },
    /// Probe a host.
    Probe(HostId),
    /// Wake the module after a while.
    SetTimer {
        /// From now.
        delay: Micros,
        /// Comes back in the event.
        token: u64,
    },
    /// End a message undelivered; the client may safely come again.
    Reject {
        /// The message.
        id: MessageId,
        /// Advice on when, zero for none.
        retry_after: Micros,
    },
    /// End a message as failed.
    Fail(MessageId),
    /// Stop waiting on an attempt.
    Cancel {
        /// The message.
        id: MessageId,
        /// Which attempt.
        attempt: u8,
    },
    /// Close idle connections to a host.
    CloseIdleConnections(HostId),
    /// Subscribe to changes of the list, or stop.
    Subscribe(bool),
    /// Ask for the whole list once.
    PollDiscovery,
    /// Say something to one fellow relay, or to all.
    SendToPeers {
        /// Its number; all if none.
        to: Option<u16>,
        /// The content.
        content: Vec<u8>,
    },
    /// Add a line to the report.
    Log(String),
    /// The module cannot go on.
    Abort(String),
}

/// Why settings or wire bytes were not accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InputError {
    /// What is wrong.
    pub problem: String,
    /// Where it stands: an offset in the frame, or a settings key.
    pub location: String,
}

impl fmt::Display for InputError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at {}", self.problem, self.location)
    }
}

impl std::error::Error for InputError {}
