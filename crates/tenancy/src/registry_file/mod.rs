//! The registry's file format, and recovery from damaged files.
//!
//! A line consists of the CRC-32 of its text in eight hexadecimal digits, a space, the text as JSON, and a line feed. A
//! file begins with a snapshot, whose last line has the number of lines before it, and continues with changes, each
//! with its sequence number.
//!
//! The registry is stored in two replicas of the file. Lines that are torn, corrupt or missing in one replica are
//! recovered from the other. A change that neither contains is counted in [`RecoveredRegistry::lost_changes`].

mod record;
mod recovery;
mod snapshot;
#[cfg(test)]
mod tests;

pub use record::{encode_change, FORMAT_VERSION, MAX_LINE_BYTES};
pub use recovery::{recover, RecoveredRegistry, UnsupportedFormat};
pub use snapshot::{encode_snapshot, SnapshotWriter};
