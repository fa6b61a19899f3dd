//! The registry: each change against each state, and what is kept of it.

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

fn command(name: &str, expect: Precondition, change: Change) -> Command {
    let actor = Actor {
        name: "ops".into(),
        role: "admin".into(),
    };
    Command {
        actor,
        request: "r1".into(),
        key: None,
        name: name.into(),
        precondition: expect,
        change,
    }
}

/// Decides and commits; tells the tenant as it is after.
fn make(registry: &mut Registry, command: &Command) -> Result<Tenant, RegistryError> {
    match registry.decide(1000, command)? {
        Decision::Commit(record) => {
            registry.commit(&record);
            Ok(record.to.expect("a tenant"))
        }
        Decision::Unchanged(tenant) => Ok(*tenant),
        Decision::Replay(answered) => Ok(answered.tenant),
    }
}

fn create(registry: &mut Registry, name: &str) -> Tenant {
    make(
        registry,
        &command(
            name,
            Precondition::Any,
            Change::Create(TenantSpec::default()),
        ),
    )
    .expect("made")
}

fn drain(registry: &mut Registry) -> usize {
    let mut count = 0;
    while let Some(record) = registry.next_drained(2000) {
        registry.commit(&record);
        count += 1;
    }
    count
}

#[test]
fn of_two_who_change_the_same_state_one_wins() {
    let mut registry = Registry::new(classes());
    let made = create(&mut registry, "acme");
    assert_eq!(made.version.to_string(), "1.1");
    let expect = || Precondition::OneOf(vec![made.version]);
    let heavier = command("acme", expect(), Change::Merge(json!({"weight": 300})));
    let lighter = command("acme", expect(), Change::Merge(json!({"weight": 30})));
    assert_eq!(
        make(&mut registry, &heavier)
            .expect("the first wins")
            .spec
            .weight,
        300
    );
    let now = Version {
        generation: 1,
        revision: 2,
    };
    assert_eq!(
        make(&mut registry, &lighter),
        Err(RegistryError::Stale(now))
    );
    let again = command(
        "acme",
        Precondition::OneOf(vec![made.version, now]),
        Change::Merge(json!({"weight": 30})),
    );
    assert_eq!(
        make(&mut registry, &again)
            .expect("by the state that is")
            .spec
            .weight,
        30
    );
}

#[test]
fn a_change_that_changes_nothing_is_no_change() {
    let mut registry = Registry::new(classes());
    let made = create(&mut registry, "acme");
    for change in [
        Change::Resume,
        Change::Replace(TenantSpec::default()),
        Change::Merge(json!({})),
    ] {
        let same = registry.decide(1, &command("acme", Precondition::Any, change));
        assert_eq!(same, Ok(Decision::Unchanged(Box::new(made.clone()))));
    }
}

#[test]
fn a_merge_patch_sets_and_clears_and_is_checked() {
    let mut registry = Registry::new(classes());
    create(&mut registry, "acme");
    let mut merge = |patch| {
        make(
            &mut registry,
            &command("acme", Precondition::Any, Change::Merge(patch)),
        )
    };
    let rate = json!({"rate": {"per_second": 5.0, "burst": 9}, "classes": ["payout"]});
    let set = merge(rate).expect("good").spec;
    assert_eq!(
        set.rate.map(|rate| (rate.per_second, rate.burst)),
        Some((5.0, 9))
    );
    assert_eq!(set.classes, Some(BTreeSet::from(["payout".to_string()])));
    let part = merge(json!({"rate": {"burst": 3}})).expect("good").spec;
    assert_eq!(
        part.rate.map(|rate| (rate.per_second, rate.burst)),
        Some((5.0, 3))
    );
    assert_eq!(merge(json!({"rate": null})).expect("good").spec.rate, None);
    for bad in [
        json!(7),
        json!({"weight": 0}),
        json!({"nothing": 1}),
        json!({"classes": ["x"]}),
        json!([]),
    ] {
        assert!(
            matches!(merge(bad.clone()), Err(RegistryError::Invalid(_))),
            "{bad}"
        );
    }
}

#[test]
fn a_tenant_drains_is_gone_and_can_be_made_anew_meanwhile() {
    let mut registry = Registry::new(classes());
    create(&mut registry, "acme");
    let first = registry
        .check_admission("acme", "payout", 1)
        .expect("admitted");
    first.unacknowledged = 2;
    let number = first.number;
    let removed = make(
        &mut registry,
        &command("acme", Precondition::Any, Change::Remove(None)),
    )
    .expect("removed");
    assert_eq!(removed.terms().state, TenantState::Draining);
    assert!(registry.check_admission("acme", "payout", 1).is_err());
    assert_eq!(drain(&mut registry), 0);
    // It can't be changed any more, but hurried.
    let pause = make(
        &mut registry,
        &command("acme", Precondition::Any, Change::Pause),
    );
    assert_eq!(pause, Err(RegistryError::Draining("acme".into())));
    let hurry = Change::Remove(Some(OnRemoval::Refuse));
    let hurried = make(&mut registry, &command("acme", Precondition::Any, hurry)).expect("hurried");
    assert_eq!(hurried.terms().state, TenantState::Terminating);
    let slow = Change::Remove(Some(OnRemoval::Finish));
    assert_eq!(
        make(&mut registry, &command("acme", Precondition::Any, slow)),
        Ok(hurried)
    );
    // Made anew under its name, it is another, beside the one that drains.
    let second = create(&mut registry, "acme");
    assert_eq!(
        second.version,
        Version {
            generation: 2,
            revision: 1
        }
    );
    assert_eq!(second.reference(), "acme/2");
    let fresh = registry
        .check_admission("acme", "payout", 1)
        .expect("admitted");
    assert_ne!(fresh.number, number);
    fresh.unacknowledged = 1;
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
    assert_eq!(drain(&mut registry), 1);
    assert!(registry.entry_by_reference("acme").is_none() && registry.find("acme").is_ok());
    make(
        &mut registry,
        &command("acme", Precondition::Any, Change::Remove(None)),
    )
    .expect("removed");
    registry
        .entry_by_reference("acme/2")
        .expect("drains")
        .unacknowledged = 0;
    assert_eq!(drain(&mut registry), 1);
    assert_eq!(
        registry.find("acme").map(|_| ()),
        Err(RegistryError::Gone("acme".into()))
    );
    assert_eq!(
        registry.find("beta").map(|_| ()),
        Err(RegistryError::Unknown("beta".into()))
    );
    assert!(registry.is_empty());
    // Its generations are not used again.
    assert_eq!(create(&mut registry, "acme").version.generation, 3);
}

#[test]
fn all_tables_have_their_bounds() {
    let mut registry = Registry::new(classes());
    for _ in 0..=MAX_DRAINING_GENERATIONS {
        create(&mut registry, "acme");
        registry
            .check_admission("acme", "payout", 1)
            .expect("admitted")
            .unacknowledged = 1;
        make(
            &mut registry,
            &command("acme", Precondition::Any, Change::Remove(None)),
        )
        .expect("removed");
        if registry.draining_entries("acme").len() == MAX_DRAINING_GENERATIONS {
            break;
        }
    }
    let more = make(
        &mut registry,
        &command(
            "acme",
            Precondition::Any,
            Change::Create(TenantSpec::default()),
        ),
    );
    assert!(
        matches!(
            more,
            Err(RegistryError::TooMany {
                most: MAX_DRAINING_GENERATIONS,
                ..
            })
        ),
        "{more:?}"
    );
    for n in 0..MAX_TENANTS - MAX_DRAINING_GENERATIONS {
        create(&mut registry, &format!("t{n}"));
    }
    let more = make(
        &mut registry,
        &command(
            "late",
            Precondition::Any,
            Change::Create(TenantSpec::default()),
        ),
    );
    assert!(
        matches!(
            more,
            Err(RegistryError::TooMany {
                most: MAX_TENANTS,
                ..
            })
        ),
        "{more:?}"
    );
    // As many as may be are read back, too.
    let kept = Registry::restore(classes(), registry.persisted_state());
    assert_eq!(kept.len(), MAX_TENANTS);
    for n in 0..MAX_TOMBSTONES + 10 {
        make(
            &mut registry,
            &command(&format!("t{n}"), Precondition::Any, Change::Remove(None)),
        )
        .expect("removed");
        drain(&mut registry);
    }
    assert_eq!(registry.persisted_state().gone.len(), MAX_TOMBSTONES);
    let secret = |n: usize| Change::AddSecret {
        id: format!("s{n}"),
        sha256: Digest::of(&n.to_le_bytes()),
    };
    for n in 0..MAX_SECRETS {
        make(
            &mut registry,
            &command("t5000", Precondition::Any, secret(n)),
        )
        .expect("added");
    }
    let more = make(
        &mut registry,
        &command("t5000", Precondition::Any, secret(99)),
    );
    assert!(
        matches!(
            more,
            Err(RegistryError::TooMany {
                most: MAX_SECRETS,
                ..
            })
        ),
        "{more:?}"
    );
}

#[test]
fn the_same_request_is_answered_the_same_and_another_with_its_key_is_refused() {
    let mut registry = Registry::new(classes());
    let keyed = |key: &str, asked: &[u8], change: Change| {
        let key = Some((key.to_string(), Digest::of(asked)));
        Command {
            key,
            ..command("acme", Precondition::Any, change)
        }
    };
    let create = keyed("k1", b"create", Change::Create(TenantSpec::default()));
    let made = make(&mut registry, &create).expect("made");
    make(
        &mut registry,
        &command("acme", Precondition::Any, Change::Pause),
    )
    .expect("paused");
    // The answer of then, though things have moved on.
    assert!(matches!(registry.decide(2000, &create), Ok(Decision::Replay(a)) if a.tenant == made));
    let other = keyed("k1", b"other", Change::Pause);
    assert_eq!(registry.decide(2000, &other), Err(RegistryError::KeyReused));
    // Another's key is another key.
    let actor = Actor {
        name: "dev".into(),
        role: "admin".into(),
    };
    let theirs = Command {
        actor,
        ..other.clone()
    };
    assert!(matches!(
        registry.decide(2000, &theirs),
        Ok(Decision::Unchanged(_))
    ));
    // Over a restart, and for a day.
    let restored = Registry::restore(classes(), registry.persisted_state());
    assert!(matches!(
        restored.decide(2000, &create),
        Ok(Decision::Replay(_))
    ));
    let late = 1000 + IDEMPOTENCY_KEY_TTL_MS;
    assert_eq!(
        restored.decide(late, &create),
        Err(RegistryError::Exists("acme".into()))
    );
    for n in 0..MAX_IDEMPOTENCY_KEYS as u64 {
        let change = Change::Merge(json!({"weight": 1 + n}));
        make(&mut registry, &keyed(&format!("n{n}"), b"x", change)).expect("changed");
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
fn clients_name_themselves_with_any_secret_that_stands() {
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
    make(&mut registry, &add("old", b"first")).expect("added");
    make(&mut registry, &add("new", b"second")).expect("added");
    assert!(matches!(
        make(&mut registry, &add("new", b"third")),
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
    make(
        &mut registry,
        &command("acme", Precondition::Any, Change::DropSecret("old".into())),
    )
    .expect("dropped");
    assert!(!registry.is_session_valid(&old) && registry.is_session_valid(&new));
    let none = make(
        &mut registry,
        &command("acme", Precondition::Any, Change::DropSecret("old".into())),
    );
    assert!(matches!(none, Err(RegistryError::UnknownSecret(id)) if id == "old"));
    // A tenant that is made anew has secrets of its own.
    make(
        &mut registry,
        &command("acme", Precondition::Any, Change::Remove(None)),
    )
    .expect("removed");
    assert!(!registry.is_session_valid(&new));
    create(&mut registry, "acme");
    assert!(!registry.is_session_valid(&new) && registry.authenticate("acme", b"second").is_none());
}

#[test]
fn pages_go_by_name_and_show_the_newest() {
    let mut registry = Registry::new(classes());
    for name in ["c", "a", "b"] {
        create(&mut registry, name);
    }
    registry
        .check_admission("b", "payout", 1)
        .expect("admitted")
        .unacknowledged = 1;
    make(
        &mut registry,
        &command("b", Precondition::Any, Change::Remove(None)),
    )
    .expect("removed");
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

fn any_change() -> impl Strategy<Value = (u8, Change, Option<u8>)> {
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
    (0u8..4, change, prop::option::of(0u8..6))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 150, failure_persistence: None, rng_seed: RngSeed::Fixed(3), ..ProptestConfig::default() })]

    /// Whatever is asked for in whatever order: versions only grow, each change is recorded once, numbers are
    /// never shared, and what is read back from the file at any point is what was there.
    #[test]
    fn what_is_read_back_is_what_was_there(steps in prop::collection::vec((any_change(), any::<bool>()), 1..60)) {
        let mut registry = Registry::new(classes());
        let mut text = registry_file::encode_snapshot(&registry, 0);
        let mut newest = std::collections::BTreeMap::new();
        for (at, ((name, change, key), anew)) in steps.into_iter().enumerate() {
            let name = format!("t{name}");
            let key = key.map(|key| (format!("k{key}"), Digest::of(format!("{name}{change:?}").as_bytes())));
            let asked = Command { key, ..command(&name, Precondition::Any, change) };
            if let Ok(Decision::Commit(made)) = registry.decide(at as u64, &asked) {
                prop_assert_eq!(made.seq, registry.last_sequence() + 1);
                text.extend(registry_file::encode_change(&made));
                registry.commit(&made);
                let to = made.to.expect("a tenant");
                let before = newest.insert(to.name.clone(), to.version);
                prop_assert!(before.is_none_or(|before| before < to.version));
            }
            if at % 3 == 0 {
                while let Some(gone) = registry.next_drained(at as u64) {
                    text.extend(registry_file::encode_change(&gone));
                    registry.commit(&gone);
                }
            }
            if anew {
                text = registry_file::encode_snapshot(&registry, 0);
            }
            let numbers: BTreeSet<_> = registry.entries().map(|entry| entry.number).collect();
            prop_assert_eq!(numbers.len(), registry.len());
            let read = recover(&classes(), Some(&text), Some(&text)).expect("readable");
            prop_assert_eq!(&read.state, &registry.persisted_state());
            prop_assert!(read.lost_changes == 0 && !read.needs_repair);
        }
    }
}
