//! What the relay's parts and its fronts say to each other; this package imports none of them.

pub mod tenants;
pub mod undeliverable;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use policy::types::{AttemptOutcome, DestinationId, HostId, HostState, MessageId, Micros};
use runtime::Runtime;
use serde::{Deserialize, Serialize};
use tenancy::registry::Login;
use tokio::sync::oneshot;

use tenants::{LoginRequest, TenantCall};

/// Unix time that never goes backwards.
#[derive(Clone)]
pub struct Clock<R> {
    runtime: R,
    start: Instant,
    unix: Micros,
}

impl<R: Runtime> Clock<R> {
    /// A clock that follows the system's Unix time as it is now, and from then on only time that passes.
    pub fn new(runtime: R) -> Self {
        let (start, unix) = (runtime.now(), runtime.unix_time().as_micros() as Micros);
        Clock {
            runtime,
            start,
            unix,
        }
    }

    /// Now, in Unix time.
    pub fn now(&self) -> Micros {
        self.unix + (self.runtime.now() - self.start).as_micros() as Micros
    }

    /// The moment of a Unix time; one that is too far off for a timer is no sooner than a day from now.
    pub fn instant(&self, at: Micros) -> Instant {
        let soon = (self.now() - self.unix) + 86_400_000_000;
        self.start + Duration::from_micros(at.saturating_sub(self.unix).min(soon))
    }
}

/// The answer to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Taken on.
    Ok,
    /// Refused; the client may come again after so many milliseconds, if any are told.
    Busy(u64),
    /// Failed, and why.
    Error(String),
    /// The answer to `PING`.
    Pong,
    /// The client has to name itself first.
    NoAuth,
    /// The client has named itself wrongly.
    WrongPass,
}

impl Reply {
    /// Adds the answer as RESP2 has it.
    pub fn write(&self, out: &mut Vec<u8>) {
        match self {
            Reply::Ok => out.extend(b"+OK\r\n"),
            Reply::Busy(0) => out.extend(b"-BUSY\r\n"),
            Reply::Busy(after) => out.extend(format!("-BUSY {after}\r\n").bytes()),
            Reply::Error(why) => out.extend(format!("-ERR {why}\r\n").bytes()),
            Reply::Pong => out.extend(b"+PONG\r\n"),
            Reply::NoAuth => out.extend(b"-NOAUTH Authentication required.\r\n"),
            Reply::WrongPass => out.extend(b"-WRONGPASS invalid username-password pair\r\n"),
        }
    }
}

/// A message that a client hands in.
pub struct EnqueueRequest {
    /// Its name.
    pub name: String,
    /// Key of its order.
    pub ordering_key: Option<u64>,
    /// Name of its class.
    pub class: String,
    /// Name of its tenant.
    pub tenant: String,
    /// Where it must go.
    pub destination: u16,
    /// Deadline.
    pub deadline: Micros,
    /// Idempotency key.
    pub idempotency_key: Option<String>,
    /// It was handed in before.
    pub is_resubmitted: bool,
    /// Its content.
    pub body: Bytes,
    /// Whom its client has named itself as.
    pub login: Option<Login>,
    /// Where the answer goes.
    pub reply: Option<oneshot::Sender<Reply>>,
}

/// What happens on sockets.
pub enum RelayEvent {
    /// A client hands in a message.
    EnqueueRequest(EnqueueRequest),
    /// A call ended.
    CallCompleted(CompletedCall),
    /// Discovery told something.
    HostListReceived(HostList),
    /// Discovery has confirmed that the list in force is the latest.
    HostListConfirmed,
    /// The platform has taken the notices of these messages.
    NotificationsAccepted(Vec<MessageId>),
    /// A front asks about tenants.
    Tenants(TenantCall),
    /// A client names itself.
    Login(LoginRequest),
    /// A front asks about undeliverable messages, or a partner has answered on one.
    Undeliverable(undeliverable::UndeliverableEvent),
}

/// A destination, or one host of it where hosts are routes apart.
pub type Route = (DestinationId, Option<HostId>);

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CompletedCall {
    /// The message.
    pub id: MessageId,
    /// Which attempt.
    pub attempt: u8,
    /// The host.
    pub host: HostId,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// The host says that the message is over.
    pub is_final: bool,
    /// The load report, as it came.
    pub load_report: Option<String>,
    /// How long it took.
    pub elapsed: Micros,
    /// A connection was opened, or tried, for it.
    pub opened_connection: bool,
}

/// How a message ended that was not delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DeliveryFailure {
    /// Failed.
    Undeliverable,
    /// Refused; the client may come again after so many milliseconds.
    Deferred(u64),
}

/// The list of hosts, or what changed of it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HostList {
    /// Its version.
    #[serde(rename = "seq", default)]
    pub version: u64,
    /// The entries replace the list instead of changing it.
    #[serde(rename = "whole", default)]
    pub is_full: bool,
    /// The entries.
    #[serde(default)]
    pub hosts: Vec<HostListEntry>,
}

/// One host in the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostListEntry {
    /// Its name.
    #[serde(rename = "host")]
    pub name: String,
    /// Where it takes connections.
    #[serde(rename = "dial")]
    pub address: SocketAddr,
    /// Name of its zone.
    #[serde(rename = "site", default)]
    pub zone: String,
    /// Name of its kind.
    #[serde(rename = "class", default)]
    pub kind: String,
    /// Its destination.
    #[serde(rename = "block")]
    pub destination: u16,
    /// Its listing state.
    #[serde(rename = "health", with = "health", default = "health::unknown")]
    pub state: HostState,
    /// Its weight.
    #[serde(rename = "share", default)]
    pub weight: f32,
}

/// `up`, `draining` or `removed` on the wire.
mod health {
    use policy::types::HostState;
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    pub fn serialize<S: Serializer>(listing: &HostState, to: S) -> Result<S::Ok, S::Error> {
        let word = match listing {
            HostState::Ready => "up",
            HostState::Draining => "draining",
            HostState::Removed => "removed",
        };
        word.serialize(to)
    }

    /// Guards hosts in a state that is not known here: only one that is told to be up gets anything.
    pub fn deserialize<'a, D: Deserializer<'a>>(from: D) -> Result<HostState, D::Error> {
        Ok(match serde_json::Value::deserialize(from)?.as_str() {
            Some("up") => HostState::Ready,
            Some("removed") => HostState::Removed,
            _ => HostState::Draining,
        })
    }

    pub fn unknown() -> HostState {
        HostState::Draining
    }
}
