//! RESP2 framing of requests, without I/O.
//!
//! A request is an array of bulk strings. Its end is found, and its limits are checked, before it is decoded: the
//! decoder itself would accept arrays nested to any depth and counts of millions, and would need a complete body in memory
//! before it could be rejected.

#[cfg(test)]
mod tests;

use bytes::{Bytes, BytesMut};
use redis_protocol::resp2::decode::decode_bytes_mut;
use redis_protocol::resp2::types::BytesFrame;
use thiserror::Error;

/// The longest body of a message, which is the last part of a request.
const MAX_BODY_BYTES: usize = 64 << 10;
/// The longest request without its last part.
const MAX_BYTES_BEFORE_BODY: usize = 4 << 10;
/// The most parts that a request may have.
const MAX_REQUEST_PARTS: usize = 16;
/// The most digits of a count or length.
const MAX_LENGTH_DIGITS: usize = 12;
/// Ends each line and each bulk string.
const LINE_END: &[u8] = b"\r\n";

/// What a connection's input begins with.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Frame {
    /// The beginning of a request, or nothing.
    Incomplete,
    /// A request.
    Complete {
        /// Its length in bytes.
        length: usize,
    },
    /// A request whose body exceeds the limit. It is to be skipped, and need not be kept in memory for that.
    BodyTooLong {
        /// Its length in bytes, of which most may not have arrived.
        length: usize,
    },
}

/// Input that no request can follow, as the end of the request is unknown. The message is the text of the error reply.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub(super) enum ProtocolError {
    /// The input is no array, or one of its parts is no bulk string.
    #[error("protocol error: no array of bulk strings")]
    NotAnArrayOfBulkStrings,
    /// A count or length is no number, or has too many digits.
    #[error("protocol error: no count")]
    InvalidLength,
    /// The array is empty or has too many parts.
    #[error("protocol error: wrong number of parts")]
    InvalidPartCount,
    /// A part exceeds the limit, and is not the body of an otherwise valid request.
    #[error("protocol error: a part is too long")]
    PartTooLong,
    /// There is no line break where a part's length puts its end.
    #[error("protocol error: a part is not as long as told")]
    PartLengthMismatch,
    /// The decoder finds no array.
    #[error("protocol error: no request")]
    NotARequest,
    /// The rest of a request did not arrive in time.
    #[error("protocol error: the request did not come whole")]
    RequestTimeout,
}

/// Finds the end of the request at the start of `input`.
///
/// # Errors
///
/// The first violation of the protocol or of a limit that the input received so far shows.
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
            return Ok(Frame::Incomplete);
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
/// [`ProtocolError::NotARequest`] if the bytes are not exactly what [`find_frame`] calls a complete request.
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
    /// Where the next line begins.
    end: usize,
    /// The number.
    length: usize,
}

/// Parses the line that begins at `start`; none if it has not arrived completely.
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
