//! Queries of the store: pages of records, counts by group, and totals.

use std::ops::Range;

use redb::{Key, ReadTransaction, ReadableDatabase, ReadableTable, Value};

use super::database::Store;
use super::error::StoreError;
use super::group::GroupBy;
use super::tables::{
    read_total, value_or_zero, BYTE_TOTAL, COUNTS, EVICTIONS, INDEX, LAST_ID, RECORDS, RECORD_TOTAL,
};
use crate::filter::Filter;
use crate::record::{Record, RecordId};

/// Maximum records that one page examines. A filter that few records match therefore results in a short page that still
/// has a next one.
const MAX_EXAMINED_RECORDS: usize = 4000;

/// A page of records.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Page {
    /// The records, in the order of the query.
    pub records: Vec<(RecordId, Record)>,
    /// The last record that was examined, from which the next page continues; none if this is the last page.
    pub next: Option<RecordId>,
}

/// The number of records evicted for one tenant and one cause since the store was created.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvictionCount {
    /// The tenant's name; empty for records that could not be read.
    pub tenant: String,
    /// The limit that the records exceeded: `age`, `tenant-bytes`, `bytes` or `records`.
    pub cause: String,
    /// Number of evicted records.
    pub records: u64,
}

/// Totals of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreTotals {
    /// Number of records in the store.
    pub records: u64,
    /// Bytes that count against the limits.
    pub bytes: u64,
    /// Evicted records, ordered by tenant and cause.
    pub evictions: Vec<EvictionCount>,
    /// Values that could not be read since the store was opened.
    pub unreadable_values: u64,
}

/// The order of a page's records by their numbers.
#[derive(Clone, Copy)]
enum PageOrder {
    NewestFirst,
    OldestFirst,
}

/// The query for one page.
struct PageQuery<'a> {
    filter: &'a Filter,
    ids: Range<RecordId>,
    order: PageOrder,
    max_records: usize,
}

/// A group that contains every record that a filter matches, with its number of records.
struct FilteredGroup {
    records: u64,
    group_by: GroupBy,
    group: String,
}

impl Store {
    /// A page of matching records with numbers below `before`, newest first.
    ///
    /// # Errors
    ///
    /// [`StoreError::Database`] if the database or its file fails.
    pub fn page(
        &self,
        filter: &Filter,
        before: Option<RecordId>,
        max_records: usize,
    ) -> Result<Page, StoreError> {
        self.scan(&PageQuery {
            filter,
            ids: 0..before.unwrap_or(RecordId::MAX),
            order: PageOrder::NewestFirst,
            max_records,
        })
    }

    /// A page of matching records with numbers above `after`, oldest first.
    ///
    /// # Errors
    ///
    /// [`StoreError::Database`] if the database or its file fails.
    pub fn page_after(
        &self,
        filter: &Filter,
        after: RecordId,
        max_records: usize,
    ) -> Result<Page, StoreError> {
        self.scan(&PageQuery {
            filter,
            ids: after.saturating_add(1)..RecordId::MAX,
            order: PageOrder::OldestFirst,
            max_records,
        })
    }

    /// Scans the smallest group that the filter names, or all records if it names none.
    fn scan(&self, query: &PageQuery) -> Result<Page, StoreError> {
        let transaction = self.database.begin_read()?;
        let smallest = smallest_group(&transaction, query.filter)?;
        let records = transaction.open_table(RECORDS)?;
        let Some(FilteredGroup {
            group_by, group, ..
        }) = smallest
        else {
            let ids = records.range(query.ids.clone())?;
            return self.collect_page(query, &records, ids, |id| id);
        };
        let index = transaction.open_table(INDEX)?;
        let key = |id| (group_by.key(), group.as_str(), id);
        let ids = index.range(key(query.ids.start)..key(query.ids.end))?;
        self.collect_page(query, &records, ids, |(_, _, id)| id)
    }

    /// Collects matching records until the page is full or [`MAX_EXAMINED_RECORDS`] were examined.
    fn collect_page<K: Key + 'static, V: Value + 'static>(
        &self,
        query: &PageQuery,
        records: &impl ReadableTable<u64, &'static [u8]>,
        mut entries: redb::Range<K, V>,
        id_of_key: impl for<'k> Fn(K::SelfType<'k>) -> RecordId,
    ) -> Result<Page, StoreError> {
        let mut page = Page::default();
        let mut examined = 0;
        while let Some(entry) = match query.order {
            PageOrder::NewestFirst => entries.next_back(),
            PageOrder::OldestFirst => entries.next(),
        } {
            let id = id_of_key(entry?.0.value());
            examined += 1;
            if let Some(encoded) = records.get(id)? {
                // A record that can't be read is counted and skipped.
                if let Ok(record) = self.decode_record(id, encoded.value()) {
                    if query.filter.matches(&record) {
                        page.records.push((id, record));
                    }
                }
            }
            if page.records.len() >= query.max_records || examined >= MAX_EXAMINED_RECORDS {
                page.next = Some(id);
                break;
            }
        }
        Ok(page)
    }

    /// Number of records in each group that is not empty, ordered by group.
    ///
    /// # Errors
    ///
    /// [`StoreError::Database`] if the database or its file fails.
    pub fn counts(&self, group_by: GroupBy) -> Result<Vec<(String, u64)>, StoreError> {
        let transaction = self.database.begin_read()?;
        let table = transaction.open_table(COUNTS)?;
        let mut counts = Vec::new();
        for entry in table.range((group_by.key(), "")..(group_by.key() + 1, ""))? {
            let (key, count) = entry?;
            if count.value() > 0 {
                counts.push((key.value().1.to_string(), count.value()));
            }
        }
        Ok(counts)
    }

    /// The number of the last record that was inserted; 0 if the store has never had one.
    ///
    /// # Errors
    ///
    /// [`StoreError::Database`] if the database or its file fails.
    pub fn last_id(&self) -> Result<RecordId, StoreError> {
        read_total(&self.database.begin_read()?, LAST_ID)
    }

    /// Totals over all records, and of evictions and unreadable values.
    ///
    /// # Errors
    ///
    /// [`StoreError::Database`] if the database or its file fails.
    pub fn totals(&self) -> Result<StoreTotals, StoreError> {
        let transaction = self.database.begin_read()?;
        let mut evictions = Vec::new();
        for entry in transaction.open_table(EVICTIONS)?.iter()? {
            let (key, count) = entry?;
            let (tenant, cause) = key.value();
            evictions.push(EvictionCount {
                tenant: tenant.into(),
                cause: cause.into(),
                records: count.value(),
            });
        }
        Ok(StoreTotals {
            records: read_total(&transaction, RECORD_TOTAL)?,
            bytes: read_total(&transaction, BYTE_TOTAL)?,
            evictions,
            unreadable_values: self.unreadable_values(),
        })
    }
}

/// The smallest of the groups that a filter names, or the first of several equally small ones; none if it names none.
fn smallest_group(
    transaction: &ReadTransaction,
    filter: &Filter,
) -> Result<Option<FilteredGroup>, StoreError> {
    let counts = transaction.open_table(COUNTS)?;
    let mut smallest: Option<FilteredGroup> = None;
    for group_by in GroupBy::ALL {
        let Some(group) = group_by.group_in(filter) else {
            continue;
        };
        let records = value_or_zero(&counts, (group_by.key(), group.as_str()))?;
        if smallest
            .as_ref()
            .is_none_or(|smallest| records < smallest.records)
        {
            smallest = Some(FilteredGroup {
                records,
                group_by,
                group,
            });
        }
    }
    Ok(smallest)
}
