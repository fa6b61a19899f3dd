//! Errors of changes to a record.

use crate::resend_blocked::ResendBlocked;

/// Why a change of a record is rejected. The text goes to the administrator.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// No record has this number, or it was evicted.
    #[error("there is no such record")]
    NoRecord,
    /// The record has changed since the caller read it; holds the current version.
    #[error("the record is in version {0} by now")]
    Version(u32),
    /// Another operator has claimed the record; holds that operator's name.
    #[error("the record is claimed by {0}")]
    Claimed(String),
    /// A resend is in flight.
    #[error("the record is being sent again")]
    Sending,
    /// The record is closed; holds the identifier of its state.
    #[error("the record is closed: {0}")]
    Closed(&'static str),
    /// The resend policy does not permit a resend at present.
    #[error("the message may not be sent again: {0}")]
    ResendBlocked(ResendBlocked),
    /// The last call was given up so recently that its cancellation may not be complete.
    #[error("its last call was given up a moment ago")]
    Settling,
    /// The relay could not accept the message again; the record is still open.
    #[error(
        "its class or tenant is gone, a message of its name is in hand, or the journal is full"
    )]
    NotAccepted,
    /// An argument is out of bounds; names the argument and its bounds.
    #[error("{0}")]
    Malformed(&'static str),
}
