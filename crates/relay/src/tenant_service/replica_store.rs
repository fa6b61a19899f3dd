//! The registry's two replica files. A change is written to both before it is answered, and each replica can repair
//! damage of the other. Both are rewritten in slices when they have grown too large or need repair.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::path::Path;

use runtime::{log, Runtime};
use tenancy::registry::ChangeRecord;
use tenancy::registry_file::{self, RecoveredRegistry};
use tenancy::Registry;

use super::error::TenantsError;
use super::replica::{OpenedReplica, Replica};
use super::replica_rewrite::{ReplicaRewrite, RewriteProgress};

/// Name of the replica that is written first.
const LEADER_FILE: &str = "tenants.a";
/// Name of the replica that is written second.
const FOLLOWER_FILE: &str = "tenants.b";
/// Index of the leading replica.
const LEADER: usize = 0;
/// The replicas are rewritten when they exceed twice the size of the snapshot by this many bytes.
const REWRITE_SLACK_BYTES: u64 = 1 << 20;

/// The registry's replica files.
pub(super) struct ReplicaStore<R: Runtime> {
    runtime: R,
    replicas: [Replica<R::File>; 2],
    /// Size of the last snapshot, in bytes.
    snapshot_bytes: u64,
    /// Maximum size of a replica, in bytes.
    max_replica_bytes: u64,
    rewrite: Option<ReplicaRewrite<R::File>>,
    /// A rewrite failed; the next one does not begin until another change is written.
    is_rewrite_suspended: bool,
    /// Both replicas have to be rewritten, as that failed at startup: each may lack lines that the other has.
    is_repair_pending: bool,
    /// Changes that were lost to damage of the replicas.
    lost_changes: u64,
}

/// The opened store and the contents of the replicas.
pub(super) struct OpenedStore<R: Runtime> {
    pub store: ReplicaStore<R>,
    pub registry: Registry,
    /// Changes that the replicas still contain, by sequence number.
    pub changes: BTreeMap<u64, ChangeRecord>,
    /// Whether there were no replicas.
    pub is_new: bool,
}

impl<R: Runtime> ReplicaStore<R> {
    /// Reads the replicas in a folder, and repairs them. `max_replica_bytes` limits the size of each.
    ///
    /// # Errors
    /// [`TenantsError::File`] if a replica cannot be opened or read, [`TenantsError::Format`] if a later version wrote it.
    pub fn open(
        runtime: &R,
        folder: &Path,
        max_replica_bytes: u64,
        classes: &[String],
    ) -> Result<OpenedStore<R>, TenantsError> {
        let leader = open_replica(runtime, folder, LEADER_FILE)?;
        let follower = open_replica(runtime, folder, FOLLOWER_FILE)?;
        let is_new = leader.text.is_none() && follower.text.is_none();
        let RecoveredRegistry {
            state,
            changes,
            lost_changes,
            needs_repair,
        } = registry_file::recover(classes, leader.text.as_deref(), follower.text.as_deref())?;
        let registry = Registry::restore(classes.to_vec(), state);
        if lost_changes > 0 {
            log!(*runtime, "tenants: changes_lost changes={lost_changes}");
        }
        let mut store = ReplicaStore {
            runtime: runtime.clone(),
            replicas: [leader.replica, follower.replica],
            snapshot_bytes: registry_file::encode_snapshot(&registry, lost_changes).len() as u64,
            max_replica_bytes,
            rewrite: None,
            is_rewrite_suspended: false,
            is_repair_pending: false,
            lost_changes,
        };
        if needs_repair && !is_new {
            log!(*runtime, "tenants: replica_repair_started");
        }
        if needs_repair || is_new {
            store.write_or_postpone(&registry, &changes);
        }
        Ok(OpenedStore {
            store,
            registry,
            changes,
            is_new,
        })
    }

    /// Changes that were lost to damage of the replicas.
    pub fn lost_changes(&self) -> u64 {
        self.lost_changes
    }

    /// Counts changes that are missing from both replicas without a detectable gap.
    pub fn add_lost_changes(&mut self, changes: u64) {
        self.lost_changes += changes;
    }

    /// Writes a change to both replicas. After success, the change survives the end of the process and the
    /// loss of either replica.
    ///
    /// # Errors
    /// The error of the write to either replica; in that case neither contains the change.
    pub fn append(&mut self, record: &ChangeRecord) -> io::Result<()> {
        let line = registry_file::encode_change(record);
        let [leader, follower] = &mut self.replicas;
        if leader.length() + line.len() as u64 > self.max_replica_bytes {
            self.is_rewrite_suspended = false;
            return Err(io::Error::new(
                io::ErrorKind::StorageFull,
                "the registry's files are full",
            ));
        }
        leader.append(&line)?;
        follower
            .append(&line)
            .inspect_err(|_| leader.retract(line.len()))?;
        if let Some(rewrite) = &mut self.rewrite {
            rewrite.append_change(&line);
        }
        self.is_rewrite_suspended = false;
        Ok(())
    }

    /// Whether a rewrite is in progress.
    pub fn is_rewriting(&self) -> bool {
        self.rewrite.is_some()
    }

    /// Begins a rewrite if one is due, and runs one slice of the rewrite in progress.
    pub fn continue_rewrite(&mut self, registry: &Registry) {
        if self.rewrite.is_none() && self.is_rewrite_due() {
            self.rewrite = Some(ReplicaRewrite::new(registry, self.lost_changes));
        }
        let Some(rewrite) = self.rewrite.take() else {
            return;
        };
        match rewrite.run_slice(&self.runtime, registry, &mut self.replicas) {
            Ok(RewriteProgress::Unfinished(rewrite)) => self.rewrite = Some(rewrite),
            Ok(RewriteProgress::Finished { snapshot_bytes }) => {
                self.snapshot_bytes = snapshot_bytes;
                self.is_repair_pending = false;
            }
            Err(error) => self.suspend_rewrite(&error),
        }
    }

    fn is_rewrite_due(&self) -> bool {
        let max_bytes = 2 * self.snapshot_bytes + REWRITE_SLACK_BYTES;
        let has_grown = self.replicas[LEADER].length() > max_bytes;
        (has_grown || self.is_repair_pending) && !self.is_rewrite_suspended
    }

    fn suspend_rewrite(&mut self, error: &io::Error) {
        log!(
            self.runtime,
            "tenants: replica_rewrite_failed error={error}"
        );
        for replica in &self.replicas {
            replica.discard_replacement(&self.runtime);
        }
        self.is_rewrite_suspended = true;
    }

    /// Writes both replicas in one step. If that fails, for example on a full disk, a rewrite is due later. Until then
    /// the replicas that were read together contain the recovered state.
    fn write_or_postpone(&mut self, registry: &Registry, changes: &BTreeMap<u64, ChangeRecord>) {
        if let Err(error) = self.write_replicas(registry, changes) {
            log!(
                self.runtime,
                "tenants: replica_repair_postponed error={error}"
            );
            self.is_repair_pending = true;
        }
    }

    fn write_replicas(
        &mut self,
        registry: &Registry,
        changes: &BTreeMap<u64, ChangeRecord>,
    ) -> io::Result<()> {
        let mut text = registry_file::encode_snapshot(registry, self.lost_changes);
        self.snapshot_bytes = text.len() as u64;
        for change in changes.values() {
            text.extend(registry_file::encode_change(change));
        }
        for replica in &mut self.replicas {
            let mut file = replica.create_replacement(&self.runtime)?;
            file.write_all(&text)
                .inspect_err(|_| replica.discard_replacement(&self.runtime))?;
            replica.replace(&self.runtime, file, text.len() as u64)?;
        }
        Ok(())
    }
}

fn open_replica<R: Runtime>(
    runtime: &R,
    folder: &Path,
    name: &str,
) -> Result<OpenedReplica<R::File>, TenantsError> {
    let path = folder.join(name);
    Replica::open(runtime, &path).map_err(|source| TenantsError::File { path, source })
}
