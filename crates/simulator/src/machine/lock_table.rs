//! The table of file locks and their holders.

use std::collections::BTreeMap;
use std::path::PathBuf;

use super::process::{NodeIndex, ProcessId};

/// A lock: a file on a node.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct LockKey {
    pub node: NodeIndex,
    pub path: PathBuf,
}

/// A grant of a lock to a process.
struct Grant {
    holder: ProcessId,
    number: u64,
}

/// All locks that are held, including those of processes that were killed.
#[derive(Default)]
pub(super) struct LockTable {
    grants: BTreeMap<LockKey, Grant>,
    last_number: u64,
}

impl LockTable {
    /// Returns the process that was last granted a lock and has not released it.
    pub fn holder(&self, key: &LockKey) -> Option<ProcessId> {
        self.grants.get(key).map(|grant| grant.holder)
    }

    /// Grants a lock even if another process holds it, and returns the grant's number.
    pub fn grant(&mut self, key: LockKey, holder: ProcessId) -> u64 {
        self.last_number += 1;
        let number = self.last_number;
        self.grants.insert(key, Grant { holder, number });
        number
    }

    /// Releases a grant, unless the lock has been granted again since.
    pub fn release(&mut self, key: &LockKey, number: u64) {
        if self
            .grants
            .get(key)
            .is_some_and(|grant| grant.number == number)
        {
            self.grants.remove(key);
        }
    }
}
