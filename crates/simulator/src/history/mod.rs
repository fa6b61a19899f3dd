//! The record of what the relays' peers have observed so far. All invariants share it; it performs no checks itself.
//!
//! The peers report an [`Observation`] of each request, call, reply, notice and discovery entry as it occurs. The
//! invariants check it first, then [`History::record`] adds it to the record. All times are durations since the start
//! of the simulation.

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
