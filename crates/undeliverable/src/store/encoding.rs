//! The encoding of stored values: a little-endian CRC-32 of the bytes after it, one byte with the version of the
//! encoding, and the payload.

use serde::de::DeserializeOwned;
use serde::Serialize;

use super::error::StoreError;
use crate::record::Record;
use crate::Micros;

const ENCODING_VERSION: u8 = 1;
const CHECKSUM_BYTES: usize = 4;
/// Bytes before the payload.
pub(super) const HEADER_BYTES: usize = CHECKSUM_BYTES + 1;

/// Encodes a value with postcard, after the header.
pub(super) fn encode(value: &impl Serialize) -> Result<Vec<u8>, StoreError> {
    let encoded = postcard::to_extend(value, vec![0; HEADER_BYTES])
        .map_err(|e| StoreError::Database(e.to_string()))?;
    Ok(fill_header(encoded))
}

/// Encodes a record. The end of its calls, if it is recorded, stands behind the fields that every version knows: earlier
/// versions ignore it, and lose it when they change the record.
pub(super) fn encode_record(record: &Record) -> Result<Vec<u8>, StoreError> {
    let Some(ended_at) = record.calls_ended_at else {
        return encode(record);
    };
    encode(&(record, ended_at))
}

/// Decodes a record, also one without the end of its calls; none if its header or payload is damaged.
pub(super) fn decode_record(encoded: &[u8]) -> Option<Record> {
    let (mut record, rest) = postcard::take_from_bytes::<Record>(decode_bytes(encoded)?).ok()?;
    if !rest.is_empty() {
        let ended_at: Micros = postcard::from_bytes(rest).ok()?;
        record.calls_ended_at = Some(ended_at);
    }
    Some(record)
}

/// Encodes bytes unchanged, after the header.
pub(super) fn encode_bytes(payload: &[u8]) -> Vec<u8> {
    let mut encoded = vec![0; HEADER_BYTES];
    encoded.extend_from_slice(payload);
    fill_header(encoded)
}

/// Decodes a value; none if its header or payload is damaged.
pub(super) fn decode<T: DeserializeOwned>(encoded: &[u8]) -> Option<T> {
    postcard::from_bytes(decode_bytes(encoded)?).ok()
}

/// The payload; none if the checksum or the version does not match.
pub(super) fn decode_bytes(encoded: &[u8]) -> Option<&[u8]> {
    let (checksum, checked) = encoded.split_first_chunk::<CHECKSUM_BYTES>()?;
    let (version, payload) = checked.split_first()?;
    let is_intact =
        *version == ENCODING_VERSION && crc32fast::hash(checked) == u32::from_le_bytes(*checksum);
    is_intact.then_some(payload)
}

/// Writes the header into the first [`HEADER_BYTES`], which must be zero.
fn fill_header(mut encoded: Vec<u8>) -> Vec<u8> {
    encoded[CHECKSUM_BYTES] = ENCODING_VERSION;
    let checksum = crc32fast::hash(&encoded[CHECKSUM_BYTES..]);
    encoded[..CHECKSUM_BYTES].copy_from_slice(&checksum.to_le_bytes());
    encoded
}
