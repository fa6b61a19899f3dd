//! Open files.

use std::fmt;
use std::io::{self, Read, Seek, Write};

/// An open file. A write may be short, or fail after a part of the bytes was written.
pub trait File: Read + Write + Seek + 'static {
    /// Truncates the file to a length in bytes.
    ///
    /// # Errors
    /// Any error of the file system.
    fn set_len(&self, length: u64) -> io::Result<()>;
}

/// A file that is read and written at any position, as by an embedded database. Other threads may use it.
pub trait RandomAccessFile: fmt::Debug + Send + Sync + 'static {
    /// The length in bytes.
    ///
    /// # Errors
    /// Any error of the file system.
    fn length(&self) -> io::Result<u64>;

    /// Fills the buffer with the bytes from a position on.
    ///
    /// # Errors
    /// `UnexpectedEof` if the file ends before the buffer is full.
    fn read_at(&self, at: u64, into: &mut [u8]) -> io::Result<()>;

    /// Writes all bytes at a position.
    ///
    /// # Errors
    /// Any error of the file system; some of the bytes may have been written.
    fn write_at(&self, at: u64, bytes: &[u8]) -> io::Result<()>;

    /// Truncates the file to a length in bytes, or extends it with zeros.
    ///
    /// # Errors
    /// Any error of the file system.
    fn set_length(&self, length: u64) -> io::Result<()>;

    /// Flushes all writes to disk, and returns once they would survive a crash of the machine.
    ///
    /// # Errors
    /// Any error of the file system; the writes since the last successful call may then be lost.
    fn sync(&self) -> io::Result<()>;
}
