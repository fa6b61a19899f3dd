//! Clients: RESP2 requests in, one answer each, in order.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Buf, Bytes, BytesMut};
use control::ConnectionStage;
use policy::types::Micros;
use redis_protocol::resp2::decode::decode_bytes_mut;
use redis_protocol::resp2::types::BytesFrame;
use relay_events::tenants::LoginRequest;
use relay_events::{Clock, EnqueueRequest, RelayEvent, Reply};
use runtime::{log, Listener, PendingInput, Runtime, Stream};
use tenancy::registry::Login;
use tenancy::secret::LONGEST as LONGEST_SECRET;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::{mpsc, oneshot, Notify};

use crate::control_socket::Control;

/// The longest body.
const BODY: usize = 64 << 10;
/// The longest request but for its body.
const REST: usize = 4 << 10;
/// Parts of a request at most.
const PARTS: usize = 16;
/// The longest name on the wire.
const NAME: usize = 128;
/// Requests of one connection that may wait for their answers.
const PIPELINED: usize = 64;
/// A request that has begun is whole after this, or its client gets an error.
const REQUEST_TIME: Duration = Duration::from_secs(2);
/// The same for one of which most is not kept, as it is far too long.
const SKIP_TIME: Duration = Duration::from_secs(5);
/// A port that outlasts processes keeps connections while nobody accepts. Those accepted within the first span after a
/// process begins may have waited for up to the second, and what they ask counts from then: too little time left does
/// no harm, too much would tell hosts and clients what is not so. Who waits longer has long gone.
const QUEUED: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));
/// Once no more connections are taken, the port closes when none has come for the first span, and after the second.
const LAST_TAKEN: (Duration, Duration) = (Duration::from_millis(5), Duration::from_millis(50));
/// A connection that was just opened has its first request on the way: where all are closed, it has so long.
const FRESH: Duration = Duration::from_millis(100);
/// A connection that has asked nothing yet is closed after this, any quiet one where many are open ...
const SILENCE: Duration = Duration::from_millis(2100);
/// ... and where few are, after this.
const IDLE: Duration = Duration::from_secs(30);
/// To make room, no connection is closed that has been quiet for less: its request may be on the way. The
/// first holds from two thirds of the places on, the second where none is left.
const SETTLED: (Duration, Duration) = (Duration::from_millis(250), Duration::from_millis(20));
/// A connection that has named itself wrongly so often is closed.
const WRONG: u32 = 3;
/// What a client still sends after its error line is read for so long and up to so much.
const LINGER: (Duration, usize) = (Duration::from_millis(400), 4 << 20);
/// Room that is made for the next read.
const READ: usize = 4 << 10;

/// The connections that are open, and which of them may be closed to make room.
pub struct ClientConnections<R> {
    runtime: R,
    control: Rc<Control<R>>,
    most: usize,
    /// Clients have to name themselves.
    auth: bool,
    open: RefCell<BTreeMap<u64, Open>>,
    next: Cell<u64>,
    left: Notify,
    /// The port is open.
    listens: Cell<bool>,
}

struct Open {
    /// Since when no request has been open; none while one is.
    quiet: Option<Instant>,
    /// It is to close.
    told: bool,
    wake: Rc<Notify>,
}

/// A connection's place among those that are open; given back when this is dropped.
struct ConnectionSlot<R> {
    clients: Rc<ClientConnections<R>>,
    number: u64,
}

impl<R: Runtime> ConnectionSlot<R> {
    fn set(&self, quiet: bool) {
        if let Some(open) = self.clients.open.borrow_mut().get_mut(&self.number) {
            let since = open.quiet.unwrap_or_else(|| self.clients.runtime.now());
            open.quiet = quiet.then_some(since);
            open.told &= quiet;
        }
    }

    fn told(&self) -> bool {
        self.clients
            .open
            .borrow()
            .get(&self.number)
            .is_none_or(|open| open.told)
    }
}

impl<R> Drop for ConnectionSlot<R> {
    fn drop(&mut self) {
        self.clients.open.borrow_mut().remove(&self.number);
        self.clients.left.notify_one();
    }
}

impl<R: Runtime> ClientConnections<R> {
    /// No connections yet, and at most so many at once; `auth` tells whether clients have to name themselves.
    pub fn new(runtime: R, control: Rc<Control<R>>, most: usize, auth: bool) -> Rc<Self> {
        let (open, next, left, listens) = (
            RefCell::default(),
            Cell::default(),
            Notify::new(),
            Cell::default(),
        );
        Rc::new(ClientConnections {
            runtime,
            control,
            most,
            auth,
            open,
            next,
            left,
            listens,
        })
    }

    /// Whether the port is open, or connections that waited there are still being taken.
    pub fn is_accepting(&self) -> bool {
        self.listens.get()
    }

    /// Connections that are open.
    pub fn count(&self) -> usize {
        self.open.borrow().len()
    }

    /// Whether so many are open that quiet ones do harm: clients that hold only so many connections
    /// themselves have none left to ask on.
    fn crowded(&self) -> bool {
        self.count() >= self.most / 3
    }

    /// Waits until there is room for one more, which is made by closing quiet connections.
    async fn room(&self) {
        if self.count() >= self.most / 3 * 2 {
            self.close_one(SETTLED.0);
        }
        while self.count() >= self.most {
            self.close_one(SETTLED.1);
            // It may turn out to have an open request after all.
            let _ = self
                .runtime
                .timeout(SETTLED.1 / 4, self.left.notified())
                .await;
        }
    }

    /// Guards against clients that keep connections and do not use them: without it they keep all others
    /// out. The one that has been quiet for longest goes, whether or not it has asked; never one with an
    /// open request.
    fn close_one(&self, settled: Duration) {
        let now = self.runtime.now();
        let mut open = self.open.borrow_mut();
        if open.values().any(|other| other.told) {
            return;
        }
        let quiet = open
            .values_mut()
            .filter_map(|other| Some((other.quiet?, other)));
        let settled = quiet.filter(|(since, _)| now - *since >= settled);
        if let Some((_, victim)) = settled.min_by_key(|(since, _)| *since) {
            victim.told = true;
            victim.wake.notify_one();
        }
    }

    fn seat(self: &Rc<Self>) -> (ConnectionSlot<R>, Rc<Notify>) {
        let number = self.next.replace(self.next.get() + 1);
        let wake = Rc::new(Notify::new());
        let open = Open {
            quiet: Some(self.runtime.now()),
            told: false,
            wake: wake.clone(),
        };
        self.open.borrow_mut().insert(number, open);
        (
            ConnectionSlot {
                clients: self.clone(),
                number,
            },
            wake,
        )
    }
}

/// Takes connections until the process accepts no more, and those that wait then. `shared` tells that the port outlasts
/// processes, so that these are for the next one.
pub async fn accept_connections<R: Runtime>(
    listener: R::Listener,
    clients: Rc<ClientConnections<R>>,
    clock: Clock<R>,
    inputs: mpsc::Sender<RelayEvent>,
    shared: bool,
) {
    let runtime = clients.runtime.clone();
    let began = runtime.now();
    let mut doors = clients.control.connection_policy();
    let mut closing = doors.clone();
    clients.listens.set(true);
    let mut until = None;
    loop {
        // Guards connections that came before the port closes and were not taken yet: with it they would be reset, and
        // their requests with them.
        if !doors.borrow_and_update().accepts {
            let until = *until.get_or_insert_with(|| runtime.now() + LAST_TAKEN.1);
            if shared || runtime.now() >= until {
                break;
            }
        }
        let stream = tokio::select! {
            biased;
            _ = doors.wait_for(|doors| !doors.accepts), if shared => break,
            accepted = listener.accept() => match accepted {
                Ok(stream) => stream,
                Err(error) => {
                    log!(runtime, "clients: cannot accept: {error}");
                    runtime.sleep(Duration::from_millis(20)).await;
                    continue;
                }
            },
            () = async {
                drop(closing.wait_for(|doors| !doors.accepts).await);
                runtime.sleep(LAST_TAKEN.0).await;
            } => break,
        };
        // At the limit this one is taken and the next ones wait in the listener's queue. One that was taken is served,
        // whatever the process is told meanwhile.
        tokio::select! {
            biased;
            _ = doors.wait_for(|doors| !doors.accepts) => {}
            () = clients.room() => {}
        }
        let (clock, inputs) = (clock.clone(), inputs.clone());
        let (seat, wake) = clients.seat();
        let queued = shared && runtime.now() < began + QUEUED.0;
        let waited = if queued { QUEUED.1 } else { Duration::ZERO };
        runtime.spawn(async move {
            // A client that goes away is no fault of the relay's.
            drop(serve(stream, &seat, &wake, &clock, inputs, waited).await);
        });
    }
    clients.listens.set(false);
}

/// Whom a connection has named itself as.
struct AuthenticatedSession {
    /// Clients have to.
    wanted: bool,
    login: Option<Login>,
    /// How often it was wrong.
    wrong: u32,
}

enum Answer {
    Now(Reply),
    Later(oneshot::Receiver<Reply>),
}

async fn serve<R: Runtime>(
    mut stream: R::Stream,
    seat: &ConnectionSlot<R>,
    wake: &Notify,
    clock: &Clock<R>,
    inputs: mpsc::Sender<RelayEvent>,
    mut waited: Duration,
) -> std::io::Result<()> {
    let (runtime, control) = (&seat.clients.runtime, &seat.clients.control);
    let mut doors = control.connection_policy();
    stream.set_nodelay()?;
    let mut named = AuthenticatedSession {
        wanted: seat.clients.auth,
        login: None,
        wrong: 0,
    };
    let mut text = BytesMut::new();
    let mut skip = 0;
    let mut asked = false;
    let opened = runtime.now();
    // When the request that has not come whole yet began.
    let mut began: Option<Instant> = None;
    loop {
        let mut answers = Vec::new();
        let mut malformed = false;
        while answers.len() < PIPELINED && !malformed {
            let skipped = skip.min(text.len());
            text.advance(skipped);
            skip -= skipped;
            match shape(&text) {
                _ if skip > 0 => break,
                Shape::Partial => break,
                Shape::Malformed(why) => {
                    answers.push(Answer::Now(Reply::Error(format!("protocol error: {why}"))));
                    malformed = true;
                }
                Shape::TooLong(length) => {
                    answers.push(Answer::Now(Reply::Error("the body is too long".into())));
                    skip = length;
                }
                Shape::Whole(length) => {
                    let mut request = text.split_to(length);
                    match decode_bytes_mut(&mut request) {
                        Ok(Some((BytesFrame::Array(parts), _, _))) => {
                            answers.push(
                                request_answer(
                                    parts,
                                    clock.now().saturating_sub(waited.as_micros() as u64),
                                    &inputs,
                                    control.is_ready(),
                                    &mut named,
                                )
                                .await,
                            );
                            // Guards secrets against being guessed at full speed.
                            malformed = named.wrong >= WRONG;
                        }
                        _ => {
                            answers.push(Answer::Now(Reply::Error(
                                "protocol error: no request".into(),
                            )));
                            malformed = true;
                        }
                    }
                }
            }
        }
        if !answers.is_empty() {
            let mut out = Vec::new();
            for answer in answers {
                let reply = match answer {
                    Answer::Now(reply) => reply,
                    // The driver drops no request; if it is gone, the process ends and so does this.
                    Answer::Later(reply) => reply.await.map_err(std::io::Error::other)?,
                };
                reply.write(&mut out);
            }
            // Guards against a client that reads no answers.
            runtime
                .timeout(REQUEST_TIME, stream.write_all(&out))
                .await??;
            if malformed {
                return close_lingering(runtime, stream).await;
            }
            (began, asked, waited) = (None, true, Duration::ZERO);
            // Guards the others against a client at full speed: it has its turn, then they have theirs.
            tokio::task::yield_now().await;
            continue;
        }
        let fresh = !asked && runtime.now() < opened + FRESH;
        let quiet = text.is_empty() && skip == 0;
        if quiet {
            // An idle connection keeps no buffer.
            text = BytesMut::new();
        }
        seat.set(quiet);
        let since = *began.get_or_insert_with(|| runtime.now());
        let bound = match skip {
            // Looked at again after each such span.
            _ if quiet => SILENCE + (runtime.now() - since),
            0 => REQUEST_TIME,
            _ => SKIP_TIME,
        };
        tokio::select! {
            biased;
            ready = stream.readable() => {
                ready?;
                text.reserve(READ);
                match stream.try_read_buf(&mut text) {
                    Ok(0) => return Ok(()),
                    // Who asked while nobody accepted, and has gone since, is not to be answered for.
                    Ok(_) if !waited.is_zero() && stream.pending_input() == PendingInput::Closed => return Ok(()),
                    Ok(_) => {
                        seat.set(false);
                        began = began.filter(|_| !quiet);
                    }
                    Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                    Err(error) => return Err(error),
                }
            },
            // Between requests a connection may be closed, but what has come is not left unread.
            () = async {
                let _ = doors.wait_for(|doors| doors.stage > ConnectionStage::Open).await;
                if fresh {
                    runtime.sleep_until(opened + FRESH).await;
                }
            }, if quiet => {
                if fresh {
                    continue;
                }
                if stream.pending_input() != PendingInput::Bytes {
                    return Ok(());
                }
                // The runtime has yet to hear of those bytes.
                tokio::task::yield_now().await;
            },
            // Guards clients that have just asked: what has come is not left unread.
            () = wake.notified(), if quiet => if seat.told() && stream.pending_input() != PendingInput::Bytes {
                return Ok(());
            },
            () = runtime.sleep_until(since + bound) => {
                // Guards against clients that say nothing, or half a request, and hold a place for good.
                let stays = asked && !seat.clients.crowded() && runtime.now() - since < IDLE;
                if quiet && (stays || stream.pending_input() == PendingInput::Bytes) {
                    continue;
                }
                if !quiet {
                    let late = Reply::Error("protocol error: the request did not come whole".into());
                    let mut out = Vec::new();
                    late.write(&mut out);
                    runtime.timeout(REQUEST_TIME, stream.write_all(&out)).await??;
                }
                return close_lingering(runtime, stream).await;
            }
        }
    }
}

/// Ends sending and closes once the client has read: to close with input unread would reset the
/// connection, which can destroy the error line on its way.
pub async fn close_lingering<R: Runtime>(
    runtime: &R,
    mut stream: R::Stream,
) -> std::io::Result<()> {
    stream.shutdown().await?;
    let until = runtime.now() + LINGER.0;
    let (mut waste, mut read) = (BytesMut::with_capacity(READ), 0);
    while read < LINGER.1 {
        match runtime.timeout_at(until, stream.read_buf(&mut waste)).await {
            Ok(Ok(n @ 1..)) => read += n,
            _ => break,
        }
        waste.clear();
    }
    Ok(())
}

/// What stands at the start of a connection's text.
#[derive(Debug, PartialEq, Eq)]
enum Shape {
    Partial,
    Malformed(&'static str),
    /// A request of so many bytes.
    Whole(usize),
    /// A request of so many bytes, most of which need not be kept.
    TooLong(usize),
}

/// Finds a request's end before it is decoded.
///
/// Guards against what the decoder takes on trust: arrays nested without end, counts of millions, and
/// bodies that would have to be held whole before they could be turned down.
fn shape(text: &[u8]) -> Shape {
    let (mut at, parts) = match number(text, 0, b'*') {
        Ok((at, parts)) => (at, parts),
        Err(shape) => return shape,
    };
    if parts == 0 || parts > PARTS {
        return Shape::Malformed("wrong number of parts");
    }
    for part in 1..=parts {
        let (start, length) = match number(text, at, b'$') {
            Ok(found) => found,
            Err(shape) => return shape,
        };
        // The end of a part, its line break included.
        let end = start.saturating_add(length).saturating_add(2);
        if length > BODY && part == parts && start <= REST {
            return Shape::TooLong(end);
        }
        if length > BODY || (part < parts && end > REST) || start > REST {
            return Shape::Malformed("a part is too long");
        }
        if text.len() < end {
            return Shape::Partial;
        }
        if &text[end - 2..end] != b"\r\n" {
            return Shape::Malformed("a part is not as long as told");
        }
        at = end;
    }
    Shape::Whole(at)
}

/// A line of a type byte and a count: where the next begins, and the count.
fn number(text: &[u8], at: usize, kind: u8) -> Result<(usize, usize), Shape> {
    let rest = text.get(at..).unwrap_or_default();
    match rest.first() {
        None => return Err(Shape::Partial),
        Some(byte) if *byte != kind => return Err(Shape::Malformed("no array of bulk strings")),
        Some(_) => {}
    }
    let digits = rest[1..]
        .iter()
        .take_while(|byte| byte.is_ascii_digit())
        .count();
    if digits > 12 || (digits == 0 && rest.len() > 1) {
        return Err(Shape::Malformed("no count"));
    }
    match rest.get(1 + digits..3 + digits) {
        Some(b"\r\n") => {
            let text = std::str::from_utf8(&rest[1..=digits]).unwrap_or_default();
            text.parse()
                .map(|n| (at + digits + 3, n))
                .map_err(|_| Shape::Malformed("no count"))
        }
        Some(_) => Err(Shape::Malformed("no count")),
        None => match rest.get(1 + digits) {
            None | Some(b'\r') => Err(Shape::Partial),
            Some(_) => Err(Shape::Malformed("no count")),
        },
    }
}

/// `sent` is when the client sent it, as far as can be told.
async fn request_answer(
    parts: Vec<BytesFrame>,
    sent: Micros,
    inputs: &mpsc::Sender<RelayEvent>,
    ready: bool,
    login: &mut AuthenticatedSession,
) -> Answer {
    let parts: Vec<Bytes> = parts
        .into_iter()
        .filter_map(|part| match part {
            BytesFrame::BulkString(bytes) => Some(bytes),
            _ => None,
        })
        .collect();
    let command = parts
        .first()
        .map(|part| part.to_ascii_uppercase())
        .unwrap_or_default();
    match command.as_slice() {
        b"PING" if ready => Answer::Now(Reply::Pong),
        b"PING" => Answer::Now(Reply::Error("takes no clients now".into())),
        b"ENQUEUE" => match enqueue(&parts[1..], sent) {
            Ok(mut request) => {
                let (reply, answer) = oneshot::channel();
                request.reply = Some(reply);
                request.login = login.login.clone();
                match inputs.send(RelayEvent::EnqueueRequest(request)).await {
                    Ok(()) => Answer::Later(answer),
                    Err(_) => Answer::Now(Reply::Busy(0)),
                }
            }
            Err(why) => Answer::Now(Reply::Error(why)),
        },
        b"AUTH" if login.wanted => Answer::Now(auth(&parts[1..], inputs, login).await),
        _ => Answer::Now(Reply::Error("unknown command".into())),
    }
}

/// A client names itself; what it asks after that is asked by this name.
async fn auth(
    parts: &[Bytes],
    inputs: &mpsc::Sender<RelayEvent>,
    named: &mut AuthenticatedSession,
) -> Reply {
    let [name, secret] = parts else {
        return Reply::Error("AUTH takes a name and a secret".into());
    };
    let (reply, answer) = oneshot::channel();
    let name = text(name)
        .filter(|name| is_name(name))
        .filter(|_| secret.len() <= LONGEST_SECRET);
    let call = name.map(|name| LoginRequest {
        name: name.into(),
        secret: secret.to_vec(),
        reply,
    });
    // One that names itself wrongly is nobody, whoever it was before.
    named.login = None;
    if let Some(call) = call {
        if inputs.send(RelayEvent::Login(call)).await.is_err() {
            return Reply::Busy(0);
        }
        named.login = answer.await.unwrap_or_default();
    }
    match named.login {
        Some(_) => Reply::Ok,
        None => {
            named.wrong += 1;
            Reply::WrongPass
        }
    }
}

/// Reads a request's parts; whether its class, tenant and destination are known is the driver's to say.
fn enqueue(parts: &[Bytes], sent: Micros) -> Result<EnqueueRequest, String> {
    let [order, name, list, body] = parts else {
        return Err("ENQUEUE takes a key, an id, a list and a body".into());
    };
    let order = text(order)
        .and_then(|key| u64::from_str_radix(key, 16).ok())
        .ok_or("the key is not valid")?;
    let name = text(name)
        .filter(|name| is_name(name))
        .ok_or("the id is not valid")?;
    let list = text(list).ok_or("the list is not valid")?;
    let field = |wanted: &str| {
        let mut pairs = list.split(',').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(name, _)| *name == wanted)
            .map(|(_, value)| value)
    };
    let need = |wanted: &str| field(wanted).ok_or(format!("the list lacks {wanted}"));
    let left: u64 = need("d")?
        .parse()
        .map_err(|_| "d is no number of milliseconds")?;
    let key = field("k").map(String::from);
    if key.as_ref().is_some_and(|key| !is_name(key)) {
        return Err("k is not valid".into());
    }
    Ok(EnqueueRequest {
        name: name.into(),
        ordering_key: Some(order).filter(|key| *key != 0),
        class: need("c")?.into(),
        // Where the settings name no tenants, clients don't either.
        tenant: field("t").unwrap_or_default().into(),
        destination: need("dest")?
            .parse()
            .map_err(|_| "dest is no number of a destination")?,
        deadline: sent + left.min(86_400_000) * 1000,
        idempotency_key: key,
        is_resubmitted: field("r") == Some("1"),
        body: Bytes::copy_from_slice(body),
        login: None,
        reply: None,
    })
}

fn is_name(text: &str) -> bool {
    (1..=NAME).contains(&text.len()) && !text.contains(' ')
}

/// A part of printable ASCII, which may stand in a header.
fn text(part: &[u8]) -> Option<&str> {
    let printable = part.iter().all(|byte| (b' '..=b'~').contains(byte));
    std::str::from_utf8(part)
        .ok()
        .filter(|text| printable && text.len() <= 1024)
}
