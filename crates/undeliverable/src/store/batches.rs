//! Batches in the store.

use redb::{ReadableDatabase, ReadableTable};

use super::database::Store;
use super::encoding::{decode, encode};
use super::error::StoreError;
use super::tables::BATCHES;
use crate::batch::Batch;

impl Store {
    /// All batches, ordered by name. A batch that can't be read is skipped and counted.
    ///
    /// # Errors
    ///
    /// [`StoreError::Database`] if the database or its file fails.
    pub fn batches(&self) -> Result<Vec<Batch>, StoreError> {
        let transaction = self.database.begin_read()?;
        let mut batches = Vec::new();
        for entry in transaction.open_table(BATCHES)?.iter()? {
            match decode(entry?.1.value()) {
                Some(batch) => batches.push(batch),
                None => self.count_unreadable_value(),
            }
        }
        Ok(batches)
    }

    /// Stores a batch, replacing an earlier one of the same name.
    ///
    /// # Errors
    ///
    /// [`StoreError::Database`] if the database or its file fails; nothing is changed then.
    pub fn save_batch(&self, batch: &Batch) -> Result<(), StoreError> {
        let transaction = self.database.begin_write()?;
        transaction
            .open_table(BATCHES)?
            .insert(batch.spec.name.as_str(), encode(batch)?.as_slice())?;
        Ok(transaction.commit()?)
    }

    /// Removes a batch, if there is one of this name.
    ///
    /// # Errors
    ///
    /// [`StoreError::Database`] if the database or its file fails; nothing is changed then.
    pub fn remove_batch(&self, name: &str) -> Result<(), StoreError> {
        let transaction = self.database.begin_write()?;
        transaction.open_table(BATCHES)?.remove(name)?;
        Ok(transaction.commit()?)
    }
}
