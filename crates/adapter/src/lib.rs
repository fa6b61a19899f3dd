//! Runs the delivery policy on the simulator's protocol.
//!
//! [`protocol`] decodes batches of events and encodes the policy's actions; [`parse_settings`] parses the
//! platform's settings, for the relay as well; [`batch_stream`] connects the adapter to an input and an output stream.

pub mod batch_stream;
pub mod protocol;
mod settings;

pub use protocol::{
    encode_action, parse_batch_header, Adapter, BatchHeader, ProtocolError, BATCH_HEADER_BYTES,
};
pub use settings::{parse_settings, SettingsError};
