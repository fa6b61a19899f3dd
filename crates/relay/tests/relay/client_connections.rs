//! Malformed, idle and slow clients.

use super::*;

#[test]
fn malformed_frames_get_an_error_and_a_close() {
    let host = Host::new(|_, _| ok());
    let test_bed = TestBed::started(vec![up("a", &host, 1)]);
    let nested = b"*1\r\n".repeat(20_000);
    let long = frame(&[b"ENQUEUE", &[b'x'; 70_000], b"id", b"c=update", b"body"]);
    let cases: Vec<&[u8]> = vec![
        b"PING\r\n",
        b"*x\r\n",
        b"*-1\r\n",
        b"*0\r\n",
        b"*1000000000\r\n$1\r\n",
        b"*99999999999999999999\r\n",
        b"*1\r\n:5\r\n",
        b"*1\r\n$-1\r\n",
        b"*1\r\n$4\r\nPINGxx",
        b"*2\r\n$9223372036854775807\r\n",
        b"\0\0\0\0",
        &nested,
        &long,
    ];
    for case in cases {
        let mut client = test_bed.client();
        // The relay may close the connection before all bytes are sent.
        drop(client.reader.get_mut().write_all(case));
        let answer = client.line();
        let shown = String::from_utf8_lossy(&case[..case.len().min(40)]).into_owned();
        // If the relay closes with unread input, the reset may overtake the reply.
        assert!(
            answer.starts_with("-ERR ") || (answer.is_empty() && case.len() > 4096),
            "{shown:?}: {answer}"
        );
        assert_eq!(client.line(), "", "{shown:?}");
    }
    let mut client = test_bed.client();
    client.send(b"*1\r\n$4\r\nPING\r\n");
    assert_eq!(client.line(), "+PONG");
}

#[test]
fn unused_connections_do_not_block_new_clients() {
    let host = Host::new(|_, _| ok());
    let mut test_bed = TestBed::new(vec![up("a", &host, 1)]);
    // Leaves sockets for 20 clients.
    test_bed.config["limits"]["sockets"] = 64.into();
    test_bed.start();
    let (mut asked, mut silent) = (Vec::new(), Vec::new());
    for _ in 0..60 {
        let mut client = test_bed.client();
        client.send(&frame(&[b"PING"]));
        assert_eq!(client.line(), "+PONG");
        asked.push(client);
        silent.push(test_bed.client());
    }
    let (id, answer) = test_bed.enqueue("update", 1);
    assert_eq!(answer, "+OK");
    wait_until("the call", || host.calls_of(&id).first().cloned());
}

#[test]
fn idle_connections_are_closed_only_when_many_are_open() {
    let host = Host::new(|_, _| ok());
    let mut test_bed = TestBed::new(vec![up("a", &host, 1)]);
    test_bed.config["limits"]["sockets"] = 64.into();
    test_bed.start();
    let ask = |test_bed: &TestBed| {
        let mut client = test_bed.client();
        client.send(&frame(&[b"PING"]));
        assert_eq!(client.line(), "+PONG");
        client
    };
    let mut alone = ask(&test_bed);
    std::thread::sleep(Duration::from_millis(4500));
    alone.send(&frame(&[b"PING"]));
    assert_eq!(alone.line(), "+PONG", "an idle connection must stay open");
    // Ten connections are more than a third of the 20 for clients. If none were closed, clients that are limited to
    // this many connections would be stuck.
    let start = Instant::now();
    let many: Vec<Client> = (0..10).map(|_| ask(&test_bed)).collect();
    let closed = many
        .into_iter()
        .filter_map(|mut client| client.line().is_empty().then_some(()));
    assert!(closed.take(4).count() == 4 && start.elapsed() < Duration::from_secs(20));
}

#[test]
fn connection_with_pending_request_is_not_closed_for_new_clients() {
    let host = Host::new(|_, _| ok());
    let mut test_bed = TestBed::new(vec![up("a", &host, 1)]);
    test_bed.config["limits"]["sockets"] = 64.into();
    // Requests stay pending for one tick (1 s).
    test_bed.config["settings"]["tick"] = 1_000_000.into();
    test_bed.start();
    let mut first = test_bed.client();
    first.send(&frame(&[b"PING"]));
    assert_eq!(first.line(), "+PONG");
    std::thread::sleep(Duration::from_millis(50));
    first.send(&request("open", "update", 1, 20_000, b"x"));
    let others: Vec<Client> = (0..40)
        .map(|_| {
            let mut client = test_bed.client();
            client.send(&frame(&[b"PING"]));
            assert_eq!(client.line(), "+PONG");
            client
        })
        .collect();
    assert_eq!(first.line(), "+OK");
    drop(others);
}

#[test]
fn request_with_id_of_ended_message_submits_nothing() {
    let host = Host::new(|_, _| ok());
    let mut test_bed = TestBed::started(vec![up("a", &host, 1)]);
    let (id, answer) = test_bed.enqueue("payout", 1);
    assert_eq!(answer, "+OK");
    let mut client = test_bed.client();
    // The message ends once its call has been answered; its id is submitted again before and after that.
    wait_until("the call", || host.calls_of(&id).first().cloned());
    for _ in 0..50 {
        client.send(&request(&id, "payout", 1, 20_000, b"other"));
        assert_eq!(client.line(), "+OK");
    }
    let (last, _) = test_bed.enqueue("payout", 1);
    wait_until("the last call", || host.calls_of(&last).first().cloned());
    assert_eq!(host.calls_of(&id).len(), 1);
}

#[test]
fn silent_clients_are_closed_and_partial_requests_get_an_error() {
    let host = Host::new(|_, _| ok());
    let test_bed = TestBed::started(vec![up("a", &host, 1)]);
    let text = request("half", "update", 1, 20_000, b"body");
    let mut clients: Vec<Client> = (0..4).map(|_| test_bed.client()).collect();
    clients[1].send(&text[..1]);
    clients[2].send(&text[..text.len() - 1]);
    // A complete request before the partial one makes no difference.
    clients[3].send(&frame(&[b"PING"]));
    clients[3].send(&text[..40]);
    assert_eq!(clients[3].line(), "+PONG");
    assert_eq!(clients[0].line(), "", "must be closed without a reply");
    for client in &mut clients[1..] {
        assert_eq!(
            client.line(),
            "-ERR protocol error: the request did not come whole"
        );
        assert_eq!(client.line(), "");
    }
    assert!(host.calls().is_empty());
}

#[test]
fn error_reply_arrives_while_client_keeps_sending() {
    let host = Host::new(|_, _| ok());
    let test_bed = TestBed::started(vec![up("a", &host, 1)]);
    let mut client = test_bed.client();
    // Far more than the relay has read when it rejects the first byte.
    client.send(&vec![b'x'; 1 << 20]);
    assert_eq!(
        client.line(),
        "-ERR protocol error: no array of bulk strings"
    );
    let mut rest = Vec::new();
    assert_eq!(
        client
            .reader
            .read_to_end(&mut rest)
            .expect("end of stream, not a reset"),
        0
    );
}

#[test]
fn invalid_requests_get_an_error_and_keep_the_connection() {
    let host = Host::new(|_, _| ok());
    let test_bed = TestBed::started(vec![up("a", &host, 1)]);
    let with = |list: &str| {
        frame(&[
            b"ENQUEUE",
            b"0000000000000000",
            b"id",
            list.as_bytes(),
            b"body",
        ])
    };
    let cases = vec![
        frame(&[b"GET", b"x"]),
        frame(&[b"ENQUEUE"]),
        frame(&[b""]),
        with(""),
        with("c=update,t=acme,d=1000"),
        with("c=update,t=acme,dest=1"),
        with("c=update,d=1000,dest=1"),
        with("t=acme,d=1000,dest=1"),
        with("c=event,t=acme,d=1000,dest=1"),
        with("c=nothing,t=acme,d=1000,dest=1"),
        with("c=update,t=nobody,d=1000,dest=1"),
        with("c=update,t=acme,d=1000,dest=55"),
        with("c=update,t=acme,d=1000,dest=70000"),
        with("c=update,t=acme,d=-5,dest=1"),
        with("c=event,t=acme,d=1000,k=a\r\nb,dest=1"),
        frame(&[
            b"ENQUEUE",
            b"zz",
            b"id",
            b"c=update,t=acme,d=1000,dest=1",
            b"body",
        ]),
        frame(&[
            b"ENQUEUE",
            b"00",
            b"i\r\nd: 1",
            b"c=update,t=acme,d=1000,dest=1",
            b"body",
        ]),
        frame(&[
            b"ENQUEUE",
            b"00",
            &[0xff, 0xfe],
            b"c=update,t=acme,d=1000,dest=1",
            b"body",
        ]),
        request("id", "update", 1, 1000, &[1; 65_537]),
        request("id", "update", 1, 1000, &vec![1; 3_000_000]),
    ];
    let mut client = test_bed.client();
    for case in &cases {
        client.send(case);
        let shown = String::from_utf8_lossy(&case[..case.len().min(90)]).into_owned();
        assert!(client.line().starts_with("-ERR "), "{shown:?}");
    }
    client.send(&request("last", "update", 1, 20_000, b"good"));
    assert_eq!(client.line(), "+OK");
    wait_until("the call", || host.calls_of("last").first().cloned());
    assert_eq!(host.calls().len(), 1);
}
