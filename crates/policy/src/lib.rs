//! Decides when and where to send, queue, retry, reject or fail each message. It does no I/O: events go in, actions
//! come out.
//!
//! [`DeliveryPolicy::handle`] plays a round. Each deciding module adds its methods to [`DeliveryPolicy`] or to a record:
//!
//! - `policy` joins the decisions; `wakeup_timer` says when the next round is needed without an event.
//! - `admission` accepts messages; `load_shedding` rejects queued ones to make room.
//! - `dispatch_order` and `message_value` order the waiting messages; `selection` finds each a route and a host;
//!   `dispatch` puts them into calls.
//! - `call_outcome`, `circuit_breaker`, `rate_limit` and `recovery` follow from how calls end; `latency` expects when
//!   they do.
//! - `retry` ends attempts, and answers messages that are given up.
//! - `tuning` has the constants of all of them.
//!
//! The other modules are records and tables, which decide nothing: `state`, `tables`, `routing`, `route`,
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
mod wakeup_timer;

pub use handover::{HandoverSnapshot, OrderingKeyBlock};
pub use scheduler::TenantScheduler;
pub use state::DeliveryPolicy;
pub use types::{Action, Event, RouteKey, Settings};
