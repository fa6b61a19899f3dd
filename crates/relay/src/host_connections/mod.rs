//! Calls to hosts, and the connections that are reused for them.
//!
//! [`HostConnections`] joins the parts: [`connection_pool`] keeps idle connections, [`attempt`] makes one attempt on a
//! [`connection`], [`watched_stream`] records what passes on it, and [`request`], [`response`] and [`status_line`]
//! encode and parse without I/O.

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

/// How long the body of a response may take before its connection is closed instead of reused.
const RESPONSE_BODY_TIMEOUT: Duration = Duration::from_millis(300);

/// A longer response body is not read, and its connection is closed instead of reused.
const RESPONSE_BODY_MAX_BYTES: usize = 64 << 10;

/// How long the outcome of a call waits for its connection to become idle, so that the next call can reuse it.
const OUTCOME_DELAY_MAX: Duration = Duration::from_millis(5);

/// A call to be made.
pub struct Call {
    /// The message.
    pub id: MessageId,
    /// Number of the attempt, from 0.
    pub attempt: u8,
    /// The host.
    pub host: HostId,
    /// The route to which a wait holds that a host requests in response to the call.
    pub route: RouteKey,
    /// The address at which the host accepts connections.
    pub address: SocketAddr,
    /// The message's name, sent unchanged.
    pub name: String,
    /// Its idempotency key, sent unchanged.
    pub key: Option<String>,
    /// Its body, sent unchanged.
    pub body: Bytes,
    /// How long the attempt may take.
    pub timeout: Duration,
    /// The call must not start later, as the host may have forgotten its idempotency key by then. `None` if it may start
    /// at any time.
    pub begin_by: Option<Instant>,
    /// Records the start of the attempt, right before the first byte of its request.
    pub start: AttemptStart,
}

/// The connections to all hosts.
pub struct HostConnections<R: Runtime> {
    runtime: R,
    pool: RefCell<ConnectionPool<R>>,
    /// Which hosts may be called.
    members: Rc<RefCell<HostMembership>>,
    retry_after: RefCell<RetryAfterDeadlines>,
    dial_timeout: Duration,
    /// Number of requests that were written completely.
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
        // A tenth shorter than the host's, so that no request is sent while the host closes the connection.
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

    /// Closes the connections that were idle for too long, and forgets the waits that have ended.
    pub fn close_expired(&self) {
        let now = self.runtime.now();
        self.retry_after.borrow_mut().remove_expired(now);
        self.pool.borrow_mut().close_expired(now);
    }

    /// Closes the idle connections to a host.
    ///
    /// A connection that is in use is closed at the end of its call if the host is draining or removed by then.
    pub fn close_idle(&self, host: HostId) {
        self.pool.borrow_mut().close_host(host);
    }

    /// Closes all idle connections, and from now on each connection as soon as it is idle.
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

    /// Reads the body of a response, so that its connection can be reused; closes the connection if that fails.
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
            self.keep(host, connection);
        } else {
            connection.close().await;
        }
    }

    /// Whether a connection can take another request within [`RESPONSE_BODY_TIMEOUT`].
    async fn becomes_ready(&self, connection: &mut Connection<R>) -> bool {
        let ready = self
            .runtime
            .timeout(RESPONSE_BODY_TIMEOUT, connection.sender.ready())
            .await;
        matches!(ready, Ok(Ok(())))
    }

    /// The newest idle connection that can be used for a call.
    fn reuse_idle_connection(&self, call: &Call) -> Option<Connection<R>> {
        let now = self.runtime.now();
        self.pool.borrow_mut().take(call.host, call.address, now)
    }

    /// Keeps a connection for further calls. It is closed if there can't be any, as its host is draining or removed or
    /// the process is ending.
    fn keep(&self, host: HostId, connection: Connection<R>) {
        let mut pool = self.pool.borrow_mut();
        if !pool.is_retired() && self.members.borrow().is_ready(host) {
            pool.put(host, connection, self.runtime.now());
        }
    }
}
