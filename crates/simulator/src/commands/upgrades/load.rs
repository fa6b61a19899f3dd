//! Clients and operators of a relay that is upgraded, and what they meet.

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

/// Time between two calls of an operator.
const CONTROL_INTERVAL: Duration = Duration::from_millis(10);
/// How long an operator waits for an answer.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);
/// What operators ask the control socket, one operator each.
const CONTROL_COMMANDS: [&str; 2] = ["ready", "show-stat"];
/// Least time after a refused connection, whatever a client's pause is.
const MIN_RECONNECT_PAUSE: Duration = Duration::from_millis(5);

type OsStream = <OsRuntime as Runtime>::Stream;

/// How a client's connection failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionFailure {
    /// It was not accepted.
    Refused,
    /// It broke.
    Reset,
    /// It was closed with a request unanswered.
    Unread,
}

/// A client's connection that failed.
pub(super) struct FailedConnection {
    pub at: Instant,
    pub failure: ConnectionFailure,
}

/// What clients and operators have met.
#[derive(Default)]
pub(super) struct LoadLog {
    /// When messages were accepted.
    pub accepted: Vec<Instant>,
    /// Messages that were answered, but not accepted.
    pub rejected: u64,
    pub failed_connections: Vec<FailedConnection>,
    /// How long answers of the control socket took.
    pub control_latencies: Vec<Duration>,
    /// Calls of the control socket that were not answered, though its process served.
    pub unanswered_control_calls: u64,
    /// The process that operators call may have ended already.
    pub is_upgrading: bool,
}

impl LoadLog {
    fn record_failure(&mut self, failure: ConnectionFailure) {
        self.failed_connections.push(FailedConnection {
            at: Instant::now(),
            failure,
        });
    }

    /// Records a call of a control socket. One without an answer counts only if the process serves.
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
    /// Where the relay takes clients.
    pub listen: SocketAddr,
    /// Time between an answer and the same client's next message.
    pub pause: Duration,
    /// The control socket of the process that serves.
    pub control_address: Rc<Cell<SocketAddr>>,
    pub log: Rc<RefCell<LoadLog>>,
    /// Clients submit no more.
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

    /// Submits messages one after the other. One whose connection failed is submitted again.
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

    /// The idle connection, or a new one if the relay has closed that, which is no failure.
    async fn connection(&self, idle: Option<OsStream>) -> io::Result<OsStream> {
        let still_open = idle.filter(|stream| stream.pending_input() != PendingInput::Closed);
        if let Some(stream) = still_open {
            return Ok(stream);
        }
        let stream = OsRuntime.connect(self.listen).await?;
        stream.set_nodelay()?;
        Ok(stream)
    }

    /// Records what became of a message, and returns whether it was answered.
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

    /// Calls the control socket for good.
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

/// Calls a control socket once.
///
/// # Errors
///
/// If the connection breaks, or ends without an answer.
async fn control_call(address: SocketAddr, command: &str) -> io::Result<()> {
    let mut stream = OsRuntime.connect(address).await?;
    stream.write_all(format!("{command}\n").as_bytes()).await?;
    let mut answer = BytesMut::new();
    while stream.read_buf(&mut answer).await? > 0 {}
    if answer.starts_with(b"ok") || answer.starts_with(b"fail") {
        Ok(())
    } else {
        Err(io::ErrorKind::UnexpectedEof.into())
    }
}
