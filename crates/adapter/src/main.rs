//! Plays the decision module on the simulator's wire: batches in, replies out.

use std::io::{self, Read, Write};
use std::process::ExitCode;

use adapter::{header, Adapter, HEADER};

fn run() -> Result<(), String> {
    let mut input = io::stdin().lock();
    let mut output = io::stdout().lock();
    let mut adapter = Adapter::default();
    let mut payload = Vec::new();
    loop {
        let mut head = [0; HEADER];
        let got =
            fill(&mut input, &mut head).map_err(|e| format!("cannot read standard input: {e}"))?;
        if got == 0 {
            return Ok(());
        }
        if got < HEADER {
            return Err(format!(
                "input ends within a header, after {got} of {HEADER} bytes"
            ));
        }
        let (length, now) = header(&head);
        payload.clear();
        (&mut input)
            .take(length as u64)
            .read_to_end(&mut payload)
            .map_err(|e| format!("cannot read standard input: {e}"))?;
        if payload.len() < length {
            return Err(format!(
                "input ends within a frame, after {} of {length} bytes",
                payload.len()
            ));
        }
        let reply = adapter.round(now, &payload).map_err(|e| e.to_string())?;
        output
            .write_all(&reply)
            .and_then(|()| output.flush())
            .map_err(|e| format!("cannot write standard output: {e}"))?;
    }
}

fn fill(input: &mut impl Read, buffer: &mut [u8]) -> io::Result<usize> {
    let mut got = 0;
    while got < buffer.len() {
        match input.read(&mut buffer[got..]) {
            Ok(0) => break,
            Ok(n) => got += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(got)
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(line) => {
            eprintln!("madderpitch-adapter: {line}");
            ExitCode::FAILURE
        }
    }
}
