//! The rewrite of both replica files as a snapshot followed by the changes since. It runs in slices, so that it does
//! not block the event loop for long.

use std::io;

use runtime::{File, Runtime};
use tenancy::registry_file::SnapshotWriter;
use tenancy::Registry;

use super::replica::Replica;

/// Maximum number of tenants that one slice adds to the snapshot.
const SLICE_TENANTS: usize = 128;
/// Maximum number of snapshot bytes that one slice writes to a replacement file.
const SLICE_BYTES: usize = 64 << 10;

/// A rewrite in progress.
pub(super) struct ReplicaRewrite<F> {
    stage: Stage<F>,
    /// The lines of the changes since the rewrite began.
    changes: Vec<u8>,
}

enum Stage<F> {
    /// The snapshot is being taken.
    Snapshot(SnapshotWriter),
    /// The snapshot is being written to a replacement file.
    Replacement(Replacement<F>),
}

/// The replacement of one of the replicas.
struct Replacement<F> {
    /// Index of the replica.
    replica: usize,
    snapshot: Vec<u8>,
    /// Bytes of the snapshot that are written.
    written: usize,
    /// The replacement file, once it is created.
    file: Option<F>,
}

/// The progress of a rewrite after a slice.
pub(super) enum RewriteProgress<F> {
    /// More slices follow.
    Unfinished(ReplicaRewrite<F>),
    /// Both replicas are rewritten.
    Finished {
        /// Size of the snapshot, in bytes.
        snapshot_bytes: u64,
    },
}

impl<F: File> ReplicaRewrite<F> {
    /// Begins a rewrite of a registry that has lost `lost_changes` changes.
    pub fn new(registry: &Registry, lost_changes: u64) -> Self {
        ReplicaRewrite {
            stage: Stage::Snapshot(SnapshotWriter::new(registry, lost_changes)),
            changes: Vec::new(),
        }
    }

    /// Adds the line of a change made since the rewrite began.
    pub fn append_change(&mut self, line: &[u8]) {
        self.changes.extend(line);
    }

    /// Runs one slice of the rewrite. An error ends the rewrite; replicas that are not replaced yet are unchanged.
    pub fn run_slice<R: Runtime<File = F>>(
        self,
        runtime: &R,
        registry: &Registry,
        replicas: &mut [Replica<F>],
    ) -> io::Result<RewriteProgress<F>> {
        let ReplicaRewrite { stage, changes } = self;
        let replacement = match stage {
            Stage::Snapshot(snapshot) => {
                let stage = take_snapshot_slice(snapshot, registry);
                return Ok(RewriteProgress::Unfinished(ReplicaRewrite {
                    stage,
                    changes,
                }));
            }
            Stage::Replacement(replacement) => replacement,
        };
        let replacement = replacement.run_slice(runtime, replicas, &changes)?;
        if replacement.replica == replicas.len() {
            let snapshot_bytes = replacement.snapshot.len() as u64;
            return Ok(RewriteProgress::Finished { snapshot_bytes });
        }
        Ok(RewriteProgress::Unfinished(ReplicaRewrite {
            stage: Stage::Replacement(replacement),
            changes,
        }))
    }
}

fn take_snapshot_slice<F>(mut snapshot: SnapshotWriter, registry: &Registry) -> Stage<F> {
    if !snapshot.append_entries(registry, SLICE_TENANTS) {
        return Stage::Snapshot(snapshot);
    }
    Stage::Replacement(Replacement::new(0, snapshot.into_bytes()))
}

impl<F> Replacement<F> {
    fn new(replica: usize, snapshot: Vec<u8>) -> Self {
        Replacement {
            replica,
            snapshot,
            written: 0,
            file: None,
        }
    }
}

impl<F: File> Replacement<F> {
    /// Writes a slice of the snapshot. The last slice replaces the replica, and returns the replacement of the next
    /// one. Its index equals the number of replicas once all are replaced.
    fn run_slice<R: Runtime<File = F>>(
        mut self,
        runtime: &R,
        replicas: &mut [Replica<F>],
        changes: &[u8],
    ) -> io::Result<Self> {
        let replica = &mut replicas[self.replica];
        let mut file = match self.file.take() {
            Some(file) => file,
            None => replica.create_replacement(runtime)?,
        };
        let end = (self.written + SLICE_BYTES).min(self.snapshot.len());
        file.write_all(&self.snapshot[self.written..end])?;
        if end < self.snapshot.len() {
            self.written = end;
            self.file = Some(file);
            return Ok(self);
        }
        // Some of these changes are in the snapshot too; recovery skips them by the versions of their tenants.
        file.write_all(changes)?;
        let length = (self.snapshot.len() + changes.len()) as u64;
        replica.replace(runtime, file, length)?;
        Ok(Replacement::new(self.replica + 1, self.snapshot))
    }
}
