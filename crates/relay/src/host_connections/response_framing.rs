//! Finds the ends of HTTP/1 responses in the bytes of a connection, without I/O.

#[cfg(test)]
mod tests;

use hyper::http::{HeaderName, HeaderValue};
use hyper::Response;

/// Maximum size in bytes of the head of a response that is examined.
const HEAD_MAX_BYTES: usize = 32 << 10;
/// Maximum number of header lines.
const MAX_HEADERS: usize = 100;
/// Maximum length in bytes of a line of a chunked body that is not content.
const CHUNK_LINE_MAX_BYTES: usize = 1024;

/// Number of bytes at the beginning of a response by which it is told from others.
const START_MAX_BYTES: usize = 128;

/// The part of a response that is expected next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Expected {
    Head,
    /// The rest of a body of known length.
    Body(u64),
    /// The line with the size of a chunk.
    ChunkSize,
    /// The rest of a chunk, including the line end behind it.
    Chunk(u64),
    /// A line behind the last chunk.
    Trailer,
    /// Nothing; the response is complete.
    Nothing,
    /// Everything until the connection ends, because the body has no length or the response is malformed.
    Everything,
}

/// The head of a response, without a body.
pub(super) type ResponseHead = Response<()>;

/// The incremental parser of one response. Informational (1xx) responses before it are skipped.
#[derive(Debug)]
pub(super) struct ResponseFraming {
    expected: Expected,
    /// The bytes of the head, or of the current line of a chunked body.
    line: Vec<u8>,
    head: Option<ResponseHead>,
    /// The beginning of the response, once its head is complete.
    start: Vec<u8>,
}

impl Default for ResponseFraming {
    fn default() -> Self {
        ResponseFraming {
            expected: Expected::Head,
            line: Vec::new(),
            head: None,
            start: Vec::new(),
        }
    }
}

impl ResponseFraming {
    /// Whether the end of the response has been found.
    pub(super) fn is_complete(&self) -> bool {
        self.expected == Expected::Nothing
    }

    /// Whether the response ends with its connection, so that no later one can be told from it.
    pub(super) fn is_unbounded(&self) -> bool {
        self.expected == Expected::Everything
    }

    /// Whether the response ends after a body of at most `max_body_bytes`, as far as it has arrived. After a response that
    /// does not, no other request is sent on its connection.
    pub(super) fn may_precede_another(&self, max_body_bytes: u64) -> bool {
        match self.expected {
            Expected::Everything => false,
            Expected::Body(rest) => rest <= max_body_bytes,
            _ => true,
        }
    }

    /// Up to [`START_MAX_BYTES`] of the beginning of the response, as far as it has arrived.
    pub(super) fn start(&self) -> &[u8] {
        let start = if self.head.is_some() {
            &self.start
        } else {
            &self.line
        };
        &start[..start.len().min(START_MAX_BYTES)]
    }

    /// The head, once it is complete and if it is valid.
    pub(super) fn head(&self) -> Option<&ResponseHead> {
        self.head.as_ref()
    }

    /// Processes bytes, and returns how many of them belong to the response.
    pub(super) fn push(&mut self, bytes: &[u8]) -> usize {
        let mut used = 0;
        while used < bytes.len() && !self.is_complete() {
            used += self.push_part(&bytes[used..]);
        }
        used
    }

    /// Processes bytes of the part that is expected, and returns their number.
    fn push_part(&mut self, bytes: &[u8]) -> usize {
        match self.expected {
            Expected::Nothing => 0,
            Expected::Everything => bytes.len(),
            Expected::Body(rest) | Expected::Chunk(rest) => self.push_content(rest, bytes.len()),
            Expected::Head | Expected::ChunkSize | Expected::Trailer => self.push_line(bytes),
        }
    }

    fn push_content(&mut self, rest: u64, available: usize) -> usize {
        let used = rest.min(available as u64);
        let rest = rest - used;
        self.expected = match self.expected {
            Expected::Body(_) if rest == 0 => Expected::Nothing,
            Expected::Body(_) => Expected::Body(rest),
            _ if rest == 0 => Expected::ChunkSize,
            _ => Expected::Chunk(rest),
        };
        used as usize
    }

    /// Processes bytes up to the next line end.
    fn push_line(&mut self, bytes: &[u8]) -> usize {
        let line_end = bytes.iter().position(|byte| *byte == b'\n');
        let used = line_end.map_or(bytes.len(), |at| at + 1);
        self.line.extend_from_slice(&bytes[..used]);
        let max_bytes = if self.expected == Expected::Head {
            HEAD_MAX_BYTES
        } else {
            CHUNK_LINE_MAX_BYTES
        };
        if self.line.len() > max_bytes {
            self.expect_everything();
        } else if line_end.is_some() {
            self.end_line();
        }
        used
    }

    fn end_line(&mut self) {
        match self.expected {
            Expected::Head => self.parse_head(),
            Expected::ChunkSize => self.parse_chunk_size(),
            _ => {
                let is_empty = self.line.iter().all(u8::is_ascii_whitespace);
                self.line.clear();
                if is_empty {
                    self.expected = Expected::Nothing;
                }
            }
        }
    }

    /// Parses the head if its last line has arrived.
    fn parse_head(&mut self) {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Response::new(&mut headers);
        match parsed.parse(&self.line) {
            Ok(httparse::Status::Partial) => {}
            Ok(httparse::Status::Complete(_)) => match to_head(&parsed) {
                Some(head) => self.end_head(head),
                None => self.expect_everything(),
            },
            Err(_) => self.expect_everything(),
        }
    }

    fn end_head(&mut self, head: ResponseHead) {
        let mut start = std::mem::take(&mut self.line);
        start.truncate(START_MAX_BYTES);
        if head.status().is_informational() {
            return;
        }
        self.expected = body_of(&head);
        self.start = start;
        self.head = Some(head);
    }

    fn parse_chunk_size(&mut self) {
        let line = std::mem::take(&mut self.line);
        let size = std::str::from_utf8(&line)
            .ok()
            .and_then(|text| text.split(';').next())
            .and_then(|text| u64::from_str_radix(text.trim(), 16).ok());
        match size {
            Some(0) => self.expected = Expected::Trailer,
            // The content is followed by a line end.
            Some(size) => self.expected = Expected::Chunk(size.saturating_add(2)),
            None => self.expect_everything(),
        }
    }

    fn expect_everything(&mut self) {
        self.line = Vec::new();
        self.expected = Expected::Everything;
    }
}

fn to_head(parsed: &httparse::Response<'_, '_>) -> Option<ResponseHead> {
    let mut head = Response::builder().status(parsed.code?).body(()).ok()?;
    for header in parsed.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        let value = HeaderValue::from_bytes(header.value).ok()?;
        head.headers_mut().append(name, value);
    }
    Some(head)
}

/// The body that a head announces (RFC 9112, section 6.3). One whose length is ambiguous lasts until the connection ends.
fn body_of(head: &ResponseHead) -> Expected {
    if matches!(head.status().as_u16(), 204 | 304) {
        return Expected::Nothing;
    }
    let mut encodings = head.headers().get_all("transfer-encoding").iter();
    if let Some(encoding) = encodings.next() {
        let is_chunked = encoding.as_bytes().eq_ignore_ascii_case(b"chunked");
        return if is_chunked && encodings.next().is_none() {
            Expected::ChunkSize
        } else {
            Expected::Everything
        };
    }
    let mut lengths = head.headers().get_all("content-length").iter();
    let length = lengths
        .next()
        .and_then(|length| length.to_str().ok()?.trim().parse().ok());
    match length {
        Some(_) if lengths.next().is_some() => Expected::Everything,
        Some(0) => Expected::Nothing,
        Some(length) => Expected::Body(length),
        None => Expected::Everything,
    }
}
