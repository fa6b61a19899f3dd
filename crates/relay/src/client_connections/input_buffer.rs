//! The input of one connection that has arrived and is not handled yet, without I/O.
//!
//! The buffer never grows by itself: it holds [`MAX_SHORT_REQUEST_BYTES`] until its owner has obtained the memory for a
//! long request, and then exactly that request.

#[cfg(test)]
mod tests;

use bytes::{Buf, Bytes, BytesMut};

use super::framing::{decode_request, find_frame, Frame, ProtocolError, MAX_SHORT_REQUEST_BYTES};

/// Classification of the buffered input.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Input {
    /// No complete request.
    Incomplete,
    /// A long request of which more has yet to arrive than the buffer can hold.
    NeedsSpace {
        /// Length of the request in bytes.
        length: usize,
    },
    /// A request whose body exceeds the limit. Its bytes are discarded as they arrive.
    BodyTooLong,
    /// A complete request.
    Request(BufferedRequest),
}

/// The parts of a request.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct BufferedRequest {
    pub(super) parts: Vec<Bytes>,
    /// Length of the request in bytes.
    pub(super) length: usize,
}

/// Input that has not been handled yet.
#[derive(Default)]
pub(super) struct InputBuffer {
    bytes: BytesMut,
    /// Number of input bytes to discard that belong to a request rejected for its length.
    bytes_to_skip: usize,
    /// Length of the long request that the buffer has space for; `None` if there is none.
    long_request: Option<usize>,
}

impl InputBuffer {
    /// Whether no request has begun.
    pub(super) fn is_empty(&self) -> bool {
        self.bytes.is_empty() && self.bytes_to_skip == 0
    }

    /// Whether the bytes of a rejected request are being discarded.
    pub(super) fn is_skipping(&self) -> bool {
        self.bytes_to_skip > 0
    }

    /// Number of bytes that are buffered.
    pub(super) fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Takes the next request from the buffer.
    ///
    /// # Errors
    ///
    /// The first violation of the protocol.
    pub(super) fn next(&mut self) -> Result<Input, ProtocolError> {
        let skipped = self.bytes_to_skip.min(self.bytes.len());
        self.bytes.advance(skipped);
        self.bytes_to_skip -= skipped;
        if self.bytes_to_skip > 0 {
            return Ok(Input::Incomplete);
        }
        // The request is not examined again while its bytes arrive.
        if self.long_request.is_some_and(|length| self.len() < length) {
            return Ok(Input::Incomplete);
        }
        match find_frame(&self.bytes)? {
            Frame::Incomplete => Ok(Input::Incomplete),
            Frame::IncompleteLong { length } => Ok(Input::NeedsSpace { length }),
            Frame::BodyTooLong { length } => {
                self.bytes_to_skip = length;
                Ok(Input::BodyTooLong)
            }
            Frame::Complete { length } => self.take_request(length).map(Input::Request),
        }
    }

    fn take_request(&mut self, length: usize) -> Result<BufferedRequest, ProtocolError> {
        let frame = if self.long_request.take().is_some() {
            std::mem::take(&mut self.bytes)
        } else {
            self.bytes.split_to(length)
        };
        let parts = decode_request(frame)?;
        Ok(BufferedRequest { parts, length })
    }

    /// Makes space for exactly the long request of `length` bytes at the start of the buffer.
    pub(super) fn reserve_long_request(&mut self, length: usize) {
        let mut bytes = BytesMut::with_capacity(length);
        bytes.extend_from_slice(&self.bytes);
        self.bytes = bytes;
        self.long_request = Some(length);
    }

    /// The buffer to read into; reads must not exceed its free capacity.
    pub(super) fn prepare_read(&mut self) -> &mut BytesMut {
        if self.long_request.is_none() && self.bytes.capacity() < MAX_SHORT_REQUEST_BYTES {
            let mut bytes = BytesMut::with_capacity(MAX_SHORT_REQUEST_BYTES);
            bytes.extend_from_slice(&self.bytes);
            self.bytes = bytes;
        }
        &mut self.bytes
    }

    /// Frees the memory of an empty buffer.
    pub(super) fn release_if_empty(&mut self) {
        if self.is_empty() {
            self.bytes = BytesMut::new();
        }
    }
}
