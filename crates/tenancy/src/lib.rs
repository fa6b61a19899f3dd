//! Tenants of a relay: their limits, their shares and the scheduling between them. This crate does no I/O.
//!
//! The decision module schedules tenants with [`FairQueueScheduler`]. Administrators change the [`registry`], which is
//! persisted in the format of [`registry_file`] and can be recovered from damaged files. Each change has an [`audit`]
//! entry.

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
