//! The adapter program: reads batches from standard input and writes replies to standard output.

use std::io;
use std::process::ExitCode;

use adapter::batch_stream;

fn main() -> ExitCode {
    match batch_stream::run(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("madderpitch-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
