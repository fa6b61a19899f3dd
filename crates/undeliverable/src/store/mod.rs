//! Records in an embedded database (redb), over a file that the caller opens.
//!
//! Each value carries a CRC-32 and the version of its encoding. All that belongs to a change is written in one
//! transaction: a process that ends leaves all of it or nothing. A value that can't be read is skipped by queries and
//! counted in [`GroupCounts::unreadable_values`].
//!
//! [`StoreLimits`] bound the bytes of all records and of one tenant's, their age, and their number. What exceeds them
//! is evicted, the oldest first, and counted by tenant and cause; a record with a resend in flight never is.

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
pub use queries::{EvictionCount, GroupCounts, Page};
