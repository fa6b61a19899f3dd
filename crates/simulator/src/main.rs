//! `relay-simulator`: plays days from seeds, shows one step by step, cuts a fault script down, and shows a
//! newcomer the relay at work.

use std::error::Error;
use std::ops::Range;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Parser, Subcommand};
use simulator::commands::cost::CostPlan;
use simulator::commands::run::{parse_seeds, RunPlan};
use simulator::commands::{cost, demo, replay, run, shrink, upgrades, CommandOutcome};
use simulator::script::Days;

/// Exit code for arguments that can't be used, and for a command that can't be carried out.
const EXIT_UNUSABLE: u8 = 2;

/// Plays the whole relay on a virtual clock, against faults scripted from a seed, and checks its rules.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play a range of seeds; exits with 1 if a rule is broken on one of them.
    Run {
        /// The seeds, as FIRST..LAST, the last one not included.
        #[arg(long, value_parser = parse_seeds)]
        seeds: Range<u64>,
        /// Seeds that are played at once.
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u16).range(1..=256))]
        jobs: u16,
        /// Write a line of JSON for each seed to this file, in the order of the seeds.
        #[arg(long)]
        json: Option<PathBuf>,
        /// Which days are played.
        #[arg(long, value_enum, default_value_t)]
        days: Days,
        /// Relays of a rolling day; as drawn if not given.
        #[arg(long, value_parser = clap::value_parser!(u16).range(1..=1024))]
        relays: Option<u16>,
        /// Hosts of a rolling day; as drawn if not given.
        #[arg(long, value_parser = clap::value_parser!(u16).range(1..=3072))]
        hosts: Option<u16>,
    },
    /// Play one seed and show what happened.
    Replay {
        /// The seed.
        seed: u64,
        /// Write every step that counts to this file instead of the last ones to the screen.
        #[arg(long)]
        trace: Option<PathBuf>,
        /// Which days are played.
        #[arg(long, value_enum, default_value_t)]
        days: Days,
    },
    /// Leave out of a seed's script what the breach does not need.
    Shrink {
        /// The seed.
        seed: u64,
        /// Which days are played.
        #[arg(long, value_enum, default_value_t)]
        days: Days,
    },
    /// Show the relay at work between clients, partners and discovery on loopback sockets.
    Demo,
    /// Measure what a message costs builds of the relay, in turn.
    Cost {
        /// A relay's program; give several to compare them.
        #[arg(long, required = true)]
        relay: Vec<PathBuf>,
        /// Tenants of an operator's registry, which share the messages; give several to compare them.
        #[arg(long, value_parser = clap::value_parser!(u64).range(1..=100_000))]
        tenants: Vec<u64>,
        /// How often each is measured.
        #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u32).range(1..=1000))]
        rounds: u32,
        /// Messages of a round.
        #[arg(long, default_value_t = 20_000, value_parser = clap::value_parser!(u64).range(100..=10_000_000))]
        messages: u64,
    },
    /// Replace a relay by itself again and again under load, and tell what clients and callers at its door met; exits
    /// with 1 if an upgrade cost more than two connections (refused, reset or left unread).
    Upgrades {
        /// The relay's program.
        #[arg(long)]
        relay: PathBuf,
        /// How many upgrades.
        #[arg(long, default_value_t = 50, value_parser = clap::value_parser!(u32).range(1..=10_000))]
        times: u32,
        /// Milliseconds between a client's answer and its next message; 0 is full load.
        #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u64).range(0..=10_000))]
        pause: u64,
    },
    /// Be the relay; the demo starts itself so.
    #[command(hide = true)]
    Relay,
}

fn main() -> ExitCode {
    let arguments = match Arguments::try_parse() {
        Ok(arguments) => arguments,
        Err(error) if error.use_stderr() => {
            let text = error.to_string();
            let line = text.lines().next().unwrap_or("wrong arguments");
            eprintln!("relay-simulator: {}", line.trim_start_matches("error: "));
            return ExitCode::from(EXIT_UNUSABLE);
        }
        Err(help) => {
            print!("{help}");
            return ExitCode::SUCCESS;
        }
    };
    match carry_out(arguments.command) {
        Ok(CommandOutcome::Passed) => ExitCode::SUCCESS,
        Ok(CommandOutcome::Failed) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("relay-simulator: {}", error.to_string().replace('\n', " "));
            ExitCode::from(EXIT_UNUSABLE)
        }
    }
}

fn carry_out(command: Command) -> Result<CommandOutcome, Box<dyn Error>> {
    let outcome = match command {
        Command::Run {
            seeds,
            jobs,
            json,
            days,
            relays,
            hosts,
        } => run::run(&RunPlan {
            seeds,
            jobs,
            report_file: json,
            days,
            relays: relays.map(usize::from),
            hosts: hosts.map(usize::from),
        })?,
        Command::Replay { seed, trace, days } => replay::run(seed, trace.as_deref(), days)?,
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
