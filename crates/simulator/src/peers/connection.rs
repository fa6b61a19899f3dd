//! A client's side of a connection to the relay, and probes of whether a relay is ready.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use runtime::{Runtime, Stream};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::PeerContext;

/// A client waits for a response within this.
pub(super) const RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);
/// Readiness is probed at this interval.
const READY_PROBE_INTERVAL: Duration = Duration::from_millis(20);
/// Whether a process takes clients is probed at this interval.
const TAKES_CLIENTS_PROBE_INTERVAL: Duration = Duration::from_millis(10);

/// A RESP2 array of bulk strings.
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

/// A connection to the relay, of whose text lines are read.
pub(super) struct Connection<T> {
    pub stream: T,
    text: BytesMut,
    /// Whether a request was sent on it before.
    pub used: bool,
}

impl<T: Stream> Connection<T> {
    /// A new connection.
    pub async fn open<R: Runtime<Stream = T>>(
        context: &PeerContext<R>,
        address: SocketAddr,
    ) -> io::Result<Self> {
        Ok(Connection::new(context.runtime.connect(address).await?))
    }

    /// A connection over a stream that is open.
    pub fn new(stream: T) -> Self {
        Connection {
            stream,
            text: BytesMut::new(),
            used: false,
        }
    }

    /// Reads a line; none at the connection's end.
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

/// Returns once the relay replies to `PING`.
pub async fn until_ready<R: Runtime>(context: &PeerContext<R>, relay: SocketAddr) {
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

/// Returns once a process' control socket says that it takes clients.
pub async fn until_takes_clients<R: Runtime>(context: &PeerContext<R>, control: SocketAddr) {
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
        context.runtime.sleep(TAKES_CLIENTS_PROBE_INTERVAL).await;
    }
}
