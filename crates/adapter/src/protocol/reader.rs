//! Reads numbers and byte strings from a payload.

use super::ProtocolError;

/// Reads a payload from its start to its end.
pub(super) struct ByteReader<'a> {
    bytes: &'a [u8],
    offset: usize,
}

impl<'a> ByteReader<'a> {
    /// Creates a reader at the start of the bytes.
    pub(super) fn new(bytes: &'a [u8]) -> Self {
        ByteReader { bytes, offset: 0 }
    }

    /// The number of bytes read.
    pub(super) fn offset(&self) -> usize {
        self.offset
    }

    /// Whether all bytes have been read.
    pub(super) fn is_at_end(&self) -> bool {
        self.offset >= self.bytes.len()
    }

    /// Reads `length` bytes. Like every read, it fails with [`ProtocolError::TruncatedRecord`] if fewer bytes remain.
    pub(super) fn take(&mut self, length: usize) -> Result<&'a [u8], ProtocolError> {
        let end = self.offset.checked_add(length);
        let taken = end.and_then(|end| self.bytes.get(self.offset..end));
        let taken = taken.ok_or(ProtocolError::TruncatedRecord {
            wanted: length,
            offset: self.offset,
        })?;
        self.offset += length;
        Ok(taken)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], ProtocolError> {
        let mut array = [0; N];
        array.copy_from_slice(self.take(N)?);
        Ok(array)
    }

    /// Reads a number of 1 byte.
    pub(super) fn u8(&mut self) -> Result<u8, ProtocolError> {
        self.array().map(u8::from_le_bytes)
    }

    /// Reads a number of 2 bytes.
    pub(super) fn u16(&mut self) -> Result<u16, ProtocolError> {
        self.array().map(u16::from_le_bytes)
    }

    /// Reads a number of 4 bytes.
    pub(super) fn u32(&mut self) -> Result<u32, ProtocolError> {
        self.array().map(u32::from_le_bytes)
    }

    /// Reads a number of 8 bytes.
    pub(super) fn u64(&mut self) -> Result<u64, ProtocolError> {
        self.array().map(u64::from_le_bytes)
    }

    /// Reads a floating-point number of 4 bytes.
    pub(super) fn f32(&mut self) -> Result<f32, ProtocolError> {
        self.array().map(f32::from_le_bytes)
    }
}
