//! Opens the store of undeliverable messages, reopens it after errors, quarantines corrupt files and evicts records.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use policy::types::Micros;
use runtime::{log, Runtime};
use undeliverable::batch::Batch;
use undeliverable::store::StoreError;
use undeliverable::Store;

use super::settings::Settings;

/// Name of the store's file in the configured directory.
const STORE_FILE: &str = "undeliverable.redb";
/// How long a store that cannot be used stays closed before it is opened again.
const REOPEN_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which records beyond the limits are evicted.
const EVICTION_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of records that one eviction removes, so that it does not block the event loop for long.
const EVICTION_BATCH: usize = 500;
/// Maximum number of corrupt stores that a process quarantines. Beyond it nothing is stored until an operator
/// intervenes.
const MAX_QUARANTINED_STORES: u32 = 4;
/// Reason reported for an unavailable store if there is no error message.
const UNAVAILABLE: &str = "the store can't be used";

/// The result of opening the store.
pub enum OpenResult {
    /// The store can be used; these are its batches.
    Opened(Vec<Batch>),
    /// The store cannot be used for now.
    Failed,
    /// The store was corrupt and its file has been renamed. The next opening creates a new one.
    Quarantined,
}

/// The store, which may be unavailable, and the times of its next reopening and eviction.
pub struct StoreLifecycle<R: Runtime> {
    runtime: R,
    path: PathBuf,
    /// Whether writes survive a crash of the machine.
    sync: bool,
    store: Option<Store>,
    /// Why the store cannot be used.
    error: Option<String>,
    reopen_at: Instant,
    quarantined_stores: u32,
    evict_at: Instant,
}

impl<R: Runtime> StoreLifecycle<R> {
    /// Creates the lifecycle of a store that is not open yet.
    pub fn new(runtime: R, settings: &Settings) -> Self {
        let now = runtime.now();
        StoreLifecycle {
            runtime,
            path: Path::new(&settings.folder).join(STORE_FILE),
            sync: settings.sync,
            store: None,
            error: None,
            reopen_at: now,
            quarantined_stores: 0,
            evict_at: now,
        }
    }

    /// Opens the store, and quarantines one that is corrupt.
    pub fn open(&mut self) -> OpenResult {
        self.reopen_at = self.runtime.now() + REOPEN_INTERVAL;
        match self.read_store() {
            Ok((store, batches)) => {
                self.store = Some(store);
                if self.error.take().is_some() {
                    log!(self.runtime, "undeliverable: store_recovered");
                }
                OpenResult::Opened(batches)
            }
            Err(error) => {
                self.mark_unavailable(&error);
                match error {
                    StoreError::Corrupt(_) => self.quarantine(),
                    _ => OpenResult::Failed,
                }
            }
        }
    }

    fn read_store(&self) -> Result<(Store, Vec<Batch>), StoreError> {
        let file = self
            .runtime
            .open_random_access(&self.path)
            .map_err(|error| StoreError::Database(error.to_string()))?;
        let store = Store::open(file, self.sync)?;
        let batches = store.batches()?;
        Ok((store, batches))
    }

    /// Renames a corrupt store, so that its file is kept for analysis and a new one can be created. Its contents are
    /// not trusted, so the records of resends in flight are missing from the new store.
    fn quarantine(&mut self) -> OpenResult {
        if self.quarantined_stores >= MAX_QUARANTINED_STORES {
            return OpenResult::Failed;
        }
        self.quarantined_stores += 1;
        let extension = format!("spoilt-{}", self.runtime.unix_time().as_secs());
        let quarantine_path = self.path.with_extension(extension);
        if let Err(error) = self.runtime.rename(&self.path, &quarantine_path) {
            log!(
                self.runtime,
                "undeliverable: store_not_quarantined error={error}"
            );
            return OpenResult::Failed;
        }
        log!(
            self.runtime,
            "undeliverable: store_quarantined path={}",
            quarantine_path.display()
        );
        OpenResult::Quarantined
    }

    /// Whether the store can be used.
    pub fn is_available(&self) -> bool {
        self.store.is_some()
    }

    /// Whether the store is closed and due to be opened again.
    pub fn is_reopening_due(&self, now: Instant) -> bool {
        self.store.is_none() && self.reopen_at <= now
    }

    /// The open store, for callers that handle its errors themselves.
    pub fn get(&self) -> Option<&Store> {
        self.store.as_ref()
    }

    /// Closes the store after an error. It is opened again later.
    pub fn mark_unavailable(&mut self, error: &StoreError) {
        if self.error.is_none() {
            log!(
                self.runtime,
                "undeliverable: store_unavailable error={error}"
            );
        }
        self.store = None;
        self.error = Some(error.to_string());
    }

    /// Reads or writes the store. Returns none after an error, which is logged. An error of the store as a whole closes
    /// the store; an unreadable record does not.
    pub fn access<T>(
        &mut self,
        operation: impl FnOnce(&Store) -> Result<T, StoreError>,
    ) -> Option<T> {
        match operation(self.store.as_ref()?) {
            Ok(value) => Some(value),
            // The other records can still be used.
            Err(StoreError::Unreadable(id)) => {
                log!(self.runtime, "undeliverable: record_unreadable record={id}");
                None
            }
            Err(error) => {
                self.mark_unavailable(&error);
                None
            }
        }
    }

    /// Evicts records beyond the limits of the settings. After a full batch the next one is due at once.
    pub fn evict_if_due(&mut self, settings: &Settings, now: Instant, unix_now: Micros) {
        if self.evict_at > now {
            return;
        }
        self.evict_at = now + EVICTION_INTERVAL;
        let limits = settings.store_limits();
        let evicted =
            self.access(|store| store.evict_beyond_limits(&limits, unix_now, EVICTION_BATCH));
        let Some(evicted @ 1..) = evicted else {
            return;
        };
        log!(
            self.runtime,
            "undeliverable: records_evicted records={evicted}"
        );
        if evicted as usize >= EVICTION_BATCH {
            self.evict_at = now;
        }
    }

    /// Why the store cannot be used; none if it can.
    pub fn error(&self) -> Option<&str> {
        self.error.as_deref()
    }

    /// The error to report to a caller whose request needs the store.
    pub fn unavailability(&self) -> String {
        self.error().unwrap_or(UNAVAILABLE).to_owned()
    }
}
