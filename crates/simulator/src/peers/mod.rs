//! The peers of a relay: clients, hosts, discovery, administrators, operators. The same code runs them on a virtual
//! machine and, for the demo, on loopback sockets; they report what passes to the checker.

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

/// A connection whose number no other has.
pub trait Numbered {
    /// The number.
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
            // The port of the side that made it; ports come again only much later.
            OsStream::Tcp(stream) => stream.peer_addr().map_or(0, |peer| u64::from(peer.port())),
            OsStream::Unix(_) => 0,
        }
    }
}

/// What all peers share.
#[derive(Clone)]
pub struct PeerContext<R> {
    /// The runtime that they run on.
    pub runtime: R,
    /// The moment from which all spans count.
    pub start: Instant,
    /// Number of the relay that the peer talks to, where it is only one.
    pub relay: usize,
    /// Where observations are reported.
    pub checker: Rc<RefCell<Checker>>,
    /// Whether the relay still holds a connection of a number, which it made.
    pub is_connection_open: Rc<dyn Fn(u64) -> bool>,
    /// Whether it does, and what is sent to the relay on it arrives.
    pub is_connection_readable: Rc<dyn Fn(u64) -> bool>,
    /// Called with what the trace of a run is to show.
    pub trace: Rc<dyn Fn(std::fmt::Arguments<'_>)>,
}

impl<R: Runtime> PeerContext<R> {
    /// Time since the start.
    pub fn at(&self) -> Duration {
        self.runtime.now() - self.start
    }

    /// Reports what passes to the checker.
    pub fn observe(&self, observation: &Observation<'_>) {
        self.checker
            .borrow_mut()
            .observe(self.at(), self.relay, observation);
    }

    /// The moment of a span since the start.
    pub fn instant(&self, at: Duration) -> Instant {
        self.start + at
    }
}

/// An HTTP request as it came.
pub(crate) struct Request {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// When its first byte came.
    pub begun: Duration,
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

/// Bytes of a request, head and body, that a peer reads at most.
const MAX_REQUEST_BYTES: usize = 1 << 20;

/// Reads one request; none at the connection's end.
pub(crate) async fn read_request<R: Runtime>(
    context: &PeerContext<R>,
    stream: &mut R::Stream,
    text: &mut BytesMut,
) -> io::Result<Option<Request>> {
    let mut begun = None;
    loop {
        if !text.is_empty() {
            let begun = *begun.get_or_insert_with(|| context.at());
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
                    begun,
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
                return Err(io::Error::other("a request is too long"));
            }
        }
        if stream.read_buf(text).await? == 0 {
            return Ok(None);
        }
    }
}

/// Reads and drops what comes until the connection ends.
pub(crate) async fn until_closed(stream: &mut impl Stream) {
    let mut waste = BytesMut::with_capacity(4096);
    while matches!(stream.read_buf(&mut waste).await, Ok(1..)) {
        waste.clear();
    }
}
