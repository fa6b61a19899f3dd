//! Tests of the recovery of a registry from intact, torn and corrupt replicas.

use super::record::{Record, SnapshotTrailer};
use super::*;
use crate::registry::{Actor, Change, Command, Decision, PersistedState, Precondition, Registry};
use crate::secret::Digest;
use crate::spec::{OnRemoval, TenantSpec};

/// A registry file and the states of the registry after each of its changes.
struct RecordedChanges {
    /// An empty snapshot and the changes after it.
    text: Vec<u8>,
    /// The empty state, and the state after each change.
    states: Vec<PersistedState>,
}

impl RecordedChanges {
    /// The end offset of each line of the file.
    fn line_ends(&self) -> Vec<usize> {
        (1..=self.text.len())
            .filter(|end| self.text[end - 1] == b'\n')
            .collect()
    }
}

fn command(name: &str, change: Change) -> Command {
    let actor = Actor {
        name: "ops".into(),
        role: "admin".into(),
    };
    let key = Some((format!("{name} {change:?}"), Digest::of(name.as_bytes())));
    Command {
        actor,
        request: "r".into(),
        key,
        name: name.into(),
        precondition: Precondition::Any,
        change,
    }
}

/// Seven changes of two tenants, one of which is gone at the end.
fn recorded_changes() -> RecordedChanges {
    let mut registry = Registry::new(vec!["payout".into()]);
    let mut text = encode_snapshot(&registry, 0);
    let mut states = vec![registry.persisted_state()];
    for (now_ms, command) in (0..).zip([
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
    ]) {
        let Ok(Decision::Commit(record)) = registry.decide(now_ms, &command) else {
            panic!("{command:?}")
        };
        text.extend(encode_change(&record));
        registry.commit(&record);
        states.push(registry.persisted_state());
    }
    let record = registry.next_drained(9).expect("a drained tenant");
    text.extend(encode_change(&record));
    registry.commit(&record);
    states.push(registry.persisted_state());
    RecordedChanges { text, states }
}

fn recover_replicas(one: Option<&[u8]>, other: Option<&[u8]>) -> RecoveredRegistry {
    recover(&["payout".into()], one, other).expect("readable")
}

#[test]
fn encoded_registry_is_recovered_unchanged() {
    let RecordedChanges { text, states } = recorded_changes();
    let recovered = recover_replicas(Some(&text), Some(&text));
    assert_eq!(Some(&recovered.state), states.last());
    assert!(!recovered.needs_repair && recovered.lost_changes == 0 && recovered.changes.len() == 7);
    // A snapshot of the recovered registry is recovered to the same state.
    let registry = Registry::restore(vec!["payout".into()], recovered.state.clone());
    let text = encode_snapshot(&registry, 0);
    let reread = recover_replicas(Some(&text), Some(&text));
    assert_eq!(reread.state, recovered.state);
    assert!(!reread.needs_repair && reread.lost_changes == 0 && reread.changes.is_empty());
}

/// Cuts the file at every byte, and recovers it alone or with an intact replica.
#[test]
fn torn_replica_yields_an_earlier_state_or_is_repaired() {
    let RecordedChanges { text, states } = recorded_changes();
    for cut in 0..text.len() {
        let alone = recover_replicas(Some(&text[..cut]), None);
        assert!(states.contains(&alone.state), "cut at {cut}");
        // A missing tail is not reported as a loss, because its changes were not confirmed to clients. An incomplete
        // snapshot is reported as a loss.
        let snapshot_end = text.iter().position(|byte| *byte == b'\n').expect("a line") + 1;
        assert_eq!(alone.lost_changes > 0, cut < snapshot_end, "cut at {cut}");
        for (one, other) in [(&text[..cut], &text[..]), (&text[..], &text[..cut])] {
            let repaired = recover_replicas(Some(one), Some(other));
            assert_eq!(Some(&repaired.state), states.last(), "cut at {cut}");
            assert!(
                repaired.needs_repair && repaired.lost_changes == 0,
                "cut at {cut}"
            );
        }
    }
}

/// Flips each bit in one replica or in both. Damage in one replica is recovered from the other. Damage in both results
/// in an earlier state or is counted as a lost change.
#[test]
fn flipped_bit_is_repaired_or_reported_as_lost() {
    let RecordedChanges { text, states } = recorded_changes();
    let mut losses_reported = 0;
    for at in 0..text.len() {
        for bit in 0..8 {
            let mut corrupt = text.clone();
            corrupt[at] ^= 1 << bit;
            let repaired = recover_replicas(Some(&corrupt), Some(&text));
            assert_eq!(Some(&repaired.state), states.last(), "byte {at} bit {bit}");
            assert!(
                repaired.needs_repair && repaired.lost_changes == 0,
                "byte {at} bit {bit}"
            );
            let alone = recover_replicas(Some(&corrupt), Some(&corrupt));
            assert!(alone.needs_repair, "byte {at} bit {bit}");
            losses_reported += u64::from(alone.lost_changes > 0);
            assert!(
                alone.lost_changes > 0 || states.contains(&alone.state),
                "byte {at} bit {bit}"
            );
        }
    }
    assert!(losses_reported > 0);
}

#[test]
fn replicas_torn_at_different_changes_are_merged() {
    let recorded = recorded_changes();
    let ends = recorded.line_ends();
    let RecordedChanges { text, states } = recorded;
    let (two, five) = (&text[..ends[2]], &text[..ends[5]]);
    let recovered = recover_replicas(Some(two), Some(five));
    assert_eq!(recovered.state, states[5]);
    // One replica was rewritten afterwards, the other was not.
    let registry = Registry::restore(vec!["payout".into()], states[5].clone());
    let rewritten = [
        encode_snapshot(&registry, 0),
        text[ends[5]..ends[6]].to_vec(),
    ]
    .concat();
    let recovered = recover_replicas(Some(&rewritten), Some(five));
    assert_eq!(recovered.state, states[6]);
    assert_eq!(recovered.lost_changes, 0);
}

/// A snapshot that is written in slices while tenants are created, changed and removed results, together with the
/// changes that follow it, in the last state.
#[test]
fn sliced_snapshot_with_later_changes_yields_the_last_state() {
    for slice_length in [1, 2, 3, 7] {
        let mut registry = Registry::new(Vec::new());
        let commit = |registry: &mut Registry, name: &str, change: Change| {
            let Ok(Decision::Commit(record)) = registry.decide(5, &command(name, change)) else {
                return Vec::new();
            };
            registry.commit(&record);
            encode_change(&record)
        };
        for n in 0..20 {
            commit(
                &mut registry,
                &format!("t{n:02}"),
                Change::Create(TenantSpec::default()),
            );
        }
        let mut snapshot = SnapshotWriter::new(&registry, 0);
        let (mut tail, mut step) = (Vec::new(), 0);
        while !snapshot.append_entries(&registry, slice_length) {
            step += 1;
            let (one, other) = (
                format!("t{:02}", step % 20),
                format!("t{:02}", (step * 7) % 20),
            );
            tail.extend(commit(
                &mut registry,
                &one,
                Change::Merge(serde_json::json!({"weight": 100 + step})),
            ));
            tail.extend(commit(&mut registry, &other, Change::Remove(None)));
            if let Some(gone) = registry.next_drained(6).filter(|_| step % 2 == 0) {
                tail.extend(encode_change(&gone));
                registry.commit(&gone);
            }
            tail.extend(commit(
                &mut registry,
                &other,
                Change::Create(TenantSpec::default()),
            ));
            tail.extend(commit(
                &mut registry,
                &format!("n{step}"),
                Change::Create(TenantSpec::default()),
            ));
        }
        let text = [snapshot.into_bytes(), tail].concat();
        let recovered = recover_replicas(Some(&text), Some(&text));
        let (mut found, mut expected) = (recovered.state, registry.persisted_state());
        found.idempotent_responses.sort_by(|a, b| a.key.cmp(&b.key));
        expected
            .idempotent_responses
            .sort_by(|a, b| a.key.cmp(&b.key));
        assert_eq!(found, expected, "slices of {slice_length}");
        assert!(!recovered.needs_repair && recovered.lost_changes == 0);
    }
}

#[test]
fn later_format_is_rejected() {
    let trailer = SnapshotTrailer {
        format: FORMAT_VERSION + 1,
        ..SnapshotTrailer::default()
    };
    let text = Record::SnapshotTrailer(trailer).encode();
    let read = recover(&[], Some(&text), None);
    assert!(matches!(read, Err(UnsupportedFormat::Later(2))));
    assert!(recover(&[], None, None)
        .is_ok_and(|read| read.state == PersistedState::default() && !read.needs_repair));
}
