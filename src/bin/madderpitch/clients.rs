//! Clients: RESP2 requests in, one answer each, in order.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use redis_protocol::resp2::decode::decode_bytes_mut;
use redis_protocol::resp2::types::BytesFrame;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch, Semaphore};

use crate::driver::{Clock, Enqueue, Input};

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

/// The answer to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Taken on.
    Ok,
    /// Refused; the client may come again after so many milliseconds, if any are told.
    Busy(u64),
    /// Failed, and why.
    Error(String),
    /// The answer to `PING`.
    Pong,
}

impl Reply {
    fn write(&self, out: &mut Vec<u8>) {
        match self {
            Reply::Ok => out.extend(b"+OK\r\n"),
            Reply::Busy(0) => out.extend(b"-BUSY\r\n"),
            Reply::Busy(after) => out.extend(format!("-BUSY {after}\r\n").bytes()),
            Reply::Error(why) => out.extend(format!("-ERR {why}\r\n").bytes()),
            Reply::Pong => out.extend(b"+PONG\r\n"),
        }
    }
}

/// Takes connections until `closing` is set, as many at once as there is room for.
pub async fn listen(
    listener: TcpListener, room: Arc<Semaphore>, clock: Clock, inputs: mpsc::Sender<Input>,
    mut closing: watch::Receiver<bool>,
) {
    loop {
        // At the limit new connections wait in the listener's queue.
        let Ok(permit) = room.clone().acquire_owned().await else { return };
        let stream = tokio::select! {
            biased;
            _ = closing.wait_for(|closing| *closing) => return,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(error) => {
                    eprintln!("clients: cannot accept: {error}");
                    tokio::time::sleep(Duration::from_millis(20)).await;
                    continue;
                }
            },
        };
        let (inputs, closing) = (inputs.clone(), closing.clone());
        tokio::task::spawn_local(async move {
            // A client that goes away is no fault of the relay's.
            drop(serve(stream, clock, inputs, closing).await);
            drop(permit);
        });
    }
}

enum Answer {
    Now(Reply),
    Later(oneshot::Receiver<Reply>),
}

async fn serve(
    mut stream: TcpStream, clock: Clock, inputs: mpsc::Sender<Input>, mut closing: watch::Receiver<bool>,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut text = BytesMut::with_capacity(4 << 10);
    let mut skip = 0;
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
                            answers.push(request_answer(parts, clock, &inputs).await);
                        }
                        _ => {
                            answers.push(Answer::Now(Reply::Error("protocol error: no request".into())));
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
            stream.write_all(&out).await?;
            if malformed {
                return stream.shutdown().await;
            }
            continue;
        }
        tokio::select! {
            biased;
            read = stream.read_buf(&mut text) => if read? == 0 {
                return Ok(());
            },
            // Between requests a connection may be closed.
            _ = closing.wait_for(|closing| *closing), if text.is_empty() && skip == 0 => return Ok(()),
        }
    }
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
    let digits = rest[1..].iter().take_while(|byte| byte.is_ascii_digit()).count();
    if digits > 12 || (digits == 0 && rest.len() > 1) {
        return Err(Shape::Malformed("no count"));
    }
    match rest.get(1 + digits..3 + digits) {
        Some(b"\r\n") => {
            let text = std::str::from_utf8(&rest[1..=digits]).unwrap_or_default();
            text.parse().map(|n| (at + digits + 3, n)).map_err(|_| Shape::Malformed("no count"))
        }
        Some(_) => Err(Shape::Malformed("no count")),
        None => match rest.get(1 + digits) {
            None | Some(b'\r') => Err(Shape::Partial),
            Some(_) => Err(Shape::Malformed("no count")),
        },
    }
}

async fn request_answer(parts: Vec<BytesFrame>, clock: Clock, inputs: &mpsc::Sender<Input>) -> Answer {
    let parts: Vec<Bytes> = parts
        .into_iter()
        .filter_map(|part| match part {
            BytesFrame::BulkString(bytes) => Some(bytes),
            _ => None,
        })
        .collect();
    let command = parts.first().map(|part| part.to_ascii_uppercase()).unwrap_or_default();
    match command.as_slice() {
        b"PING" => Answer::Now(Reply::Pong),
        b"ENQUEUE" => match enqueue(&parts[1..], clock) {
            Ok(mut request) => {
                let (reply, answer) = oneshot::channel();
                request.reply = Some(reply);
                match inputs.send(Input::Enqueue(request)).await {
                    Ok(()) => Answer::Later(answer),
                    Err(_) => Answer::Now(Reply::Busy(0)),
                }
            }
            Err(why) => Answer::Now(Reply::Error(why)),
        },
        _ => Answer::Now(Reply::Error("unknown command".into())),
    }
}

/// Reads a request's parts; whether its class, tenant and destination are known is the driver's to say.
fn enqueue(parts: &[Bytes], clock: Clock) -> Result<Enqueue, String> {
    let [order, name, list, body] = parts else {
        return Err("ENQUEUE takes a key, an id, a list and a body".into());
    };
    let order =
        text(order).and_then(|key| u64::from_str_radix(key, 16).ok()).ok_or("the key is not valid")?;
    let name = text(name).filter(|name| is_name(name)).ok_or("the id is not valid")?;
    let list = text(list).ok_or("the list is not valid")?;
    let field = |wanted: &str| {
        let mut pairs = list.split(',').filter_map(|pair| pair.split_once('='));
        pairs.find(|(name, _)| *name == wanted).map(|(_, value)| value)
    };
    let need = |wanted: &str| field(wanted).ok_or(format!("the list lacks {wanted}"));
    let left: u64 = need("d")?.parse().map_err(|_| "d is no number of milliseconds")?;
    let key = field("k").map(String::from);
    if key.as_ref().is_some_and(|key| !is_name(key)) {
        return Err("k is not valid".into());
    }
    Ok(Enqueue {
        name: name.into(),
        order: Some(order).filter(|key| *key != 0),
        class: need("c")?.into(),
        tenant: need("t")?.into(),
        destination: need("dest")?.parse().map_err(|_| "dest is no number of a destination")?,
        // Counted from here, which a quick reader keeps close to the client's sending.
        due: clock.now() + left.min(86_400_000) * 1000,
        key,
        again: field("r") == Some("1"),
        body: Bytes::copy_from_slice(body),
        reply: None,
    })
}

fn is_name(text: &str) -> bool {
    (1..=NAME).contains(&text.len()) && !text.contains(' ')
}

/// A part of printable ASCII, which may stand in a header.
fn text(part: &[u8]) -> Option<&str> {
    let printable = part.iter().all(|byte| (b' '..=b'~').contains(byte));
    std::str::from_utf8(part).ok().filter(|text| printable && text.len() <= 1024)
}
