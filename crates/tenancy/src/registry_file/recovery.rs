//! Recovers a registry from its two replicas.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use super::record::{Record, SnapshotTrailer, FORMAT_VERSION};
use crate::registry::{ChangeRecord, IdempotentResponse, PersistedState, Registry, Tenant};

/// The recovered registry, and the damage that was found.
#[derive(Debug, Default)]
pub struct RecoveredRegistry {
    /// The registry after the last change that was found.
    pub state: PersistedState,
    /// The changes that the files contain, by sequence number.
    pub changes: BTreeMap<u64, ChangeRecord>,
    /// Number of changes that neither replica contains, including those lost earlier. A tenant may be in its state
    /// before a lost change.
    pub lost_changes: u64,
    /// Whether both replicas have to be rewritten, because one is missing or corrupt, or they differ.
    pub needs_repair: bool,
}

/// The format of a replica is not supported.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum UnsupportedFormat {
    /// A later version of the program wrote a replica, in this format.
    #[error(
        "the registry of tenants is of format {0}, this version reads {FORMAT_VERSION} at most"
    )]
    Later(u32),
}

/// The readable records of one file.
#[derive(Default)]
struct Replica {
    trailer: Option<SnapshotTrailer>,
    tenants: Vec<Tenant>,
    tombstones: Vec<(String, u32)>,
    idempotent_responses: Vec<IdempotentResponse>,
    changes: BTreeMap<u64, ChangeRecord>,
    /// Whether at least one line could not be read.
    is_corrupt: bool,
}

impl Replica {
    fn parse(text: &[u8]) -> Self {
        let mut replica = Replica::default();
        for line in text.split_inclusive(|byte| *byte == b'\n') {
            match Record::decode(line) {
                Some(record) => replica.add(record),
                None => replica.is_corrupt = true,
            }
        }
        replica
    }

    fn add(&mut self, record: Record) {
        match record {
            Record::SnapshotTrailer(trailer) => self.trailer = Some(trailer),
            Record::Tenant(tenant) => self.tenants.push(tenant),
            Record::Tombstone(name, generation) => self.tombstones.push((name, generation)),
            Record::IdempotentResponse(response) => self.idempotent_responses.push(response),
            Record::Change(change) => {
                self.changes.insert(change.seq, *change);
            }
        }
    }

    /// Sequence number of the snapshot if it is complete, that is, if as many lines were read as its trailer counts.
    fn complete_snapshot(&self) -> Option<u64> {
        let lines = self.tenants.len() + self.tombstones.len() + self.idempotent_responses.len();
        self.trailer
            .as_ref()
            .filter(|trailer| trailer.lines == lines)
            .map(|trailer| trailer.seq)
    }

    fn snapshot_state(&self, seq: u64) -> PersistedState {
        PersistedState {
            seq,
            tenants: self.tenants.clone(),
            gone: self.tombstones.clone(),
            idempotent_responses: self.idempotent_responses.clone(),
        }
    }
}

/// Recovers a registry from its two replicas, either of which may be torn, corrupt or missing.
///
/// # Errors
///
/// [`UnsupportedFormat`] if a later version of the program wrote one of the replicas.
pub fn recover(
    classes: &[String],
    one: Option<&[u8]>,
    other: Option<&[u8]>,
) -> Result<RecoveredRegistry, UnsupportedFormat> {
    let mut replicas: Vec<Replica> = [one, other]
        .into_iter()
        .flatten()
        .map(Replica::parse)
        .collect();
    if replicas.is_empty() {
        return Ok(RecoveredRegistry::default());
    }
    check_format(&replicas)?;
    let needs_repair =
        replicas.len() < 2 || replicas.iter().any(|replica| replica.is_corrupt) || one != other;
    // The newest complete snapshot first.
    replicas.sort_by_key(|replica| Reverse(replica.complete_snapshot()));
    let changes = merged_changes(&replicas);
    let lost_earlier = trailers(&replicas)
        .map(|trailer| trailer.lost_changes)
        .max();
    let mut lost_changes = lost_earlier.unwrap_or(0);
    let snapshot = match replicas[0].complete_snapshot() {
        Some(seq) => replicas[0].snapshot_state(seq),
        None => {
            lost_changes += 1;
            merged_incomplete_snapshots(&replicas)
        }
    };
    let mut registry = Registry::restore(classes.to_vec(), snapshot);
    lost_changes += replay(&mut registry, &changes);
    Ok(RecoveredRegistry {
        state: registry.persisted_state(),
        changes,
        lost_changes,
        needs_repair,
    })
}

fn trailers(replicas: &[Replica]) -> impl Iterator<Item = &SnapshotTrailer> {
    replicas
        .iter()
        .filter_map(|replica| replica.trailer.as_ref())
}

fn check_format(replicas: &[Replica]) -> Result<(), UnsupportedFormat> {
    let newest = trailers(replicas).map(|trailer| trailer.format).max();
    match newest {
        Some(format) if format > FORMAT_VERSION => Err(UnsupportedFormat::Later(format)),
        _ => Ok(()),
    }
}

/// The changes of all replicas. If two have the same sequence number, that of the later replica is used.
fn merged_changes(replicas: &[Replica]) -> BTreeMap<u64, ChangeRecord> {
    replicas
        .iter()
        .flat_map(|replica| &replica.changes)
        .map(|(seq, record)| (*seq, record.clone()))
        .collect()
}

/// The recoverable content if no snapshot is complete: each tenant in its newest version, and all tombstones.
fn merged_incomplete_snapshots(replicas: &[Replica]) -> PersistedState {
    let mut newest: BTreeMap<(String, u32), Tenant> = BTreeMap::new();
    for tenant in replicas.iter().flat_map(|replica| &replica.tenants) {
        let known = newest
            .entry((tenant.name.clone(), tenant.version.generation))
            .or_insert_with(|| tenant.clone());
        if known.version < tenant.version {
            *known = tenant.clone();
        }
    }
    PersistedState {
        seq: trailers(replicas)
            .map(|trailer| trailer.seq)
            .max()
            .unwrap_or(0),
        tenants: newest.into_values().collect(),
        gone: replicas
            .iter()
            .flat_map(|replica| replica.tombstones.clone())
            .collect(),
        idempotent_responses: Vec::new(),
    }
}

/// Applies the changes after a snapshot. Returns the number of changes missing in between.
fn replay(registry: &mut Registry, changes: &BTreeMap<u64, ChangeRecord>) -> u64 {
    let mut missing = 0;
    for (seq, record) in changes.range(registry.last_sequence() + 1..) {
        missing += seq - registry.last_sequence() - 1;
        if is_applied(registry, record) {
            registry.observe_committed(record);
        } else {
            registry.commit(record);
        }
    }
    missing
}

/// Whether the snapshot already contains the tenant of a change in the same or a newer version. This can be the case
/// because snapshots are written in slices.
fn is_applied(registry: &Registry, record: &ChangeRecord) -> bool {
    record.to.as_ref().is_some_and(|to| {
        registry
            .version(&to.name, to.version.generation)
            .is_some_and(|known| to.version <= known)
    })
}
