//! Decides whether calls may rely on the host list, and when to poll discovery for it.
//!
//! The crate does no I/O and reads no clock: the caller passes the current time to every query that depends on it.

mod host_membership;
pub mod poll_schedule;
mod settings;

pub use host_membership::{HostMembership, ListFreshness, ReceivedList};
pub use poll_schedule::PollSchedule;
pub use settings::{DiscoveryMode, DiscoverySettings};
