//! Records in an embedded database (redb), over a file that the caller gives.
//!
//! Each value carries a CRC-32 and the version of its form. All that belongs to a change is in one transaction: a
//! process that ends leaves all of it or nothing. A record of what can't be read counts as none and is told by
//! [`Store::unreadable_values`].
//!
//! Bounds: bytes of all records and of one tenant's, their age, and their number. What is past them is dropped,
//! the oldest first, and counted by tenant and cause; what is being sent again never is.

use std::io;

use redb::{
    Database, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition, WriteTransaction,
};
use runtime::RandomAccessFile;
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::batch::Batch;
use crate::filter::Filter;
use crate::record::{Record, RecordId, RecordState};
use crate::Micros;

const RECORDS: TableDefinition<u64, &[u8]> = TableDefinition::new("records");
const BODIES: TableDefinition<u64, &[u8]> = TableDefinition::new("bodies");
const ORIGINS: TableDefinition<&str, u64> = TableDefinition::new("origins");
/// A kind, a value of that kind, a record.
const INDEX: TableDefinition<(u8, &str, u64), ()> = TableDefinition::new("index");
/// A kind and a value of that kind.
const COUNTS: TableDefinition<(u8, &str), u64> = TableDefinition::new("counts");
/// A tenant and a cause.
const DROPPED: TableDefinition<(&str, &str), u64> = TableDefinition::new("dropped");
const BATCHES: TableDefinition<&str, &[u8]> = TableDefinition::new("batches");
const NUMBERS: TableDefinition<&str, u64> = TableDefinition::new("numbers");

/// The form of values.
const FORM: u8 = 1;
/// Memory for pages.
const CACHE: usize = 16 << 20;
/// Records that one page looks at, at most: a filter that fits few gives a short page, and where to go on.
const LOOKED_AT: usize = 4000;
/// Bytes that a record takes beside its own text and body: its keys in the tables.
const BESIDE: u64 = 160;

/// By what records are found and counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GroupBy {
    /// The partner.
    Destination,
    /// The class.
    Class,
    /// The reason.
    Reason,
    /// The tenant.
    Tenant,
    /// The state.
    State,
}

impl GroupBy {
    /// All of them.
    pub const ALL: [GroupBy; 5] = [
        GroupBy::Destination,
        GroupBy::Class,
        GroupBy::Reason,
        GroupBy::Tenant,
        GroupBy::State,
    ];

    fn kind(self) -> u8 {
        self as u8
    }

    fn value(self, record: &Record) -> String {
        match self {
            // Of one length, so that their order is that of the numbers.
            GroupBy::Destination => format!("{:05}", record.origin.destination),
            GroupBy::Class => record.origin.class.clone(),
            GroupBy::Reason => record.reason.as_str().into(),
            GroupBy::Tenant => record.origin.tenant_name().into(),
            GroupBy::State => record.state.as_str().into(),
        }
    }

    fn wanted(self, filter: &Filter) -> Option<String> {
        match self {
            GroupBy::Destination => filter.destination.map(|number| format!("{number:05}")),
            GroupBy::Class => filter.class.clone(),
            GroupBy::Reason => filter.reason.map(|reason| reason.as_str().into()),
            GroupBy::Tenant => filter.tenant.clone(),
            GroupBy::State => filter.state.clone(),
        }
    }
}

/// The kind under which bytes of tenants are counted.
const BYTES: u8 = 100;

/// What a store holds at most.
#[derive(Clone, Copy, Debug)]
pub struct StoreLimits {
    /// Bytes of all records.
    pub bytes: u64,
    /// Bytes of one tenant's records.
    pub tenant_bytes: u64,
    /// Records.
    pub records: u64,
    /// How long one is kept.
    pub age: Micros,
}

/// Why something could not be kept or read.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The database or its file gave an error. What was asked for was not done.
    #[error("the store of undeliverable messages: {0}")]
    Database(String),
    /// The file is not what was written: nothing in it can be relied on.
    #[error("the store of undeliverable messages is spoilt: {0}")]
    Corrupt(String),
    /// A value can't be read.
    #[error("record {0} can't be read")]
    Unreadable(RecordId),
}

impl<E: Into<redb::Error>> From<E> for StoreError {
    fn from(error: E) -> Self {
        use std::io::ErrorKind::{InvalidData, UnexpectedEof};
        match error.into() {
            redb::Error::Corrupted(what) => StoreError::Corrupt(what),
            redb::Error::Io(e) if matches!(e.kind(), InvalidData | UnexpectedEof) => {
                StoreError::Corrupt(e.to_string())
            }
            other => StoreError::Database(other.to_string()),
        }
    }
}

/// A page of records.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Page {
    /// The records, newest first.
    pub records: Vec<(RecordId, Record)>,
    /// Where the next page begins; none at the end.
    pub next: Option<RecordId>,
}

/// What the whole holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupCounts {
    /// Records.
    pub records: u64,
    /// Bytes by which the caps count.
    pub bytes: u64,
    /// Records that were dropped, by tenant and cause.
    pub dropped: Vec<(String, String, u64)>,
    /// Values that could not be read since the start.
    pub unreadable_values: u64,
}

/// The records.
pub struct Store {
    database: Database,
    spoilt: std::cell::Cell<u64>,
}

fn pack(value: &impl Serialize) -> Result<Vec<u8>, StoreError> {
    let text =
        postcard::to_extend(value, vec![0; 5]).map_err(|e| StoreError::Database(e.to_string()))?;
    Ok(sealed(text))
}

/// Puts the form and the checksum of what follows into the first five bytes.
fn sealed(mut text: Vec<u8>) -> Vec<u8> {
    text[4] = FORM;
    let sum = crc32fast::hash(&text[4..]);
    text[..4].copy_from_slice(&sum.to_le_bytes());
    text
}

fn opened(text: &[u8]) -> Option<&[u8]> {
    let sum = u32::from_le_bytes(text.get(..4)?.try_into().ok()?);
    (text.get(4) == Some(&FORM) && crc32fast::hash(&text[4..]) == sum).then(|| &text[5..])
}

fn unpack<T: DeserializeOwned>(text: &[u8]) -> Option<T> {
    postcard::from_bytes(opened(text)?).ok()
}

/// A file of pages as the database takes it.
#[derive(Debug)]
struct File<P> {
    pages: P,
    /// What is committed outlasts the machine, not just the process.
    syncs: bool,
}

impl<P: RandomAccessFile> StorageBackend for File<P> {
    fn len(&self) -> Result<u64, io::Error> {
        self.pages.length()
    }

    fn read(&self, at: u64, into: &mut [u8]) -> Result<(), io::Error> {
        self.pages.read_at(at, into)
    }

    fn set_len(&self, length: u64) -> Result<(), io::Error> {
        self.pages.set_length(length)
    }

    fn sync_data(&self) -> Result<(), io::Error> {
        if self.syncs {
            return self.pages.sync();
        }
        Ok(())
    }

    fn write(&self, at: u64, bytes: &[u8]) -> Result<(), io::Error> {
        self.pages.write_at(at, bytes)
    }
}

impl Store {
    /// Opens what a file holds, or makes it. All of it is checked: one that is spoilt gives an error, so that nothing
    /// is told that it does not hold. With `syncs` a change outlasts the machine once it is made, else the process.
    ///
    /// # Errors
    ///
    /// [`StoreError::Corrupt`] if the file is damaged, [`StoreError::Database`] if it cannot be read or written.
    pub fn open(pages: impl RandomAccessFile, syncs: bool) -> Result<Self, StoreError> {
        Store::open_on(File { pages, syncs })
    }

    fn open_on(file: impl StorageBackend) -> Result<Self, StoreError> {
        let opening = std::panic::AssertUnwindSafe(|| -> Result<Database, StoreError> {
            let mut builder = redb::Builder::new();
            builder
                .set_cache_size(CACHE)
                .set_check_integrity_on_open(true);
            let database = builder.create_with_backend(file)?;
            let change = database.begin_write()?;
            change.open_table(RECORDS)?;
            change.open_table(BODIES)?;
            change.open_table(ORIGINS)?;
            change.open_table(INDEX)?;
            change.open_table(COUNTS)?;
            change.open_table(DROPPED)?;
            change.open_table(BATCHES)?;
            change.open_table(NUMBERS)?;
            change.commit()?;
            Ok(database)
        });
        // A file of noise may be taken for anything.
        let database = std::panic::catch_unwind(opening).unwrap_or_else(|_| {
            Err(StoreError::Corrupt(
                "the file can't be made sense of".into(),
            ))
        })?;
        Ok(Store {
            database,
            spoilt: Default::default(),
        })
    }

    /// Keeps records, each with the body of its message. One whose message is kept already changes nothing: the
    /// journal hands over again what it is not sure of. Returns their numbers.
    ///
    /// # Errors
    ///
    /// [`StoreError::Database`] if the database or its file fails; nothing is changed then.
    pub fn insert(&self, records: &[(Record, &[u8])]) -> Result<Vec<RecordId>, StoreError> {
        let change = self.database.begin_write()?;
        let mut numbers = Vec::with_capacity(records.len());
        for (record, body) in records {
            let origin = origin_key(record);
            let known = change
                .open_table(ORIGINS)?
                .get(origin.as_str())?
                .map(|id| id.value());
            if let Some(known) = known {
                numbers.push(known);
                continue;
            }
            let id = add(&change, "last", 1)?;
            change.open_table(ORIGINS)?.insert(origin.as_str(), id)?;
            let mut text = vec![0; 5];
            text.extend_from_slice(body);
            change
                .open_table(BODIES)?
                .insert(id, sealed(text).as_slice())?;
            write(&change, id, None, record, body.len())?;
            numbers.push(id);
        }
        change.commit()?;
        Ok(numbers)
    }

    /// A record.
    ///
    /// # Errors
    ///
    /// [`StoreError::Database`] if the database or its file fails.
    pub fn find(&self, id: RecordId) -> Result<Option<Record>, StoreError> {
        let read = self.database.begin_read()?;
        let table = read.open_table(RECORDS)?;
        let Some(text) = table.get(id)? else {
            return Ok(None);
        };
        self.read(id, text.value()).map(Some)
    }

    fn read(&self, id: RecordId, text: &[u8]) -> Result<Record, StoreError> {
        unpack(text).ok_or_else(|| {
            self.spoilt.set(self.spoilt.get() + 1);
            StoreError::Unreadable(id)
        })
    }

    /// The body of a record's message.
    ///
    /// # Errors
    ///
    /// [`StoreError::Database`] if the database or its file fails.
    pub fn body(&self, id: RecordId) -> Result<Option<Vec<u8>>, StoreError> {
        let read = self.database.begin_read()?;
        let table = read.open_table(BODIES)?;
        let Some(text) = table.get(id)? else {
            return Ok(None);
        };
        let body = opened(text.value()).map(<[u8]>::to_vec);
        body.map(Some).ok_or_else(|| {
            self.spoilt.set(self.spoilt.get() + 1);
            StoreError::Unreadable(id)
        })
    }

    /// Changes a record, in one transaction with all that is found by. The change sees it as it is now; where it gives
    /// an error nothing is written. None if there is no such record.
    ///
    /// # Errors
    ///
    /// [`StoreError::Database`] if the database fails, [`StoreError::Unreadable`] if the record cannot be read. The change's own error is the inner result.
    pub fn update<T, E>(
        &self,
        id: RecordId,
        change: impl FnOnce(&mut Record) -> Result<T, E>,
    ) -> Result<Option<Result<T, E>>, StoreError> {
        let writing = self.database.begin_write()?;
        let before = writing
            .open_table(RECORDS)?
            .get(id)?
            .map(|text| self.read(id, text.value()));
        let Some(before) = before.transpose()? else {
            return Ok(None);
        };
        let mut after = before.clone();
        let told = match change(&mut after) {
            Ok(told) => told,
            Err(refused) => return Ok(Some(Err(refused))),
        };
        if after != before {
            let size = after.size as usize;
            write(&writing, id, Some(&before), &after, size)?;
            writing.commit()?;
        }
        Ok(Some(Ok(told)))
    }

    /// Records that fit, newest first, from before a number on.
    ///
    /// # Errors
    ///
    /// [`StoreError::Database`] if the database or its file fails.
    pub fn page(
        &self,
        filter: &Filter,
        before: Option<RecordId>,
        most: usize,
    ) -> Result<Page, StoreError> {
        self.scan(filter, before.unwrap_or(RecordId::MAX), most, true)
    }

    /// Records that fit, oldest first, from after a number on.
    ///
    /// # Errors
    ///
    /// [`StoreError::Database`] if the database or its file fails.
    pub fn page_after(
        &self,
        filter: &Filter,
        after: RecordId,
        most: usize,
    ) -> Result<Page, StoreError> {
        self.scan(filter, after, most, false)
    }

    /// Goes through the narrowest of the lists that the filter names, up to a bounded number of records.
    fn scan(
        &self,
        filter: &Filter,
        from: RecordId,
        most: usize,
        back: bool,
    ) -> Result<Page, StoreError> {
        let read = self.database.begin_read()?;
        let counts = read.open_table(COUNTS)?;
        let mut narrowest: Option<(u64, GroupBy, String)> = None;
        for by in GroupBy::ALL {
            let Some(value) = by.wanted(filter) else {
                continue;
            };
            let count = counts
                .get((by.kind(), value.as_str()))?
                .map_or(0, |count| count.value());
            if narrowest.as_ref().is_none_or(|(least, ..)| count < *least) {
                narrowest = Some((count, by, value));
            }
        }
        let records = read.open_table(RECORDS)?;
        let mut page = Page::default();
        let mut looked = 0;
        let mut take = |id: RecordId, page: &mut Page| -> Result<bool, StoreError> {
            looked += 1;
            if let Some(text) = records.get(id)? {
                // What can't be read is counted, and passed over.
                if let Ok(record) = self.read(id, text.value()) {
                    if filter.matches(&record) {
                        page.records.push((id, record));
                    }
                }
            }
            let full = page.records.len() >= most || looked >= LOOKED_AT;
            page.next = full.then_some(id);
            Ok(full)
        };
        let (low, high) = if back {
            (0, from)
        } else {
            (from.saturating_add(1), RecordId::MAX)
        };
        match &narrowest {
            Some((_, by, value)) => {
                let index = read.open_table(INDEX)?;
                let range = (by.kind(), value.as_str(), low)..(by.kind(), value.as_str(), high);
                let mut range = index.range(range)?;
                while let Some(entry) = if back {
                    range.next_back()
                } else {
                    range.next()
                } {
                    if take(entry?.0.value().2, &mut page)? {
                        break;
                    }
                }
            }
            None => {
                let mut range = records.range(low..high)?;
                while let Some(entry) = if back {
                    range.next_back()
                } else {
                    range.next()
                } {
                    if take(entry?.0.value(), &mut page)? {
                        break;
                    }
                }
            }
        }
        Ok(page)
    }

    /// How many records there are of each value.
    ///
    /// # Errors
    ///
    /// [`StoreError::Database`] if the database or its file fails.
    pub fn counts(&self, by: GroupBy) -> Result<Vec<(String, u64)>, StoreError> {
        let read = self.database.begin_read()?;
        let table = read.open_table(COUNTS)?;
        let mut all = Vec::new();
        for entry in table.range((by.kind(), "")..(by.kind() + 1, ""))? {
            let (key, count) = entry?;
            if count.value() > 0 {
                all.push((key.value().1.to_string(), count.value()));
            }
        }
        Ok(all)
    }

    /// The last record's number.
    ///
    /// # Errors
    ///
    /// [`StoreError::Database`] if the database or its file fails.
    pub fn last_id(&self) -> Result<RecordId, StoreError> {
        number(&self.database, "last")
    }

    /// What the whole holds.
    ///
    /// # Errors
    ///
    /// [`StoreError::Database`] if the database or its file fails.
    pub fn totals(&self) -> Result<GroupCounts, StoreError> {
        let read = self.database.begin_read()?;
        let mut dropped = Vec::new();
        for entry in read.open_table(DROPPED)?.iter()? {
            let (key, count) = entry?;
            let (tenant, cause) = key.value();
            dropped.push((tenant.into(), cause.into(), count.value()));
        }
        Ok(GroupCounts {
            records: number(&self.database, "records")?,
            bytes: number(&self.database, "bytes")?,
            dropped,
            unreadable_values: self.spoilt.get(),
        })
    }

    /// Drops what is past the caps, so many records at most; returns how many were. More may be left.
    ///
    /// # Errors
    ///
    /// [`StoreError::Database`] if the database or its file fails; nothing is changed then.
    pub fn evict_beyond_limits(
        &self,
        caps: &StoreLimits,
        now: Micros,
        most: usize,
    ) -> Result<u64, StoreError> {
        let change = self.database.begin_write()?;
        let mut dropped = 0;
        let mut drop_one = |id: RecordId, cause: &str| -> Result<bool, StoreError> {
            let text = change
                .open_table(RECORDS)?
                .get(id)?
                .map(|text| text.value().to_vec());
            let Some(text) = text else { return Ok(false) };
            let record: Option<Record> = unpack(&text);
            if record
                .as_ref()
                .is_some_and(|record| matches!(record.state, RecordState::Sending { .. }))
            {
                return Ok(false);
            }
            remove(&change, id, record.as_ref())?;
            let tenant = record
                .as_ref()
                .map_or(String::new(), |record| record.origin.tenant_name().into());
            let mut table = change.open_table(DROPPED)?;
            let count = table
                .get((tenant.as_str(), cause))?
                .map_or(0, |count| count.value());
            table.insert((tenant.as_str(), cause), count + 1)?;
            dropped += 1;
            Ok(true)
        };
        let mut left = most;
        // By age: the oldest are first, as numbers grow with time; a clock that was set back keeps some longer.
        let oldest: Vec<(RecordId, Option<Micros>)> = {
            let table = change.open_table(RECORDS)?;
            let mut all = Vec::new();
            for entry in table.iter()?.take(left) {
                let (id, text) = entry?;
                all.push((
                    id.value(),
                    unpack::<Record>(text.value()).map(|record| record.given_up_at),
                ));
            }
            all
        };
        for (id, ended) in &oldest {
            let old = ended.is_none_or(|ended| ended.saturating_add(caps.age) <= now);
            if old && drop_one(*id, "age")? {
                left -= 1;
            }
        }
        // By tenant.
        let over: Vec<String> = {
            let table = change.open_table(COUNTS)?;
            let mut over = Vec::new();
            for entry in table.range((BYTES, "")..(BYTES + 1, ""))? {
                let (key, bytes) = entry?;
                if bytes.value() > caps.tenant_bytes {
                    over.push(key.value().1.to_string());
                }
            }
            over
        };
        for tenant in over {
            let ids: Vec<RecordId> = {
                let index = change.open_table(INDEX)?;
                let kind = GroupBy::Tenant.kind();
                let range = index
                    .range((kind, tenant.as_str(), 0)..(kind, tenant.as_str(), RecordId::MAX))?;
                range
                    .take(left)
                    .map(|entry| entry.map(|entry| entry.0.value().2))
                    .collect::<Result<_, _>>()?
            };
            for id in ids {
                let bytes = change
                    .open_table(COUNTS)?
                    .get((BYTES, tenant.as_str()))?
                    .map_or(0, |b| b.value());
                if bytes <= caps.tenant_bytes || left == 0 {
                    break;
                }
                left -= usize::from(drop_one(id, "tenant-bytes")?);
            }
        }
        // By all.
        for (id, _) in &oldest {
            let sum = |name| -> Result<u64, StoreError> {
                Ok(change
                    .open_table(NUMBERS)?
                    .get(name)?
                    .map_or(0, |n| n.value()))
            };
            let cause = match (sum("bytes")? > caps.bytes, sum("records")? > caps.records) {
                (true, _) => "bytes",
                (_, true) => "records",
                _ => break,
            };
            if left == 0 {
                break;
            }
            left -= usize::from(drop_one(*id, cause)?);
        }
        if dropped > 0 {
            change.commit()?;
        }
        Ok(dropped)
    }

    /// All batches, by name.
    ///
    /// # Errors
    ///
    /// [`StoreError::Database`] if the database or its file fails.
    pub fn batches(&self) -> Result<Vec<Batch>, StoreError> {
        let read = self.database.begin_read()?;
        let mut all = Vec::new();
        for entry in read.open_table(BATCHES)?.iter()? {
            match unpack(entry?.1.value()) {
                Some(batch) => all.push(batch),
                None => self.spoilt.set(self.spoilt.get() + 1),
            }
        }
        Ok(all)
    }

    /// Keeps a batch as it is now.
    ///
    /// # Errors
    ///
    /// [`StoreError::Database`] if the database or its file fails; nothing is changed then.
    pub fn save_batch(&self, batch: &Batch) -> Result<(), StoreError> {
        let change = self.database.begin_write()?;
        change
            .open_table(BATCHES)?
            .insert(batch.spec.name.as_str(), pack(batch)?.as_slice())?;
        Ok(change.commit()?)
    }

    /// Forgets a batch.
    ///
    /// # Errors
    ///
    /// [`StoreError::Database`] if the database or its file fails; nothing is changed then.
    pub fn remove_batch(&self, name: &str) -> Result<(), StoreError> {
        let change = self.database.begin_write()?;
        change.open_table(BATCHES)?.remove(name)?;
        Ok(change.commit()?)
    }
}

fn origin_key(record: &Record) -> String {
    let origin = &record.origin;
    format!("{}\n{}\n{}", origin.tenant, origin.name, origin.deadline)
}

fn number(database: &Database, name: &str) -> Result<u64, StoreError> {
    let read = database.begin_read()?;
    let table = read.open_table(NUMBERS)?;
    Ok(table.get(name)?.map_or(0, |number| number.value()))
}

fn add(change: &WriteTransaction, name: &str, by: i64) -> Result<u64, StoreError> {
    let mut table = change.open_table(NUMBERS)?;
    let sum = table
        .get(name)?
        .map_or(0, |number| number.value())
        .saturating_add_signed(by);
    table.insert(name, sum)?;
    Ok(sum)
}

fn count(change: &WriteTransaction, kind: u8, value: &str, by: i64) -> Result<(), StoreError> {
    let mut table = change.open_table(COUNTS)?;
    let sum = table
        .get((kind, value))?
        .map_or(0, |count| count.value())
        .saturating_add_signed(by);
    match sum {
        0 => drop(table.remove((kind, value))?),
        sum => drop(table.insert((kind, value), sum)?),
    }
    Ok(())
}

/// Writes a record, and moves it in the lists by which it is found.
fn write(
    change: &WriteTransaction,
    id: RecordId,
    before: Option<&Record>,
    after: &Record,
    body: usize,
) -> Result<(), StoreError> {
    let text = pack(after)?;
    let old = before
        .map(pack)
        .transpose()?
        .map_or(0, |text| text.len() as i64 + body as i64 + BESIDE as i64);
    let bytes = text.len() as i64 + body as i64 + BESIDE as i64 - old;
    change.open_table(RECORDS)?.insert(id, text.as_slice())?;
    for by in GroupBy::ALL {
        let (old, new) = (before.map(|record| by.value(record)), by.value(after));
        if old.as_ref() == Some(&new) {
            continue;
        }
        let mut index = change.open_table(INDEX)?;
        if let Some(old) = &old {
            index.remove((by.kind(), old.as_str(), id))?;
        }
        index.insert((by.kind(), new.as_str(), id), ())?;
        drop(index);
        old.iter()
            .try_for_each(|old| count(change, by.kind(), old, -1))?;
        count(change, by.kind(), &new, 1)?;
    }
    count(change, BYTES, after.origin.tenant_name(), bytes)?;
    add(change, "bytes", bytes)?;
    if before.is_none() {
        add(change, "records", 1)?;
    }
    Ok(())
}

/// Takes a record away; of one that can't be read, what is known of it.
fn remove(
    change: &WriteTransaction,
    id: RecordId,
    record: Option<&Record>,
) -> Result<(), StoreError> {
    let text = change
        .open_table(RECORDS)?
        .remove(id)?
        .map_or(0, |text| text.value().len());
    let body = change
        .open_table(BODIES)?
        .remove(id)?
        .map_or(0, |text| text.value().len().saturating_sub(5));
    let bytes = text as i64 + body as i64 + BESIDE as i64;
    if let Some(record) = record {
        change
            .open_table(ORIGINS)?
            .remove(origin_key(record).as_str())?;
        for by in GroupBy::ALL {
            let value = by.value(record);
            change
                .open_table(INDEX)?
                .remove((by.kind(), value.as_str(), id))?;
            count(change, by.kind(), &value, -1)?;
        }
        count(change, BYTES, record.origin.tenant_name(), -bytes)?;
    }
    add(change, "bytes", -bytes)?;
    add(change, "records", -1)?;
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::record::{Idempotency, Reason, RecordError, Resolution};
    use crate::test_records::{attempt, record};
    use redb::backends::InMemoryBackend;

    fn store() -> Store {
        Store::open_on(InMemoryBackend::new()).expect("empty")
    }

    fn numbered(number: u64, destination: u16, tenant: &str) -> Record {
        let mut one = record(
            Idempotency::NonIdempotent,
            vec![attempt(number, number.is_multiple_of(2))],
        );
        one.origin.name = format!("m{number}");
        one.origin.destination = destination;
        one.origin.tenant = format!("{tenant}/1");
        one.given_up_at = 1000 + number;
        one
    }

    fn filled(records: u64) -> Store {
        let store = store();
        let all: Vec<Record> = (0..records)
            .map(|n| numbered(n, (n % 3) as u16, if n % 4 == 0 { "acme" } else { "beta" }))
            .collect();
        let kept: Vec<(Record, &[u8])> = all
            .iter()
            .map(|record| (record.clone(), &b"0123456789"[..]))
            .collect();
        assert_eq!(
            store.insert(&kept).expect("kept"),
            (1..=records).collect::<Vec<_>>()
        );
        store
    }

    const CAPS: StoreLimits = StoreLimits {
        bytes: u64::MAX,
        tenant_bytes: u64::MAX,
        records: u64::MAX,
        age: u64::MAX,
    };

    #[test]
    fn what_is_kept_is_found_again_and_a_second_hand_over_changes_nothing() {
        let store = filled(10);
        let again = numbered(4, 1, "acme");
        assert_eq!(store.insert(&[(again, b"other")]).expect("known"), [5]);
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
    fn pages_are_stable_whatever_comes_or_goes_between() {
        let store = filled(30);
        let filter = Filter {
            destination: Some(1),
            tenant: Some("beta".into()),
            ..Filter::default()
        };
        let (mut seen, mut before) = (Vec::new(), None);
        loop {
            let page = store.page(&filter, before, 2).expect("read");
            seen.extend(page.records.iter().map(|(id, _)| *id));
            // New ones come, of which none is on a later page.
            store
                .insert(&[(numbered(100 + seen.len() as u64, 1, "beta"), b"x")])
                .expect("kept");
            let Some(next) = page.next else { break };
            before = Some(next);
        }
        let wanted: Vec<u64> = (0..30)
            .filter(|n| n % 3 == 1 && n % 4 != 0)
            .map(|n| n + 1)
            .rev()
            .collect();
        assert_eq!(seen, wanted);
        let oldest = store.page_after(&filter, 0, 3).expect("read");
        assert_eq!(
            oldest.records.iter().map(|(id, _)| *id).collect::<Vec<_>>(),
            [2, 8, 11]
        );
        assert_eq!(oldest.next, Some(11));
    }

    #[test]
    fn a_change_moves_a_record_in_what_it_is_found_by_and_a_refused_one_writes_nothing() {
        let store = filled(6);
        let closed = store.update(2, |record| {
            record.resolve(Resolution::Discarded, 5);
            record.reason = Reason::GivenUp;
            Ok::<_, RecordError>(())
        });
        assert_eq!(closed.expect("written"), Some(Ok(())));
        let of = |state: &str| Filter {
            state: Some(state.into()),
            ..Filter::default()
        };
        assert_eq!(
            store
                .page(&of("discarded"), None, 10)
                .expect("read")
                .records
                .len(),
            1
        );
        assert_eq!(
            store
                .page(&of("open"), None, 10)
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
        let refused = store.update(1, |record| {
            record.resolve(Resolution::Discarded, 5);
            Err::<(), _>(RecordError::Sending)
        });
        assert_eq!(refused.expect("read"), Some(Err(RecordError::Sending)));
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

    #[test]
    fn caps_drop_the_oldest_count_them_and_spare_what_is_being_sent() {
        let store = filled(20);
        store
            .update(1, |record| {
                Ok::<_, RecordError>(record.begin_resend("ann", 1))
            })
            .expect("written");
        let by_records = StoreLimits {
            records: 17,
            ..CAPS
        };
        assert_eq!(
            store
                .evict_beyond_limits(&by_records, 2000, 100)
                .expect("dropped"),
            3
        );
        assert!(store.find(1).expect("read").is_some() && store.find(4).expect("read").is_none());
        let by_age = StoreLimits { age: 1000, ..CAPS };
        // The records of moments 1000 to 1009 are too old at 2009; the first is out.
        assert_eq!(
            store
                .evict_beyond_limits(&by_age, 2009, 100)
                .expect("dropped"),
            6
        );
        let bytes = store.totals().expect("read").bytes;
        let acme = store.counts(GroupBy::Tenant).expect("read")[0].clone();
        assert_eq!(acme, ("acme".into(), 3));
        let each = bytes / store.totals().expect("read").records;
        let by_tenant = StoreLimits {
            tenant_bytes: 4 * each,
            ..CAPS
        };
        assert!(
            store
                .evict_beyond_limits(&by_tenant, 0, 100)
                .expect("dropped")
                > 0
        );
        assert_eq!(
            store.counts(GroupBy::Tenant).expect("read")[0],
            ("acme".into(), 3),
            "another tenant's are not touched"
        );
        let by_bytes = StoreLimits {
            bytes: 3 * each,
            ..CAPS
        };
        while store.evict_beyond_limits(&by_bytes, 0, 2).expect("dropped") > 0 {}
        let sums = store.totals().expect("read");
        assert!(sums.bytes <= 3 * each + each / 2, "{sums:?}");
        let told: u64 = sums.dropped.iter().map(|(_, _, count)| count).sum();
        assert_eq!(told + sums.records, 20, "{sums:?}");
        assert!(store.find(1).expect("read").is_some());
        // All sums agree with what is there.
        let open: u64 = store
            .counts(GroupBy::Class)
            .expect("read")
            .iter()
            .map(|(_, count)| count)
            .sum();
        assert_eq!(open, sums.records);
    }

    #[test]
    fn noise_in_place_of_a_file_is_an_error_and_no_panic() {
        let silent = std::panic::take_hook();
        std::panic::set_hook(Box::new(|_| {}));
        for seed in 0..8u8 {
            let noise = InMemoryBackend::new();
            noise.set_len(1 << 16).expect("memory");
            let text: Vec<u8> = (0..1u32 << 16)
                .map(|n| (n as u8).wrapping_mul(seed).wrapping_add(n as u8 >> 3))
                .collect();
            noise.write(0, &text).expect("memory");
            assert!(Store::open_on(noise).is_err(), "{seed}");
        }
        std::panic::set_hook(silent);
    }
}
