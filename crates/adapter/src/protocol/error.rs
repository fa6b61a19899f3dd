//! Errors of the simulator's protocol.

use thiserror::Error;

use crate::settings::SettingsError;

/// Why a batch is not valid. Offsets are in bytes from the start of the payload.
#[derive(Debug, Error)]
pub enum ProtocolError {
    /// A record is longer than the rest of the payload.
    #[error("record wants {wanted} bytes more than the frame holds at byte {offset} of the frame")]
    TruncatedRecord {
        /// Length in bytes of the field that is cut off.
        wanted: usize,
        /// Where the field begins.
        offset: usize,
    },
    /// There is no such event.
    #[error("unknown event code {code} at byte {offset} of the frame")]
    UnknownEvent {
        /// The code.
        code: u8,
        /// Where the record begins.
        offset: usize,
    },
    /// There is no such outcome of an attempt or a probe.
    #[error("unknown outcome {code} at byte {offset} of the frame")]
    UnknownOutcome {
        /// The code.
        code: u16,
        /// Where the code stands.
        offset: usize,
    },
    /// There is no such state of a host.
    #[error("unknown host state {code} at byte {offset} of the frame")]
    UnknownHostState {
        /// The code.
        code: u8,
        /// Where the code stands.
        offset: usize,
    },
    /// There is no such kind of update of the hosts.
    #[error("unknown list kind {code} at byte {offset} of the frame")]
    UnknownHostUpdate {
        /// The code.
        code: u8,
        /// Where the record begins.
        offset: usize,
    },
    /// A host list has a number beyond the limit.
    #[error("roster number {number} is out of range at byte {offset} of the frame")]
    HostListOutOfRange {
        /// The list's number.
        number: usize,
        /// Where the record begins.
        offset: usize,
    },
    /// An update refers to a host list that the simulator has not sent.
    #[error("roster {number} was never sent at byte {offset} of the frame")]
    MissingHostList {
        /// The list's number.
        number: usize,
        /// Where the record begins.
        offset: usize,
    },
    /// A destination is no whole number of 16 bits.
    #[error("{value} is no destination at byte {offset} of the frame")]
    InvalidDestination {
        /// The number.
        value: f32,
        /// Where the record begins.
        offset: usize,
    },
    /// A relay's settings are not valid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}
