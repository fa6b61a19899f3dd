//! SIGTERM.

use super::*;

#[test]
fn sigterm_answers_all_requests_lets_calls_end_and_keeps_the_rest() {
    let host =
        Host::new(|_, _| Answer::Later(700, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".into()));
    let hung = Host::new(|_, _| Answer::Hang);
    let mut scene = Scene::started(vec![up("a", &host, 1), up("b", &hung, 2)]);
    let (slow, _) = scene.enqueue("payout", 1);
    let (kept, _) = scene.enqueue("update", 2);
    until("both calls", || {
        (host.calls().len() + hung.calls().len() == 2).then_some(())
    });
    let mut client = scene.client();
    client.send(b"*1\r\n$4\r\nPING\r\n");
    assert_eq!(client.line(), "+PONG");
    let start = Instant::now();
    scene.term();
    // A client goes on for as long as its connection stays open.
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
        // A client's pace: few enough that the hold keeps them all.
        std::thread::sleep(Duration::from_millis(80));
    }
    assert!(scene.end().success());
    assert!(
        start.elapsed() < Duration::from_millis(3700),
        "{:?}",
        start.elapsed()
    );
    assert!(!taken.is_empty());
    hung.script(|_, _| ok());
    scene.start();
    until("the kept message", || hung.calls_of(&kept).get(1).cloned());
    for id in &taken {
        until("what was taken on late", || {
            hung.calls_of(id).last().cloned()
        });
    }
    // Its outcome was written down, so it is neither sent again nor given up.
    assert_eq!(host.calls_of(&slow).len(), 1);
    assert_eq!(scene.discovery.notice_of(&slow), None);
}

#[test]
fn sigterm_without_messages_ends_the_process_quickly() {
    let host = Host::new(|_, _| ok());
    let mut scene = Scene::started(vec![up("a", &host, 1)]);
    scene.term();
    assert!(scene.end().success());
}
