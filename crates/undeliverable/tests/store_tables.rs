//! Golden files of the store beside those of `stored_format.rs`: the names and types of all tables, and every kind of
//! key and every variant of a stored value, read from the file with the database's own interface. What is Rust of it
//! is only how the values are made. No test writes the files in `tests/golden`.

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
const NO_CAPS: StoreLimits = StoreLimits {
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

fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("store-tables-{name}-{}", std::process::id()));
    drop(fs::remove_dir_all(&path));
    fs::create_dir_all(&path).expect("a folder");
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

/// One record of each reason, each outcome and each effect, with and without key, order and attempts.
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
    }
}

fn change(store: &Store, id: u64, what: impl Fn(&mut Record) -> Result<(), RecordError>) {
    let changed = store.update(id, |record| what(record)).expect("written");
    assert_eq!(changed, Some(Ok(())));
}

fn says(record: &mut Record, by: &str, says: ExecutionClaim, at: u64) -> Result<(), RecordError> {
    let by = match by {
        "" => Attester::Partner,
        name => Attester::Operator(name.into()),
    };
    record.attest(by, says, at, None, NOW)
}

/// Each state, each statement, and resends that ended, were lost from sight, and never began.
fn write_records(store: &Store) {
    let records: Vec<(Record, &[u8])> = Reason::ALL
        .into_iter()
        .zip(1..)
        .map(|(reason, number)| (record(number, reason), &b"\x00\xffab"[..]))
        .collect();
    let kept = store.insert(&records).expect("kept");
    assert_eq!(kept, (1..=8).collect::<Vec<_>>());
    change(store, 2, |record| record.claim("ann", Some(1), NOW, 600));
    change(store, 3, |record| {
        record.begin_resend("rule again", NOW);
        Ok(())
    });
    let all_closed = [
        Resolution::Delivered,
        Resolution::AppliedBefore,
        Resolution::Discarded,
    ];
    for (closed, id) in all_closed.into_iter().zip(4..) {
        change(store, id, |record| {
            record.resolve(closed, NOW + id);
            Ok(())
        });
    }
    change(store, 7, |record| {
        says(record, "", ExecutionClaim::Applied, NOW)?;
        says(record, "", ExecutionClaim::NotApplied, NOW + 1)?;
        says(record, "", ExecutionClaim::Unknown, NOW + 2)?;
        says(record, "ann", ExecutionClaim::Applied, NOW + 3)?;
        says(record, "bob", ExecutionClaim::NotApplied, NOW + 4)?;
        says(record, "eve", ExecutionClaim::Unknown, NOW + 5)
    });
    change(store, 8, |record| {
        record.begin_resend("ann", NOW);
        let again = attempt(9, Outcome::TimedOut, true, 1);
        record.reopen_after_resend(vec![again], Some(Reason::AttemptsSpent));
        record.begin_resend("batch weekly", NOW + 10);
        record.record_unknown_outcome(NOW + 20);
        record.begin_resend("bob", NOW + 30);
        record.abort_resend();
        says(record, "bob", ExecutionClaim::NotApplied, NOW + 40)
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

/// A batch in each state, with all of its counts, and with filters of nothing and of everything.
fn write_batches(store: &Store) {
    let everything = Filter {
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
        may_go: 4,
        ..BatchCounts::default()
    };
    for need in [
        "needs-word",
        "needs-agreement",
        "needs-second-operator",
        "applied",
        "resends-spent",
    ] {
        counts.needs.insert(need.into(), 1);
    }
    let plan = |name: &str| {
        Batch::plan(
            spec(name, Filter::default()),
            "ann",
            NOW,
            8,
            BatchCounts::default(),
        )
        .expect("good")
    };
    let planned = Batch::plan(spec("1-planned", everything), "ann", NOW, 8, counts);
    let planned = planned.expect("good");
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
        store.save_batch(&batch).expect("kept");
    }
    store.save_batch(&plan("7-forgotten")).expect("kept");
    store.remove_batch("7-forgotten").expect("forgotten");
}

/// A store in which a record was dropped for each cause, one of them unreadable.
fn write_dropped(path: &Path) {
    let store = open(path);
    let records: Vec<(Record, &[u8])> = Reason::ALL
        .into_iter()
        .zip(1..)
        .map(|(reason, number)| (record(number, reason), &b"\x00\xffab"[..]))
        .collect();
    store.insert(&records).expect("kept");
    drop(store);
    let records: TableDefinition<u64, &[u8]> = TableDefinition::new("records");
    let database = Database::open(path).expect("a database");
    let writing = database.begin_write().expect("writable");
    let spoilt = writing
        .open_table(records)
        .expect("a table")
        .insert(1, &b"spoilt"[..])
        .map(drop);
    spoilt.expect("written");
    writing.commit().expect("committed");
    drop(database);
    let store = open(path);
    let sums = store.totals().expect("read");
    let by_age = StoreLimits {
        age: DAY - 2,
        ..NO_CAPS
    };
    assert_eq!(
        store.evict_beyond_limits(&by_age, NOW, 9).expect("dropped"),
        2
    );
    let by_tenant = StoreLimits {
        tenant_bytes: 600,
        ..NO_CAPS
    };
    assert!(
        store
            .evict_beyond_limits(&by_tenant, NOW, 9)
            .expect("dropped")
            > 0
    );
    let left = store.totals().expect("read");
    let by_bytes = StoreLimits {
        bytes: left.bytes - 1,
        ..NO_CAPS
    };
    assert_eq!(
        store
            .evict_beyond_limits(&by_bytes, NOW, 9)
            .expect("dropped"),
        1
    );
    let by_records = StoreLimits {
        records: left.records - 2,
        ..NO_CAPS
    };
    assert_eq!(
        store
            .evict_beyond_limits(&by_records, NOW, 9)
            .expect("dropped"),
        1
    );
    assert!(left.records < sums.records);
}

/// A key or a value in the text of a golden file.
trait Shown {
    fn shown(&self) -> String;
}

impl Shown for u64 {
    fn shown(&self) -> String {
        self.to_string()
    }
}

impl Shown for () {
    fn shown(&self) -> String {
        "-".into()
    }
}

impl Shown for &str {
    fn shown(&self) -> String {
        format!("{self:?}")
    }
}

impl Shown for &[u8] {
    fn shown(&self) -> String {
        self.iter()
            .fold(String::new(), |text, byte| text + &format!("{byte:02x}"))
    }
}

impl Shown for (u8, &str) {
    fn shown(&self) -> String {
        format!("{self:?}")
    }
}

impl Shown for (&str, &str) {
    fn shown(&self) -> String {
        format!("{self:?}")
    }
}

impl Shown for (u8, &str, u64) {
    fn shown(&self) -> String {
        format!("{self:?}")
    }
}

/// The database refuses to open a table under other types than those that it was made with.
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
    for<'a> K::SelfType<'a>: Shown,
    for<'a> V::SelfType<'a>: Shown,
{
    for entry in table::<K, V>(read, name).iter().expect("entries") {
        let (key, value) = entry.expect("readable");
        let (key, value) = (key.value().shown(), value.value().shown());
        writeln!(text, "{name} {key} {value}").expect("text");
    }
}

/// All entries of all tables.
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

/// One line for a table: its name, and the types of its keys and values.
fn typed<K: Key + 'static, V: Value + 'static>(read: &ReadTransaction, name: &str) -> String {
    drop(table::<K, V>(read, name));
    let (key, value) = (type_name::<K>(), type_name::<V>());
    format!("{name} | {key} | {value}\n")
}

#[test]
fn tables_have_the_names_and_types_as_before() {
    let folder = folder("types");
    let path = folder.join("undeliverable.redb");
    drop(open(&path));
    let database = Database::open(&path).expect("a database");
    let read = database.begin_read().expect("readable");
    let typed = [
        typed::<&str, &[u8]>(&read, "batches"),
        typed::<u64, &[u8]>(&read, "bodies"),
        typed::<(u8, &str), u64>(&read, "counts"),
        typed::<(&str, &str), u64>(&read, "dropped"),
        typed::<(u8, &str, u64), ()>(&read, "index"),
        typed::<&str, u64>(&read, "numbers"),
        typed::<&str, u64>(&read, "origins"),
        typed::<u64, &[u8]>(&read, "records"),
    ];
    let golden = golden("store-tables.txt");
    assert_eq!(typed.concat(), golden);
    let named: BTreeSet<&str> = golden.lines().filter_map(|l| l.split(' ').next()).collect();
    let there = read.list_tables().expect("tables");
    let there: Vec<String> = there.map(|table| table.name().to_string()).collect();
    assert_eq!(
        there.iter().map(String::as_str).collect::<BTreeSet<_>>(),
        named,
        "no other table is there"
    );
    assert_eq!(read.list_multimap_tables().expect("tables").count(), 0);
    fs::remove_dir_all(folder).expect("removed");
}

#[test]
fn every_variant_is_written_as_before() {
    let folder = folder("variants");
    let path = folder.join("undeliverable.redb");
    let store = open(&path);
    write_records(&store);
    write_batches(&store);
    drop(store);
    assert_eq!(dump(&path), golden("store-variants.txt"));
    fs::remove_dir_all(folder).expect("removed");
}

#[test]
fn every_cause_of_a_drop_is_written_as_before() {
    let folder = folder("dropped");
    let path = folder.join("undeliverable.redb");
    write_dropped(&path);
    let text = dump(&path);
    let kept = text.lines().filter(|line| {
        ["dropped", "counts", "numbers", "index"].contains(&line.split(' ').next().unwrap_or(""))
    });
    let kept: String = kept.map(|line| format!("{line}\n")).collect();
    assert_eq!(kept, golden("store-dropped.txt"));
    fs::remove_dir_all(folder).expect("removed");
}

fn unhex(text: &str) -> Vec<u8> {
    let digits: Vec<char> = text.chars().collect();
    let pairs = digits.chunks(2).map(|two| two.iter().collect::<String>());
    pairs
        .map(|two| u8::from_str_radix(&two, 16).expect("a byte"))
        .collect()
}

/// The golden file's bytes, put into a database by hand, are read as the same records and batches.
#[test]
fn every_variant_is_read_as_before() {
    let folder = folder("read");
    let (by_hand, path) = (
        folder.join("by-hand.redb"),
        folder.join("undeliverable.redb"),
    );
    let made = open(&path);
    write_records(&made);
    write_batches(&made);
    let database = Database::create(&by_hand).expect("a database");
    let writing = database.begin_write().expect("writable");
    for line in golden("store-variants.txt").lines() {
        let words: Vec<&str> = line.split(' ').collect();
        match words[..] {
            ["records", id, value] => {
                let definition: TableDefinition<u64, &[u8]> = TableDefinition::new("records");
                let mut table = writing.open_table(definition).expect("a table");
                let (id, value): (u64, _) = (id.parse().expect("a number"), unhex(value));
                table.insert(id, value.as_slice()).map(drop).expect("put");
            }
            ["batches", name, value] => {
                let definition: TableDefinition<&str, &[u8]> = TableDefinition::new("batches");
                let mut table = writing.open_table(definition).expect("a table");
                let (name, value) = (name.trim_matches('"'), unhex(value));
                table.insert(name, value.as_slice()).map(drop).expect("put");
            }
            _ => {}
        }
    }
    writing.commit().expect("committed");
    drop(database);
    let read = open(&by_hand);
    for id in 1..=8 {
        let record = read.find(id).expect("read");
        assert!(record.is_some(), "record {id}");
        assert_eq!(record, made.find(id).expect("read"));
    }
    let batches = read.batches().expect("read");
    assert_eq!(batches.len(), 6);
    assert_eq!(batches, made.batches().expect("read"));
    assert_eq!(read.totals().expect("read").unreadable_values, 0);
    fs::remove_dir_all(folder).expect("removed");
}
