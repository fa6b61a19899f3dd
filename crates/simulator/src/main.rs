//! `relay-simulator`: plays scenarios from seeds, replays one with a trace, shrinks a failing script, and runs a demo and
//! measurements of the real relay.

use std::error::Error;
use std::ops::Range;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Parser, Subcommand};
use simulator::commands::cost::CostPlan;
use simulator::commands::run::{parse_seeds, RunPlan};
use simulator::commands::{cost, demo, replay, run, shrink, upgrades, CommandOutcome};
use simulator::script::{ScenarioKind, Script};

/// Exit code for invalid arguments, and for a command that can't be carried out.
const EXIT_ERROR: u8 = 2;

/// Runs the whole relay on a virtual clock, injects faults scripted from a seed, and checks its invariants.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play a range of seeds; exits with 1 if one of them violates an invariant.
    Run {
        /// The seeds, as FIRST..LAST, the last one not included.
        #[arg(long, value_parser = parse_seeds)]
        seeds: Range<u64>,
        /// Number of seeds that are played concurrently.
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u16).range(1..=256))]
        jobs: u16,
        /// Write a line of JSON for each seed to this file, in the order of the seeds.
        #[arg(long)]
        json: Option<PathBuf>,
        /// The kind of scenario.
        #[arg(long, value_enum, default_value_t)]
        days: ScenarioKind,
        /// Number of relays in a rolling scenario; drawn if not given.
        #[arg(long, value_parser = clap::value_parser!(u16).range(1..=1024))]
        relays: Option<u16>,
        /// Number of hosts in a rolling scenario; drawn if not given.
        #[arg(long, value_parser = clap::value_parser!(u16).range(1..=3072))]
        hosts: Option<u16>,
        /// Let hosts send some of their responses twice.
        #[arg(long)]
        repeat_responses: bool,
    },
    /// Play one seed and print its trace.
    Replay {
        /// The seed.
        seed: u64,
        /// Write the whole trace to this file instead of printing its last lines.
        #[arg(long)]
        trace: Option<PathBuf>,
        /// The kind of scenario.
        #[arg(long, value_enum, default_value_t)]
        days: ScenarioKind,
        /// Let hosts send some of their responses twice.
        #[arg(long)]
        repeat_responses: bool,
        /// Let the relays log their calls, which the trace then contains. Has no effect on hosted and kept days, whose relays
        /// have operator files of their own.
        #[arg(long)]
        log_calls: bool,
    },
    /// Reduce a seed's script to the faults and messages that the violation needs.
    Shrink {
        /// The seed.
        seed: u64,
        /// The kind of scenario.
        #[arg(long, value_enum, default_value_t)]
        days: ScenarioKind,
    },
    /// Run a demo of the relay with clients, partners and discovery on loopback sockets.
    Demo,
    /// Measure the CPU time of a message and the memory of relay builds, in turn.
    Cost {
        /// A relay program; give several to compare them.
        #[arg(long, required = true)]
        relay: Vec<PathBuf>,
        /// Number of tenants in the registry, among which the messages are spread; give several to compare them.
        #[arg(long, value_parser = clap::value_parser!(u64).range(1..=100_000))]
        tenants: Vec<u64>,
        /// Number of measurements of each combination.
        #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u32).range(1..=1000))]
        rounds: u32,
        /// Messages of one measurement.
        #[arg(long, default_value_t = 20_000, value_parser = clap::value_parser!(u64).range(100..=10_000_000))]
        messages: u64,
    },
    /// Replace a relay by itself repeatedly under load, and report the failures of clients and of control socket requests;
    /// exits with 1 if more than two connections failed in an upgrade (refused, reset or left unread), or any outside of
    /// upgrades.
    Upgrades {
        /// The relay program.
        #[arg(long)]
        relay: PathBuf,
        /// Number of upgrades.
        #[arg(long, default_value_t = 50, value_parser = clap::value_parser!(u32).range(1..=10_000))]
        times: u32,
        /// Milliseconds between a reply and the client's next message; 0 is full load.
        #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u64).range(0..=10_000))]
        pause: u64,
    },
    /// Run the relay; the demo starts it this way.
    #[command(hide = true)]
    Relay,
}

fn main() -> ExitCode {
    let arguments = match Arguments::try_parse() {
        Ok(arguments) => arguments,
        Err(error) if error.use_stderr() => {
            let text = error.to_string();
            let line = text.lines().next().unwrap_or("invalid arguments");
            eprintln!("relay-simulator: {}", line.trim_start_matches("error: "));
            return ExitCode::from(EXIT_ERROR);
        }
        Err(help) => {
            print!("{help}");
            return ExitCode::SUCCESS;
        }
    };
    match execute(arguments.command) {
        Ok(CommandOutcome::Passed) => ExitCode::SUCCESS,
        Ok(CommandOutcome::Failed) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("relay-simulator: {}", error.to_string().replace('\n', " "));
            ExitCode::from(EXIT_ERROR)
        }
    }
}

fn execute(command: Command) -> Result<CommandOutcome, Box<dyn Error>> {
    let outcome = match command {
        Command::Run {
            seeds,
            jobs,
            json,
            days,
            relays,
            hosts,
            repeat_responses,
        } => run::run(&RunPlan {
            seeds,
            jobs,
            report_file: json,
            kind: days,
            relays: relays.map(usize::from),
            hosts: hosts.map(usize::from),
            repeats_responses: repeat_responses,
        })?,
        Command::Replay {
            seed,
            trace,
            days,
            repeat_responses,
            log_calls,
        } => {
            let mut script = Script::draw_kind(days, seed);
            let has_operator_file = script.hosted.is_some() || script.kept.is_some();
            script.logs_table_levels = log_calls && !has_operator_file;
            let script = if repeat_responses {
                script.with_repeated_responses()
            } else {
                script
            };
            replay::run(&script, trace.as_deref())?
        }
        Command::Shrink { seed, days } => shrink::run(seed, days),
        Command::Demo => demo::run()?,
        Command::Cost {
            relay,
            tenants,
            rounds,
            messages,
        } => cost::run(&CostPlan {
            programs: relay,
            tenants,
            rounds,
            messages,
        })?,
        Command::Upgrades {
            relay,
            times,
            pause,
        } => upgrades::run(&relay, times, Duration::from_millis(pause))?,
        Command::Relay => {
            demo::run_relay()?;
            CommandOutcome::Passed
        }
    };
    Ok(outcome)
}
