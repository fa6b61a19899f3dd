//! One relay: starts, serves until it is told to stop, and ends.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use runtime::OsRuntime;

/// Carries messages to partners' systems. Reads BALANCER_CONFIG, the path of its configuration, and
/// BALANCER_LISTEN, BALANCER_DISCOVERY and BALANCER_STATE.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    /// What goes beyond the platform's configuration: tenants, the administration API.
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
}

fn run(operator: Option<PathBuf>) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| format!("cannot start: {e}"))?;
    tokio::task::LocalSet::new().block_on(&runtime, relay::run(OsRuntime, operator))
}

fn main() -> ExitCode {
    let arguments = match Arguments::try_parse() {
        Ok(arguments) => arguments,
        Err(error) if !error.use_stderr() => {
            print!("{error}");
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            let text = error.to_string();
            let first = text.lines().next().unwrap_or("bad arguments");
            eprintln!("madderpitch: {}", first.trim_start_matches("error: "));
            return ExitCode::from(2);
        }
    };
    match run(arguments.operator) {
        Ok(()) => ExitCode::SUCCESS,
        Err(line) => {
            eprintln!("madderpitch: {}", line.replace('\n', " "));
            ExitCode::FAILURE
        }
    }
}
