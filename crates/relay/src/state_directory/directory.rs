//! The files of the state directory that concern ownership: their names, and single operations on them.

use std::io;
use std::path::{Path, PathBuf};

use runtime::Runtime;

use super::ownership::OwnershipEvent;

/// Locked by the process that owns the directory.
pub(super) const OWNER_LOCK: &str = "owner.lock";
/// Locked by the one process that is to own the directory next. The process keeps the lock until its predecessor has
/// ended.
pub(super) const SUCCESSOR_LOCK: &str = "next.lock";
/// Locked by a process that has handed over, while its last calls are open.
pub(super) const DEPARTING_LOCK: &str = "arm.lock";
/// Exists while a successor requests the directory.
pub(super) const HANDOVER_REQUEST: &str = "upgrade.ask";
/// The hand-over snapshot.
pub(super) const HANDOVER_STATE: &str = "upgrade.state";
/// The hand-over snapshot while it is written.
pub(super) const HANDOVER_STATE_TEMPORARY: &str = "upgrade.new";
/// Ends of calls, appended by the departing process.
pub(super) const CALL_ENDS: &str = "upgrade.ends";

/// The state directory, with the operations that any process may perform on it.
#[derive(Clone)]
pub struct StateDirectory<R> {
    pub(super) runtime: R,
    pub(super) path: PathBuf,
}

impl<R: Runtime> StateDirectory<R> {
    /// The directory at a path, which must exist. No file is touched.
    pub fn new(runtime: &R, path: &Path) -> Self {
        StateDirectory {
            runtime: runtime.clone(),
            path: path.into(),
        }
    }

    pub(super) fn file(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }

    /// Tries to lock a file, which is created if missing; `None` while another process holds the lock.
    pub(super) fn lock(&self, name: &str) -> io::Result<Option<R::Lock>> {
        self.runtime.lock(&self.file(name))
    }

    /// Whether no process holds a lock. The check acquires the lock for an instant, but does not create its file.
    pub(super) fn is_unlocked(&self, name: &str) -> bool {
        !self.exists(name) || matches!(self.lock(name), Ok(Some(_)))
    }

    pub(super) fn exists(&self, name: &str) -> bool {
        self.runtime.read(&self.file(name)).is_ok()
    }

    /// Removes a file. A missing file is no error, and a file that cannot be removed is left to a later clean-up.
    pub(super) fn remove(&self, name: &str) {
        drop(self.runtime.remove(&self.file(name)));
    }

    /// Replaces a file atomically, so that a reader sees either the new or the previous content.
    pub(super) fn replace(&self, temporary: &str, name: &str, bytes: &[u8]) -> io::Result<()> {
        let temporary = self.file(temporary);
        self.runtime
            .write(&temporary, bytes)
            .and_then(|()| self.runtime.rename(&temporary, &self.file(name)))
            .inspect_err(|_| drop(self.runtime.remove(&temporary)))
    }

    /// Looks for the request of a successor.
    pub(super) fn find_request(&self) -> OwnershipEvent {
        if self.exists(HANDOVER_REQUEST) {
            OwnershipEvent::RequestFound
        } else {
            OwnershipEvent::RequestMissing
        }
    }

    /// Probes whether a successor runs.
    pub(super) fn probe_successor(&self) -> OwnershipEvent {
        if self.is_unlocked(SUCCESSOR_LOCK) {
            OwnershipEvent::SuccessorGone
        } else {
            OwnershipEvent::SuccessorAlive
        }
    }
}
