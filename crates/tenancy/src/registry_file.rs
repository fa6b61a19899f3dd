//! How a registry is written, and read after anything that can happen to a file.
//!
//! A line is the CRC-32 of its text in eight hexadecimal digits, a space, the text as JSON, and a line feed. A
//! file begins with a snapshot, whose last line says how many it has, and goes on with changes, each with its
//! number.
//! Two copies of the file are kept: what one has lost the other heals. A change that both have lost is told as
//! lost, never passed over in silence.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::registry::{ChangeRecord, IdempotentResponse, PersistedState, Registry, Tenant};

/// The format that is written; a later one is not read.
pub const FORMAT_VERSION: u32 = 1;
/// A longer line is not read, in bytes. The longest that is written has two tenants with 256 classes,
/// 256 ranges of destinations and 8 secrets each.
pub const MAX_LINE_BYTES: usize = 256 << 10;

/// The line that ends a snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Head {
    format: u32,
    /// Number of the last change that the snapshot holds.
    seq: u64,
    /// Lines of the snapshot before this one.
    lines: usize,
    /// Changes that were lost before the snapshot.
    lost: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Line {
    Head(Head),
    Tenant(Tenant),
    Gone(String, u32),
    Answered(IdempotentResponse),
    Change(Box<ChangeRecord>),
}

fn encode(line: &Line) -> Vec<u8> {
    // Types of this package, of which none fails to be written.
    let text = serde_json::to_vec(line).unwrap_or_default();
    let mut out = format!("{:08x} ", crc32fast::hash(&text)).into_bytes();
    out.extend(text);
    out.push(b'\n');
    out
}

fn decode(line: &[u8]) -> Option<Line> {
    let (sum, text) = line.split_at_checked(8)?;
    let text = text.strip_prefix(b" ")?;
    let good = sum == format!("{:08x}", crc32fast::hash(text)).as_bytes();
    good.then(|| serde_json::from_slice(text).ok())?
}

/// The line of a change.
#[must_use]
pub fn encode_change(record: &ChangeRecord) -> Vec<u8> {
    encode(&Line::Change(Box::new(record.clone())))
}

/// The snapshot of a registry, taken in parts while it goes on changing.
///
/// A tenant stands in it as it was when its part was taken, which may be later than the number in the head says:
/// the changes from that number on follow in the file, and each brings a tenant whole.
pub struct SnapshotWriter {
    text: Vec<u8>,
    lines: usize,
    seq: u64,
    lost: u64,
    after: Option<String>,
}

impl SnapshotWriter {
    /// Nothing of it is taken yet; `lost` changes were lost before.
    #[must_use]
    pub fn new(registry: &Registry, lost: u64) -> Self {
        SnapshotWriter {
            text: Vec::new(),
            lines: 0,
            seq: registry.last_sequence(),
            lost,
            after: None,
        }
    }

    fn add(&mut self, line: &Line) {
        self.text.extend(encode(line));
        self.lines += 1;
    }

    /// Takes the next tenants, about as many; true once all is taken.
    pub fn append_entries(&mut self, registry: &Registry, most: usize) -> bool {
        let after = self.after.clone();
        for (taken, entry) in registry.entries_after(after.as_deref()).enumerate() {
            // Those of one name are taken together.
            if taken >= most && self.after.as_ref() != Some(&entry.tenant.name) {
                return false;
            }
            self.add(&Line::Tenant(entry.tenant.clone()));
            self.after = Some(entry.tenant.name.clone());
        }
        registry
            .tombstones()
            .for_each(|(name, generation)| self.add(&Line::Gone(name.clone(), generation)));
        registry
            .idempotent_responses()
            .for_each(|answered| self.add(&Line::Answered(answered.clone())));
        let head = Head {
            format: FORMAT_VERSION,
            seq: self.seq,
            lines: self.lines,
            lost: self.lost,
        };
        self.text.extend(encode(&Line::Head(head)));
        true
    }

    /// What is to be written.
    #[must_use]
    pub fn into_bytes(self) -> Vec<u8> {
        self.text
    }
}

/// The whole snapshot of a registry.
#[must_use]
pub fn encode_snapshot(registry: &Registry, lost: u64) -> Vec<u8> {
    let mut snapshot = SnapshotWriter::new(registry, lost);
    snapshot.append_entries(registry, usize::MAX);
    snapshot.into_bytes()
}

/// What one copy holds.
#[derive(Default)]
struct Copy {
    head: Option<Head>,
    tenants: Vec<Tenant>,
    gone: Vec<(String, u32)>,
    answered: Vec<IdempotentResponse>,
    changes: BTreeMap<u64, ChangeRecord>,
    /// Not every line could be read.
    spoilt: bool,
}

impl Copy {
    fn read(text: &[u8]) -> Self {
        let mut copy = Copy::default();
        for line in text.split_inclusive(|byte| *byte == b'\n') {
            let whole = line
                .strip_suffix(b"\n")
                .filter(|line| line.len() <= MAX_LINE_BYTES);
            match whole.and_then(decode) {
                Some(Line::Head(head)) => copy.head = Some(head),
                Some(Line::Tenant(tenant)) => copy.tenants.push(tenant),
                Some(Line::Gone(name, generation)) => copy.gone.push((name, generation)),
                Some(Line::Answered(answered)) => copy.answered.push(answered),
                Some(Line::Change(record)) => drop(copy.changes.insert(record.seq, *record)),
                None => copy.spoilt = true,
            }
        }
        copy
    }

    fn whole(&self) -> Option<&Head> {
        let lines = self.tenants.len() + self.gone.len() + self.answered.len();
        self.head.as_ref().filter(|head| head.lines == lines)
    }
}

/// What was read.
#[derive(Debug, Default)]
pub struct RecoveredRegistry {
    /// The registry as it was last kept.
    pub state: PersistedState,
    /// The changes that the files still hold, by number.
    pub changes: BTreeMap<u64, ChangeRecord>,
    /// Changes that are lost: a tenant may stand as it did before one of them.
    pub lost_changes: u64,
    /// The files are not what they should be, and are to be written anew.
    pub needs_repair: bool,
}

/// Why files can't be read at all.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum UnsupportedFormat {
    /// A later version has written them.
    #[error(
        "the registry of tenants is of format {0}, this version reads {FORMAT_VERSION} at most"
    )]
    Later(u32),
}

/// Reads the two copies, either of which may be torn, spoilt or missing.
///
/// # Errors
///
/// [`UnsupportedFormat`] if a later version wrote one of the copies.
pub fn recover(
    classes: &[String],
    one: Option<&[u8]>,
    other: Option<&[u8]>,
) -> Result<RecoveredRegistry, UnsupportedFormat> {
    let mut copies: Vec<Copy> = [one, other].into_iter().flatten().map(Copy::read).collect();
    if copies.is_empty() {
        return Ok(RecoveredRegistry::default());
    }
    let formats = copies
        .iter()
        .filter_map(|copy| copy.head.as_ref())
        .map(|head| head.format);
    if let Some(later) = formats.max().filter(|format| *format > FORMAT_VERSION) {
        return Err(UnsupportedFormat::Later(later));
    }
    let spoilt = copies.len() < 2 || copies.iter().any(|copy| copy.spoilt) || one != other;
    copies.sort_by_key(|copy| std::cmp::Reverse(copy.whole().map(|head| head.seq)));
    let changes: BTreeMap<u64, ChangeRecord> = copies
        .iter()
        .flat_map(|copy| &copy.changes)
        .map(|(seq, record)| (*seq, record.clone()))
        .collect();
    let mut lost = copies
        .iter()
        .filter_map(|copy| copy.head.as_ref())
        .map(|head| head.lost)
        .max()
        .unwrap_or(0);
    let best = &copies[0];
    let mut kept = PersistedState {
        seq: best.head.as_ref().map_or(0, |head| head.seq),
        tenants: best.tenants.clone(),
        gone: best.gone.clone(),
        idempotent_responses: best.answered.clone(),
    };
    if best.whole().is_none() {
        // Neither snapshot is whole: what either still has, each tenant in its newest state.
        lost += 1;
        kept.seq = copies
            .iter()
            .filter_map(|copy| copy.head.as_ref())
            .map(|head| head.seq)
            .max()
            .unwrap_or(0);
        let mut newest: BTreeMap<(String, u32), Tenant> = BTreeMap::new();
        for tenant in copies.iter().flat_map(|copy| &copy.tenants) {
            let place = newest.entry((tenant.name.clone(), tenant.version.generation));
            let place = place.or_insert_with(|| tenant.clone());
            if place.version < tenant.version {
                *place = tenant.clone();
            }
        }
        kept.tenants = newest.into_values().collect();
        kept.gone = copies.iter().flat_map(|copy| copy.gone.clone()).collect();
        kept.idempotent_responses.clear();
    }
    let mut registry = Registry::restore(classes.to_vec(), kept);
    for (seq, record) in changes.range(registry.last_sequence() + 1..) {
        lost += seq - registry.last_sequence() - 1;
        // One that the snapshot holds in a later state already stays so.
        let known = record
            .to
            .as_ref()
            .and_then(|to| registry.version(&to.name, to.version.generation));
        if known.is_some_and(|known| record.to.as_ref().is_some_and(|to| to.version <= known)) {
            registry.observe_committed(record);
        } else {
            registry.commit(record);
        }
    }
    Ok(RecoveredRegistry {
        state: registry.persisted_state(),
        changes,
        lost_changes: lost,
        needs_repair: spoilt,
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::registry::{Actor, Change, Command, Decision, Precondition};
    use crate::spec::{OnRemoval, TenantSpec};

    fn command(name: &str, change: Change) -> Command {
        let actor = Actor {
            name: "ops".into(),
            role: "admin".into(),
        };
        let key = Some((
            format!("{name} {change:?}"),
            crate::secret::Digest::of(name.as_bytes()),
        ));
        Command {
            actor,
            request: "r".into(),
            key,
            name: name.into(),
            precondition: Precondition::Any,
            change,
        }
    }

    /// A registry after some changes, the file that was written meanwhile, and the state after each change.
    fn story() -> (Vec<u8>, Vec<PersistedState>) {
        let mut registry = Registry::new(vec!["payout".into()]);
        let mut text = encode_snapshot(&registry, 0);
        let mut states = vec![registry.persisted_state()];
        for (at, command) in [
            command("acme", Change::Create(TenantSpec::default())),
            command(
                "beta",
                Change::Create(TenantSpec {
                    weight: 7,
                    ..TenantSpec::default()
                }),
            ),
            command("acme", Change::Pause),
            command(
                "beta",
                Change::Merge(serde_json::json!({"max_held": 9, "classes": ["payout"]})),
            ),
            command("acme", Change::Resume),
            command("beta", Change::Remove(Some(OnRemoval::Refuse))),
        ]
        .into_iter()
        .enumerate()
        {
            let Ok(Decision::Commit(record)) = registry.decide(at as u64, &command) else {
                panic!("{command:?}")
            };
            text.extend(encode_change(&record));
            registry.commit(&record);
            states.push(registry.persisted_state());
        }
        let record = registry.next_drained(9).expect("one that is owed nothing");
        text.extend(encode_change(&record));
        registry.commit(&record);
        states.push(registry.persisted_state());
        (text, states)
    }

    fn read(one: Option<&[u8]>, other: Option<&[u8]>) -> RecoveredRegistry {
        recover(&["payout".into()], one, other).expect("readable")
    }

    #[test]
    fn what_was_written_is_read() {
        let (text, states) = story();
        let recovered = read(Some(&text), Some(&text));
        assert_eq!(Some(&recovered.state), states.last());
        assert!(
            !recovered.needs_repair && recovered.lost_changes == 0 && recovered.changes.len() == 7
        );
        // The same from a snapshot of it.
        let registry = Registry::restore(vec!["payout".into()], recovered.state.clone());
        let text = encode_snapshot(&registry, 0);
        let again = read(Some(&text), Some(&text));
        assert_eq!(again.state, recovered.state);
        assert!(!again.needs_repair && again.lost_changes == 0 && again.changes.is_empty());
    }

    /// Cut at every byte, alone or with a whole copy beside it.
    #[test]
    fn a_torn_file_is_a_state_that_was_there() {
        let (text, states) = story();
        for cut in 0..text.len() {
            let alone = read(Some(&text[..cut]), None);
            assert!(states.contains(&alone.state), "cut at {cut}");
            // What is lost is the tail, which nobody was told of; only a cut snapshot counts as a loss.
            let head = text.iter().position(|byte| *byte == b'\n').expect("a line") + 1;
            assert_eq!(alone.lost_changes > 0, cut < head, "cut at {cut}");
            for (one, other) in [(&text[..cut], &text[..]), (&text[..], &text[..cut])] {
                let beside = read(Some(one), Some(other));
                assert_eq!(Some(&beside.state), states.last(), "cut at {cut}");
                assert!(
                    beside.needs_repair && beside.lost_changes == 0,
                    "cut at {cut}"
                );
            }
        }
    }

    /// Each bit flipped: healed by the other copy; alone, never a state that was not there without saying so.
    #[test]
    fn a_flipped_bit_is_healed_or_told() {
        let (text, states) = story();
        let mut alone_lost = 0;
        for at in 0..text.len() {
            for bit in 0..8 {
                let mut spoilt = text.clone();
                spoilt[at] ^= 1 << bit;
                let beside = read(Some(&spoilt), Some(&text));
                assert_eq!(Some(&beside.state), states.last(), "byte {at} bit {bit}");
                assert!(
                    beside.needs_repair && beside.lost_changes == 0,
                    "byte {at} bit {bit}"
                );
                let alone = read(Some(&spoilt), Some(&spoilt));
                assert!(alone.needs_repair, "byte {at} bit {bit}");
                alone_lost += u64::from(alone.lost_changes > 0);
                assert!(
                    alone.lost_changes > 0 || states.contains(&alone.state),
                    "byte {at} bit {bit}"
                );
            }
        }
        assert!(alone_lost > 0);
    }

    #[test]
    fn copies_that_were_cut_off_at_different_changes_are_one_story() {
        let (text, states) = story();
        let ends: Vec<usize> = text
            .iter()
            .enumerate()
            .filter(|(_, byte)| **byte == b'\n')
            .map(|(at, _)| at + 1)
            .collect();
        let (two, five) = (&text[..ends[2]], &text[..ends[5]]);
        let recovered = read(Some(two), Some(five));
        assert_eq!(recovered.state, states[5]);
        // One copy has been written anew since, the other has not.
        let registry = Registry::restore(vec!["payout".into()], states[5].clone());
        let fresh = [
            encode_snapshot(&registry, 0),
            text[ends[5]..ends[6]].to_vec(),
        ]
        .concat();
        let recovered = read(Some(&fresh), Some(five));
        assert_eq!(recovered.state, states[6]);
        assert_eq!(recovered.lost_changes, 0);
    }

    /// A snapshot that is taken in parts while tenants are made, changed and removed is, with the changes that
    /// follow it, the state at the end.
    #[test]
    fn a_snapshot_in_parts_is_whole_with_what_follows() {
        for part in [1, 2, 3, 7] {
            let mut registry = Registry::new(Vec::new());
            let make = |registry: &mut Registry, name: &str, change: Change| {
                let Ok(Decision::Commit(record)) = registry.decide(5, &command(name, change))
                else {
                    return Vec::new();
                };
                registry.commit(&record);
                super::encode_change(&record)
            };
            for n in 0..20 {
                make(
                    &mut registry,
                    &format!("t{n:02}"),
                    Change::Create(TenantSpec::default()),
                );
            }
            let mut snapshot = SnapshotWriter::new(&registry, 0);
            let (mut tail, mut step) = (Vec::new(), 0);
            while !snapshot.append_entries(&registry, part) {
                step += 1;
                let (one, other) = (
                    format!("t{:02}", step % 20),
                    format!("t{:02}", (step * 7) % 20),
                );
                tail.extend(make(
                    &mut registry,
                    &one,
                    Change::Merge(serde_json::json!({"weight": 100 + step})),
                ));
                tail.extend(make(&mut registry, &other, Change::Remove(None)));
                if let Some(gone) = registry.next_drained(6).filter(|_| step % 2 == 0) {
                    tail.extend(super::encode_change(&gone));
                    registry.commit(&gone);
                }
                tail.extend(make(
                    &mut registry,
                    &other,
                    Change::Create(TenantSpec::default()),
                ));
                tail.extend(make(
                    &mut registry,
                    &format!("n{step}"),
                    Change::Create(TenantSpec::default()),
                ));
            }
            let text = [snapshot.into_bytes(), tail].concat();
            let read = read(Some(&text), Some(&text));
            let (mut kept, mut now) = (read.state, registry.persisted_state());
            kept.idempotent_responses.sort_by(|a, b| a.key.cmp(&b.key));
            now.idempotent_responses.sort_by(|a, b| a.key.cmp(&b.key));
            assert_eq!(kept, now, "parts of {part}");
            assert!(!read.needs_repair && read.lost_changes == 0);
        }
    }

    #[test]
    fn a_later_format_is_not_read() {
        let head = Head {
            format: FORMAT_VERSION + 1,
            ..Head::default()
        };
        let text = encode(&Line::Head(head));
        let read = recover(&[], Some(&text), None);
        assert!(matches!(read, Err(UnsupportedFormat::Later(2))));
        assert!(recover(&[], None, None)
            .is_ok_and(|read| read.state == PersistedState::default() && !read.needs_repair));
    }
}
