//! Files of the operating system.

use std::io;
use std::os::unix::fs::FileExt;

use crate::{File, RandomAccessFile};

impl File for std::fs::File {
    fn set_len(&self, length: u64) -> io::Result<()> {
        std::fs::File::set_len(self, length)
    }
}

impl RandomAccessFile for std::fs::File {
    fn length(&self) -> io::Result<u64> {
        Ok(self.metadata()?.len())
    }

    fn read_at(&self, at: u64, into: &mut [u8]) -> io::Result<()> {
        FileExt::read_exact_at(self, into, at)
    }

    fn write_at(&self, at: u64, bytes: &[u8]) -> io::Result<()> {
        FileExt::write_all_at(self, bytes, at)
    }

    fn set_length(&self, length: u64) -> io::Result<()> {
        self.set_len(length)
    }

    fn sync(&self) -> io::Result<()> {
        self.sync_data()
    }
}
