//! Inserting, reading and updating single records.

use redb::{ReadableDatabase, ReadableTable, WriteTransaction};

use super::database::Store;
use super::encoding::{decode_bytes, encode_bytes};
use super::error::StoreError;
use super::tables::{add_to_total, origin_key, write_record, BODIES, LAST_ID, ORIGINS, RECORDS};
use crate::record::{Record, RecordId};

impl Store {
    /// Inserts records, each with the body of its message, and returns their numbers. A message that is already stored
    /// keeps its record and number, because the journal resubmits messages that it does not know to be stored.
    ///
    /// # Errors
    ///
    /// [`StoreError::Database`] if the database or its file fails; nothing is changed then.
    pub fn insert(&self, records: &[(Record, &[u8])]) -> Result<Vec<RecordId>, StoreError> {
        let transaction = self.database.begin_write()?;
        let ids = records
            .iter()
            .map(|(record, body)| insert_record(&transaction, record, body))
            .collect::<Result<_, _>>()?;
        transaction.commit()?;
        Ok(ids)
    }

    /// The record with this number; none if there is no such record.
    ///
    /// # Errors
    ///
    /// [`StoreError::Database`] if the database or its file fails, [`StoreError::Unreadable`] if the record cannot be
    /// read.
    pub fn find(&self, id: RecordId) -> Result<Option<Record>, StoreError> {
        let transaction = self.database.begin_read()?;
        let table = transaction.open_table(RECORDS)?;
        let encoded = table.get(id)?;
        encoded
            .map(|encoded| self.decode_record(id, encoded.value()))
            .transpose()
    }

    /// The body of a record's message; none if there is no such record.
    ///
    /// # Errors
    ///
    /// [`StoreError::Database`] if the database or its file fails, [`StoreError::Unreadable`] if the body cannot be
    /// read.
    pub fn body(&self, id: RecordId) -> Result<Option<Vec<u8>>, StoreError> {
        let transaction = self.database.begin_read()?;
        let table = transaction.open_table(BODIES)?;
        let Some(encoded) = table.get(id)? else {
            return Ok(None);
        };
        let Some(body) = decode_bytes(encoded.value()) else {
            self.count_unreadable_value();
            return Err(StoreError::Unreadable(id));
        };
        Ok(Some(body.to_vec()))
    }

    /// Changes a record together with its entries in the index and the counts, in one transaction. `change` receives
    /// the current record; if it returns an error, nothing is written. Returns `None` if there is no such record.
    ///
    /// # Errors
    ///
    /// [`StoreError::Database`] if the database fails, [`StoreError::Unreadable`] if the record cannot be read. The
    /// inner result is that of `change`.
    pub fn update<T, E>(
        &self,
        id: RecordId,
        change: impl FnOnce(&mut Record) -> Result<T, E>,
    ) -> Result<Option<Result<T, E>>, StoreError> {
        let transaction = self.database.begin_write()?;
        let before = transaction
            .open_table(RECORDS)?
            .get(id)?
            .map(|encoded| self.decode_record(id, encoded.value()));
        let Some(before) = before.transpose()? else {
            return Ok(None);
        };
        let mut after = before.clone();
        let changed = change(&mut after);
        if changed.is_ok() && after != before {
            let body_bytes = after.size as usize;
            write_record(&transaction, id, Some(&before), &after, body_bytes)?;
            transaction.commit()?;
        }
        Ok(Some(changed))
    }
}

fn insert_record(
    transaction: &WriteTransaction,
    record: &Record,
    body: &[u8],
) -> Result<RecordId, StoreError> {
    let origin = origin_key(record);
    let known = transaction
        .open_table(ORIGINS)?
        .get(origin.as_str())?
        .map(|id| id.value());
    if let Some(id) = known {
        return Ok(id);
    }
    let id = add_to_total(transaction, LAST_ID, 1)?;
    transaction
        .open_table(ORIGINS)?
        .insert(origin.as_str(), id)?;
    transaction
        .open_table(BODIES)?
        .insert(id, encode_bytes(body).as_slice())?;
    write_record(transaction, id, None, record, body.len())?;
    Ok(id)
}
