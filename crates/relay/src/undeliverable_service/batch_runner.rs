//! Plans batches, resends their records at the configured rate, and stores their progress.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use policy::types::Micros;
use relay_events::undeliverable::UndeliverableResponse;
use runtime::{log, Runtime};
use undeliverable::batch::{self, Batch, BatchCommand, BatchCounts, BatchError, BatchSpec};
use undeliverable::record::RecordError;
use undeliverable::resend_policy::{check_resend, ResendPolicy};
use undeliverable::store::StoreError;
use undeliverable::{Filter, RecordId, Store};

use super::partner_query::QueryState;
use super::resend::{Resend, ResendError, ResendRequest, Resender};
use super::resend_outcome::DeliveryResult;
use super::store_lifecycle::StoreLifecycle;

/// Maximum number of records of a batch that one run examines.
const MAX_EXAMINED_RECORDS: usize = 64;
/// Number of records read per page when a plan counts records.
const PLAN_PAGE_RECORDS: usize = 1000;
/// A plan stops counting after the page that brings it to this many records.
const MAX_PLANNED_RECORDS: u64 = 100_000;
/// Minimum interval between writes of the batches' progress. Commands are stored immediately.
const SAVE_INTERVAL: Duration = Duration::from_secs(1);
/// Prefix of the sender name of a batch's resends.
const SENDER_PREFIX: &str = "batch ";

/// Whether a batch continues with its next record.
enum Progress {
    Next,
    Wait,
    StoreUnavailable,
}

/// The batches, by name.
pub struct BatchRunner<R: Runtime> {
    runtime: R,
    batches: BTreeMap<String, Batch>,
    /// Batches whose progress has changed since it was stored.
    unsaved: BTreeSet<String>,
    save_at: Instant,
}

impl<R: Runtime> BatchRunner<R> {
    /// Creates a runner without batches.
    pub fn new(runtime: R) -> Self {
        let save_at = runtime.now();
        BatchRunner {
            runtime,
            batches: BTreeMap::new(),
            unsaved: BTreeSet::new(),
            save_at,
        }
    }

    /// Adds the batches of a newly opened store. A batch that is already in memory is newer and is kept.
    pub fn restore(&mut self, batches: Vec<Batch>) {
        for batch in batches {
            self.batches.entry(batch.spec.name.clone()).or_insert(batch);
        }
    }

    /// Removes all batches from memory.
    pub fn clear(&mut self) {
        self.batches.clear();
        self.unsaved.clear();
    }

    /// All batches, sorted by name.
    pub fn list(&self) -> Vec<Batch> {
        self.batches.values().cloned().collect()
    }

    /// Sets the number of in-flight records of each batch from the senders of the resends in flight.
    pub fn resume_after_restart(&mut self, senders: &[&str], now: Micros) {
        for batch in self.batches.values_mut() {
            let sender = batch.sender_name();
            let in_flight = senders.iter().filter(|other| **other == sender).count();
            batch.resume_after_restart(in_flight as u32, now);
        }
    }

    /// Counts an ended resend if a batch sent it.
    pub fn resend_ended(&mut self, sender: &str, result: DeliveryResult) {
        let Some(name) = sender.strip_prefix(SENDER_PREFIX) else {
            return;
        };
        let Some(batch) = self.batches.get_mut(name) else {
            return;
        };
        let has_stopped = batch.record_outcome(result == DeliveryResult::Delivered);
        if has_stopped {
            log!(
                self.runtime,
                "undeliverable: batch_stopped_on_failures batch={name}"
            );
        }
        self.unsaved.insert(name.into());
    }

    /// Begins the resends that are due.
    pub fn run(&mut self, resender: &mut Resender<R>, now: Micros, resends: &mut Vec<Resend>) {
        let names: Vec<String> = self.batches.keys().cloned().collect();
        for name in names {
            for _ in 0..MAX_EXAMINED_RECORDS {
                match self.examine_next(&name, resender, now, resends) {
                    Progress::Next => {}
                    Progress::Wait => break,
                    Progress::StoreUnavailable => return,
                }
            }
        }
    }

    /// Examines the next record of a batch, and resends it if that is permitted.
    fn examine_next(
        &mut self,
        name: &str,
        resender: &mut Resender<R>,
        now: Micros,
        resends: &mut Vec<Resend>,
    ) -> Progress {
        let has_capacity = resender.has_capacity(resends);
        let Some(batch) = self.batches.get_mut(name).filter(|_| has_capacity) else {
            return Progress::Wait;
        };
        if batch.check_pace(now).is_err() {
            return Progress::Wait;
        }
        let (filter, examined) = (batch.spec.filter.only_open(), batch.last_examined);
        let page = resender
            .store
            .access(|store| store.page_after(&filter, examined, 1));
        let Some(page) = page else {
            return Progress::StoreUnavailable;
        };
        let next = page.records.first().map(|(id, _)| *id).or(page.next);
        let Some(id) = next.filter(|id| *id <= batch.last_planned) else {
            let version = batch.version;
            batch.mark_exhausted();
            if batch.version != version {
                self.unsaved.insert(name.into());
            }
            return Progress::Wait;
        };
        if page.records.is_empty() {
            batch.last_examined = id;
            return Progress::Next;
        }
        self.unsaved.insert(name.into());
        resend_record(batch, id, resender, now, resends)
    }

    /// Stores the progress of batches, if due. A killed process loses at most the counts since the last save: resends
    /// in flight are counted again at the next start, and a record that is examined again is resent only if the resend
    /// policy permits it.
    pub fn save_if_due(&mut self, store: &mut StoreLifecycle<R>) {
        let now = self.runtime.now();
        if self.unsaved.is_empty() || self.save_at > now {
            return;
        }
        self.save_at = now + SAVE_INTERVAL;
        for name in std::mem::take(&mut self.unsaved) {
            let Some(batch) = self.batches.get(&name) else {
                continue;
            };
            if store.access(|store| store.save_batch(batch)).is_none() {
                self.unsaved.insert(name);
            }
        }
    }

    /// Plans a batch: counts the records it would resend, and stores it. A planned batch does nothing until it is run.
    pub fn plan(
        &mut self,
        spec: BatchSpec,
        operator: &str,
        resender: &mut Resender<R>,
        now: Micros,
    ) -> UndeliverableResponse {
        if let Err(refusal) = self.admit(&spec, &mut resender.store) {
            return UndeliverableResponse::BatchRefused(refusal);
        }
        let policy = resender.policy(now);
        let store = &mut resender.store;
        let filter = spec.filter.only_open();
        let planned = store.access(|store| count_records(store, &filter, &policy));
        let Some((last_planned, counts)) = planned else {
            return UndeliverableResponse::Unavailable(store.unavailability());
        };
        match Batch::plan(spec, operator, now, last_planned, counts) {
            Ok(batch) => self.save(batch, store),
            Err(refusal) => UndeliverableResponse::BatchRefused(refusal),
        }
    }

    /// Checks that a batch may be added, and removes the oldest finished one if the maximum number is reached.
    fn admit(&mut self, spec: &BatchSpec, store: &mut StoreLifecycle<R>) -> Result<(), BatchError> {
        spec.check()?;
        if self.batches.contains_key(&spec.name) {
            return Err(BatchError::Exists);
        }
        if self.batches.len() < batch::MAX_BATCHES {
            return Ok(());
        }
        let finished = self
            .batches
            .values()
            .filter(|batch| batch.state.has_ended());
        let oldest = finished.min_by_key(|batch| batch.created_at);
        let name = oldest
            .map(|batch| batch.spec.name.clone())
            .ok_or(BatchError::TooMany)?;
        self.batches.remove(&name);
        store.access(|store| store.remove_batch(&name));
        Ok(())
    }

    /// Carries out an operator's command.
    pub fn command(
        &mut self,
        name: &str,
        command: BatchCommand,
        version: Option<u32>,
        store: &mut StoreLifecycle<R>,
        now: Micros,
    ) -> UndeliverableResponse {
        let Some(batch) = self.batches.get(name) else {
            return UndeliverableResponse::BatchRefused(BatchError::NotFound);
        };
        let mut changed = batch.clone();
        match changed.apply_command(command, version, now) {
            Ok(()) => self.save(changed, store),
            Err(refusal) => UndeliverableResponse::BatchRefused(refusal),
        }
    }

    /// Stores a batch. The change takes effect only if the write succeeds.
    fn save(&mut self, batch: Batch, store: &mut StoreLifecycle<R>) -> UndeliverableResponse {
        if store.access(|store| store.save_batch(&batch)).is_none() {
            return UndeliverableResponse::Unavailable(store.unavailability());
        }
        self.batches.insert(batch.spec.name.clone(), batch.clone());
        UndeliverableResponse::Batch(Box::new(batch))
    }
}

fn resend_record<R: Runtime>(
    batch: &mut Batch,
    id: RecordId,
    resender: &mut Resender<R>,
    now: Micros,
    resends: &mut Vec<Resend>,
) -> Progress {
    let sender = batch.sender_name();
    let request = ResendRequest {
        record: id,
        sender: &sender,
        claimant: &sender,
        version: None,
    };
    match resender.begin(&request, now) {
        Ok(resend) => {
            resends.push(resend);
            batch.record_sent(id);
            Progress::Next
        }
        // The last call of the record's previous delivery may not have ended yet.
        Err(ResendError::Refused(RecordError::Settling)) => Progress::Wait,
        Err(ResendError::Refused(refusal)) => {
            if resender.handle_refusal(id, &refusal, now) == QueryState::Awaited {
                return Progress::Wait;
            }
            batch.record_skipped(id);
            Progress::Next
        }
        Err(ResendError::StoreUnavailable) => Progress::StoreUnavailable,
    }
}

/// Counts the records that a batch would resend. Returns the id of the store's last record, and the counts.
fn count_records(
    store: &Store,
    filter: &Filter,
    policy: &ResendPolicy,
) -> Result<(RecordId, BatchCounts), StoreError> {
    let last = store.last_id()?;
    let mut counts = BatchCounts::default();
    let mut after = 0;
    loop {
        let page = store.page_after(filter, after, PLAN_PAGE_RECORDS)?;
        for (_, record) in page.records.iter().filter(|(id, _)| *id <= last) {
            counts.count_planned(check_resend(record, policy).map(|_| ()));
        }
        let is_below_limit = counts.found < MAX_PLANNED_RECORDS;
        let Some(next) = page.next.filter(|next| *next < last && is_below_limit) else {
            return Ok((last, counts));
        };
        after = next;
    }
}
