//! Simulates fleets of increasing size at the same load: how many messages are delivered in time, and how many rejected
//! calls and connections that costs the partners.

#[cfg(test)]
mod tests;

use std::ops::RangeInclusive;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

use comfy_table::{presets, Table};
use simulator::script::Script;
use simulator::world::{play, Options, Report};

use crate::chart::{self, Point, Series};
use crate::error::Error;

/// Numbers of relays that the simulation supports.
const FLEET_SIZES: RangeInclusive<u16> = 1..=200;

/// Sums over all simulations of one fleet size.
#[derive(Clone, Copy, Debug, Default)]
struct SizeTotals {
    relays: u16,
    messages: f64,
    delivered: f64,
    /// Of the delivered messages, those delivered within the latency objective.
    within_objective: f64,
    rejected_calls: f64,
    calls: f64,
    connections_opened: f64,
    /// Maximum number of connections open at one host at the same time.
    max_open_at_host: u64,
    /// Number of host lists that discovery sent.
    host_lists: f64,
    process_starts: f64,
    /// Simulations that violated an invariant.
    violations: u64,
}

impl SizeTotals {
    fn delivered_share(&self) -> f64 {
        self.delivered / self.messages
    }

    fn within_objective_share(&self) -> f64 {
        self.within_objective / self.messages
    }

    fn rejections_per_message(&self) -> f64 {
        self.rejected_calls / self.messages
    }

    fn connections_per_call(&self) -> f64 {
        self.connections_opened / self.calls
    }

    fn host_lists_per_start(&self) -> f64 {
        self.host_lists / self.process_starts
    }

    fn add(&mut self, report: &Report) {
        let counts = &report.counts;
        self.messages += report.messages as f64;
        self.delivered += counts.delivered as f64;
        self.within_objective += counts.within_objective as f64;
        self.rejected_calls += counts.rejected_calls as f64;
        self.calls += counts.calls as f64;
        self.connections_opened += counts.host_connections as f64;
        self.max_open_at_host = self.max_open_at_host.max(counts.max_open_connections);
        self.host_lists += counts.discovery_polls as f64;
        self.process_starts += f64::from(self.relays) + counts.restarts as f64;
        self.violations += u64::from(report.violation_text.is_some());
    }
}

/// Simulates the seeds `0..seeds` at each fleet size, `jobs` in parallel; writes the chart, and returns the table.
///
/// # Errors
///
/// [`Error::RelaysOutOfRange`] before any simulation starts, [`Error::Chart`] if the chart cannot be written.
pub fn run(
    fleet_sizes: &[u16],
    seeds: u64,
    jobs: u16,
    chart: Option<&Path>,
) -> Result<String, Error> {
    if let Some(invalid) = fleet_sizes.iter().find(|size| !FLEET_SIZES.contains(size)) {
        return Err(Error::RelaysOutOfRange(*invalid));
    }
    let rows: Vec<SizeTotals> = fleet_sizes
        .iter()
        .map(|relays| play_size(*relays, seeds, jobs))
        .collect();
    if let Some(path) = chart {
        let title = "The same load over more relays";
        chart::draw_shares(path, title, "relays", &chart_series(&rows))?;
    }
    Ok(table(&rows).to_string())
}

fn play_size(relays: u16, seeds: u64, jobs: u16) -> SizeTotals {
    let next_seed = AtomicU64::new(0);
    let totals = Mutex::new(SizeTotals {
        relays,
        ..SizeTotals::default()
    });
    std::thread::scope(|scope| {
        for _ in 0..jobs {
            scope.spawn(|| play_seeds(&next_seed, seeds, &totals, relays));
        }
    });
    totals.into_inner().unwrap_or_default()
}

/// Simulates one seed after another until none is left, or until another thread has panicked.
fn play_seeds(next_seed: &AtomicU64, seeds: u64, totals: &Mutex<SizeTotals>, relays: u16) {
    loop {
        let seed = next_seed.fetch_add(1, Ordering::Relaxed);
        if seed >= seeds {
            return;
        }
        let script = Script::draw_vast(seed, usize::from(relays));
        let report = play(&script, Options::default());
        if let Some(violation) = &report.violation_text {
            eprintln!("{relays} relays: {violation}");
        }
        let Ok(mut totals) = totals.lock() else {
            return;
        };
        totals.add(&report);
    }
}

fn chart_series(rows: &[SizeTotals]) -> [Series; 4] {
    let series = |name, value: fn(&SizeTotals) -> f64| {
        let points = rows
            .iter()
            .map(|row| Point {
                x: f64::from(row.relays),
                y: value(row).min(1.0),
            })
            .collect();
        Series { name, points }
    };
    [
        series(
            "delivered in aim, of all messages",
            SizeTotals::within_objective_share,
        ),
        series("delivered", SizeTotals::delivered_share),
        series(
            "calls refused, for a message",
            SizeTotals::rejections_per_message,
        ),
        series(
            "connections opened, for a call",
            SizeTotals::connections_per_call,
        ),
    ]
}

fn table(rows: &[SizeTotals]) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::ASCII_MARKDOWN).set_header([
        "relays",
        "delivered",
        "in aim",
        "refused a message",
        "opened a call",
        "most at a host",
        "lists a start",
        "broken",
    ]);
    for row in rows {
        table.add_row([
            row.relays.to_string(),
            format!("{:.3}", row.delivered_share()),
            format!("{:.3}", row.within_objective_share()),
            format!("{:.3}", row.rejections_per_message()),
            format!("{:.3}", row.connections_per_call()),
            row.max_open_at_host.to_string(),
            format!("{:.2}", row.host_lists_per_start()),
            row.violations.to_string(),
        ]);
    }
    table
}
