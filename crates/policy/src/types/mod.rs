//! The interface of the policy: its settings, the events that it processes and the actions that it returns.

mod action;
mod event;
mod host;
mod ids;
mod message;
mod settings;
mod tenant;

pub use action::Action;
pub use event::{AttemptEnd, AttemptOutcome, Event};
pub use host::{HostEntry, HostState};
pub use ids::{DestinationId, HostId, MessageId, Micros, RouteKey, TenantId};
pub use message::{Message, Outage, PastAttempt};
pub use settings::{
    Class, DestinationKind, Idempotency, PlatformRules, ReportField, Settings, ValueDecay,
    WeightSource,
};
pub use tenant::{RateLimit, Tenant, TenantState, TenantTerms};
