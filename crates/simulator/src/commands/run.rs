//! `run`: plays a range of seeds on several threads, and prints violations and totals.

use std::collections::BTreeMap;
use std::fs::File;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::{self, Write};
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use indicatif::{ProgressBar, ProgressStyle};
use thiserror::Error;

use super::CommandOutcome;
use crate::script::{ScenarioKind, Script};
use crate::world::{play, Options, Report};

/// Template of the progress bar.
const PROGRESS_TEMPLATE: &str = "{bar:40} {pos} of {len} seeds, {per_sec}, {msg}";

/// The text is not a valid range of seeds.
#[derive(Debug, Error)]
#[error("{0:?} is not a range of seeds such as 0..1000")]
pub struct SeedRangeError(String);

/// Parses a range of seeds of the form `FIRST..LAST`, the last one not included.
///
/// # Errors
///
/// If the text has another form, or the range is empty.
pub fn parse_seeds(text: &str) -> Result<Range<u64>, SeedRangeError> {
    let parse = || {
        let (first, last) = text.split_once("..")?;
        let seeds: Range<u64> = first.parse().ok()?..last.parse().ok()?;
        (!seeds.is_empty()).then_some(seeds)
    };
    parse().ok_or_else(|| SeedRangeError(text.into()))
}

/// The parameters of a run.
#[derive(Clone, Debug)]
pub struct RunPlan {
    /// The seeds.
    pub seeds: Range<u64>,
    /// Number of seeds that are played concurrently.
    pub jobs: u16,
    /// File for a line of JSON for each seed; none for no file.
    pub report_file: Option<PathBuf>,
    /// The kind of scenario.
    pub kind: ScenarioKind,
    /// Number of relays in a rolling scenario; drawn if not given.
    pub relays: Option<usize>,
    /// Number of hosts in a rolling scenario; drawn if not given.
    pub hosts: Option<usize>,
    /// Whether hosts send some of their responses twice.
    pub repeats_responses: bool,
}

impl RunPlan {
    fn script(&self, seed: u64) -> Script {
        let script = match self.kind {
            ScenarioKind::Rolling => Script::draw_rolling(seed, self.relays, self.hosts),
            kind => Script::draw_kind(kind, seed),
        };
        if self.repeats_responses {
            script.with_repeated_responses()
        } else {
            script
        }
    }
}

/// A run could not be carried out.
#[derive(Debug, Error)]
pub enum RunError {
    /// Only rolling scenarios have a configurable size.
    #[error("--relays and --hosts can only be used with --days rolling")]
    FixedSize,
    /// The report file can't be created.
    #[error("cannot write {}: {source}", path.display())]
    CreateReportFile {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A report can't be written.
    #[error("cannot write the reports: {0}")]
    WriteReport(#[source] io::Error),
    /// A report can't be encoded as JSON.
    #[error(transparent)]
    EncodeReport(#[from] serde_json::Error),
    /// A thread panicked while it held the reports.
    #[error("a thread panicked")]
    ThreadPanicked,
}

/// Reports by seed.
type Reports = BTreeMap<u64, Report>;

/// Plays the seeds of a plan. Violations are printed when they are found, and the totals at the end.
///
/// # Errors
///
/// If the plan has a size but its kind of scenario is not rolling, or if the reports can't be written.
pub fn run(plan: &RunPlan) -> Result<CommandOutcome, RunError> {
    let has_explicit_size = plan.relays.is_some() || plan.hosts.is_some();
    if has_explicit_size && plan.kind != ScenarioKind::Rolling {
        return Err(RunError::FixedSize);
    }
    // The file is created first, so that an invalid path is reported before the seeds are played.
    let report_file = plan
        .report_file
        .as_deref()
        .map(create_report_file)
        .transpose()?;
    let started_at = Instant::now();
    let reports = play_all(plan)?;
    if let Some(file) = report_file {
        write_reports(file, &reports)?;
    }
    print_summary(&reports, started_at.elapsed(), plan.jobs);
    Ok(CommandOutcome::passed_if(
        reports
            .values()
            .all(|report| report.violation_text.is_none()),
    ))
}

fn create_report_file(path: &Path) -> Result<File, RunError> {
    File::create(path).map_err(|source| RunError::CreateReportFile {
        path: path.into(),
        source,
    })
}

/// Plays all seeds, `jobs` of them concurrently.
fn play_all(plan: &RunPlan) -> Result<Reports, RunError> {
    let progress = progress_bar(plan.seeds.end - plan.seeds.start);
    // A panic in the relay is reported as a violation, not by the hook.
    std::panic::set_hook(Box::new(|_| {}));
    let next_seed = AtomicU64::new(plan.seeds.start);
    let reports = Mutex::new(Reports::new());
    let play_next = || {
        let seed = next_seed.fetch_add(1, Ordering::Relaxed);
        if seed >= plan.seeds.end {
            return false;
        }
        let report = play(&plan.script(seed), Options::default());
        if let Some(violation) = &report.violation_text {
            progress.suspend(|| println!("{violation}"));
        }
        if let Ok(mut reports) = reports.lock() {
            reports.insert(seed, report);
        }
        progress.inc(1);
        true
    };
    std::thread::scope(|scope| {
        for _ in 0..plan.jobs {
            scope.spawn(|| while play_next() {});
        }
    });
    progress.finish_and_clear();
    drop(std::panic::take_hook());
    reports.into_inner().map_err(|_| RunError::ThreadPanicked)
}

fn progress_bar(seeds: u64) -> ProgressBar {
    let progress = ProgressBar::new(seeds);
    if let Ok(style) = ProgressStyle::with_template(PROGRESS_TEMPLATE) {
        progress.set_style(style);
    }
    progress
}

fn write_reports(mut file: File, reports: &Reports) -> Result<(), RunError> {
    for report in reports.values() {
        let line = serde_json::to_string(report)?;
        writeln!(file, "{line}").map_err(RunError::WriteReport)?;
    }
    Ok(())
}

fn print_summary(reports: &Reports, took: Duration, jobs: u16) {
    let sum = |of: fn(&Report) -> u64| reports.values().map(of).sum::<u64>();
    let virtual_seconds = sum(|report| report.virtual_ms) / 1000;
    println!(
        "{} seeds in {:.1} s with {jobs} jobs, {:.1} a second and job; {virtual_seconds} virtual seconds",
        reports.len(),
        took.as_secs_f64(),
        reports.len() as f64 / took.as_secs_f64() / f64::from(jobs),
    );
    println!(
        "{} handed in, {} taken on, {} calls, {} delivered, {} undeliverable, {} deferred, {} restarts",
        sum(|report| report.counts.submitted),
        sum(|report| report.counts.accepted),
        sum(|report| report.counts.calls),
        sum(|report| report.counts.delivered),
        sum(|report| report.counts.undeliverable),
        sum(|report| report.counts.deferred),
        sum(|report| report.counts.restarts),
    );
    let records = sum(|report| report.counts.records);
    if records > 0 {
        println!(
            "{records} records of given-up messages, {} delivered by a resend, {} had taken effect before",
            sum(|report| report.counts.resent),
            sum(|report| report.counts.applied_before),
        );
    }
    let digest = combined_digest(reports, |report| &report.digest);
    println!("digest {digest:016x}");
    let effects_digest = combined_digest(reports, |report| &report.effects_digest);
    println!("digest of effects {effects_digest:016x}");
    print_violated_invariants(reports);
}

/// Prints for each violated invariant the number of seeds.
fn print_violated_invariants(reports: &Reports) {
    let mut seeds_by_invariant: BTreeMap<&str, u64> = BTreeMap::new();
    for violation in reports
        .values()
        .filter_map(|report| report.violation.as_ref())
    {
        *seeds_by_invariant.entry(violation.invariant).or_default() += 1;
    }
    if seeds_by_invariant.is_empty() {
        println!("no rule broken");
    } else {
        println!("broken: {seeds_by_invariant:?}");
    }
}

/// Combines a digest of all reports into one number.
fn combined_digest(reports: &Reports, digest: impl Fn(&Report) -> &String) -> u64 {
    let mut combined = DefaultHasher::new();
    for (seed, report) in reports {
        (seed, digest(report)).hash(&mut combined);
    }
    combined.finish()
}
