//! What the peers of the relays have observed so far: the record that all invariants share. It judges nothing.
//!
//! The peers report an [`Observation`] of each request, call, reply, notice and discovery line as it passes. The
//! invariants look at it first, then [`History::record`] adds it to the record. All moments are spans since the
//! simulation began.

mod limits;
mod message;
mod observation;
mod record;
mod recording;
mod tenant;

pub use limits::Limits;
pub use message::{
    Call, CallId, CallOutcome, HostIdentity, Idempotency, Message, Notice, NoticeStatus,
    ReceivedCall, Rejections, Response, SubmittedRequest,
};
pub use observation::Observation;
pub use record::{History, TimeSpan};
pub use tenant::{TenantChange, TenantSnapshot, TenantVersion};
