//! `figures`: the metrics that a process reports agree with what was observed on sockets.

mod bounds;
mod expectation;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bounds::Bounds;
use expectation::{ClassCounts, Expectation};

use super::invariant::Invariant;
use super::violation::Violations;
use crate::history::{History, Observation};

/// Events less than this before a report may not be in its metrics yet.
const REPORT_DELAY: Duration = Duration::from_millis(500);

/// When valid and invalid configuration files were reloaded since the process started.
#[derive(Default)]
struct Reloads {
    valid: Vec<Duration>,
    invalid: Vec<Duration>,
}

#[derive(Default)]
pub struct Metrics {
    /// When the process became ready.
    ready_at: Option<Duration>,
    /// Processes that took part in an upgrade, whose metrics are not checked.
    upgraded: BTreeSet<u32>,
    reloads: Reloads,
}

impl Invariant for Metrics {
    fn observe(
        &mut self,
        history: &History,
        observation: &Observation<'_>,
        violations: &mut Violations,
    ) {
        match observation {
            Observation::ProcessStarted(_) => {
                self.ready_at = None;
                self.reloads = Reloads::default();
            }
            Observation::ProcessReady => self.ready_at = Some(history.now),
            Observation::UpgradeStarted(processes) => self.upgraded.extend(processes),
            Observation::ReloadRequested { is_valid: true } => {
                self.reloads.valid.push(history.now);
            }
            Observation::ReloadRequested { is_valid: false } => {
                self.reloads.invalid.push(history.now);
            }
            Observation::MetricsReported {
                process,
                requested_at,
                text,
            } if self.is_comparable(history, *process, *requested_at) => {
                if let Some(mismatch) = self.mismatch(history, *requested_at, text) {
                    violations.report("figures", mismatch);
                }
            }
            _ => {}
        }
    }
}

impl Metrics {
    /// Whether everything that a process counts was observed.
    fn is_comparable(&self, history: &History, process: u32, requested_at: Duration) -> bool {
        let is_settled = self
            .ready_at
            .is_some_and(|ready_at| ready_at + 2 * REPORT_DELAY < requested_at);
        process == history.process
            && is_settled
            && !self.upgraded.contains(&process)
            && !history.disk_was_full
    }

    /// The first metric that disagrees with what was observed.
    fn mismatch(&self, history: &History, requested_at: Duration, text: &str) -> Option<String> {
        let reported = parse(text);
        let counted_until = requested_at.saturating_sub(REPORT_DELAY);
        message_mismatch(history, &self.upgraded, counted_until, &reported)
            .or_else(|| {
                reload_mismatch(
                    "reload_success",
                    &self.reloads.valid,
                    counted_until,
                    &reported,
                )
            })
            .or_else(|| {
                reload_mismatch(
                    "reload_failure",
                    &self.reloads.invalid,
                    counted_until,
                    &reported,
                )
            })
    }
}

/// Metrics by name. Those that cannot be parsed are left out, and so are reported as missing.
fn parse(text: &str) -> BTreeMap<&str, u64> {
    let lines = text.lines();
    let pairs = lines.filter_map(|line| line.strip_prefix("relay.")?.split_once('='));
    pairs
        .filter_map(|(name, value)| Some((name, value.parse().ok()?)))
        .collect()
}

/// A metric and its expected range.
struct Expected {
    name: String,
    bounds: Bounds,
    /// Tolerance in percent.
    tolerance_percent: u64,
}

/// The first metric about messages that is out of bounds.
fn message_mismatch(
    history: &History,
    upgraded: &BTreeSet<u32>,
    counted_until: Duration,
    reported: &BTreeMap<&str, u64>,
) -> Option<String> {
    let expected = expected_metrics(history, upgraded, counted_until);
    expected.into_iter().find_map(|expected| {
        let Expected { name, bounds, .. } = expected;
        let value = reported.get(name.as_str());
        let is_expected = match value {
            Some(value) => bounds.contain(*value, expected.tolerance_percent),
            // A process that never had the transient class in its settings does not report it.
            None => {
                let class = name.split_once('.').map(|(_, class)| class);
                class.is_some() && class == history.limits.transient_class
            }
        };
        let Bounds { min, max } = bounds;
        (!is_expected).then(|| format!("{name} is {value:?}, and by what was seen {min} to {max}"))
    })
}

/// The expected metrics about messages.
fn expected_metrics(
    history: &History,
    upgraded: &BTreeSet<u32>,
    counted_until: Duration,
) -> Vec<Expected> {
    let expectation = Expectation::new(history, upgraded, counted_until);
    let mut classes: BTreeMap<&str, ClassCounts> = BTreeMap::new();
    let (mut concurrent, mut dispatches) = (Bounds::default(), Bounds::default());
    for message in history.messages.values() {
        let counts = classes.entry(&message.request.class).or_default();
        expectation.count_ends(message, counts);
        expectation.count_held(message, &mut concurrent);
        expectation.count_calls(message, &mut dispatches);
    }
    if history.limits.requests_may_vanish {
        dispatches.lift_max();
    }
    let by_class = classes.iter().flat_map(|(class, counts)| {
        let named = [
            ("success", counts.success),
            ("overload", counts.overload),
            ("error", counts.error),
        ];
        named.map(|(name, bounds)| Expected {
            name: format!("{name}.{class}"),
            bounds,
            tolerance_percent: 1,
        })
    });
    let of_all = [
        Expected {
            name: "concurrent".into(),
            bounds: concurrent,
            tolerance_percent: 10,
        },
        Expected {
            name: "dispatches".into(),
            bounds: dispatches,
            tolerance_percent: 2,
        },
    ];
    by_class.chain(of_all).collect()
}

/// Describes how a count of reloads disagrees with the reloads that were requested.
fn reload_mismatch(
    name: &str,
    read_at: &[Duration],
    counted_until: Duration,
    reported: &BTreeMap<&str, u64>,
) -> Option<String> {
    let min = read_at.iter().filter(|at| **at < counted_until).count() as u64;
    let max = read_at.len() as u64;
    let value = reported.get(name).copied();
    let is_expected = value.is_some_and(|value| (min..=max).contains(&value));
    (!is_expected).then(|| format!("{name} is {value:?}, and {min} to {max} files were read"))
}
