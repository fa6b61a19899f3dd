//! The report of the effect of upgrades.

use std::time::{Duration, Instant};

use super::load::{ConnectionFailure, FailedConnection, LoadLog};
use super::UPGRADE_INTERVAL;
use crate::commands::CommandOutcome;

/// Maximum number of failed connections in an upgrade.
const MAX_FAILED_CONNECTIONS: usize = 2;
/// The baseline before an upgrade is this much shorter than the interval between two upgrades.
const BASELINE_MARGIN: Duration = Duration::from_millis(100);

/// One upgrade.
pub(super) struct Upgrade {
    pub started_at: Instant,
    /// When it had no effect on clients any more.
    pub ended_at: Instant,
    /// Time until the new process was ready.
    pub ready_after: Duration,
}

impl Upgrade {
    fn span(&self) -> Span {
        Span {
            start: self.started_at,
            end: self.ended_at,
        }
    }

    /// The time without an upgrade right before this one, for comparison.
    fn baseline(&self) -> Span {
        Span {
            start: self.started_at - UPGRADE_INTERVAL + BASELINE_MARGIN,
            end: self.started_at,
        }
    }
}

/// A span of time; the end is not included.
struct Span {
    start: Instant,
    end: Instant,
}

impl Span {
    fn contains(&self, at: Instant) -> bool {
        self.start <= at && at < self.end
    }
}

/// Prints what clients and operators observed. Fails if too many connections failed in an upgrade, or any outside of all
/// upgrades.
pub(super) fn report(log: &LoadLog, upgrades: &[Upgrade]) -> CommandOutcome {
    let failed = &log.failed_connections;
    let spans: Vec<Span> = upgrades.iter().map(Upgrade::span).collect();
    let baselines: Vec<Span> = upgrades.iter().map(Upgrade::baseline).collect();
    let failed_by_upgrade: Vec<usize> = spans
        .iter()
        .map(|span| failed.iter().filter(|one| span.contains(one.at)).count())
        .collect();
    let most_in_one = failed_by_upgrade.iter().copied().max().unwrap_or(0);
    let outside = failed.len() - failed_by_upgrade.iter().sum::<usize>();
    println!(
        "{} upgrades, {} messages taken on, {} turned away",
        upgrades.len(),
        log.accepted.len(),
        log.rejected
    );
    println!(
        "connections: {} refused, {} reset, {} unread; {most_in_one} at most in an upgrade, {outside} outside",
        count(failed, ConnectionFailure::Refused),
        count(failed, ConnectionFailure::Reset),
        count(failed, ConnectionFailure::Unread),
    );
    print_percentiles(
        "start until yes",
        upgrades.iter().map(|upgrade| upgrade.ready_after).collect(),
    );
    print_percentiles(
        "longest time between two messages taken on, in an upgrade",
        longest_gaps(&log.accepted, &spans),
    );
    print_percentiles(
        "the same in 0.6 s before each",
        longest_gaps(&log.accepted, &baselines),
    );
    let answers = format!(
        "answers at the door ({}; {} calls without)",
        log.control_latencies.len(),
        log.unanswered_control_calls
    );
    print_percentiles(&answers, log.control_latencies.clone());
    CommandOutcome::passed_if(most_in_one <= MAX_FAILED_CONNECTIONS && outside == 0)
}

fn count(failed: &[FailedConnection], failure: ConnectionFailure) -> usize {
    failed.iter().filter(|one| one.failure == failure).count()
}

/// The longest time between two accepted messages, for each span.
fn longest_gaps(accepted: &[Instant], spans: &[Span]) -> Vec<Duration> {
    let longest = |span: &Span| {
        let first = accepted
            .partition_point(|at| *at < span.start)
            .saturating_sub(1);
        let last = (accepted.partition_point(|at| *at < span.end) + 1).min(accepted.len());
        let pairs = accepted.get(first..last).unwrap_or_default().windows(2);
        pairs
            .map(|pair| pair[1] - pair[0])
            .max()
            .unwrap_or(span.end - span.start)
    };
    spans.iter().map(longest).collect()
}

fn print_percentiles(what: &str, mut times: Vec<Duration>) {
    times.sort_unstable();
    let percentile_ms = |percent: usize| {
        let rank = (times.len() * percent).div_ceil(100);
        times
            .get(rank.saturating_sub(1))
            .map_or(0.0, |time| time.as_secs_f64() * 1e3)
    };
    println!(
        "{what}: p50 {:.1} ms, p99 {:.1} ms, longest {:.1} ms",
        percentile_ms(50),
        percentile_ms(99),
        percentile_ms(100)
    );
}
