//! Errors of the store.

use std::io::ErrorKind::{InvalidData, UnexpectedEof};

use crate::record::RecordId;

/// Why a value could not be stored or read.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The database or its file returned an error. The request was not carried out.
    #[error("the store of undeliverable messages: {0}")]
    Database(String),
    /// The file is damaged, and none of its content can be trusted.
    #[error("the store of undeliverable messages is spoilt: {0}")]
    Corrupt(String),
    /// The value of this record can't be read.
    #[error("record {0} can't be read")]
    Unreadable(RecordId),
}

impl<E: Into<redb::Error>> From<E> for StoreError {
    fn from(error: E) -> Self {
        match error.into() {
            redb::Error::Corrupted(what) => StoreError::Corrupt(what),
            redb::Error::Io(e) if matches!(e.kind(), InvalidData | UnexpectedEof) => {
                StoreError::Corrupt(e.to_string())
            }
            other => StoreError::Database(other.to_string()),
        }
    }
}
