//! Decides when and where to send, queue, retry, reject or fail each message. The crate does no I/O: it consumes events
//! and produces actions.
//!
//! [`DeliveryPolicy::handle`] runs one round. Each decision module adds methods to [`DeliveryPolicy`] or to a record:
//!
//! - `policy` runs the decisions of a round in order; `wakeup_timer` schedules the next round without an event.
//! - `admission` accepts messages; `load_shedding` rejects queued ones to free capacity.
//! - `dispatch_order` and `message_value` order the waiting messages; `selection` chooses a route and a host for each;
//!   `dispatch` groups them into calls.
//! - `call_outcome`, `circuit_breaker`, `rate_limit` and `recovery` act on the outcomes of calls; `latency` estimates
//!   their duration.
//! - `response_confirmation` decides whether a response on a reused connection may be believed, for the shell that makes
//!   the calls.
//! - `retry` ends attempts, and answers messages that will not be delivered.
//! - `tuning` contains the constants of all of these modules.
//!
//! The other modules are records and tables and make no decisions: `state`, `tables`, `routing`, `route`,
//! `host_record`, `call`, `queued_message`, `rolling_window`, `token_bucket`, `handover`, `diagnostics`.

mod admission;
mod call;
mod call_outcome;
mod circuit_breaker;
mod diagnostics;
mod dispatch;
mod dispatch_order;
mod handover;
mod host_record;
mod latency;
mod load_shedding;
mod message_value;
mod policy;
mod queued_message;
pub mod random;
mod rate_limit;
mod recovery;
pub mod response_confirmation;
mod retry;
mod rolling_window;
mod route;
mod routing;
pub mod scheduler;
mod selection;
mod slow_start;
mod state;
mod tables;
mod token_bucket;
mod tuning;
pub mod types;
mod wakeup_timer;

pub use handover::{HandoverSnapshot, OrderingKeyBlock};
pub use scheduler::TenantScheduler;
pub use state::DeliveryPolicy;
pub use types::{Action, Event, RouteKey, Settings};
