//! Golden files of the store: the current version writes the same tables, keys and values as the version that created
//! the files, and reads that version's database. No test writes the files in `tests/golden`.

use std::fmt::Write;
use std::fs;
use std::path::{Path, PathBuf};

use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use runtime::{OsRuntime, Runtime};
use undeliverable::batch::{Batch, BatchCommand, BatchCounts, BatchSpec};
use undeliverable::record::{Attester, ExecutionClaim, Origin, RecordError};
use undeliverable::store::{self, EvictionCount, StoreLimits};
use undeliverable::{
    Attempt, Filter, Idempotency, Outcome, Reason, Record, RecordState, Resolution, Store,
};

fn golden_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name)
}

fn directory(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("stored-format-{name}-{}", std::process::id()));
    drop(fs::remove_dir_all(&path));
    fs::create_dir_all(&path).expect("a directory");
    path
}

fn open(path: &Path) -> Store {
    Store::open(OsRuntime.open_random_access(path).expect("opens"), false).expect("a store")
}

fn attempt(number: u64, outcome: Outcome) -> Attempt {
    let may_have_run = !matches!(
        outcome,
        Outcome::Refused | Outcome::NotConnected | Outcome::NotSent
    );
    Attempt {
        sent: 1_796_168_000_000_000 + number,
        host: format!("s-{number:04}"),
        outcome,
        may_have_run,
        resend: 0,
    }
}

/// A record with the end of its last call, as the first version that knows it stores it.
const RECORD_WITH_CALLS_END: &str = "record-with-calls-end.txt";

/// One record for each reason, each with attempts of every outcome.
fn records() -> Vec<Record> {
    let outcomes = [
        Outcome::Unknown,
        Outcome::Error,
        Outcome::Refused,
        Outcome::TimedOut,
        Outcome::NotConnected,
        Outcome::Broken,
        Outcome::Cancelled,
        Outcome::NotSent,
        Outcome::Delivered,
    ];
    let record = |(reason, number): (Reason, u64)| Record {
        origin: Origin {
            name: format!("m{number}"),
            tenant: if number % 2 == 0 {
                "acme/2".into()
            } else {
                "beta".into()
            },
            class: ["event", "payout", "update"][number as usize % 3].into(),
            destination: number as u16 % 2,
            idempotency_key: (number % 3 == 0).then(|| format!("k-{number}")),
            ordering_key: (number % 3 == 1).then_some(number),
            deadline: 1_796_168_056_871_000 + number,
        },
        idempotency: match number % 3 {
            0 => Idempotency::Keyed { window: 6_000_000 },
            1 => Idempotency::NonIdempotent,
            _ => Idempotency::Idempotent,
        },
        size: 10,
        given_up_at: 1_796_168_060_000_000 + number,
        reason,
        attempts: outcomes
            .iter()
            .zip(number * 100..)
            .map(|(outcome, at)| attempt(at, *outcome))
            .collect(),
        attestations: Vec::new(),
        state: RecordState::Open,
        version: 1,
        resends: 0,
        calls_ended_at: None,
    };
    Reason::ALL.into_iter().zip(1..).map(record).collect()
}

/// Writes records in every state, attestations and batches, and evicts one record.
fn write_store(path: &Path) {
    let now = 1_796_168_070_000_000;
    let store = open(path);
    let records: Vec<(Record, &[u8])> = records()
        .into_iter()
        .map(|record| (record, &b"\r\n\x00body"[..]))
        .collect();
    assert_eq!(
        store.insert(&records).expect("inserted"),
        (1..=8).collect::<Vec<_>>()
    );
    let change = |id, change: &dyn Fn(&mut Record) -> Result<(), RecordError>| {
        assert_eq!(
            store.update(id, |record| change(record)).expect("written"),
            Some(Ok(()))
        );
    };
    change(2, &|record| record.claim("ann", Some(1), now, 600_000_000));
    change(3, &|record| {
        record.begin_resend("batch/nightly", now);
        Ok(())
    });
    for (id, resolution) in [
        (4, Resolution::Delivered),
        (5, Resolution::AppliedBefore),
        (6, Resolution::Discarded),
    ] {
        change(id, &|record| {
            record.resolve(resolution, now);
            Ok(())
        });
    }
    change(7, &|record| {
        record.attest(
            Attester::Partner,
            ExecutionClaim::NotApplied,
            now,
            None,
            now,
        )
    });
    change(7, &|record| {
        record.attest(
            Attester::Operator("ann".into()),
            ExecutionClaim::Applied,
            now + 1,
            None,
            now,
        )
    });
    change(8, &|record| {
        record.attest(Attester::Partner, ExecutionClaim::Unknown, now, None, now)
    });
    let limits = StoreLimits {
        bytes: u64::MAX,
        tenant_bytes: u64::MAX,
        records: 7,
        age: u64::MAX,
    };
    assert_eq!(
        store
            .evict_beyond_limits(&limits, now, 10)
            .expect("evicted"),
        1
    );
    let spec = |name: &str| BatchSpec {
        name: name.into(),
        filter: Filter {
            destination: Some(1),
            reason: Some(Reason::KeyForgotten),
            ..Filter::default()
        },
        per_second: 2.5,
        at_once: 4,
        stop_after: 10,
    };
    let mut counts = BatchCounts {
        found: 3,
        resendable: 2,
        ..BatchCounts::default()
    };
    counts.blocked.insert("key-forgotten".into(), 1);
    let planned = Batch::plan(spec("nightly"), "ann", now, 8, counts).expect("a plan");
    store.save_batch(&planned).expect("stored");
    let mut running =
        Batch::plan(spec("weekly"), "bob", now, 8, BatchCounts::default()).expect("a plan");
    running
        .apply_command(BatchCommand::Run, None, now + 1)
        .expect("runs");
    store.save_batch(&running).expect("stored");
}

fn hex(bytes: &[u8]) -> String {
    bytes
        .iter()
        .fold(String::new(), |text, byte| text + &format!("{byte:02x}"))
}

/// The content of every table, read through the database's own interface.
fn dump(path: &Path) -> String {
    const NUMBERED: [TableDefinition<u64, &[u8]>; 2] = [
        TableDefinition::new("records"),
        TableDefinition::new("bodies"),
    ];
    let database = Database::open(path).expect("a database");
    let read = database.begin_read().expect("readable");
    let mut text = String::new();
    for definition in NUMBERED {
        for entry in read
            .open_table(definition)
            .expect("a table")
            .iter()
            .expect("entries")
        {
            let (key, value) = entry.expect("readable");
            writeln!(text, "{definition} {} {}", key.value(), hex(value.value())).expect("text");
        }
    }
    for definition in [
        TableDefinition::<&str, u64>::new("origins"),
        TableDefinition::new("numbers"),
    ] {
        for entry in read
            .open_table(definition)
            .expect("a table")
            .iter()
            .expect("entries")
        {
            let (key, value) = entry.expect("readable");
            writeln!(text, "{definition} {:?} {}", key.value(), value.value()).expect("text");
        }
    }
    let definition: TableDefinition<(u8, &str, u64), ()> = TableDefinition::new("index");
    for entry in read
        .open_table(definition)
        .expect("a table")
        .iter()
        .expect("entries")
    {
        writeln!(
            text,
            "{definition} {:?}",
            entry.expect("readable").0.value()
        )
        .expect("text");
    }
    let definition: TableDefinition<(u8, &str), u64> = TableDefinition::new("counts");
    for entry in read
        .open_table(definition)
        .expect("a table")
        .iter()
        .expect("entries")
    {
        let (key, value) = entry.expect("readable");
        writeln!(text, "{definition} {:?} {}", key.value(), value.value()).expect("text");
    }
    let definition: TableDefinition<(&str, &str), u64> = TableDefinition::new("dropped");
    for entry in read
        .open_table(definition)
        .expect("a table")
        .iter()
        .expect("entries")
    {
        let (key, value) = entry.expect("readable");
        writeln!(text, "{definition} {:?} {}", key.value(), value.value()).expect("text");
    }
    let definition: TableDefinition<&str, &[u8]> = TableDefinition::new("batches");
    for entry in read
        .open_table(definition)
        .expect("a table")
        .iter()
        .expect("entries")
    {
        let (key, value) = entry.expect("readable");
        writeln!(
            text,
            "{definition} {:?} {}",
            key.value(),
            hex(value.value())
        )
        .expect("text");
    }
    text
}

#[test]
fn encoding_of_the_store_is_unchanged() {
    let directory = directory("store-written");
    let path = directory.join("undeliverable.redb");
    write_store(&path);
    assert_eq!(
        dump(&path),
        fs::read_to_string(golden_path("store.txt")).expect("golden")
    );
    fs::remove_dir_all(directory).expect("removed");
}

#[test]
fn database_of_an_earlier_version_is_read() {
    let directory = directory("store-read");
    let path = directory.join("undeliverable.redb");
    fs::copy(golden_path("undeliverable.redb"), &path).expect("copied");
    let store = open(&path);
    assert_eq!(store.find(1).expect("read"), None, "it was evicted");
    let mut states = Vec::new();
    for (expected, id) in records().into_iter().zip(1..).skip(1) {
        let read = store.find(id).expect("read").expect("in the store");
        assert_eq!(
            (&read.origin, read.idempotency, read.reason),
            (&expected.origin, expected.idempotency, expected.reason)
        );
        assert_eq!(
            (&read.attempts, read.given_up_at, read.size),
            (&expected.attempts, expected.given_up_at, expected.size)
        );
        assert_eq!(
            store.body(id).expect("read").as_deref(),
            Some(&b"\r\n\x00body"[..])
        );
        states.push(read.state.as_str());
    }
    assert_eq!(
        states,
        [
            "claimed",
            "sending",
            "delivered",
            "applied-before",
            "discarded",
            "open",
            "open"
        ]
    );
    assert_eq!(
        store
            .find(7)
            .expect("read")
            .map(|record| record.attestations.len()),
        Some(2)
    );
    let totals = store.totals().expect("read");
    assert_eq!((totals.records, totals.unreadable_values), (7, 0));
    assert_eq!(
        totals.evictions,
        [EvictionCount {
            tenant: "beta".into(),
            cause: "records".into(),
            records: 1
        }]
    );
    let counts = store.counts(store::GroupBy::State).expect("read");
    assert_eq!(counts.iter().map(|(_, count)| count).sum::<u64>(), 7);
    let batches = store.batches().expect("read");
    let batches: Vec<_> = batches
        .iter()
        .map(|batch| {
            (
                batch.spec.name.as_str(),
                batch.state.as_str(),
                batch.version,
            )
        })
        .collect();
    assert_eq!(
        batches,
        [("nightly", "planned", 1), ("weekly", "running", 2)]
    );
    drop(store);
    fs::remove_dir_all(directory).expect("removed");
}

#[test]
fn record_with_the_end_of_its_calls_keeps_its_bytes_and_is_read_by_earlier_versions() {
    let path = directory("calls-end").join("undeliverable.redb");
    let mut record = records().remove(1);
    record.calls_ended_at = Some(1_796_168_061_000_000);
    {
        let store = open(&path);
        let inserted = store.insert(&[(record.clone(), b"body")]);
        assert_eq!(inserted.expect("inserted"), [1]);
        assert_eq!(store.find(1).expect("readable"), Some(record.clone()));
    }
    let text = dump(&path);
    let line = text.lines().next().expect("a record");
    let golden = fs::read_to_string(golden_path(RECORD_WITH_CALLS_END)).expect("a golden file");
    assert_eq!(line, golden.trim_end());
    // Earlier versions decode the fields that they know and ignore what follows: the checksum covers both.
    let value = unhex(line.rsplit(' ').next().expect("a value"));
    let (known, rest) = postcard::take_from_bytes::<Record>(&value[5..]).expect("a record");
    assert_eq!(rest.len(), 8);
    let without_end = Record {
        calls_ended_at: None,
        ..record
    };
    assert_eq!(known, without_end);
    // What such a version writes has no end, and the start of the next process takes its place.
    let rewritten = postcard::to_allocvec(&known).expect("encoded");
    assert_eq!(rewritten, value[5..value.len() - rest.len()]);
}

fn unhex(text: &str) -> Vec<u8> {
    let digits = text.as_bytes().chunks(2);
    let pairs = digits.map(|pair| std::str::from_utf8(pair).expect("digits"));
    pairs
        .map(|pair| u8::from_str_radix(pair, 16).expect("a byte"))
        .collect()
}
