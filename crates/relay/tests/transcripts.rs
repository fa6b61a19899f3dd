//! Compares transcripts of the relay's output to clients, hosts, discovery and operators with golden files in
//! `tests/golden`. No test rewrites the golden files.

mod support;

use std::fs;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;

use serde_json::json;
use support::*;

/// Compares a transcript with its golden file, line by line.
fn assert_transcript(name: &str, lines: &[String]) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name);
    let golden =
        fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
    assert_eq!(
        lines.iter().map(String::as_str).collect::<Vec<_>>(),
        golden.lines().collect::<Vec<_>>()
    );
}

fn escaped(bytes: &[u8]) -> String {
    bytes.escape_ascii().to_string()
}

/// A proxy in front of a peer that records the bytes sent to the peer, per connection.
#[derive(Clone)]
struct Recorder {
    address: SocketAddr,
    sent: Arc<Mutex<Vec<Vec<u8>>>>,
}

impl Recorder {
    fn new(peer: SocketAddr) -> Recorder {
        let listener = bind();
        let recorder = Recorder {
            address: listener.local_addr().expect("bound"),
            sent: Arc::default(),
        };
        let sent = recorder.sent.clone();
        thread::spawn(move || {
            for (number, from) in listener.incoming().flatten().enumerate() {
                let to = TcpStream::connect(peer).expect("the peer listens");
                sent.lock().unwrap().push(Vec::new());
                let (from_back, to_back) = (
                    from.try_clone().expect("cloned"),
                    to.try_clone().expect("cloned"),
                );
                let sent = sent.clone();
                thread::spawn(move || {
                    forward(from, to, |bytes| sent.lock().unwrap()[number].extend(bytes))
                });
                thread::spawn(move || forward(to_back, from_back, |_| ()));
            }
        });
        recorder
    }

    /// Returns all requests sent, ordered by connection and then by request.
    fn requests(&self) -> Vec<String> {
        let sent = self.sent.lock().unwrap();
        let text = sent.iter().flat_map(|bytes| {
            let text = String::from_utf8_lossy(bytes).into_owned();
            let cuts: Vec<usize> = ["GET ", "POST "]
                .iter()
                .flat_map(|method| {
                    text.match_indices(method)
                        .map(|(at, _)| at)
                        .collect::<Vec<_>>()
                })
                .collect();
            let mut cuts = [cuts, vec![text.len()]].concat();
            cuts.sort_unstable();
            cuts.windows(2)
                .map(|pair| text[pair[0]..pair[1]].to_string())
                .collect::<Vec<_>>()
        });
        text.collect()
    }
}

fn forward(mut from: TcpStream, mut to: TcpStream, mut seen: impl FnMut(&[u8])) {
    let mut buffer = [0; 4096];
    while let Ok(count @ 1..) = from.read(&mut buffer) {
        seen(&buffer[..count]);
        if to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    drop(from.shutdown(Shutdown::Both));
    drop(to.shutdown(Shutdown::Both));
}

/// Replaces the value of a header that depends on the time with a placeholder.
fn without_time(request: &str) -> String {
    let lines = request
        .split("\r\n")
        .map(|line| match line.split_once(": ") {
            Some((name @ "x-expires-in-ms", value)) if value.parse::<u64>().is_ok() => {
                format!("{name}: MILLISECONDS")
            }
            _ => line.to_string(),
        });
    lines.collect::<Vec<_>>().join("\r\n")
}

/// Removes repeated lines: on a slow machine the relay may send a request again.
fn distinct(lines: impl IntoIterator<Item = String>) -> Vec<String> {
    let mut kept = Vec::new();
    for line in lines {
        if !kept.contains(&line) {
            kept.push(line);
        }
    }
    kept
}

fn list(fields: &str) -> Vec<u8> {
    frame(&[
        b"ENQUEUE",
        b"0000000000000000",
        b"m-list",
        fields.as_bytes(),
        b"body",
    ])
}

#[test]
fn client_replies_match_golden_transcript() {
    let host = Host::new(|_, _| ok());
    let test_bed = TestBed::started(vec![entry("a", host.address, 7, "up")]);
    let texts: Vec<Vec<u8>> = vec![
        frame(&[b"PING"]),
        frame(&[b"ping"]),
        [
            frame(&[b"PING"]),
            request("m-two", "update", 7, 20_000, b"x"),
            frame(&[b"PING"]),
        ]
        .concat(),
        request("m-event", "event", 7, 20_000, b"\r\n\x00body"),
        request("m-update", "update", 7, 20_000, b""),
        request("m-payout", "payout", 7, 20_000, b"body"),
        request("m-payout", "payout", 7, 20_000, b"body"),
        request("m-class", "none", 7, 20_000, b"body"),
        request("m-destination", "update", 9, 20_000, b"body"),
        request_for("nobody", "m-tenant", "update", 7, 20_000, b"body"),
        list("c=event,t=acme,d=8000,dest=7"),
        list("t=acme,d=8000,dest=7"),
        list("c=update,t=acme,dest=7"),
        list("c=update,t=acme,d=8000"),
        list("c=update,t=acme,d=soon,dest=7"),
        list("c=update,t=acme,d=8000,dest=70000"),
        list("c=event,t=acme,d=8000,dest=7,k=a b"),
        frame(&[
            b"ENQUEUE",
            b"zz",
            b"m-key",
            b"c=update,t=acme,d=8000,dest=7",
            b"body",
        ]),
        frame(&[
            b"ENQUEUE",
            b"0",
            b"m key",
            b"c=update,t=acme,d=8000,dest=7",
            b"body",
        ]),
        frame(&[
            b"ENQUEUE",
            b"0",
            b"m-parts",
            b"c=update,t=acme,d=8000,dest=7",
        ]),
        frame(&[b"AUTH", b"acme", b"secret"]),
        frame(&[b"HELLO", b"3"]),
        b"PING\r\n".to_vec(),
        b"*0\r\n".to_vec(),
        b"*17\r\n".to_vec(),
        b"*1\r\n$x\r\n".to_vec(),
        b"*1\r\n:4\r\n".to_vec(),
        b"*1\r\n$4\r\nPINGS\r\n".to_vec(),
        b"*2\r\n$65537\r\n".to_vec(),
        [
            b"*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$1\r\nm\r\n$1\r\nx\r\n$65537\r\n".to_vec(),
            vec![b'x'; 65537],
            b"\r\n".to_vec(),
        ]
        .concat(),
    ];
    let mut lines = Vec::new();
    for text in texts {
        let mut stream = TcpStream::connect(test_bed.listen).expect("connects");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set");
        stream.write_all(&text).expect("sent");
        stream.shutdown(Shutdown::Write).expect("shut");
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).expect("read");
        let shown = if text.len() > 4096 {
            format!("{} bytes", text.len())
        } else {
            escaped(&text)
        };
        lines.push(format!("client: {shown}"));
        lines.push(format!("relay: {}", escaped(&answer)));
    }
    assert_transcript("client.transcript", &lines);
}

#[test]
fn host_calls_match_golden_transcript() {
    let host = Host::new(|_, before| {
        if before == 0 {
            status("500 Broken")
        } else {
            ok()
        }
    });
    let recorder = Recorder::new(host.address);
    let mut test_bed = TestBed::started(vec![entry("a", recorder.address, 7, "up")]);
    for (class, body, calls) in [
        ("event", &b"\r\n\x00body"[..], 2),
        ("update", b"", 3),
        ("payout", b"body", 4),
    ] {
        assert_eq!(test_bed.enqueue_body(class, 7, 20_000, body).1, "+OK");
        wait_until("the calls", || (host.calls().len() == calls).then_some(()));
    }
    let requests = recorder.requests().into_iter().map(|request| {
        let request = without_time(&request).replace(&recorder.address.to_string(), "ADDRESS");
        format!("relay: {}", escaped(request.as_bytes()))
    });
    assert_transcript("host.transcript", &distinct(requests));
}

#[test]
fn discovery_requests_match_golden_transcript() {
    let host = Host::new(|_, _| HostResponse::Close);
    // An address that refuses connections.
    let closed = unused_address();
    let mut test_bed = TestBed::new(vec![
        entry("a", host.address, 7, "up"),
        entry("b", closed, 8, "up"),
    ]);
    let recorder = Recorder::new(test_bed.discovery.address);
    test_bed.config["discovery"] = json!(recorder.address.to_string());
    test_bed.start();
    test_bed.discovery.wait_for_watches(1);
    let (failed, _) = test_bed.enqueue("payout", 7);
    wait_until("the notice", || test_bed.discovery.notice_for(&failed));
    let (deferred, _) = test_bed.enqueue_body("update", 8, 1500, b"body");
    wait_until("the notice", || test_bed.discovery.notice_for(&deferred));
    let requests = recorder.requests().into_iter().map(|request| {
        let request = request.replace(&recorder.address.to_string(), "ADDRESS");
        format!("relay: {}", escaped(request.as_bytes()))
    });
    assert_transcript("discovery.transcript", &distinct(requests));
}

#[test]
fn control_socket_replies_match_golden_transcript() {
    let host = Host::new(|_, _| ok());
    let mut test_bed = TestBed::new(vec![entry("a", host.address, 7, "up")]);
    let control = unused_address();
    test_bed.config["control"] = json!(control.to_string());
    test_bed.start();
    let mut lines = Vec::new();
    let texts: [&[u8]; 11] = [
        b"ready\n",
        b"show-stat\r\n",
        b" ready \n",
        b"READY\n",
        b"reboot\n",
        b"\n",
        b"drain\n",
        b"ready\n",
        b"resume\n",
        b"resume\n",
        b"xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx",
    ];
    for text in texts {
        let mut stream = TcpStream::connect(control).expect("connects");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set");
        stream.write_all(text).expect("sent");
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).expect("read");
        lines.push(format!("operator: {}", escaped(text)));
        lines.push(format!("relay: {}", escaped(&answer)));
    }
    assert_transcript("control.transcript", &lines);
}
