//! Handles the requests in the buffer of a connection in batches, and answers them.

use std::io;
use std::time::Duration;

use control::ConnectionStage;
use relay_events::Reply;
use runtime::Runtime;
use tokio::io::AsyncWriteExt;

use super::{Connection, NextStep};
use crate::client_connections::framing::ProtocolError;
use crate::client_connections::input_buffer::Input;
use crate::client_connections::request::RequestError;
use crate::client_connections::request_handler::Answer;
use crate::client_connections::request_memory::UnansweredRequest;
use crate::client_connections::turn_limiter::TurnCost;

/// Maximum number of requests of one connection that are handled before their replies are written.
const MAX_PIPELINED_REQUESTS: usize = 64;
/// Maximum number of those that are answered without the event loop: they are handled without a pause.
const MAX_IMMEDIATE_ANSWERS: usize = 16;
/// Number of requests that a connection may handle without waiting for its next turn.
const MAX_UNLIMITED_REQUESTS: usize = 4;
/// Time within which a client must read its replies.
const REPLY_WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// The answers to the requests that were found in the buffer.
pub(super) struct AnswerBatch {
    pub(super) answers: Vec<Answer>,
    /// Whether a long request is among them.
    has_long_request: bool,
    /// Whether the buffer holds no other complete request.
    is_last: bool,
    /// Whether the connection is to be closed once the answers are written.
    closes: bool,
}

impl AnswerBatch {
    /// Whether no other request is handled before these are answered.
    fn is_full(&self) -> bool {
        let is_immediate = |answer: &&Answer| matches!(answer, Answer::Immediate(_));
        self.answers.len() >= MAX_PIPELINED_REQUESTS
            || self.answers.iter().filter(is_immediate).count() >= MAX_IMMEDIATE_ANSWERS
    }
}

impl<R: Runtime> Connection<'_, R> {
    /// Writes the answers of a batch, and waits until the connection's next turn.
    pub(super) async fn finish_batch(&mut self, batch: AnswerBatch) -> io::Result<NextStep> {
        let requests = batch.answers.len();
        let errors = self.write_answers(batch.answers).await?;
        if batch.closes {
            return Ok(NextStep::CloseLingering);
        }
        if batch.is_last && self.policy.borrow().stage == ConnectionStage::LastRequest {
            self.read_peeked_input().await?;
            return Ok(NextStep::CloseLingering);
        }
        self.waiting_since = None;
        self.has_requested = true;
        self.queue_delay = Duration::ZERO;
        // Lets other connections run even if this client sends requests continuously.
        tokio::task::yield_now().await;
        let is_long_error = batch.has_long_request && errors > 0;
        let turns = &self.slot.clients.turns;
        if is_long_error && turns.is_crowded() {
            // While much input is unread, it is unknown whether the client has left, and the connection takes a slot.
            return Ok(NextStep::CloseLingering);
        }
        let takes_turn = is_long_error || requests > MAX_UNLIMITED_REQUESTS;
        if takes_turn && self.has_unhandled_input() {
            self.turns_in_a_row += 1;
            let cost = if is_long_error {
                TurnCost::LongError
            } else {
                TurnCost::ManyRequests {
                    turns: self.turns_in_a_row,
                }
            };
            tokio::select! {
                biased;
                () = turns.wait_for_turn(self.runtime, cost) => {}
                () = self.client_left(is_long_error) => return Ok(NextStep::Close),
            }
        } else {
            self.turns_in_a_row = 0;
        }
        self.wait_for_reset().await;
        Ok(NextStep::Continue)
    }

    /// Handles the requests in the buffer, up to the pipelining limit. After too many failed authentications, all buffered
    /// requests are answered before the connection closes.
    pub(super) async fn answer_buffered_requests(&mut self) -> AnswerBatch {
        let mut batch = AnswerBatch {
            answers: Vec::new(),
            has_long_request: false,
            is_last: false,
            closes: false,
        };
        loop {
            let has_exhausted_authentication = self.handler.has_exhausted_authentication();
            if batch.is_full() && !has_exhausted_authentication {
                break;
            }
            match self.next_input() {
                Ok(Input::Incomplete) => {
                    batch.is_last = true;
                    batch.closes = has_exhausted_authentication;
                    break;
                }
                Ok(Input::NeedsSpace { length }) => {
                    batch.is_last = true;
                    batch.closes = has_exhausted_authentication;
                    self.needed_space = Some(length);
                    break;
                }
                Ok(Input::BodyTooLong) => {
                    let error = Answer::from_error(&RequestError::BodyTooLong);
                    batch.answers.push(error);
                }
                Ok(Input::Request(request)) => {
                    let may_wait = batch.answers.is_empty();
                    let Some(memory) = self.reserve_memory(request.length, may_wait).await else {
                        self.deferred = Some(request);
                        break;
                    };
                    let answer = self.handler.handle(request.parts, memory, self.queue_delay);
                    batch.answers.push(answer.await);
                    batch.has_long_request |= self.long_request_turn.take().is_some();
                }
                Err(error) => {
                    batch.answers.push(Answer::from_error(&error));
                    batch.closes = true;
                    break;
                }
            }
        }
        batch
    }

    fn next_input(&mut self) -> Result<Input, ProtocolError> {
        match self.deferred.take() {
            Some(request) => Ok(Input::Request(request)),
            None => self.input.next(),
        }
    }

    /// Reserves the memory of a complete request until it is answered. `None` if it is not free now and the connection may
    /// not wait for it, because other requests of the connection are not answered yet.
    async fn reserve_memory(&mut self, length: usize, may_wait: bool) -> Option<UnansweredRequest> {
        let memory = &self.slot.clients.request_memory;
        let reserved = match self.reserved.take().or_else(|| memory.try_reserve(length)) {
            None if may_wait => memory.reserve(length).await,
            reserved => reserved,
        };
        if reserved.is_some() {
            self.arrival = None;
        }
        reserved
    }

    /// Waits for the pending answers, and writes all answers at once. Returns the number of errors among them.
    async fn write_answers(&mut self, answers: Vec<Answer>) -> io::Result<usize> {
        let mut output = Vec::new();
        let mut errors = 0;
        for answer in answers {
            let reply = match answer {
                Answer::Immediate(reply) => reply,
                // The event loop answers every request; it only stops when the process ends.
                Answer::Pending { reply, memory } => {
                    let reply = reply.await.map_err(io::Error::other)?;
                    drop(memory);
                    reply
                }
            };
            errors += usize::from(matches!(reply, Reply::Error(_)));
            reply.write(&mut output);
        }
        self.write(&output).await?;
        Ok(errors)
    }

    /// Writes replies; fails if the client does not read them within [`REPLY_WRITE_TIMEOUT`]. Meanwhile other connections
    /// may handle long requests.
    pub(super) async fn write(&mut self, output: &[u8]) -> io::Result<()> {
        self.long_request_turn = None;
        let write = self.stream.write_all(output);
        self.runtime.timeout(REPLY_WRITE_TIMEOUT, write).await?
    }
}
