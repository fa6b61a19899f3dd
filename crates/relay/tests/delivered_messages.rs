//! A message whose delivery was reported is left alone, whatever becomes of its connection or of the relay right after.

mod support;

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;
use std::time::Duration;

use socket2::Socket;
use support::*;

/// Longer than a connection rests after a response.
const LONGER_THAN_A_REST: Duration = Duration::from_millis(300);
/// The second call takes longer than the first, so that its answer has no sign of a copy.
const SECOND_CALL_DURATION: Duration = Duration::from_millis(50);
/// What happens to the relay or to the connection comes this long after the answer has been written.
const SHORTLY_AFTER: Duration = Duration::from_millis(10);

/// A host that answers two calls on its first connection and then resets that connection, if it is told to. It answers
/// the calls on all other connections.
struct ReusedHost {
    address: SocketAddr,
    /// The connection number of each call.
    calls: Receiver<usize>,
}

impl ReusedHost {
    fn start(resets: bool) -> Self {
        let listener = bind();
        let address = listener.local_addr().expect("bound");
        let (sender, calls) = channel();
        thread::spawn(move || {
            for (number, stream) in listener.incoming().flatten().enumerate() {
                let sender = sender.clone();
                thread::spawn(move || serve(stream, number, resets, &sender));
            }
        });
        ReusedHost { address, calls }
    }

    /// The connection of the next call, once it is answered.
    fn next_call(&self) -> usize {
        self.calls.recv_timeout(TEST_TIMEOUT).expect("a call")
    }
}

fn serve(stream: TcpStream, number: usize, resets: bool, calls: &Sender<usize>) -> Option<()> {
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let mut writer = stream;
    for call in 0.. {
        read_request(&mut reader)?;
        let is_second = number == 0 && call == 1;
        if is_second {
            thread::sleep(SECOND_CALL_DURATION);
        }
        writer.write_all(ok_text().as_bytes()).ok()?;
        calls.send(number).ok()?;
        if is_second && resets {
            thread::sleep(SHORTLY_AFTER);
            drop(reader);
            return Socket::from(writer).set_linger(Some(Duration::ZERO)).ok();
        }
    }
    None
}

/// Reads a request; `None` at the end of the connection.
fn read_request(reader: &mut impl BufRead) -> Option<()> {
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_ascii_lowercase();
        if line.is_empty() {
            break;
        }
        if let Some((_, value)) = line.split_once("content-length:") {
            length = value.trim().parse().ok()?;
        }
    }
    reader.read_exact(&mut vec![0; length]).ok()
}

/// Has two messages delivered on one connection, and returns once the answer to the second has been written.
fn deliver_two_on_one_connection(test_bed: &mut TestBed, host: &ReusedHost) -> String {
    assert_eq!(test_bed.enqueue("update", 1).1, "+OK");
    assert_eq!(host.next_call(), 0);
    thread::sleep(LONGER_THAN_A_REST);
    let (second, answer) = test_bed.enqueue("update", 1);
    assert_eq!(answer, "+OK");
    assert_eq!(host.next_call(), 0, "the connection is reused");
    second
}

/// The next call is that of a message which is submitted now.
fn assert_not_called_again(test_bed: &mut TestBed, host: &ReusedHost, id: &str) {
    thread::sleep(LONGER_THAN_A_REST);
    assert!(host.calls.try_recv().is_err(), "{id} was called again");
    assert_eq!(test_bed.enqueue("update", 1).1, "+OK");
    host.next_call();
    thread::sleep(LONGER_THAN_A_REST);
    assert!(host.calls.try_recv().is_err(), "{id} was called again");
    assert!(test_bed.discovery.notice_for(id).is_none());
}

#[test]
fn delivered_message_is_not_called_again_after_its_connection_is_reset() {
    let host = ReusedHost::start(true);
    let mut test_bed = TestBed::started(vec![entry("a", host.address, 1, "up")]);
    let id = deliver_two_on_one_connection(&mut test_bed, &host);
    assert_not_called_again(&mut test_bed, &host, &id);
}

#[test]
fn delivered_message_is_not_called_again_after_a_kill() {
    let host = ReusedHost::start(false);
    let mut test_bed = TestBed::started(vec![entry("a", host.address, 1, "up")]);
    let id = deliver_two_on_one_connection(&mut test_bed, &host);
    thread::sleep(SHORTLY_AFTER);
    test_bed.kill();
    test_bed.start();
    assert_not_called_again(&mut test_bed, &host, &id);
}
