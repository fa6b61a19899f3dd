//! The lines of a registry file.

use serde::{Deserialize, Serialize};

use crate::registry::{ChangeRecord, IdempotentResponse, Tenant};

/// The format version that is written. Later versions are rejected.
pub const FORMAT_VERSION: u32 = 1;
/// Maximum length of a line that is read, without its line feed, in bytes. The longest line that is written contains
/// two tenants with 256 classes, 256 ranges of destinations and 8 secrets each.
pub const MAX_LINE_BYTES: usize = 256 << 10;
/// Hexadecimal digits of a line's checksum.
const CHECKSUM_DIGITS: usize = 8;

/// The trailer of a snapshot, which shows that the snapshot is complete.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Head")]
pub(super) struct SnapshotTrailer {
    pub(super) format: u32,
    /// Sequence number of the last change that the snapshot contains.
    pub(super) seq: u64,
    /// Number of lines of the snapshot before this one.
    pub(super) lines: usize,
    /// Number of changes that were lost before the snapshot was written.
    #[serde(rename = "lost")]
    pub(super) lost_changes: u64,
}

/// The content of a line.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Line", rename_all = "snake_case")]
pub(super) enum Record {
    #[serde(rename = "head")]
    SnapshotTrailer(SnapshotTrailer),
    Tenant(Tenant),
    /// Name and last generation of a removed tenant.
    #[serde(rename = "gone")]
    Tombstone(String, u32),
    #[serde(rename = "answered")]
    IdempotentResponse(IdempotentResponse),
    Change(Box<ChangeRecord>),
}

impl Record {
    /// Encodes the record as a line with its checksum and line feed.
    pub(super) fn encode(&self) -> Vec<u8> {
        // Serialization fails for none of this crate's types.
        let text = serde_json::to_vec(self).unwrap_or_default();
        let mut line = format!("{} ", checksum(&text)).into_bytes();
        line.extend(text);
        line.push(b'\n');
        line
    }

    /// Decodes a line with its line feed; none if the line is torn, too long or corrupt.
    pub(super) fn decode(line: &[u8]) -> Option<Self> {
        let line = line
            .strip_suffix(b"\n")
            .filter(|line| line.len() <= MAX_LINE_BYTES)?;
        let (found, text) = line.split_at_checked(CHECKSUM_DIGITS)?;
        let text = text.strip_prefix(b" ")?;
        if found != checksum(text).as_bytes() {
            return None;
        }
        serde_json::from_slice(text).ok()
    }
}

fn checksum(text: &[u8]) -> String {
    format!("{:08x}", crc32fast::hash(text))
}

/// Encodes a change as a line, which is appended to both replicas.
#[must_use]
pub fn encode_change(record: &ChangeRecord) -> Vec<u8> {
    Record::Change(Box::new(record.clone())).encode()
}
