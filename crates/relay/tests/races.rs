//! What comes between two lines of the relay: each test does it at a point where the relay stands, so that the order is
//! the bad one every time. docs/races.md lists the places.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::Ordering::SeqCst;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use runtime::Signal;
use socket2::SockRef;
use support::in_process::HookPoint;
use support::*;

/// Closes a connection with a reset.
fn reset(stream: TcpStream) {
    SockRef::from(&stream)
        .set_linger(Some(Duration::ZERO))
        .expect("set");
}

/// Reads a call to its end and gives its id.
fn read_call(stream: &mut TcpStream) -> String {
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set");
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
fn request_between_last_input_check_and_close_is_not_partly_processed() {
    let host = Host::new(|_, _| ok());
    let mut test_bed = TestBed::new(vec![entry("a", host.address, 1, "up")]);
    let relay = test_bed.start_in_process(&[]);
    test_bed.wait_until_ready();
    // A connection that says nothing at first is the one that is closed soonest.
    let mut client = test_bed.client();
    let id = test_bed.id();
    let late = request(&id, "payout", 1, 20_000, b"body");
    let mut sender = client.reader.get_ref().try_clone().expect("cloned");
    let sent = Arc::new(Mutex::new(0));
    let (text, times) = (late.clone(), sent.clone());
    relay.set_hook(move |point| {
        if point == HookPoint::ClientInputChecked && *times.lock().unwrap() == 0 {
            *times.lock().unwrap() += 1;
            sender.write_all(&text).expect("the connection stands");
        }
    });
    let read = client.reader.get_mut().read(&mut [0]);
    let reset = read.expect_err("it was closed with the request unread");
    assert_eq!(reset.kind(), std::io::ErrorKind::ConnectionReset);
    assert_eq!(*sent.lock().unwrap(), 1);
    relay.signal(Signal::Stop);
    assert_eq!(relay.wait_for_exit(), Ok(()));
    assert!(host.calls_of(&id).is_empty());
    test_bed.start();
    let mut client = test_bed.client();
    client.send(&late);
    assert_eq!(client.line(), "+OK");
    wait_until("the call", || host.calls_of(&id).first().cloned());
    thread::sleep(Duration::from_millis(50));
    assert_eq!(host.calls_of(&id).len(), 1);
}

/// A process that was read from and ends, or is killed, loses what it has not answered by then. So what comes shortly before
/// its end is answered before it is read, and the connection closes behind the answer, with nothing under way.
#[test]
fn requests_shortly_before_sigkill_are_answered_before_being_read() {
    let host = Host::new(|_, _| ok());
    let test_bed = TestBed::new(vec![entry("a", host.address, 1, "up")]);
    let relay = test_bed.start_in_process(&[]);
    test_bed.wait_until_ready();
    let mut client = test_bed.client();
    client.send(&frame(&[b"PING"]));
    assert_eq!(client.line(), "+PONG");
    relay.signal(Signal::Stop);
    thread::sleep(Duration::from_millis(3340));
    let points = Arc::new(Mutex::new(Vec::new()));
    let seen = points.clone();
    relay.set_hook(move |point| {
        if matches!(point, HookPoint::ClientRead | HookPoint::ClientWritten) {
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
    assert_eq!(relay.wait_for_exit(), Ok(()));
    assert_eq!(
        *points.lock().unwrap(),
        [HookPoint::ClientWritten, HookPoint::ClientRead]
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
fn idle_connection_ending_at_first_byte_causes_no_second_effect() {
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
    let mut test_bed = TestBed::new(vec![entry(
        "a",
        listener.local_addr().expect("bound"),
        1,
        "up",
    )]);
    let relay = test_bed.start_in_process(&[]);
    test_bed.wait_until_ready();
    let (first, answer) = test_bed.enqueue("update", 1);
    assert_eq!(answer, "+OK");
    let (mut stream, _) = listener.accept().expect("accepted");
    assert_eq!(read_call(&mut stream), first);
    let (kept, ended) = (
        Arc::new(Mutex::new(None::<TcpStream>)),
        Arc::new(Mutex::new(false)),
    );
    let over = Arc::new(Mutex::new(false));
    let (mine, done, told) = (kept.clone(), ended.clone(), over.clone());
    relay.set_hook(move |point| {
        // Its end is in the journal once its connection is kept.
        *told.lock().unwrap() |= point == HookPoint::JournalWritten;
        if let Some(stream) = mine
            .lock()
            .unwrap()
            .take_if(|_| point == HookPoint::HostInputChecked)
        {
            *done.lock().unwrap() = true;
            let ports = (stream.peer_addr(), stream.local_addr());
            match ends {
                Ends::Reset => reset(stream),
                Ends::Close => drop(stream),
            }
            // On a busy machine the end takes a moment to arrive; a write before that has been sent.
            wait_until("the end to arrive", || {
                (!is_established(&ports.0, &ports.1)).then_some(())
            });
        }
    });
    stream.write_all(ok_text().as_bytes()).expect("written");
    wait_until("the end of the first message", || {
        over.lock().unwrap().then_some(())
    });
    *kept.lock().unwrap() = Some(stream);
    let ids = Arc::new(Mutex::new(Vec::new()));
    serve(listener, ids.clone());
    let (id, answer) = test_bed.enqueue(class, 1);
    assert_eq!(answer, "+OK");
    let times = || {
        ids.lock()
            .unwrap()
            .iter()
            .filter(|seen| **seen == id)
            .count()
    };
    let notice = wait_until("its end or its call", || {
        let notice = test_bed.discovery.notice_for(&id);
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
fn client_disconnected_before_ok_leaves_one_message() {
    let host = Host::new(|_, _| ok());
    let mut test_bed = TestBed::new(vec![entry("a", host.address, 1, "up")]);
    let relay = test_bed.start_in_process(&[]);
    test_bed.wait_until_ready();
    let client = Arc::new(Mutex::new(Some(test_bed.client())));
    let (mine, gone) = (client.clone(), Arc::new(Mutex::new(false)));
    let done = gone.clone();
    relay.set_hook(move |point| {
        if let Some(client) = mine
            .lock()
            .unwrap()
            .take_if(|_| point == HookPoint::JournalWritten)
        {
            reset(client.reader.into_inner());
            *done.lock().unwrap() = true;
        }
    });
    let id = test_bed.id();
    let text = request(&id, "payout", 1, 20_000, b"body");
    client.lock().unwrap().as_mut().expect("there").send(&text);
    wait_until("the call", || host.calls_of(&id).first().cloned());
    assert!(*gone.lock().unwrap());
    let (again, answer) = test_bed.enqueue("payout", 1);
    assert_eq!(answer, "+OK");
    wait_until("the call", || host.calls_of(&again).first().cloned());
    assert_eq!(
        (host.calls_of(&id).len(), host.calls_of(&again).len()),
        (1, 1)
    );
    relay.signal(Signal::Stop);
    assert_eq!(relay.wait_for_exit(), Ok(()));
}

/// Signals that come before the first list, in the start and together: the process ends by itself, and what it owes is kept.
#[test]
fn signals_before_first_list_end_the_process_without_loss() {
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
    let mut test_bed = TestBed::started(vec![entry("a", host.address, 1, "up")]);
    let (id, answer) = test_bed.enqueue("update", 1);
    assert_eq!(answer, "+OK");
    wait_until("a refused call", || host.calls_of(&id).first().cloned());
    test_bed.kill();
    test_bed.discovery.silent.store(true, SeqCst);
    assert_eq!(
        test_bed.start_in_process(first).wait_for_exit(),
        Ok(()),
        "{first:?}"
    );
    test_bed.discovery.silent.store(false, SeqCst);
    host.script(|_, _| ok());
    let before = host.calls_of(&id).len();
    test_bed.start();
    wait_until("the call", || {
        (host.calls_of(&id).len() > before).then_some(())
    });
    assert_eq!(test_bed.discovery.notice_for(&id), None, "{first:?}");
}
