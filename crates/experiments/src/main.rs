//! `relay-experiments`: statistics from a fleet's logs, simulation experiments, and a benchmark of the store of
//! undeliverable messages.

mod chart;
mod error;
mod fleet;
mod fleet_sizes;
mod store_benchmark;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use fleet::ReportDetail;

/// Statistics from a fleet's logs, simulation experiments and a store benchmark, as tables and charts.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Count the events of all relays of a fleet, by destination and time, from logs written with `log_calls`.
    Fleet {
        /// Folder of the logs, with one file per relay, whose names end in `.log`.
        logs: PathBuf,
        /// Length of the interval of a row, in milliseconds.
        #[arg(long, default_value_t = 1000, value_parser = clap::value_parser!(u64).range(100..=60_000))]
        step: u64,
        /// Print only the totals over the whole time.
        #[arg(long)]
        brief: bool,
    },
    /// Simulate fleets of increasing size at the same load, and write a table and a chart.
    Sizes {
        /// Fleet sizes, in relays.
        #[arg(long, value_delimiter = ',', default_value = "1,3,10,30,100")]
        relays: Vec<u16>,
        /// Number of seeds simulated for each size, from 0 on.
        #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(1..=10_000))]
        seeds: u64,
        /// Number of simulations that run in parallel.
        #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u16).range(1..=256))]
        jobs: u16,
        /// SVG file to write the chart to; no chart if absent.
        #[arg(long)]
        chart: Option<PathBuf>,
    },
    /// Fill a store of undeliverable messages, and measure the time to read pages from it.
    Store {
        /// Number of records to store.
        #[arg(long, default_value_t = 1_000_000, value_parser = clap::value_parser!(u64).range(1..=100_000_000))]
        records: u64,
    },
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
    match run(arguments.command) {
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

/// Runs a command and returns the text for standard output.
fn run(command: Command) -> Result<String, error::Error> {
    match command {
        Command::Fleet { logs, step, brief } => {
            let detail = if brief {
                ReportDetail::TotalsOnly
            } else {
                ReportDetail::Intervals
            };
            fleet::run(&logs, step, detail)
        }
        Command::Store { records } => store_benchmark::run(records),
        Command::Sizes {
            relays,
            seeds,
            jobs,
            chart,
        } => fleet_sizes::run(&relays, seeds, jobs, chart.as_deref()),
    }
}
