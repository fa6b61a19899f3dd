//! Errors that may not occur at the next attempt.

use std::io;
use std::time::Duration;

use nix::errno::Errno;

use crate::Runtime;

/// The pause between two tries.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// For how long an operation is tried again. The platform waits 30 s for a relay to be ready.
const RETRY_TIMEOUT: Duration = Duration::from_secs(20);

/// Repeats an operation that a start cannot do without, while it fails with a transient error.
///
/// # Errors
/// The first error that is not transient, or the last one after 20 s.
pub async fn retry_transient<R: Runtime, T>(
    runtime: &R,
    mut operation: impl AsyncFnMut() -> io::Result<T>,
) -> io::Result<T> {
    let deadline = runtime.now() + RETRY_TIMEOUT;
    loop {
        match operation().await {
            Err(error) if is_transient(&error) && runtime.now() < deadline => {
                runtime.sleep(RETRY_DELAY).await;
            }
            result => return result,
        }
    }
}

/// Whether an error of a system call says that the system is short of something, or failed for the moment, rather than
/// that the call is wrong.
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
