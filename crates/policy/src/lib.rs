//! Decides when and where to send, queue, retry, reject or fail each message. It does no I/O: events go in, actions
//! come out.

mod admission;
mod call;
mod circuit_breaker;
mod diagnostics;
mod dispatch;
mod handover;
mod host_record;
mod policy;
mod queued_message;
pub mod random;
mod rate_limit;
mod recovery;
mod retry;
mod rolling_window;
mod route;
mod routing;
pub mod scheduler;
mod selection;
mod state;
mod tables;
mod token_bucket;
mod tuning;
pub mod types;

pub use handover::{HandoverSnapshot, OrderingKeyBlock};
pub use scheduler::TenantScheduler;
pub use state::DeliveryPolicy;
pub use types::{Action, Event, RouteKey, Settings};
