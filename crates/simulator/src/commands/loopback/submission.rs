//! Submission of messages to a relay.

use std::io;

use bytes::BytesMut;
use runtime::{OsRuntime, Runtime};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::MESSAGE_TTL_MS;
use crate::peers::connection::frame;

/// Bytes of a message's body.
const BODY_BYTES: usize = 200;

/// Result of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::commands) enum Submission {
    Accepted,
    /// The relay replied, but did not accept the message.
    Rejected,
    /// The relay closed the connection before it replied.
    Unanswered,
}

/// Encodes an `ENQUEUE` request.
pub(in crate::commands) fn enqueue_request(id: &str, tenant: &str, destination: u64) -> Vec<u8> {
    let attributes = format!("c=update,t={tenant},d={MESSAGE_TTL_MS},dest={destination}");
    frame(&[
        b"ENQUEUE",
        b"0",
        id.as_bytes(),
        attributes.as_bytes(),
        &[b'x'; BODY_BYTES],
    ])
}

/// Submits a message and waits for the reply.
///
/// # Errors
///
/// If the connection breaks.
pub(in crate::commands) async fn submit(
    stream: &mut <OsRuntime as Runtime>::Stream,
    request: &[u8],
) -> io::Result<Submission> {
    stream.write_all(request).await?;
    let mut reply = BytesMut::new();
    while !reply.ends_with(b"\r\n") {
        if stream.read_buf(&mut reply).await? == 0 {
            return Ok(Submission::Unanswered);
        }
    }
    Ok(if reply.starts_with(b"+") {
        Submission::Accepted
    } else {
        Submission::Rejected
    })
}
