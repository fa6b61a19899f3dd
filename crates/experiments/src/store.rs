//! The store of undeliverable messages at size: how fast records are kept, and how long a filtered page takes.

use std::time::Instant;

use comfy_table::{presets, Table};
use hdrhistogram::Histogram;
use runtime::{OsRuntime, Runtime};
use undeliverable::record::{Idempotency, Origin};
use undeliverable::{Attempt, Filter, Outcome, Reason, Record, RecordState, Store};

use crate::Error;

/// Records that are kept in one go: what a relay gives up between two looks of a bad hour.
const AT_ONCE: u64 = 100;
/// Records of a page, and pages that are read of each filter.
const PAGE: (usize, u64) = (50, 400);
/// Bytes of a body.
const BODY: usize = 200;
/// Records are given up so many microseconds after each other.
const APART: u64 = 50_000;

fn record(number: u64) -> Record {
    let ended = number * APART;
    let may_have_run = number.is_multiple_of(3);
    let attempt = |sent| Attempt {
        sent,
        host: format!("partner-{}-a.example", number % 200),
        outcome: if may_have_run {
            Outcome::TimedOut
        } else {
            Outcome::Refused
        },
        may_have_run,
        resend: 0,
    };
    let origin = Origin {
        name: format!("payout-{number:09}"),
        tenant: format!("tenant-{:03}", number % 97),
        class: ["payout", "event", "update"][number as usize % 3].into(),
        destination: (number % 200) as u16,
        idempotency_key: Some(format!("key-{number:09}")),
        ordering_key: None,
        deadline: ended,
    };
    Record {
        origin,
        idempotency: Idempotency::NonIdempotent,
        size: BODY as u32,
        given_up_at: ended,
        reason: Reason::ALL[number as usize % Reason::ALL.len()],
        attempts: (0..1 + number % 4)
            .map(|n| attempt(ended.saturating_sub(n * 1000)))
            .collect(),
        attestations: Vec::new(),
        state: RecordState::Open,
        version: 1,
        resends: 0,
    }
}

/// Kilobytes of this process's memory that a line of `/proc/self/status` tells.
fn memory(line: &str) -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let found = status.lines().find_map(|text| text.strip_prefix(line));
    found
        .and_then(|text| {
            text.trim_matches(|c: char| !c.is_ascii_digit())
                .parse()
                .ok()
        })
        .unwrap_or(0)
}

/// Fills a store in a folder of its own, reads pages, and gives the table.
#[expect(
    clippy::too_many_lines,
    reason = "to be divided with the second part of readable code, see docs/ROADMAP.md"
)]
pub fn run(records: u64) -> Result<String, Error> {
    let bad = |e: &dyn std::fmt::Display| Error::Store(e.to_string());
    let folder = tempfile::tempdir().map_err(|e| bad(&e))?;
    let path = folder.path().join("undeliverable.redb");
    let before = memory("VmRSS:");
    let open = || -> Result<Store, Error> {
        let pages = OsRuntime.open_random_access(&path).map_err(|e| bad(&e))?;
        Store::open(pages, false).map_err(|e| bad(&e))
    };
    let store = open()?;
    let body = [0x61; BODY];
    let began = Instant::now();
    let mut keeps = Histogram::<u64>::new_with_bounds(1, 600_000_000, 3).map_err(|e| bad(&e))?;
    for first in (0..records).step_by(AT_ONCE as usize) {
        let all: Vec<(Record, &[u8])> = (first..(first + AT_ONCE).min(records))
            .map(|number| (record(number), &body[..]))
            .collect();
        let one = Instant::now();
        store.insert(&all).map_err(|e| bad(&e))?;
        keeps.saturating_record(one.elapsed().as_micros() as u64);
    }
    let took = began.elapsed().as_secs_f64();
    let size = std::fs::metadata(&path).map_err(|e| bad(&e))?.len();
    drop(store);
    let began = Instant::now();
    let store = open()?;
    let reopened = began.elapsed();
    let mut table = Table::new();
    table
        .load_preset(presets::ASCII_MARKDOWN)
        .set_header(["what", "p50 ms", "p99 ms", "most ms"]);
    let ms = |micros: u64| format!("{:.2}", micros as f64 / 1000.0);
    let mut row = |name: &str, times: &Histogram<u64>| {
        table.add_row([
            name.to_string(),
            ms(times.value_at_quantile(0.5)),
            ms(times.value_at_quantile(0.99)),
            ms(times.max()),
        ]);
    };
    row(&format!("keep {AT_ONCE} records"), &keeps);
    let tenant = || Some("tenant-013".to_string());
    let mut changes = Histogram::<u64>::new_with_bounds(1, 600_000_000, 3).map_err(|e| bad(&e))?;
    for number in 0..PAGE.1 {
        let one = Instant::now();
        let id = 1 + number * 7919 % records;
        let changed = store.update(id, |record| {
            record.claim("bench", None, record.given_up_at, 1)
        });
        changed.map_err(|e| bad(&e))?;
        changes.saturating_record(one.elapsed().as_micros() as u64);
    }
    row("change a record", &changes);
    let filters = [
        ("no filter", Filter::default()),
        (
            "destination",
            Filter {
                destination: Some(17),
                ..Filter::default()
            },
        ),
        (
            "tenant and class",
            Filter {
                tenant: tenant(),
                class: Some("payout".into()),
                ..Filter::default()
            },
        ),
        (
            "reason and may have run",
            Filter {
                reason: Some(Reason::AttemptsSpent),
                may_have_run: Some(true),
                ..Filter::default()
            },
        ),
        (
            "destination and an hour",
            Filter {
                destination: Some(17),
                since: Some(records * APART / 2),
                until: Some(records * APART / 2 + 3_600_000_000),
                ..Filter::default()
            },
        ),
        (
            "tenant, class, reason: few fit",
            Filter {
                tenant: tenant(),
                class: Some("payout".into()),
                reason: Some(Reason::GivenUp),
                ..Filter::default()
            },
        ),
    ];
    for (name, filter) in filters {
        let mut times =
            Histogram::<u64>::new_with_bounds(1, 600_000_000, 3).map_err(|e| bad(&e))?;
        let (mut before, mut found) = (None, 0);
        for _ in 0..PAGE.1 {
            let one = Instant::now();
            let page = store.page(&filter, before, PAGE.0).map_err(|e| bad(&e))?;
            times.saturating_record(one.elapsed().as_micros() as u64);
            found += page.records.len();
            before = page.next;
        }
        row(&format!("page by {name} ({found} found)"), &times);
    }
    Ok(format!(
        "{records} records of {BODY} bytes of body: kept at {:.0} a second; {:.0} bytes a record on disk; opened and \
         checked in {:.1} s; memory {} kB before, {} kB with the store open, {} kB at most\n\n{table}\n",
        records as f64 / took,
        size as f64 / records as f64,
        reopened.as_secs_f64(),
        before,
        memory("VmRSS:"),
        memory("VmHWM:"),
    ))
}
