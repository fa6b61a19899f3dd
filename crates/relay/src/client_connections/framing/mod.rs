//! RESP2 framing of requests, without I/O.
//!
//! A request is an array of bulk strings. Its length and limits are checked before it is decoded, because the decoder
//! accepts arrays nested to any depth and counts of millions, and needs a complete body in memory before the body could
//! be rejected.

#[cfg(test)]
mod tests;

use bytes::{Bytes, BytesMut};
use redis_protocol::resp2::decode::decode_bytes_mut;
use redis_protocol::resp2::types::BytesFrame;
use thiserror::Error;

/// Maximum size of a message body, which is the last part of a request.
const MAX_BODY_BYTES: usize = 64 << 10;
/// Maximum size of a request without its last part.
const MAX_BYTES_BEFORE_BODY: usize = 4 << 10;
/// Input of this length either is malformed, or holds a complete request or the length of an incomplete one: the last length
/// line of a request ends within [`MAX_BYTES_BEFORE_BODY`], and a longer line is malformed.
pub(super) const MAX_SHORT_REQUEST_BYTES: usize = MAX_BYTES_BEFORE_BODY + 64;
/// Maximum length of a complete request in bytes.
pub(super) const MAX_REQUEST_BYTES: usize = MAX_BYTES_BEFORE_BODY + MAX_BODY_BYTES + LINE_END.len();
/// Maximum number of parts of a request.
const MAX_REQUEST_PARTS: usize = 16;
/// Maximum number of digits of a count or length.
const MAX_LENGTH_DIGITS: usize = 12;
/// Terminator of each line and each bulk string.
const LINE_END: &[u8] = b"\r\n";

/// The frame at the start of a connection's input.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Frame {
    /// No input, or a request that has not arrived completely.
    Incomplete,
    /// A valid request that is longer than [`MAX_SHORT_REQUEST_BYTES`] and has not arrived completely.
    IncompleteLong {
        /// Length of the request in bytes.
        length: usize,
    },
    /// A complete request.
    Complete {
        /// Length of the request in bytes.
        length: usize,
    },
    /// A request whose body exceeds the limit. The caller discards its bytes as they arrive instead of buffering them.
    BodyTooLong {
        /// Length of the request in bytes, most of which may not have arrived yet.
        length: usize,
    },
}

/// Malformed input. No further request can be read, because the end of the malformed one is unknown. The message is the
/// text of the error reply.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub(super) enum ProtocolError {
    /// The input is not an array, or one of its parts is not a bulk string.
    #[error("protocol error: no array of bulk strings")]
    NotAnArrayOfBulkStrings,
    /// A count or length is not a number, or has too many digits.
    #[error("protocol error: no count")]
    InvalidLength,
    /// The array is empty or has too many parts.
    #[error("protocol error: wrong number of parts")]
    InvalidPartCount,
    /// A part exceeds its limit and is not the body of an otherwise valid request.
    #[error("protocol error: a part is too long")]
    PartTooLong,
    /// A part is not followed by a line break at the position given by its length.
    #[error("protocol error: a part is not as long as told")]
    PartLengthMismatch,
    /// The decoder did not return an array.
    #[error("protocol error: no request")]
    NotARequest,
    /// The rest of a request did not arrive in time.
    #[error("protocol error: the request did not come whole")]
    RequestTimeout,
    /// The rest of a long request came more slowly than others, which needed its memory.
    #[error("protocol error: the request came too slowly")]
    RequestTooSlow,
}

/// Finds the end of the request at the start of `input`.
///
/// # Errors
///
/// The first violation of the protocol or of a limit in the input received so far.
pub(super) fn find_frame(input: &[u8]) -> Result<Frame, ProtocolError> {
    let Some(header) = parse_length_line(input, 0, b'*')? else {
        return Ok(Frame::Incomplete);
    };
    let part_count = header.length;
    if part_count == 0 || part_count > MAX_REQUEST_PARTS {
        return Err(ProtocolError::InvalidPartCount);
    }
    let mut position = header.end;
    for part in 1..=part_count {
        let Some(header) = parse_length_line(input, position, b'$')? else {
            return Ok(Frame::Incomplete);
        };
        let is_last = part == part_count;
        let end = header
            .end
            .saturating_add(header.length)
            .saturating_add(LINE_END.len());
        if is_last && header.length > MAX_BODY_BYTES && header.end <= MAX_BYTES_BEFORE_BODY {
            return Ok(Frame::BodyTooLong { length: end });
        }
        if exceeds_limits(&header, end, is_last) {
            return Err(ProtocolError::PartTooLong);
        }
        if input.len() < end {
            let is_long = is_last && end > MAX_SHORT_REQUEST_BYTES;
            return Ok(if is_long {
                Frame::IncompleteLong { length: end }
            } else {
                Frame::Incomplete
            });
        }
        if &input[end - LINE_END.len()..end] != LINE_END {
            return Err(ProtocolError::PartLengthMismatch);
        }
        position = end;
    }
    Ok(Frame::Complete { length: position })
}

/// Whether a part that ends at `end` is too long, or is too far from the start of its request.
fn exceeds_limits(header: &LengthLine, end: usize, is_last: bool) -> bool {
    header.length > MAX_BODY_BYTES
        || header.end > MAX_BYTES_BEFORE_BODY
        || (!is_last && end > MAX_BYTES_BEFORE_BODY)
}

/// Decodes the bytes of one complete request into its parts.
///
/// # Errors
///
/// [`ProtocolError::NotARequest`] if the bytes are not exactly one request that [`find_frame`] reports as complete.
pub(super) fn decode_request(mut frame: BytesMut) -> Result<Vec<Bytes>, ProtocolError> {
    let Ok(Some((BytesFrame::Array(parts), _, _))) = decode_bytes_mut(&mut frame) else {
        return Err(ProtocolError::NotARequest);
    };
    let parts = parts.into_iter().filter_map(|part| match part {
        BytesFrame::BulkString(bytes) => Some(bytes),
        _ => None,
    });
    Ok(parts.collect())
}

/// A line of a type byte and a number: an array's count of parts, or a bulk string's length in bytes.
struct LengthLine {
    /// Offset of the first byte after the line.
    end: usize,
    /// The number.
    length: usize,
}

/// Parses the line that begins at `start`; `None` if it has not arrived completely.
fn parse_length_line(
    input: &[u8],
    start: usize,
    type_byte: u8,
) -> Result<Option<LengthLine>, ProtocolError> {
    let line = input.get(start..).unwrap_or_default();
    let Some((first, rest)) = line.split_first() else {
        return Ok(None);
    };
    if *first != type_byte {
        return Err(ProtocolError::NotAnArrayOfBulkStrings);
    }
    let digit_count = rest.iter().take_while(|byte| byte.is_ascii_digit()).count();
    if digit_count > MAX_LENGTH_DIGITS || (digit_count == 0 && !rest.is_empty()) {
        return Err(ProtocolError::InvalidLength);
    }
    let (digits, terminator) = rest.split_at(digit_count);
    match terminator {
        [b'\r', b'\n', ..] => Ok(Some(LengthLine {
            end: start + 1 + digit_count + LINE_END.len(),
            length: parse_digits(digits)?,
        })),
        [] | [b'\r'] => Ok(None),
        _ => Err(ProtocolError::InvalidLength),
    }
}

fn parse_digits(digits: &[u8]) -> Result<usize, ProtocolError> {
    std::str::from_utf8(digits)
        .ok()
        .and_then(|digits| digits.parse().ok())
        .ok_or(ProtocolError::InvalidLength)
}
