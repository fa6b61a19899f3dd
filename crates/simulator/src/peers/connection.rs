//! A client connection to the relay, and waits for a relay to become ready.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use runtime::{Runtime, Stream};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::PeerContext;

/// Timeout of a client for connecting and for each reply.
pub(super) const RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);
/// Interval of readiness probes with `PING`.
const READY_PROBE_INTERVAL: Duration = Duration::from_millis(20);
/// Interval of probes whether a process accepts clients.
const ACCEPTING_PROBE_INTERVAL: Duration = Duration::from_millis(10);

/// Encodes a RESP2 array of bulk strings.
#[must_use]
pub fn frame(parts: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", parts.len()).into_bytes();
    for part in parts {
        out.extend(format!("${}\r\n", part.len()).bytes());
        out.extend(*part);
        out.extend(b"\r\n");
    }
    out
}

/// A connection to the relay from which lines of text are read.
pub(super) struct Connection<T> {
    pub stream: T,
    text: BytesMut,
    /// Whether a request has been sent on it.
    pub used: bool,
}

impl<T: Stream> Connection<T> {
    /// Opens a connection to an address.
    pub async fn open<R: Runtime<Stream = T>>(
        context: &PeerContext<R>,
        address: SocketAddr,
    ) -> io::Result<Self> {
        Ok(Connection::new(context.runtime.connect(address).await?))
    }

    /// Creates a connection over an open stream.
    pub fn new(stream: T) -> Self {
        Connection {
            stream,
            text: BytesMut::new(),
            used: false,
        }
    }

    /// Reads a line; none at the end of the connection.
    pub async fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.text.iter().position(|byte| *byte == b'\n') {
                let line = self.text.split_to(end + 1);
                return Ok(Some(
                    String::from_utf8_lossy(line.trim_ascii_end()).into_owned(),
                ));
            }
            if self.stream.read_buf(&mut self.text).await? == 0 {
                return Ok(None);
            }
        }
    }
}

/// Waits until the relay replies to `PING`.
pub async fn wait_until_ready<R: Runtime>(context: &PeerContext<R>, relay: SocketAddr) {
    loop {
        let probe = async {
            let mut open = Connection::open(context, relay).await?;
            open.stream.write_all(&frame(&[b"PING"])).await?;
            open.line().await
        };
        let reply = context.runtime.timeout(RESPONSE_TIMEOUT, probe).await;
        if matches!(reply, Ok(Ok(Some(line))) if line == "+PONG") {
            return;
        }
        context.runtime.sleep(READY_PROBE_INTERVAL).await;
    }
}

/// Waits until a process's control socket reports that the process accepts clients.
pub async fn wait_until_accepting_clients<R: Runtime>(
    context: &PeerContext<R>,
    control: SocketAddr,
) {
    loop {
        let probe = async {
            let mut open = Connection::open(context, control).await?;
            open.stream.write_all(b"ready\n").await?;
            let mut text = [0; 2];
            open.stream.read_exact(&mut text).await?;
            std::io::Result::Ok(&text == b"ok")
        };
        if matches!(
            context.runtime.timeout(RESPONSE_TIMEOUT, probe).await,
            Ok(Ok(true))
        ) {
            return;
        }
        context.runtime.sleep(ACCEPTING_PROBE_INTERVAL).await;
    }
}
