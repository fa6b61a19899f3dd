//! The load balancer's probes, users of the control socket, and clients that only hold connections.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use runtime::Runtime;
use tokio::io::AsyncWriteExt;

use super::connection::{frame, Connection};
use super::PeerContext;
use crate::history::Observation;
use crate::machine::ProcessId;

/// Timeout for a call to the control socket.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval of the load balancer's probes of a relay.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of such a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after the first negative reply from which the load balancer opens no connections.
const CLOSE_DELAY: Duration = Duration::from_millis(200);
/// Interval at which metrics are requested.
const METRICS_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which operators repeat a failed command.
const COMMAND_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which operators repeat a failed resume command; a failed drain command is not repeated.
const RESUME_TIMEOUT: Duration = Duration::from_secs(8);
/// Delay after which a closed connection is opened again.
const RECONNECT_DELAY: Duration = Duration::from_millis(300);
/// Number of callers that connect to the control socket and send nothing.
pub const SILENT_CALLERS: usize = 20;
/// Number of clients that hold an idle connection.
pub const IDLE_CLIENTS: usize = 3;

/// A control socket.
#[derive(Clone, Copy, Debug)]
pub struct ControlSocket {
    /// The process that serves it.
    pub process: ProcessId,
    /// Address at which it accepts calls.
    pub address: SocketAddr,
}

/// The control socket of the relay process that currently serves.
pub type ControlEndpoint = Rc<Cell<ControlSocket>>;

/// An operator's command to drain or resume a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainCommand {
    /// The relay stops accepting clients.
    Drain,
    /// The relay accepts clients again.
    Resume,
}

/// Probes a relay with `PING` indefinitely, and sets `is_out_of_rotation` while its clients must not open connections.
pub async fn probe_readiness<R: Runtime>(
    context: PeerContext<R>,
    relay: SocketAddr,
    is_out_of_rotation: Rc<Cell<bool>>,
) {
    let mut not_ready_since: Option<Duration> = None;
    loop {
        let probe = async {
            let mut connection = Connection::open(&context, relay).await?;
            connection.stream.write_all(&frame(&[b"PING"])).await?;
            connection.line().await
        };
        // No reply changes nothing: the relay may have died, which the load balancer detects only much later.
        if let Ok(Ok(Some(reply))) = context.runtime.timeout(PROBE_TIMEOUT, probe).await {
            let is_ready = reply == "+PONG";
            context.observe(&Observation::ReadinessProbed(is_ready));
            not_ready_since = (!is_ready).then(|| not_ready_since.unwrap_or(context.elapsed()));
        }
        is_out_of_rotation
            .set(not_ready_since.is_some_and(|since| context.elapsed() >= since + CLOSE_DELAY));
        context.runtime.sleep(PROBE_INTERVAL).await;
    }
}

/// Holds a client connection until the relay closes it, after one `PING`; then opens a new one.
pub async fn keep_idle_connection<R: Runtime>(
    context: PeerContext<R>,
    relay: SocketAddr,
    is_out_of_rotation: Rc<Cell<bool>>,
) {
    loop {
        let connection = async {
            let mut connection = Connection::open(&context, relay).await?;
            connection.stream.write_all(&frame(&[b"PING"])).await?;
            while connection.line().await?.is_some() {}
            io::Result::Ok(())
        };
        if !is_out_of_rotation.get() {
            // The connection is opened again whether it was closed or could not be established.
            drop(connection.await);
        }
        context.runtime.sleep(RECONNECT_DELAY).await;
    }
}

/// Calls a control socket once and returns the whole response, which is empty if the process closed the connection.
async fn call<R: Runtime>(
    context: &PeerContext<R>,
    control: SocketAddr,
    command: &str,
) -> io::Result<String> {
    let mut connection = Connection::open(context, control).await?;
    connection
        .stream
        .write_all(format!("{command}\n").as_bytes())
        .await?;
    let mut text = String::new();
    while let Some(line) = connection.line().await? {
        text += &line;
        text.push('\n');
    }
    Ok(text)
}

/// Requests and reports metrics indefinitely.
pub async fn poll_metrics<R: Runtime>(context: PeerContext<R>, control: ControlEndpoint) {
    loop {
        let ControlSocket { process, address } = control.get();
        let requested_at = context.elapsed();
        let response = context
            .runtime
            .timeout(CONTROL_TIMEOUT, call(&context, address, "show-stat"))
            .await;
        match response {
            Ok(Ok(text)) if text.starts_with("ok") && text.ends_with("eof\n") => {
                context.observe(&Observation::MetricsReported {
                    process,
                    requested_at,
                    text: &text,
                });
            }
            Ok(_) => {}
            Err(_) if control.get().process == process => {
                context.observe(&Observation::ControlCallTimedOut);
            }
            Err(_) => {}
        }
        context.runtime.sleep(METRICS_INTERVAL).await;
    }
}

/// Holds a connection to the control socket without sending anything, and reopens it when it is closed.
pub async fn keep_silent_connection<R: Runtime>(context: PeerContext<R>, control: ControlEndpoint) {
    loop {
        if let Ok(mut connection) = Connection::open(&context, control.get().address).await {
            let _ = connection.line().await;
        }
        context.runtime.sleep(RECONNECT_DELAY).await;
    }
}

/// Drains or resumes a relay. A resume command is repeated until it succeeds or `RESUME_TIMEOUT` has passed.
pub async fn set_draining<R: Runtime>(
    context: PeerContext<R>,
    control: ControlEndpoint,
    command: DrainCommand,
) {
    let (text, timeout) = match command {
        DrainCommand::Drain => ("drain", Duration::ZERO),
        DrainCommand::Resume => ("resume", RESUME_TIMEOUT),
    };
    let until = context.elapsed() + timeout;
    loop {
        if command == DrainCommand::Resume {
            context.observe(&Observation::ResumeRequested);
        }
        let ControlSocket { process, address } = control.get();
        let response = context
            .runtime
            .timeout(CONTROL_TIMEOUT, call(&context, address, text))
            .await;
        if matches!(&response, Ok(Ok(text)) if text.starts_with("ok")) {
            // If the process was killed while its drain response was in flight, the next process is not draining.
            if command == DrainCommand::Resume || control.get().process == process {
                let is_draining = command == DrainCommand::Drain;
                context.observe(&Observation::DrainingConfirmed(is_draining));
            }
            return;
        }
        if context.elapsed() >= until {
            return;
        }
        context.runtime.sleep(COMMAND_INTERVAL).await;
    }
}
