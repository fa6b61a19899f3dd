//! Races between two lines of the relay: each test acts in a hook at a fixed point of the relay, so that the unfavourable
//! order occurs in every run. docs/races.md lists the places.

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

/// Reads a complete call and returns its id.
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
    id.expect("an id").into()
}

/// An idle client sends a request just as the relay closes its connection. The request is not read, which the client
/// learns from the reset; sent again on a new connection, it has one effect.
#[test]
fn request_between_last_input_check_and_close_is_not_partly_processed() {
    let host = Host::new(|_, _| ok());
    let mut test_bed = TestBed::new(vec![entry("a", host.address, 1, "up")]);
    let relay = test_bed.start_in_process(&[]);
    test_bed.wait_until_ready();
    // A connection that has sent nothing yet is closed soonest.
    let mut client = test_bed.client();
    let id = test_bed.id();
    let late = request(&id, "payout", 1, 20_000, b"body");
    let mut sender = client.reader.get_ref().try_clone().expect("cloned");
    let sent = Arc::new(Mutex::new(0));
    let (text, times) = (late.clone(), sent.clone());
    relay.set_hook(move |point| {
        if point == HookPoint::ClientInputChecked && *times.lock().unwrap() == 0 {
            *times.lock().unwrap() += 1;
            sender.write_all(&text).expect("the connection is open");
        }
    });
    let read = client.reader.get_mut().read(&mut [0]);
    let reset = read.expect_err("the connection was closed with the request unread");
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

/// A request that a process has read but not answered is lost if the process exits or is killed. Requests that arrive
/// shortly before its end are therefore answered before they are read, and the connection is closed after the reply, with
/// no request in progress.
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
    assert_eq!(
        client.line(),
        "",
        "the connection is closed after the reply"
    );
    assert_eq!(relay.wait_for_exit(), Ok(()));
    assert_eq!(
        *points.lock().unwrap(),
        [HookPoint::ClientWritten, HookPoint::ClientRead]
    );
    assert!(host.calls().is_empty());
}

/// Whether a connection of this machine is still established at the given side.
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

/// How a host ends an idle connection.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Ends {
    Reset,
    Close,
}

/// An idle connection ends between the check for input and the first byte of a call. After a reset nothing is written, and
/// the call is sent on a new connection; after a close the relay has to assume that the written call may have executed.
#[test]
fn idle_connection_ending_at_first_byte_causes_no_second_effect() {
    for (class, ends) in [
        ("payout", Ends::Reset),
        ("payout", Ends::Close),
        ("update", Ends::Reset),
        ("update", Ends::Close),
    ] {
        // The call came before the connection was returned to the pool. The test needs that order, so it tries again.
        while !connection_ends_at_first_byte(class, ends) {}
    }
}

/// Longer than a connection rests after a response.
const LONGER_THAN_A_REST: Duration = Duration::from_millis(300);

/// Runs one case. Returns false if the idle connection was not used.
fn connection_ends_at_first_byte(class: &str, ends: Ends) -> bool {
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
        // The end of the first message is journaled when its connection begins to rest.
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
            // On a busy machine the end of the connection arrives with a delay; a write before that is sent.
            wait_until("the end of the connection to arrive", || {
                (!is_established(&ports.0, &ports.1)).then_some(())
            });
        }
    });
    stream.write_all(ok_text().as_bytes()).expect("written");
    wait_until("the end of the first message", || {
        over.lock().unwrap().then_some(())
    });
    // The connection rests after its response, before it is returned to the pool.
    thread::sleep(LONGER_THAN_A_REST);
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
    let notice = wait_until("the end or the call of the message", || {
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
        assert_eq!(
            times(),
            0,
            "the message may have executed, and must not be sent again"
        );
    } else {
        assert_eq!((times(), notice), (1, None), "{class} {ends:?}");
    }
    true
}

/// Answers all calls and records their ids.
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

/// A client disconnects after its message was journaled and before the reply. The message has one end, and what the client
/// sends afterwards is another message.
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

/// Signals arrive during startup before the first host list, one or two at once: the process exits by itself and keeps its
/// pending messages.
#[test]
fn signals_before_first_list_end_the_process_without_loss() {
    use Signal::{Reload, Stop};
    let cases = [&[Stop][..], &[Stop, Stop], &[Reload, Stop], &[Stop, Reload]];
    thread::scope(|threads| {
        cases
            .map(|first| threads.spawn(move || assert_exit_without_loss(first)))
            .map(drop)
    });
}

fn assert_exit_without_loss(first: &[Signal]) {
    let host = Host::new(|_, _| status("503 Busy"));
    let mut test_bed = TestBed::started(vec![entry("a", host.address, 1, "up")]);
    let (id, answer) = test_bed.enqueue("update", 1);
    assert_eq!(answer, "+OK");
    wait_until("a rejected call", || host.calls_of(&id).first().cloned());
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
