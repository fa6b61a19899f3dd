//! The tables, and changes that update several of them together. Names, types and keys are part of the stored format
//! and must not change.

use redb::{ReadTransaction, ReadableTable, TableDefinition, WriteTransaction};

use super::encoding::{encode_record, HEADER_BYTES};
use super::error::StoreError;
use super::group::GroupBy;
use crate::record::{Record, RecordId};

/// Records by number, encoded with postcard.
pub(super) const RECORDS: TableDefinition<u64, &[u8]> = TableDefinition::new("records");
/// Message bodies by the number of the record.
pub(super) const BODIES: TableDefinition<u64, &[u8]> = TableDefinition::new("bodies");
/// Record numbers by [`origin_key`].
pub(super) const ORIGINS: TableDefinition<&str, u64> = TableDefinition::new("origins");
/// The records of each group. A key consists of [`GroupBy::key`], the group, and the number of a record in it.
pub(super) const INDEX: TableDefinition<(u8, &str, u64), ()> = TableDefinition::new("index");
/// Number of records by [`GroupBy::key`] and group, and bytes by [`TENANT_BYTES_KEY`] and tenant.
pub(super) const COUNTS: TableDefinition<(u8, &str), u64> = TableDefinition::new("counts");
/// Number of evicted records by tenant and cause.
pub(super) const EVICTIONS: TableDefinition<(&str, &str), u64> = TableDefinition::new("dropped");
/// Batches by name, encoded with postcard.
pub(super) const BATCHES: TableDefinition<&str, &[u8]> = TableDefinition::new("batches");
/// Totals by name.
pub(super) const TOTALS: TableDefinition<&str, u64> = TableDefinition::new("numbers");

/// Total: number of the last record that was inserted.
pub(super) const LAST_ID: &str = "last";
/// Total: number of records in the store.
pub(super) const RECORD_TOTAL: &str = "records";
/// Total: bytes that count against the limits.
pub(super) const BYTE_TOTAL: &str = "bytes";

/// First part of a key in [`COUNTS`] for a tenant's bytes, where other keys have [`GroupBy::key`].
pub(super) const TENANT_BYTES_KEY: u8 = 100;
/// Bytes that a record takes in addition to its encoded form and its body, for its keys in the tables.
const KEY_OVERHEAD_BYTES: usize = 160;

/// Creates the tables that do not exist yet.
pub(super) fn create_tables(transaction: &WriteTransaction) -> Result<(), StoreError> {
    transaction.open_table(RECORDS)?;
    transaction.open_table(BODIES)?;
    transaction.open_table(ORIGINS)?;
    transaction.open_table(INDEX)?;
    transaction.open_table(COUNTS)?;
    transaction.open_table(EVICTIONS)?;
    transaction.open_table(BATCHES)?;
    transaction.open_table(TOTALS)?;
    Ok(())
}

/// Identifies a message that was given up, so that a repeated insertion is detected.
pub(super) fn origin_key(record: &Record) -> String {
    let origin = &record.origin;
    format!("{}\n{}\n{}", origin.tenant, origin.name, origin.deadline)
}

/// One of the totals, as of the start of a read transaction.
pub(super) fn read_total(transaction: &ReadTransaction, name: &str) -> Result<u64, StoreError> {
    value_or_zero(&transaction.open_table(TOTALS)?, name)
}

/// One of the totals, including the changes of this write transaction.
pub(super) fn current_total(transaction: &WriteTransaction, name: &str) -> Result<u64, StoreError> {
    value_or_zero(&transaction.open_table(TOTALS)?, name)
}

/// The value at a key; 0 if the key does not exist.
pub(super) fn value_or_zero<'k, K: redb::Key + 'static>(
    table: &impl ReadableTable<K, u64>,
    key: impl std::borrow::Borrow<K::SelfType<'k>>,
) -> Result<u64, StoreError> {
    Ok(table.get(key)?.map_or(0, |value| value.value()))
}

/// Adds to one of the totals, and returns the sum, which is at least 0.
pub(super) fn add_to_total(
    transaction: &WriteTransaction,
    name: &str,
    change: i64,
) -> Result<u64, StoreError> {
    let mut table = transaction.open_table(TOTALS)?;
    let sum = value_or_zero(&table, name)?.saturating_add_signed(change);
    table.insert(name, sum)?;
    Ok(sum)
}

/// Adds to one of the counts, and removes its entry at 0.
fn add_to_count(
    transaction: &WriteTransaction,
    key: (u8, &str),
    change: i64,
) -> Result<(), StoreError> {
    let mut table = transaction.open_table(COUNTS)?;
    let sum = value_or_zero(&table, key)?.saturating_add_signed(change);
    if sum == 0 {
        table.remove(key)?;
    } else {
        table.insert(key, sum)?;
    }
    Ok(())
}

/// Bytes of a record that count against the limits.
fn accounted_bytes(encoded_bytes: usize, body_bytes: usize) -> i64 {
    (encoded_bytes + body_bytes + KEY_OVERHEAD_BYTES) as i64
}

/// Writes a record after a change or, without `before`, for the first time. Updates the index, the counts and the
/// totals accordingly.
pub(super) fn write_record(
    transaction: &WriteTransaction,
    id: RecordId,
    before: Option<&Record>,
    after: &Record,
    body_bytes: usize,
) -> Result<(), StoreError> {
    let encoded = encode_record(after)?;
    let bytes_before = match before {
        Some(before) => accounted_bytes(encode_record(before)?.len(), body_bytes),
        None => 0,
    };
    let bytes_change = accounted_bytes(encoded.len(), body_bytes) - bytes_before;
    transaction
        .open_table(RECORDS)?
        .insert(id, encoded.as_slice())?;
    for group_by in GroupBy::ALL {
        let old_group = before.map(|record| group_by.group_of(record));
        let new_group = group_by.group_of(after);
        if old_group.as_ref() != Some(&new_group) {
            let old_group = old_group.as_deref();
            move_in_index(transaction, group_by, id, old_group, &new_group)?;
        }
    }
    let tenant = after.origin.tenant_name();
    add_to_count(transaction, (TENANT_BYTES_KEY, tenant), bytes_change)?;
    add_to_total(transaction, BYTE_TOTAL, bytes_change)?;
    if before.is_none() {
        add_to_total(transaction, RECORD_TOTAL, 1)?;
    }
    Ok(())
}

/// Moves a record from one group to another in the index and the counts.
fn move_in_index(
    transaction: &WriteTransaction,
    group_by: GroupBy,
    id: RecordId,
    old_group: Option<&str>,
    new_group: &str,
) -> Result<(), StoreError> {
    let mut index = transaction.open_table(INDEX)?;
    if let Some(old_group) = old_group {
        index.remove((group_by.key(), old_group, id))?;
    }
    index.insert((group_by.key(), new_group, id), ())?;
    drop(index);
    if let Some(old_group) = old_group {
        add_to_count(transaction, (group_by.key(), old_group), -1)?;
    }
    add_to_count(transaction, (group_by.key(), new_group), 1)
}

/// Removes a record with its body. The groups of a record that can't be read are unknown, so its entries in the index,
/// the counts and the origins remain.
pub(super) fn remove_record(
    transaction: &WriteTransaction,
    id: RecordId,
    record: Option<&Record>,
) -> Result<(), StoreError> {
    let encoded_bytes = transaction
        .open_table(RECORDS)?
        .remove(id)?
        .map_or(0, |encoded| encoded.value().len());
    let body_bytes = transaction
        .open_table(BODIES)?
        .remove(id)?
        .map_or(0, |encoded| {
            encoded.value().len().saturating_sub(HEADER_BYTES)
        });
    let bytes = accounted_bytes(encoded_bytes, body_bytes);
    if let Some(record) = record {
        transaction
            .open_table(ORIGINS)?
            .remove(origin_key(record).as_str())?;
        for group_by in GroupBy::ALL {
            let group = group_by.group_of(record);
            transaction
                .open_table(INDEX)?
                .remove((group_by.key(), group.as_str(), id))?;
            add_to_count(transaction, (group_by.key(), &group), -1)?;
        }
        let tenant = record.origin.tenant_name();
        add_to_count(transaction, (TENANT_BYTES_KEY, tenant), -bytes)?;
    }
    add_to_total(transaction, BYTE_TOTAL, -bytes)?;
    add_to_total(transaction, RECORD_TOTAL, -1)?;
    Ok(())
}
