//! Tenants of a relay: what each is entitled to, and who comes before whom. It does no I/O.
//!
//! [`FairQueueScheduler`] is what the decision module asks; [`registry`] is what administrators change; [`record`] is how
//! that is written, and read after anything that can happen to a file.

pub mod audit;
mod meter;
pub mod record;
pub mod registry;
pub mod scope;
pub mod secret;
mod shares;
pub mod spec;

pub use registry::Registry;
pub use scope::Scope;
pub use shares::{FairQueueScheduler, MAX_DESTINATION_CLOCKS};
