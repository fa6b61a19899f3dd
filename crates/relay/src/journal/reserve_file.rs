//! The reserve file: disk space that is allocated in advance for the records that end messages.

use std::path::{Path, PathBuf};

use runtime::Runtime;

/// Share of the disk limit that is reserved.
const RESERVE_SHARE: f64 = 0.04;
/// The most bytes that are reserved; enough for about 500 records that end messages.
const MAX_RESERVE_BYTES: f64 = 16384.0;

/// A file of zeros that is removed when the disk is full, so that the ends of messages can still be recorded.
///
/// The end of a message that the platform was notified of must not be lost with the process, or the message would be
/// delivered again. While the file is missing, no new work begins.
pub(super) struct ReserveFile<R: Runtime> {
    runtime: R,
    path: PathBuf,
    size: usize,
    is_allocated: bool,
}

impl<R: Runtime> ReserveFile<R> {
    /// Describes the reserve of a journal whose disk limit is `limit` bytes, without allocating it.
    pub(super) fn new(runtime: R, journal: &Path, limit: f64) -> Self {
        ReserveFile {
            runtime,
            path: journal.with_extension("spare"),
            size: (limit * RESERVE_SHARE).min(MAX_RESERVE_BYTES) as usize,
            is_allocated: false,
        }
    }

    pub(super) fn is_allocated(&self) -> bool {
        self.is_allocated
    }

    /// Writes the file, whether or not it exists. A partial file is removed.
    pub(super) fn allocate(&mut self) {
        self.is_allocated = self.runtime.write(&self.path, &vec![0; self.size]).is_ok();
        if !self.is_allocated {
            drop(self.runtime.remove(&self.path));
        }
    }

    /// Frees the reserved space. Returns false if there was none, or the file could not be removed.
    pub(super) fn release(&mut self) -> bool {
        let was_allocated = std::mem::take(&mut self.is_allocated);
        was_allocated && self.runtime.remove(&self.path).is_ok()
    }
}
