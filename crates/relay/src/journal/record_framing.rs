//! The framing of stored records: a length and a CRC-32, both 32 bits and little-endian, then the postcard bytes.

use std::io;

use serde::de::DeserializeOwned;
use serde::Serialize;

/// Size of the length field, in bytes. It is the first field.
const LENGTH_SIZE: usize = 4;
/// Size of the length and checksum fields together, in bytes.
const HEADER_SIZE: usize = 8;
/// Maximum payload of a record, in bytes. It limits a message's body with its metadata, and the state that one process
/// hands over to another.
pub const MAX_PAYLOAD_SIZE: usize = 256 * 1024;

/// Encodes a value as one framed record.
///
/// # Errors
/// If postcard cannot serialize the value.
pub fn encode(value: &impl Serialize) -> io::Result<Vec<u8>> {
    let mut record = postcard::to_extend(value, vec![0; HEADER_SIZE]).map_err(io::Error::other)?;
    let payload = &record[HEADER_SIZE..];
    let length = payload.len() as u32;
    let checksum = crc32fast::hash(payload);
    record[..LENGTH_SIZE].copy_from_slice(&length.to_le_bytes());
    record[LENGTH_SIZE..HEADER_SIZE].copy_from_slice(&checksum.to_le_bytes());
    Ok(record)
}

/// Decodes the first record of `bytes` and returns it with its size, header included. Returns `None` if the record is
/// incomplete or its checksum does not match.
///
/// # Errors
/// `InvalidData` if the record is complete but its payload is not a value of this type. Such a record was written by a
/// newer version of the program, and treating it as a torn tail would discard messages.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> io::Result<Option<(T, usize)>> {
    let Some(payload) = checked_payload(bytes) else {
        return Ok(None);
    };
    match postcard::from_bytes(payload) {
        Ok(value) => Ok(Some((value, HEADER_SIZE + payload.len()))),
        Err(_) => Err(io::Error::new(
            io::ErrorKind::InvalidData,
            "the record was written by a newer version of the program",
        )),
    }
}

/// The payload of the first record, if all of it is present and its checksum matches.
fn checked_payload(bytes: &[u8]) -> Option<&[u8]> {
    let (length, rest) = bytes.split_first_chunk::<LENGTH_SIZE>()?;
    let (checksum, rest) = rest.split_first_chunk::<{ HEADER_SIZE - LENGTH_SIZE }>()?;
    let length = u32::from_le_bytes(*length) as usize;
    if !(1..=MAX_PAYLOAD_SIZE).contains(&length) {
        return None;
    }
    let payload = rest.get(..length)?;
    (crc32fast::hash(payload) == u32::from_le_bytes(*checksum)).then_some(payload)
}
