//! What upgrades cost clients: a relay on loopback sockets is replaced again and again under a steady load, while a
//! caller stands at its door.

use std::cell::{Cell, RefCell};
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsRawFd;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use runtime::{OsRuntime, PendingInput, Runtime, Stream};
use rustix::io::{fcntl_setfd, FdFlags};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use crate::loopback::{ask, block_on, free_address, quick, request, Process, Quick};
use crate::peers::connection::until_takes_clients;

/// Clients that hand messages in, each the next once the last is answered and a little time has passed.
const CLIENTS: u64 = 16;
/// Milliseconds that a message has.
const LEFT: u64 = 8_000;
/// Partners that answer at once.
const PARTNERS: u16 = 4;
/// Time between two calls at the door.
const CALLS: Duration = Duration::from_millis(10);
/// Time between two upgrades, and before the first.
const BETWEEN: Duration = Duration::from_millis(700);
/// An upgrade's effects are over so long after the old process is gone.
const AFTER: Duration = Duration::from_millis(200);
/// Connections that an upgrade may cost at most.
const MOST: usize = 2;

/// How a connection came to nothing: not let in, broken, ended with a request unanswered.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Lost {
    Refused,
    Reset,
    Unread,
}

/// What clients met.
#[derive(Default)]
struct Book {
    /// When messages were taken on.
    taken: Vec<Instant>,
    turned_away: u64,
    /// Connections that came to nothing.
    lost: Vec<(Instant, Lost)>,
    /// How long answers at the door took.
    door: Vec<Duration>,
    silent: u64,
    /// The process that is called may be gone already.
    in_upgrade: bool,
}

impl Book {
    /// A call at a door took so long, or had no answer; that counts only at the door of a process that serves.
    fn called(&mut self, serves: bool, took: Option<Duration>) {
        match took {
            Some(took) => self.door.push(took),
            None => self.silent += u64::from(serves && !self.in_upgrade),
        }
    }
}

/// Replaces a relay by itself so many times and prints what clients met; false if an upgrade cost more than two
/// connections.
///
/// # Errors
///
/// One plain line if a program cannot be started or a port cannot be had.
pub fn run(relay: &Path, times: u32, pause: Duration) -> Result<bool, String> {
    block_on(play(relay, times, pause))
}

async fn play(relay: &Path, times: u32, pause: Duration) -> Result<bool, String> {
    let folder = tempfile::tempdir().map_err(|e| format!("no folder: {e}"))?;
    let held = TcpListener::bind("127.0.0.1:0").map_err(|e| format!("no loopback port: {e}"))?;
    let listen = held
        .local_addr()
        .map_err(|e| format!("no loopback port: {e}"))?;
    // Every process inherits it.
    fcntl_setfd(&held, FdFlags::empty()).map_err(|e| format!("cannot pass the port on: {e}"))?;
    let Quick {
        stage,
        file,
        state,
        _open,
    } = quick(folder.path(), listen, PARTNERS, LEFT)?;
    let start = || -> Result<(Process, SocketAddr), String> {
        let door = free_address()?;
        let variables = [
            ("BALANCER_SOCKET_FD", held.as_raw_fd().to_string()),
            ("BALANCER_CONTROL", door.to_string()),
        ];
        Ok((Process::with(relay, &[], &file, &state, &variables)?, door))
    };
    let runtime = OsRuntime;
    let (mut process, door) = start()?;
    let ready = runtime
        .timeout(Duration::from_secs(20), until_takes_clients(&stage, door))
        .await;
    ready.map_err(|_| format!("{} does not get ready", relay.display()))?;
    let (book, door, stop) = (
        Rc::<RefCell<Book>>::default(),
        Rc::new(Cell::new(door)),
        Rc::new(Cell::new(false)),
    );
    for number in 0..CLIENTS {
        runtime.spawn(client(
            listen,
            number,
            pause,
            Rc::clone(&book),
            stop.clone(),
        ));
    }
    for word in ["ready", "show-stat"] {
        runtime.spawn(caller(door.clone(), word, Rc::clone(&book)));
    }
    let (mut took, mut spans) = (Vec::new(), Vec::new());
    for _ in 0..times {
        runtime.sleep(BETWEEN).await;
        let began = Instant::now();
        book.borrow_mut().in_upgrade = true;
        let (mut new, new_door) = start()?;
        let ready = runtime
            .timeout(
                Duration::from_secs(20),
                until_takes_clients(&stage, new_door),
            )
            .await;
        ready.map_err(|_| format!("a new version does not get ready; it {}", new.told()))?;
        took.push(began.elapsed());
        door.set(new_door);
        book.borrow_mut().in_upgrade = false;
        let old = std::mem::replace(&mut process, new);
        if !old.stop(&runtime).await {
            return Err("an old version did not end well".into());
        }
        runtime.sleep(AFTER).await;
        spans.push((began, Instant::now()));
    }
    stop.set(true);
    book.borrow_mut().in_upgrade = true;
    runtime.sleep(AFTER).await;
    if !process.stop(&runtime).await {
        return Err("the last version did not end well".into());
    }
    let book = book.borrow();
    Ok(report(&book, took, &spans))
}

/// Longest times between two messages taken on, one for each span.
fn gaps(taken: &[Instant], spans: &[(Instant, Instant)]) -> Vec<Duration> {
    let longest = |(from, until): &(Instant, Instant)| {
        let first = taken.partition_point(|at| at < from).saturating_sub(1);
        let last = (taken.partition_point(|at| at < until) + 1).min(taken.len());
        let pairs = taken.get(first..last).unwrap_or_default().windows(2);
        pairs
            .map(|pair| pair[1] - pair[0])
            .max()
            .unwrap_or(*until - *from)
    };
    spans.iter().map(longest).collect()
}

fn report(book: &Book, took: Vec<Duration>, spans: &[(Instant, Instant)]) -> bool {
    let Book {
        taken,
        turned_away,
        lost,
        door,
        silent,
        ..
    } = book;
    let of = |how: Lost| lost.iter().filter(|(_, lost)| *lost == how).count();
    let within = |(from, until): &(Instant, Instant)| {
        lost.iter()
            .filter(|(at, _)| from <= at && at < until)
            .count()
    };
    let each: Vec<usize> = spans.iter().map(within).collect();
    let (in_one, outside) = (
        each.iter().copied().max().unwrap_or(0),
        lost.len() - each.iter().sum::<usize>(),
    );
    // The time before an upgrade, as long as the shortest wait, is what upgrades are held against.
    let quiet: Vec<(Instant, Instant)> = spans
        .iter()
        .map(|(from, _)| (*from - BETWEEN + Duration::from_millis(100), *from))
        .collect();
    println!(
        "{} upgrades, {} messages taken on, {turned_away} turned away",
        spans.len(),
        taken.len()
    );
    let (refused, reset, unread) = (of(Lost::Refused), of(Lost::Reset), of(Lost::Unread));
    println!("connections: {refused} refused, {reset} reset, {unread} unread; {in_one} at most in an upgrade, {outside} outside");
    line("start until yes", took);
    line(
        "longest time between two messages taken on, in an upgrade",
        gaps(taken, spans),
    );
    line("the same in 0.6 s before each", gaps(taken, &quiet));
    line(
        &format!(
            "answers at the door ({}; {silent} calls without)",
            door.len()
        ),
        door.clone(),
    );
    in_one <= MOST && outside == 0
}

fn line(what: &str, mut times: Vec<Duration>) {
    times.sort_unstable();
    let ms = |share: usize| {
        times
            .get((times.len() * share).div_ceil(100).saturating_sub(1))
            .map_or(0.0, |t| t.as_secs_f64() * 1e3)
    };
    println!(
        "{what}: p50 {:.1} ms, p99 {:.1} ms, longest {:.1} ms",
        ms(50),
        ms(99),
        ms(100)
    );
}

/// Hands messages in until it is to stop; one that is lost is handed in again.
async fn client(
    at: SocketAddr,
    number: u64,
    pause: Duration,
    book: Rc<RefCell<Book>>,
    stop: Rc<Cell<bool>>,
) {
    let (mut open, mut count) = (None, 0u64);
    while !stop.get() {
        // A connection that was closed while it was quiet is no loss.
        let kept = open
            .take()
            .filter(|stream: &<OsRuntime as Runtime>::Stream| {
                stream.pending_input() != PendingInput::Closed
            });
        let stream = match kept {
            Some(stream) => Ok(stream),
            None => OsRuntime
                .connect(at)
                .await
                .and_then(|stream| stream.set_nodelay().map(|()| stream)),
        };
        let Ok(mut stream) = stream else {
            book.borrow_mut().lost.push((Instant::now(), Lost::Refused));
            OsRuntime.sleep(pause.max(Duration::from_millis(5))).await;
            continue;
        };
        let id = format!("c{number:02}n{count:08}");
        let request = request(&id, "acme", 1 + count % u64::from(PARTNERS), LEFT);
        match ask(&mut stream, &request).await {
            Ok(Some(taken)) => {
                let mut book = book.borrow_mut();
                if taken {
                    book.taken.push(Instant::now());
                } else {
                    book.turned_away += 1;
                }
                (open, count) = (Some(stream), count + 1);
            }
            Ok(None) => book.borrow_mut().lost.push((Instant::now(), Lost::Unread)),
            Err(_) => book.borrow_mut().lost.push((Instant::now(), Lost::Reset)),
        }
        OsRuntime.sleep(pause).await;
    }
}

/// Calls at the door again and again.
async fn caller(door: Rc<Cell<SocketAddr>>, word: &'static str, book: Rc<RefCell<Book>>) {
    loop {
        let (at, began) = (door.get(), Instant::now());
        let called = async {
            let mut stream = OsRuntime.connect(at).await?;
            stream.write_all(format!("{word}\n").as_bytes()).await?;
            let mut text = BytesMut::new();
            while stream.read_buf(&mut text).await? > 0 {}
            if text.starts_with(b"ok") || text.starts_with(b"fail") {
                return Ok(());
            }
            Err(std::io::Error::from(ErrorKind::UnexpectedEof))
        };
        let answered = matches!(
            OsRuntime.timeout(Duration::from_secs(1), called).await,
            Ok(Ok(()))
        );
        book.borrow_mut()
            .called(door.get() == at, answered.then(|| began.elapsed()));
        OsRuntime.sleep(CALLS).await;
    }
}
