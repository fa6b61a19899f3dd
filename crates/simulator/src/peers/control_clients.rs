//! Those who watch over a relay: the load balancer, operators with their scripts at the control socket, and clients
//! that only hold connections.

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

/// A call to the control socket gets a response within this.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);
/// The load balancer probes a relay at this interval ...
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// ... and waits for the reply for this time.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// The load balancer opens no connection from this time after a negative reply on.
const CLOSE_DELAY: Duration = Duration::from_millis(200);
/// Metrics are requested at this interval.
const METRICS_INTERVAL: Duration = Duration::from_millis(200);
/// Operators repeat a command that failed at this interval ...
const COMMAND_INTERVAL: Duration = Duration::from_millis(100);
/// ... for this time, if it is to resume.
const RESUME_TIMEOUT: Duration = Duration::from_secs(8);
/// A connection that was closed is opened again after this.
const RECONNECT_DELAY: Duration = Duration::from_millis(300);
/// Callers that connect to the control socket and send nothing.
pub const SILENT_CALLERS: usize = 20;
/// Clients that hold an idle connection.
pub const IDLE_CLIENTS: usize = 3;

/// A control socket.
#[derive(Clone, Copy, Debug)]
pub struct ControlSocket {
    /// The process that serves it.
    pub process: ProcessId,
    /// Where it accepts calls.
    pub address: SocketAddr,
}

/// The control socket of the relay's process that serves now.
pub type ControlEndpoint = Rc<Cell<ControlSocket>>;

/// A command of an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainCommand {
    /// The relay is to take no clients.
    Drain,
    /// The relay is to take clients again.
    Resume,
}

/// Probes a relay with `PING` for good, and sets whether its clients are to open no connections.
pub async fn probe_readiness<R: Runtime>(
    context: PeerContext<R>,
    relay: SocketAddr,
    is_closed: Rc<Cell<bool>>,
) {
    let mut not_ready_since: Option<Duration> = None;
    loop {
        let probe = async {
            let mut connection = Connection::open(&context, relay).await?;
            connection.stream.write_all(&frame(&[b"PING"])).await?;
            connection.line().await
        };
        // One that does not reply may have died, which the load balancer detects only much later.
        if let Ok(Ok(Some(reply))) = context.runtime.timeout(PROBE_TIMEOUT, probe).await {
            let is_ready = reply == "+PONG";
            context.observe(&Observation::ReadinessProbed(is_ready));
            not_ready_since = (!is_ready).then(|| not_ready_since.unwrap_or(context.at()));
        }
        is_closed.set(not_ready_since.is_some_and(|since| context.at() >= since + CLOSE_DELAY));
        context.runtime.sleep(PROBE_INTERVAL).await;
    }
}

/// Holds a client's connection for as long as the relay lets it, and uses it once.
pub async fn keep_idle_connection<R: Runtime>(
    context: PeerContext<R>,
    relay: SocketAddr,
    is_closed: Rc<Cell<bool>>,
) {
    loop {
        let connection = async {
            let mut connection = Connection::open(&context, relay).await?;
            connection.stream.write_all(&frame(&[b"PING"])).await?;
            while connection.line().await?.is_some() {}
            io::Result::Ok(())
        };
        if !is_closed.get() {
            // It is opened again, whether it was closed or not accepted.
            drop(connection.await);
        }
        context.runtime.sleep(RECONNECT_DELAY).await;
    }
}

/// One call to a control socket: the whole response, none if the process ended it.
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

/// Requests metrics for good.
pub async fn poll_metrics<R: Runtime>(context: PeerContext<R>, control: ControlEndpoint) {
    loop {
        let ControlSocket { process, address } = control.get();
        let requested_at = context.at();
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

/// Connects to the control socket for good, and sends nothing.
pub async fn keep_silent_connection<R: Runtime>(context: PeerContext<R>, control: ControlEndpoint) {
    loop {
        if let Ok(mut connection) = Connection::open(&context, control.get().address).await {
            let _ = connection.line().await;
        }
        context.runtime.sleep(RECONNECT_DELAY).await;
    }
}

/// Drains a relay once, or resumes it: repeats the command until it works, or gives up.
pub async fn set_draining<R: Runtime>(
    context: PeerContext<R>,
    control: ControlEndpoint,
    command: DrainCommand,
) {
    let (text, timeout) = match command {
        DrainCommand::Drain => ("drain", Duration::ZERO),
        DrainCommand::Resume => ("resume", RESUME_TIMEOUT),
    };
    let until = context.at() + timeout;
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
            // One that was killed with its response on its way has not handed the drain to the next one.
            if command == DrainCommand::Resume || control.get().process == process {
                let is_draining = command == DrainCommand::Drain;
                context.observe(&Observation::DrainingConfirmed(is_draining));
            }
            return;
        }
        if context.at() >= until {
            return;
        }
        context.runtime.sleep(COMMAND_INTERVAL).await;
    }
}
