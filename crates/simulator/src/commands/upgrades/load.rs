//! Clients and operators of a relay that is upgraded, and the failures that they observe.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use runtime::{OsRuntime, PendingInput, Runtime, Stream};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use crate::commands::loopback::{
    enqueue_request, submit, Submission, MEASURED_CLIENTS, MEASURED_PARTNERS, TENANT,
};

/// Time between two requests of an operator.
const CONTROL_INTERVAL: Duration = Duration::from_millis(10);
/// Time for which an operator waits for a reply.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);
/// Commands that operators send to the control socket, one operator for each.
const CONTROL_COMMANDS: [&str; 2] = ["ready", "show-stat"];
/// Minimum time after a refused connection, whatever the client's pause.
const MIN_RECONNECT_PAUSE: Duration = Duration::from_millis(5);

type OsStream = <OsRuntime as Runtime>::Stream;

/// How a client's connection failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionFailure {
    /// It was not accepted.
    Refused,
    /// It was reset.
    Reset,
    /// It was closed before a reply to the request.
    Unread,
}

/// A failed connection of a client.
pub(super) struct FailedConnection {
    pub at: Instant,
    pub failure: ConnectionFailure,
}

/// Observations of clients and operators.
#[derive(Default)]
pub(super) struct LoadLog {
    /// Times at which messages were accepted.
    pub accepted: Vec<Instant>,
    /// Number of messages that were rejected.
    pub rejected: u64,
    pub failed_connections: Vec<FailedConnection>,
    /// Latencies of the control socket's replies.
    pub control_latencies: Vec<Duration>,
    /// Number of control socket requests without a reply although the process was serving.
    pub unanswered_control_calls: u64,
    /// Whether the process that operators call may have ended already.
    pub is_upgrading: bool,
}

impl LoadLog {
    fn record_failure(&mut self, failure: ConnectionFailure) {
        self.failed_connections.push(FailedConnection {
            at: Instant::now(),
            failure,
        });
    }

    /// Records a request to a control socket. One without a reply counts only if the process serves.
    fn record_control_call(&mut self, is_serving: bool, latency: Option<Duration>) {
        match latency {
            Some(latency) => self.control_latencies.push(latency),
            None => self.unanswered_control_calls += u64::from(is_serving && !self.is_upgrading),
        }
    }
}

/// The load on a relay.
#[derive(Clone)]
pub(super) struct Load {
    /// Address at which the relay accepts clients.
    pub listen: SocketAddr,
    /// Time between a reply and the same client's next message.
    pub pause: Duration,
    /// Address of the serving process's control socket.
    pub control_address: Rc<Cell<SocketAddr>>,
    pub log: Rc<RefCell<LoadLog>>,
    /// Whether clients stop submitting.
    pub is_over: Rc<Cell<bool>>,
}

impl Load {
    /// Starts all clients and operators.
    pub fn start(&self) {
        for client in 0..MEASURED_CLIENTS {
            let load = self.clone();
            OsRuntime.spawn(async move { load.submit_until_over(client).await });
        }
        for command in CONTROL_COMMANDS {
            let load = self.clone();
            OsRuntime.spawn(async move { load.call_control_socket(command).await });
        }
    }

    /// Submits messages one after the other. A message whose connection failed is submitted again.
    async fn submit_until_over(&self, client: u64) {
        let mut idle_connection = None;
        let mut number = 0u64;
        while !self.is_over.get() {
            let Ok(mut stream) = self.connection(idle_connection.take()).await else {
                self.log
                    .borrow_mut()
                    .record_failure(ConnectionFailure::Refused);
                OsRuntime.sleep(self.pause.max(MIN_RECONNECT_PAUSE)).await;
                continue;
            };
            let id = format!("c{client:02}n{number:08}");
            let destination = 1 + number % u64::from(MEASURED_PARTNERS);
            let request = enqueue_request(&id, TENANT, destination);
            let submission = submit(&mut stream, &request).await;
            if self.record_submission(&submission) {
                idle_connection = Some(stream);
                number += 1;
            }
            OsRuntime.sleep(self.pause).await;
        }
    }

    /// The idle connection, or a new one if the relay has closed the idle one, which does not count as a failure.
    async fn connection(&self, idle: Option<OsStream>) -> io::Result<OsStream> {
        let still_open = idle.filter(|stream| stream.pending_input() != PendingInput::Closed);
        if let Some(stream) = still_open {
            return Ok(stream);
        }
        let stream = OsRuntime.connect(self.listen).await?;
        stream.set_nodelay()?;
        Ok(stream)
    }

    /// Records the result of a submission, and returns whether the relay replied.
    fn record_submission(&self, submission: &io::Result<Submission>) -> bool {
        let mut log = self.log.borrow_mut();
        match submission {
            Ok(Submission::Accepted) => log.accepted.push(Instant::now()),
            Ok(Submission::Rejected) => log.rejected += 1,
            Ok(Submission::Unanswered) => log.record_failure(ConnectionFailure::Unread),
            Err(_) => log.record_failure(ConnectionFailure::Reset),
        }
        matches!(submission, Ok(Submission::Accepted | Submission::Rejected))
    }

    /// Sends requests to the control socket indefinitely.
    async fn call_control_socket(&self, command: &'static str) {
        loop {
            let (address, started_at) = (self.control_address.get(), Instant::now());
            let answered = OsRuntime
                .timeout(CONTROL_TIMEOUT, control_call(address, command))
                .await;
            let latency = matches!(answered, Ok(Ok(()))).then(|| started_at.elapsed());
            let is_serving = self.control_address.get() == address;
            self.log
                .borrow_mut()
                .record_control_call(is_serving, latency);
            OsRuntime.sleep(CONTROL_INTERVAL).await;
        }
    }
}

/// Sends one request to a control socket.
///
/// # Errors
///
/// If the connection breaks, or ends without a reply.
async fn control_call(address: SocketAddr, command: &str) -> io::Result<()> {
    let mut stream = OsRuntime.connect(address).await?;
    stream.write_all(format!("{command}\n").as_bytes()).await?;
    let mut reply = BytesMut::new();
    while stream.read_buf(&mut reply).await? > 0 {}
    if reply.starts_with(b"ok") || reply.starts_with(b"fail") {
        Ok(())
    } else {
        Err(io::ErrorKind::UnexpectedEof.into())
    }
}
