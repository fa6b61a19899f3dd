//! Operation over loopback sockets: control socket, metrics, drains, configuration reloads, and upgrades under load.

mod api;
mod support;

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use serde_json::{json, Value};
use support::upgrade::{kill, wait_until_ready, SharedListener};
use support::*;

fn up(name: &str, host: &Host, block: u16) -> Value {
    entry(name, host.address, block, "up")
}

/// Sends bytes to the control socket and returns its complete reply.
fn send_to_control_socket(at: SocketAddr, text: &[u8]) -> String {
    let mut stream = TcpStream::connect(at).expect("the control socket accepts connections");
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set");
    stream.write_all(text).expect("sent");
    let mut answer = String::new();
    drop(stream.read_to_string(&mut answer));
    answer
}

fn control_command(at: SocketAddr, word: &str) -> String {
    send_to_control_socket(at, format!("{word}\n").as_bytes())
}

/// All metrics by name. The reply must end with `eof`.
fn metrics(at: SocketAddr) -> BTreeMap<String, u64> {
    let text = control_command(at, "show-stat");
    assert!(
        text.starts_with("ok") && text.ends_with("\neof\n"),
        "{text}"
    );
    let pairs = text
        .lines()
        .filter_map(|line| line.strip_prefix("relay.")?.split_once('='));
    pairs
        .map(|(name, value)| (name.to_string(), value.parse().expect("a number")))
        .collect()
}

fn metric(at: SocketAddr, name: &str) -> u64 {
    metrics(at)[name]
}

/// Prepares a relay with a control socket; returns it with the address of the socket.
fn with_control_socket(known: Vec<Value>) -> (TestBed, SocketAddr) {
    let mut test_bed = TestBed::new(known);
    let control_address = unused_address();
    test_bed.config["control"] = json!(control_address.to_string());
    (test_bed, control_address)
}

fn ping(test_bed: &TestBed) -> String {
    let mut client = test_bed.client();
    client.send(b"*1\r\n$4\r\nPING\r\n");
    client.line()
}

/// Replaces the configuration and sends SIGHUP.
fn reload(test_bed: &TestBed, text: &str) {
    std::fs::write(test_bed.folder.join("config.json"), text).expect("a file");
    test_bed.signal("-HUP");
}

#[test]
fn control_socket_answers_commands_and_rejects_other_input() {
    let host = Host::new(|_, _| ok());
    let (mut test_bed, control_address) = with_control_socket(vec![up("a", &host, 1)]);
    test_bed.start();
    assert!(control_command(control_address, "ready").starts_with("ok"));
    assert!(send_to_control_socket(control_address, b"show-stat\r\n").ends_with("eof\n"));
    for text in [&b"reboot\n"[..], b"\n", b"\xff\xfe\x00\n", &[b'x'; 500]] {
        let answer = send_to_control_socket(control_address, text);
        assert!(
            answer.starts_with("fail") && answer.lines().count() == 1,
            "{answer}"
        );
    }
    // Half a line, then the end of the stream.
    let mut half = TcpStream::connect(control_address).expect("open");
    half.write_all(b"rea").expect("sent");
    half.shutdown(Shutdown::Write).expect("shut");
    let mut rest = String::new();
    drop(half.read_to_string(&mut rest));
    assert!(!rest.starts_with("ok"), "{rest}");
    // Silent connections do not block other callers.
    let silent: Vec<_> = (0..200)
        .map(|_| TcpStream::connect(control_address).expect("connects"))
        .collect();
    let start = Instant::now();
    assert!(control_command(control_address, "ready").starts_with("ok"));
    assert!(start.elapsed() < Duration::from_secs(1));
    drop(silent);
}

/// Messages are served and each reply is complete, however often metrics are requested.
#[test]
fn flood_of_control_connections_does_not_delay_commands() {
    let host = Host::new(|_, _| ok());
    let (mut test_bed, control_address) = with_control_socket(vec![up("a", &host, 1)]);
    test_bed.start();
    let callers: Vec<_> = (0..4)
        .map(|_| {
            std::thread::spawn(move || {
                (0..250)
                    .map(|_| metric(control_address, "success.update"))
                    .collect::<Vec<u64>>()
            })
        })
        .collect();
    for _ in 0..20 {
        assert_eq!(test_bed.enqueue("update", 1).1, "+OK");
    }
    for caller in callers {
        let seen = caller.join().expect("all calls are answered");
        assert!(seen.is_sorted(), "a counter must not decrease: {seen:?}");
    }
    wait_until("the deliveries", || {
        (metric(control_address, "success.update") == 20).then_some(())
    });
}

#[test]
fn metrics_count_how_messages_ended() {
    let host = Host::new(|seen, _| match seen.body.as_slice() {
        b"fails" => status("500 Broken"),
        _ => ok(),
    });
    let (mut test_bed, control_address) = with_control_socket(vec![
        up("a", &host, 1),
        entry("b", unused_address(), 2, "draining"),
    ]);
    test_bed.start();
    let none = metrics(control_address);
    for class in ["event", "update", "payout"] {
        for figure in ["success", "overload", "error"] {
            assert_eq!(
                none[&format!("{figure}.{class}")],
                0,
                "all classes are listed from the start"
            );
        }
    }
    for _ in 0..5 {
        assert_eq!(test_bed.enqueue("update", 1).1, "+OK");
    }
    // An unsafe message that may have executed fails permanently.
    assert_eq!(
        test_bed.enqueue_body("payout", 1, 20_000, b"fails").1,
        "+OK"
    );
    assert!(test_bed
        .enqueue("update", 9)
        .1
        .starts_with("-ERR unknown destination"));
    // No active host serves this destination, and the deadline is short.
    assert_eq!(test_bed.enqueue_body("update", 2, 300, b"b").1, "+OK");
    wait_until("all messages to end", || {
        (metric(control_address, "concurrent") == 0).then_some(())
    });
    let counted = metrics(control_address);
    let of = |name: &str| counted[name];
    assert_eq!(
        (of("success.update"), of("error.payout"), of("error.update")),
        (5, 1, 1)
    );
    assert_eq!((of("overload.update"), of("success.payout")), (1, 0));
    assert_eq!(of("dispatches"), host.calls().len() as u64);
    wait_until("the host count", || {
        (metric(control_address, "targets_disabled") >= 1).then_some(())
    });
    assert_eq!(metric(control_address, "targets"), 2);
}

#[test]
fn drained_relay_is_not_ready_closes_clients_and_delivers_queued_messages() {
    let host = Host::new(|_, before| {
        if before == 0 {
            HostResponse::Delayed(2500, ok_text())
        } else {
            ok()
        }
    });
    let (mut test_bed, control_address) = with_control_socket(vec![up("a", &host, 1)]);
    test_bed.start();
    let mut idle = test_bed.client();
    idle.send(b"*1\r\n$4\r\nPING\r\n");
    assert_eq!(idle.line(), "+PONG");
    let (id, answer) = test_bed.enqueue("update", 1);
    assert_eq!(answer, "+OK");
    assert!(control_command(control_address, "drain").starts_with("ok"));
    assert!(
        ping(&test_bed).starts_with("-ERR"),
        "a draining relay rejects PING immediately"
    );
    assert!(control_command(control_address, "ready").starts_with("fail"));
    assert!(
        control_command(control_address, "drain").starts_with("ok"),
        "a second drain succeeds"
    );
    let start = Instant::now();
    assert_eq!(idle.line(), "", "the connection is closed");
    assert!(start.elapsed() < Duration::from_millis(1900));
    // Once the front end has had its time to stop sending, a message is rejected and can safely be submitted elsewhere.
    wait_until("a rejection", || {
        test_bed
            .enqueue("update", 1)
            .1
            .starts_with("-BUSY")
            .then_some(())
    });
    wait_until("the queued message", || {
        (metric(control_address, "success.update") >= 1).then_some(())
    });
    assert_eq!(host.calls_of(&id).len(), 1);
    assert!(control_command(control_address, "resume").starts_with("ok"));
    assert_eq!(ping(&test_bed), "+PONG");
    assert!(
        control_command(control_address, "resume").starts_with("ok"),
        "resume succeeds without a drain"
    );
    assert_eq!(test_bed.enqueue("update", 1).1, "+OK");
}

#[test]
fn new_settings_apply_immediately_and_invalid_ones_change_nothing() {
    let host = Host::new(|_, _| ok());
    let (mut test_bed, control_address) = with_control_socket(vec![up("a", &host, 1)]);
    test_bed.start();
    assert!(test_bed
        .enqueue("fresh", 1)
        .1
        .starts_with("-ERR unknown class"));
    let mut new = test_bed.config.clone();
    let mut class = new["settings"]["services"][1].clone();
    class["name"] = json!("fresh");
    new["settings"]["services"]
        .as_array_mut()
        .expect("a list")
        .push(class);
    new["settings"]["services"]
        .as_array_mut()
        .expect("a list")
        .remove(0);
    reload(&test_bed, &new.to_string());
    wait_until("the file to be applied", || {
        (metric(control_address, "reload_success") == 1).then_some(())
    });
    assert_eq!(test_bed.enqueue("fresh", 1).1, "+OK");
    assert!(
        test_bed
            .enqueue("event", 1)
            .1
            .starts_with("-ERR unknown class"),
        "the class was removed"
    );
    assert_eq!(
        metrics(control_address)["success.event"],
        0,
        "the metrics of a removed class remain"
    );
    let change = |at: &str, value: Value| {
        let mut bad = new.clone();
        *bad.pointer_mut(at).expect("a key") = value;
        // No part of an invalid file takes effect, the discovery address included.
        bad["discovery"] = json!("127.0.0.1:1");
        bad.to_string()
    };
    let lacks = |key: &str| {
        let mut bad = new.clone();
        bad["settings"]["limits"]
            .as_object_mut()
            .expect("an object")
            .remove(key);
        bad.to_string()
    };
    let whole = new.to_string();
    let broken = [
        String::new(),
        whole[..whole.len() / 2].to_string(),
        "{}".into(),
        change("/settings/limits/maxAttempts", json!(0)),
        change("/settings/limits/maxAttempts", json!("many")),
        change("/settings/services/0/giveUp", json!(-1)),
        change("/settings/services/0/giveUp", json!(0)),
        change("/settings/services/0/effect", json!("perhaps")),
        lacks("retryAfter"),
        lacks("maxAttempts"),
    ];
    for (number, text) in broken.iter().enumerate() {
        reload(&test_bed, text);
        let rejected =
            || (metric(control_address, "reload_failure") == number as u64 + 1).then_some(());
        wait_until("the file to be rejected", rejected);
        assert_eq!(test_bed.enqueue("fresh", 1).1, "+OK", "{text}");
    }
    assert_eq!(metric(control_address, "reload_success"), 1);
    assert!(!test_bed.log().contains("discovery=127.0.0.1:1\n"));
}

#[test]
fn message_keeps_its_class_settings_after_reload_and_restart() {
    // The host answers with errors until the script changes: an idempotent class is retried.
    let host = Host::new(|_, _| status("500 Broken"));
    let (mut test_bed, control_address) = with_control_socket(vec![up("a", &host, 1)]);
    test_bed.start();
    let (id, answer) = test_bed.enqueue("update", 1);
    assert_eq!(answer, "+OK");
    wait_until("the first call", || {
        (!host.calls_of(&id).is_empty()).then_some(())
    });
    // The class becomes unsafe for messages accepted from now on.
    test_bed.config["settings"]["services"][1]["effect"] = json!("fragile");
    reload(&test_bed, &test_bed.config.to_string());
    wait_until("the file to be applied", || {
        (metric(control_address, "reload_success") == 1).then_some(())
    });
    let before = host.calls_of(&id).len();
    wait_until("another call", || {
        (host.calls_of(&id).len() > before).then_some(())
    });
    test_bed.kill();
    test_bed.start();
    let before = host.calls_of(&id).len();
    wait_until("a call after the restart", || {
        (host.calls_of(&id).len() > before).then_some(())
    });
    host.script(|_, _| ok());
    wait_until("the delivery", || {
        (metric(control_address, "success.update") == 1).then_some(())
    });
    // A message accepted now is unsafe: after an error it is never sent again.
    host.script(|_, _| status("500 Broken"));
    let (id, _) = test_bed.enqueue("update", 1);
    wait_until("the failure of the message", || {
        (metric(control_address, "error.update") == 1).then_some(())
    });
    assert_eq!(host.calls_of(&id).len(), 1);
}

#[test]
fn new_version_takes_over_calls_messages_and_ids() {
    let slow = Host::new(|_, _| HostResponse::Delayed(1200, ok_text()));
    let down = unused_address();
    let test_bed = &mut TestBed::new(vec![up("a", &slow, 1), entry("b", down, 2, "up")]);
    let shared_listener = SharedListener::new(test_bed);
    let (mut old, old_control_address) = shared_listener.start(test_bed);
    wait_until_ready(old_control_address);
    // At the hand-over, an unsafe call is in flight and one message waits for a host that is down.
    let (out, answer) = test_bed.enqueue("payout", 1);
    assert_eq!(answer, "+OK");
    let (waits, answer) = test_bed.enqueue("update", 2);
    assert_eq!(answer, "+OK");
    wait_until("the call", || {
        (!slow.calls_of(&out).is_empty()).then_some(())
    });
    let (new, control_address) = shared_listener.start(test_bed);
    wait_until_ready(control_address);
    assert!(
        control_command(old_control_address, "ready").starts_with("fail")
            || old.try_wait().expect("waits").is_some()
    );
    assert_eq!(metric(control_address, "concurrent"), 2);
    // The message is submitted again while its call is in flight at the other process: it is recognised and not sent twice.
    let mut client = test_bed.client();
    client.send(&request(&out, "payout", 1, 20_000, b"body"));
    assert_eq!(client.line(), "+OK");
    wait_until("the end of the call", || {
        (metric(control_address, "success.payout") == 1).then_some(())
    });
    wait_until("the old process to exit", || old.try_wait().expect("waits"));
    assert_eq!(slow.calls_of(&out).len(), 1);
    let mut client = test_bed.client();
    client.send(&request(&out, "payout", 1, 20_000, b"body"));
    assert_eq!(
        client.line(),
        "+OK",
        "ids of ended messages are recognised too"
    );
    // The new process sends the message that waited.
    let listener = std::net::TcpListener::bind(down).expect("bound");
    let (mut stream, _) = listener.accept().expect("called");
    let mut text = [0; 2048];
    let n = stream.read(&mut text).expect("read");
    assert!(String::from_utf8_lossy(&text[..n]).contains(&waits));
    stream.write_all(ok_text().as_bytes()).expect("answered");
    wait_until("the delivery", || {
        (metric(control_address, "success.update") == 1).then_some(())
    });
    assert_eq!(slow.calls_of(&out).len(), 1);
    wait_until("the hand-over state to be removed", || {
        (!test_bed.folder.join("state/upgrade.state").exists()).then_some(())
    });
    kill(new);
}

#[test]
fn call_interrupted_by_kill_of_old_process_may_have_executed() {
    let host = Host::new(|seen, _| {
        if seen.key.is_some() {
            ok()
        } else {
            HostResponse::Hang
        }
    });
    let test_bed = &mut TestBed::new(vec![up("a", &host, 1)]);
    let shared_listener = SharedListener::new(test_bed);
    let (old, old_control_address) = shared_listener.start(test_bed);
    wait_until_ready(old_control_address);
    let (id, answer) = test_bed.enqueue("payout", 1);
    assert_eq!(answer, "+OK");
    wait_until("the call", || {
        (!host.calls_of(&id).is_empty()).then_some(())
    });
    let (new, control_address) = shared_listener.start(test_bed);
    wait_until_ready(control_address);
    kill(old);
    // The message is unsafe: it fails and is not sent again.
    wait_until("the notice", || {
        let notices = test_bed.discovery.notices.lock().unwrap();
        notices
            .iter()
            .any(|n| n["id"] == json!(id) && n["status"] == "undeliverable")
            .then_some(())
    });
    assert_eq!(host.calls_of(&id).len(), 1);
    assert_eq!(metric(control_address, "error.payout"), 1);
    kill(new);
}

#[test]
fn new_version_killed_during_takeover_leaves_the_old_one_serving() {
    let host = Host::new(|_, _| HostResponse::Delayed(700, ok_text()));
    let test_bed = &mut TestBed::new(vec![up("a", &host, 1)]);
    let shared_listener = SharedListener::new(test_bed);
    let (old, old_control_address) = shared_listener.start(test_bed);
    wait_until_ready(old_control_address);
    assert!(control_command(old_control_address, "drain").starts_with("ok"));
    assert!(control_command(old_control_address, "resume").starts_with("ok"));
    let (id, answer) = test_bed.enqueue("payout", 1);
    assert_eq!(answer, "+OK");
    wait_until("the call", || {
        (!host.calls_of(&id).is_empty()).then_some(())
    });
    // The new process takes over and is killed.
    let (new, control_address) = shared_listener.start(test_bed);
    wait_until_ready(control_address);
    kill(new);
    wait_until_ready(old_control_address);
    assert_eq!(ping(test_bed), "+PONG");
    wait_until("the call to end at the old process", || {
        (metric(old_control_address, "success.payout") == 1).then_some(())
    });
    assert_eq!(host.calls_of(&id).len(), 1);
    let (id, answer) = test_bed.enqueue("update", 1);
    assert_eq!(answer, "+OK");
    wait_until("a delivery", || {
        (metric(old_control_address, "success.update") == 1).then_some(())
    });
    assert_eq!(host.calls_of(&id).len(), 1);
    // A take-over request left by a process that has died is dropped, and the next one is served.
    std::fs::write(test_bed.folder.join("state/upgrade.ask"), b"").expect("a file");
    wait_until("the request to be dropped", || {
        (!test_bed.folder.join("state/upgrade.ask").exists()).then_some(())
    });
    assert!(control_command(old_control_address, "ready").starts_with("ok"));
    let (new, control_address) = shared_listener.start(test_bed);
    wait_until_ready(control_address);
    kill(new);
    kill(old);
}

/// A new version that receives SIGTERM before the old one has read its request takes nothing over.
#[test]
fn new_version_stopped_while_waiting_leaves_the_old_one_serving() {
    let host = Host::new(|_, _| ok());
    let test_bed = &mut TestBed::new(vec![up("a", &host, 1)]);
    let shared_listener = SharedListener::new(test_bed);
    let (old, old_control_address) = shared_listener.start(test_bed);
    wait_until_ready(old_control_address);
    // The old process is suspended so that it cannot hand over first.
    send_signal(&old, "-STOP");
    let (mut new, _) = shared_listener.start(test_bed);
    wait_until("the request", || {
        test_bed
            .folder
            .join("state/upgrade.ask")
            .exists()
            .then_some(())
    });
    send_signal(&new, "-TERM");
    assert!(wait_until("the new one to end", || new.try_wait().expect("waits")).success());
    send_signal(&old, "-CONT");
    wait_until_ready(old_control_address);
    let (id, answer) = test_bed.enqueue("payout", 1);
    assert_eq!(answer, "+OK");
    wait_until("a delivery", || {
        (metric(old_control_address, "success.payout") == 1).then_some(())
    });
    assert_eq!(host.calls_of(&id).len(), 1);
    kill(old);
}

/// The old version receives SIGTERM while a call of its own is in flight: it completes the call and reports the outcome to
/// the new one.
#[test]
fn old_version_stopped_during_handover_completes_its_calls() {
    let host = Host::new(|_, _| HostResponse::Delayed(1500, ok_text()));
    let test_bed = &mut TestBed::new(vec![up("a", &host, 1)]);
    let shared_listener = SharedListener::new(test_bed);
    let (mut old, old_control_address) = shared_listener.start(test_bed);
    wait_until_ready(old_control_address);
    let (id, answer) = test_bed.enqueue("payout", 1);
    assert_eq!(answer, "+OK");
    wait_until("the call", || {
        (!host.calls_of(&id).is_empty()).then_some(())
    });
    let (new, control_address) = shared_listener.start(test_bed);
    wait_until_ready(control_address);
    send_signal(&old, "-TERM");
    assert!(wait_until("the old one to exit", || old.try_wait().expect("waits")).success());
    wait_until("the end of the call", || {
        (metric(control_address, "success.payout") == 1).then_some(())
    });
    assert_eq!(
        (host.calls_of(&id).len(), test_bed.discovery.notice_for(&id)),
        (1, None)
    );
    kill(new);
}

#[test]
fn drain_is_handed_over_and_a_third_process_is_rejected() {
    let host = Host::new(|_, _| HostResponse::Delayed(2500, ok_text()));
    let test_bed = &mut TestBed::new(vec![up("a", &host, 1)]);
    let shared_listener = SharedListener::new(test_bed);
    let (mut old, old_control_address) = shared_listener.start(test_bed);
    wait_until_ready(old_control_address);
    assert_eq!(test_bed.enqueue("update", 1).1, "+OK");
    wait_until("the call", || (!host.calls().is_empty()).then_some(()));
    assert!(control_command(old_control_address, "drain").starts_with("ok"));
    let (new, control_address) = shared_listener.start(test_bed);
    wait_until("its control socket", || {
        TcpStream::connect(control_address).ok()
    });
    wait_until("the new process to have taken over", || {
        control_command(control_address, "ready")
            .contains("draining")
            .then_some(())
    });
    // While the old process has a call in flight, two processes run; a third is rejected.
    let (mut third, _) = shared_listener.start(test_bed);
    let status = wait_until("the third to end", || third.try_wait().expect("waits"));
    assert!(!status.success());
    assert!(
        test_bed
            .log()
            .contains("another process is already waiting to take over"),
        "{}",
        test_bed.log()
    );
    assert!(control_command(control_address, "resume").starts_with("ok"));
    assert_eq!(ping(test_bed), "+PONG");
    wait_until("the old process to exit", || old.try_wait().expect("waits"));
    assert_eq!(host.calls().len(), 1);
    kill(new);
}

#[test]
fn failed_startup_reports_one_line() {
    let host = Host::new(|_, _| ok());
    let (test_bed, _) = with_control_socket(vec![up("a", &host, 1)]);
    let fails = |name: &str, value: &str, says: &str| {
        let mut command = test_bed.command();
        let output = command.env(name, value).output().expect("runs");
        let text = String::from_utf8_lossy(&output.stderr).to_string();
        assert!(!output.status.success() && text.contains(says), "{text}");
        assert_eq!(
            text.trim_end()
                .lines()
                .filter(|line| line.starts_with("madderpitch:"))
                .count(),
            1,
            "{text}"
        );
    };
    let taken = bind();
    let at = taken.local_addr().expect("bound").to_string();
    fails("BALANCER_CONTROL", &at, "cannot listen for operators");
    fails("BALANCER_CONTROL", "here", "no address and port");
    fails(
        "BALANCER_SOCKET_FD",
        "soon",
        "invalid socket descriptor \"soon\": not a number",
    );
    fails("BALANCER_SOCKET_FD", "1", "cannot listen on descriptor 1");
    fails(
        "BALANCER_SOCKET_FD",
        "977",
        "cannot listen on descriptor 977",
    );
    // A journal in the format of a newer version is left unchanged.
    let journal = test_bed.journal();
    let body = [200u8, 1, 2, 3];
    let mut text = (body.len() as u32).to_le_bytes().to_vec();
    text.extend(crc32fast::hash(&body).to_le_bytes());
    text.extend(body);
    std::fs::write(&journal, &text).expect("a file");
    fails("BALANCER_NAME", "n0", "a newer version");
    assert_eq!(std::fs::read(&journal).expect("a file"), text);
}

/// No client may meet a refused, reset or unread connection during upgrades, whatever it does.
#[test]
fn clients_see_no_errors_during_upgrades_under_load() {
    let host = Host::new(|_, _| ok());
    let test_bed = &mut TestBed::new(vec![up("a", &host, 1)]);
    let shared_listener = SharedListener::new(test_bed);
    let (mut old, control_address) = shared_listener.start(test_bed);
    wait_until_ready(control_address);
    let listen = test_bed.listen;
    let over = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
    let workers: Vec<_> = (0..4)
        .map(|worker| {
            let over = over.clone();
            std::thread::spawn(move || {
                // As the protocol requires, a connection that the relay closed between two requests is replaced.
                let (mut sent, mut unread, mut open) = (0u32, 0u32, None);
                while !over.load(std::sync::atomic::Ordering::SeqCst) {
                    let id = format!("w{worker}x{sent}");
                    let mut stream: TcpStream = open.take().unwrap_or_else(|| {
                        let stream = TcpStream::connect(listen).expect("never refused");
                        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("set");
                        stream
                    });
                    drop(stream.write_all(&request(&id, "update", 1, 20_000, b"body")));
                    let mut answer = [0; 5];
                    match stream.read_exact(&mut answer) {
                        Ok(()) => {
                            assert_eq!(&answer, b"+OK\r\n");
                            sent += 1;
                            std::thread::sleep(Duration::from_millis(3));
                            // Check whether the relay has closed the connection meanwhile.
                            stream.set_nonblocking(true).expect("set");
                            let closed = matches!(stream.peek(&mut [0]), Ok(0));
                            stream.set_nonblocking(false).expect("set");
                            open = (!closed).then_some(stream);
                        }
                        Err(_) => unread += 1,
                    }
                }
                (sent, unread)
            })
        })
        .collect();
    for _ in 0..3 {
        let (new, control_address) = shared_listener.start(test_bed);
        wait_until_ready(control_address);
        wait_until("the old process to exit", || old.try_wait().expect("waits"));
        old = new;
    }
    over.store(true, std::sync::atomic::Ordering::SeqCst);
    let (mut sent, mut unread) = (0, 0);
    for worker in workers {
        let (s, u) = worker.join().expect("no worker panics");
        (sent, unread) = (sent + s, unread + u);
    }
    assert!(sent > 20, "only {sent} requests were sent");
    assert!(
        unread <= 6,
        "{unread} of {sent} requests met a connection that was closed before it was read"
    );
    wait_until("all deliveries", || {
        let ids: std::collections::BTreeSet<_> =
            host.calls().into_iter().map(|seen| seen.id).collect();
        (ids.len() as u32 >= sent).then_some(())
    });
    let calls = host.calls();
    let ids: std::collections::BTreeSet<_> = calls.iter().map(|seen| &seen.id).collect();
    assert_eq!(ids.len(), calls.len(), "a message was called twice");
    kill(old);
}

/// The new version answers administrators, and the used rates of tenants are handed over.
#[test]
fn administration_api_responses_and_used_rates_are_handed_over() {
    let host = Host::new(|_, _| ok());
    let (mut test_bed, address) =
        api::new_with_tenants(vec![up("a", &host, 1)], "import = false", "");
    let shared_listener = SharedListener::new(&test_bed);
    let (mut old, old_control_address) = shared_listener.start(&test_bed);
    wait_until_ready(old_control_address);
    let api = api::Api::new(&address, Some(&api::token("root")));
    // A burst of three, then one message per minute.
    let rate = json!({"weight": 1, "rate": {"per_second": 1.0 / 60.0, "burst": 3}});
    assert_eq!(api.create("acme", rate).status, 201);
    for _ in 0..3 {
        assert_eq!(test_bed.enqueue_for("acme", "update", 1, 9000).1, "+OK");
    }
    wait_until("the deliveries", || {
        (metric(old_control_address, "success.update") == 3).then_some(())
    });
    for weight in 2..5 {
        let before = test_bed.enqueue_for("acme", "update", 1, 9000).1;
        assert!(before.starts_with("-BUSY"), "{before}");
        let (new, control_address) = shared_listener.start(&test_bed);
        wait_until_ready(control_address);
        // The new process serves the API before it reports that it is ready.
        let shown = api.get("/v1/tenants/acme");
        assert_eq!(
            (shown.status, shown.body["spec"]["weight"].as_u64()),
            (200, Some(weight - 1))
        );
        let changed = api
            .patch("acme", shown.tag(), json!({"weight": weight}))
            .expect("an answer");
        assert_eq!(changed.status, 200);
        let after = test_bed.enqueue_for("acme", "update", 1, 9000).1;
        assert!(after.starts_with("-BUSY"), "{after}");
        wait_until("the old process to exit", || old.try_wait().expect("waits"));
        (old, _) = (new, control_address);
    }
    kill(old);
}
