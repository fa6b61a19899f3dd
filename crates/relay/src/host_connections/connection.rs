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
use runtime::{Runtime, Stream, Task};

use super::attempt_start::AttemptStart;
use super::watched_stream::{TransferMonitor, TransferProgress, WatchedStream};

/// Upper bound of a response's head in bytes, from its first line on.
const RESPONSE_HEAD_MAX_BYTES: usize = 32 << 10;

/// Upper bound of the time between the first byte of a response and the end of its head.
const RESPONSE_HEAD_TIMEOUT: Duration = Duration::from_millis(500);

/// Upper bound of the informational (1xx) responses before a response, in bytes.
const INFORMATIONAL_RESPONSES_MAX_BYTES: usize = 64 << 10;

/// A connection to a host. It is closed when this is dropped.
pub(super) struct Connection<R: Runtime> {
    pub(super) address: SocketAddr,
    pub(super) sender: SendRequest<Full<Bytes>>,
    /// Moves the bytes. Aborting it closes the connection.
    task: R::Task,
    monitor: TransferMonitor,
    /// When the last call on the connection ended, or else when it was opened.
    pub(super) idle_since: Instant,
}

impl<R: Runtime> Connection<R> {
    /// Opens a connection whose complete requests are counted in `dispatches`.
    ///
    /// The time this takes is not bounded here: a host that has disappeared does not answer.
    pub(super) async fn open(
        runtime: &R,
        address: SocketAddr,
        dispatches: Rc<Cell<u64>>,
    ) -> io::Result<Self> {
        let stream = runtime.connect(address).await?;
        // Without it small writes may come late, which is no reason to give the connection up.
        drop(stream.set_nodelay());
        let monitor = TransferMonitor::default();
        let stream = WatchedStream::new(stream, monitor.clone(), dispatches);
        let mut builder = http1::Builder::new();
        // Bounds the memory that a response's head may take.
        builder.max_buf_size(RESPONSE_HEAD_MAX_BYTES);
        let (sender, connection) = builder
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let task = runtime.spawn(async move { drop(connection.await) });
        let idle_since = runtime.now();
        Ok(Connection {
            address,
            sender,
            task,
            monitor,
            idle_since,
        })
    }

    /// Prepares for a request of `size` bytes that is about to be written, and whose start is recorded before its first
    /// byte.
    pub(super) fn begin_request(&self, size: u64, start: AttemptStart) {
        self.monitor
            .progress
            .borrow_mut()
            .begin_request(size, start);
    }

    /// What has passed on the connection.
    pub(super) fn progress(&self) -> Ref<'_, TransferProgress> {
        self.monitor.progress.borrow()
    }

    /// The progress as a handle of its own, for use while the connection is borrowed.
    pub(super) fn monitor(&self) -> TransferMonitor {
        self.monitor.clone()
    }

    /// Closes the connection and returns once it is closed. Until then, the message must not be sent again.
    pub(super) async fn close(mut self) {
        self.task.abort();
        self.task.join().await;
    }
}

impl<R: Runtime> Drop for Connection<R> {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Returns once the head of the response to the current request has exceeded its limits of size or time.
///
/// The caller drops the future when the head is complete, as it does not notice that itself.
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
