//! Decodes a stream of host lists, without I/O.
//!
//! Lists are consecutive JSON objects, each on one line or indented over several. They arrive in chunks of any size.

#[cfg(test)]
mod tests;

use bytes::{Buf, BytesMut};
use relay_events::HostList;

use super::error::InvalidListError;

/// One item of the stream.
#[derive(Debug, PartialEq)]
pub enum StreamItem {
    /// A full snapshot of the host list, or changes to it.
    List(HostList),
    /// An empty line: the list has not changed.
    Heartbeat,
}

/// Splits a stream into items. Each byte is examined once.
pub struct ListDecoder {
    /// Maximum size of a list in bytes.
    max_list_bytes: usize,
    buffer: BytesMut,
    /// Number of bytes at the start of `buffer` that have been examined.
    examined: usize,
    /// Number of open brackets and braces after the examined bytes.
    depth: usize,
    is_in_string: bool,
    is_after_backslash: bool,
    /// Whether the current line within a list contains only blanks so far.
    is_line_empty: bool,
}

impl ListDecoder {
    /// Creates a decoder of lists of up to `max_list_bytes` bytes.
    pub fn new(max_list_bytes: usize) -> Self {
        ListDecoder {
            max_list_bytes,
            buffer: BytesMut::new(),
            examined: 0,
            depth: 0,
            is_in_string: false,
            is_after_backslash: false,
            is_line_empty: false,
        }
    }

    /// Adds bytes that were received.
    pub fn extend(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether a list has begun but is not complete.
    pub fn is_in_list(&self) -> bool {
        self.depth > 0
    }

    /// Returns the next complete item, or `None` if more bytes are needed.
    ///
    /// The decoder cannot continue after an error, because the start of the next item is unknown.
    pub fn next_item(&mut self) -> Result<Option<StreamItem>, InvalidListError> {
        while let Some(byte) = self.buffer.get(self.examined).copied() {
            self.examined += 1;
            if self.examined > self.max_list_bytes {
                return Err(InvalidListError::TooLong);
            }
            let item = if self.is_in_string {
                self.examine_in_string(byte)?;
                None
            } else if self.depth > 0 {
                self.examine_in_list(byte)?
            } else {
                self.examine_between_lists(byte)?
            };
            if item.is_some() {
                return Ok(item);
            }
        }
        Ok(None)
    }

    fn examine_in_string(&mut self, byte: u8) -> Result<(), InvalidListError> {
        // JSON strings contain no line ends, so this list was truncated.
        if byte == b'\n' {
            return Err(InvalidListError::Truncated);
        }
        if std::mem::take(&mut self.is_after_backslash) {
            return Ok(());
        }
        match byte {
            b'\\' => self.is_after_backslash = true,
            b'"' => self.is_in_string = false,
            _ => {}
        }
        Ok(())
    }

    fn examine_in_list(&mut self, byte: u8) -> Result<Option<StreamItem>, InvalidListError> {
        let was_line_empty = std::mem::take(&mut self.is_line_empty);
        match byte {
            b'"' => self.is_in_string = true,
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' if self.depth > 1 => self.depth -= 1,
            b'}' => return self.end_list().map(Some),
            // An empty line is a heartbeat, which discovery sends between lists only.
            b'\n' if was_line_empty => return Err(InvalidListError::Truncated),
            b'\n' => self.is_line_empty = true,
            b' ' | b'\t' | b'\r' => self.is_line_empty = was_line_empty,
            _ => {}
        }
        Ok(None)
    }

    fn examine_between_lists(&mut self, byte: u8) -> Result<Option<StreamItem>, InvalidListError> {
        match byte {
            b'{' => self.depth = 1,
            b'\n' => {
                self.buffer.advance(std::mem::take(&mut self.examined));
                return Ok(Some(StreamItem::Heartbeat));
            }
            b' ' | b'\t' | b'\r' => {}
            _ => return Err(InvalidListError::NotAList),
        }
        Ok(None)
    }

    fn end_list(&mut self) -> Result<StreamItem, InvalidListError> {
        let list = self.buffer.split_to(self.examined);
        self.examined = 0;
        self.depth = 0;
        Ok(StreamItem::List(serde_json::from_slice(&list)?))
    }
}
