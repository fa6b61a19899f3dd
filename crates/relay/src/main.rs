//! The relay program: parses the arguments, runs the relay and reports its error.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use relay::RelayError;
use runtime::OsRuntime;

/// Prefix of error messages on standard error.
const PROGRAM: &str = "madderpitch";
/// Exit code for invalid arguments.
const USAGE_ERROR: u8 = 2;

/// Delivers messages to partners' systems. Reads the environment variables BALANCER_CONFIG (the path of the
/// configuration file), BALANCER_LISTEN, BALANCER_DISCOVERY and BALANCER_STATE.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    /// Path of the operator file: settings that the platform's configuration lacks, such as tenants and the
    /// administration API.
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
