//! The last moments of a process after SIGTERM. A process that is suspended meanwhile (SIGSTOP) finds
//! them all at once when it goes on, its own time to end among them.

mod scene;

use std::time::Duration;

use scene::*;

/// Lets the process read the signal to stop and then stand still; false if it had ended by then.
fn stops_and_stands(scene: &Scene) -> bool {
    let before = scene.log().matches("relay: shutdown_started").count();
    scene.term();
    until("the signal to be read", || {
        (scene.log().matches("relay: shutdown_started").count() > before).then_some(())
    });
    scene.signal("-STOP");
    let stat = format!("/proc/{}/stat", scene.relay.as_ref().expect("runs").id());
    let state = || {
        std::fs::read_to_string(&stat)
            .ok()?
            .split(") ")
            .nth(1)?
            .chars()
            .next()
    };
    until("the process to stand", || {
        state().filter(|state| "TZ".contains(*state))
    }) == 'T'
}

/// A message that waits as its destination asked for it goes out before the process ends.
#[test]
fn process_without_clients_stays_until_its_messages_have_ended() {
    let host = Host::new(|_, calls| match calls {
        0 => Answer::Text(
            "HTTP/1.1 429 Wait\r\nX-Backoff-Ms: 1200\r\nContent-Length: 0\r\n\r\n".into(),
        ),
        _ => ok(),
    });
    let mut scene = Scene::started(vec![entry("a", host.address, 1, "up")]);
    let (id, answer) = scene.enqueue("payout", 1);
    assert_eq!(answer, "+OK");
    until("the call that is told to wait", || {
        host.calls_of(&id).first().cloned()
    });
    scene.term();
    assert!(scene.end().success());
    assert_eq!(
        host.calls_of(&id).len(),
        2,
        "it was sent again before the end"
    );
}

/// A connection that came before the port closes and was not accepted yet has its answer.
#[test]
fn a_connection_that_waits_at_the_port_as_the_process_ends_is_served() {
    let host = Host::new(|_, _| ok());
    let mut scene = Scene::new(vec![entry("a", host.address, 1, "up")]);
    loop {
        scene.start();
        if stops_and_stands(&scene) {
            break;
        }
        // Too slow: the process had ended. The order is what counts, so once more.
        scene.signal("-CONT");
        scene.end();
    }
    // By the time it goes on it has nothing to do and may end.
    std::thread::sleep(Duration::from_millis(700));
    let mut client = scene.client();
    let id = scene.id();
    client.send(&request(&id, "update", 1, 20_000, b"body"));
    scene.signal("-CONT");
    assert_eq!(client.line(), "+OK");
    drop(client);
    assert!(scene.end().success());
    assert_eq!(host.calls_of(&id).len(), 1);
}

/// A request that arrives just before the process must exit is answered, and a message accepted by it is kept over
/// the restart.
#[test]
fn a_request_that_comes_as_the_process_must_end_is_answered_and_owed() {
    let host = Host::new(|_, _| ok());
    let mut scene = Scene::started(vec![entry("a", host.address, 1, "up")]);
    let mut client = scene.client();
    let id = scene.id();
    client.send(&frame(&[b"PING"]));
    assert_eq!(client.line(), "+PONG");
    assert!(stops_and_stands(&scene), "it stays for its client");
    // Longer than it may take to its end.
    std::thread::sleep(Duration::from_millis(3700));
    client.send(&request(&id, "update", 1, 20_000, b"body"));
    scene.signal("-CONT");
    let answer = client.line();
    assert!(answer == "+OK" || answer.starts_with("-BUSY"), "{answer:?}");
    assert!(scene.end().success());
    if answer == "+OK" && host.calls_of(&id).is_empty() {
        scene.start();
        until("the call", || host.calls_of(&id).first().cloned());
    }
}
