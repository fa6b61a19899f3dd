//! A stream below the HTTP library that records the progress of requests and responses.
//!
//! The library does not report how much of a failed request was written or how a malformed response began. Both decide
//! whether the message may have been executed.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};

use runtime::{PendingInput, Stream};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;

use super::attempt_start::AttemptStart;
use super::response_framing::ResponseFraming;
use super::settling::RESPONSE_BODY_MAX_BYTES;
use super::status_line::StatusLineParser;
use super::surplus::SurplusResponses;

/// How the host ended a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StreamEnd {
    /// The host closed the connection in an orderly way.
    Closed,
    /// The connection was reset or failed.
    Failed,
}

/// Maximum number of different beginnings of responses that are remembered for a connection.
const MAX_EARLIER_RESPONSES: usize = 8;

/// How the earlier responses of a connection began.
#[derive(Default)]
struct EarlierResponses {
    starts: Vec<Vec<u8>>,
    /// There were more different responses than are remembered.
    has_more: bool,
}

impl EarlierResponses {
    fn add(&mut self, start: &[u8]) {
        if self.starts.iter().any(|known| known == start) {
            return;
        }
        if self.starts.len() < MAX_EARLIER_RESPONSES {
            self.starts.push(start.to_vec());
        } else {
            self.has_more = true;
        }
    }

    /// Whether an earlier response may have begun with exactly this.
    fn includes(&self, start: &[u8]) -> bool {
        self.has_more || self.starts.iter().any(|known| known == start)
    }

    /// Whether an earlier response may have begun with these bytes.
    fn any_begins_with(&self, bytes: &[u8]) -> bool {
        self.has_more || self.starts.iter().any(|known| known.starts_with(bytes))
    }
}

/// Progress of the transfer on a connection.
#[derive(Default)]
pub(super) struct TransferProgress {
    /// Bytes written since the connection was opened.
    bytes_written: u64,
    /// The value of `bytes_written` at which the current request starts.
    request_start: u64,
    /// Size of the current request in bytes.
    request_size: u64,
    /// Number of requests since the connection was opened.
    requests: u64,
    /// Start of the attempt that the current request belongs to; `None` before the first request.
    start: Option<AttemptStart>,
    /// No response is awaited: every byte that arrives is unsolicited.
    is_idle: bool,
    /// Bytes have arrived while the connection was idle, or after that before the first byte of a request.
    has_unsolicited_input: bool,
    /// A byte of a response has arrived before the last byte of the request was written.
    has_early_response: bool,
    /// The response to the current request.
    pub(super) response: StatusLineParser,
    /// The end of that response.
    framing: ResponseFraming,
    /// How the earlier responses of the connection began.
    earlier_responses: EarlierResponses,
    /// What follows that response.
    pub(super) surplus: SurplusResponses,
    /// How the host ended the connection; `None` while it is open.
    pub(super) end: Option<StreamEnd>,
}

impl TransferProgress {
    /// The progress of a connection that has just been opened.
    pub(super) fn of_new_connection() -> Self {
        TransferProgress {
            is_idle: true,
            ..TransferProgress::default()
        }
    }

    /// Prepares for a request of `size` bytes that is about to be written. `start` is recorded before its first byte.
    pub(super) fn begin_request(&mut self, size: u64, start: AttemptStart) {
        self.request_start = self.bytes_written;
        self.request_size = size;
        self.requests += 1;
        self.start = Some(start);
        self.is_idle = false;
        self.response = StatusLineParser::default();
        let previous = std::mem::take(&mut self.framing);
        if previous.is_complete() {
            self.earlier_responses.add(previous.start());
        }
    }

    /// Marks the connection as idle until its next request.
    pub(super) fn set_idle(&mut self) {
        self.is_idle = true;
    }

    /// Whether the response to the current request may be the copy of an earlier one. The first response cannot, nor one
    /// after which its connection would have been closed, nor one whose head is incomplete and begins like no other.
    pub(super) fn may_be_copy(&self) -> bool {
        let max_body_bytes = RESPONSE_BODY_MAX_BYTES as u64;
        self.requests > 1
            && self.framing.may_precede_another(max_body_bytes)
            && (self.framing.head().is_some()
                || self.earlier_responses.any_begins_with(self.framing.start()))
    }

    /// Whether the response to the current request begins with the same bytes as an earlier one.
    pub(super) fn repeats_earlier_response(&self) -> bool {
        self.earlier_responses.includes(self.framing.start())
    }

    /// Whether the last byte of the current request was written. Before that, the host cannot have executed the call.
    pub(super) fn is_request_complete(&self) -> bool {
        self.bytes_written >= self.request_start + self.request_size
    }

    /// Whether bytes have arrived after a response that belong to no request, or too early for their request. What a host
    /// sends on a new connection, such as a rejection at its connection limit, is not counted.
    pub(super) fn has_unsolicited_input(&self) -> bool {
        let is_unsolicited = self.has_unsolicited_input || self.has_early_response;
        is_unsolicited && self.has_earlier_response()
    }

    /// Whether the connection has received a response before the current request, or before it became idle.
    fn has_earlier_response(&self) -> bool {
        self.requests > 1 || self.requests == 1 && self.is_idle
    }

    fn has_request_started(&self) -> bool {
        self.bytes_written != self.request_start
    }

    /// Processes received bytes, and returns how many of them belong to the response to the current request.
    fn receive(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.is_idle {
            self.has_unsolicited_input = true;
            if self.has_earlier_response() {
                self.surplus.push(bytes);
            }
            return Err(unsolicited_input());
        }
        if self.surplus.is_endless() {
            return Err(unsolicited_input());
        }
        self.has_early_response |= !self.is_request_complete();
        let used = self.framing.push(bytes);
        self.response.push(&bytes[..used]);
        self.surplus.push(&bytes[used..]);
        Ok(used)
    }
}

fn unsolicited_input() -> io::Error {
    io::Error::new(
        io::ErrorKind::InvalidData,
        "input that belongs to no request",
    )
}

/// The progress of a connection, shared between its stream and the attempt that uses the connection.
#[derive(Clone)]
pub(super) struct TransferMonitor {
    pub(super) progress: Rc<RefCell<TransferProgress>>,
    /// Notified after each read, and when the connection has ended.
    pub(super) read_notify: Rc<Notify>,
}

impl TransferMonitor {
    /// Creates the monitor of a connection that has just been opened.
    pub(super) fn new() -> Self {
        TransferMonitor {
            progress: Rc::new(RefCell::new(TransferProgress::of_new_connection())),
            read_notify: Rc::default(),
        }
    }
}

/// A stream that updates a [`TransferMonitor`]. Its reader gets only the responses to its requests.
pub(super) struct WatchedStream<T> {
    stream: T,
    monitor: TransferMonitor,
    /// Number of requests that were written completely, on all connections.
    dispatches: Rc<Cell<u64>>,
}

impl<T: Stream> WatchedStream<T> {
    pub(super) fn new(stream: T, monitor: TransferMonitor, dispatches: Rc<Cell<u64>>) -> Self {
        WatchedStream {
            stream,
            monitor,
            dispatches,
        }
    }

    fn record_write(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(written)) = result {
            let mut progress = self.monitor.progress.borrow_mut();
            let was_complete = progress.is_request_complete();
            progress.bytes_written += written as u64;
            if progress.is_request_complete() && !was_complete {
                self.dispatches.set(self.dispatches.get() + 1);
            }
        }
        result
    }

    /// Called before each write. Before the first byte of a request, checks the connection for unsolicited input and
    /// records the start of the attempt.
    ///
    /// # Errors
    /// Fails if input has arrived that cannot belong to the response, as the host begins a call when its last byte has
    /// arrived. The last byte of the request is then never written.
    fn prepare_write(&self) -> io::Result<()> {
        let (has_started, has_early_response) = {
            let progress = self.monitor.progress.borrow();
            (progress.has_request_started(), progress.has_early_response)
        };
        if has_early_response {
            return Err(unsolicited_input());
        }
        if has_started {
            return Ok(());
        }
        let pending_input = self.stream.pending_input();
        if pending_input == PendingInput::Bytes {
            self.monitor.progress.borrow_mut().has_unsolicited_input = true;
        }
        if pending_input != PendingInput::Empty {
            return Err(unsolicited_input());
        }
        let start = self.monitor.progress.borrow().start.clone();
        start.map_or(Ok(()), |start| start.record())
    }

    /// Reads from the connection and returns the number of bytes in `buffer` that the reader gets: those of the response
    /// to the current request. Zero at the end of the connection.
    fn poll_response(
        &mut self,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<usize>> {
        loop {
            let filled_before = buffer.filled().len();
            ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
            let received = &buffer.filled()[filled_before..];
            if received.is_empty() {
                return Poll::Ready(Ok(0));
            }
            let used = self.monitor.progress.borrow_mut().receive(received)?;
            buffer.set_filled(filled_before + used);
            if used > 0 {
                return Poll::Ready(Ok(used));
            }
            self.monitor.read_notify.notify_one();
        }
    }
}

impl<T: Stream> AsyncRead for WatchedStream<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if buffer.remaining() == 0 {
            return Poll::Ready(Ok(()));
        }
        let read = ready!(self.poll_response(cx, buffer));
        let end = match &read {
            Ok(0) => Some(StreamEnd::Closed),
            Ok(_) => None,
            Err(_) => Some(StreamEnd::Failed),
        };
        if end.is_some() {
            self.monitor.progress.borrow_mut().end = end;
        }
        self.monitor.read_notify.notify_one();
        Poll::Ready(read.map(drop))
    }
}

impl<T: Stream> AsyncWrite for WatchedStream<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.prepare_write()?;
        let result = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.record_write(result)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.prepare_write()?;
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, buffers);
        self.record_write(result)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }
}
