//! Tests of the store.

use redb::backends::InMemoryBackend;
use redb::StorageBackend;

use super::*;
use crate::filter::Filter;
use crate::record::{Idempotency, Reason, Record, RecordError, RecordState, Resolution};
use crate::test_records::{attempt, record};

fn empty_store() -> Store {
    Store::open_backend(InMemoryBackend::new()).expect("empty")
}

fn numbered_record(number: u64, destination: u16, tenant: &str) -> Record {
    let mut record = record(
        Idempotency::NonIdempotent,
        vec![attempt(number, number.is_multiple_of(2))],
    );
    record.origin.name = format!("m{number}");
    record.origin.destination = destination;
    record.origin.tenant = format!("{tenant}/1");
    record.given_up_at = 1000 + number;
    record
}

fn store_of(records: u64) -> Store {
    let store = empty_store();
    let all: Vec<Record> = (0..records)
        .map(|n| numbered_record(n, (n % 3) as u16, if n % 4 == 0 { "acme" } else { "beta" }))
        .collect();
    let inserted: Vec<(Record, &[u8])> = all
        .iter()
        .map(|record| (record.clone(), &b"0123456789"[..]))
        .collect();
    assert_eq!(
        store.insert(&inserted).expect("inserted"),
        (1..=records).collect::<Vec<_>>()
    );
    store
}

const UNLIMITED: StoreLimits = StoreLimits {
    bytes: u64::MAX,
    tenant_bytes: u64::MAX,
    records: u64::MAX,
    age: u64::MAX,
};

#[test]
fn inserted_record_is_found_and_second_insertion_changes_nothing() {
    let store = store_of(10);
    let known = numbered_record(4, 1, "acme");
    assert_eq!(store.insert(&[(known, b"other")]).expect("known"), [5]);
    assert_eq!(
        store
            .find(5)
            .expect("read")
            .map(|record| record.origin.name),
        Some("m4".into())
    );
    assert_eq!(
        store.body(5).expect("read").as_deref(),
        Some(&b"0123456789"[..])
    );
    assert_eq!(store.find(99).expect("read"), None);
    assert_eq!(
        (
            store.totals().expect("read").records,
            store.last_id().expect("read")
        ),
        (10, 10)
    );
}

#[test]
fn pages_are_stable_while_records_are_inserted() {
    let store = store_of(30);
    let filter = Filter {
        destination: Some(1),
        tenant: Some("beta".into()),
        ..Filter::default()
    };
    let (mut listed, mut before) = (Vec::new(), None);
    loop {
        let page = store.page(&filter, before, 2).expect("read");
        listed.extend(page.records.iter().map(|(id, _)| *id));
        // New records have larger numbers, so no later page contains them.
        store
            .insert(&[(numbered_record(100 + listed.len() as u64, 1, "beta"), b"x")])
            .expect("inserted");
        let Some(next) = page.next else { break };
        before = Some(next);
    }
    let expected: Vec<u64> = (0..30)
        .filter(|n| n % 3 == 1 && n % 4 != 0)
        .map(|n| n + 1)
        .rev()
        .collect();
    assert_eq!(listed, expected);
    let oldest = store.page_after(&filter, 0, 3).expect("read");
    assert_eq!(
        oldest.records.iter().map(|(id, _)| *id).collect::<Vec<_>>(),
        [2, 8, 11]
    );
    assert_eq!(oldest.next, Some(11));
}

#[test]
fn update_moves_record_in_indexes_and_rejected_update_writes_nothing() {
    let store = store_of(6);
    let closed = store.update(2, |record| {
        record.resolve(Resolution::Discarded, 5);
        record.reason = Reason::GivenUp;
        Ok::<_, RecordError>(())
    });
    assert_eq!(closed.expect("written"), Some(Ok(())));
    let in_state = |state: &str| Filter {
        state: Some(state.into()),
        ..Filter::default()
    };
    assert_eq!(
        store
            .page(&in_state("discarded"), None, 10)
            .expect("read")
            .records
            .len(),
        1
    );
    assert_eq!(
        store
            .page(&in_state("open"), None, 10)
            .expect("read")
            .records
            .len(),
        5
    );
    assert_eq!(
        store.counts(GroupBy::State).expect("read"),
        [("discarded".into(), 1), ("open".into(), 5)]
    );
    assert_eq!(
        store.counts(GroupBy::Reason).expect("read"),
        [("given-up".into(), 1), ("out-of-time".into(), 5)]
    );
    let rejected = store.update(1, |record| {
        record.resolve(Resolution::Discarded, 5);
        Err::<(), _>(RecordError::Sending)
    });
    assert_eq!(rejected.expect("read"), Some(Err(RecordError::Sending)));
    assert_eq!(
        store.find(1).expect("read").map(|record| record.state),
        Some(RecordState::Open)
    );
    assert_eq!(
        store
            .update(77, |_| Ok::<_, RecordError>(()))
            .expect("read"),
        None
    );
}

/// Evicts at most 100 records, and returns how many were evicted.
fn evict(store: &Store, limits: &StoreLimits, now: u64) -> u64 {
    store
        .evict_beyond_limits(limits, now, 100)
        .expect("evicted")
}

#[test]
fn eviction_removes_and_counts_the_oldest_but_keeps_records_being_sent() {
    let store = store_of(20);
    store
        .update(1, |record| {
            Ok::<_, RecordError>(record.begin_resend("ann", 1))
        })
        .expect("written");
    let by_records = StoreLimits {
        records: 17,
        ..UNLIMITED
    };
    assert_eq!(evict(&store, &by_records, 2000), 3);
    assert!(store.find(1).expect("read").is_some() && store.find(4).expect("read").is_none());
    let by_age = StoreLimits {
        age: 1000,
        ..UNLIMITED
    };
    // At time 2009, the records given up at 1000 to 1009 are too old; the first of them is being resent.
    assert_eq!(evict(&store, &by_age, 2009), 6);
    let bytes = store.totals().expect("read").bytes;
    let record_bytes = bytes / store.totals().expect("read").records;
    check_eviction_by_tenant(&store, record_bytes);
    check_eviction_by_bytes(&store, record_bytes);
    assert!(store.find(1).expect("read").is_some());
    let records_by_class: u64 = store
        .counts(GroupBy::Class)
        .expect("read")
        .iter()
        .map(|(_, count)| count)
        .sum();
    assert_eq!(
        records_by_class,
        store.totals().expect("read").records,
        "counts and totals agree"
    );
}

/// Sets a limit on a tenant's bytes that only `beta` exceeds.
fn check_eviction_by_tenant(store: &Store, record_bytes: u64) {
    let acme = store.counts(GroupBy::Tenant).expect("read")[0].clone();
    assert_eq!(acme, ("acme".into(), 3));
    let by_tenant = StoreLimits {
        tenant_bytes: 4 * record_bytes,
        ..UNLIMITED
    };
    assert!(evict(store, &by_tenant, 0) > 0);
    assert_eq!(
        store.counts(GroupBy::Tenant).expect("read")[0],
        ("acme".into(), 3),
        "another tenant's records are not evicted"
    );
}

/// Limits the store to the bytes of three records, and evicts at most two records per call.
fn check_eviction_by_bytes(store: &Store, record_bytes: u64) {
    let by_bytes = StoreLimits {
        bytes: 3 * record_bytes,
        ..UNLIMITED
    };
    while store.evict_beyond_limits(&by_bytes, 0, 2).expect("evicted") > 0 {}
    let totals = store.totals().expect("read");
    assert!(
        totals.bytes <= 3 * record_bytes + record_bytes / 2,
        "{totals:?}"
    );
    let evicted: u64 = totals.evictions.iter().map(|evicted| evicted.records).sum();
    assert_eq!(evicted + totals.records, 20, "{totals:?}");
}

#[test]
fn file_with_arbitrary_bytes_is_an_error_without_panic() {
    let previous_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(|_| {}));
    for seed in 0..8u8 {
        let noise = InMemoryBackend::new();
        noise.set_len(1 << 16).expect("memory");
        let bytes: Vec<u8> = (0..1u32 << 16)
            .map(|n| (n as u8).wrapping_mul(seed).wrapping_add(n as u8 >> 3))
            .collect();
        noise.write(0, &bytes).expect("memory");
        assert!(Store::open_backend(noise).is_err(), "{seed}");
    }
    std::panic::set_hook(previous_hook);
}
