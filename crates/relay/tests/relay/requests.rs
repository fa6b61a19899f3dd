//! Messages reach their hosts unchanged, over reused connections.

use super::*;

#[test]
fn messages_reach_their_host_unchanged_split_and_pipelined() {
    let host = Host::new(|_, _| ok());
    let test_bed = TestBed::started(vec![up("a", &host, 7)]);
    let bodies: Vec<Vec<u8>> = vec![
        (0..=255).collect(),
        b"\r\n$3\r\n".to_vec(),
        Vec::new(),
        vec![9; 65536],
    ];
    let mut text = Vec::new();
    for (number, body) in bodies.iter().enumerate() {
        text.extend(request(&format!("x{number}"), "event", 7, 20_000, body));
    }
    let mut client = test_bed.client();
    // The first 700 bytes are split at every byte; the rest is sent at once.
    for byte in &text[..700] {
        client.send(&[*byte]);
    }
    client.send(&text[700..]);
    for _ in &bodies {
        assert_eq!(client.line(), "+OK");
    }
    for (number, body) in bodies.iter().enumerate() {
        let id = format!("x{number}");
        let calls = wait_until("the call", || {
            Some(host.calls_of(&id)).filter(|calls| !calls.is_empty())
        });
        assert_eq!(&calls[0].body, body);
        assert_eq!(calls[0].key.as_deref(), Some(format!("k-{id}").as_str()));
    }
}

/// Longer than a connection rests after the response of a host that answers at once.
const CONNECTION_REST: Duration = Duration::from_millis(300);

#[test]
fn connections_are_reused_newest_first() {
    let host = Host::new(|_, _| ok());
    let mut test_bed = TestBed::started(vec![up("a", &host, 7)]);
    for number in 1..=20 {
        assert_eq!(test_bed.enqueue("update", 7).1, "+OK");
        wait_until("the call", || (host.calls().len() == number).then_some(()));
        // After a response that could be a copy, the connection rests.
        std::thread::sleep(CONNECTION_REST);
    }
    assert!(
        host.calls().iter().all(|call| call.connection == 0),
        "{:?}",
        host.calls()
    );
}
