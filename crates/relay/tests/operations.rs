//! Daily operation over loopback sockets: control socket, metrics, drains, changed settings, and upgrades under load.

mod api;
mod support;

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::os::fd::AsRawFd;
use std::process::{Child, Stdio};
use std::time::{Duration, Instant};

use serde_json::{json, Value};
use socket2::{Domain, Socket, Type};
use support::*;

fn up(name: &str, host: &Host, block: u16) -> Value {
    entry(name, host.address, block, "up")
}

/// The control socket's complete answer to some bytes.
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

/// The figures by name, which end with `eof`.
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

/// A relay with a control socket.
fn with_control_socket(known: Vec<Value>) -> (TestBed, SocketAddr) {
    let mut test_bed = TestBed::new(known);
    let control_address = bind().local_addr().expect("bound");
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
    // Half a line, and then nothing more to come.
    let mut half = TcpStream::connect(control_address).expect("open");
    half.write_all(b"rea").expect("sent");
    half.shutdown(Shutdown::Write).expect("shut");
    let mut rest = String::new();
    drop(half.read_to_string(&mut rest));
    assert!(!rest.starts_with("ok"), "{rest}");
    // Callers that say nothing keep no other out.
    let silent: Vec<_> = (0..200)
        .map(|_| TcpStream::connect(control_address).expect("taken"))
        .collect();
    let start = Instant::now();
    assert!(control_command(control_address, "ready").starts_with("ok"));
    assert!(start.elapsed() < Duration::from_secs(1));
    drop(silent);
}

/// However often metrics are requested, messages are served, and each answer is complete.
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
        assert!(seen.is_sorted(), "a count never falls: {seen:?}");
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
        entry("b", bind().local_addr().unwrap(), 2, "draining"),
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
    // An unsafe message that may have run fails for good.
    assert_eq!(
        test_bed.enqueue_body("payout", 1, 20_000, b"fails").1,
        "+OK"
    );
    assert!(test_bed
        .enqueue("update", 9)
        .1
        .starts_with("-ERR unknown destination"));
    // Nobody serves this one, and its time is short.
    assert_eq!(test_bed.enqueue_body("update", 2, 300, b"b").1, "+OK");
    wait_until("all to end", || {
        (metric(control_address, "concurrent") == 0).then_some(())
    });
    let told = metrics(control_address);
    let of = |name: &str| told[name];
    assert_eq!(
        (of("success.update"), of("error.payout"), of("error.update")),
        (5, 1, 1)
    );
    assert_eq!((of("overload.update"), of("success.payout")), (1, 0));
    assert_eq!(of("dispatches"), host.calls().len() as u64);
    wait_until("the view of hosts", || {
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
    assert!(ping(&test_bed).starts_with("-ERR"), "it says no at once");
    assert!(control_command(control_address, "ready").starts_with("fail"));
    assert!(
        control_command(control_address, "drain").starts_with("ok"),
        "drained twice is drained"
    );
    let start = Instant::now();
    assert_eq!(idle.line(), "", "the connection is closed");
    assert!(start.elapsed() < Duration::from_millis(1900));
    // Past the time of the front, a message is refused and harmless elsewhere.
    wait_until("a refusal", || {
        test_bed
            .enqueue("update", 1)
            .1
            .starts_with("-BUSY")
            .then_some(())
    });
    wait_until("the held message", || {
        (metric(control_address, "success.update") >= 1).then_some(())
    });
    assert_eq!(host.calls_of(&id).len(), 1);
    assert!(control_command(control_address, "resume").starts_with("ok"));
    assert_eq!(ping(&test_bed), "+PONG");
    assert!(
        control_command(control_address, "resume").starts_with("ok"),
        "resumed undrained is at work"
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
    wait_until("the file to be taken", || {
        (metric(control_address, "reload_success") == 1).then_some(())
    });
    assert_eq!(test_bed.enqueue("fresh", 1).1, "+OK");
    assert!(
        test_bed
            .enqueue("event", 1)
            .1
            .starts_with("-ERR unknown class"),
        "it went"
    );
    assert_eq!(
        metrics(control_address)["success.event"],
        0,
        "what it counted stays"
    );
    let change = |at: &str, value: Value| {
        let mut bad = new.clone();
        *bad.pointer_mut(at).expect("a key") = value;
        // Nothing of a broken file counts, discovery included.
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
        let turned_down =
            || (metric(control_address, "reload_failure") == number as u64 + 1).then_some(());
        wait_until("the file to be turned down", turned_down);
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
    // The class turns unsafe for what comes from now on, and another one goes.
    test_bed.config["settings"]["services"][1]["effect"] = json!("fragile");
    reload(&test_bed, &test_bed.config.to_string());
    wait_until("the file to be taken", || {
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
    wait_until("its delivery", || {
        (metric(control_address, "success.update") == 1).then_some(())
    });
    // One that is taken now is unsafe: after an error it is never called again.
    host.script(|_, _| status("500 Broken"));
    let (id, _) = test_bed.enqueue("update", 1);
    wait_until("its end", || {
        (metric(control_address, "error.update") == 1).then_some(())
    });
    assert_eq!(host.calls_of(&id).len(), 1);
}

/// The clients' listening socket, which the platform holds and every process inherits.
struct Held {
    socket: Socket,
}

impl Held {
    fn new(test_bed: &TestBed) -> Held {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.set_reuse_address(true).expect("set");
        rebind(&socket, test_bed.listen);
        socket.listen(128).expect("listens");
        socket.set_cloexec(false).expect("set");
        Held { socket }
    }

    /// Starts a process with a control socket of its own beside those that run.
    fn start(&self, test_bed: &TestBed) -> (Child, SocketAddr) {
        let control_address = bind().local_addr().expect("bound");
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(test_bed.folder.join("log"));
        let mut command = test_bed.command();
        command.env("BALANCER_SOCKET_FD", self.socket.as_raw_fd().to_string());
        command.env("BALANCER_CONTROL", control_address.to_string());
        let child = command
            .stdout(Stdio::null())
            .stderr(log.expect("a log"))
            .spawn()
            .expect("starts");
        (child, control_address)
    }
}

fn ready(control_address: SocketAddr) {
    wait_until("it to be ready", || {
        let mut stream = TcpStream::connect(control_address).ok()?;
        stream.write_all(b"ready\n").ok()?;
        let mut line = String::new();
        BufReader::new(stream).read_line(&mut line).ok()?;
        line.starts_with("ok").then_some(())
    });
}

fn end(mut child: Child) {
    drop(child.kill());
    drop(child.wait());
}

#[test]
fn new_version_takes_over_calls_messages_and_ids() {
    let slow = Host::new(|_, _| HostResponse::Delayed(1200, ok_text()));
    let down = bind().local_addr().expect("bound");
    let test_bed = &mut TestBed::new(vec![up("a", &slow, 1), entry("b", down, 2, "up")]);
    let held = Held::new(test_bed);
    let (mut old, old_control_address) = held.start(test_bed);
    ready(old_control_address);
    // One call is out at the moment of handing over, unsafe as it is; one message waits for a host that is down.
    let (out, answer) = test_bed.enqueue("payout", 1);
    assert_eq!(answer, "+OK");
    let (waits, answer) = test_bed.enqueue("update", 2);
    assert_eq!(answer, "+OK");
    wait_until("the call", || {
        (!slow.calls_of(&out).is_empty()).then_some(())
    });
    let (new, control_address) = held.start(test_bed);
    ready(control_address);
    assert!(
        control_command(old_control_address, "ready").starts_with("fail")
            || old.try_wait().expect("waits").is_some()
    );
    assert_eq!(metric(control_address, "concurrent"), 2);
    // Submitted again while its call is in flight at the other process: it is recognised, and nothing is sent twice.
    let mut client = test_bed.client();
    client.send(&request(&out, "payout", 1, 20_000, b"body"));
    assert_eq!(client.line(), "+OK");
    wait_until("the end of the call", || {
        (metric(control_address, "success.payout") == 1).then_some(())
    });
    wait_until("the old process to leave", || {
        old.try_wait().expect("waits")
    });
    assert_eq!(slow.calls_of(&out).len(), 1);
    let mut client = test_bed.client();
    client.send(&request(&out, "payout", 1, 20_000, b"body"));
    assert_eq!(client.line(), "+OK", "what was over is known too");
    // The one that waited is the new process's now.
    let listener = std::net::TcpListener::bind(down).expect("bound");
    let (mut stream, _) = listener.accept().expect("called");
    let mut text = [0; 2048];
    let n = stream.read(&mut text).expect("read");
    assert!(String::from_utf8_lossy(&text[..n]).contains(&waits));
    stream.write_all(ok_text().as_bytes()).expect("answered");
    wait_until("its delivery", || {
        (metric(control_address, "success.update") == 1).then_some(())
    });
    assert_eq!(slow.calls_of(&out).len(), 1);
    wait_until("the folder to be tidy", || {
        (!test_bed.folder.join("state/upgrade.state").exists()).then_some(())
    });
    end(new);
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
    let held = Held::new(test_bed);
    let (old, old_control_address) = held.start(test_bed);
    ready(old_control_address);
    let (id, answer) = test_bed.enqueue("payout", 1);
    assert_eq!(answer, "+OK");
    wait_until("the call", || {
        (!host.calls_of(&id).is_empty()).then_some(())
    });
    let (new, control_address) = held.start(test_bed);
    ready(control_address);
    end(old);
    // It is unsafe: it fails, and does not go again.
    wait_until("its notice", || {
        let notices = test_bed.discovery.notices.lock().unwrap();
        notices
            .iter()
            .any(|n| n["id"] == json!(id) && n["status"] == "undeliverable")
            .then_some(())
    });
    assert_eq!(host.calls_of(&id).len(), 1);
    assert_eq!(metric(control_address, "error.payout"), 1);
    end(new);
}

#[test]
fn new_version_killed_during_takeover_leaves_the_old_one_serving() {
    let host = Host::new(|_, _| HostResponse::Delayed(700, ok_text()));
    let test_bed = &mut TestBed::new(vec![up("a", &host, 1)]);
    let held = Held::new(test_bed);
    let (old, old_control_address) = held.start(test_bed);
    ready(old_control_address);
    assert!(control_command(old_control_address, "drain").starts_with("ok"));
    assert!(control_command(old_control_address, "resume").starts_with("ok"));
    let (id, answer) = test_bed.enqueue("payout", 1);
    assert_eq!(answer, "+OK");
    wait_until("the call", || {
        (!host.calls_of(&id).is_empty()).then_some(())
    });
    // It takes over, and dies.
    let (new, control_address) = held.start(test_bed);
    ready(control_address);
    end(new);
    ready(old_control_address);
    assert_eq!(ping(test_bed), "+PONG");
    wait_until("the call to end where it began", || {
        (metric(old_control_address, "success.payout") == 1).then_some(())
    });
    assert_eq!(host.calls_of(&id).len(), 1);
    let (id, answer) = test_bed.enqueue("update", 1);
    assert_eq!(answer, "+OK");
    wait_until("a delivery", || {
        (metric(old_control_address, "success.update") == 1).then_some(())
    });
    assert_eq!(host.calls_of(&id).len(), 1);
    // A request that its process did not live to see answered is dropped, and the next one is served.
    std::fs::write(test_bed.folder.join("state/upgrade.ask"), b"").expect("a file");
    wait_until("the request to go", || {
        (!test_bed.folder.join("state/upgrade.ask").exists()).then_some(())
    });
    assert!(control_command(old_control_address, "ready").starts_with("ok"));
    let (new, control_address) = held.start(test_bed);
    ready(control_address);
    end(new);
    end(old);
}

/// A new version that gets SIGTERM before the old one has read its request takes nothing over.
#[test]
fn new_version_stopped_while_waiting_leaves_the_old_one_serving() {
    let host = Host::new(|_, _| ok());
    let test_bed = &mut TestBed::new(vec![up("a", &host, 1)]);
    let held = Held::new(test_bed);
    let (old, old_control_address) = held.start(test_bed);
    ready(old_control_address);
    // It stands still, so that it cannot hand over first.
    send_signal(&old, "-STOP");
    let (mut new, _) = held.start(test_bed);
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
    ready(old_control_address);
    let (id, answer) = test_bed.enqueue("payout", 1);
    assert_eq!(answer, "+OK");
    wait_until("a delivery", || {
        (metric(old_control_address, "success.payout") == 1).then_some(())
    });
    assert_eq!(host.calls_of(&id).len(), 1);
    end(old);
}

/// The old version gets SIGTERM while a call of its own is in flight: it completes the call and reports its end to the new one.
#[test]
fn old_version_stopped_during_handover_completes_its_calls() {
    let host = Host::new(|_, _| HostResponse::Delayed(1500, ok_text()));
    let test_bed = &mut TestBed::new(vec![up("a", &host, 1)]);
    let held = Held::new(test_bed);
    let (mut old, old_control_address) = held.start(test_bed);
    ready(old_control_address);
    let (id, answer) = test_bed.enqueue("payout", 1);
    assert_eq!(answer, "+OK");
    wait_until("the call", || {
        (!host.calls_of(&id).is_empty()).then_some(())
    });
    let (new, control_address) = held.start(test_bed);
    ready(control_address);
    send_signal(&old, "-TERM");
    assert!(wait_until("the old one to leave", || old.try_wait().expect("waits")).success());
    wait_until("the end of the call", || {
        (metric(control_address, "success.payout") == 1).then_some(())
    });
    assert_eq!(
        (host.calls_of(&id).len(), test_bed.discovery.notice_for(&id)),
        (1, None)
    );
    end(new);
}

#[test]
fn drain_is_handed_over_and_a_third_process_is_rejected() {
    let host = Host::new(|_, _| HostResponse::Delayed(2500, ok_text()));
    let test_bed = &mut TestBed::new(vec![up("a", &host, 1)]);
    let held = Held::new(test_bed);
    let (mut old, old_control_address) = held.start(test_bed);
    ready(old_control_address);
    assert_eq!(test_bed.enqueue("update", 1).1, "+OK");
    wait_until("the call", || (!host.calls().is_empty()).then_some(()));
    assert!(control_command(old_control_address, "drain").starts_with("ok"));
    let (new, control_address) = held.start(test_bed);
    wait_until("its control socket", || {
        TcpStream::connect(control_address).ok()
    });
    wait_until("it to have taken over", || {
        control_command(control_address, "ready")
            .contains("draining")
            .then_some(())
    });
    // While the old one's call is out there are two; a third is one too many.
    let (mut third, _) = held.start(test_bed);
    let status = wait_until("the third to end", || third.try_wait().expect("waits"));
    assert!(!status.success());
    assert!(
        test_bed
            .log()
            .contains("another process is about to take over already"),
        "{}",
        test_bed.log()
    );
    assert!(control_command(control_address, "resume").starts_with("ok"));
    assert_eq!(ping(test_bed), "+PONG");
    wait_until("the old process to leave", || {
        old.try_wait().expect("waits")
    });
    assert_eq!(host.calls().len(), 1);
    end(new);
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
    // A journal of a form to come is left as it is.
    let journal = test_bed.journal();
    let body = [200u8, 1, 2, 3];
    let mut text = (body.len() as u32).to_le_bytes().to_vec();
    text.extend(crc32fast::hash(&body).to_le_bytes());
    text.extend(body);
    std::fs::write(&journal, &text).expect("a file");
    fails("BALANCER_NAME", "n0", "a newer version");
    assert_eq!(std::fs::read(&journal).expect("a file"), text);
}

/// No client may meet a refused, reset or unread connection, whatever it does while versions change.
#[test]
fn clients_see_no_errors_during_upgrades_under_load() {
    let host = Host::new(|_, _| ok());
    let test_bed = &mut TestBed::new(vec![up("a", &host, 1)]);
    let held = Held::new(test_bed);
    let (mut old, control_address) = held.start(test_bed);
    ready(control_address);
    let listen = test_bed.listen;
    let over = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
    let workers: Vec<_> = (0..4)
        .map(|worker| {
            let over = over.clone();
            std::thread::spawn(move || {
                // A connection that the relay has closed between two requests is replaced, as the protocol has it.
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
                            // Closed meanwhile?
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
        let (new, control_address) = held.start(test_bed);
        ready(control_address);
        wait_until("the old process to leave", || {
            old.try_wait().expect("waits")
        });
        old = new;
    }
    over.store(true, std::sync::atomic::Ordering::SeqCst);
    let (mut sent, mut unread) = (0, 0);
    for worker in workers {
        let (s, u) = worker.join().expect("a worker ends well");
        (sent, unread) = (sent + s, unread + u);
    }
    assert!(sent > 20, "only {sent} were sent");
    assert!(
        unread <= 6,
        "{unread} of {sent} met a connection that was closed before it was read"
    );
    wait_until("all deliveries", || {
        let ids: std::collections::BTreeSet<_> =
            host.calls().into_iter().map(|seen| seen.id).collect();
        (ids.len() as u32 >= sent).then_some(())
    });
    let calls = host.calls();
    let ids: std::collections::BTreeSet<_> = calls.iter().map(|seen| &seen.id).collect();
    assert_eq!(ids.len(), calls.len(), "a message was called twice");
    end(old);
}

/// Answers to administrators and the used rates of tenants are handed over as well.
#[test]
fn administration_api_responses_and_used_rates_are_handed_over() {
    let host = Host::new(|_, _| ok());
    let (mut test_bed, address) =
        api::new_with_tenants(vec![up("a", &host, 1)], "import = false", "");
    let held = Held::new(&test_bed);
    let (mut old, old_control_address) = held.start(&test_bed);
    ready(old_control_address);
    let api = api::Api::new(&address, Some(&api::token("root")));
    // Three at once, and then one a minute.
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
        let (new, control_address) = held.start(&test_bed);
        ready(control_address);
        // It serves the API before it says yes.
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
        wait_until("the old process to leave", || {
            old.try_wait().expect("waits")
        });
        (old, _) = (new, control_address);
    }
    end(old);
}
