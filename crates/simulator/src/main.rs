//! `relay-simulator`: plays days from seeds, shows one step by step, cuts a fault script down, and shows a
//! newcomer the relay at work.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use clap::{Parser, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use simulator::script::{Days, Script};
use simulator::world::{play, Options, Report};
use simulator::{cost, demo, shrink, upgrades};

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
        #[arg(long, value_parser = seeds)]
        seeds: std::ops::Range<u64>,
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

fn seeds(text: &str) -> Result<std::ops::Range<u64>, String> {
    let bad = || format!("{text:?} is no range of seeds, such as 0..1000");
    let (first, last) = text.split_once("..").ok_or_else(bad)?;
    let (first, last) = (
        first.parse().map_err(|_| bad())?,
        last.parse().map_err(|_| bad())?,
    );
    if first < last {
        Ok(first..last)
    } else {
        Err(bad())
    }
}

fn main() -> ExitCode {
    let arguments = match Arguments::try_parse() {
        Ok(arguments) => arguments,
        Err(error) if error.use_stderr() => {
            let text = error.to_string();
            let line = text.lines().next().unwrap_or("wrong arguments");
            eprintln!("relay-simulator: {}", line.trim_start_matches("error: "));
            return ExitCode::from(2);
        }
        Err(help) => {
            print!("{help}");
            return ExitCode::SUCCESS;
        }
    };
    let done = match arguments.command {
        Command::Run {
            seeds,
            jobs,
            json,
            days,
            relays,
            hosts,
        } => {
            let sizes = [relays, hosts].map(|size| size.map(usize::from));
            match (days, sizes) {
                (Days::Rolling, _) | (_, [None, None]) => run(seeds, jobs, json, days, sizes),
                _ => Err(
                    "only rolling days can be drawn for other numbers of relays or hosts".into(),
                ),
            }
        }
        Command::Replay { seed, trace, days } => replay(seed, trace, days),
        Command::Shrink { seed, days } => cut_down(seed, days),
        Command::Demo => demo::run(),
        Command::Cost {
            relay,
            tenants,
            rounds,
            messages,
        } => cost::run(&relay, &tenants, rounds, messages),
        Command::Upgrades {
            relay,
            times,
            pause,
        } => upgrades::run(&relay, times, Duration::from_millis(pause)),
        Command::Relay => demo::relay().map(|()| true),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(line) => {
            eprintln!("relay-simulator: {}", line.replace('\n', " "));
            ExitCode::from(2)
        }
    }
}

fn run(
    seeds: std::ops::Range<u64>,
    jobs: u16,
    json: Option<PathBuf>,
    days: Days,
    sizes: [Option<usize>; 2],
) -> Result<bool, String> {
    let script = |seed| match days {
        Days::Rolling => Script::draw_rolling(seed, sizes[0], sizes[1]),
        days => Script::of(days, seed),
    };
    // Before the work, so that a path that can't be written costs none.
    let mut file = match &json {
        Some(path) => Some(
            std::fs::File::create(path)
                .map_err(|e| format!("cannot write {}: {e}", path.display()))?,
        ),
        None => None,
    };
    let began = Instant::now();
    let count = seeds.end - seeds.start;
    let bar = ProgressBar::new(count);
    if let Ok(style) =
        ProgressStyle::with_template("{bar:40} {pos} of {len} seeds, {per_sec}, {msg}")
    {
        bar.set_style(style);
    }
    // A panic in the relay counts as a breach and is told as one.
    std::panic::set_hook(Box::new(|_| {}));
    let next = AtomicU64::new(seeds.start);
    let reports = Mutex::new(BTreeMap::new());
    std::thread::scope(|scope| {
        for _ in 0..jobs {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= seeds.end {
                    break;
                }
                let report = play(&script(seed), Options::default());
                if let Some(broken) = &report.violation_text {
                    bar.suspend(|| println!("{broken}"));
                }
                if let Ok(mut reports) = reports.lock() {
                    reports.insert(seed, report);
                }
                bar.inc(1);
            });
        }
    });
    bar.finish_and_clear();
    drop(std::panic::take_hook());
    let reports = reports.into_inner().map_err(|_| "a thread was lost")?;
    if let Some(file) = &mut file {
        for report in reports.values() {
            let line = serde_json::to_string(report).map_err(|e| e.to_string())?;
            writeln!(file, "{line}").map_err(|e| format!("cannot write: {e}"))?;
        }
    }
    summary(&reports, began.elapsed(), jobs);
    Ok(reports
        .values()
        .all(|report| report.violation_text.is_none()))
}

fn summary(reports: &BTreeMap<u64, Report>, took: Duration, jobs: u16) {
    let mut rules: BTreeMap<&str, u64> = BTreeMap::new();
    for violation in reports
        .values()
        .filter_map(|report| report.violation.as_ref())
    {
        *rules.entry(violation.invariant).or_default() += 1;
    }
    let sum = |of: fn(&Report) -> u64| reports.values().map(of).sum::<u64>();
    let virtual_s = sum(|report| report.virtual_ms) / 1000;
    println!(
        "{} seeds in {:.1} s with {jobs} jobs, {:.1} a second and job; {virtual_s} virtual seconds",
        reports.len(),
        took.as_secs_f64(),
        reports.len() as f64 / took.as_secs_f64() / f64::from(jobs),
    );
    println!(
        "{} handed in, {} taken on, {} calls, {} delivered, {} undeliverable, {} deferred, {} restarts",
        sum(|r| r.counts.submitted),
        sum(|r| r.counts.accepted),
        sum(|r| r.counts.calls),
        sum(|r| r.counts.delivered),
        sum(|r| r.counts.undeliverable),
        sum(|r| r.counts.deferred),
        sum(|r| r.counts.restarts),
    );
    let records = sum(|r| r.counts.records);
    if records > 0 {
        println!(
            "{records} records of given-up messages, {} delivered by a resend, {} had taken effect before",
            sum(|r| r.counts.resent),
            sum(|r| r.counts.applied_before),
        );
    }
    println!("digest {:016x}", combined(reports, |report| &report.digest));
    println!(
        "digest of effects {:016x}",
        combined(reports, |report| &report.effects_digest)
    );
    if rules.is_empty() {
        println!("no rule broken")
    } else {
        println!("broken: {rules:?}")
    }
}

/// One number for a digest of all reports.
fn combined(reports: &BTreeMap<u64, Report>, digest: impl Fn(&Report) -> &String) -> u64 {
    let mut combined = DefaultHasher::new();
    for (seed, report) in reports {
        (seed, digest(report)).hash(&mut combined);
    }
    combined.finish()
}

fn replay(seed: u64, trace: Option<PathBuf>, days: Days) -> Result<bool, String> {
    let script = Script::of(days, seed);
    for fault in &script.faults {
        println!(
            "from {} ms until {} ms: {:?}",
            fault.from, fault.until, fault.trouble
        );
    }
    let report = play(
        &script,
        Options {
            traced: true,
            ..Options::default()
        },
    );
    match &trace {
        Some(path) => {
            let text = report.trace.join("\n") + "\n";
            std::fs::write(path, text)
                .map_err(|e| format!("cannot write {}: {e}", path.display()))?;
        }
        None => {
            let last = report.trace.len().saturating_sub(40);
            report.trace[last..]
                .iter()
                .for_each(|line| println!("{line}"));
        }
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
    Ok(report.violation_text.is_none())
}

fn cut_down(seed: u64, days: Days) -> Result<bool, String> {
    std::panic::set_hook(Box::new(|_| {}));
    let Some(small) = shrink::shrink(Script::of(days, seed), Options::default()) else {
        println!("seed {seed} breaks no rule");
        return Ok(true);
    };
    for fault in &small.script.faults {
        println!(
            "from {} ms until {} ms: {:?}",
            fault.from, fault.until, fault.trouble
        );
    }
    let names: Vec<&str> = small
        .script
        .clients
        .iter()
        .flatten()
        .map(|plan| plan.name.as_str())
        .collect();
    println!("{} messages: {}", names.len(), names.join(" "));
    println!("{}", small.broken);
    Ok(false)
}
