//! Which failures are retried, and when.

use super::*;

#[test]
fn retry_after_holds_back_the_whole_destination() {
    let told = "429 Slow\r\nX-Backoff-Ms: 900";
    let host = Host::new(move |_, before| if before == 0 { status(told) } else { ok() });
    let other = host.clone();
    let mut test_bed = TestBed::started(vec![up("a", &host, 1), up("b", &other, 1)]);
    let (first, _) = test_bed.enqueue("payout", 1);
    let start = wait_until("the call", || host.calls_of(&first).first().cloned()).at;
    let ids: Vec<String> = (0..5).map(|_| test_bed.enqueue("update", 1).0).collect();
    for id in &ids {
        wait_until("the call", || host.calls_of(id).first().cloned());
    }
    wait_until("another call", || host.calls_of(&first).get(1).cloned());
    // For 100 ms, calls may still be sent while the response is in transit.
    let wait = start + Duration::from_millis(100)..start + Duration::from_millis(900);
    let early: Vec<_> = host
        .calls()
        .into_iter()
        .filter(|call| wait.contains(&call.at))
        .collect();
    assert!(early.is_empty(), "{early:?}");
}

#[test]
fn connecting_call_is_held_back_by_retry_after_received_meanwhile() {
    // A listener whose backlog is full establishes no connection until it accepts one.
    let socket =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    let any: std::net::SocketAddr = unused_address();
    socket.bind(&any.into()).expect("bound");
    socket.listen(0).expect("listens");
    let fill: Vec<_> = (0..4)
        .map(|_| std::net::TcpStream::connect_timeout(&any, Duration::from_millis(300)))
        .collect();
    assert!(
        fill.last().expect("tried").is_err(),
        "the backlog is not full"
    );
    let host = Host::new(|_, before| {
        if before == 0 {
            status("429 Slow\r\nX-Backoff-Ms: 5000")
        } else {
            ok()
        }
    });
    let mut test_bed = TestBed::new(vec![entry("a", any, 1, "up")]);
    test_bed.config["settings"]["limits"]["dialTimeout"] = 20_000_000.into();
    test_bed.start();
    let (first, _) = test_bed.enqueue("update", 1);
    // The other host sends a Retry-After while that call is still connecting; the load of each host
    // decides which one gets a message.
    test_bed.discovery.push(2, &[up("b", &host, 1)]);
    let start = wait_until("a call at the other host", || {
        test_bed.enqueue("update", 1);
        host.calls().first().cloned()
    });
    drop(fill);
    let listener = std::net::TcpListener::from(socket);
    let calls = std::thread::spawn(move || {
        let mut reached = Vec::new();
        listener.set_nonblocking(true).expect("set");
        while start.at.elapsed() < Duration::from_millis(4500) {
            match listener.accept() {
                Ok((stream, _)) => reached.push(stream),
                Err(_) => std::thread::sleep(Duration::from_millis(5)),
            }
        }
        let mut read = |stream: &mut std::net::TcpStream| {
            stream.set_nonblocking(true).expect("set");
            std::io::Read::read(stream, &mut [0; 10]).unwrap_or(0)
        };
        // The connections that filled the backlog are accepted first and send nothing.
        (
            reached.len(),
            reached.iter_mut().map(&mut read).sum::<usize>(),
        )
    });
    let (reached, read) = calls.join().expect("ends");
    assert!(reached > 0, "no connection was established");
    assert_eq!(read, 0, "a call was sent within the Retry-After time");
    wait_until("the first message", || {
        host.calls_of(&first).first().cloned()
    });
}

#[test]
fn unsafe_message_is_retried_only_if_it_cannot_have_executed() {
    // Nothing listens at this address, so the call is never sent.
    let gone = unused_address();
    let host = Host::new(|_, _| ok());
    let mut test_bed = TestBed::started(vec![entry("a", gone, 1, "up"), up("b", &host, 1)]);
    let (id, _) = test_bed.enqueue("payout", 1);
    wait_until("a call at the other host", || {
        host.calls_of(&id).first().cloned()
    });

    // A close after the last byte, an error and a malformed response: each call may have executed.
    let garbled = HostResponse::TextThenClose("what?\r\n\r\n".into());
    let odd = [
        HostResponse::Close,
        status("500 Oops"),
        garbled,
        status("302 Elsewhere"),
        status("429 No wait told"),
    ];
    for (block, answer) in (2..).zip(odd) {
        let broken = Host::new(move |_, _| answer.clone());
        test_bed.discovery.push(
            u64::from(block),
            &[up(&format!("h{block}"), &broken, block)],
        );
        let id = wait_until("the new host", || {
            let (id, answer) = test_bed.enqueue("payout", block);
            (answer == "+OK").then_some(id)
        });
        let notice = wait_until("the notice", || test_bed.discovery.notice_for(&id));
        assert_eq!(notice["status"], "undeliverable");
        assert_eq!(broken.calls_of(&id).len(), 1);
    }
}

#[test]
fn rejected_messages_are_retried_even_non_idempotent_ones() {
    for line in [
        "503 Full",
        "503 Full\r\nX-Egress-Full: 1",
        "504 Spent",
        "429 Slow\r\nX-Backoff-Ms: 50",
    ] {
        let host = Host::new(move |_, before| if before == 0 { status(line) } else { ok() });
        let mut test_bed = TestBed::started(vec![up("a", &host, 1)]);
        let (id, _) = test_bed.enqueue("payout", 1);
        wait_until("another call", || host.calls_of(&id).get(1).cloned());
        assert_eq!(test_bed.discovery.notice_for(&id), None, "{line}");
    }
}

#[test]
fn message_ended_elsewhere_is_not_delivered() {
    let host = Host::new(|_, _| status("410 Over"));
    let mut test_bed = TestBed::started(vec![up("a", &host, 1)]);
    let (id, _) = test_bed.enqueue("update", 1);
    wait_until("the call", || host.calls_of(&id).first().cloned());
    let (next, _) = test_bed.enqueue("update", 1);
    wait_until("the next call", || host.calls_of(&next).first().cloned());
    test_bed.terminate();
    assert!(test_bed.wait_for_exit().success());
    host.script(|_, _| ok());
    test_bed.start();
    let (last, _) = test_bed.enqueue("update", 1);
    wait_until("the last call", || host.calls_of(&last).first().cloned());
    assert_eq!(
        (host.calls_of(&id).len(), test_bed.discovery.notice_for(&id)),
        (1, None)
    );
}

#[test]
fn connection_closed_while_idle_counts_no_attempt() {
    let closes = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    let host = Host::new(move |_, before| {
        if before == 0 {
            HostResponse::TextThenClose(closes.into())
        } else {
            ok()
        }
    });
    let mut test_bed = TestBed::started(vec![up("a", &host, 1)]);
    let (first, _) = test_bed.enqueue("payout", 1);
    wait_until("the call", || host.calls_of(&first).first().cloned());
    wait_until("the connection to end", || {
        host.ended.lock().unwrap().first().cloned()
    });
    let (second, _) = test_bed.enqueue("payout", 1);
    let call = wait_until("the call", || host.calls_of(&second).first().cloned());
    assert_eq!(call.connection, 1);
    assert_eq!(test_bed.discovery.notice_for(&second), None);
}

#[test]
fn broken_idle_connections_do_not_suspend_their_destination() {
    let host = Host::new(|_, _| HostResponse::Delayed(100, ok_text()));
    let mut test_bed = TestBed::started(vec![up("a", &host, 1)]);
    // Four concurrent calls, so that four idle connections remain.
    let mut client = test_bed.client();
    for number in 0..4 {
        client.send(&request(
            &format!("first{number}"),
            "update",
            1,
            20_000,
            b"x",
        ));
    }
    wait_until("four answered calls", || {
        (host.calls().len() == 4).then_some(())
    });
    std::thread::sleep(Duration::from_millis(300));
    // From here on, each of these connections breaks at its next call, as if a middlebox had dropped its state.
    host.script(|call, _| {
        if call.connection < 4 {
            HostResponse::Close
        } else {
            ok()
        }
    });
    let (id, answer) = test_bed.enqueue("update", 1);
    assert_eq!(answer, "+OK");
    let calls = wait_until("an answered call", || {
        Some(host.calls_of(&id))
            .filter(|calls| calls.last().is_some_and(|call| call.connection >= 4))
    });
    // The other connections that were idle as long are discarded with the broken one.
    assert_eq!(calls.len(), 2, "{calls:?}");
}

#[test]
fn cancelled_call_is_closed_before_the_next_one() {
    let host = Host::new(|_, before| {
        if before == 0 {
            HostResponse::Hang
        } else {
            ok()
        }
    });
    let mut test_bed = TestBed::started(vec![up("a", &host, 1)]);
    let (id, _) = test_bed.enqueue_body("update", 1, 6_000, b"x");
    let calls = wait_until("another call", || {
        Some(host.calls_of(&id)).filter(|calls| calls.len() > 1)
    });
    // The host's threads record the ends in any order, and the other connection ends behind its answer.
    let ended = wait_until("the first connection to end", || {
        let ended = host.ended.lock().unwrap();
        let mut ends = ended.iter();
        ends.find(|(number, _)| *number == calls[0].connection)
            .cloned()
    });
    // A connection that was kept open would end only by its idle time-out.
    assert!(ended.1 < calls[1].at + Duration::from_secs(5));
    assert_ne!(calls[0].connection, calls[1].connection);
}

#[test]
fn malformed_response_may_have_executed_unless_its_status_line_is_200() {
    let host = Host::new(|_, _| ok());
    let mut test_bed = TestBed::started(vec![up("a", &host, 1)]);
    let announced = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
    let spoilt = [
        (
            true,
            "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabc".to_string(),
        ),
        (
            true,
            "HTTP/1.1 200 OK\r\nno header at all\u{1}\r\n\r\n".into(),
        ),
        (true, "HTTP/1.1 200 OK\r\nX-Pad: never ends".into()),
        (
            true,
            format!(
                "HTTP/1.1 200 OK\r\n{}",
                "X-Pad: never ends\r\n".repeat(20_000)
            ),
        ),
        (
            true,
            "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nbegins".into(),
        ),
        (
            true,
            announced.repeat(3) + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        ),
        (
            false,
            announced.repeat(3) + "HTTP/1.1 500 Bad\r\nX-Pad: never ends",
        ),
        (false, announced.repeat(5000)),
        (false, "\u{1}\u{2} no answer at all 200 OK\r\n\r\n".into()),
        (false, "HTTP/1.1 20".into()),
        (
            false,
            "HTTP/1.1 503 Busy\r\nno header at all\u{1}\r\n\r\n".into(),
        ),
    ];
    for (number, (delivered, text)) in spoilt.into_iter().enumerate() {
        // Each response has its own destination, so that no circuit breaker opens.
        let block = 10 + number as u16;
        test_bed
            .discovery
            .push(u64::from(block), &[up(&format!("h{block}"), &host, block)]);
        wait_until("the host", || {
            (test_bed.enqueue("update", block).1 == "+OK").then_some(())
        });
        let shown = text.chars().take(60).collect::<String>();
        let answer = text.clone();
        host.script(move |call, _| match call.body.as_slice() {
            b"spoilt" => HostResponse::Parts(vec![(0, answer.clone()), (120_000, String::new())]),
            _ => ok(),
        });
        // The deadline is far longer than this test waits.
        let (id, answer) = test_bed.enqueue_body("payout", block, 600_000, b"spoilt");
        assert_eq!(answer, "+OK");
        wait_until("the call", || host.calls_of(&id).first().cloned());
        if delivered {
            // The message has ended, so the process exits without delay and restores nothing at the next start.
            test_bed.terminate();
            assert!(test_bed.wait_for_exit().success());
            test_bed.start();
            assert!(!test_bed.log().contains("messages_restored"), "{shown}");
            assert_eq!(test_bed.discovery.notice_for(&id), None, "{shown}");
        } else {
            let notice = wait_until(&shown, || test_bed.discovery.notice_for(&id));
            assert_eq!(notice["status"], "undeliverable", "{shown}");
        }
        assert_eq!(host.calls_of(&id).len(), 1, "{shown}");
    }
}
