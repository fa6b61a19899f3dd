//! The program of one relay: starts it, and reports why it ended.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use relay::RelayError;
use runtime::OsRuntime;

/// Name of the program in its messages.
const PROGRAM: &str = "madderpitch";
/// Exit code for arguments that cannot be used.
const USAGE_ERROR: u8 = 2;

/// Carries messages to partners' systems. Reads BALANCER_CONFIG, the path of its configuration, and
/// BALANCER_LISTEN, BALANCER_DISCOVERY and BALANCER_STATE.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    /// What goes beyond the platform's configuration: tenants, the administration API.
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
}

fn run(operator_file: Option<PathBuf>) -> Result<(), RelayError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(RelayError::AsyncRuntime)?;
    let relay = relay::run(OsRuntime, operator_file);
    tokio::task::LocalSet::new().block_on(&runtime, relay)
}

fn report_argument_error(error: &clap::Error) -> ExitCode {
    if !error.use_stderr() {
        print!("{error}");
        return ExitCode::SUCCESS;
    }
    let text = error.to_string();
    let first = text.lines().next().unwrap_or("bad arguments");
    eprintln!("{PROGRAM}: {}", first.trim_start_matches("error: "));
    ExitCode::from(USAGE_ERROR)
}

fn main() -> ExitCode {
    let arguments = match Arguments::try_parse() {
        Ok(arguments) => arguments,
        Err(error) => return report_argument_error(&error),
    };
    match run(arguments.operator) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{PROGRAM}: {}", error.to_string().replace('\n', " "));
            ExitCode::FAILURE
        }
    }
}
