//! Tests of the registry: changes in each state of a tenant, limits, and recovery from its file.

use std::collections::BTreeSet;

use policy::types::TenantState;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::json;
use tenancy::registry::*;
use tenancy::registry_file::{self, recover};
use tenancy::secret::{Digest, MAX_SECRETS};
use tenancy::spec::{OnRemoval, TenantSpec};
use tenancy::Registry;

fn classes() -> Vec<String> {
    vec!["payout".into(), "update".into()]
}

fn command(name: &str, precondition: Precondition, change: Change) -> Command {
    let actor = Actor {
        name: "ops".into(),
        role: "admin".into(),
    };
    Command {
        actor,
        request: "r1".into(),
        key: None,
        name: name.into(),
        precondition,
        change,
    }
}

/// Decides on a command and commits it. Returns the tenant after the command.
fn execute(registry: &mut Registry, command: &Command) -> Result<Tenant, RegistryError> {
    match registry.decide(1000, command)? {
        Decision::Commit(record) => {
            registry.commit(&record);
            Ok(record.to.expect("a tenant"))
        }
        Decision::Unchanged(tenant) => Ok(*tenant),
        Decision::Replay(response) => Ok(response.tenant),
    }
}

/// Executes a change of a tenant, regardless of its version.
fn execute_change(
    registry: &mut Registry,
    name: &str,
    change: Change,
) -> Result<Tenant, RegistryError> {
    execute(registry, &command(name, Precondition::Any, change))
}

fn create(registry: &mut Registry, name: &str) -> Tenant {
    execute_change(registry, name, Change::Create(TenantSpec::default())).expect("created")
}

/// Accepts a message of a tenant.
fn accept_message(registry: &mut Registry, name: &str) {
    let entry = registry.check_admission(name, "payout", 1);
    entry.expect("admitted").unacknowledged = 1;
}

/// Commits the removal of all tenants that have drained. Returns how many were removed.
fn commit_drained(registry: &mut Registry) -> usize {
    let mut count = 0;
    while let Some(record) = registry.next_drained(2000) {
        registry.commit(&record);
        count += 1;
    }
    count
}

#[test]
fn second_change_of_the_same_version_is_stale() {
    let mut registry = Registry::new(classes());
    let created = create(&mut registry, "acme");
    assert_eq!(created.version.to_string(), "1.1");
    let precondition = || Precondition::OneOf(vec![created.version]);
    let heavier = command(
        "acme",
        precondition(),
        Change::Merge(json!({"weight": 300})),
    );
    let lighter = command("acme", precondition(), Change::Merge(json!({"weight": 30})));
    assert_eq!(
        execute(&mut registry, &heavier)
            .expect("the first wins")
            .spec
            .weight,
        300
    );
    let current = Version {
        generation: 1,
        revision: 2,
    };
    assert_eq!(
        execute(&mut registry, &lighter),
        Err(RegistryError::Stale(current))
    );
    let retry = command(
        "acme",
        Precondition::OneOf(vec![created.version, current]),
        Change::Merge(json!({"weight": 30})),
    );
    assert_eq!(
        execute(&mut registry, &retry)
            .expect("the current version")
            .spec
            .weight,
        30
    );
}

#[test]
fn command_without_effect_leaves_the_tenant_unchanged() {
    let mut registry = Registry::new(classes());
    let created = create(&mut registry, "acme");
    for change in [
        Change::Resume,
        Change::Replace(TenantSpec::default()),
        Change::Merge(json!({})),
    ] {
        let decision = registry.decide(1, &command("acme", Precondition::Any, change));
        assert_eq!(decision, Ok(Decision::Unchanged(Box::new(created.clone()))));
    }
}

#[test]
fn merge_patch_sets_and_clears_fields_and_is_validated() {
    let mut registry = Registry::new(classes());
    create(&mut registry, "acme");
    let mut merge = |patch| execute_change(&mut registry, "acme", Change::Merge(patch));
    let rate = json!({"rate": {"per_second": 5.0, "burst": 9}, "classes": ["payout"]});
    let patched = merge(rate).expect("valid").spec;
    assert_eq!(
        patched.rate.map(|rate| (rate.per_second, rate.burst)),
        Some((5.0, 9))
    );
    assert_eq!(
        patched.classes,
        Some(BTreeSet::from(["payout".to_string()]))
    );
    let partial = merge(json!({"rate": {"burst": 3}})).expect("valid").spec;
    assert_eq!(
        partial.rate.map(|rate| (rate.per_second, rate.burst)),
        Some((5.0, 3))
    );
    assert_eq!(merge(json!({"rate": null})).expect("valid").spec.rate, None);
    for invalid in [
        json!(7),
        json!({"weight": 0}),
        json!({"nothing": 1}),
        json!({"classes": ["x"]}),
        json!([]),
    ] {
        assert!(
            matches!(merge(invalid.clone()), Err(RegistryError::Invalid(_))),
            "{invalid}"
        );
    }
}

#[test]
fn removed_tenant_drains_beside_its_successor_and_is_gone_once_acknowledged() {
    let mut registry = Registry::new(classes());
    create(&mut registry, "acme");
    let first = registry
        .check_admission("acme", "payout", 1)
        .expect("admitted");
    first.unacknowledged = 2;
    let number = first.number;
    let removed = execute_change(&mut registry, "acme", Change::Remove(None)).expect("removed");
    assert_eq!(removed.terms().state, TenantState::Draining);
    assert!(registry.check_admission("acme", "payout", 1).is_err());
    assert_eq!(commit_drained(&mut registry), 0);
    // A draining tenant cannot be changed, except to end its messages at once.
    let pause = execute_change(&mut registry, "acme", Change::Pause);
    assert_eq!(pause, Err(RegistryError::Draining("acme".into())));
    let terminate = Change::Remove(Some(OnRemoval::Refuse));
    let terminated = execute_change(&mut registry, "acme", terminate).expect("terminated");
    assert_eq!(terminated.terms().state, TenantState::Terminating);
    let finish = Change::Remove(Some(OnRemoval::Finish));
    assert_eq!(
        execute_change(&mut registry, "acme", finish),
        Ok(terminated)
    );
    // A tenant that is created under the same name is a new generation, in addition to the draining one.
    let second = create(&mut registry, "acme");
    assert_eq!(
        second.version,
        Version {
            generation: 2,
            revision: 1
        }
    );
    assert_eq!(second.reference(), "acme/2");
    let successor = registry
        .check_admission("acme", "payout", 1)
        .expect("admitted");
    assert_ne!(successor.number, number);
    successor.unacknowledged = 1;
    assert_eq!(
        registry
            .entry_by_reference("acme")
            .map(|entry| (entry.number, entry.unacknowledged)),
        Some((number, 2))
    );
    assert_eq!(
        registry
            .entry_by_reference("acme/2")
            .map(|entry| entry.unacknowledged),
        Some(1)
    );
    assert!(
        registry.entry_by_reference("acme/3").is_none()
            && registry.entry_by_reference("acme/x").is_none()
    );
    assert_eq!(registry.len(), 2);
    registry
        .entry_by_reference("acme")
        .expect("drains")
        .unacknowledged = 0;
    assert_eq!(commit_drained(&mut registry), 1);
    assert!(registry.entry_by_reference("acme").is_none() && registry.find("acme").is_ok());
    execute_change(&mut registry, "acme", Change::Remove(None)).expect("removed");
    registry
        .entry_by_reference("acme/2")
        .expect("drains")
        .unacknowledged = 0;
    assert_eq!(commit_drained(&mut registry), 1);
    assert_eq!(
        registry.find("acme").map(|_| ()),
        Err(RegistryError::Gone("acme".into()))
    );
    assert_eq!(
        registry.find("beta").map(|_| ()),
        Err(RegistryError::Unknown("beta".into()))
    );
    assert!(registry.is_empty());
    // Generations are not reused.
    assert_eq!(create(&mut registry, "acme").version.generation, 3);
}

/// A registry with the maximum of draining tenants of one name.
fn registry_with_draining_tenants() -> Registry {
    let mut registry = Registry::new(classes());
    for _ in 0..MAX_DRAINING_GENERATIONS {
        create(&mut registry, "acme");
        accept_message(&mut registry, "acme");
        execute_change(&mut registry, "acme", Change::Remove(None)).expect("removed");
    }
    assert_eq!(
        registry.draining_entries("acme").len(),
        MAX_DRAINING_GENERATIONS
    );
    registry
}

fn assert_too_many(result: &Result<Tenant, RegistryError>, expected: usize) {
    assert!(
        matches!(result, Err(RegistryError::TooMany { most, .. }) if *most == expected),
        "{result:?}"
    );
}

#[test]
fn draining_generations_of_a_name_are_bounded() {
    let mut registry = registry_with_draining_tenants();
    let result = execute_change(&mut registry, "acme", Change::Create(TenantSpec::default()));
    assert_too_many(&result, MAX_DRAINING_GENERATIONS);
}

#[test]
fn tenants_are_bounded_draining_ones_included() {
    let mut registry = registry_with_draining_tenants();
    for n in 0..MAX_TENANTS - MAX_DRAINING_GENERATIONS {
        create(&mut registry, &format!("t{n}"));
    }
    let result = execute_change(&mut registry, "late", Change::Create(TenantSpec::default()));
    assert_too_many(&result, MAX_TENANTS);
    // A registry with the maximum number of tenants is restored completely.
    let restored = Registry::restore(classes(), registry.persisted_state());
    assert_eq!(restored.len(), MAX_TENANTS);
}

#[test]
fn tombstones_are_bounded() {
    let mut registry = Registry::new(classes());
    for n in 0..MAX_TOMBSTONES + 10 {
        let name = format!("t{n}");
        create(&mut registry, &name);
        execute_change(&mut registry, &name, Change::Remove(None)).expect("removed");
        commit_drained(&mut registry);
    }
    assert_eq!(registry.persisted_state().gone.len(), MAX_TOMBSTONES);
}

#[test]
fn secrets_of_a_tenant_are_bounded() {
    let mut registry = Registry::new(classes());
    create(&mut registry, "acme");
    let secret = |n: usize| Change::AddSecret {
        id: format!("s{n}"),
        sha256: Digest::of(&n.to_le_bytes()),
    };
    for n in 0..MAX_SECRETS {
        execute_change(&mut registry, "acme", secret(n)).expect("added");
    }
    let result = execute_change(&mut registry, "acme", secret(99));
    assert_too_many(&result, MAX_SECRETS);
}

#[test]
fn idempotent_request_is_replayed_and_a_reused_key_is_rejected() {
    let mut registry = Registry::new(classes());
    let keyed = |key: &str, request: &[u8], change: Change| {
        let key = Some((key.to_string(), Digest::of(request)));
        Command {
            key,
            ..command("acme", Precondition::Any, change)
        }
    };
    let create = keyed("k1", b"create", Change::Create(TenantSpec::default()));
    let created = execute(&mut registry, &create).expect("created");
    execute_change(&mut registry, "acme", Change::Pause).expect("paused");
    // The first response is replayed although the tenant has changed in the meantime.
    assert!(
        matches!(registry.decide(2000, &create), Ok(Decision::Replay(a)) if a.tenant == created)
    );
    let other = keyed("k1", b"other", Change::Pause);
    assert_eq!(registry.decide(2000, &other), Err(RegistryError::KeyReused));
    // Keys of different actors are independent.
    let actor = Actor {
        name: "dev".into(),
        role: "admin".into(),
    };
    let of_other_actor = Command {
        actor,
        ..other.clone()
    };
    assert!(matches!(
        registry.decide(2000, &of_other_actor),
        Ok(Decision::Unchanged(_))
    ));
    // Responses survive a restart, and expire after a day.
    let restored = Registry::restore(classes(), registry.persisted_state());
    assert!(matches!(
        restored.decide(2000, &create),
        Ok(Decision::Replay(_))
    ));
    let expired = 1000 + IDEMPOTENCY_KEY_TTL_MS;
    assert_eq!(
        restored.decide(expired, &create),
        Err(RegistryError::Exists("acme".into()))
    );
    for n in 0..MAX_IDEMPOTENCY_KEYS as u64 {
        let change = Change::Merge(json!({"weight": 1 + n}));
        execute(&mut registry, &keyed(&format!("n{n}"), b"x", change)).expect("changed");
    }
    assert_eq!(
        registry.persisted_state().idempotent_responses.len(),
        MAX_IDEMPOTENCY_KEYS
    );
    assert_eq!(
        registry.decide(2000, &create),
        Err(RegistryError::Exists("acme".into()))
    );
}

#[test]
fn clients_authenticate_with_any_current_secret() {
    let mut registry = Registry::new(classes());
    create(&mut registry, "acme");
    assert_eq!(registry.authenticate("acme", b""), None);
    let add = |id: &str, secret: &[u8]| {
        command(
            "acme",
            Precondition::Any,
            Change::AddSecret {
                id: id.into(),
                sha256: Digest::of(secret),
            },
        )
    };
    execute(&mut registry, &add("old", b"first")).expect("added");
    execute(&mut registry, &add("new", b"second")).expect("added");
    assert!(matches!(
        execute(&mut registry, &add("new", b"third")),
        Err(RegistryError::SecretExists(id)) if id == "new"
    ));
    let (old, new) = (
        registry.authenticate("acme", b"first"),
        registry.authenticate("acme", b"second"),
    );
    let (old, new) = (old.expect("known"), new.expect("known"));
    assert_eq!(registry.authenticate("acme", b"third"), None);
    assert_eq!(registry.authenticate("beta", b"first"), None);
    assert!(registry.is_session_valid(&old) && registry.is_session_valid(&new));
    execute_change(&mut registry, "acme", Change::DropSecret("old".into())).expect("dropped");
    assert!(!registry.is_session_valid(&old) && registry.is_session_valid(&new));
    let none = execute_change(&mut registry, "acme", Change::DropSecret("old".into()));
    assert!(matches!(none, Err(RegistryError::UnknownSecret(id)) if id == "old"));
    // A new generation has secrets of its own.
    execute_change(&mut registry, "acme", Change::Remove(None)).expect("removed");
    assert!(!registry.is_session_valid(&new));
    create(&mut registry, "acme");
    assert!(!registry.is_session_valid(&new) && registry.authenticate("acme", b"second").is_none());
}

#[test]
fn entries_are_paged_by_name_with_the_newest_generation() {
    let mut registry = Registry::new(classes());
    for name in ["c", "a", "b"] {
        create(&mut registry, name);
    }
    accept_message(&mut registry, "b");
    execute_change(&mut registry, "b", Change::Remove(None)).expect("removed");
    create(&mut registry, "b");
    let names = |after: Option<&str>| -> Vec<String> {
        registry
            .newest_entries_after(after)
            .map(|entry| entry.tenant.reference())
            .collect()
    };
    assert_eq!(names(None), ["a", "b/2", "c"]);
    assert_eq!(names(Some("a")), ["b/2", "c"]);
    assert_eq!(names(Some("bb")), ["c"]);
    assert_eq!(names(Some("c")), [""; 0]);
}

/// Any change of one of four tenants, sometimes with an idempotency key and the matching digest.
fn any_command() -> impl Strategy<Value = Command> {
    let change = prop_oneof![
        3 => (1u32..50).prop_map(|weight| Change::Create(TenantSpec { weight, ..TenantSpec::default() })),
        2 => (1u32..50).prop_map(|weight| Change::Replace(TenantSpec { weight, ..TenantSpec::default() })),
        2 => (0u32..50).prop_map(|weight| Change::Merge(json!({"weight": weight}))),
        1 => Just(Change::Pause),
        1 => Just(Change::Resume),
        2 => Just(Change::Remove(None)),
        1 => Just(Change::Remove(Some(OnRemoval::Refuse))),
        1 => (0u8..4).prop_map(|n| Change::AddSecret { id: format!("s{n}"), sha256: Digest::of(&[n]) }),
        1 => (0u8..4).prop_map(|n| Change::DropSecret(format!("s{n}"))),
    ];
    (0u8..4, change, prop::option::of(0u8..6)).prop_map(|(tenant, change, key)| {
        let name = format!("t{tenant}");
        let digest = Digest::of(format!("{name}{change:?}").as_bytes());
        Command {
            key: key.map(|key| (format!("k{key}"), digest)),
            ..command(&name, Precondition::Any, change)
        }
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 150, failure_persistence: None, rng_seed: RngSeed::Fixed(3), ..ProptestConfig::default() })]

    /// For any sequence of commands: versions only increase, each change has its own sequence number, no two tenants
    /// have the same number, and recovery from the file results in the registry's state at any point.
    #[test]
    fn file_yields_the_registry_after_any_commands(steps in prop::collection::vec((any_command(), any::<bool>()), 1..60)) {
        let mut registry = Registry::new(classes());
        let mut text = registry_file::encode_snapshot(&registry, 0);
        let mut newest = std::collections::BTreeMap::new();
        for (at, (command, rewrite)) in steps.into_iter().enumerate() {
            if let Ok(Decision::Commit(record)) = registry.decide(at as u64, &command) {
                prop_assert_eq!(record.seq, registry.last_sequence() + 1);
                text.extend(registry_file::encode_change(&record));
                registry.commit(&record);
                let to = record.to.expect("a tenant");
                let before = newest.insert(to.name.clone(), to.version);
                prop_assert!(before.is_none_or(|before| before < to.version));
            }
            if at % 3 == 0 {
                while let Some(gone) = registry.next_drained(at as u64) {
                    text.extend(registry_file::encode_change(&gone));
                    registry.commit(&gone);
                }
            }
            if rewrite {
                text = registry_file::encode_snapshot(&registry, 0);
            }
            let numbers: BTreeSet<_> = registry.entries().map(|entry| entry.number).collect();
            prop_assert_eq!(numbers.len(), registry.len());
            let recovered = recover(&classes(), Some(&text), Some(&text)).expect("readable");
            prop_assert_eq!(&recovered.state, &registry.persisted_state());
            prop_assert!(recovered.lost_changes == 0 && !recovered.needs_repair);
        }
    }
}
