//! Makes calls to hosts, over connections that are reused between calls.
//!
//! [`HostConnections`] combines the submodules: [`connection_pool`] keeps idle connections, [`attempt`] makes one attempt
//! on a [`connection`], [`settling`] observes the connection after a response, [`watched_stream`] records the progress of
//! the transfer, and [`request`], [`response`], [`response_framing`], [`surplus`] and [`status_line`] encode and parse
//! without I/O. Whether a response is believed is decided by [`policy::response_confirmation`].

mod attempt;
mod attempt_start;
mod close_reason;
mod connection;
mod connection_pool;
mod request;
mod response;
mod response_framing;
mod retry_after;
mod settling;
mod status_line;
mod surplus;
#[cfg(test)]
mod tests;
mod watched_stream;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use membership::HostMembership;
use policy::response_confirmation::{ConnectionReuse, HostResponses};
use policy::types::{HostId, MessageId, Micros};
use policy::RouteKey;
use relay_events::{CompletedCall, RelayEvent};
use runtime::Runtime;
use tokio::sync::{mpsc, oneshot, Notify};

pub use attempt_start::{AttemptRecorder, AttemptStart};
pub use close_reason::{CloseCounts, CloseReason};

use attempt::AttemptLimits;
use connection::Connection;
use connection_pool::ConnectionPool;
use response::ResponseReport;
use retry_after::RetryAfterDeadlines;
use settling::AnsweredCall;

/// Whether a call may be executed twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeatability {
    /// The message is idempotent, or its host recognizes its idempotency key.
    Repeatable,
    /// The message must not be executed twice.
    NotRepeatable,
}

/// Whether the outcome of a call may wait until its response is confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Confirmation {
    /// The response may be one of a reused connection, which is confirmed by a silence behind it.
    MayWait,
    /// The response must be the first of its connection, which needs no confirmation.
    AtOnce,
}

/// A call to be made.
pub struct Call {
    /// The message that the call delivers.
    pub id: MessageId,
    /// Number of the message's attempt, from 0.
    pub attempt: u8,
    /// The host to call.
    pub host: HostId,
    /// The route that a wait requested by the response applies to.
    pub route: RouteKey,
    /// The address at which the host accepts connections.
    pub address: SocketAddr,
    /// The message's name, sent unchanged.
    pub name: String,
    /// The message's idempotency key, sent unchanged; `None` if it has none.
    pub key: Option<String>,
    /// The message's body, sent unchanged.
    pub body: Bytes,
    /// Whether the call may be executed twice.
    pub repeatability: Repeatability,
    /// Whether the outcome may wait for a confirmation.
    pub confirmation: Confirmation,
    /// Maximum duration of the attempt.
    pub timeout: Duration,
    /// The deadline of the message. Its response is not observed for longer.
    pub message_deadline: Instant,
    /// Latest time at which the call may start, because the host may have discarded its idempotency key after that.
    /// `None` if it may start at any time.
    pub latest_start: Option<Instant>,
    /// Records the start of the attempt immediately before the first byte of its request.
    pub start: AttemptStart,
}

/// The connections to all hosts.
pub struct HostConnections<R: Runtime> {
    runtime: R,
    pool: RefCell<ConnectionPool<R>>,
    /// Determines which hosts may be called.
    members: Rc<RefCell<HostMembership>>,
    retry_after: RefCell<RetryAfterDeadlines>,
    dial_timeout: Duration,
    /// Number of requests that were written completely, on all connections.
    dispatches: Rc<Cell<u64>>,
    close_counts: Rc<CloseCounts>,
    /// What responses have shown about the hosts that were called recently.
    responses: RefCell<BTreeMap<HostId, HostResponses>>,
    /// Number of connections that rest after a response. Each of them is in use by a task.
    resting: Cell<usize>,
    /// Number of calls that were answered, but whose responses are neither confirmed nor likely.
    unconfirmed: Cell<usize>,
    /// Notified when no further calls are made.
    retired: Notify,
    /// The origin of the times in `responses`.
    started_at: Instant,
}

impl<R: Runtime> HostConnections<R> {
    /// Creates an empty pool that keeps at most `max_idle` connections.
    ///
    /// `host_idle_timeout` is the time after which hosts close idle connections, and `dispatches` counts the requests
    /// that were written completely.
    pub fn new(
        runtime: R,
        members: Rc<RefCell<HostMembership>>,
        dial_timeout: Duration,
        host_idle_timeout: Duration,
        max_idle: usize,
        dispatches: Rc<Cell<u64>>,
    ) -> Self {
        // A tenth shorter than the timeout of hosts, so that no request is sent while the host closes the connection.
        let idle_timeout = host_idle_timeout - host_idle_timeout / 10;
        let started_at = runtime.now();
        HostConnections {
            runtime,
            pool: RefCell::new(ConnectionPool::new(idle_timeout, max_idle)),
            members,
            retry_after: RefCell::default(),
            dial_timeout,
            dispatches,
            close_counts: Rc::default(),
            responses: RefCell::default(),
            resting: Cell::new(0),
            unconfirmed: Cell::new(0),
            retired: Notify::new(),
            started_at,
        }
    }

    /// The number of calls that were answered, but whose responses are neither confirmed nor likely.
    pub fn unconfirmed_calls(&self) -> usize {
        self.unconfirmed.get()
    }

    /// The number of idle connections.
    pub fn idle_connections(&self) -> usize {
        self.pool.borrow().len()
    }

    /// The upper bound of the number of idle connections.
    pub fn max_idle_connections(&self) -> usize {
        self.pool.borrow().max_idle()
    }

    /// Numbers of connections that were closed, by reason.
    pub fn close_counts(&self) -> &CloseCounts {
        &self.close_counts
    }

    /// Closes the connections that have expired, and removes the `Retry-After` waits that have ended.
    pub fn close_expired(&self) {
        let now = self.runtime.now();
        self.retry_after.borrow_mut().remove_expired(now);
        self.pool.borrow_mut().close_expired(now);
        let now = self.micros(now);
        self.responses
            .borrow_mut()
            .retain(|_, responses| !responses.is_expired(now));
    }

    /// Closes the idle connections to a host.
    ///
    /// A connection in use is closed at the end of its call if the host is draining or removed by then.
    pub fn close_idle(&self, host: HostId) {
        self.pool
            .borrow_mut()
            .close_host(host, CloseReason::NotNeeded);
    }

    /// Closes all idle connections, and from now on each connection as soon as it becomes idle. Responses are confirmed by
    /// what has followed them so far, as the new owner of the state directory waits for the ends of their calls.
    pub fn retire(&self) {
        self.pool.borrow_mut().retire();
        self.retired.notify_waiters();
    }

    /// Makes a call and reports its outcome as [`RelayEvent::CallCompleted`]. A response that may be the copy of an earlier
    /// one is reported as [`RelayEvent::CallAnswered`] first, and its outcome once it is confirmed.
    ///
    /// The call ends early when `cancel` receives or its sender is dropped before the host has answered.
    pub async fn call(
        &self,
        call: Call,
        mut cancel: oneshot::Receiver<()>,
        inputs: mpsc::Sender<RelayEvent>,
    ) {
        let start = self.runtime.now();
        let deadline = start + call.timeout;
        let limits = AttemptLimits {
            deadline,
            cancel: &mut cancel,
        };
        let reuse = self.connection_reuse(&call, start);
        let result = self.attempt(&call, reuse, limits).await;
        let elapsed = (self.runtime.now() - start).as_micros() as Micros;
        let ResponseReport {
            outcome,
            is_final,
            load_report,
        } = result.report;
        let completed = CompletedCall {
            id: call.id,
            attempt: call.attempt,
            host: call.host,
            outcome,
            is_final,
            load_report,
            elapsed,
            opened_connection: result.opened_connection,
        };
        match result.unread_response {
            Some(unread) => {
                let answered = AnsweredCall {
                    call: &call,
                    completed,
                    reuse,
                    deadline: deadline.min(call.message_deadline),
                };
                self.finish_call(answered, unread, &inputs).await;
            }
            None => drop(inputs.send(RelayEvent::CallCompleted(completed)).await),
        }
    }

    /// Whether a call that starts at `now` may use a connection that has carried other calls.
    fn connection_reuse(&self, call: &Call, now: Instant) -> ConnectionReuse {
        // The number of resting connections is bounded.
        let may_wait = self.may_rest() && call.confirmation == Confirmation::MayWait;
        let responses = self.responses.borrow();
        let responses = responses.get(&call.host).copied().unwrap_or_default();
        let is_repeatable = call.repeatability == Repeatability::Repeatable;
        responses.connection_reuse(self.micros(now), is_repeatable, may_wait)
    }

    /// A time in the unit of the policy, from the creation of the connections.
    fn micros(&self, at: Instant) -> Micros {
        at.saturating_duration_since(self.started_at).as_micros() as Micros
    }

    /// Takes the most recently used idle connection that is usable for a call from the pool. If the call needs a new
    /// connection, closes an idle one in its place, as hosts bound the number of connections.
    fn reuse_idle_connection(&self, call: &Call, reuse: ConnectionReuse) -> Option<Connection<R>> {
        let now = self.runtime.now();
        let mut pool = self.pool.borrow_mut();
        let accepts = |connection: &Connection<R>| match reuse {
            ConnectionReuse::Allowed => true,
            ConnectionReuse::AfterDeliveries => connection.has_only_deliveries(),
            ConnectionReuse::SingleUse => false,
        };
        let connection = pool.take(call.host, call.address, now, accepts);
        if connection.is_none() {
            pool.close_one(call.host, CloseReason::Replaced);
        }
        let unsolicited = pool.take_unsolicited(call.host);
        drop(pool);
        if let Some(input) = unsolicited {
            self.record_unsolicited(call, input);
        }
        connection
    }

    /// Returns a connection to the pool for further calls. The connection is closed instead if no further calls are
    /// possible, because its host is draining or removed or the process is ending.
    fn return_to_pool(&self, host: HostId, mut connection: Connection<R>) {
        let mut pool = self.pool.borrow_mut();
        if !pool.is_retired() && self.members.borrow().is_ready(host) {
            pool.put(host, connection, self.runtime.now());
        } else {
            connection.set_close_reason(CloseReason::NotNeeded);
        }
    }
}
