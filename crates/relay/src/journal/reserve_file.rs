//! The reserve file: disk space that is allocated in advance for the records that end messages.

use std::path::{Path, PathBuf};

use runtime::Runtime;

/// Share of the disk limit that is reserved.
const RESERVE_SHARE: f64 = 0.04;
/// Maximum number of reserved bytes; enough for about 500 records that end messages.
const MAX_RESERVE_BYTES: f64 = 16384.0;

/// A file of zeros that is removed when the disk is full, so that the ends of messages can still be recorded.
///
/// The end of a message must not be lost with the process once the platform has been notified of it, or the message would
/// be delivered again. While the file is missing, no new work starts.
pub(super) struct ReserveFile<R: Runtime> {
    runtime: R,
    path: PathBuf,
    size: usize,
    is_allocated: bool,
}

impl<R: Runtime> ReserveFile<R> {
    /// Creates the description of the reserve file, without writing it. `limit` is the disk limit in bytes.
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

    /// Writes the file, whether or not it exists. A partially written file is removed.
    pub(super) fn allocate(&mut self) {
        self.is_allocated = self.runtime.write(&self.path, &vec![0; self.size]).is_ok();
        if !self.is_allocated {
            drop(self.runtime.remove(&self.path));
        }
    }

    /// Frees the reserved space. Returns false if no space was reserved, or if the file could not be removed.
    pub(super) fn release(&mut self) -> bool {
        let was_allocated = std::mem::take(&mut self.is_allocated);
        was_allocated && self.runtime.remove(&self.path).is_ok()
    }
}
