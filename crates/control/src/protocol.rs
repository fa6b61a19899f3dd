//! One line to a connection: a call in, an answer back that begins with `ok` or `fail`.

use std::fmt;

/// Bytes of a call at most, its line break not counted.
pub const LONGEST: usize = 64;

/// A call of an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Whether the process takes clients.
    Ready,
    /// The figures.
    ShowStat,
    /// Empty the relay.
    Drain,
    /// Back to work.
    Resume,
}

impl Command {
    /// All calls.
    pub const ALL: [Command; 4] = [
        Command::Ready,
        Command::ShowStat,
        Command::Drain,
        Command::Resume,
    ];

    /// Its word on the wire.
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

/// What stands at the start of a connection's text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ParsedLine {
    /// No whole line yet.
    Partial,
    /// A call.
    Command(Command),
    /// A line that is no call, and why.
    Wrong(&'static str),
}

/// Reads the first line of a text. White space round the word and a carriage return are let pass.
pub fn parse_line(text: &[u8]) -> ParsedLine {
    let Some(end) = text.iter().position(|byte| *byte == b'\n') else {
        return if text.len() > LONGEST {
            ParsedLine::Wrong("the line is too long")
        } else {
            ParsedLine::Partial
        };
    };
    if end > LONGEST {
        return ParsedLine::Wrong("the line is too long");
    }
    let word = text[..end].trim_ascii();
    let call = Command::ALL
        .into_iter()
        .find(|call| call.as_str().as_bytes() == word);
    call.map_or(ParsedLine::Wrong("unknown call"), ParsedLine::Command)
}

/// The answer to a call that worked.
pub fn ok_reply(what: &str) -> String {
    format!("ok {what}\n")
}

/// The answer to a call that did not.
pub fn fail_reply(why: &str) -> String {
    format!("fail {why}\n")
}
