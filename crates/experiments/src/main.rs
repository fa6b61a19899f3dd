//! `relay-experiments`: counts over a fleet's logs, and experiments on the simulation.

mod chart;
mod fleet;
mod sizes;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};

/// Counts over a fleet's logs, and experiments on the simulation, as tables and charts.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Count what all relays of a fleet did, by destination and time, from logs written with `log_calls`.
    Fleet {
        /// The folder of the logs, one file a relay, whose names end in `.log`.
        logs: PathBuf,
        /// Milliseconds of a row.
        #[arg(long, default_value_t = 1000, value_parser = clap::value_parser!(u64).range(100..=60_000))]
        step: u64,
        /// Only the counts over the whole time.
        #[arg(long)]
        brief: bool,
    },
    /// Play fleets of growing size at the same load, and write a table and a chart.
    Sizes {
        /// Numbers of relays.
        #[arg(long, value_delimiter = ',', default_value = "1,3,10,30,100")]
        relays: Vec<u16>,
        /// Seeds played of each size, from 0 on.
        #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(1..=10_000))]
        seeds: u64,
        /// Days played at once.
        #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u16).range(1..=256))]
        jobs: u16,
        /// Write the chart to this SVG file.
        #[arg(long)]
        chart: Option<PathBuf>,
    },
    /// Fill a store of undeliverable messages, and time pages of it.
    Store {
        /// Records.
        #[arg(long, default_value_t = 1_000_000, value_parser = clap::value_parser!(u64).range(1..=100_000_000))]
        records: u64,
    },
}

/// Why a command came to nothing.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file or folder can't be used.
    #[error("cannot use {0}: {1}")]
    File(PathBuf, std::io::Error),
    /// There is nothing to count.
    #[error("{0} holds no log with lines of calls; the operator file's log_calls writes them")]
    NoLines(PathBuf),
    /// A chart could not be drawn.
    #[error("cannot draw the chart: {0}")]
    Chart(String),
    /// A number of relays that no day can have.
    #[error("{0} relays are not from 1 to 200")]
    Relays(u16),
    /// The store gave an error.
    #[error("cannot use a store: {0}")]
    Store(String),
}

fn main() -> ExitCode {
    let arguments = match Arguments::try_parse() {
        Ok(arguments) => arguments,
        Err(error) => {
            let code = if error.use_stderr() {
                ExitCode::from(2)
            } else {
                ExitCode::SUCCESS
            };
            drop(error.print());
            return code;
        }
    };
    let done = match arguments.command {
        Command::Fleet { logs, step, brief } => fleet::run(&logs, step, brief),
        Command::Store { records } => store::run(records),
        Command::Sizes {
            relays,
            seeds,
            jobs,
            chart,
        } => sizes::run(&relays, seeds, jobs, chart.as_deref()),
    };
    match done {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("relay-experiments: {error}");
            ExitCode::FAILURE
        }
    }
}
