//! The store's handle: the database, and the count of values that could not be read.

use std::cell::Cell;

use redb::{Database, StorageBackend};
use runtime::RandomAccessFile;

use super::encoding;
use super::error::StoreError;
use super::recovery::{open_database, Durability, FileBackend};
use crate::record::{Record, RecordId};

/// The store of undeliverable messages.
pub struct Store {
    pub(super) database: Database,
    unreadable_values: Cell<u64>,
}

impl Store {
    /// Opens the store in a file, or creates it in an empty one. The whole file is checked, so that a damaged file
    /// results in an error and not in wrong records. With `syncs`, a committed change survives a crash of the machine;
    /// otherwise only a crash of the process.
    ///
    /// # Errors
    ///
    /// [`StoreError::Corrupt`] if the file is damaged, [`StoreError::Database`] if it cannot be read or written.
    pub fn open(file: impl RandomAccessFile, syncs: bool) -> Result<Self, StoreError> {
        let durability = if syncs {
            Durability::Machine
        } else {
            Durability::Process
        };
        Store::open_backend(FileBackend { file, durability })
    }

    pub(super) fn open_backend(backend: impl StorageBackend) -> Result<Self, StoreError> {
        Ok(Store {
            database: open_database(backend)?,
            unreadable_values: Cell::new(0),
        })
    }

    /// Decodes a record. A record that can't be read is counted.
    pub(super) fn decode_record(&self, id: RecordId, encoded: &[u8]) -> Result<Record, StoreError> {
        encoding::decode_record(encoded).ok_or_else(|| {
            self.count_unreadable_value();
            StoreError::Unreadable(id)
        })
    }

    pub(super) fn count_unreadable_value(&self) {
        self.unreadable_values.set(self.unreadable_values() + 1);
    }

    /// Values that could not be read since the store was opened.
    pub(super) fn unreadable_values(&self) -> u64 {
        self.unreadable_values.get()
    }
}
