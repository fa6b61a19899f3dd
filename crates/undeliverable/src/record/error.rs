//! Why a record is not changed.

use crate::resend_blocked::ResendBlocked;

/// Why a change of a record is refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// No record has this number, or it was evicted.
    #[error("there is no such record")]
    NoRecord,
    /// The record has changed since the caller read it; its present version.
    #[error("the record is in version {0} by now")]
    Version(u32),
    /// The operator who has claimed it.
    #[error("the record is claimed by {0}")]
    Claimed(String),
    /// A resend is in flight.
    #[error("the record is being sent again")]
    Sending,
    /// The record is closed; the identifier of its state.
    #[error("the record is closed: {0}")]
    Closed(&'static str),
    /// It may not be sent again as things stand.
    #[error("the message may not be sent again: {0}")]
    ResendBlocked(ResendBlocked),
    /// Its last call was given up so recently that it may not have been cancelled yet.
    #[error("its last call was given up a moment ago")]
    Settling,
    /// The relay could not accept the message again; the record is open as before.
    #[error(
        "its class or tenant is gone, a message of its name is in hand, or the journal is full"
    )]
    NotAccepted,
    /// An argument is out of bounds; which one, and its bounds.
    #[error("{0}")]
    Malformed(&'static str),
}
