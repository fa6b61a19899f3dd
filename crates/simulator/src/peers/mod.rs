//! The peers of a relay: clients, hosts, discovery, administrators, operators. The same code runs on the virtual machine
//! and, for the demo, on loopback sockets. The peers report their observations to the checker.

mod admin_api;
pub mod admins;
pub mod clients;
pub mod connection;
pub mod control_clients;
pub mod discovery;
pub mod effect_log;
pub mod host_behavior;
pub mod hosts;
pub mod operators;
mod repeating_stream;

use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Buf, BytesMut};
use runtime::{OsStream, Runtime, Stream};
use tokio::io::AsyncReadExt;

use crate::checker::Checker;
use crate::history::Observation;
use crate::machine::SimulatedStream;

/// A connection that has a unique number.
pub trait Numbered {
    /// Returns the connection's number.
    fn number(&self) -> u64;
}

impl Numbered for SimulatedStream {
    fn number(&self) -> u64 {
        SimulatedStream::number(self)
    }
}

impl Numbered for OsStream {
    fn number(&self) -> u64 {
        match self {
            // The port of the side that opened it; a port is reused only much later.
            OsStream::Tcp(stream) => stream.peer_addr().map_or(0, |peer| u64::from(peer.port())),
            OsStream::Unix(_) => 0,
        }
    }
}

/// The context that all peers share.
#[derive(Clone)]
pub struct PeerContext<R> {
    /// The runtime that they run on.
    pub runtime: R,
    /// The instant from which all reported times are measured.
    pub start: Instant,
    /// Number of the relay to which the peer is connected, for peers of a single relay.
    pub relay: usize,
    /// Receives the peers' observations.
    pub checker: Rc<RefCell<Checker>>,
    /// Returns whether the relay still holds a connection that it opened, by the connection's number.
    pub is_connection_open: Rc<dyn Fn(u64) -> bool>,
    /// Returns whether the relay still holds a connection that it opened and receives everything sent on it.
    pub is_connection_readable: Rc<dyn Fn(u64) -> bool>,
    /// Called with each line for the trace of the run.
    pub trace: Rc<dyn Fn(std::fmt::Arguments<'_>)>,
}

impl<R: Runtime> PeerContext<R> {
    /// Returns the time since the start.
    pub fn elapsed(&self) -> Duration {
        self.runtime.now() - self.start
    }

    /// Reports an observation to the checker.
    pub fn observe(&self, observation: &Observation<'_>) {
        self.checker
            .borrow_mut()
            .observe(self.elapsed(), self.relay, observation);
    }

    /// Converts a time since the start to an instant of the runtime's clock.
    pub fn instant(&self, at: Duration) -> Instant {
        self.start + at
    }
}

/// An HTTP request that a peer received.
pub(crate) struct Request {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// When its first byte was received.
    pub first_byte_at: Duration,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// Maximum size of a request, head and body, in bytes.
const MAX_REQUEST_BYTES: usize = 1 << 20;

/// Reads one request; none at the end of the connection.
pub(crate) async fn read_request<R: Runtime>(
    context: &PeerContext<R>,
    stream: &mut impl Stream,
    text: &mut BytesMut,
) -> io::Result<Option<Request>> {
    let mut first_byte_at = None;
    loop {
        if !text.is_empty() {
            let first_byte_at = *first_byte_at.get_or_insert_with(|| context.elapsed());
            let mut headers = [httparse::EMPTY_HEADER; 32];
            let mut parsed = httparse::Request::new(&mut headers);
            let status = parsed.parse(text).map_err(io::Error::other)?;
            if let httparse::Status::Complete(head) = status {
                let line = format!(
                    "{} {}",
                    parsed.method.unwrap_or(""),
                    parsed.path.unwrap_or("")
                );
                let pair = |header: &httparse::Header<'_>| {
                    (
                        header.name.to_string(),
                        String::from_utf8_lossy(header.value).into_owned(),
                    )
                };
                let headers = parsed.headers.iter().map(pair).collect();
                let mut request = Request {
                    line,
                    headers,
                    body: Vec::new(),
                    first_byte_at,
                };
                let length: usize = request
                    .header("content-length")
                    .and_then(|n| n.parse().ok())
                    .unwrap_or(0);
                if text.len() >= head + length {
                    text.advance(head);
                    request.body = text.split_to(length).to_vec();
                    return Ok(Some(request));
                }
            }
            if text.len() > MAX_REQUEST_BYTES {
                return Err(io::Error::other("request exceeds 1 MiB"));
            }
        }
        if stream.read_buf(text).await? == 0 {
            return Ok(None);
        }
    }
}

/// Reads and discards input until the connection ends.
pub(crate) async fn discard_until_closed(stream: &mut impl Stream) {
    let mut discarded = BytesMut::with_capacity(4096);
    while matches!(stream.read_buf(&mut discarded).await, Ok(1..)) {
        discarded.clear();
    }
}
