//! Tenants of a relay: their limits and shares, and the order among them. This crate does no I/O.
//!
//! The decision module asks [`FairQueueScheduler`]. Administrators change the [`registry`], which is persisted in the
//! format of [`registry_file`] and recovered from damaged files; each change has an [`audit`] entry.

pub mod audit;
mod fair_queueing;
mod meter;
pub mod registry;
pub mod registry_file;
pub mod scope;
pub mod secret;
pub mod spec;

pub use fair_queueing::{FairQueueScheduler, MAX_DESTINATION_CLOCKS};
pub use registry::Registry;
pub use scope::Scope;
