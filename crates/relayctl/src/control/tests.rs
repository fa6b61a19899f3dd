use std::net::TcpListener;
use std::thread::{self, JoinHandle};

use super::*;

/// Starts a control socket that sends this reply. The thread returns the line that it received.
fn control_socket(reply: &'static str) -> (SocketAddr, JoinHandle<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let received = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a client");
        let mut line = [0; 32];
        let length = stream.read(&mut line).expect("a line");
        stream.write_all(reply.as_bytes()).expect("written");
        String::from_utf8_lossy(&line[..length]).to_string()
    });
    (address, received)
}

/// The result of a command that receives this reply, and the line that it sent.
fn execute_with_reply(
    command: ControlCommand,
    reply: &'static str,
    output: OutputFormat,
) -> (Result<String, CommandError>, String) {
    let (address, received) = control_socket(reply);
    let result = execute(
        &ControlArguments { address, command },
        output,
        Duration::from_secs(20),
    );
    (result, received.join().expect("a line"))
}

#[test]
fn replies_are_printed_and_failures_have_their_exit_code() {
    let (result, sent) = execute_with_reply(
        ControlCommand::Drain,
        "ok is being emptied\n",
        OutputFormat::Table,
    );
    assert_eq!(
        (result.ok().as_deref(), sent.as_str()),
        (Some("is being emptied\n"), "drain\n")
    );
    let (result, _) = execute_with_reply(
        ControlCommand::Ready,
        "fail takes no clients: draining\n",
        OutputFormat::Table,
    );
    assert_eq!(result.err().map(|error| error.exit_code()), Some(4));
    let metrics = "ok figures\nrelay.success.a=3\nrelay.concurrent=0\neof\n";
    let (result, sent) = execute_with_reply(ControlCommand::ShowStat, metrics, OutputFormat::Table);
    assert_eq!(
        result.ok().as_deref(),
        Some("relay.success.a=3\nrelay.concurrent=0\n")
    );
    assert_eq!(sent, "show-stat\n");
    let (result, _) = execute_with_reply(ControlCommand::ShowStat, metrics, OutputFormat::Json);
    let printed: Value = serde_json::from_str(&result.unwrap_or_default()).expect("JSON");
    assert_eq!(
        printed,
        json!({"relay.success.a": 3, "relay.concurrent": 0})
    );
}

#[test]
fn malformed_replies_are_unexpected_responses() {
    for reply in [
        "",
        "ok",
        "perhaps\n",
        "ok figures\nrelay.success.a=3\n",
        "ok\nrelay.x=y\neof\n",
    ] {
        let (result, _) = execute_with_reply(ControlCommand::ShowStat, reply, OutputFormat::Json);
        assert_eq!(
            result.err().map(|error| error.exit_code()),
            Some(1),
            "{reply:?}"
        );
    }
}

#[test]
fn silent_control_socket_is_unreachable_after_the_timeout() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let result = execute(
        &ControlArguments {
            address,
            command: ControlCommand::Ready,
        },
        OutputFormat::Table,
        Duration::from_millis(50),
    );
    assert_eq!(result.err().map(|error| error.exit_code()), Some(6));
}
