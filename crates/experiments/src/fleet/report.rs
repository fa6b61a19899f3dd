//! Formats a fleet's counts as tables and totals.

use comfy_table::{presets, Table};

use super::counts::{FleetCounts, IntervalCounts};

/// Number of the latest calls to leaving hosts that the totals list.
const MAX_LATE_CALLS_LISTED: usize = 5;
const MS_PER_SECOND: f64 = 1000.0;

/// The parts of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportDetail {
    /// A table for each destination with a row for each interval, then the totals.
    Intervals,
    /// Only the totals.
    TotalsOnly,
}

/// Formats the report on a fleet.
pub(super) fn render(counts: &FleetCounts, detail: ReportDetail) -> String {
    let tables = match detail {
        ReportDetail::Intervals => render_destinations(counts),
        ReportDetail::TotalsOnly => String::new(),
    };
    tables + &render_totals(counts)
}

fn render_destinations(counts: &FleetCounts) -> String {
    let interval_ms = counts.interval_ms;
    let mut text = String::new();
    for (destination, rate) in &counts.listed_rates {
        let table = interval_table(counts, *destination);
        text += &format!(
            "destination {destination}, accepts {rate} calls per second; {interval_ms} ms per row\n{table}\n\n"
        );
    }
    text
}

fn interval_table(counts: &FleetCounts, destination: u16) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING).set_header([
        "at s", "arrived", "calls", "trials", "good", "refused", "waits", "failed", "opened",
        "given up", "left",
    ]);
    for (interval, row) in counts.intervals_of(destination) {
        let start_s = (interval * counts.interval_ms) as f64 / MS_PER_SECOND;
        table.add_row([
            format!("{start_s:.1}"),
            row.arrived.to_string(),
            row.calls.to_string(),
            row.probes.to_string(),
            row.delivered.to_string(),
            row.rejected.to_string(),
            row.with_retry_after.to_string(),
            row.failed.to_string(),
            row.connections_opened.to_string(),
            row.abandoned.to_string(),
            format!("{:.2}", row.allowance.value()),
        ]);
    }
    table
}

fn render_totals(counts: &FleetCounts) -> String {
    let totals = counts.totals();
    [
        render_messages(counts, &totals),
        render_calls(&totals),
        render_connections(counts, &totals),
        render_recoveries(counts),
        render_departures(counts),
    ]
    .join("\n")
}

fn render_messages(counts: &FleetCounts, totals: &IntervalCounts) -> String {
    format!(
        "{} starts, {} messages arrived ({} from journals), {} given up",
        counts.process_starts, totals.arrived, totals.restored, totals.abandoned,
    )
}

fn render_calls(totals: &IntervalCounts) -> String {
    format!(
        "{} calls ({} trials): {} good, {} refused ({:.2} a message; {} with a wait), {} failed",
        totals.calls,
        totals.probes,
        totals.delivered,
        totals.rejected,
        ratio(totals.rejected, totals.arrived),
        totals.with_retry_after,
        totals.failed,
    )
}

fn render_connections(counts: &FleetCounts, totals: &IntervalCounts) -> String {
    format!(
        "{} connections opened ({:.2} a call), {} hosts listed",
        totals.connections_opened,
        ratio(totals.connections_opened, totals.calls),
        counts.host_listings,
    )
}

fn render_recoveries(counts: &FleetCounts) -> String {
    let times: Vec<u64> = counts
        .listed_rates
        .keys()
        .flat_map(|destination| counts.recovery_times_ms(*destination))
        .collect();
    let mean_s = ratio(times.iter().sum(), times.len() as u64) / MS_PER_SECOND;
    format!(
        "{} periods without a good call; {mean_s:.1} s on average from their end to nine tenths of the limit",
        times.len(),
    )
}

fn render_departures(counts: &FleetCounts) -> String {
    let late_calls = counts.departures.late_calls();
    format!(
        "{} hosts announced as leaving; {} calls to them after that, the last ones {:?} ms after",
        counts.departures.announced_hosts(),
        late_calls.len(),
        &late_calls[..late_calls.len().min(MAX_LATE_CALLS_LISTED)],
    )
}

/// The quotient, with a denominator of 0 replaced by 1.
fn ratio(numerator: u64, denominator: u64) -> f64 {
    numerator as f64 / denominator.max(1) as f64
}
