//! Extracts the status code from the bytes of an HTTP/1 response, without I/O.

#[cfg(test)]
mod tests;

/// Parses the status line of a response incrementally, skipping informational (1xx) responses.
///
/// The HTTP library reports no status if a response is malformed after its first line. A message whose response began
/// with status 200 was delivered nevertheless, so the status is parsed separately here.
#[derive(Default)]
pub(super) struct StatusLineParser {
    status: Option<u16>,
    bytes_read: usize,
    line: Vec<u8>,
    is_in_informational_head: bool,
}

impl StatusLineParser {
    /// The status that stands for a first line that is malformed or too long.
    pub(super) const INVALID_STATUS: u16 = 0;

    /// Maximum length of the first line; a longer one counts as malformed.
    const MAX_LINE_BYTES: usize = 1024;

    /// The status code of the response, or [`Self::INVALID_STATUS`]; `None` while its first line is incomplete.
    pub(super) fn status(&self) -> Option<u16> {
        self.status
    }

    /// The number of bytes passed to [`Self::push`].
    pub(super) fn bytes_read(&self) -> usize {
        self.bytes_read
    }

    /// Whether a byte of the final response has arrived.
    pub(super) fn has_started(&self) -> bool {
        self.status.is_some() || !self.is_in_informational_head && !self.line.is_empty()
    }

    /// Processes bytes that were read from the connection.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.bytes_read += bytes.len();
        for byte in bytes {
            if self.status.is_some() {
                return;
            }
            if *byte == b'\n' {
                self.end_line();
                continue;
            }
            self.line.push(*byte);
            if self.line.len() > Self::MAX_LINE_BYTES {
                self.status = Some(Self::INVALID_STATUS);
            }
        }
    }

    fn end_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        let line = line.strip_suffix(b"\r").unwrap_or(&line);
        if self.is_in_informational_head {
            self.is_in_informational_head = !line.is_empty();
            return;
        }
        match parse_status_line(line) {
            Some(100..=199) => self.is_in_informational_head = true,
            status => self.status = Some(status.unwrap_or(Self::INVALID_STATUS)),
        }
    }
}

/// The status code of a line such as `HTTP/1.1 200 OK`; `None` if the line is malformed.
fn parse_status_line(line: &[u8]) -> Option<u16> {
    let after_version = line
        .strip_prefix(b"HTTP/1.1 ")
        .or_else(|| line.strip_prefix(b"HTTP/1.0 "))?;
    let (code, after_code) = after_version.split_at_checked(3)?;
    let is_terminated = after_code.first().is_none_or(|byte| *byte == b' ');
    if !is_terminated || !code.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(code).ok()?.parse().ok()
}
