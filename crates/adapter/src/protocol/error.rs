//! Errors of the simulator's protocol.

use thiserror::Error;

use crate::settings::SettingsError;

/// An error in a batch. Offsets are in bytes from the start of the payload.
#[derive(Debug, Error)]
pub enum ProtocolError {
    /// A record is longer than the rest of the payload.
    #[error("record is truncated: {wanted} bytes expected at byte {offset} of the frame")]
    TruncatedRecord {
        /// Length in bytes of the truncated field.
        wanted: usize,
        /// Offset of the field.
        offset: usize,
    },
    /// The event code is unknown.
    #[error("unknown event code {code} at byte {offset} of the frame")]
    UnknownEvent {
        /// The unknown code.
        code: u8,
        /// Offset of the record.
        offset: usize,
    },
    /// The code of an attempt's or a probe's outcome is unknown.
    #[error("unknown outcome {code} at byte {offset} of the frame")]
    UnknownOutcome {
        /// The unknown code.
        code: u16,
        /// Offset of the code.
        offset: usize,
    },
    /// The code of a host's state is unknown.
    #[error("unknown host state {code} at byte {offset} of the frame")]
    UnknownHostState {
        /// The unknown code.
        code: u8,
        /// Offset of the code.
        offset: usize,
    },
    /// The code of a host update's kind is unknown.
    #[error("unknown host update kind {code} at byte {offset} of the frame")]
    UnknownHostUpdate {
        /// The unknown code.
        code: u8,
        /// Offset of the record.
        offset: usize,
    },
    /// A host list has a number beyond the limit.
    #[error("host list number {number} is out of range at byte {offset} of the frame")]
    HostListOutOfRange {
        /// The list's number.
        number: usize,
        /// Offset of the record.
        offset: usize,
    },
    /// An update refers to a host list that the simulator has not sent.
    #[error("host list {number} was never sent at byte {offset} of the frame")]
    MissingHostList {
        /// The list's number.
        number: usize,
        /// Offset of the record.
        offset: usize,
    },
    /// A destination is not an integer of 16 bits.
    #[error("{value} is not a valid destination at byte {offset} of the frame")]
    InvalidDestination {
        /// The value of the destination.
        value: f32,
        /// Offset of the record.
        offset: usize,
    },
    /// A relay's settings are not valid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}
