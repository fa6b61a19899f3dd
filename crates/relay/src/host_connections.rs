//! Calls to hosts, and the connections that are kept for them.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_LENGTH, HOST};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use membership::HostMembership;
use policy::types::{AttemptOutcome, HostId, MessageId, Micros};
use relay_events::{CompletedCall, RelayEvent, Route};
use runtime::{PendingInput, Runtime, Stream, Task};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::{mpsc, oneshot, Notify};

const REQUEST_LINE: &str = "POST /hook HTTP/1.1\r\n";
/// The rest of an answer is read for so long and up to so much; then its connection is closed.
const REST_OF_ANSWER: (Duration, usize) = (Duration::from_millis(300), 64 << 10);
/// An outcome waits so long for the rest of its answer.
const GRACE: Duration = Duration::from_millis(5);
/// Once an answer's first line has come, the rest of its head comes within this and in so much.
const HEAD: (Duration, usize) = (Duration::from_millis(500), 32 << 10);
/// So much may come before an answer's first line, as answers that only announce it.
const ANNOUNCED: usize = 64 << 10;

/// A call to be made.
pub struct Call {
    /// The message.
    pub id: MessageId,
    /// Which attempt, from 0.
    pub attempt: u8,
    /// The host.
    pub host: HostId,
    /// For which calls a wait that one of them is told holds.
    pub route: Route,
    /// Where it takes connections.
    pub address: SocketAddr,
    /// The message's name, unchanged.
    pub name: String,
    /// Its idempotency key, unchanged.
    pub key: Option<String>,
    /// Its body, unchanged.
    pub body: Bytes,
    /// Give up after this.
    pub timeout: Duration,
    /// It may not begin later, as its key is remembered no longer; at any time if none.
    pub begin_by: Option<Instant>,
}

/// What has passed on a connection, whatever the library makes of it.
#[derive(Default)]
struct Passed {
    /// Only a request whose last byte was not written is known never to have run.
    written: u64,
    /// Where the last request begins, and its size.
    start: u64,
    size: u64,
    answer: FirstLine,
}

impl Passed {
    fn begins(&self) -> bool {
        self.written == self.start
    }

    fn whole(&self) -> bool {
        self.written >= self.start + self.size
    }
}

/// Finds the status in an answer's first line, past answers that only announce it.
///
/// Guards what a spoilt answer still tells: with 200 on its first line, the message is delivered.
#[derive(Default)]
struct FirstLine {
    status: Option<u16>,
    read: usize,
    line: Vec<u8>,
    /// Within the lines of an answer that only announces.
    announced: bool,
}

impl FirstLine {
    /// A longer first line is none.
    const LONGEST: usize = 1024;

    fn begun(&self) -> bool {
        self.status.is_some() || !self.announced && !self.line.is_empty()
    }

    fn take(&mut self, text: &[u8]) {
        self.read += text.len();
        for byte in text {
            if self.status.is_some() {
                return;
            }
            if *byte != b'\n' {
                self.line.push(*byte);
                self.status = (self.line.len() > Self::LONGEST).then_some(0);
                continue;
            }
            let line = std::mem::take(&mut self.line);
            let line = line.strip_suffix(b"\r").unwrap_or(&line);
            if self.announced {
                self.announced = !line.is_empty();
                continue;
            }
            match status(line) {
                Some(100..=199) => self.announced = true,
                found => self.status = Some(found.unwrap_or(0)),
            }
        }
    }
}

fn status(line: &[u8]) -> Option<u16> {
    let rest = line
        .strip_prefix(b"HTTP/1.1 ")
        .or_else(|| line.strip_prefix(b"HTTP/1.0 "))?;
    let (code, rest) = rest.split_at_checked(3)?;
    let whole =
        code.iter().all(u8::is_ascii_digit) && rest.first().is_none_or(|byte| *byte == b' ');
    std::str::from_utf8(code)
        .ok()
        .filter(|_| whole)?
        .parse()
        .ok()
}

/// A stream that keeps book of what passes on it.
struct Watched<T> {
    stream: T,
    passed: Rc<RefCell<Passed>>,
    /// Told of each read.
    news: Rc<Notify>,
    /// Requests that were written whole.
    dispatches: Rc<Cell<u64>>,
}

impl<T: Stream> Watched<T> {
    fn count(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(n)) = result {
            let mut passed = self.passed.borrow_mut();
            let before = passed.whole();
            passed.written += n as u64;
            if passed.whole() && !before {
                self.dispatches.set(self.dispatches.get() + 1);
            }
        }
        result
    }

    /// Guards against bytes behind an answer being read as the next call's: what has come before the
    /// request's first byte goes out answers nothing, and the connection is of no further use.
    fn check(&self) -> io::Result<()> {
        let begins = self.passed.borrow().begins();
        if begins && self.stream.pending_input() != PendingInput::Empty {
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "bytes that answer nothing",
            ));
        }
        Ok(())
    }
}

impl<T: Stream> AsyncRead for Watched<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        b: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = b.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, b))?;
        self.passed.borrow_mut().answer.take(&b.filled()[before..]);
        self.news.notify_one();
        Poll::Ready(Ok(()))
    }
}

impl<T: Stream> AsyncWrite for Watched<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        b: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check()?;
        let result = Pin::new(&mut self.stream).poll_write(cx, b);
        self.count(result)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        b: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check()?;
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, b);
        self.count(result)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }
}

struct Connection<R: Runtime> {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    /// Moves the bytes; ending it closes the connection.
    task: R::Task,
    passed: Rc<RefCell<Passed>>,
    news: Rc<Notify>,
    idle_since: Instant,
}

impl<R: Runtime> Connection<R> {
    async fn open(runtime: &R, address: SocketAddr, dispatches: Rc<Cell<u64>>) -> io::Result<Self> {
        let stream = runtime.connect(address).await?;
        stream.set_nodelay()?;
        let (passed, news) = (Rc::default(), Rc::new(Notify::new()));
        let stream = Watched {
            stream,
            passed: Rc::clone(&passed),
            news: news.clone(),
            dispatches,
        };
        let mut library = http1::Builder::new();
        // Guards memory against heads without end.
        library.max_buf_size(HEAD.1);
        let (sender, connection) = library
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let task = runtime.spawn(async move { drop(connection.await) });
        let idle_since = runtime.now();
        Ok(Connection {
            address,
            sender,
            task,
            passed,
            news,
            idle_since,
        })
    }

    /// A request is about to be written.
    fn begin(&self, size: u64) {
        let mut passed = self.passed.borrow_mut();
        (passed.start, passed.size) = (passed.written, size);
        passed.answer = FirstLine::default();
    }

    /// Ready once an answer has begun whose head does not come to an end.
    async fn endless(runtime: R, passed: Rc<RefCell<Passed>>, news: Rc<Notify>) {
        while !passed.borrow().answer.begun() {
            if passed.borrow().answer.read > ANNOUNCED {
                return;
            }
            news.notified().await;
        }
        let most = passed.borrow().answer.read + HEAD.1;
        let too_much = async {
            while passed.borrow().answer.read <= most {
                news.notified().await;
            }
        };
        let _ = runtime.timeout(HEAD.0, too_much).await;
    }

    /// Closes the connection and returns once it is closed: a message must not go out again before.
    async fn close(mut self) {
        self.task.abort();
        self.task.join().await;
    }
}

impl<R: Runtime> Drop for Connection<R> {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The connections to all hosts.
pub struct HostConnections<R: Runtime> {
    runtime: R,
    idle: RefCell<BTreeMap<HostId, Vec<Connection<R>>>>,
    /// Which hosts may be called.
    members: Rc<RefCell<HostMembership>>,
    /// Nothing is kept any more.
    retired: Cell<bool>,
    /// Until when nothing may be sent, as told.
    waits: RefCell<BTreeMap<Route, Instant>>,
    dial_timeout: Duration,
    idle_close: Duration,
    most_idle: usize,
    dispatches: Rc<Cell<u64>>,
}

/// How an attempt ended, and what is still to be read of its answer.
struct Ended<R: Runtime> {
    outcome: AttemptOutcome,
    over: bool,
    report: Option<String>,
    rest: Option<(Connection<R>, Response<Incoming>)>,
}

enum Sent {
    Answer(Response<Incoming>),
    /// Not a byte of it was written.
    Unsent,
    /// It broke before the last byte was written.
    Partly,
    Broken,
}

impl<R: Runtime> HostConnections<R> {
    /// No connections yet; `most_idle` of them are kept at most. Requests that are written whole are counted.
    pub fn new(
        runtime: R,
        members: Rc<RefCell<HostMembership>>,
        dial_timeout: Duration,
        idle_close: Duration,
        most_idle: usize,
        dispatches: Rc<Cell<u64>>,
    ) -> Self {
        // Closed a tenth early, so that no request crosses the host's own closing.
        let idle_close = idle_close - idle_close / 10;
        HostConnections {
            runtime,
            idle: RefCell::default(),
            members,
            retired: Cell::new(false),
            waits: RefCell::default(),
            dial_timeout,
            idle_close,
            most_idle,
            dispatches,
        }
    }

    /// Idle connections that are kept.
    pub fn idle_connections(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    /// The most that are.
    pub fn max_idle_connections(&self) -> usize {
        self.most_idle
    }

    /// Closes what has stood idle too long.
    pub fn close_expired(&self) {
        let now = self.runtime.now();
        self.waits.borrow_mut().retain(|_, until| *until > now);
        let mut idle = self.idle.borrow_mut();
        idle.retain(|_, kept| {
            kept.retain(|c| !c.sender.is_closed() && now - c.idle_since < self.idle_close);
            !kept.is_empty()
        });
    }

    /// Closes the idle connections to a host; those of calls to one that drains or is gone are not kept at their end.
    pub fn close_idle(&self, host: HostId) {
        self.idle.borrow_mut().remove(&host);
    }

    /// Nothing new will be called: connections are closed as they fall idle.
    pub fn retire(&self) {
        self.retired.set(true);
        self.idle.borrow_mut().clear();
    }

    /// The newest idle connection that still stands.
    fn reuse(&self, host: HostId, address: SocketAddr) -> Option<Connection<R>> {
        let now = self.runtime.now();
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&host)?;
        while let Some(connection) = kept.pop() {
            let fresh =
                now - connection.idle_since < self.idle_close && connection.address == address;
            if fresh && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    fn keep(&self, host: HostId, mut connection: Connection<R>) {
        // Guards a host that drains or is gone, and our table, against connections that nobody will use.
        if self.retired.get() || !self.members.borrow().is_listed_up(host) {
            return;
        }
        connection.idle_since = self.runtime.now();
        let mut idle = self.idle.borrow_mut();
        idle.entry(host).or_default().push(connection);
        if idle.values().map(Vec::len).sum::<usize>() > self.most_idle {
            let oldest = idle
                .iter()
                .min_by_key(|(_, kept)| kept.first().map(|c| c.idle_since));
            if let Some(host) = oldest.map(|(host, _)| *host) {
                idle.get_mut(&host)
                    .into_iter()
                    .for_each(|kept| drop(kept.remove(0)));
                idle.retain(|_, kept| !kept.is_empty());
            }
        }
    }

    /// Makes a call and tells how it ended. `cancel` ends it early, also when its other side is dropped.
    pub async fn call(
        &self,
        call: Call,
        mut cancel: oneshot::Receiver<()>,
        inputs: mpsc::Sender<RelayEvent>,
    ) {
        let start = self.runtime.now();
        let mut fresh = false;
        let ended = self
            .attempt(&call, start + call.timeout, &mut cancel, &mut fresh)
            .await;
        let elapsed = (self.runtime.now() - start).as_micros() as Micros;
        let Ended {
            outcome,
            over,
            report,
            rest,
        } = ended;
        let (id, attempt, host) = (call.id, call.attempt, call.host);
        let end = RelayEvent::CallCompleted(CompletedCall {
            id,
            attempt,
            host,
            outcome,
            is_final: over,
            load_report: report,
            elapsed,
            opened_connection: fresh,
        });
        let Some((connection, answer)) = rest else {
            return drop(inputs.send(end).await);
        };
        // The outcome waits a moment for its connection, so that the next call finds that idle.
        let mut finish = std::pin::pin!(self.finish(call.host, connection, answer));
        let finished = self.runtime.timeout(GRACE, &mut finish).await.is_ok();
        drop(inputs.send(end).await);
        if !finished {
            finish.await;
        }
    }

    async fn attempt(
        &self,
        call: &Call,
        ends: Instant,
        cancel: &mut oneshot::Receiver<()>,
        fresh: &mut bool,
    ) -> Ended<R> {
        let plain = |outcome| Ended {
            outcome,
            over: false,
            report: None,
            rest: None,
        };
        loop {
            let kept = self.reuse(call.host, call.address);
            *fresh = kept.is_none();
            let mut connection = match kept {
                Some(connection) => connection,
                None => {
                    let bound = ends.min(self.runtime.now() + self.dial_timeout);
                    tokio::select! {
                        biased;
                        // A vanished host says nothing, so the connect is bounded.
                        opened = self.runtime.timeout_at(bound, Connection::open(&self.runtime, call.address, self.dispatches.clone())) => match opened {
                            Ok(Ok(connection)) => connection,
                            _ => return plain(AttemptOutcome::ConnectFailed),
                        },
                        _ = &mut *cancel => return plain(AttemptOutcome::Obsolete),
                    }
                }
            };
            // Guards a host that was announced as leaving while this call was still connecting: nothing of it has been
            // written, so it goes back to the module, which finds another host or waits for one.
            if !self
                .members
                .borrow()
                .may_start_call(call.host, self.runtime.now())
            {
                self.keep(call.host, connection);
                return plain(AttemptOutcome::NotStarted);
            }
            // Guards a wait that was told while this call was still connecting: it has not begun, so it
            // must not begin now. The module decides when it goes.
            if self
                .waits
                .borrow()
                .get(&call.route)
                .is_some_and(|until| *until > self.runtime.now())
            {
                self.keep(call.host, connection);
                return plain(AttemptOutcome::Obsolete);
            }
            // Guards a keyed message that may have run against a copy past the memory of its key: the connection may
            // have taken long to come up.
            if call.begin_by.is_some_and(|by| by < self.runtime.now()) {
                self.keep(call.host, connection);
                return plain(AttemptOutcome::Obsolete);
            }
            let left = ends.saturating_duration_since(self.runtime.now());
            let Some((request, size)) = request(call, left) else {
                return plain(AttemptOutcome::Obsolete);
            };
            connection.begin(size);
            let whole = |c: &Connection<R>| c.passed.borrow().whole();
            // With 200 on its first line an answer is true, whatever follows.
            let spoilt = |c: &Connection<R>, outcome| match c.passed.borrow().answer.status {
                Some(200) => Ended {
                    outcome: AttemptOutcome::Delivered,
                    over: true,
                    report: None,
                    rest: None,
                },
                _ => plain(outcome),
            };
            let endless = Connection::endless(
                self.runtime.clone(),
                connection.passed.clone(),
                connection.news.clone(),
            );
            let sent = tokio::select! {
                biased;
                answer = connection.sender.try_send_request(request) => match answer {
                    Ok(answer) => Sent::Answer(answer),
                    Err(_) if connection.passed.borrow().begins() => Sent::Unsent,
                    Err(_) if !whole(&connection) => Sent::Partly,
                    Err(_) => Sent::Broken,
                },
                // Guards slots and memory against heads without end.
                () = endless => Sent::Broken,
                () = self.runtime.sleep_until(ends) => {
                    let outcome = if whole(&connection) { AttemptOutcome::Timeout } else { AttemptOutcome::ConnectFailed };
                    let ended = spoilt(&connection, outcome);
                    connection.close().await;
                    return ended;
                }
                _ = &mut *cancel => {
                    let outcome = if whole(&connection) { AttemptOutcome::Cancelled } else { AttemptOutcome::Obsolete };
                    let ended = spoilt(&connection, outcome);
                    connection.close().await;
                    return ended;
                }
            };
            match sent {
                Sent::Answer(answer) => {
                    let (outcome, over, report) = read(&answer);
                    if let AttemptOutcome::Rejected {
                        retry_after: wait @ 1..,
                    } = outcome
                    {
                        let until = self.runtime.now() + Duration::from_micros(wait);
                        let mut waits = self.waits.borrow_mut();
                        waits
                            .entry(call.route)
                            .and_modify(|at| *at = until.max(*at))
                            .or_insert(until);
                    }
                    return Ended {
                        outcome,
                        over,
                        report,
                        rest: Some((connection, answer)),
                    };
                }
                // A kept connection was closed or spoilt while it was idle; the call never ran. Each turn uses
                // one up; a new one that does not take a call is a host that can't be reached.
                Sent::Unsent | Sent::Partly if !*fresh => connection.close().await,
                Sent::Unsent | Sent::Partly => {
                    connection.close().await;
                    return plain(AttemptOutcome::ConnectFailed);
                }
                Sent::Broken => {
                    let silent = connection.passed.borrow().answer.read == 0;
                    let outcome = if silent && !*fresh {
                        AttemptOutcome::ConnectionLost
                    } else {
                        AttemptOutcome::Reset
                    };
                    let ended = spoilt(&connection, outcome);
                    connection.close().await;
                    if outcome == AttemptOutcome::ConnectionLost {
                        // Those that stood as long may be no better, and the next call is to ask the host.
                        self.close_idle(call.host);
                    }
                    return ended;
                }
            }
        }
    }

    /// Reads the rest of the answer, so that its connection can serve again.
    async fn finish(
        &self,
        host: HostId,
        mut connection: Connection<R>,
        answer: Response<Incoming>,
    ) {
        let body = answer.into_body();
        let read = body.is_end_stream() || {
            let rest = Limited::new(body, REST_OF_ANSWER.1).collect();
            matches!(
                self.runtime.timeout(REST_OF_ANSWER.0, rest).await,
                Ok(Ok(_))
            )
        };
        if read
            && matches!(
                self.runtime
                    .timeout(REST_OF_ANSWER.0, connection.sender.ready())
                    .await,
                Ok(Ok(()))
            )
        {
            self.keep(host, connection);
        } else {
            connection.close().await;
        }
    }
}

/// The request of a call and its whole size in bytes, as hyper writes it.
fn request(call: &Call, left: Duration) -> Option<(Request<Full<Bytes>>, u64)> {
    let left = left.as_millis().max(1);
    let mut headers = HeaderMap::new();
    headers.insert(HOST, HeaderValue::from_str(&call.address.to_string()).ok()?);
    headers.insert(
        HeaderName::from_static("x-trace-id"),
        HeaderValue::from_str(&call.name).ok()?,
    );
    if let Some(key) = &call.key {
        headers.insert(
            HeaderName::from_static("idempotency-key"),
            HeaderValue::from_str(key).ok()?,
        );
    }
    headers.insert(
        HeaderName::from_static("x-expires-in-ms"),
        HeaderValue::from_str(&left.to_string()).ok()?,
    );
    headers.insert(CONTENT_LENGTH, HeaderValue::from(call.body.len()));
    let lines: usize = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + 4)
        .sum();
    let size = (REQUEST_LINE.len() + lines + 2 + call.body.len()) as u64;
    let mut request = Request::post("/hook")
        .body(Full::new(call.body.clone()))
        .ok()?;
    *request.headers_mut() = headers;
    Some((request, size))
}

/// What an answer says: PROTOCOL's table. Whatever it doesn't list may have run.
fn read(answer: &Response<Incoming>) -> (AttemptOutcome, bool, Option<String>) {
    let header = |name: &str| {
        answer
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok())
    };
    let report = header("endpoint-load-metrics").map(|text| text.chars().take(256).collect());
    let (outcome, over) = match answer.status().as_u16() {
        200 => (AttemptOutcome::Delivered, true),
        429 => match header("x-backoff-ms").and_then(|text| text.trim().parse::<u64>().ok()) {
            Some(wait) => (
                AttemptOutcome::Rejected {
                    retry_after: wait.min(86_400_000) * 1000,
                },
                false,
            ),
            None => (AttemptOutcome::Error, false),
        },
        503 if header("x-egress-full").map(str::trim) == Some("1") => {
            (AttemptOutcome::Obsolete, false)
        }
        503 => (AttemptOutcome::Rejected { retry_after: 0 }, false),
        504 => (AttemptOutcome::Obsolete, false),
        410 => (AttemptOutcome::Obsolete, true),
        _ => (AttemptOutcome::Error, false),
    };
    (outcome, over, report)
}

#[cfg(test)]
mod tests {
    use super::*;
    use membership::DiscoverySettings;
    use runtime::OsRuntime;
    use socket2::SockRef;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::TcpListener;
    use tokio::time::timeout;

    fn call(address: SocketAddr, key: Option<&str>, body: &[u8]) -> Call {
        let (name, key, body) = (
            "9b1f03aa5c7e2d41".into(),
            key.map(String::from),
            Bytes::copy_from_slice(body),
        );
        let (route, timeout) = ((1, None), Duration::from_secs(30));
        Call {
            id: 1,
            attempt: 0,
            host: 1,
            route,
            address,
            name,
            key,
            body,
            timeout,
            begin_by: None,
        }
    }

    /// The connections of a relay that may call host 1.
    fn hosts(most_idle: usize) -> HostConnections<OsRuntime> {
        let drain_grace = Duration::from_secs(2);
        let mut members = HostMembership::new(
            &DiscoverySettings {
                pushed: true,
                siblings: 1,
                drain_grace,
                seed: 1,
            },
            None,
        );
        members.set_listed(1, true);
        members.confirm();
        let (members, span) = (Rc::new(RefCell::new(members)), Duration::from_secs(5));
        HostConnections::new(OsRuntime, members, span, span, most_idle, Rc::default())
    }

    fn local(test: impl std::future::Future<Output = ()>) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime");
        tokio::task::LocalSet::new().block_on(&runtime, test);
    }

    /// Were the size that is reckoned with too large, calls that ran would be sent again.
    #[test]
    fn a_requests_size_is_what_is_written() {
        local(async {
            for (key, body) in [
                (None, &b""[..]),
                (Some("5c0f6e1a"), b"body"),
                (None, &[7; 65536]),
            ] {
                let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
                let address = listener.local_addr().expect("bound");
                let call = call(address, key, body);
                let (_, size) = request(&call, Duration::from_secs(30)).expect("a request");
                let hosts = hosts(1);
                let (inputs, mut ends) = mpsc::channel(1);
                let (_cancel, cancelled) = oneshot::channel();
                let peer = async {
                    let (mut stream, _) = listener.accept().await.expect("accepted");
                    let mut text = vec![0; size as usize];
                    stream.read_exact(&mut text).await.expect("all of it");
                    // Not a byte more is written before the answer.
                    stream
                        .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                        .await
                        .expect("written");
                    assert!(text.ends_with(body));
                    let mut more = [0];
                    let more = timeout(Duration::from_millis(100), stream.read(&mut more)).await;
                    assert!(more.is_err(), "{more:?}");
                };
                tokio::join!(hosts.call(call, cancelled, inputs), peer);
                let Some(RelayEvent::CallCompleted(end)) = ends.recv().await else {
                    panic!("no outcome")
                };
                assert_eq!(end.outcome, AttemptOutcome::Delivered);
            }
        });
    }

    /// A copy whose key may be forgotten by now is not written, however long its connection took.
    #[test]
    fn a_call_whose_key_may_be_forgotten_does_not_begin() {
        local(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
            let address = listener.local_addr().expect("bound");
            let hosts = hosts(1);
            let (inputs, mut ends) = mpsc::channel(1);
            let (_cancel, cancelled) = oneshot::channel();
            let late = Instant::now().checked_sub(Duration::from_millis(1));
            hosts
                .call(
                    Call {
                        begin_by: late,
                        ..call(address, Some("k"), b"x")
                    },
                    cancelled,
                    inputs,
                )
                .await;
            let Some(RelayEvent::CallCompleted(end)) = ends.recv().await else {
                panic!("no outcome")
            };
            assert_eq!(
                end.outcome,
                AttemptOutcome::Obsolete,
                "it is known not to have run"
            );
            let (mut stream, _) = listener.accept().await.expect("accepted");
            let read = timeout(Duration::from_millis(50), stream.read(&mut [0])).await;
            assert!(!matches!(read, Ok(Ok(1..))), "not a byte of it was written");
        });
    }

    /// A drain that is told while the connection comes up takes the call back, on a new connection and on a kept one.
    #[test]
    fn a_call_to_a_host_announced_as_leaving_meanwhile_does_not_begin() {
        for kept in [false, true] {
            local(async move {
                let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
                let address = listener.local_addr().expect("bound");
                let hosts = hosts(1);
                if kept {
                    let opened = Connection::open(&OsRuntime, address, Rc::default()).await;
                    let mut opened = opened.expect("opened");
                    opened.sender.ready().await.expect("ready");
                    hosts.keep(1, opened);
                }
                let (inputs, mut ends) = mpsc::channel(1);
                let (_cancel, cancelled) = oneshot::channel();
                // What `driver` does at a drain, but for the connections that it closes.
                hosts.members.borrow_mut().set_listed(1, false);
                hosts
                    .call(call(address, Some("k"), b"x"), cancelled, inputs)
                    .await;
                let Some(RelayEvent::CallCompleted(end)) = ends.recv().await else {
                    panic!("no outcome")
                };
                assert_eq!(
                    (end.outcome, end.opened_connection),
                    (AttemptOutcome::NotStarted, !kept)
                );
                let (mut stream, _) = listener.accept().await.expect("accepted");
                let read = timeout(Duration::from_millis(50), stream.read(&mut [0])).await;
                assert!(!matches!(read, Ok(Ok(1..))), "not a byte of it was written");
            });
        }
    }

    /// A break before the last byte is written proves that the call never ran.
    #[test]
    fn a_request_that_was_not_written_whole_never_ran() {
        local(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
            // More than the sockets' buffers take, so that the end cannot have been written.
            let call = call(
                listener.local_addr().expect("bound"),
                None,
                &vec![7; 32 << 20],
            );
            let hosts = hosts(1);
            let (inputs, mut ends) = mpsc::channel(1);
            let (_cancel, cancelled) = oneshot::channel();
            let peer = async {
                let (mut stream, _) = listener.accept().await.expect("accepted");
                stream.read_exact(&mut [0; 1000]).await.expect("some of it");
            };
            tokio::join!(hosts.call(call, cancelled, inputs), peer);
            let Some(RelayEvent::CallCompleted(end)) = ends.recv().await else {
                panic!("no outcome")
            };
            assert_eq!(end.outcome, AttemptOutcome::ConnectFailed);
        });
    }

    /// A second copy of an answer, however late, is not taken for the next call's.
    #[test]
    fn bytes_behind_an_answer_answer_nothing() {
        const GOOD: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        const BUSY: &[u8] = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
        // Together with the answer; while idle; and just before the next request, unseen by the library.
        for timing in 0..3 {
            local(async {
                let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
                let address = listener.local_addr().expect("bound");
                let hosts = hosts(4);
                let (inputs, mut ends) = mpsc::channel(4);
                let size = {
                    let call = call(address, None, b"x");
                    request(&call, Duration::from_secs(30))
                        .expect("a request")
                        .1 as usize
                };
                let (_cancel, cancelled) = oneshot::channel();
                let first = async {
                    let (mut stream, _) = listener.accept().await.expect("accepted");
                    stream.read_exact(&mut vec![0; size]).await.expect("a call");
                    let text = if timing == 0 {
                        [GOOD, GOOD].concat()
                    } else {
                        GOOD.to_vec()
                    };
                    stream.write_all(&text).await.expect("written");
                    stream
                };
                let one = hosts.call(call(address, None, b"x"), cancelled, inputs.clone());
                let ((), stream) = tokio::join!(one, first);
                let Some(RelayEvent::CallCompleted(end)) = ends.recv().await else {
                    panic!("no outcome")
                };
                assert_eq!(end.outcome, AttemptOutcome::Delivered);
                if timing > 0 {
                    SockRef::from(&stream).send(GOOD).expect("written");
                }
                if timing == 1 {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
                let (_cancel, cancelled) = oneshot::channel();
                let second = async {
                    let (mut stream, _) = listener.accept().await.expect("accepted");
                    stream.read_exact(&mut vec![0; size]).await.expect("a call");
                    stream.write_all(BUSY).await.expect("written");
                };
                let two = hosts.call(call(address, None, b"x"), cancelled, inputs);
                timeout(Duration::from_secs(60), async { tokio::join!(two, second) })
                    .await
                    .expect("a new one");
                let Some(RelayEvent::CallCompleted(end)) = ends.recv().await else {
                    panic!("no outcome")
                };
                assert_eq!(
                    end.outcome,
                    AttemptOutcome::Rejected { retry_after: 0 },
                    "{timing}"
                );
            });
        }
    }

    #[test]
    fn the_first_line_is_found_past_announcements_and_cuts() {
        let found = |text: &str, cut: usize| {
            let mut line = FirstLine::default();
            text.as_bytes().chunks(cut).for_each(|part| line.take(part));
            line.status
        };
        for cut in [1, 3, 1000] {
            assert_eq!(found("HTTP/1.1 200 OK\r\nX: \u{1}", cut), Some(200));
            assert_eq!(found("HTTP/1.1 200\r\n", cut), Some(200));
            assert_eq!(
                found(
                    "HTTP/1.1 103 Early\r\nA: b\r\n\r\nHTTP/1.1 500 Bad\r\n",
                    cut
                ),
                Some(500)
            );
            assert_eq!(found("HTTP/1.1 200 OK", cut), None);
            assert_eq!(found("HTTP/1.1 2000 OK\r\n", cut), Some(0));
            assert_eq!(found("noise 200\r\nHTTP/1.1 200 OK\r\n", cut), Some(0));
            assert_eq!(found(&"x".repeat(2000), cut), Some(0));
        }
    }
}
