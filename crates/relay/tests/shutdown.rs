//! The end of a process after SIGTERM. A process that is suspended meanwhile (SIGSTOP) finds all pending events at once
//! when it resumes, the expiry of its own shutdown deadline among them.

mod support;

use std::time::Duration;

use support::*;

/// Sends SIGTERM, waits until the process has read it, and suspends the process. Returns false if it had exited by then.
fn suspended_after_sigterm(test_bed: &TestBed) -> bool {
    let before = test_bed.log().matches("relay: shutdown_started").count();
    test_bed.terminate();
    wait_until("SIGTERM to be read", || {
        (test_bed.log().matches("relay: shutdown_started").count() > before).then_some(())
    });
    test_bed.signal("-STOP");
    let stat = format!("/proc/{}/stat", test_bed.relay.as_ref().expect("runs").id());
    let state = || {
        std::fs::read_to_string(&stat)
            .ok()?
            .split(") ")
            .nth(1)?
            .chars()
            .next()
    };
    wait_until("the process to be suspended", || {
        state().filter(|state| "TZ".contains(*state))
    }) == 'T'
}

/// A message that waits for a Retry-After of its destination is sent before the process exits.
#[test]
fn process_without_clients_runs_until_its_messages_have_ended() {
    let host = Host::new(|_, calls| match calls {
        0 => HostResponse::Text(
            "HTTP/1.1 429 Wait\r\nX-Backoff-Ms: 1200\r\nContent-Length: 0\r\n\r\n".into(),
        ),
        _ => ok(),
    });
    let mut test_bed = TestBed::started(vec![entry("a", host.address, 1, "up")]);
    let (id, answer) = test_bed.enqueue("payout", 1);
    assert_eq!(answer, "+OK");
    wait_until("the call answered with Retry-After", || {
        host.calls_of(&id).first().cloned()
    });
    test_bed.terminate();
    assert!(test_bed.wait_for_exit().success());
    assert_eq!(
        host.calls_of(&id).len(),
        2,
        "the message must be sent again before the process exits"
    );
}

/// A connection that arrived before the port closed and was not yet accepted is answered.
#[test]
fn connection_pending_at_the_listener_at_exit_is_served() {
    let host = Host::new(|_, _| ok());
    let mut test_bed = TestBed::new(vec![entry("a", host.address, 1, "up")]);
    loop {
        test_bed.start();
        if suspended_after_sigterm(&test_bed) {
            break;
        }
        // The process had exited before it was suspended. The test needs that order, so it tries again.
        test_bed.signal("-CONT");
        test_bed.wait_for_exit();
    }
    // When it resumes, the process has no work left and may exit.
    std::thread::sleep(Duration::from_millis(700));
    let mut client = test_bed.client();
    let id = test_bed.id();
    client.send(&request(&id, "update", 1, 20_000, b"body"));
    test_bed.signal("-CONT");
    assert_eq!(client.line(), "+OK");
    drop(client);
    assert!(test_bed.wait_for_exit().success());
    assert_eq!(host.calls_of(&id).len(), 1);
}

/// A request that arrives just before the process must exit is answered, and a message accepted by it is kept over
/// the restart.
#[test]
fn request_received_at_exit_is_answered_and_kept() {
    let host = Host::new(|_, _| ok());
    let mut test_bed = TestBed::started(vec![entry("a", host.address, 1, "up")]);
    let mut client = test_bed.client();
    let id = test_bed.id();
    client.send(&frame(&[b"PING"]));
    assert_eq!(client.line(), "+PONG");
    assert!(
        suspended_after_sigterm(&test_bed),
        "the process must keep running for its client"
    );
    // Longer than the process may take to exit.
    std::thread::sleep(Duration::from_millis(3700));
    client.send(&request(&id, "update", 1, 20_000, b"body"));
    test_bed.signal("-CONT");
    let answer = client.line();
    assert!(answer == "+OK" || answer.starts_with("-BUSY"), "{answer:?}");
    assert!(test_bed.wait_for_exit().success());
    if answer == "+OK" && host.calls_of(&id).is_empty() {
        test_bed.start();
        wait_until("the call", || host.calls_of(&id).first().cloned());
    }
}
