//! Opens and checks the database's file. redb recovers from a process that ended within a transaction. Damage that redb
//! cannot recover from is reported as an error, and the caller decides what to do with the file.

use std::io;
use std::panic::{catch_unwind, AssertUnwindSafe};

use redb::{Database, StorageBackend};
use runtime::RandomAccessFile;

use super::error::StoreError;
use super::tables::create_tables;

/// Size of the database's page cache, in bytes.
const PAGE_CACHE_BYTES: usize = 16 << 20;

/// Whether a committed change survives a crash of the machine or only of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Durability {
    /// Each commit is synced to disk.
    Machine,
    /// Commits are written but not synced.
    Process,
}

/// A file as the database's storage.
#[derive(Debug)]
pub(super) struct FileBackend<F> {
    pub(super) file: F,
    pub(super) durability: Durability,
}

impl<F: RandomAccessFile> StorageBackend for FileBackend<F> {
    fn len(&self) -> Result<u64, io::Error> {
        self.file.length()
    }

    fn read(&self, offset: u64, buffer: &mut [u8]) -> Result<(), io::Error> {
        self.file.read_at(offset, buffer)
    }

    fn set_len(&self, length: u64) -> Result<(), io::Error> {
        self.file.set_length(length)
    }

    fn sync_data(&self) -> Result<(), io::Error> {
        match self.durability {
            Durability::Machine => self.file.sync(),
            Durability::Process => Ok(()),
        }
    }

    fn write(&self, offset: u64, bytes: &[u8]) -> Result<(), io::Error> {
        self.file.write_at(offset, bytes)
    }
}

/// Opens a database with all of its tables, or creates it in an empty file. The whole file is checked.
///
/// # Errors
///
/// [`StoreError::Corrupt`] if the file is damaged, [`StoreError::Database`] if it cannot be read or written.
pub(super) fn open_database(backend: impl StorageBackend) -> Result<Database, StoreError> {
    // redb may panic on a file with arbitrary content.
    catch_unwind(AssertUnwindSafe(|| check_and_open(backend))).unwrap_or_else(|_| {
        Err(StoreError::Corrupt(
            "the file can't be made sense of".into(),
        ))
    })
}

fn check_and_open(backend: impl StorageBackend) -> Result<Database, StoreError> {
    let mut builder = redb::Builder::new();
    builder
        .set_cache_size(PAGE_CACHE_BYTES)
        .set_check_integrity_on_open(true);
    let database = builder.create_with_backend(backend)?;
    let transaction = database.begin_write()?;
    create_tables(&transaction)?;
    transaction.commit()?;
    Ok(database)
}
