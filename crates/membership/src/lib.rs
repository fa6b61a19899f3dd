//! How far the list of hosts may be believed, and when discovery is asked for it. No I/O, no clock: every question
//! comes with its moment.

mod host_membership;
pub mod poll_schedule;

pub use host_membership::{
    DiscoverySettings, HostMembership, ListFreshness, ASKED_HOLD, HOLD, OLDER_FOR,
};
