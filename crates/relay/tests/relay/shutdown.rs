//! Shutdown on SIGTERM.

use super::*;

#[test]
fn sigterm_answers_requests_completes_calls_and_keeps_remaining_messages() {
    let host = Host::new(|_, _| {
        HostResponse::Delayed(700, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".into())
    });
    let hung = Host::new(|_, _| HostResponse::Hang);
    let mut test_bed = TestBed::started(vec![up("a", &host, 1), up("b", &hung, 2)]);
    let (slow, _) = test_bed.enqueue("payout", 1);
    let (kept, _) = test_bed.enqueue("update", 2);
    wait_until("both calls", || {
        (host.calls().len() + hung.calls().len() == 2).then_some(())
    });
    let mut client = test_bed.client();
    client.send(b"*1\r\n$4\r\nPING\r\n");
    assert_eq!(client.line(), "+PONG");
    let start = Instant::now();
    test_bed.terminate();
    // A client keeps sending while its connection is open.
    let mut taken = Vec::new();
    for number in 0.. {
        let id = format!("t{number}");
        let stream = client.reader.get_mut();
        if stream
            .write_all(&request(&id, "update", 2, 20_000, b"late"))
            .is_err()
        {
            break;
        }
        match client.line().as_str() {
            "+OK" => taken.push(id),
            "" => break,
            busy => assert!(busy.starts_with("-BUSY"), "{busy}"),
        }
        // Paced like a client, with few enough messages that the relay can hold them all.
        std::thread::sleep(Duration::from_millis(80));
    }
    assert!(test_bed.wait_for_exit().success());
    assert!(
        start.elapsed() < Duration::from_millis(3700),
        "{:?}",
        start.elapsed()
    );
    assert!(!taken.is_empty());
    hung.script(|_, _| ok());
    test_bed.start();
    wait_until("the kept message", || hung.calls_of(&kept).get(1).cloned());
    for id in &taken {
        wait_until("a message accepted after SIGTERM", || {
            hung.calls_of(id).last().cloned()
        });
    }
    // The outcome of the slow message was journaled, so it is neither sent again nor reported as undeliverable.
    assert_eq!(host.calls_of(&slow).len(), 1);
    assert_eq!(test_bed.discovery.notice_for(&slow), None);
}

#[test]
fn sigterm_without_messages_exits_quickly() {
    let host = Host::new(|_, _| ok());
    let mut test_bed = TestBed::started(vec![up("a", &host, 1)]);
    test_bed.terminate();
    assert!(test_bed.wait_for_exit().success());
}
