//! Closes a connection in such a way that its last reply reaches the client.

use std::io;
use std::time::Duration;

use runtime::{PeerState, PendingInput, Runtime, Stream};
use tokio::io::AsyncWriteExt;

/// Time that the client has to read its last reply and close, after the sending side was shut down.
const LINGER_TIMEOUT: Duration = Duration::from_millis(400);

/// How often a connection with unread input is checked for a close by the client.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Shuts the sending side down, and closes the connection once the client has done so or a limit is reached.
///
/// Closing at once with unread input would reset the connection, and the reset can discard an error reply on its way to
/// the client. The input is left unread: a request in it was not accepted, and the reset that follows at the end reports
/// this to the client.
///
/// # Errors
///
/// The I/O error of the shutdown. Later errors end the connection and are not reported.
pub async fn close_lingering<R: Runtime>(runtime: &R, mut stream: R::Stream) -> io::Result<()> {
    stream.shutdown().await?;
    let deadline = runtime.now() + LINGER_TIMEOUT;
    let readable = runtime.timeout_at(deadline, stream.readable()).await;
    if !matches!(readable, Ok(Ok(()))) || stream.pending_input() != PendingInput::Bytes {
        return Ok(());
    }
    while stream.peer_state() == PeerState::Open && runtime.now() < deadline {
        runtime.sleep(CLOSE_CHECK_INTERVAL).await;
    }
    Ok(())
}
