//! Decides when and where to send, hold, retry, refuse or fail each message. It does no I/O: events go in,
//! actions come out.

mod admission;
mod circuit_breaker;
mod diagnostics;
mod dispatch;
mod handover;
pub mod policy;
mod rate_limit;
mod recovery;
mod retry;
mod rolling_window;
mod routing;
pub mod scheduler;
mod selection;
pub mod state;
mod tuning;
pub mod types;

pub use policy::DeliveryPolicy;
pub use scheduler::TenantScheduler;
pub use state::HandoverSnapshot;
pub use types::{Action, Event, Settings};
