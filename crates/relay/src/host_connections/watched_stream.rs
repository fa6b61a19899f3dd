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
use super::status_line::StatusLineParser;

/// Progress of the transfer on a connection.
#[derive(Default)]
pub(super) struct TransferProgress {
    /// Bytes written since the connection was opened.
    bytes_written: u64,
    /// The value of `bytes_written` at which the current request starts.
    request_start: u64,
    /// Size of the current request in bytes.
    request_size: u64,
    /// Start of the attempt that the current request belongs to; `None` before the first request.
    start: Option<AttemptStart>,
    /// The response to the current request.
    pub(super) response: StatusLineParser,
}

impl TransferProgress {
    /// Prepares for a request of `size` bytes that is about to be written. `start` is recorded before its first byte.
    pub(super) fn begin_request(&mut self, size: u64, start: AttemptStart) {
        self.request_start = self.bytes_written;
        self.request_size = size;
        self.start = Some(start);
        self.response = StatusLineParser::default();
    }

    /// Whether the last byte of the current request was written. Before that, the host cannot have executed the call.
    pub(super) fn is_request_complete(&self) -> bool {
        self.bytes_written >= self.request_start + self.request_size
    }

    fn has_request_started(&self) -> bool {
        self.bytes_written != self.request_start
    }
}

/// The progress of a connection, shared between its stream and the attempt that uses the connection.
#[derive(Clone, Default)]
pub(super) struct TransferMonitor {
    pub(super) progress: Rc<RefCell<TransferProgress>>,
    /// Notified after each read.
    pub(super) read_notify: Rc<Notify>,
}

/// A stream that updates a [`TransferMonitor`].
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
    fn prepare_write(&self) -> io::Result<()> {
        if self.monitor.progress.borrow().has_request_started() {
            return Ok(());
        }
        self.reject_unsolicited_input()?;
        let start = self.monitor.progress.borrow().start.clone();
        start.map_or(Ok(()), |start| start.record())
    }

    /// Fails if input is pending before the first byte of a request is written.
    ///
    /// Such bytes do not belong to the response to any request. The HTTP library would treat them as the response to the
    /// request that follows, so the connection must not be used for it.
    fn reject_unsolicited_input(&self) -> io::Result<()> {
        if self.stream.pending_input() != PendingInput::Empty {
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "unsolicited input before the request",
            ));
        }
        Ok(())
    }
}

impl<T: Stream> AsyncRead for WatchedStream<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        let received = &buffer.filled()[filled_before..];
        self.monitor.progress.borrow_mut().response.push(received);
        self.monitor.read_notify.notify_one();
        Poll::Ready(Ok(()))
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
