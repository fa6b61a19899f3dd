//! Typed requests and events between the relay's front ends, its connections and its event loop.
//!
//! The crates that exchange them depend on this one, and it depends on none of them.

pub mod tenants;
pub mod undeliverable;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use policy::response_confirmation::Credibility;
use policy::types::{AttemptOutcome, HostId, HostState, MessageId, Micros};
use runtime::Runtime;
use serde::{Deserialize, Serialize};
use tenancy::registry::Session;
use tokio::sync::oneshot;

use tenants::{LoginRequest, TenantCall};

/// Maximum time from now to a result of [`Clock::instant`], in microseconds: one day.
const MAX_TIMER_DELAY: Micros = 86_400_000_000;

/// Unix time that is never stepped: it is set once and advances with the monotonic clock. All stored times are readings
/// of this clock, and a later process on the same machine continues it.
#[derive(Clone)]
pub struct Clock<R> {
    runtime: R,
    start: Instant,
    /// Unix time at `start`, in microseconds.
    unix: Micros,
}

impl<R: Runtime> Clock<R> {
    /// Starts a clock that shows `unix` now, in microseconds of Unix time.
    pub fn new(runtime: R, unix: Micros) -> Self {
        let start = runtime.now();
        Clock {
            runtime,
            start,
            unix,
        }
    }

    /// The current Unix time in microseconds.
    pub fn now(&self) -> Micros {
        self.unix + (self.runtime.now() - self.start).as_micros() as Micros
    }

    /// Converts a Unix time in microseconds. A time before the clock's start becomes the start; a time more than a day
    /// ahead of now becomes a day ahead, because timers have a bounded range.
    pub fn instant(&self, at: Micros) -> Instant {
        let latest = (self.now() - self.unix) + MAX_TIMER_DELAY;
        self.start + Duration::from_micros(at.saturating_sub(self.unix).min(latest))
    }
}

/// The reply to a client's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Accepted: the relay is bound to deliver the message.
    Ok,
    /// Rejected; the client may retry after this time in milliseconds. Zero means that no time is advertised.
    Busy(u64),
    /// The request cannot be served, for this reason.
    Error(String),
    /// The reply to `PING`.
    Pong,
    /// The client has to authenticate first.
    NoAuth,
    /// The client's user name or password is wrong.
    WrongPass,
}

impl Reply {
    /// Appends the reply, encoded in RESP2, to `out`.
    pub fn write(&self, out: &mut Vec<u8>) {
        match self {
            Reply::Ok => out.extend(b"+OK\r\n"),
            Reply::Busy(0) => out.extend(b"-BUSY\r\n"),
            Reply::Busy(retry_after) => out.extend(format!("-BUSY {retry_after}\r\n").bytes()),
            Reply::Error(reason) => out.extend(format!("-ERR {reason}\r\n").bytes()),
            Reply::Pong => out.extend(b"+PONG\r\n"),
            Reply::NoAuth => out.extend(b"-NOAUTH Authentication required.\r\n"),
            Reply::WrongPass => out.extend(b"-WRONGPASS invalid username-password pair\r\n"),
        }
    }
}

/// A message that a client submits.
pub struct EnqueueRequest {
    /// Name of the message, chosen by its client.
    pub name: String,
    /// Messages with the same key are delivered in order.
    pub ordering_key: Option<u64>,
    /// Name of the message's class.
    pub class: String,
    /// Name of the message's tenant.
    pub tenant: String,
    /// The destination to deliver the message to.
    pub destination: u16,
    /// Latest time at which the message may be delivered, as Unix time in microseconds.
    pub deadline: Micros,
    /// The key by which a host recognises a repeated call.
    pub idempotency_key: Option<String>,
    /// Whether the client has submitted the message before.
    pub is_resubmitted: bool,
    /// The content of the message.
    pub body: Bytes,
    /// The session of the client; `None` if the client has not authenticated.
    pub login: Option<Session>,
    /// Channel for the reply; `None` if nothing waits for it.
    pub reply: Option<oneshot::Sender<Reply>>,
}

/// An event for the event loop, from a connection or a front end.
pub enum RelayEvent {
    /// A client submits a message.
    EnqueueRequest(EnqueueRequest),
    /// A host has answered a call on a reused connection. The response is not confirmed yet: [`RelayEvent::CallCompleted`]
    /// follows, perhaps with another outcome.
    CallAnswered {
        /// The call as the response reports it.
        call: CompletedCall,
        /// How far the response is believed.
        credibility: Credibility,
    },
    /// A doubtful response to the call of this message has become likely.
    ResponseLikely(MessageId),
    /// A call to a host has ended.
    CallCompleted(CompletedCall),
    /// A host has sent responses that belong to no call.
    SurplusResponses(SurplusResponses),
    /// Discovery has sent a host list or a change of it.
    HostListReceived(HostList),
    /// Discovery has confirmed that the current host list is the latest.
    HostListConfirmed,
    /// The platform has accepted the notifications of these messages.
    NotificationsAccepted(Vec<MessageId>),
    /// A front end's request about tenants.
    Tenants(TenantCall),
    /// A client authenticates.
    Login(LoginRequest),
    /// A front end's request about undeliverable messages, or a partner's response about one.
    Undeliverable(undeliverable::UndeliverableEvent),
}

/// The end of a call to a host.
///
/// Stored with postcard in the hand-over's file: the order of the fields is part of the format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CompletedCall {
    /// The message's number.
    pub id: MessageId,
    /// Index of the attempt, from zero.
    pub attempt: u8,
    /// The host that was called.
    pub host: HostId,
    /// How the call ended.
    pub outcome: AttemptOutcome,
    /// Whether the host reported that the message needs no further attempt.
    pub is_final: bool,
    /// The load report in the host's response, unparsed; `None` if it contains none.
    pub load_report: Option<String>,
    /// Duration of the call in microseconds.
    pub elapsed: Micros,
    /// Whether opening a connection for the call was attempted, successfully or not.
    pub opened_connection: bool,
}

/// Responses of a host that belong to no call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SurplusResponses {
    /// The host that sent them.
    pub host: HostId,
    /// Number of responses, including an incomplete one.
    pub count: u64,
    /// Number of all surplus responses of the host that this process has received recently.
    pub total: u64,
    /// The longest wait that they request; zero if none.
    pub retry_after: Micros,
    /// The message whose outcome they put in doubt; `None` if there is none.
    pub reopened: Option<MessageId>,
}

/// The end of an accepted message that was not delivered.
///
/// Stored with postcard in the journal: the order of the variants is part of the format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DeliveryFailure {
    /// The relay makes no further attempt; an earlier one may have been executed.
    Undeliverable,
    /// The client may submit the message again after this time in milliseconds.
    Deferred(u64),
}

/// A host list, or a change of one.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HostList {
    /// The version of the list.
    #[serde(rename = "seq", default)]
    pub version: u64,
    /// Whether this is a full snapshot that replaces the list; otherwise the entries change it.
    #[serde(rename = "whole", default)]
    pub is_full: bool,
    /// The entries, in order.
    #[serde(default)]
    pub hosts: Vec<HostListEntry>,
}

/// One host in a host list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostListEntry {
    /// The host's name.
    #[serde(rename = "host")]
    pub name: String,
    /// The address for connections to it.
    #[serde(rename = "dial")]
    pub address: SocketAddr,
    /// Name of the host's zone.
    #[serde(rename = "site", default)]
    pub zone: String,
    /// Name of the host's kind.
    #[serde(rename = "class", default)]
    pub kind: String,
    /// The destination that the host serves.
    #[serde(rename = "block")]
    pub destination: u16,
    /// Whether the host is ready, draining or removed; draining if absent or unknown.
    #[serde(rename = "health", with = "health", default = "health::unknown")]
    pub state: HostState,
    /// The host's weight within the destination.
    #[serde(rename = "share", default)]
    pub weight: f32,
}

/// Encoding of host states on the wire: `up`, `draining` and `removed`.
mod health {
    use policy::types::HostState;
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    pub fn serialize<S: Serializer>(state: &HostState, serializer: S) -> Result<S::Ok, S::Error> {
        let word = match state {
            HostState::Ready => "up",
            HostState::Draining => "draining",
            HostState::Removed => "removed",
        };
        word.serialize(serializer)
    }

    /// Reads an unknown state as draining: only a host that is listed as `up` receives new calls.
    pub fn deserialize<'a, D: Deserializer<'a>>(deserializer: D) -> Result<HostState, D::Error> {
        Ok(
            match serde_json::Value::deserialize(deserializer)?.as_str() {
                Some("up") => HostState::Ready,
                Some("removed") => HostState::Removed,
                _ => HostState::Draining,
            },
        )
    }

    pub fn unknown() -> HostState {
        HostState::Draining
    }
}
