//! Open files.

use std::fmt;
use std::io::{self, Read, Seek, Write};

/// An open file. A write may be short, or fail after a part of it was written.
pub trait File: Read + Write + Seek + 'static {
    /// Truncates the file to a length in bytes.
    ///
    /// # Errors
    /// As the file system's.
    fn set_len(&self, length: u64) -> io::Result<()>;
}

/// A file that is read and written at any position, as an embedded database does. It may be used by other threads.
pub trait RandomAccessFile: fmt::Debug + Send + Sync + 'static {
    /// The length in bytes.
    ///
    /// # Errors
    /// As the file system's.
    fn length(&self) -> io::Result<u64>;

    /// Fills the buffer with the bytes from a position on.
    ///
    /// # Errors
    /// `UnexpectedEof` if the file ends before the buffer is full.
    fn read_at(&self, at: u64, into: &mut [u8]) -> io::Result<()>;

    /// Writes all bytes at a position.
    ///
    /// # Errors
    /// As the file system's; a part may then be written.
    fn write_at(&self, at: u64, bytes: &[u8]) -> io::Result<()>;

    /// Truncates the file to a length in bytes, or extends it with zeros.
    ///
    /// # Errors
    /// As the file system's.
    fn set_length(&self, length: u64) -> io::Result<()>;

    /// Returns once everything that was written would survive a crash of the machine.
    ///
    /// # Errors
    /// As the file system's; what was written since the last call may then be lost.
    fn sync(&self) -> io::Result<()>;
}
