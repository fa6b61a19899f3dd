//! One relay: starts, serves until it is told to stop, and ends.

mod clients;
mod config;
mod discovery;
mod driver;
mod hosts;
mod journal;

use std::process::ExitCode;

use tokio::signal::unix::{signal, SignalKind};

fn run() -> Result<(), String> {
    let config = config::Config::load()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("cannot start: {e}"))?;
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let mut term = signal(SignalKind::terminate()).map_err(|e| format!("no signals: {e}"))?;
        let mut interrupt = signal(SignalKind::interrupt()).map_err(|e| format!("no signals: {e}"))?;
        let stop = async move {
            tokio::select! {
                _ = term.recv() => {}
                _ = interrupt.recv() => {}
            }
        };
        driver::run(config, stop).await
    })
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(line) => {
            eprintln!("madderpitch: {}", line.replace('\n', " "));
            ExitCode::FAILURE
        }
    }
}
