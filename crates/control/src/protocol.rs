//! The operators' line protocol: a connection carries one command and one reply that begins with `ok` or `fail`.

use std::fmt;

/// Maximum length of a line in bytes, without its line break.
pub const MAX_LINE_LENGTH: usize = 64;

/// A command of an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Queries whether the process accepts clients.
    Ready,
    /// Queries the metrics.
    ShowStat,
    /// Drains the relay.
    Drain,
    /// Ends a drain.
    Resume,
}

impl Command {
    /// All commands.
    pub const ALL: [Command; 4] = [
        Command::Ready,
        Command::ShowStat,
        Command::Drain,
        Command::Resume,
    ];

    /// The name of the command on the wire.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Command::Ready => "ready",
            Command::ShowStat => "show-stat",
            Command::Drain => "drain",
            Command::Resume => "resume",
        }
    }
}

impl fmt::Display for Command {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The reason for which a line is rejected. Its message is sent in the reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LineError {
    /// The line has more than [`MAX_LINE_LENGTH`] bytes.
    #[error("the line is too long")]
    TooLong,
    /// The line is not a command.
    #[error("unknown call")]
    UnknownCommand,
}

/// The result of parsing the first line of the input that a connection has sent so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ParsedLine {
    /// The line is not complete yet.
    Partial,
    /// A command.
    Command(Command),
    /// The line is not a command, for this reason.
    Invalid(LineError),
}

/// Parses the first line. White space around the command and a carriage return are ignored, and so is everything after
/// the line.
pub fn parse_line(text: &[u8]) -> ParsedLine {
    let line_end = text.iter().position(|byte| *byte == b'\n');
    if line_end.unwrap_or(text.len()) > MAX_LINE_LENGTH {
        return ParsedLine::Invalid(LineError::TooLong);
    }
    let Some(line_end) = line_end else {
        return ParsedLine::Partial;
    };
    let name = text[..line_end].trim_ascii();
    Command::ALL
        .into_iter()
        .find(|command| command.as_str().as_bytes() == name)
        .map_or(
            ParsedLine::Invalid(LineError::UnknownCommand),
            ParsedLine::Command,
        )
}

/// The reply to a command that succeeded.
#[must_use]
pub fn ok_reply(text: &str) -> String {
    format!("ok {text}\n")
}

/// The reply to a command that failed.
#[must_use]
pub fn fail_reply(reason: &str) -> String {
    format!("fail {reason}\n")
}
