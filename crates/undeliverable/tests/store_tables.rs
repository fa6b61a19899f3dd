//! Further golden files of the store, in addition to those of `stored_format.rs`: the names and types of all tables,
//! every kind of key and every variant of a stored value, read from the file through the database's own interface. Only
//! the creation of the values depends on the crate's items. No test writes the files in `tests/golden`.

use std::any::type_name;
use std::collections::BTreeSet;
use std::fmt::Write;
use std::fs;
use std::path::{Path, PathBuf};

use redb::{
    Database, Key, ReadOnlyTable, ReadTransaction, ReadableDatabase, ReadableTable,
    TableDefinition, TableHandle, Value,
};
use runtime::{OsRuntime, Runtime};
use tenancy::Scope;
use undeliverable::batch::{Batch, BatchCommand, BatchCounts, BatchSpec};
use undeliverable::record::{Attester, ExecutionClaim, Origin, RecordError};
use undeliverable::store::StoreLimits;
use undeliverable::{
    Attempt, Filter, Idempotency, Outcome, Reason, Record, RecordState, Resolution, Store,
};

const NOW: u64 = 1_796_168_070_000_000;
const DAY: u64 = 86_400_000_000;
const UNLIMITED: StoreLimits = StoreLimits {
    bytes: u64::MAX,
    tenant_bytes: u64::MAX,
    records: u64::MAX,
    age: u64::MAX,
};

fn golden(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name);
    fs::read_to_string(path).expect("a golden file")
}

fn create_directory(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("store-tables-{name}-{}", std::process::id()));
    drop(fs::remove_dir_all(&path));
    fs::create_dir_all(&path).expect("a directory");
    path
}

fn open(path: &Path) -> Store {
    Store::open(OsRuntime.open_random_access(path).expect("opens"), false).expect("a store")
}

fn attempt(number: u64, outcome: Outcome, may_have_run: bool, resend: u32) -> Attempt {
    Attempt {
        sent: NOW - DAY + number,
        host: format!("s-{number}"),
        outcome,
        may_have_run,
        resend,
    }
}

/// A record whose reason is given and whose other properties vary with `number`, so that the numbers 1 to 8 cover every
/// outcome and idempotency, with and without keys and attempts.
fn record(number: u64, reason: Reason) -> Record {
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
    Record {
        origin: Origin {
            name: format!("m{number}"),
            tenant: ["acme/2", "beta", "gamma/7"][number as usize % 3].into(),
            class: ["event", "payout"][number as usize % 2].into(),
            destination: number as u16 * 7000,
            idempotency_key: number.is_multiple_of(2).then(|| format!("k-{number}")),
            ordering_key: (number % 4 == 1).then_some(u64::MAX - number),
            deadline: NOW - 1000 + number,
        },
        idempotency: [
            Idempotency::Idempotent,
            Idempotency::Keyed { window: 6_000_000 },
            Idempotency::NonIdempotent,
        ][number as usize % 3],
        size: 4,
        given_up_at: NOW - DAY + number,
        reason,
        attempts: outcomes
            .into_iter()
            .zip(0..)
            .take(number as usize - 1)
            .chain((number == 8).then_some((Outcome::Broken, 7)))
            .chain((number == 8).then_some((Outcome::Delivered, 8)))
            .map(|(outcome, at)| attempt(at, outcome, at % 2 == 1, 0))
            .collect(),
        attestations: Vec::new(),
        state: RecordState::Open,
        version: 1,
        resends: 0,
        calls_ended_at: None,
    }
}

fn update(store: &Store, id: u64, change: impl Fn(&mut Record) -> Result<(), RecordError>) {
    let updated = store.update(id, |record| change(record)).expect("written");
    assert_eq!(updated, Some(Ok(())));
}

fn attest(
    record: &mut Record,
    name: &str,
    claim: ExecutionClaim,
    at: u64,
) -> Result<(), RecordError> {
    let attester = match name {
        "" => Attester::Partner,
        name => Attester::Operator(name.into()),
    };
    record.attest(attester, claim, at, None, NOW)
}

/// Writes records in every state and with every claim, and with resends that failed, were aborted, or have an unknown
/// outcome.
fn write_records(store: &Store) {
    let records: Vec<(Record, &[u8])> = Reason::ALL
        .into_iter()
        .zip(1..)
        .map(|(reason, number)| (record(number, reason), &b"\x00\xffab"[..]))
        .collect();
    let ids = store.insert(&records).expect("inserted");
    assert_eq!(ids, (1..=8).collect::<Vec<_>>());
    update(store, 2, |record| record.claim("ann", Some(1), NOW, 600));
    update(store, 3, |record| {
        record.begin_resend("rule again", NOW);
        Ok(())
    });
    let resolutions = [
        Resolution::Delivered,
        Resolution::AppliedBefore,
        Resolution::Discarded,
    ];
    for (resolution, id) in resolutions.into_iter().zip(4..) {
        update(store, id, |record| {
            record.resolve(resolution, NOW + id);
            Ok(())
        });
    }
    update(store, 7, |record| {
        attest(record, "", ExecutionClaim::Applied, NOW)?;
        attest(record, "", ExecutionClaim::NotApplied, NOW + 1)?;
        attest(record, "", ExecutionClaim::Unknown, NOW + 2)?;
        attest(record, "ann", ExecutionClaim::Applied, NOW + 3)?;
        attest(record, "bob", ExecutionClaim::NotApplied, NOW + 4)?;
        attest(record, "eve", ExecutionClaim::Unknown, NOW + 5)
    });
    update(store, 8, |record| {
        record.begin_resend("ann", NOW);
        let resent = attempt(9, Outcome::TimedOut, true, 1);
        record.reopen_after_resend(vec![resent], Some(Reason::AttemptsSpent), None);
        record.begin_resend("batch weekly", NOW + 10);
        record.record_unknown_outcome(NOW + 20);
        record.begin_resend("bob", NOW + 30);
        record.abort_resend();
        attest(record, "bob", ExecutionClaim::NotApplied, NOW + 40)
    });
}

fn spec(name: &str, filter: Filter) -> BatchSpec {
    BatchSpec {
        name: name.into(),
        filter,
        per_second: 2.5,
        at_once: 4,
        stop_after: 2,
    }
}

/// Writes a batch in every state, with all counts, and with filters that set no condition and every condition.
fn write_batches(store: &Store) {
    let every_condition = Filter {
        destination: Some(65_535),
        class: Some("payout".into()),
        reason: Some(Reason::OutOfTimeUnsent),
        tenant: Some("acme".into()),
        scope: Some(Scope(vec!["ac*".into(), "beta".into()])),
        since: Some(NOW - DAY),
        until: Some(NOW),
        may_have_run: Some(true),
        state: Some("open".into()),
    };
    let mut counts = BatchCounts {
        found: 9,
        resendable: 4,
        ..BatchCounts::default()
    };
    for blocked in [
        "needs-word",
        "needs-agreement",
        "needs-second-operator",
        "applied",
        "resends-spent",
    ] {
        counts.blocked.insert(blocked.into(), 1);
    }
    let plan = |name: &str| {
        Batch::plan(
            spec(name, Filter::default()),
            "ann",
            NOW,
            8,
            BatchCounts::default(),
        )
        .expect("in bounds")
    };
    let planned = Batch::plan(spec("1-planned", every_condition), "ann", NOW, 8, counts);
    let planned = planned.expect("in bounds");
    let run = |name: &str| {
        let mut batch = plan(name);
        batch
            .apply_command(BatchCommand::Run, Some(1), NOW + 1)
            .expect("runs");
        batch
    };
    let mut running = run("2-running");
    running.record_sent(3);
    running.record_sent(4);
    running.record_skipped(5);
    assert!(!running.record_outcome(false));
    assert!(!running.record_outcome(true));
    running.record_sent(6);
    assert!(running.check_pace(NOW + 500_001).is_err());
    let mut paused = run("3-paused");
    paused
        .apply_command(BatchCommand::Pause, Some(2), NOW)
        .expect("pauses");
    let mut stopped = run("4-stopped");
    assert!(!stopped.record_outcome(false));
    assert!(stopped.record_outcome(false));
    let mut done = run("5-done");
    done.mark_exhausted();
    let mut cancelled = plan("6-cancelled");
    cancelled
        .apply_command(BatchCommand::Cancel, None, NOW)
        .expect("cancels");
    for batch in [planned, running, paused, stopped, done, cancelled] {
        store.save_batch(&batch).expect("stored");
    }
    store.save_batch(&plan("7-removed")).expect("stored");
    store.remove_batch("7-removed").expect("removed");
}

/// Writes a store from which records were evicted for each cause, one of them unreadable.
fn write_evictions(path: &Path) {
    let store = open(path);
    let records: Vec<(Record, &[u8])> = Reason::ALL
        .into_iter()
        .zip(1..)
        .map(|(reason, number)| (record(number, reason), &b"\x00\xffab"[..]))
        .collect();
    store.insert(&records).expect("stored");
    drop(store);
    let records: TableDefinition<u64, &[u8]> = TableDefinition::new("records");
    let database = Database::open(path).expect("a database");
    let writing = database.begin_write().expect("writable");
    let corrupted = writing
        .open_table(records)
        .expect("a table")
        .insert(1, &b"spoilt"[..])
        .map(drop);
    corrupted.expect("written");
    writing.commit().expect("committed");
    drop(database);
    let store = open(path);
    let before = store.totals().expect("read");
    let by_age = StoreLimits {
        age: DAY - 2,
        ..UNLIMITED
    };
    assert_eq!(
        store.evict_beyond_limits(&by_age, NOW, 9).expect("evicted"),
        2
    );
    let by_tenant = StoreLimits {
        tenant_bytes: 600,
        ..UNLIMITED
    };
    assert!(
        store
            .evict_beyond_limits(&by_tenant, NOW, 9)
            .expect("evicted")
            > 0
    );
    let left = store.totals().expect("read");
    let by_bytes = StoreLimits {
        bytes: left.bytes - 1,
        ..UNLIMITED
    };
    assert_eq!(
        store
            .evict_beyond_limits(&by_bytes, NOW, 9)
            .expect("evicted"),
        1
    );
    let by_records = StoreLimits {
        records: left.records - 2,
        ..UNLIMITED
    };
    assert_eq!(
        store
            .evict_beyond_limits(&by_records, NOW, 9)
            .expect("evicted"),
        1
    );
    assert!(left.records < before.records);
}

/// The notation of a key or value in a golden file.
trait GoldenText {
    fn golden_text(&self) -> String;
}

impl GoldenText for u64 {
    fn golden_text(&self) -> String {
        self.to_string()
    }
}

impl GoldenText for () {
    fn golden_text(&self) -> String {
        "-".into()
    }
}

impl GoldenText for &str {
    fn golden_text(&self) -> String {
        format!("{self:?}")
    }
}

impl GoldenText for &[u8] {
    fn golden_text(&self) -> String {
        self.iter()
            .fold(String::new(), |text, byte| text + &format!("{byte:02x}"))
    }
}

impl GoldenText for (u8, &str) {
    fn golden_text(&self) -> String {
        format!("{self:?}")
    }
}

impl GoldenText for (&str, &str) {
    fn golden_text(&self) -> String {
        format!("{self:?}")
    }
}

impl GoldenText for (u8, &str, u64) {
    fn golden_text(&self) -> String {
        format!("{self:?}")
    }
}

/// Opens a table. redb rejects key and value types other than those that the table was created with.
fn table<K: Key + 'static, V: Value + 'static>(
    read: &ReadTransaction,
    name: &str,
) -> ReadOnlyTable<K, V> {
    read.open_table(TableDefinition::new(name))
        .expect("a table of these types")
}

fn dump_table<K, V>(read: &ReadTransaction, name: &str, text: &mut String)
where
    K: Key + 'static,
    V: Value + 'static,
    for<'a> K::SelfType<'a>: GoldenText,
    for<'a> V::SelfType<'a>: GoldenText,
{
    for entry in table::<K, V>(read, name).iter().expect("entries") {
        let (key, value) = entry.expect("readable");
        let (key, value) = (key.value().golden_text(), value.value().golden_text());
        writeln!(text, "{name} {key} {value}").expect("text");
    }
}

/// The entries of all tables, one per line.
fn dump(path: &Path) -> String {
    let database = Database::open(path).expect("a database");
    let read = database.begin_read().expect("readable");
    let mut text = String::new();
    dump_table::<u64, &[u8]>(&read, "records", &mut text);
    dump_table::<u64, &[u8]>(&read, "bodies", &mut text);
    dump_table::<&str, u64>(&read, "origins", &mut text);
    dump_table::<(u8, &str, u64), ()>(&read, "index", &mut text);
    dump_table::<(u8, &str), u64>(&read, "counts", &mut text);
    dump_table::<(&str, &str), u64>(&read, "dropped", &mut text);
    dump_table::<&str, &[u8]>(&read, "batches", &mut text);
    dump_table::<&str, u64>(&read, "numbers", &mut text);
    text
}

/// One line with a table's name and the types of its keys and values.
fn table_types<K: Key + 'static, V: Value + 'static>(read: &ReadTransaction, name: &str) -> String {
    drop(table::<K, V>(read, name));
    let (key, value) = (type_name::<K>(), type_name::<V>());
    format!("{name} | {key} | {value}\n")
}

#[test]
fn names_and_types_of_tables_are_unchanged() {
    let directory = create_directory("types");
    let path = directory.join("undeliverable.redb");
    drop(open(&path));
    let database = Database::open(&path).expect("a database");
    let read = database.begin_read().expect("readable");
    let types = [
        table_types::<&str, &[u8]>(&read, "batches"),
        table_types::<u64, &[u8]>(&read, "bodies"),
        table_types::<(u8, &str), u64>(&read, "counts"),
        table_types::<(&str, &str), u64>(&read, "dropped"),
        table_types::<(u8, &str, u64), ()>(&read, "index"),
        table_types::<&str, u64>(&read, "numbers"),
        table_types::<&str, u64>(&read, "origins"),
        table_types::<u64, &[u8]>(&read, "records"),
    ];
    let golden = golden("store-tables.txt");
    assert_eq!(types.concat(), golden);
    let named: BTreeSet<&str> = golden.lines().filter_map(|l| l.split(' ').next()).collect();
    let existing = read.list_tables().expect("tables");
    let existing: Vec<String> = existing.map(|table| table.name().to_string()).collect();
    assert_eq!(
        existing.iter().map(String::as_str).collect::<BTreeSet<_>>(),
        named,
        "there is no other table"
    );
    assert_eq!(read.list_multimap_tables().expect("tables").count(), 0);
    fs::remove_dir_all(directory).expect("removed");
}

#[test]
fn encoding_of_every_variant_is_unchanged() {
    let directory = create_directory("variants");
    let path = directory.join("undeliverable.redb");
    let store = open(&path);
    write_records(&store);
    write_batches(&store);
    drop(store);
    assert_eq!(dump(&path), golden("store-variants.txt"));
    fs::remove_dir_all(directory).expect("removed");
}

#[test]
fn counts_of_every_eviction_cause_are_unchanged() {
    let directory = create_directory("dropped");
    let path = directory.join("undeliverable.redb");
    write_evictions(&path);
    let text = dump(&path);
    let lines = text.lines().filter(|line| {
        ["dropped", "counts", "numbers", "index"].contains(&line.split(' ').next().unwrap_or(""))
    });
    let evicted: String = lines.map(|line| format!("{line}\n")).collect();
    assert_eq!(evicted, golden("store-dropped.txt"));
    fs::remove_dir_all(directory).expect("removed");
}

fn decode_hex(text: &str) -> Vec<u8> {
    let digits: Vec<char> = text.chars().collect();
    let pairs = digits.chunks(2).map(|two| two.iter().collect::<String>());
    pairs
        .map(|two| u8::from_str_radix(&two, 16).expect("a byte"))
        .collect()
}

/// The golden file's bytes, inserted directly into a database, are read as the records and batches that were written.
#[test]
fn golden_bytes_of_every_variant_are_read() {
    let directory = create_directory("read");
    let (golden_path, path) = (
        directory.join("golden.redb"),
        directory.join("undeliverable.redb"),
    );
    let written = open(&path);
    write_records(&written);
    write_batches(&written);
    let database = Database::create(&golden_path).expect("a database");
    let writing = database.begin_write().expect("writable");
    for line in golden("store-variants.txt").lines() {
        let words: Vec<&str> = line.split(' ').collect();
        match words[..] {
            ["records", id, value] => {
                let definition: TableDefinition<u64, &[u8]> = TableDefinition::new("records");
                let mut table = writing.open_table(definition).expect("a table");
                let (id, value): (u64, _) = (id.parse().expect("a number"), decode_hex(value));
                table.insert(id, value.as_slice()).map(drop).expect("put");
            }
            ["batches", name, value] => {
                let definition: TableDefinition<&str, &[u8]> = TableDefinition::new("batches");
                let mut table = writing.open_table(definition).expect("a table");
                let (name, value) = (name.trim_matches('"'), decode_hex(value));
                table.insert(name, value.as_slice()).map(drop).expect("put");
            }
            _ => {}
        }
    }
    writing.commit().expect("committed");
    drop(database);
    let read = open(&golden_path);
    for id in 1..=8 {
        let record = read.find(id).expect("read");
        assert!(record.is_some(), "record {id}");
        assert_eq!(record, written.find(id).expect("read"));
    }
    let batches = read.batches().expect("read");
    assert_eq!(batches.len(), 6);
    assert_eq!(batches, written.batches().expect("read"));
    assert_eq!(read.totals().expect("read").unreadable_values, 0);
    fs::remove_dir_all(directory).expect("removed");
}
