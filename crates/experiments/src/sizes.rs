//! Fleets of growing size at the same load: what reaches partners in time, and what it costs them.

use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

use comfy_table::{presets, Table};
use simulator::script::Script;
use simulator::world::{play, Options};

use crate::chart::{self, Series};
use crate::Error;

/// Sums over the days of a size.
#[derive(Clone, Copy, Debug, Default)]
struct Sums {
    relays: u16,
    messages: f64,
    delivered: f64,
    in_aim: f64,
    refused: f64,
    calls: f64,
    opened: f64,
    most_open: u64,
    lists: f64,
    starts: f64,
    broken: u64,
}

/// Plays the sizes, writes the chart, and gives the table.
pub fn run(relays: &[u16], seeds: u64, jobs: u16, chart: Option<&Path>) -> Result<String, Error> {
    if let Some(wrong) = relays.iter().find(|relays| !(1..=200).contains(*relays)) {
        return Err(Error::Relays(*wrong));
    }
    let rows: Vec<Sums> = relays
        .iter()
        .map(|relays| of_size(*relays, seeds, jobs))
        .collect();
    if let Some(path) = chart {
        let line = |name, of: fn(&Sums) -> f64| {
            let points = rows
                .iter()
                .map(|row| (f64::from(row.relays), of(row).min(1.0)))
                .collect();
            Series { name, points }
        };
        let series = [
            line("delivered in aim, of all messages", |s| {
                s.in_aim / s.messages
            }),
            line("delivered", |s| s.delivered / s.messages),
            line("calls refused, for a message", |s| s.refused / s.messages),
            line("connections opened, for a call", |s| s.opened / s.calls),
        ];
        chart::shares(path, "The same load over more relays", "relays", &series)?;
    }
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
            format!("{:.3}", row.delivered / row.messages),
            format!("{:.3}", row.in_aim / row.messages),
            format!("{:.3}", row.refused / row.messages),
            format!("{:.3}", row.opened / row.calls),
            row.most_open.to_string(),
            format!("{:.2}", row.lists / row.starts),
            row.broken.to_string(),
        ]);
    }
    Ok(table.to_string())
}

fn of_size(relays: u16, seeds: u64, jobs: u16) -> Sums {
    let (next, sums) = (
        AtomicU64::new(0),
        Mutex::new(Sums {
            relays,
            ..Sums::default()
        }),
    );
    std::thread::scope(|scope| {
        for _ in 0..jobs {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= seeds {
                    break;
                }
                let report = play(
                    &Script::draw_vast(seed, usize::from(relays)),
                    Options::default(),
                );
                report
                    .violation_text
                    .iter()
                    .for_each(|broken| eprintln!("{relays} relays: {broken}"));
                let Ok(mut sums) = sums.lock() else { break };
                let counts = report.counts;
                sums.messages += report.messages as f64;
                sums.delivered += counts.delivered as f64;
                sums.in_aim += counts.within_objective as f64;
                sums.refused += counts.rejected_calls as f64;
                sums.calls += counts.calls as f64;
                sums.opened += counts.host_connections as f64;
                sums.most_open = sums.most_open.max(counts.max_open_connections);
                sums.lists += counts.discovery_polls as f64;
                sums.starts += f64::from(relays) + counts.restarts as f64;
                sums.broken += u64::from(report.violation_text.is_some());
            });
        }
    });
    sums.into_inner().unwrap_or_default()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_table_has_a_row_a_size_and_a_chart_is_written() {
        let chart =
            std::env::temp_dir().join(format!("madderpitch-sizes-{}.svg", std::process::id()));
        let text = run(&[1, 3], 1, 1, Some(&chart)).expect("played");
        assert_eq!(
            text.lines().filter(|line| line.contains("0.")).count(),
            2,
            "{text}"
        );
        let drawn = std::fs::read_to_string(&chart).expect("written");
        assert!(drawn.contains("<svg") && drawn.contains("delivered in aim"));
        std::fs::remove_file(chart).expect("removed");
        assert!(run(&[0], 1, 1, None).is_err());
    }
}
