//! Golden files of the registry and the audit log: the current version writes the same bytes as the version that
//! created the files, and reads them. No test writes the files in `tests/golden`.

use std::fs;
use std::path::Path;

use serde_json::json;
use tenancy::audit::Entry;
use tenancy::registry::{Actor, Change, ChangeRecord, Command, Decision, Precondition};
use tenancy::registry_file::{self, recover};
use tenancy::secret::Digest;
use tenancy::spec::{OnRemoval, RateSpec, TenantSpec};
use tenancy::Registry;

fn golden(name: &str) -> Vec<u8> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name);
    fs::read(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

fn classes() -> Vec<String> {
    vec!["payout".into(), "update".into()]
}

fn full_spec() -> TenantSpec {
    TenantSpec {
        weight: 7,
        rate: Some(RateSpec {
            per_second: 2.5,
            burst: 40,
        }),
        max_held: Some(9),
        max_in_flight: Some(3),
        classes: Some(["payout".to_string()].into()),
        destinations: Some(vec![
            "7".parse().expect("a number"),
            "10-19".parse().expect("a range"),
        ]),
        on_removal: OnRemoval::Refuse,
    }
}

/// A registry and the changes that led to it.
struct ChangedRegistry {
    registry: Registry,
    records: Vec<ChangeRecord>,
}

/// A registry after changes of every kind.
fn changed_registry() -> ChangedRegistry {
    let mut registry = Registry::new(classes());
    let mut records = Vec::new();
    let secret = || Change::AddSecret {
        id: "s1".into(),
        sha256: Digest::of(b"secret"),
    };
    let changes = [
        ("acme", Change::Create(TenantSpec::default())),
        ("beta", Change::Create(full_spec())),
        ("acme", secret()),
        ("acme", Change::Pause),
        ("beta", Change::Merge(json!({"max_held": 12, "rate": null}))),
        ("acme", Change::Resume),
        ("acme", Change::Replace(full_spec())),
        ("beta", secret()),
        ("beta", Change::DropSecret("s1".into())),
        ("beta", Change::Remove(Some(OnRemoval::Finish))),
    ];
    for (at, (name, change)) in changes.into_iter().enumerate() {
        let key = (at % 2 == 0).then(|| (format!("key-{at}"), Digest::of(name.as_bytes())));
        let actor = Actor {
            name: "ops".into(),
            role: "admin".into(),
        };
        let request = format!("r{at}");
        let command = Command {
            actor,
            request,
            key,
            name: name.into(),
            precondition: Precondition::Any,
            change,
        };
        let Ok(Decision::Commit(record)) = registry.decide(1_790_000_000_123 + at as u64, &command)
        else {
            panic!("{command:?}")
        };
        registry.commit(&record);
        records.push(*record);
    }
    let gone = registry
        .next_drained(1_790_000_000_999)
        .expect("a drained tenant");
    registry.commit(&gone);
    records.push(gone);
    ChangedRegistry { registry, records }
}

fn written_changes() -> Vec<u8> {
    let mut text = registry_file::encode_snapshot(&Registry::new(classes()), 0);
    changed_registry()
        .records
        .iter()
        .for_each(|change| text.extend(registry_file::encode_change(change)));
    text
}

#[test]
fn registry_is_encoded_as_golden_files() {
    assert_eq!(written_changes(), golden("tenants.changes"));
    assert_eq!(
        registry_file::encode_snapshot(&changed_registry().registry, 2),
        golden("tenants.snapshot")
    );
}

#[test]
fn golden_replicas_are_recovered() {
    let (snapshot, changes) = (golden("tenants.snapshot"), golden("tenants.changes"));
    let ChangedRegistry { registry, records } = changed_registry();
    let recovered = recover(&classes(), Some(&changes), Some(&changes)).expect("readable");
    assert_eq!(
        (
            recovered.state,
            recovered.lost_changes,
            recovered.needs_repair
        ),
        (registry.persisted_state(), 0, false)
    );
    assert_eq!(recovered.changes.into_values().collect::<Vec<_>>(), records);
    let recovered = recover(&classes(), Some(&snapshot), Some(&snapshot)).expect("readable");
    assert_eq!(
        (
            recovered.state,
            recovered.lost_changes,
            recovered.needs_repair
        ),
        (registry.persisted_state(), 2, false)
    );
    // The first replica is torn within its last change, which is recovered from the second.
    let torn = &changes[..changes.len() - 30];
    let recovered = recover(&classes(), Some(torn), Some(&changes)).expect("readable");
    assert_eq!(
        (
            recovered.state,
            recovered.lost_changes,
            recovered.needs_repair
        ),
        (registry.persisted_state(), 0, true)
    );
}

#[test]
fn audit_entries_are_encoded_and_decoded_as_golden_file() {
    let entries: Vec<Entry> = changed_registry().records.iter().map(Entry::of).collect();
    let written: Vec<u8> = entries.iter().flat_map(Entry::line).collect();
    let text = golden("audit.jsonl");
    assert_eq!(written, text);
    let lines = text
        .split(|byte| *byte == b'\n')
        .filter(|line| !line.is_empty());
    let read: Vec<Entry> = lines
        .map(|line| serde_json::from_slice(line).expect("an entry"))
        .collect();
    assert_eq!(read, entries);
}
