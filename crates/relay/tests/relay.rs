//! The relay as a process between scripted peers on loopback sockets.

mod scene;

use std::fs;
use std::io::{Read, Write};
use std::time::{Duration, Instant};

use scene::*;
use serde_json::Value;

fn up(name: &str, host: &Host, block: u16) -> Value {
    entry(name, host.address, block, "up")
}

#[test]
fn messages_reach_their_host_unchanged_split_and_pipelined() {
    let host = Host::new(|_, _| ok());
    let scene = Scene::started(vec![up("a", &host, 7)]);
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
    let mut client = scene.client();
    // Every cut in the first requests, then the rest at once.
    for byte in &text[..700] {
        client.send(&[*byte]);
    }
    client.send(&text[700..]);
    for _ in &bodies {
        assert_eq!(client.line(), "+OK");
    }
    for (number, body) in bodies.iter().enumerate() {
        let id = format!("x{number}");
        let calls = until("the call", || {
            Some(host.calls_of(&id)).filter(|calls| !calls.is_empty())
        });
        assert_eq!(&calls[0].body, body);
        assert_eq!(calls[0].key.as_deref(), Some(format!("k-{id}").as_str()));
    }
}

#[test]
fn connections_are_reused_newest_first() {
    let host = Host::new(|_, _| ok());
    let mut scene = Scene::started(vec![up("a", &host, 7)]);
    for number in 1..=20 {
        assert_eq!(scene.enqueue("update", 7).1, "+OK");
        until("the call", || (host.calls().len() == number).then_some(()));
    }
    assert!(
        host.calls().iter().all(|call| call.connection == 0),
        "{:?}",
        host.calls()
    );
}

#[test]
fn a_call_that_was_out_at_a_kill_may_have_run() {
    let host = Host::new(|_, _| Answer::Hang);
    let mut scene = Scene::started(vec![
        up("a", &host, 1),
        up("b", &host, 2),
        up("c", &host, 3),
    ]);
    let ids: Vec<String> = [("update", 1), ("event", 2), ("payout", 3)]
        .iter()
        .map(|(class, block)| {
            let (id, answer) = scene.enqueue(class, *block);
            assert_eq!(answer, "+OK");
            id
        })
        .collect();
    until("three calls", || (host.calls().len() == 3).then_some(()));
    scene.kill();
    host.script(|_, _| ok());
    scene.start();
    // Safe and keyed ones go again, under their names and keys.
    for id in &ids[..2] {
        let calls = until("another call", || {
            Some(host.calls_of(id)).filter(|calls| calls.len() == 2)
        });
        assert_eq!(
            (&calls[0].key, &calls[0].body),
            (&calls[1].key, &calls[1].body)
        );
    }
    // An unsafe one must not, nor may its client be told that it is harmless to come again.
    let notice = until("the notice", || scene.discovery.notice_of(&ids[2]));
    assert_eq!(notice["status"], "undeliverable");
    assert_eq!(host.calls_of(&ids[2]).len(), 1);
    // What was delivered or ended is not owed at the next start. A kill might come between an answer and
    // its record; this end does not.
    scene.term();
    assert!(scene.end().success());
    scene.start();
    let (id, _) = scene.enqueue("update", 1);
    until("the call", || host.calls_of(&id).first().cloned());
    assert_eq!(host.calls().len(), 6, "{:?}", host.calls());
}

#[test]
fn attempts_and_the_keys_memory_are_counted_over_restarts() {
    let host = Host::new(|_, _| Answer::Hang);
    let mut scene = Scene::new(vec![up("a", &host, 2)]);
    scene.config["settings"]["services"][0]["window"] = 1_500_000.into();
    scene.start();
    let (id, _) = scene.enqueue("event", 2);
    until("the call", || host.calls_of(&id).first().cloned());
    scene.kill();
    // The key is forgotten while the relay is down.
    std::thread::sleep(Duration::from_millis(1600));
    scene.start();
    let notice = until("the notice", || scene.discovery.notice_of(&id));
    assert_eq!(notice["status"], "undeliverable");
    assert_eq!(host.calls_of(&id).len(), 1);
}

#[test]
fn a_message_past_its_time_at_the_start_ends_at_once() {
    let host = Host::new(|_, _| Answer::Hang);
    let mut scene = Scene::started(vec![up("a", &host, 1)]);
    let (id, _) = scene.enqueue_body("update", 1, 1500, b"x");
    until("the call", || host.calls_of(&id).first().cloned());
    scene.kill();
    std::thread::sleep(Duration::from_millis(1600));
    host.script(|_, _| ok());
    scene.start();
    let notice = until("the notice", || scene.discovery.notice_of(&id));
    assert_eq!(notice["status"], "undeliverable");
    assert_eq!(host.calls_of(&id).len(), 1);
}

#[test]
fn a_torn_journal_loses_only_its_torn_record() {
    let host = Host::new(|_, _| Answer::Hang);
    let mut scene = Scene::started(vec![up("a", &host, 1)]);
    let (id, _) = scene.enqueue("update", 1);
    until("the call", || host.calls_of(&id).first().cloned());
    scene.kill();
    let whole = fs::read(scene.journal()).expect("a journal");
    for tail in [
        &whole[..5],
        &[0xff; 40][..],
        &whole[..whole.len() / 2 - 1],
        &[40, 0, 0, 0, 1, 2, 3, 4, 5],
    ] {
        let mut file = fs::File::options()
            .append(true)
            .open(scene.journal())
            .expect("a journal");
        file.write_all(tail).expect("written");
    }
    host.script(|_, _| ok());
    scene.start();
    until("another call", || host.calls_of(&id).get(1).cloned());
    // What is written after the cut can be read again.
    host.script(|_, _| Answer::Hang);
    let (second, _) = scene.enqueue("update", 1);
    until("the call", || host.calls_of(&second).first().cloned());
    scene.kill();
    assert!(
        scene.log().contains("journal: torn_tail_dropped"),
        "{}",
        scene.log()
    );
    host.script(|_, _| ok());
    scene.start();
    until("another call", || host.calls_of(&second).get(1).cloned());
}

fn folder_size(scene: &Scene) -> u64 {
    let files = fs::read_dir(scene.folder.join("state"))
        .expect("a folder")
        .flatten();
    files
        .filter_map(|file| file.metadata().ok())
        .map(|meta| meta.len().div_ceil(512) * 512)
        .sum()
}

#[test]
fn the_journal_is_written_anew_and_stays_under_its_limit() {
    let host = Host::new(|seen, _| {
        if seen.id == "m0001" {
            Answer::Hang
        } else {
            ok()
        }
    });
    let mut scene = Scene::new(vec![up("a", &host, 1), up("b", &host, 2)]);
    scene.config["limits"]["disk_mb"] = 0.25.into();
    scene.start();
    let (owed, _) = scene.enqueue("update", 1);
    let mut shrunk = 0;
    let mut size = 0;
    for number in 0..120 {
        let (id, answer) = scene.enqueue_body("update", 2, 20_000, &[7; 10_000]);
        assert_eq!(answer, "+OK", "message {number}");
        until("the call", || host.calls_of(&id).first().cloned());
        let now = folder_size(&scene);
        assert!(now < 220_000, "{now} bytes");
        shrunk += u32::from(now < size);
        size = now;
    }
    assert!(shrunk > 3, "written anew {shrunk} times");
    scene.kill();
    host.script(|_, _| ok());
    scene.start();
    until("what was owed all along", || {
        host.calls_of(&owed).get(1).cloned()
    });
    assert_eq!(host.calls_of(&owed)[1].body, b"body");
}

#[test]
fn a_full_journal_turns_messages_away_and_the_relay_lives() {
    let host = Host::new(|_, _| Answer::Hang);
    let mut scene = Scene::new(vec![up("a", &host, 1), up("b", &host, 2)]);
    scene.config["limits"]["disk_mb"] = 0.25.into();
    scene.start();
    let answers: Vec<String> = (0..20)
        .map(|_| scene.enqueue_body("update", 1, 50_000, &[7; 10_000]).1)
        .collect();
    assert!(
        answers[..5].iter().all(|answer| answer == "+OK"),
        "{answers:?}"
    );
    assert!(
        answers[10..]
            .iter()
            .all(|answer| answer.starts_with("-BUSY ")),
        "{answers:?}"
    );
    let (id, answer) = scene.enqueue_body("update", 2, 50_000, b"small");
    assert_eq!(answer, "+OK");
    until("the call", || host.calls_of(&id).first().cloned());
    assert!(folder_size(&scene) < 220_000);
}

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

#[test]
fn retry_after_holds_back_the_whole_destination() {
    let told = "429 Slow\r\nX-Backoff-Ms: 900";
    let host = Host::new(move |_, before| if before == 0 { status(told) } else { ok() });
    let other = host.clone();
    let mut scene = Scene::started(vec![up("a", &host, 1), up("b", &other, 1)]);
    let (first, _) = scene.enqueue("payout", 1);
    let start = until("the call", || host.calls_of(&first).first().cloned()).at;
    let ids: Vec<String> = (0..5).map(|_| scene.enqueue("update", 1).0).collect();
    for id in &ids {
        until("the call", || host.calls_of(id).first().cloned());
    }
    until("another call", || host.calls_of(&first).get(1).cloned());
    // Calls may cross the answer for a tenth of a second.
    let wait = start + Duration::from_millis(100)..start + Duration::from_millis(900);
    let early: Vec<_> = host
        .calls()
        .into_iter()
        .filter(|call| wait.contains(&call.at))
        .collect();
    assert!(early.is_empty(), "{early:?}");
}

#[test]
fn connecting_call_is_held_back_by_a_retry_after_received_meanwhile() {
    // A listener whose queue is full lets nobody in until it accepts.
    let socket =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    let any: std::net::SocketAddr = bind().local_addr().expect("bound");
    socket.bind(&any.into()).expect("bound");
    socket.listen(0).expect("listens");
    let fill: Vec<_> = (0..4)
        .map(|_| std::net::TcpStream::connect_timeout(&any, Duration::from_millis(300)))
        .collect();
    assert!(
        fill.last().expect("tried").is_err(),
        "the queue takes more than it should"
    );
    let host = Host::new(|_, before| {
        if before == 0 {
            status("429 Slow\r\nX-Backoff-Ms: 5000")
        } else {
            ok()
        }
    });
    let mut scene = Scene::new(vec![entry("a", any, 1, "up")]);
    scene.config["settings"]["limits"]["dialTimeout"] = 20_000_000.into();
    scene.start();
    let (first, _) = scene.enqueue("update", 1);
    // The other host tells a wait while that call hangs in its connect; the hosts' loads part them.
    scene.discovery.push(2, &[up("b", &host, 1)]);
    let start = until("a call at the other host", || {
        scene.enqueue("update", 1);
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
        // Those that filled the queue come first and say nothing.
        (
            reached.len(),
            reached.iter_mut().map(&mut read).sum::<usize>(),
        )
    });
    let (reached, read) = calls.join().expect("ends");
    assert!(reached > 0, "nobody came through");
    assert_eq!(read, 0, "a call began within the wait");
    until("the first message", || {
        host.calls_of(&first).first().cloned()
    });
}

#[test]
fn an_unsafe_message_goes_again_only_if_it_never_ran() {
    // Nobody listens there: the call never began.
    let gone = bind().local_addr().expect("bound");
    let host = Host::new(|_, _| ok());
    let mut scene = Scene::started(vec![entry("a", gone, 1, "up"), up("b", &host, 1)]);
    let (id, _) = scene.enqueue("payout", 1);
    until("a call at the other host", || {
        host.calls_of(&id).first().cloned()
    });

    // Broken after the last byte, an error, and no HTTP at all: each may have run.
    let garbled = Answer::Last("what?\r\n\r\n".into());
    let odd = [
        Answer::Close,
        status("500 Oops"),
        garbled,
        status("302 Elsewhere"),
        status("429 No wait told"),
    ];
    for (block, answer) in (2..).zip(odd) {
        let broken = Host::new(move |_, _| answer.clone());
        scene.discovery.push(
            u64::from(block),
            &[up(&format!("h{block}"), &broken, block)],
        );
        let id = until("the new host", || {
            let (id, answer) = scene.enqueue("payout", block);
            (answer == "+OK").then_some(id)
        });
        let notice = until("the notice", || scene.discovery.notice_of(&id));
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
        let mut scene = Scene::started(vec![up("a", &host, 1)]);
        let (id, _) = scene.enqueue("payout", 1);
        until("another call", || host.calls_of(&id).get(1).cloned());
        assert_eq!(scene.discovery.notice_of(&id), None, "{line}");
    }
}

#[test]
fn a_message_that_is_over_elsewhere_is_owed_nothing() {
    let host = Host::new(|_, _| status("410 Over"));
    let mut scene = Scene::started(vec![up("a", &host, 1)]);
    let (id, _) = scene.enqueue("update", 1);
    until("the call", || host.calls_of(&id).first().cloned());
    let (next, _) = scene.enqueue("update", 1);
    until("the next call", || host.calls_of(&next).first().cloned());
    scene.term();
    assert!(scene.end().success());
    host.script(|_, _| ok());
    scene.start();
    let (last, _) = scene.enqueue("update", 1);
    until("the last call", || host.calls_of(&last).first().cloned());
    assert_eq!(
        (host.calls_of(&id).len(), scene.discovery.notice_of(&id)),
        (1, None)
    );
}

#[test]
fn a_connection_closed_while_idle_costs_no_attempt() {
    let closes = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    let host = Host::new(move |_, before| {
        if before == 0 {
            Answer::Last(closes.into())
        } else {
            ok()
        }
    });
    let mut scene = Scene::started(vec![up("a", &host, 1)]);
    let (first, _) = scene.enqueue("payout", 1);
    until("the call", || host.calls_of(&first).first().cloned());
    until("the connection to end", || {
        host.ended.lock().unwrap().first().cloned()
    });
    let (second, _) = scene.enqueue("payout", 1);
    let call = until("the call", || host.calls_of(&second).first().cloned());
    assert_eq!(call.connection, 1);
    assert_eq!(scene.discovery.notice_of(&second), None);
}

#[test]
fn kept_connections_that_break_do_not_park_their_destination() {
    let host = Host::new(|_, _| Answer::Later(100, ok_text()));
    let mut scene = Scene::started(vec![up("a", &host, 1)]);
    // Four at once, so that four connections are kept.
    let mut client = scene.client();
    for number in 0..4 {
        client.send(&request(
            &format!("first{number}"),
            "update",
            1,
            20_000,
            b"x",
        ));
    }
    until("four answered calls", || {
        (host.calls().len() == 4).then_some(())
    });
    std::thread::sleep(Duration::from_millis(300));
    // From here on each of them breaks under its next call, as if something between had forgotten it.
    host.script(|call, _| {
        if call.connection < 4 {
            Answer::Close
        } else {
            ok()
        }
    });
    let (id, answer) = scene.enqueue("update", 1);
    assert_eq!(answer, "+OK");
    let calls = until("the call that is answered", || {
        Some(host.calls_of(&id))
            .filter(|calls| calls.last().is_some_and(|call| call.connection >= 4))
    });
    // The others that stood as long are given up with it.
    assert_eq!(calls.len(), 2, "{calls:?}");
}

#[test]
fn a_call_that_is_given_up_is_closed_before_the_next() {
    let host = Host::new(|_, before| if before == 0 { Answer::Hang } else { ok() });
    let mut scene = Scene::started(vec![up("a", &host, 1)]);
    let (id, _) = scene.enqueue_body("update", 1, 6_000, b"x");
    let calls = until("another call", || {
        Some(host.calls_of(&id)).filter(|calls| calls.len() > 1)
    });
    let ended = until("the first to end", || {
        host.ended.lock().unwrap().first().cloned()
    });
    assert_eq!(ended.0, calls[0].connection);
    // The peer's threads note times in any order; a connection that was kept would end when idle.
    assert!(ended.1 < calls[1].at + Duration::from_secs(5));
    assert_ne!(calls[0].connection, calls[1].connection);
}

#[test]
fn malformed_response_may_have_executed_unless_its_status_line_is_200() {
    let host = Host::new(|_, _| ok());
    let mut scene = Scene::started(vec![up("a", &host, 1)]);
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
        // A destination of its own, so that the fuse plays no part.
        let block = 10 + number as u16;
        scene
            .discovery
            .push(u64::from(block), &[up(&format!("h{block}"), &host, block)]);
        until("the host", || {
            (scene.enqueue("update", block).1 == "+OK").then_some(())
        });
        let shown = text.chars().take(60).collect::<String>();
        let answer = text.clone();
        host.script(move |call, _| match call.body.as_slice() {
            b"spoilt" => Answer::Parts(vec![(0, answer.clone()), (120_000, String::new())]),
            _ => ok(),
        });
        // Its time is far longer than this test waits.
        let (id, answer) = scene.enqueue_body("payout", block, 600_000, b"spoilt");
        assert_eq!(answer, "+OK");
        until("the call", || host.calls_of(&id).first().cloned());
        if delivered {
            // It is over for the relay, so the process ends without delay and owes nothing at the next start.
            scene.term();
            assert!(scene.end().success());
            scene.start();
            assert!(!scene.log().contains("messages_restored"), "{shown}");
            assert_eq!(scene.discovery.notice_of(&id), None, "{shown}");
        } else {
            let notice = until(&shown, || scene.discovery.notice_of(&id));
            assert_eq!(notice["status"], "undeliverable", "{shown}");
        }
        assert_eq!(host.calls_of(&id).len(), 1, "{shown}");
    }
}

#[test]
fn nothing_new_goes_to_a_host_that_drains() {
    let (old, new) = (Host::new(|_, _| ok()), Host::new(|_, _| ok()));
    let mut scene = Scene::started(vec![up("a", &old, 1)]);
    let (id, _) = scene.enqueue("update", 1);
    until("the call", || old.calls_of(&id).first().cloned());
    scene.discovery.push(
        2,
        &[entry("a", old.address, 1, "draining"), up("b", &new, 1)],
    );
    let told = Instant::now();
    until("calls at the new host", || {
        let (id, _) = scene.enqueue("update", 1);
        until("the call", || {
            (old.calls_of(&id).len() + new.calls_of(&id).len() == 1).then_some(())
        });
        (new.calls().len() >= 20).then_some(())
    });
    let late = old
        .calls()
        .into_iter()
        .filter(|call| call.at > told + Duration::from_secs(2))
        .count();
    assert_eq!(late, 0);
}

#[test]
fn a_drain_is_kept_by_a_relay_that_restarts_while_discovery_is_silent() {
    let (old, new) = (Host::new(|_, _| ok()), Host::new(|_, _| ok()));
    let mut scene = Scene::started(vec![up("a", &old, 1)]);
    scene.discovery.push(
        2,
        &[
            entry("a", old.address, 1, "draining"),
            up("b", &new, 1),
            up("c", &new, 2),
        ],
    );
    until("the change", || {
        (scene.enqueue("update", 2).1 == "+OK").then_some(())
    });
    scene
        .discovery
        .silent
        .store(true, std::sync::atomic::Ordering::SeqCst);
    scene.kill();
    // The configuration still has the list from before the drain.
    scene.start();
    for _ in 0..5 {
        let (id, _) = scene.enqueue("update", 1);
        until("the call", || {
            old.calls_of(&id)
                .into_iter()
                .chain(new.calls_of(&id))
                .next()
        });
    }
    assert!(old.calls().is_empty(), "{:?}", old.calls());
}

#[test]
fn an_outage_is_remembered_by_a_relay_that_restarts() {
    let host = Host::new(|_, _| Answer::Hang);
    let mut scene = Scene::new(vec![up("a", &host, 1)]);
    scene.config["known"]["hosts"][0]["share"] = 8.0.into();
    scene.config["settings"]["rules"]["cold"] = 20_000_000.into();
    scene.config["settings"]["rules"]["coldFrom"] = 0.1.into();
    scene.start();
    // Errors trip the fuse, and what comes later is parked.
    host.script(|_, _| status("500 Oops"));
    for _ in 0..12 {
        assert_eq!(scene.enqueue("update", 1).1, "+OK");
    }
    until("some failures", || (host.calls().len() >= 2).then_some(()));
    until("the outage to be noted", || {
        let memory: Value = serde_json::from_str(
            fs::read_to_string(scene.folder.join("state/memory"))
                .ok()?
                .lines()
                .next()?,
        )
        .ok()?;
        memory["outages"].get(0).map(drop)
    });
    scene.kill();
    host.script(|_, _| ok());
    let before = host.calls().len();
    scene.start();
    until("three calls", || {
        (host.calls().len() >= before + 3).then_some(())
    });
    // Cold, it can take 0.8 a second and may get twice that; all twelve at once would push it over.
    let after = host.calls().split_off(before);
    assert!(
        after[2].at - after[0].at > Duration::from_millis(500),
        "{after:?}"
    );
}

#[test]
fn silent_discovery_is_polled_again_from_the_last_version() {
    let (old, new) = (Host::new(|_, _| ok()), Host::new(|_, _| ok()));
    let mut scene = Scene::started(vec![up("a", &old, 1)]);
    scene.discovery.push(5, &[entry("z", old.address, 9, "up")]);
    until("the change", || {
        (scene.enqueue("update", 9).1 == "+OK").then_some(())
    });
    scene
        .discovery
        .silent
        .store(true, std::sync::atomic::Ordering::SeqCst);
    // Calls go on meanwhile.
    let (id, _) = scene.enqueue("update", 1);
    until("the call", || old.calls_of(&id).first().cloned());
    let asked = || {
        scene
            .discovery
            .asked
            .lock()
            .unwrap()
            .iter()
            .filter(|l| l.contains("since=5"))
            .count()
    };
    until("new watches from the last version", || {
        (asked() >= 2).then_some(())
    });
    scene.discovery.push(6, &[up("b", &new, 2)]);
    scene
        .discovery
        .silent
        .store(false, std::sync::atomic::Ordering::SeqCst);
    let id = until("what was missed", || {
        let (id, answer) = scene.enqueue("update", 2);
        (answer == "+OK").then_some(id)
    });
    until("the call", || new.calls_of(&id).first().cloned());
}

#[test]
fn malformed_lines_of_discovery_are_skipped_and_made_good() {
    let (host, new) = (Host::new(|_, _| ok()), Host::new(|_, _| ok()));
    let mut scene = Scene::started(vec![up("a", &host, 1)]);
    scene.discovery.until_watched(1);
    scene
        .discovery
        .set_whole(vec![up("a", &host, 1), up("b", &new, 2)]);
    for line in [
        "{",
        "[]",
        "{\"seq\":3,\"whole\":false,\"hosts\":[{\"host\":\"b\"}]}",
        "\u{fffd}",
    ] {
        scene.discovery.push_text(3, line.into());
    }
    let id = until("the host of the lines that were lost", || {
        let (id, answer) = scene.enqueue("update", 2);
        (answer == "+OK").then_some(id)
    });
    until("the call", || new.calls_of(&id).first().cloned());
    assert!(
        scene.log().contains("discovery: list_rejected"),
        "{}",
        scene.log()
    );
}

#[test]
fn notices_go_on_until_they_are_taken_also_over_a_restart() {
    let host = Host::new(|_, _| Answer::Close);
    let mut scene = Scene::started(vec![up("a", &host, 1)]);
    scene
        .discovery
        .refuses
        .store(true, std::sync::atomic::Ordering::SeqCst);
    let (id, _) = scene.enqueue("payout", 1);
    let posts = || {
        scene
            .discovery
            .asked
            .lock()
            .unwrap()
            .iter()
            .filter(|l| l.starts_with("POST"))
            .count()
    };
    until("some tries", || (posts() >= 3).then_some(()));
    scene.kill();
    scene
        .discovery
        .refuses
        .store(false, std::sync::atomic::Ordering::SeqCst);
    scene.start();
    let notice = until("the notice", || scene.discovery.notice_of(&id));
    assert_eq!(notice["status"], "undeliverable");
    assert_eq!(host.calls_of(&id).len(), 1);
}

#[test]
fn malformed_frames_get_an_error_and_a_close() {
    let host = Host::new(|_, _| ok());
    let scene = Scene::started(vec![up("a", &host, 1)]);
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
        let mut client = scene.client();
        // It may be cut off before it has sent all.
        drop(client.reader.get_mut().write_all(case));
        let answer = client.line();
        let shown = String::from_utf8_lossy(&case[..case.len().min(40)]).into_owned();
        // Where bytes of ours are still unread, the close may overtake the answer.
        assert!(
            answer.starts_with("-ERR ") || (answer.is_empty() && case.len() > 4096),
            "{shown:?}: {answer}"
        );
        assert_eq!(client.line(), "", "{shown:?}");
    }
    let mut client = scene.client();
    client.send(b"*1\r\n$4\r\nPING\r\n");
    assert_eq!(client.line(), "+PONG");
}

#[test]
fn connections_that_are_kept_unused_keep_nobody_out() {
    let host = Host::new(|_, _| ok());
    let mut scene = Scene::new(vec![up("a", &host, 1)]);
    // Room for 20 clients.
    scene.config["limits"]["sockets"] = 64.into();
    scene.start();
    let (mut asked, mut silent) = (Vec::new(), Vec::new());
    for _ in 0..60 {
        let mut client = scene.client();
        client.send(&frame(&[b"PING"]));
        assert_eq!(client.line(), "+PONG");
        asked.push(client);
        silent.push(scene.client());
    }
    let (id, answer) = scene.enqueue("update", 1);
    assert_eq!(answer, "+OK");
    until("the call", || host.calls_of(&id).first().cloned());
}

#[test]
fn quiet_connections_are_closed_where_many_are_open_and_kept_where_few_are() {
    let host = Host::new(|_, _| ok());
    let mut scene = Scene::new(vec![up("a", &host, 1)]);
    scene.config["limits"]["sockets"] = 64.into();
    scene.start();
    let ask = |scene: &Scene| {
        let mut client = scene.client();
        client.send(&frame(&[b"PING"]));
        assert_eq!(client.line(), "+PONG");
        client
    };
    let mut alone = ask(&scene);
    std::thread::sleep(Duration::from_millis(4500));
    alone.send(&frame(&[b"PING"]));
    assert_eq!(alone.line(), "+PONG", "one alone is kept");
    // More than a third of the 20 places: clients that may hold no more of their own would be stuck.
    let start = Instant::now();
    let many: Vec<Client> = (0..10).map(|_| ask(&scene)).collect();
    let closed = many
        .into_iter()
        .filter_map(|mut client| client.line().is_empty().then_some(()));
    assert!(closed.take(4).count() == 4 && start.elapsed() < Duration::from_secs(20));
}

#[test]
fn a_connection_with_an_open_request_is_not_closed_to_make_room() {
    let host = Host::new(|_, _| ok());
    let mut scene = Scene::new(vec![up("a", &host, 1)]);
    scene.config["limits"]["sockets"] = 64.into();
    // Requests stay open for a round.
    scene.config["settings"]["tick"] = 1_000_000.into();
    scene.start();
    let mut first = scene.client();
    first.send(&frame(&[b"PING"]));
    assert_eq!(first.line(), "+PONG");
    std::thread::sleep(Duration::from_millis(50));
    first.send(&request("open", "update", 1, 20_000, b"x"));
    let others: Vec<Client> = (0..40)
        .map(|_| {
            let mut client = scene.client();
            client.send(&frame(&[b"PING"]));
            assert_eq!(client.line(), "+PONG");
            client
        })
        .collect();
    assert_eq!(first.line(), "+OK");
    drop(others);
}

#[test]
fn a_request_with_the_id_of_a_message_that_is_over_brings_nothing_new() {
    let host = Host::new(|_, _| ok());
    let mut scene = Scene::started(vec![up("a", &host, 1)]);
    let (id, answer) = scene.enqueue("payout", 1);
    assert_eq!(answer, "+OK");
    let mut client = scene.client();
    // Over once its call has been answered; the id is asked for until then and after.
    until("the call", || host.calls_of(&id).first().cloned());
    for _ in 0..50 {
        client.send(&request(&id, "payout", 1, 20_000, b"other"));
        assert_eq!(client.line(), "+OK");
    }
    let (last, _) = scene.enqueue("payout", 1);
    until("the last call", || host.calls_of(&last).first().cloned());
    assert_eq!(host.calls_of(&id).len(), 1);
}

/// A figure of the process in /proc: a status line's number, or the count of descriptors.
fn resident(scene: &Scene) -> usize {
    let id = scene.relay.as_ref().expect("runs").id();
    let status = fs::read_to_string(format!("/proc/{id}/status")).expect("a process");
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .expect("its memory");
    line.split_whitespace()
        .next()
        .and_then(|kb| kb.parse().ok())
        .expect("a number")
}

fn descriptors(scene: &Scene) -> usize {
    let id = scene.relay.as_ref().expect("runs").id();
    fs::read_dir(format!("/proc/{id}/fd"))
        .expect("a process")
        .count()
}

#[test]
fn ever_new_hosts_ids_keys_and_connections_leave_nothing_behind() {
    let host = Host::new(|_, _| ok());
    let mut scene = Scene::started(vec![up("h0", &host, 1)]);
    let mut seq = 1;
    let mut churn = |scene: &mut Scene, rounds: usize| {
        for _ in 0..rounds {
            // A new host at the address of the one that goes.
            seq += 1;
            let gone = entry(&format!("h{}", seq - 2), host.address, 1, "removed");
            scene
                .discovery
                .push(seq, &[up(&format!("h{}", seq - 1), &host, 1), gone]);
            for _ in 0..4 {
                // Each on a connection of its own, which is dropped.
                let (id, answer) = scene.enqueue("event", 1);
                assert_eq!(answer, "+OK");
                until("the call", || host.calls_of(&id).first().cloned());
            }
            host.seen.lock().unwrap().clear();
        }
    };
    churn(&mut scene, 150);
    let before = (resident(&scene), descriptors(&scene));
    churn(&mut scene, 600);
    let after = until("few descriptors", || {
        Some(descriptors(&scene)).filter(|now| *now < before.1 + 20)
    });
    let grown = resident(&scene).saturating_sub(before.0);
    // 2,400 messages, connections, ids and keys, and 600 hosts: a kilobyte left by each would be more.
    assert!(
        grown < 2048,
        "{before:?} grew by {grown} KB, {after} descriptors"
    );
}

#[test]
fn silent_clients_are_closed_and_half_requests_get_an_error() {
    let host = Host::new(|_, _| ok());
    let scene = Scene::started(vec![up("a", &host, 1)]);
    let text = request("half", "update", 1, 20_000, b"body");
    let mut clients: Vec<Client> = (0..4).map(|_| scene.client()).collect();
    clients[1].send(&text[..1]);
    clients[2].send(&text[..text.len() - 1]);
    // A whole request before it changes nothing.
    clients[3].send(&frame(&[b"PING"]));
    clients[3].send(&text[..40]);
    assert_eq!(clients[3].line(), "+PONG");
    assert_eq!(clients[0].line(), "", "closed with nothing to say");
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
fn an_error_line_arrives_though_its_client_goes_on_sending() {
    let host = Host::new(|_, _| ok());
    let scene = Scene::started(vec![up("a", &host, 1)]);
    let mut client = scene.client();
    // Far more than the relay has read when it finds the first byte wrong.
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
            .expect("an end and no reset"),
        0
    );
}

#[test]
fn wrong_requests_get_an_error_and_the_connection_stays() {
    let host = Host::new(|_, _| ok());
    let scene = Scene::started(vec![up("a", &host, 1)]);
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
    let mut client = scene.client();
    for case in &cases {
        client.send(case);
        let shown = String::from_utf8_lossy(&case[..case.len().min(90)]).into_owned();
        assert!(client.line().starts_with("-ERR "), "{shown:?}");
    }
    client.send(&request("last", "update", 1, 20_000, b"good"));
    assert_eq!(client.line(), "+OK");
    until("the call", || host.calls_of("last").first().cloned());
    assert_eq!(host.calls().len(), 1);
}

#[test]
fn bad_configuration_ends_the_start_with_one_line() {
    let scene = Scene::new(Vec::new());
    let mut bad = vec![Value::Null, serde_json::json!({}), serde_json::json!([1])];
    for (place, value) in [
        ("/seed", Value::from("xyz")),
        ("/listen", Value::from("nowhere")),
        ("/limits/sockets", Value::from(3)),
        ("/settings/services", serde_json::json!([])),
        ("/settings/limits/dialTimeout", Value::from("soon")),
        ("/settings/familyInfo/callsOut", Value::from(5000)),
        ("/known/hosts", serde_json::json!([{"host": "a"}])),
    ] {
        let mut config = scene.config.clone();
        *config.pointer_mut(place).expect("is there") = value;
        bad.push(config);
    }
    for config in bad {
        let mut scene = Scene::new(Vec::new());
        scene.config = config;
        let output = scene.command().output().expect("runs");
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            !output.status.success() && text.lines().count() == 1,
            "{text}"
        );
        assert!(
            text.starts_with("madderpitch: ") && !text.contains("panicked"),
            "{text}"
        );
    }
}
