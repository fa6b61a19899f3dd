//! File locks.

use std::io;
use std::path::Path;

use super::context::ProcessContext;
use super::lock_table::LockKey;
use super::planted_fault::PlantedFault;
use super::state::SharedState;

/// A lock on a file, released when it is dropped or its process is killed.
pub struct SimulatedLock {
    state: SharedState,
    key: LockKey,
    /// Number of the grant, from the lock table.
    number: u64,
}

impl SimulatedLock {
    /// Acquires a lock; none if a live process holds it.
    pub(super) fn acquire(context: &ProcessContext, path: &Path) -> io::Result<Option<Self>> {
        context.file_effect("lock", path)?;
        let mut state = context.state.borrow_mut();
        let key = LockKey {
            node: state.node(context.process),
            path: path.to_path_buf(),
        };
        let holder = state.locks.holder(&key);
        let is_held = holder.is_some_and(|holder| state.is_alive(holder));
        let shares = state.planted_fault(context.process) == Some(PlantedFault::ShareLocks);
        if is_held && !shares {
            return Ok(None);
        }
        // Locking creates the file if it does not exist.
        state.disk_of(context.process).open(path);
        let number = state.locks.grant(key.clone(), context.process);
        drop(state);
        Ok(Some(SimulatedLock {
            state: context.state.clone(),
            key,
            number,
        }))
    }
}

impl Drop for SimulatedLock {
    fn drop(&mut self) {
        self.state
            .borrow_mut()
            .locks
            .release(&self.key, self.number);
    }
}
