//! Benchmark of the store of undeliverable messages at a large size: how fast records are written, and how long it takes
//! to read a filtered page.

mod measurements;
mod process_memory;
mod sample_records;
#[cfg(test)]
mod tests;

use std::fs;
use std::path::Path;
use std::time::Instant;

use comfy_table::{presets, Table};
use hdrhistogram::Histogram;
use runtime::{OsRuntime, Runtime};
use undeliverable::Store;

use crate::error::{Error, StoreError};
use measurements::{measure_changes, measure_fill, measure_pages, FILL_BATCH_RECORDS};
use process_memory::{memory_kb, MemoryField};
use sample_records::{sample_filters, BODY_BYTES};

/// Fills a store in a temporary folder, measures changes and pages, and returns the results as text.
///
/// # Errors
///
/// [`Error::Store`] if the folder or the store cannot be used.
pub fn run(records: u64) -> Result<String, Error> {
    Ok(measure(records)?)
}

fn measure(records: u64) -> Result<String, StoreError> {
    let folder = tempfile::tempdir()?;
    let path = folder.path().join("undeliverable.redb");
    let memory_before = memory_kb(MemoryField::Resident);

    let store = open(&path)?;
    let fill = measure_fill(&store, records)?;
    let file_bytes = fs::metadata(&path)?.len();
    drop(store);

    let reopening = Instant::now();
    let store = open(&path)?;
    let reopen_time = reopening.elapsed();

    let mut table = TimesTable::new();
    table.add(
        &format!("keep {FILL_BATCH_RECORDS} records"),
        &fill.batch_times,
    );
    table.add("change a record", &measure_changes(&store, records)?);
    for (name, filter) in sample_filters(records) {
        let pages = measure_pages(&store, &filter)?;
        let row = format!("page by {name} ({} found)", pages.records_found);
        table.add(&row, &pages.times);
    }
    Ok(format!(
        "{records} records of {BODY_BYTES} bytes of body: kept at {:.0} a second; {:.0} bytes a record on disk; opened and \
         checked in {:.1} s; memory {} kB before, {} kB with the store open, {} kB at most\n\n{}\n",
        records as f64 / fill.elapsed.as_secs_f64(),
        file_bytes as f64 / records as f64,
        reopen_time.as_secs_f64(),
        memory_before,
        memory_kb(MemoryField::Resident),
        memory_kb(MemoryField::PeakResident),
        table.0,
    ))
}

fn open(path: &Path) -> Result<Store, StoreError> {
    let file = OsRuntime.open_random_access(path)?;
    Ok(Store::open(file, false)?)
}

/// A table with the quantiles of measured times.
struct TimesTable(Table);

impl TimesTable {
    fn new() -> Self {
        let mut table = Table::new();
        table
            .load_preset(presets::ASCII_MARKDOWN)
            .set_header(["what", "p50 ms", "p99 ms", "most ms"]);
        TimesTable(table)
    }

    /// Adds a row for times in microseconds.
    fn add(&mut self, name: &str, times: &Histogram<u64>) {
        let ms = |micros: u64| format!("{:.2}", micros as f64 / 1000.0);
        self.0.add_row([
            name.to_string(),
            ms(times.value_at_quantile(0.5)),
            ms(times.value_at_quantile(0.99)),
            ms(times.max()),
        ]);
    }
}
