//! One HTTP/1 connection to a host.

use std::cell::{Cell, Ref};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use policy::response_confirmation::ResponsePosition;
use policy::types::AttemptOutcome;
use runtime::{connect_despite_shortage, Runtime, Stream, Task};

use super::attempt_start::AttemptStart;
use super::close_reason::{CloseCounts, CloseReason};
use super::watched_stream::{TransferMonitor, TransferProgress, WatchedStream};

/// Maximum size of the head of a response in bytes, including its first line.
const RESPONSE_HEAD_MAX_BYTES: usize = 32 << 10;

/// Maximum time between the first byte of a response and the end of its head.
const RESPONSE_HEAD_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum total size in bytes of the informational (1xx) responses that precede a response.
const INFORMATIONAL_RESPONSES_MAX_BYTES: usize = 64 << 10;

/// A connection to a host. Dropping it closes the connection.
pub(super) struct Connection<R: Runtime> {
    pub(super) address: SocketAddr,
    pub(super) sender: SendRequest<Full<Bytes>>,
    /// Drives the connection's I/O. Aborting the task closes the connection.
    task: R::Task,
    monitor: TransferMonitor,
    close_reason: CloseReason,
    close_counts: Rc<CloseCounts>,
    /// Every response of the connection so far reported a delivery.
    has_only_deliveries: bool,
    /// When the current request, or the last one, began; when the connection was opened if it has had none.
    request_began_at: Instant,
    /// When the last call on the connection ended, or when it was opened if it has had no call.
    pub(super) idle_since: Instant,
}

impl<R: Runtime> Connection<R> {
    /// Opens a connection that counts the requests written completely in `dispatches`, and its close in `close_counts`.
    ///
    /// The caller has to apply a timeout, because a host that has disappeared does not answer at all.
    pub(super) async fn open(
        runtime: &R,
        address: SocketAddr,
        dispatches: Rc<Cell<u64>>,
        close_counts: Rc<CloseCounts>,
    ) -> io::Result<Self> {
        let stream = connect_despite_shortage(runtime, address).await?;
        // Without this option small writes may be delayed, which does not justify closing the connection.
        drop(stream.set_nodelay());
        let monitor = TransferMonitor::new();
        let stream = WatchedStream::new(stream, monitor.clone(), dispatches);
        let mut builder = http1::Builder::new();
        // Limits the memory that the head of a response may take.
        builder.max_buf_size(RESPONSE_HEAD_MAX_BYTES);
        let (sender, connection) = builder
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let task = runtime.spawn(async move { drop(connection.await) });
        let now = runtime.now();
        Ok(Connection {
            address,
            sender,
            task,
            monitor,
            close_reason: CloseReason::HostClosed,
            close_counts,
            has_only_deliveries: true,
            request_began_at: now,
            idle_since: now,
        })
    }

    /// Prepares for a request of `size` bytes that is about to be written. `start` is recorded before its first byte.
    pub(super) fn begin_request(&mut self, now: Instant, size: u64, start: AttemptStart) {
        self.request_began_at = now;
        self.monitor
            .progress
            .borrow_mut()
            .begin_request(size, start);
    }

    /// Marks the connection as idle from `now` until its next request.
    pub(super) fn set_idle(&mut self, now: Instant) {
        self.idle_since = now;
        self.monitor.progress.borrow_mut().set_idle();
    }

    /// When the current request, or the last one, began.
    pub(super) fn request_began_at(&self) -> Instant {
        self.request_began_at
    }

    /// Records the outcome of the current request as its response reports it.
    pub(super) fn record_outcome(&mut self, outcome: AttemptOutcome) {
        self.has_only_deliveries &= outcome == AttemptOutcome::Delivered;
    }

    /// Whether every response of the connection so far reported a delivery.
    pub(super) fn has_only_deliveries(&self) -> bool {
        self.has_only_deliveries
    }

    /// The position of the response to the current request.
    pub(super) fn position(&self) -> ResponsePosition {
        let progress = self.progress();
        if !progress.may_be_copy() {
            ResponsePosition::First
        } else if progress.repeats_earlier_response() {
            ResponsePosition::Repeated
        } else {
            ResponsePosition::Later
        }
    }

    /// The progress of the current request and its response.
    pub(super) fn progress(&self) -> Ref<'_, TransferProgress> {
        self.monitor.progress.borrow()
    }

    /// A shared handle to the progress, for use while the connection is borrowed.
    pub(super) fn monitor(&self) -> TransferMonitor {
        self.monitor.clone()
    }

    /// Sets the reason for which the connection will be closed when it is dropped.
    pub(super) fn set_close_reason(&mut self, reason: CloseReason) {
        self.close_reason = reason;
    }

    /// Closes the connection and returns once it is closed. The message must not be resent before that.
    pub(super) async fn close(mut self, reason: CloseReason) {
        self.close_reason = reason;
        self.task.abort();
        self.task.join().await;
    }
}

impl<R: Runtime> Drop for Connection<R> {
    fn drop(&mut self) {
        self.task.abort();
        let has_unsolicited_input = self.progress().has_unsolicited_input();
        self.close_counts.record(if has_unsolicited_input {
            CloseReason::SurplusResponse
        } else {
            self.close_reason
        });
    }
}

/// Returns once the head of the response to the current request has exceeded its limits of size or time.
///
/// The caller has to drop the future when the head is complete, which the future does not detect itself.
pub(super) async fn response_head_overrun<R: Runtime>(runtime: R, monitor: TransferMonitor) {
    let bytes_read = || monitor.progress.borrow().response.bytes_read();
    while !monitor.progress.borrow().response.has_started() {
        if bytes_read() > INFORMATIONAL_RESPONSES_MAX_BYTES {
            return;
        }
        monitor.read_notify.notified().await;
    }
    let max_bytes = bytes_read() + RESPONSE_HEAD_MAX_BYTES;
    let size_overrun = async {
        while bytes_read() <= max_bytes {
            monitor.read_notify.notified().await;
        }
    };
    let _ = runtime.timeout(RESPONSE_HEAD_TIMEOUT, size_overrun).await;
}
