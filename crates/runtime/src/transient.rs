//! Transient errors, which may not recur at the next attempt.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use nix::errno::Errno;

use crate::Runtime;

/// Delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time for which an operation is retried. The platform waits 30 s for a relay to be ready.
const RETRY_TIMEOUT: Duration = Duration::from_secs(20);

/// Repeats an operation that the relay needs in order to start, as long as it fails with a transient error.
///
/// # Errors
/// The first error that is not transient, or the last one after 20 s.
pub async fn retry_transient<R: Runtime, T>(
    runtime: &R,
    operation: impl AsyncFnMut() -> io::Result<T>,
) -> io::Result<T> {
    let deadline = runtime.now() + RETRY_TIMEOUT;
    let is_retried = |error: &io::Error| is_transient(error) && runtime.now() < deadline;
    retry_while(runtime, is_retried, operation).await
}

/// Opens a connection, and tries again as long as this machine lacks a resource for it, which tells nothing about the
/// peer. There is no timeout: the caller has to apply one.
///
/// # Errors
/// The first error that is not a shortage of this machine.
pub async fn connect_despite_shortage<R: Runtime>(
    runtime: &R,
    to: SocketAddr,
) -> io::Result<R::Stream> {
    let connect = async || runtime.connect(to).await;
    retry_while(runtime, is_socket_shortage, connect).await
}

/// Repeats an operation after each error that `is_retried` accepts.
async fn retry_while<R: Runtime, T>(
    runtime: &R,
    is_retried: impl Fn(&io::Error) -> bool,
    mut operation: impl AsyncFnMut() -> io::Result<T>,
) -> io::Result<T> {
    loop {
        match operation().await {
            Err(error) if is_retried(&error) => runtime.sleep(RETRY_DELAY).await,
            result => return result,
        }
    }
}

/// Whether an error of `socket` or `connect` indicates that this machine lacks descriptors, memory or ports, or that
/// the call was interrupted (Linux manual pages socket(2), connect(2)).
fn is_socket_shortage(error: &io::Error) -> bool {
    let Some(number) = error.raw_os_error() else {
        return false;
    };
    matches!(
        Errno::from_raw(number),
        Errno::EINTR
            | Errno::EAGAIN
            | Errno::ENFILE
            | Errno::EMFILE
            | Errno::ENOMEM
            | Errno::ENOBUFS
            | Errno::EADDRNOTAVAIL
    )
}

/// Whether an error of a system call indicates a lack of resources or a temporary failure of the system, rather than an
/// invalid call.
#[must_use]
pub fn is_transient(error: &io::Error) -> bool {
    let Some(number) = error.raw_os_error() else {
        return matches!(
            error.kind(),
            io::ErrorKind::Interrupted | io::ErrorKind::StorageFull
        );
    };
    matches!(
        Errno::from_raw(number),
        Errno::EINTR
            | Errno::EAGAIN
            | Errno::EIO
            | Errno::ENOSPC
            | Errno::EDQUOT
            | Errno::ENFILE
            | Errno::EMFILE
            | Errno::ENOMEM
            | Errno::ENOBUFS
            | Errno::ECONNABORTED
    )
}
