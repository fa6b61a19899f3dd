//! The registry's file format, and recovery from damaged files.
//!
//! A line is the CRC-32 of its text in eight hexadecimal digits, a space, the text as JSON, and a line feed. A file
//! begins with a snapshot, whose last line counts the lines before it, and goes on with changes, each with its
//! sequence number.
//!
//! The registry is kept in two replicas of the file. What is torn, corrupt or missing in one is recovered from the
//! other; a change that neither holds is counted in [`RecoveredRegistry::lost_changes`].

mod record;
mod recovery;
mod snapshot;
#[cfg(test)]
mod tests;

pub use record::{encode_change, FORMAT_VERSION, MAX_LINE_BYTES};
pub use recovery::{recover, RecoveredRegistry, UnsupportedFormat};
pub use snapshot::{encode_snapshot, SnapshotWriter};
