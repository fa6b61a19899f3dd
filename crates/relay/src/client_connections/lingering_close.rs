//! Closing a connection so that its last reply arrives.

use std::io;
use std::time::Duration;

use bytes::BytesMut;
use runtime::Runtime;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::READ_BUFFER_BYTES;

/// How long input is read and discarded after the sending side was shut down.
const LINGER_TIMEOUT: Duration = Duration::from_millis(400);
/// How much input is read and discarded in that time before the connection is closed all the same.
const LINGER_MAX_BYTES: usize = 4 << 20;

/// Shuts the sending side down, then reads and discards input until the client closes or a limit is reached.
///
/// Closing with unread input would reset the connection, which can destroy an error reply on its way to the client.
///
/// # Errors
///
/// The I/O error of the shutdown. Errors of the reads end the connection and are not reported.
pub async fn close_lingering<R: Runtime>(runtime: &R, mut stream: R::Stream) -> io::Result<()> {
    stream.shutdown().await?;
    let deadline = runtime.now() + LINGER_TIMEOUT;
    let mut discarded = BytesMut::with_capacity(READ_BUFFER_BYTES);
    let mut discarded_bytes = 0;
    while discarded_bytes < LINGER_MAX_BYTES {
        let read = stream.read_buf(&mut discarded);
        match runtime.timeout_at(deadline, read).await {
            Ok(Ok(length @ 1..)) => discarded_bytes += length,
            _ => break,
        }
        discarded.clear();
    }
    Ok(())
}
