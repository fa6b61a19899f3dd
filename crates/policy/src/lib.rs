//! Decides when and where to send, hold, retry, refuse or fail each message. It does no I/O: events go in,
//! actions come out.

pub mod policy;
pub mod scheduler;
pub mod state;
pub mod types;

pub use policy::DeliveryPolicy;
pub use scheduler::TenantScheduler;
pub use state::HandoverSnapshot;
pub use types::{Action, Event, Settings};
