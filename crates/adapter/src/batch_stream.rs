//! Reads a stream of batches and writes a stream of replies.

use std::io::{self, Read, Write};

use thiserror::Error;

use crate::protocol::{parse_batch_header, Adapter, ProtocolError, BATCH_HEADER_BYTES};

/// An error that stops the adapter before the end of its input.
#[derive(Debug, Error)]
pub enum BatchStreamError {
    /// The input cannot be read.
    #[error("cannot read standard input: {0}")]
    Read(#[source] io::Error),
    /// The output cannot be written.
    #[error("cannot write standard output: {0}")]
    Write(#[source] io::Error),
    /// The input ends within the header of a batch.
    #[error("input ends within a header, after {received} of {BATCH_HEADER_BYTES} bytes")]
    TruncatedHeader {
        /// Bytes of the header that were read.
        received: usize,
    },
    /// The input ends within the payload of a batch.
    #[error("input ends within a frame, after {received} of {length} bytes")]
    TruncatedPayload {
        /// Bytes of the payload that were read.
        received: usize,
        /// Length of the payload according to the header.
        length: usize,
    },
    /// The payload of a batch is not valid.
    #[error(transparent)]
    Protocol(#[from] ProtocolError),
}

/// Writes one reply for each batch of the input, until the input ends.
///
/// # Errors
///
/// The first error of the input, of the output or of a batch. There is no reply to a batch that is not valid.
pub fn run(mut input: impl Read, mut output: impl Write) -> Result<(), BatchStreamError> {
    let mut adapter = Adapter::default();
    let mut payload = Vec::new();
    while let Some(header) = read_header(&mut input)? {
        let header = parse_batch_header(&header);
        read_payload(&mut input, header.payload_length, &mut payload)?;
        let reply = adapter.handle_batch(header.now, &payload)?;
        output
            .write_all(&reply)
            .and_then(|()| output.flush())
            .map_err(BatchStreamError::Write)?;
    }
    Ok(())
}

/// Reads the header of the next batch; `None` at the end of the input.
fn read_header(
    input: &mut impl Read,
) -> Result<Option<[u8; BATCH_HEADER_BYTES]>, BatchStreamError> {
    let mut header = [0; BATCH_HEADER_BYTES];
    let received = read_up_to(input, &mut header).map_err(BatchStreamError::Read)?;
    match received {
        0 => Ok(None),
        BATCH_HEADER_BYTES => Ok(Some(header)),
        _ => Err(BatchStreamError::TruncatedHeader { received }),
    }
}

/// Reads a payload into a buffer, replacing the buffer's content.
fn read_payload(
    input: &mut impl Read,
    length: usize,
    payload: &mut Vec<u8>,
) -> Result<(), BatchStreamError> {
    payload.clear();
    input
        .take(length as u64)
        .read_to_end(payload)
        .map_err(BatchStreamError::Read)?;
    let received = payload.len();
    if received < length {
        return Err(BatchStreamError::TruncatedPayload { received, length });
    }
    Ok(())
}

/// Reads until the buffer is full or the input ends; returns the number of bytes read.
fn read_up_to(input: &mut impl Read, buffer: &mut [u8]) -> io::Result<usize> {
    let mut received = 0;
    while received < buffer.len() {
        match input.read(&mut buffer[received..]) {
            Ok(0) => break,
            Ok(length) => received += length,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(received)
}
