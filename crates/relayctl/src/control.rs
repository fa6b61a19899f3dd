//! Client of a relay's control socket: arguments, and one command per connection. It needs neither the API nor a token.
//! The doc comments on commands and options are the help texts.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use clap::{Args, ValueEnum};
use control::Command;
use serde_json::{json, Map, Value};

use crate::error::CommandError;
use crate::output::OutputFormat;

/// Maximum length of a reply, in bytes. Three metrics for each of 256 classes with long names fit.
const MAX_REPLY_BYTES: usize = 1 << 20;
/// The size of the buffer for one read, in bytes.
const READ_BUFFER_BYTES: usize = 4096;

/// Arguments of the `control` command.
#[derive(Args)]
pub struct ControlArguments {
    /// Control socket: the address and port at `control` in the relay's configuration.
    #[arg(long = "at", value_name = "AT", env = "BALANCER_CONTROL")]
    address: SocketAddr,
    /// Command to send.
    #[arg(value_enum, value_name = "CALL")]
    command: ControlCommand,
}

/// The commands of the control protocol.
#[derive(Clone, Copy, ValueEnum)]
pub enum ControlCommand {
    /// Check whether the relay accepts clients.
    Ready,
    /// Print the metrics.
    ShowStat,
    /// Drain the relay.
    Drain,
    /// Resume normal operation.
    Resume,
}

impl From<ControlCommand> for Command {
    fn from(command: ControlCommand) -> Command {
        match command {
            ControlCommand::Ready => Command::Ready,
            ControlCommand::ShowStat => Command::ShowStat,
            ControlCommand::Drain => Command::Drain,
            ControlCommand::Resume => Command::Resume,
        }
    }
}

/// Sends a command and prints the reply.
///
/// # Errors
/// The socket cannot be reached, the relay rejects the command, or its reply does not follow the protocol.
pub fn run(
    arguments: &ControlArguments,
    output: OutputFormat,
    timeout: Duration,
) -> Result<(), CommandError> {
    print!("{}", execute(arguments, output, timeout)?);
    Ok(())
}

/// Sends a command and returns the text to print. A `fail` reply is a conflict error, which scripts recognize by its
/// exit code.
fn execute(
    arguments: &ControlArguments,
    output: OutputFormat,
    timeout: Duration,
) -> Result<String, CommandError> {
    let reply = exchange(arguments.address, arguments.command.into(), timeout).map_err(|e| {
        CommandError::Unreachable {
            server: arguments.address.to_string(),
            reason: e.to_string(),
        }
    })?;
    let (first_line, metrics) = reply
        .split_once('\n')
        .ok_or_else(|| unexpected("incomplete line"))?;
    if let Some(reason) = first_line.strip_prefix("fail") {
        return Err(CommandError::conflict(reason.trim()));
    }
    let text = first_line
        .strip_prefix("ok")
        .ok_or_else(|| unexpected(first_line))?
        .trim();
    match (arguments.command, output) {
        (ControlCommand::ShowStat, _) => format_metrics(metrics, output),
        (_, OutputFormat::Json) => Ok(format!("{}\n", json!({ "answer": text }))),
        (_, OutputFormat::Table) => Ok(format!("{text}\n")),
    }
}

/// Formats the lines `name=value` between the first line and `eof`: as received, or as a JSON object.
fn format_metrics(metrics: &str, output: OutputFormat) -> Result<String, CommandError> {
    let metrics = metrics
        .strip_suffix("eof\n")
        .ok_or_else(|| unexpected("missing eof line"))?;
    if output == OutputFormat::Table {
        return Ok(metrics.into());
    }
    let parse_metric = |line: &str| {
        let (name, value) = line.split_once('=')?;
        Some((name.to_string(), Value::from(value.parse::<u64>().ok()?)))
    };
    let values: Option<Map<String, Value>> = metrics.lines().map(parse_metric).collect();
    let values = values.ok_or_else(|| unexpected("a line that is not a metric"))?;
    Ok(format!("{}\n", Value::from(values)))
}

fn unexpected(reply: &str) -> CommandError {
    CommandError::UnexpectedResponse(reply.into())
}

/// Sends one command and reads the reply up to the end of the connection. The timeout applies to the whole exchange.
fn exchange(address: SocketAddr, command: Command, timeout: Duration) -> io::Result<String> {
    let deadline = Instant::now() + timeout;
    let remaining_time = || {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let timed_out = || io::Error::new(ErrorKind::TimedOut, "no response within the timeout");
        (!remaining.is_zero())
            .then_some(remaining)
            .ok_or_else(timed_out)
    };
    let mut stream = TcpStream::connect_timeout(&address, remaining_time()?)?;
    stream.set_write_timeout(Some(remaining_time()?))?;
    stream.write_all(format!("{command}\n").as_bytes())?;
    let mut reply = Vec::new();
    let mut buffer = [0; READ_BUFFER_BYTES];
    while reply.len() <= MAX_REPLY_BYTES {
        stream.set_read_timeout(Some(remaining_time()?))?;
        match stream.read(&mut buffer) {
            Ok(0) => return String::from_utf8(reply).map_err(io::Error::other),
            Ok(length) => reply.extend_from_slice(&buffer[..length]),
            // The read timed out, which the next iteration reports.
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
    }
    Err(io::Error::other("the reply is too long"))
}

#[cfg(test)]
mod tests;
