//! What comes between two lines of the relay: each test does it at a point where the relay stands, so that the order is
//! the bad one every time. docs/races.md lists the places.

mod scene;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::Ordering::SeqCst;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use runtime::Signal;
use scene::stepped::Point;
use scene::*;
use socket2::SockRef;

/// Closes a connection with a reset.
fn reset(stream: TcpStream) {
    SockRef::from(&stream)
        .set_linger(Some(Duration::ZERO))
        .expect("set");
}

/// Reads a call to its end and gives its id.
fn read_call(stream: &mut TcpStream) -> String {
    stream.set_read_timeout(Some(LONG)).expect("set");
    let mut text = Vec::new();
    while !text.ends_with(b"\r\n\r\nbody") {
        let mut byte = [0];
        stream.read_exact(&mut byte).expect("a call");
        text.push(byte[0]);
    }
    let text = String::from_utf8(text).expect("text");
    let id = text
        .lines()
        .find_map(|line| line.strip_prefix("x-trace-id: "));
    id.expect("a name").into()
}

/// A client that rests until the relay closes its connection sends a request just then: it is not read, which the client
/// learns by a reset, and sent once more on a new connection it has one effect.
#[test]
fn a_request_between_the_last_look_and_the_close_is_not_half_taken() {
    let host = Host::new(|_, _| ok());
    let mut scene = Scene::new(vec![entry("a", host.address, 1, "up")]);
    let relay = scene.inside(&[]);
    scene.until_ready();
    // A connection that says nothing at first is the one that is closed soonest.
    let mut client = scene.client();
    let id = scene.id();
    let late = request(&id, "payout", 1, 20_000, b"body");
    let mut sender = client.reader.get_ref().try_clone().expect("cloned");
    let sent = Arc::new(Mutex::new(0));
    let (text, times) = (late.clone(), sent.clone());
    relay.at_points(move |point| {
        if point == Point::ClientLooked && *times.lock().unwrap() == 0 {
            *times.lock().unwrap() += 1;
            sender.write_all(&text).expect("the connection stands");
        }
    });
    let read = client.reader.get_mut().read(&mut [0]);
    let reset = read.expect_err("it was closed with the request unread");
    assert_eq!(reset.kind(), std::io::ErrorKind::ConnectionReset);
    assert_eq!(*sent.lock().unwrap(), 1);
    relay.signal(Signal::Stop);
    assert_eq!(relay.end(), Ok(()));
    assert!(host.calls_of(&id).is_empty());
    scene.start();
    let mut client = scene.client();
    client.send(&late);
    assert_eq!(client.line(), "+OK");
    until("the call", || host.calls_of(&id).first().cloned());
    thread::sleep(Duration::from_millis(50));
    assert_eq!(host.calls_of(&id).len(), 1);
}

/// A process that was read from and ends, or is killed, loses what it has not answered by then. So what comes shortly before
/// its end is answered before it is read, and the connection closes behind the answer, with nothing under way.
#[test]
fn a_request_shortly_before_sigkill_is_answered_before_it_is_read() {
    let host = Host::new(|_, _| ok());
    let scene = Scene::new(vec![entry("a", host.address, 1, "up")]);
    let relay = scene.inside(&[]);
    scene.until_ready();
    let mut client = scene.client();
    client.send(&frame(&[b"PING"]));
    assert_eq!(client.line(), "+PONG");
    relay.signal(Signal::Stop);
    thread::sleep(Duration::from_millis(3340));
    let points = Arc::new(Mutex::new(Vec::new()));
    let seen = points.clone();
    relay.at_points(move |point| {
        if matches!(point, Point::ClientRead | Point::ClientWrote) {
            seen.lock().unwrap().push(point);
        }
    });
    let late = request("late", "payout", 1, 20_000, b"body");
    let (first, second) = late.split_at(40);
    client.send(first);
    thread::sleep(Duration::from_millis(50));
    points.lock().unwrap().clear();
    client.send(&[second, &frame(&[b"PING"])].concat());
    assert!(client.line().starts_with("-BUSY"));
    assert!(client.line().starts_with("-ERR"));
    assert_eq!(client.line(), "", "it closes behind the answer");
    assert_eq!(relay.end(), Ok(()));
    assert_eq!(
        *points.lock().unwrap(),
        [Point::ClientWrote, Point::ClientRead]
    );
    assert!(host.calls().is_empty());
}

/// Whether a connection of this machine still counts as open at one of its sides.
fn is_established(side: &std::io::Result<SocketAddr>, other: &std::io::Result<SocketAddr>) -> bool {
    const ESTABLISHED: &str = "01";
    let port = |address: &std::io::Result<SocketAddr>| {
        format!(":{:04X}", address.as_ref().expect("connected").port())
    };
    let table = std::fs::read_to_string("/proc/net/tcp").expect("a table");
    table.lines().any(|line| {
        let columns: Vec<&str> = line.split_whitespace().collect();
        columns[1].ends_with(&port(side))
            && columns[2].ends_with(&port(other))
            && columns[3] == ESTABLISHED
    })
}

/// How a host ends a kept connection.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Ends {
    Reset,
    Close,
}

/// A kept connection that ends between the look and the first byte: after a reset nothing is written, and the call goes out
/// on a new connection; after a close the relay has to assume that what was written may have executed.
#[test]
fn a_kept_connection_that_ends_under_the_first_byte_makes_no_second_effect() {
    for (class, ends) in [
        ("payout", Ends::Reset),
        ("payout", Ends::Close),
        ("update", Ends::Reset),
        ("update", Ends::Close),
    ] {
        // Too slow: the call came before the connection was kept. The order is what counts, so once more.
        while !ends_under_the_first_byte(class, ends) {}
    }
}

/// False if the kept connection was not used.
fn ends_under_the_first_byte(class: &str, ends: Ends) -> bool {
    let listener = bind();
    let mut scene = Scene::new(vec![entry(
        "a",
        listener.local_addr().expect("bound"),
        1,
        "up",
    )]);
    let relay = scene.inside(&[]);
    scene.until_ready();
    let (first, answer) = scene.enqueue("update", 1);
    assert_eq!(answer, "+OK");
    let (mut stream, _) = listener.accept().expect("accepted");
    assert_eq!(read_call(&mut stream), first);
    let (kept, ended) = (
        Arc::new(Mutex::new(None::<TcpStream>)),
        Arc::new(Mutex::new(false)),
    );
    let over = Arc::new(Mutex::new(false));
    let (mine, done, told) = (kept.clone(), ended.clone(), over.clone());
    relay.at_points(move |point| {
        // Its end is in the journal once its connection is kept.
        *told.lock().unwrap() |= point == Point::Kept;
        if let Some(stream) = mine.lock().unwrap().take_if(|_| point == Point::HostLooked) {
            *done.lock().unwrap() = true;
            let ports = (stream.peer_addr(), stream.local_addr());
            match ends {
                Ends::Reset => reset(stream),
                Ends::Close => drop(stream),
            }
            // On a busy machine the end takes a moment to arrive; a write before that has been sent.
            until("the end to arrive", || {
                (!is_established(&ports.0, &ports.1)).then_some(())
            });
        }
    });
    stream.write_all(ok_text().as_bytes()).expect("written");
    until("the end of the first message", || {
        over.lock().unwrap().then_some(())
    });
    *kept.lock().unwrap() = Some(stream);
    let ids = Arc::new(Mutex::new(Vec::new()));
    serve(listener, ids.clone());
    let (id, answer) = scene.enqueue(class, 1);
    assert_eq!(answer, "+OK");
    let times = || {
        ids.lock()
            .unwrap()
            .iter()
            .filter(|seen| **seen == id)
            .count()
    };
    let notice = until("its end or its call", || {
        let notice = scene.discovery.notice_of(&id);
        (notice.is_some() || times() > 0).then_some(notice)
    });
    if !*ended.lock().unwrap() {
        return false;
    }
    thread::sleep(Duration::from_millis(50));
    if class == "payout" && ends == Ends::Close {
        assert_eq!(
            notice.map(|notice| notice["status"].clone()),
            Some("undeliverable".into())
        );
        assert_eq!(times(), 0, "it may have run");
    } else {
        assert_eq!((times(), notice), (1, None), "{class} {ends:?}");
    }
    true
}

/// Answers all calls, and notes them.
fn serve(listener: TcpListener, seen: Arc<Mutex<Vec<String>>>) {
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let seen = seen.clone();
            thread::spawn(move || loop {
                if stream.peek(&mut [0]).unwrap_or(0) == 0 {
                    return;
                }
                let id = read_call(&mut stream);
                seen.lock().unwrap().push(id);
                stream.write_all(ok_text().as_bytes()).expect("written");
            });
        }
    });
}

/// A client that disconnects once its message is in the journal and before the reply: the message has one end, and what the
/// client sends anew is another message.
#[test]
fn a_client_that_is_gone_before_its_ok_leaves_one_message() {
    let host = Host::new(|_, _| ok());
    let mut scene = Scene::new(vec![entry("a", host.address, 1, "up")]);
    let relay = scene.inside(&[]);
    scene.until_ready();
    let client = Arc::new(Mutex::new(Some(scene.client())));
    let (mine, gone) = (client.clone(), Arc::new(Mutex::new(false)));
    let done = gone.clone();
    relay.at_points(move |point| {
        if let Some(client) = mine.lock().unwrap().take_if(|_| point == Point::Kept) {
            reset(client.reader.into_inner());
            *done.lock().unwrap() = true;
        }
    });
    let id = scene.id();
    let text = request(&id, "payout", 1, 20_000, b"body");
    client.lock().unwrap().as_mut().expect("there").send(&text);
    until("the call", || host.calls_of(&id).first().cloned());
    assert!(*gone.lock().unwrap());
    let (again, answer) = scene.enqueue("payout", 1);
    assert_eq!(answer, "+OK");
    until("the call", || host.calls_of(&again).first().cloned());
    assert_eq!(
        (host.calls_of(&id).len(), host.calls_of(&again).len()),
        (1, 1)
    );
    relay.signal(Signal::Stop);
    assert_eq!(relay.end(), Ok(()));
}

/// Signals that come before the first list, in the start and together: the process ends by itself, and what it owes is kept.
#[test]
fn signals_before_the_first_list_end_the_process_and_lose_nothing() {
    use Signal::{Reload, Stop};
    let cases = [&[Stop][..], &[Stop, Stop], &[Reload, Stop], &[Stop, Reload]];
    thread::scope(|threads| {
        cases
            .map(|first| threads.spawn(move || signals_first(first)))
            .map(drop)
    });
}

fn signals_first(first: &[Signal]) {
    let host = Host::new(|_, _| status("503 Busy"));
    let mut scene = Scene::started(vec![entry("a", host.address, 1, "up")]);
    let (id, answer) = scene.enqueue("update", 1);
    assert_eq!(answer, "+OK");
    until("a refused call", || host.calls_of(&id).first().cloned());
    scene.kill();
    scene.discovery.silent.store(true, SeqCst);
    assert_eq!(scene.inside(first).end(), Ok(()), "{first:?}");
    scene.discovery.silent.store(false, SeqCst);
    host.script(|_, _| ok());
    let before = host.calls_of(&id).len();
    scene.start();
    until("the call", || {
        (host.calls_of(&id).len() > before).then_some(())
    });
    assert_eq!(scene.discovery.notice_of(&id), None, "{first:?}");
}
