//! Measures how long a store takes to write, change and read records.

use std::time::{Duration, Instant};

use hdrhistogram::{CreationError, Histogram};
use undeliverable::{Filter, Record, Store};

use super::sample_records::{sample_record, BODY_BYTES};
use crate::error::StoreError;

/// Number of records written in one transaction: about as many as a relay gives up between two polls of its undeliverable
/// service in an hour with many failures.
pub(super) const FILL_BATCH_RECORDS: u64 = 100;
/// Number of records to change.
const CHANGES: u64 = 400;
/// Distance between two consecutively changed records; a prime, so that the changes spread over all records.
const CHANGE_STRIDE: u64 = 7919;
/// Maximum number of records on a page.
const PAGE_RECORDS: usize = 50;
/// Number of pages to read with each filter.
const PAGES: u64 = 400;
/// Upper bound of a histogram, in microseconds; longer times are recorded as this value.
const MAX_TIME: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// The result of filling a store.
pub(super) struct FillMeasurement {
    /// Times of the transactions, in microseconds.
    pub(super) batch_times: Histogram<u64>,
    /// Total time, including the generation of the records.
    pub(super) elapsed: Duration,
}

/// The result of reading pages with one filter.
pub(super) struct PageMeasurement {
    /// Times of reading a page, in microseconds.
    pub(super) times: Histogram<u64>,
    pub(super) records_found: usize,
}

/// Writes sample records in batches.
pub(super) fn measure_fill(store: &Store, records: u64) -> Result<FillMeasurement, StoreError> {
    let body = [b'a'; BODY_BYTES];
    let started = Instant::now();
    let mut batch_times = time_histogram()?;
    for first in (0..records).step_by(FILL_BATCH_RECORDS as usize) {
        let end = (first + FILL_BATCH_RECORDS).min(records);
        let batch: Vec<(Record, &[u8])> = (first..end)
            .map(|number| (sample_record(number), &body[..]))
            .collect();
        let batch_started = Instant::now();
        store.insert(&batch)?;
        record_time(&mut batch_times, batch_started);
    }
    Ok(FillMeasurement {
        batch_times,
        elapsed: started.elapsed(),
    })
}

/// Claims records one by one, and returns the times of the changes in microseconds.
pub(super) fn measure_changes(store: &Store, records: u64) -> Result<Histogram<u64>, StoreError> {
    let mut times = time_histogram()?;
    for number in 0..CHANGES {
        let started = Instant::now();
        let id = 1 + number * CHANGE_STRIDE % records;
        // A record that is already claimed rejects the change, whose time is recorded all the same.
        store.update(id, |record| {
            record.claim("bench", None, record.given_up_at, 1)
        })?;
        record_time(&mut times, started);
    }
    Ok(times)
}

/// Reads consecutive pages with a filter, and restarts at the first page after the last one.
pub(super) fn measure_pages(store: &Store, filter: &Filter) -> Result<PageMeasurement, StoreError> {
    let mut times = time_histogram()?;
    let mut next = None;
    let mut records_found = 0;
    for _ in 0..PAGES {
        let started = Instant::now();
        let page = store.page(filter, next, PAGE_RECORDS)?;
        record_time(&mut times, started);
        records_found += page.records.len();
        next = page.next;
    }
    Ok(PageMeasurement {
        times,
        records_found,
    })
}

fn time_histogram() -> Result<Histogram<u64>, CreationError> {
    Histogram::new_with_bounds(1, MAX_TIME, SIGNIFICANT_DIGITS)
}

fn record_time(times: &mut Histogram<u64>, started: Instant) {
    times.saturating_record(started.elapsed().as_micros() as u64);
}
