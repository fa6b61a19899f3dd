//! One line to a connection: a call in, an answer back that begins with `ok` or `fail`.

use std::fmt;

/// Bytes of a call at most, its line break not counted.
pub const LONGEST: usize = 64;

/// A call of an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// Whether the process takes clients.
    Ready,
    /// The figures.
    ShowStat,
    /// Empty the relay.
    Drain,
    /// Back to work.
    Resume,
}

impl Call {
    /// All calls.
    pub const ALL: [Call; 4] = [Call::Ready, Call::ShowStat, Call::Drain, Call::Resume];

    /// Its word on the wire.
    pub fn word(self) -> &'static str {
        match self {
            Call::Ready => "ready",
            Call::ShowStat => "show-stat",
            Call::Drain => "drain",
            Call::Resume => "resume",
        }
    }
}

impl fmt::Display for Call {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.word())
    }
}

/// What stands at the start of a connection's text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Line {
    /// No whole line yet.
    Partial,
    /// A call.
    Call(Call),
    /// A line that is no call, and why.
    Wrong(&'static str),
}

/// Reads the first line of a text. White space round the word and a carriage return are let pass.
pub fn read(text: &[u8]) -> Line {
    let Some(end) = text.iter().position(|byte| *byte == b'\n') else {
        return if text.len() > LONGEST {
            Line::Wrong("the line is too long")
        } else {
            Line::Partial
        };
    };
    if end > LONGEST {
        return Line::Wrong("the line is too long");
    }
    let word = text[..end].trim_ascii();
    let call = Call::ALL
        .into_iter()
        .find(|call| call.word().as_bytes() == word);
    call.map_or(Line::Wrong("unknown call"), Line::Call)
}

/// The answer to a call that worked.
pub fn ok(what: &str) -> String {
    format!("ok {what}\n")
}

/// The answer to a call that did not.
pub fn fail(why: &str) -> String {
    format!("fail {why}\n")
}
