//! Calls at a relay's door for operators: one line to a connection, and one answer.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use clap::{Args, ValueEnum};
use control::Command;
use serde_json::{Map, Value};

use crate::client::Failure;

/// No door's answer is longer, in bytes: three figures for each of 256 classes with long names.
const LONGEST: usize = 1 << 20;

/// What to say, and where.
#[derive(Args)]
pub struct Control {
    /// The door: the address and port at `control` in the relay's configuration.
    #[arg(long, env = "BALANCER_CONTROL")]
    at: SocketAddr,
    /// The call.
    #[arg(value_enum)]
    call: Word,
}

/// The calls.
#[derive(Clone, Copy, ValueEnum)]
pub enum Word {
    /// Whether the process takes clients.
    Ready,
    /// The figures.
    ShowStat,
    /// Empty the relay.
    Drain,
    /// Back to work.
    Resume,
}

impl Word {
    fn call(self) -> Command {
        match self {
            Word::Ready => Command::Ready,
            Word::ShowStat => Command::ShowStat,
            Word::Drain => Command::Drain,
            Word::Resume => Command::Resume,
        }
    }
}

/// Calls, and gives what is to be printed. A door that says `fail` is a refusal that scripts can tell by its exit code.
pub fn call(control: &Control, json: bool, timeout: Duration) -> Result<String, Failure> {
    let answer = ask(control.at, control.call.call(), timeout)
        .map_err(|e| Failure::Unreachable(control.at.to_string(), e.to_string()))?;
    let (first, rest) = answer
        .split_once('\n')
        .ok_or_else(|| Failure::Strange("half a line".into()))?;
    if let Some(why) = first.strip_prefix("fail") {
        return Err(Failure::Refused {
            status: 409,
            detail: why.trim().into(),
        });
    }
    let what = first
        .strip_prefix("ok")
        .ok_or_else(|| Failure::Strange(first.into()))?
        .trim();
    match control.call {
        Word::ShowStat => {
            let figures = rest
                .strip_suffix("eof\n")
                .ok_or_else(|| Failure::Strange("no eof".into()))?;
            Ok(if json {
                as_json(figures)?
            } else {
                figures.into()
            })
        }
        _ if json => Ok(format!("{}\n", serde_json::json!({ "answer": what }))),
        _ => Ok(format!("{what}\n")),
    }
}

fn as_json(figures: &str) -> Result<String, Failure> {
    let pair = |line: &str| {
        let (name, value) = line.split_once('=')?;
        Some((name.to_string(), Value::from(value.parse::<u64>().ok()?)))
    };
    let pairs: Option<Map<String, Value>> = figures.lines().map(pair).collect();
    let pairs = pairs.ok_or_else(|| Failure::Strange("a line that is no figure".into()))?;
    Ok(format!("{}\n", Value::from(pairs)))
}

/// One call; all of it within the time.
fn ask(at: SocketAddr, call: Command, timeout: Duration) -> std::io::Result<String> {
    let until = Instant::now() + timeout;
    let left = || {
        let left = until.saturating_duration_since(Instant::now());
        let late = || std::io::Error::new(std::io::ErrorKind::TimedOut, "no answer in time");
        (!left.is_zero()).then_some(left).ok_or_else(late)
    };
    let mut stream = TcpStream::connect_timeout(&at, left()?)?;
    stream.set_write_timeout(Some(left()?))?;
    stream.write_all(format!("{call}\n").as_bytes())?;
    let mut text = Vec::new();
    let mut part = [0; 4096];
    while text.len() <= LONGEST {
        stream.set_read_timeout(Some(left()?))?;
        match stream.read(&mut part) {
            Ok(0) => return String::from_utf8(text).map_err(std::io::Error::other),
            Ok(n) => text.extend_from_slice(&part[..n]),
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
    }
    Err(std::io::Error::other("the answer is too long"))
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::net::TcpListener;

    /// A door that answers with this, and the word that it heard.
    fn door(answer: &'static str) -> (SocketAddr, std::thread::JoinHandle<String>) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let at = listener.local_addr().expect("bound");
        let heard = std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("a caller");
            let mut word = [0; 32];
            let n = stream.read(&mut word).expect("a line");
            stream.write_all(answer.as_bytes()).expect("answered");
            String::from_utf8_lossy(&word[..n]).to_string()
        });
        (at, heard)
    }

    fn said(word: Word, answer: &'static str, json: bool) -> (Result<String, Failure>, String) {
        let (at, heard) = door(answer);
        let told = call(&Control { at, call: word }, json, Duration::from_secs(20));
        (told, heard.join().expect("heard"))
    }

    #[test]
    fn answers_are_shown_and_refusals_told_by_their_code() {
        let (told, heard) = said(Word::Drain, "ok is being emptied\n", false);
        assert_eq!(
            (told.ok().as_deref(), heard.as_str()),
            (Some("is being emptied\n"), "drain\n")
        );
        let (told, _) = said(Word::Ready, "fail takes no clients: draining\n", false);
        assert_eq!(told.err().map(|failure| failure.code()), Some(4));
        let figures = "ok figures\nrelay.success.a=3\nrelay.concurrent=0\neof\n";
        let (told, heard) = said(Word::ShowStat, figures, false);
        assert_eq!(
            told.ok().as_deref(),
            Some("relay.success.a=3\nrelay.concurrent=0\n")
        );
        assert_eq!(heard, "show-stat\n");
        let (told, _) = said(Word::ShowStat, figures, true);
        let shown: Value = serde_json::from_str(&told.unwrap_or_default()).expect("JSON");
        assert_eq!(
            shown,
            serde_json::json!({"relay.success.a": 3, "relay.concurrent": 0})
        );
    }

    #[test]
    fn what_is_no_answer_is_none() {
        for answer in [
            "",
            "ok",
            "perhaps\n",
            "ok figures\nrelay.success.a=3\n",
            "ok\nrelay.x=y\neof\n",
        ] {
            let (told, _) = said(Word::ShowStat, answer, true);
            assert_eq!(
                told.err().map(|failure| failure.code()),
                Some(1),
                "{answer:?}"
            );
        }
    }

    #[test]
    fn a_door_that_says_nothing_is_not_reached_in_time() {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let at = listener.local_addr().expect("bound");
        let told = call(
            &Control {
                at,
                call: Word::Ready,
            },
            false,
            Duration::from_millis(50),
        );
        assert_eq!(told.err().map(|failure| failure.code()), Some(6));
    }
}
