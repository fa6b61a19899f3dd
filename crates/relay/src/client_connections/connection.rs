//! One client connection: reads requests, writes replies, and closes when idle or when the process stops.
//!
//! [`answering`] handles the requests that are buffered, [`long_requests`] receives those that the buffer cannot hold, and
//! [`closing`] decides when the connection ends.

mod answering;
mod closing;
mod long_requests;

use std::future::pending;
use std::io;
use std::time::{Duration, Instant};

use relay_events::{Clock, RelayEvent};
use runtime::{PeerState, Runtime, Stream};
use tokio::io::AsyncReadExt;
use tokio::sync::{mpsc, watch};

use super::framing::ProtocolError;
use super::input_buffer::{BufferedRequest, InputBuffer};
use super::registry::ConnectionSlot;
use super::request_handler::RequestHandler;
use super::request_memory::{ArrivalReservation, UnansweredRequest};
use super::turn_limiter::LongRequestTurn;
use super::ConnectionPolicy;

/// Time from the first byte of a request within which it must arrive completely.
const REQUEST_READ_TIMEOUT: Duration = Duration::from_secs(2);
/// The same limit for a request whose body is skipped because it is too long.
const SKIPPED_REQUEST_READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Time that a new connection has to send its first request before it is closed along with other idle connections: the
/// request may already be on its way.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(100);
/// How often an idle connection is checked. The check closes a connection that has never sent a request, and any idle
/// connection while many are open.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(2100);

/// A client connection that is being served.
///
/// The fields are dropped in this order: the channel to the event loop before the stream.
pub(super) struct Connection<'a, R: Runtime> {
    runtime: &'a R,
    slot: &'a ConnectionSlot<R>,
    policy: watch::Receiver<ConnectionPolicy>,
    handler: RequestHandler<'a, R>,
    /// Input that has not been handled yet.
    input: InputBuffer,
    /// Number of input bytes that were only peeked at; they are read once all requests in them are answered.
    peeked_bytes: usize,
    /// A request that was taken from the input and waits for memory.
    deferred: Option<BufferedRequest>,
    /// Length of the long request at the start of the input that has no space yet.
    needed_space: Option<usize>,
    /// Memory for the long request that is being read.
    reserved: Option<UnansweredRequest>,
    /// The connection's turn to read and handle a long request.
    long_request_turn: Option<LongRequestTurn>,
    /// Number of turns in which the connection has sent many requests, without a pause.
    turns_in_a_row: usize,
    /// Memory for the long request that arrives in pieces.
    arrival: Option<ArrivalReservation>,
    opened_at: Instant,
    /// Since when the current request has been incomplete, or since when the connection has been idle.
    waiting_since: Option<Instant>,
    /// Whether any request has been answered on this connection.
    has_requested: bool,
    /// Upper bound of the time for which the first requests may have waited before the connection was accepted.
    queue_delay: Duration,
    stream: R::Stream,
}

/// Conditions under which a connection waits for input.
struct Wait {
    /// Whether no request is open.
    is_idle: bool,
    /// Whether the connection was just opened and is within [`FIRST_REQUEST_GRACE`] of its first request.
    awaits_first_request: bool,
    since: Instant,
    deadline: Instant,
}

/// The event that ended a wait.
enum WaitOutcome {
    Readable(io::Result<()>),
    ConnectionsClosing,
    EvictionNotified,
    /// A long request that arrives in pieces gives way to others.
    ArrivalEvicted,
    DeadlineReached,
}

/// How to proceed after a wait.
enum NextStep {
    Continue,
    Close,
    CloseLingering,
}

impl<'a, R: Runtime> Connection<'a, R> {
    /// Prepares a connection that was just accepted.
    pub(super) fn open(
        stream: R::Stream,
        slot: &'a ConnectionSlot<R>,
        clock: &'a Clock<R>,
        events: mpsc::Sender<RelayEvent>,
        queue_delay: Duration,
    ) -> Self {
        let clients = &slot.clients;
        let policy = clients.control.connection_policy();
        // Without this option small writes may be delayed, which does not justify closing the connection.
        drop(stream.set_nodelay());
        Connection {
            runtime: &clients.runtime,
            slot,
            policy,
            handler: RequestHandler::new(&clients.control, clock, events, clients.authentication),
            input: InputBuffer::default(),
            peeked_bytes: 0,
            deferred: None,
            needed_space: None,
            reserved: None,
            long_request_turn: None,
            turns_in_a_row: 0,
            arrival: None,
            opened_at: clients.runtime.now(),
            waiting_since: None,
            has_requested: false,
            queue_delay,
            stream,
        }
    }

    /// Answers requests until one side closes the connection.
    ///
    /// # Errors
    ///
    /// The I/O error that ended the connection. Its kind is `TimedOut` if the client does not read its replies in time.
    pub(super) async fn serve(mut self) -> io::Result<()> {
        loop {
            if !self.input.is_empty() && self.stream.peer_state() == PeerState::Gone {
                return Ok(());
            }
            let batch = self.answer_buffered_requests().await;
            let next_step = if batch.answers.is_empty() {
                self.receive_input().await?
            } else {
                self.finish_batch(batch).await?
            };
            match next_step {
                NextStep::Continue => {}
                NextStep::Close => return Ok(()),
                NextStep::CloseLingering => return self.close_lingering().await,
            }
        }
    }

    /// Waits for more input, and reads it.
    async fn receive_input(&mut self) -> io::Result<NextStep> {
        self.read_peeked_input().await?;
        match self.needed_space.take() {
            Some(length) => self.prepare_long_request(length).await,
            None => self.wait_and_read().await,
        }
    }

    /// Waits for the next event of the connection, and reads the input that has arrived.
    async fn wait_and_read(&mut self) -> io::Result<NextStep> {
        let wait = self.begin_wait();
        match self.wait(&wait).await {
            WaitOutcome::Readable(ready) => {
                ready?;
                self.read_input(&wait)
            }
            WaitOutcome::ConnectionsClosing => Ok(self.close_if_idle(&wait).await),
            WaitOutcome::EvictionNotified => Ok(self.close_if_evicted()),
            WaitOutcome::ArrivalEvicted => {
                self.reject_incomplete(ProtocolError::RequestTooSlow).await
            }
            WaitOutcome::DeadlineReached => self.handle_deadline(&wait).await,
        }
    }

    fn begin_wait(&mut self) -> Wait {
        let awaits_first_request =
            !self.has_requested && self.runtime.now() < self.opened_at + FIRST_REQUEST_GRACE;
        let is_idle = self.input.is_empty();
        if is_idle {
            self.input.release_if_empty();
            self.slot.mark_idle();
        } else {
            self.slot.mark_busy();
        }
        let since = *self.waiting_since.get_or_insert_with(|| self.runtime.now());
        let deadline = if is_idle {
            self.runtime.now() + IDLE_CHECK_INTERVAL
        } else if self.input.is_skipping() {
            since + SKIPPED_REQUEST_READ_TIMEOUT
        } else {
            since + REQUEST_READ_TIMEOUT
        };
        Wait {
            is_idle,
            awaits_first_request,
            since,
            deadline,
        }
    }

    /// Waits without reading, so that no input is lost when another event ends the wait.
    async fn wait(&mut self, wait: &Wait) -> WaitOutcome {
        let runtime = self.runtime;
        let policy = &mut self.policy;
        let arrival = self.arrival.as_ref();
        let grace_end = self.opened_at + FIRST_REQUEST_GRACE;
        tokio::select! {
            biased;
            ready = self.stream.readable() => WaitOutcome::Readable(ready),
            () = async {
                let _ = policy.wait_for(|policy| policy.stage.closes_idle_connections()).await;
                if wait.awaits_first_request {
                    runtime.sleep_until(grace_end).await;
                }
            }, if wait.is_idle => WaitOutcome::ConnectionsClosing,
            () = self.slot.eviction_notified(), if wait.is_idle => WaitOutcome::EvictionNotified,
            () = async {
                match arrival {
                    Some(arrival) => arrival.evicted().await,
                    None => pending().await,
                }
            } => WaitOutcome::ArrivalEvicted,
            () = runtime.sleep_until(wait.deadline) => WaitOutcome::DeadlineReached,
        }
    }

    /// Reads the input that has arrived, without waiting for more.
    ///
    /// While messages are rejected, the process may be killed at any time. A request that was read but not answered would
    /// then be lost, whereas the client resends a request that was not read. The input is therefore only peeked at until
    /// its requests are answered.
    fn read_input(&mut self, wait: &Wait) -> io::Result<NextStep> {
        let buffer = self.input.prepare_read();
        let input = if self.policy.borrow().stage.rejects_messages() {
            let peeked = self.stream.try_peek_buf(buffer);
            self.peeked_bytes = *peeked.as_ref().unwrap_or(&0);
            peeked
        } else {
            self.stream.try_read_buf(buffer)
        };
        if let (Some(arrival), Ok(count)) = (&self.arrival, &input) {
            arrival.record_arrival(*count);
        }
        match input {
            Ok(0) => Ok(NextStep::Close),
            Ok(_) if self.has_client_disconnected() => Ok(NextStep::Close),
            Ok(_) => {
                self.slot.mark_busy();
                if wait.is_idle {
                    self.waiting_since = None;
                }
                Ok(NextStep::Continue)
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(NextStep::Continue),
            Err(error) => Err(error),
        }
    }

    /// Reads the input that was peeked at, once the requests in it are answered. Any remaining bytes are the beginning of
    /// a request that has not arrived completely.
    async fn read_peeked_input(&mut self) -> io::Result<()> {
        let mut input = vec![0; std::mem::take(&mut self.peeked_bytes)];
        self.stream.read_exact(&mut input).await.map(drop)
    }
}
