//! Tenants of a relay: what each is entitled to, and who comes before whom. It does no I/O.
//!
//! [`FairQueueScheduler`] is what the decision module asks; [`registry`] is what administrators change; [`registry_file`] is how
//! that is written, and read after anything that can happen to a file.

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
