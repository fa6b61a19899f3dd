//! Makes calls to hosts, over connections that are reused between calls.
//!
//! [`HostConnections`] combines the submodules: [`connection_pool`] keeps idle connections, [`attempt`] makes one attempt
//! on a [`connection`], [`watched_stream`] records the progress of the transfer, and [`request`], [`response`] and
//! [`status_line`] encode and parse without I/O.

mod attempt;
mod attempt_start;
mod connection;
mod connection_pool;
mod request;
mod response;
mod retry_after;
mod status_line;
#[cfg(test)]
mod tests;
mod watched_stream;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Body;
use membership::HostMembership;
use policy::types::{HostId, MessageId, Micros};
use policy::RouteKey;
use relay_events::{CompletedCall, RelayEvent};
use runtime::Runtime;
use tokio::sync::{mpsc, oneshot};

pub use attempt_start::{AttemptRecorder, AttemptStart};

use attempt::{AttemptLimits, UnreadResponse};
use connection::Connection;
use connection_pool::ConnectionPool;
use response::ResponseReport;
use retry_after::RetryAfterDeadlines;

/// Time limit for reading the body of a response, after which its connection is closed instead of reused.
const RESPONSE_BODY_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum size of a response body in bytes. The connection of a longer one is closed instead of reused.
const RESPONSE_BODY_MAX_BYTES: usize = 64 << 10;

/// Maximum time for which reporting the outcome of a call is delayed until its connection is idle, so that the next call
/// can reuse the connection.
const OUTCOME_DELAY_MAX: Duration = Duration::from_millis(5);

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
    /// Maximum duration of the attempt.
    pub timeout: Duration,
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
        HostConnections {
            runtime,
            pool: RefCell::new(ConnectionPool::new(idle_timeout, max_idle)),
            members,
            retry_after: RefCell::default(),
            dial_timeout,
            dispatches,
        }
    }

    /// The number of idle connections.
    pub fn idle_connections(&self) -> usize {
        self.pool.borrow().len()
    }

    /// The upper bound of the number of idle connections.
    pub fn max_idle_connections(&self) -> usize {
        self.pool.borrow().max_idle()
    }

    /// Closes the connections that have expired, and removes the `Retry-After` waits that have ended.
    pub fn close_expired(&self) {
        let now = self.runtime.now();
        self.retry_after.borrow_mut().remove_expired(now);
        self.pool.borrow_mut().close_expired(now);
    }

    /// Closes the idle connections to a host.
    ///
    /// A connection in use is closed at the end of its call if the host is draining or removed by then.
    pub fn close_idle(&self, host: HostId) {
        self.pool.borrow_mut().close_host(host);
    }

    /// Closes all idle connections, and from now on each connection as soon as it becomes idle.
    pub fn retire(&self) {
        self.pool.borrow_mut().retire();
    }

    /// Makes a call and reports its outcome as [`RelayEvent::CallCompleted`].
    ///
    /// The call ends early when `cancel` receives or its sender is dropped.
    pub async fn call(
        &self,
        call: Call,
        mut cancel: oneshot::Receiver<()>,
        inputs: mpsc::Sender<RelayEvent>,
    ) {
        let start = self.runtime.now();
        let limits = AttemptLimits {
            deadline: start + call.timeout,
            cancel: &mut cancel,
        };
        let result = self.attempt(&call, limits).await;
        let elapsed = (self.runtime.now() - start).as_micros() as Micros;
        let ResponseReport {
            outcome,
            is_final,
            load_report,
        } = result.report;
        let completed = RelayEvent::CallCompleted(CompletedCall {
            id: call.id,
            attempt: call.attempt,
            host: call.host,
            outcome,
            is_final,
            load_report,
            elapsed,
            opened_connection: result.opened_connection,
        });
        let Some(unread) = result.unread_response else {
            return drop(inputs.send(completed).await);
        };
        let mut finish = std::pin::pin!(self.finish_response(call.host, unread));
        let finished = self
            .runtime
            .timeout(OUTCOME_DELAY_MAX, &mut finish)
            .await
            .is_ok();
        drop(inputs.send(completed).await);
        if !finished {
            finish.await;
        }
    }

    /// Reads the body of a response, so that its connection can be reused. Closes the connection if that fails.
    async fn finish_response(&self, host: HostId, unread: UnreadResponse<R>) {
        let UnreadResponse {
            mut connection,
            response,
        } = unread;
        let body = response.into_body();
        let is_body_read = body.is_end_stream() || {
            let rest = Limited::new(body, RESPONSE_BODY_MAX_BYTES).collect();
            let collected = self.runtime.timeout(RESPONSE_BODY_TIMEOUT, rest).await;
            matches!(collected, Ok(Ok(_)))
        };
        if is_body_read && self.becomes_ready(&mut connection).await {
            self.return_to_pool(host, connection);
        } else {
            connection.close().await;
        }
    }

    /// Waits up to [`RESPONSE_BODY_TIMEOUT`] for a connection to accept another request; false if it does not.
    async fn becomes_ready(&self, connection: &mut Connection<R>) -> bool {
        let ready = self
            .runtime
            .timeout(RESPONSE_BODY_TIMEOUT, connection.sender.ready())
            .await;
        matches!(ready, Ok(Ok(())))
    }

    /// Takes the most recently used idle connection that is usable for a call from the pool.
    fn reuse_idle_connection(&self, call: &Call) -> Option<Connection<R>> {
        let now = self.runtime.now();
        self.pool.borrow_mut().take(call.host, call.address, now)
    }

    /// Returns a connection to the pool for further calls. The connection is closed instead if no further calls are
    /// possible, because its host is draining or removed or the process is ending.
    fn return_to_pool(&self, host: HostId, connection: Connection<R>) {
        let mut pool = self.pool.borrow_mut();
        if !pool.is_retired() && self.members.borrow().is_ready(host) {
            pool.put(host, connection, self.runtime.now());
        }
    }
}
