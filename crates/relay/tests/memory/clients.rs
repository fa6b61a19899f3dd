//! Clients that send much, slowly or without reading, and usual clients whose answers are timed beside them.

#![allow(dead_code)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use socket2::SockRef;

use crate::support::{frame, request};

/// Time that a client waits for its reply (PROTOCOL, Clients to relays).
pub const REPLY_TIMEOUT: Duration = Duration::from_millis(400);
/// Time within which a bad client gets an error or a close (LATER, Bad clients).
pub const ERROR_TIMEOUT: Duration = Duration::from_secs(3);
/// Size of the send buffer of a client that never reads.
const SEND_BUFFER_BYTES: usize = 64 << 10;
/// Pause before a client connects again.
const RECONNECT_DELAY: Duration = Duration::from_millis(2);
/// Body of a request of the largest size.
const LARGE_BODY_BYTES: usize = 64 << 10;

/// What each of the bad clients does on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Misbehavior {
    /// Sends most of a large request, and stops.
    StopsInLargeRequest,
    /// Sends a large request in small pieces.
    WritesSlowly,
    /// Sends a large request a byte at a time.
    WritesSingleBytes,
    /// Sends many large valid requests at once.
    PipelinesLargeRequests,
    /// Sends many large requests with many parts and fields at once.
    SendsManyFields,
    /// Sends a large request that is refused and a short valid one behind it.
    SendsRefusedThenValid,
    /// Sends `PING` without end and reads nothing.
    NeverReadsPongs,
    /// Sends short valid requests without end and reads nothing.
    NeverReadsReplies,
    /// Sends many payouts at once and resets the connection.
    AbortsPayouts,
    /// Sends unsound requests under ever new names and reads the replies.
    SendsUnsoundNames,
}

impl Misbehavior {
    pub const ALL: [Misbehavior; 10] = [
        Misbehavior::StopsInLargeRequest,
        Misbehavior::WritesSlowly,
        Misbehavior::WritesSingleBytes,
        Misbehavior::PipelinesLargeRequests,
        Misbehavior::SendsManyFields,
        Misbehavior::SendsRefusedThenValid,
        Misbehavior::NeverReadsPongs,
        Misbehavior::NeverReadsReplies,
        Misbehavior::AbortsPayouts,
        Misbehavior::SendsUnsoundNames,
    ];
}

/// Results of the bad clients.
#[derive(Default)]
pub struct PressureLog {
    /// Connections that were open for [`ERROR_TIMEOUT`] with neither an error nor a close.
    pub unanswered: AtomicUsize,
    /// Connections opened.
    pub connections: AtomicUsize,
}

/// Bad clients that connect again and again until they are stopped.
pub struct Pressure {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    pub log: Arc<PressureLog>,
}

impl Pressure {
    pub fn start(listen: SocketAddr, misbehaviors: &[Misbehavior], clients: usize) -> Pressure {
        let stop = Arc::new(AtomicBool::new(false));
        let log = Arc::new(PressureLog::default());
        let threads = (0..clients).map(|client| {
            let misbehavior = misbehaviors[client % misbehaviors.len()];
            let (stop, log) = (stop.clone(), log.clone());
            thread::spawn(move || {
                for round in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let name = format!("bad-{client}-{round}");
                    if let Ok(stream) = TcpStream::connect(listen) {
                        log.connections.fetch_add(1, Ordering::Relaxed);
                        misbehavior.run(stream, &name, &stop, &log);
                    }
                    thread::sleep(RECONNECT_DELAY);
                }
            })
        });
        Pressure {
            threads: threads.collect(),
            stop,
            log,
        }
    }

    /// Stops the clients and waits for their ends.
    pub fn stop(self) -> Arc<PressureLog> {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().expect("no panic");
        }
        self.log
    }
}

impl Misbehavior {
    fn run(self, mut stream: TcpStream, name: &str, stop: &AtomicBool, log: &PressureLog) {
        let started = Instant::now();
        drop(stream.set_read_timeout(Some(ERROR_TIMEOUT)));
        drop(stream.set_write_timeout(Some(ERROR_TIMEOUT)));
        // An error means that the relay has closed the connection, which is what a bad client is owed.
        let result = match self {
            Misbehavior::StopsInLargeRequest => stream.write_all(&large_request(name)[..62_000]),
            Misbehavior::WritesSlowly => {
                write_pieces(&mut stream, &large_request(name), 3_000, 80, stop)
            }
            Misbehavior::WritesSingleBytes => {
                write_pieces(&mut stream, &large_request(name), 1, 1, stop)
            }
            Misbehavior::PipelinesLargeRequests => {
                let requests = (0..16).map(|n| large_request(&format!("{name}-{n}")));
                stream.write_all(&requests.collect::<Vec<_>>().concat())
            }
            Misbehavior::SendsManyFields => {
                stream.write_all(&request_with_many_fields().repeat(20))
            }
            Misbehavior::SendsRefusedThenValid => {
                let refused = request(name, "no-such-class", 1, 20_000, &[b'x'; 60_000]);
                let valid = request(&format!("{name}-valid"), "update", 1, 20_000, b"body");
                stream.write_all(&[refused, valid].concat())
            }
            Misbehavior::NeverReadsPongs => {
                return write_without_reading(
                    &mut stream,
                    |_| b"*1\r\n$4\r\nPING\r\n".to_vec(),
                    stop,
                );
            }
            Misbehavior::NeverReadsReplies => {
                let short = |n| request(&format!("{name}-{n}"), "update", 1, 20_000, b"x");
                return write_without_reading(&mut stream, short, stop);
            }
            Misbehavior::AbortsPayouts => {
                let payouts = (0..400)
                    .map(|n| request(&format!("{name}-{n}"), "payout", 1, 20_000, &[b'x'; 500]));
                drop(stream.write_all(&payouts.collect::<Vec<_>>().concat()));
                drop(SockRef::from(&stream).set_linger(Some(Duration::ZERO)));
                return;
            }
            Misbehavior::SendsUnsoundNames => {
                let unsound = (0..64).map(|n| {
                    let name = format!("{name}-{n}");
                    frame(&[b"ENQUEUE", b"0", name.as_bytes(), b"c=payout,d=x", b"body"])
                });
                stream.write_all(&unsound.collect::<Vec<_>>().concat())
            }
        };
        let is_answered = result.is_err() || reads_reply_or_end(&mut stream);
        if !is_answered && started.elapsed() >= ERROR_TIMEOUT && !stop.load(Ordering::Relaxed) {
            log.unanswered.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn large_request(name: &str) -> Vec<u8> {
    request(name, "update", 1, 20_000, &[b'x'; LARGE_BODY_BYTES])
}

/// A request of the most parts, with short fields of 1,000 characters in total.
fn request_with_many_fields() -> Vec<u8> {
    let fields = "a=b,".repeat(250);
    let body = [b'x'; 60_000];
    let mut parts: Vec<&[u8]> = vec![b"ENQUEUE", b"0", b"id", fields.as_bytes()];
    parts.resize(15, b"a=b");
    parts.push(&body);
    frame(&parts)
}

fn write_pieces(
    stream: &mut TcpStream,
    bytes: &[u8],
    size: usize,
    pause_ms: u64,
    stop: &AtomicBool,
) -> std::io::Result<()> {
    for piece in bytes.chunks(size) {
        if stop.load(Ordering::Relaxed) {
            return Ok(());
        }
        stream.write_all(piece)?;
        thread::sleep(Duration::from_millis(pause_ms));
    }
    Ok(())
}

fn write_without_reading(
    stream: &mut TcpStream,
    request: impl Fn(usize) -> Vec<u8>,
    stop: &AtomicBool,
) {
    // Otherwise the copies into gigabytes of send buffers would take the processors' time.
    drop(SockRef::from(&*stream).set_send_buffer_size(SEND_BUFFER_BYTES));
    for first in (0..).step_by(100) {
        let requests: Vec<Vec<u8>> = (first..first + 100).map(&request).collect();
        if stop.load(Ordering::Relaxed) || stream.write_all(&requests.concat()).is_err() {
            return;
        }
    }
}

/// Reads until the connection ends or the relay answers something.
fn reads_reply_or_end(stream: &mut TcpStream) -> bool {
    let mut reply = [0; 4096];
    stream.read(&mut reply).is_ok()
        || stream.take_error().ok().flatten().is_some()
        || stream.peer_addr().is_err()
}

/// The answers to the usual clients' requests: the reply and its time, or `None` where none came in time.
pub type Answers = Vec<Option<(String, Duration)>>;

/// Usual clients, each of which opens a connection for each request.
pub struct UsualClients {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    answers: Arc<Mutex<Answers>>,
}

impl UsualClients {
    /// Starts clients that send a payout each `pause`. `name` begins the ids of their messages.
    pub fn start(
        listen: SocketAddr,
        name: &'static str,
        clients: usize,
        destinations: u16,
        pause: Duration,
        body_bytes: usize,
    ) -> UsualClients {
        let stop = Arc::new(AtomicBool::new(false));
        let answers = Arc::new(Mutex::new(Answers::new()));
        let threads = (0..clients).map(|client| {
            let (stop, answers) = (stop.clone(), answers.clone());
            thread::spawn(move || {
                for number in 0usize.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let id = format!("{name}-{client}-{number}");
                    let destination = 1 + (client + number) as u16 % destinations;
                    let body = vec![b'u'; body_bytes];
                    let text = request(&id, "payout", destination, 20_000, &body);
                    let answer = ask(listen, &text);
                    answers.lock().unwrap().push(answer);
                    thread::sleep(pause);
                }
            })
        });
        UsualClients {
            threads: threads.collect(),
            stop,
            answers,
        }
    }

    pub fn stop(self) -> Answers {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().expect("no panic");
        }
        std::mem::take(&mut *self.answers.lock().unwrap())
    }
}

/// Sends a request on a new connection; once more if the connection ends before the request was read.
fn ask(listen: SocketAddr, text: &[u8]) -> Option<(String, Duration)> {
    let started = Instant::now();
    let mut stream = TcpStream::connect(listen).ok()?;
    stream.set_read_timeout(Some(REPLY_TIMEOUT)).ok()?;
    stream.write_all(text).ok()?;
    let mut reply = Vec::new();
    let mut buffer = [0; 64];
    while !reply.ends_with(b"\r\n") {
        match stream.read(&mut buffer) {
            Ok(count) if count > 0 => reply.extend(&buffer[..count]),
            _ => return None,
        }
    }
    let took = started.elapsed();
    let reply = String::from_utf8(reply).ok()?;
    (took <= REPLY_TIMEOUT).then(|| (reply.trim_end().to_string(), took))
}

/// Number of answered requests, and the time that 99 of 100 of the answered ones stayed under.
pub fn summarize(answers: &Answers) -> (usize, Duration) {
    let mut times: Vec<Duration> = answers.iter().flatten().map(|(_, took)| *took).collect();
    times.sort();
    let percentile_99 = times.get(times.len() * 99 / 100).copied();
    (times.len(), percentile_99.unwrap_or(REPLY_TIMEOUT))
}
