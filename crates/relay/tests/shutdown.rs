//! The last moments of a process after SIGTERM. A process that is suspended meanwhile (SIGSTOP) finds
//! them all at once when it goes on, its own time to end among them.

mod support;

use std::time::Duration;

use support::*;

/// Lets the process read the signal to stop and then stand still; false if it had ended by then.
fn suspended_after_sigterm(test_bed: &TestBed) -> bool {
    let before = test_bed.log().matches("relay: shutdown_started").count();
    test_bed.terminate();
    wait_until("the signal to be read", || {
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
    wait_until("the process to stand", || {
        state().filter(|state| "TZ".contains(*state))
    }) == 'T'
}

/// A message that waits as its destination asked for it goes out before the process ends.
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
    wait_until("the call that is told to wait", || {
        host.calls_of(&id).first().cloned()
    });
    test_bed.terminate();
    assert!(test_bed.wait_for_exit().success());
    assert_eq!(
        host.calls_of(&id).len(),
        2,
        "it was sent again before the end"
    );
}

/// A connection that came before the port closes and was not accepted yet has its answer.
#[test]
fn connection_pending_at_the_listener_at_exit_is_served() {
    let host = Host::new(|_, _| ok());
    let mut test_bed = TestBed::new(vec![entry("a", host.address, 1, "up")]);
    loop {
        test_bed.start();
        if suspended_after_sigterm(&test_bed) {
            break;
        }
        // Too slow: the process had ended. The order is what counts, so once more.
        test_bed.signal("-CONT");
        test_bed.wait_for_exit();
    }
    // By the time it goes on it has nothing to do and may end.
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
        "it stays for its client"
    );
    // Longer than it may take to its end.
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
