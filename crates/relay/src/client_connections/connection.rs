//! One client connection: reads requests, writes replies, and closes when idle or when the process stops.

use std::io;
use std::time::{Duration, Instant};

use bytes::{Buf, Bytes, BytesMut};
use control::ConnectionStage;
use relay_events::{Clock, RelayEvent, Reply};
use runtime::{PendingInput, Runtime, Stream};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::{mpsc, watch};

use super::framing::{decode_request, find_frame, Frame, ProtocolError};
use super::lingering_close::close_lingering;
use super::registry::ConnectionSlot;
use super::request::RequestError;
use super::request_handler::{Answer, RequestHandler};
use super::{ConnectionPolicy, READ_BUFFER_BYTES};

/// Maximum number of requests of one connection that are handled before their replies are written.
const MAX_PIPELINED_REQUESTS: usize = 64;
/// Time from the first byte of a request within which it must arrive completely.
const REQUEST_READ_TIMEOUT: Duration = Duration::from_secs(2);
/// The same limit for a request whose body is skipped because it is too long.
const SKIPPED_REQUEST_READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Time within which a client must read its replies.
const REPLY_WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time that a new connection has to send its first request before it is closed along with other idle connections: the
/// request may already be on its way.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(100);
/// How often an idle connection is checked. The check closes a connection that has never sent a request, and any idle
/// connection while many are open.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(2100);
/// A connection that has sent a request is closed after being idle for this long, even while few are open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// A client connection that is being served.
///
/// The fields are dropped in this order: the channel to the event loop before the stream.
pub(super) struct Connection<'a, R: Runtime> {
    runtime: &'a R,
    slot: &'a ConnectionSlot<R>,
    policy: watch::Receiver<ConnectionPolicy>,
    handler: RequestHandler<'a, R>,
    /// Input that has not been handled yet.
    buffer: BytesMut,
    /// Number of input bytes that were only peeked at; they are read once all requests in them are answered.
    peeked_bytes: usize,
    /// Number of input bytes to discard that belong to a request rejected for its length.
    bytes_to_skip: usize,
    opened_at: Instant,
    /// Since when the current request has been incomplete, or since when the connection has been idle.
    waiting_since: Option<Instant>,
    /// Whether any request has been answered on this connection.
    has_requested: bool,
    /// Upper bound of the time for which the first requests may have waited before the connection was accepted.
    queue_delay: Duration,
    stream: R::Stream,
}

/// Classification of the buffered input.
enum Input {
    Incomplete,
    BodyTooLong,
    Request(Vec<Bytes>),
}

/// The answers to the requests that were found in the buffer.
struct AnswerBatch {
    answers: Vec<Answer>,
    /// Whether the connection is to be closed once the answers are written.
    closes: bool,
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
            buffer: BytesMut::new(),
            peeked_bytes: 0,
            bytes_to_skip: 0,
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
            let batch = self.answer_buffered_requests().await;
            if !batch.answers.is_empty() {
                let was_last_batch = batch.answers.len() < MAX_PIPELINED_REQUESTS;
                self.write_answers(batch.answers).await?;
                if batch.closes {
                    return close_lingering(self.runtime, self.stream).await;
                }
                if was_last_batch && self.policy.borrow().stage == ConnectionStage::LastRequest {
                    self.read_peeked_input().await?;
                    return close_lingering(self.runtime, self.stream).await;
                }
                self.waiting_since = None;
                self.has_requested = true;
                self.queue_delay = Duration::ZERO;
                // Lets other connections run even if this client sends requests continuously.
                tokio::task::yield_now().await;
                continue;
            }
            self.read_peeked_input().await?;
            match self.wait_and_read().await? {
                NextStep::Continue => {}
                NextStep::Close => return Ok(()),
                NextStep::CloseLingering => {
                    return close_lingering(self.runtime, self.stream).await
                }
            }
        }
    }

    /// Handles the requests in the buffer, up to the pipelining limit. After too many failed authentications, all buffered
    /// requests are answered before the connection closes.
    async fn answer_buffered_requests(&mut self) -> AnswerBatch {
        let mut answers = Vec::new();
        let mut closes = false;
        loop {
            let has_exhausted_authentication = self.handler.has_exhausted_authentication();
            if answers.len() >= MAX_PIPELINED_REQUESTS && !has_exhausted_authentication {
                break;
            }
            match self.next_input() {
                Ok(Input::Incomplete) => {
                    closes = has_exhausted_authentication;
                    break;
                }
                Ok(Input::BodyTooLong) => {
                    answers.push(Answer::from_error(&RequestError::BodyTooLong));
                }
                Ok(Input::Request(parts)) => {
                    answers.push(self.handler.handle(&parts, self.queue_delay).await);
                }
                Err(error) => {
                    answers.push(Answer::from_error(&error));
                    closes = true;
                    break;
                }
            }
        }
        AnswerBatch { answers, closes }
    }

    /// Takes the next request from the buffer.
    fn next_input(&mut self) -> Result<Input, ProtocolError> {
        let skipped = self.bytes_to_skip.min(self.buffer.len());
        self.buffer.advance(skipped);
        self.bytes_to_skip -= skipped;
        if self.bytes_to_skip > 0 {
            return Ok(Input::Incomplete);
        }
        match find_frame(&self.buffer)? {
            Frame::Incomplete => Ok(Input::Incomplete),
            Frame::BodyTooLong { length } => {
                self.bytes_to_skip = length;
                Ok(Input::BodyTooLong)
            }
            Frame::Complete { length } => {
                let frame = self.buffer.split_to(length);
                decode_request(frame).map(Input::Request)
            }
        }
    }

    /// Waits for the pending answers, and writes all answers at once.
    async fn write_answers(&mut self, answers: Vec<Answer>) -> io::Result<()> {
        let mut output = Vec::new();
        for answer in answers {
            let reply = match answer {
                Answer::Immediate(reply) => reply,
                // The event loop answers every request; it only stops when the process ends.
                Answer::Pending(reply) => reply.await.map_err(io::Error::other)?,
            };
            reply.write(&mut output);
        }
        self.write(&output).await
    }

    /// Writes replies; fails if the client does not read them within [`REPLY_WRITE_TIMEOUT`].
    async fn write(&mut self, output: &[u8]) -> io::Result<()> {
        let write = self.stream.write_all(output);
        self.runtime.timeout(REPLY_WRITE_TIMEOUT, write).await?
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
            WaitOutcome::DeadlineReached => self.handle_deadline(&wait).await,
        }
    }

    fn begin_wait(&mut self) -> Wait {
        let awaits_first_request =
            !self.has_requested && self.runtime.now() < self.opened_at + FIRST_REQUEST_GRACE;
        let is_idle = self.buffer.is_empty() && self.bytes_to_skip == 0;
        if is_idle {
            // An idle connection holds no buffer memory.
            self.buffer = BytesMut::new();
            self.slot.mark_idle();
        } else {
            self.slot.mark_busy();
        }
        let since = *self.waiting_since.get_or_insert_with(|| self.runtime.now());
        let deadline = if is_idle {
            self.runtime.now() + IDLE_CHECK_INTERVAL
        } else if self.bytes_to_skip == 0 {
            since + REQUEST_READ_TIMEOUT
        } else {
            since + SKIPPED_REQUEST_READ_TIMEOUT
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
            () = runtime.sleep_until(wait.deadline) => WaitOutcome::DeadlineReached,
        }
    }

    /// Reads the input that has arrived, without waiting for more.
    ///
    /// While messages are rejected, the process may be killed at any time. A request that was read but not answered would
    /// then be lost, whereas the client resends a request that was not read. The input is therefore only peeked at until
    /// its requests are answered.
    fn read_input(&mut self, wait: &Wait) -> io::Result<NextStep> {
        self.buffer.reserve(READ_BUFFER_BYTES);
        let input = if self.policy.borrow().stage.rejects_messages() {
            let peeked = self.stream.try_peek_buf(&mut self.buffer);
            self.peeked_bytes = *peeked.as_ref().unwrap_or(&0);
            peeked
        } else {
            self.stream.try_read_buf(&mut self.buffer)
        };
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

    /// Whether the client sent its requests while no process accepted connections, and has closed the connection since.
    /// Such requests are not answered.
    fn has_client_disconnected(&self) -> bool {
        !self.queue_delay.is_zero() && self.stream.pending_input() == PendingInput::Closed
    }

    /// Closes the connection when all idle connections are to close, unless input has arrived that would be left unread.
    async fn close_if_idle(&self, wait: &Wait) -> NextStep {
        if wait.awaits_first_request {
            // The grace period has passed, and does not apply to the next wait.
            return NextStep::Continue;
        }
        if self.stream.pending_input() != PendingInput::Bytes {
            return NextStep::Close;
        }
        // The runtime has not yet reported those bytes as readable.
        tokio::task::yield_now().await;
        NextStep::Continue
    }

    /// Closes the connection to free its slot, unless a request has arrived meanwhile.
    fn close_if_evicted(&self) -> NextStep {
        if self.slot.is_evicted() && self.stream.pending_input() != PendingInput::Bytes {
            NextStep::Close
        } else {
            NextStep::Continue
        }
    }

    /// Closes a connection that has been idle for too long, or whose request did not arrive completely in time, as it
    /// would otherwise hold its slot forever. An idle connection is closed without further reads: a request that arrives
    /// while it closes stays unread, so that its client sends the request again.
    async fn handle_deadline(&mut self, wait: &Wait) -> io::Result<NextStep> {
        if !wait.is_idle {
            let mut output = Vec::new();
            Reply::Error(ProtocolError::RequestTimeout.to_string()).write(&mut output);
            self.write(&output).await?;
            return Ok(NextStep::CloseLingering);
        }
        if self.may_stay_idle(wait) || self.stream.pending_input() == PendingInput::Bytes {
            return Ok(NextStep::Continue);
        }
        Ok(NextStep::Close)
    }

    fn may_stay_idle(&self, wait: &Wait) -> bool {
        self.has_requested
            && !self.slot.clients.is_under_pressure()
            && self.runtime.now() - wait.since < IDLE_TIMEOUT
    }
}
