//! The store of records, in an embedded database (redb) over a file that the caller opens.
//!
//! Each value has a CRC-32 and the version of its encoding. Each change is written in one transaction, so a crash of
//! the process leaves it applied in whole or not at all. A value that can't be read is skipped by queries and counted
//! in [`StoreTotals::unreadable_values`].
//!
//! [`StoreLimits`] bound the bytes of all records, the bytes of each tenant's records, and the age and number of
//! records. Records beyond the limits are evicted, oldest first, and counted by tenant and cause. A record with a
//! resend in flight is never evicted.

mod batches;
mod database;
mod encoding;
mod error;
mod eviction;
mod group;
mod queries;
mod records;
mod recovery;
mod tables;

#[cfg(test)]
mod tests;

pub use database::Store;
pub use error::StoreError;
pub use eviction::StoreLimits;
pub use group::GroupBy;
pub use queries::{EvictionCount, Page, StoreTotals};
