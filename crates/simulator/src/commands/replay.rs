//! `replay`: plays one seed and prints its trace.

use std::io;
use std::path::{Path, PathBuf};

use thiserror::Error;

use super::{print_faults, CommandOutcome};
use crate::script::Script;
use crate::world::{play, Options, Report};

/// Lines of the trace that are printed if it is not written to a file.
const PRINTED_TRACE_LINES: usize = 40;

/// A replay could not be carried out.
#[derive(Debug, Error)]
pub enum ReplayError {
    /// The trace file can't be written.
    #[error("cannot write {}: {source}", path.display())]
    WriteTrace {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
}

/// Plays a script and prints its faults, the last lines of the trace unless it is written to a file, and the result.
///
/// # Errors
///
/// If the trace can't be written.
pub fn run(script: &Script, trace_file: Option<&Path>) -> Result<CommandOutcome, ReplayError> {
    print_faults(script);
    let options = Options {
        traced: true,
        ..Options::default()
    };
    let report = play(script, options);
    match trace_file {
        Some(path) => write_trace(path, &report)?,
        None => print_trace_end(&report),
    }
    println!(
        "{} messages, {} steps, {:?}",
        report.messages, report.steps, report.counts
    );
    println!("digest {}", report.digest);
    println!("digest of effects {}", report.effects_digest);
    println!(
        "{}",
        report.violation_text.as_deref().unwrap_or("no rule broken")
    );
    Ok(CommandOutcome::passed_if(report.violation_text.is_none()))
}

fn write_trace(path: &Path, report: &Report) -> Result<(), ReplayError> {
    let text = report.trace.join("\n") + "\n";
    std::fs::write(path, text).map_err(|source| ReplayError::WriteTrace {
        path: path.into(),
        source,
    })
}

fn print_trace_end(report: &Report) {
    let first = report.trace.len().saturating_sub(PRINTED_TRACE_LINES);
    for line in &report.trace[first..] {
        println!("{line}");
    }
}
