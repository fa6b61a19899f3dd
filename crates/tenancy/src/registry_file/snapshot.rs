//! Writes snapshots of a registry.

use super::record::{Record, SnapshotTrailer, FORMAT_VERSION};
use crate::registry::Registry;

/// Writes a snapshot of a registry in slices, between which the registry may change.
///
/// A tenant is written in its state at the time of its slice, which may be newer than the sequence number in the
/// snapshot's trailer. The changes after that number follow in the file, and each contains a complete tenant, so that
/// replaying them results in the newest state.
pub struct SnapshotWriter {
    text: Vec<u8>,
    lines: usize,
    seq: u64,
    lost_changes: u64,
    /// Name of the last tenant that was written.
    last_name: Option<String>,
}

impl SnapshotWriter {
    /// Starts a snapshot as of the registry's last change; `lost_changes` is the number of changes lost earlier.
    #[must_use]
    pub fn new(registry: &Registry, lost_changes: u64) -> Self {
        SnapshotWriter {
            text: Vec::new(),
            lines: 0,
            seq: registry.last_sequence(),
            lost_changes,
            last_name: None,
        }
    }

    /// Appends about `max_entries` more tenants and, after the last tenant, the rest of the snapshot. Returns whether
    /// the snapshot is complete.
    pub fn append_entries(&mut self, registry: &Registry, max_entries: usize) -> bool {
        let after = self.last_name.clone();
        for (appended, entry) in registry.entries_after(after.as_deref()).enumerate() {
            // The next slice continues after a name, so all tenants of a name must be in one slice.
            let starts_name = self.last_name.as_ref() != Some(&entry.tenant.name);
            if appended >= max_entries && starts_name {
                return false;
            }
            self.append(&Record::Tenant(entry.tenant.clone()));
            self.last_name = Some(entry.tenant.name.clone());
        }
        for (name, generation) in registry.tombstones() {
            self.append(&Record::Tombstone(name.clone(), generation));
        }
        for response in registry.idempotent_responses() {
            self.append(&Record::IdempotentResponse(response.clone()));
        }
        self.append_trailer();
        true
    }

    fn append(&mut self, record: &Record) {
        self.text.extend(record.encode());
        self.lines += 1;
    }

    fn append_trailer(&mut self) {
        let trailer = SnapshotTrailer {
            format: FORMAT_VERSION,
            seq: self.seq,
            lines: self.lines,
            lost_changes: self.lost_changes,
        };
        self.text.extend(Record::SnapshotTrailer(trailer).encode());
    }

    /// The bytes of the snapshot as written so far.
    #[must_use]
    pub fn into_bytes(self) -> Vec<u8> {
        self.text
    }
}

/// Encodes a complete snapshot of a registry; `lost_changes` is the number of changes lost earlier.
#[must_use]
pub fn encode_snapshot(registry: &Registry, lost_changes: u64) -> Vec<u8> {
    let mut snapshot = SnapshotWriter::new(registry, lost_changes);
    snapshot.append_entries(registry, usize::MAX);
    snapshot.into_bytes()
}
