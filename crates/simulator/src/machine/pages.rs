//! Files of pages that outlast processes. What a process writes is there at once, as in a page cache; a kill within a
//! write leaves a part of it.

use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use runtime::RandomAccessFile;

use super::life::{Life, Step};

/// A file of pages on a disk.
#[derive(Clone, Debug, Default)]
pub(super) struct PageFile {
    bytes: Arc<Mutex<Vec<u8>>>,
    /// It may not grow.
    full: Arc<AtomicBool>,
}

impl PageFile {
    pub fn fill(&self, full: bool) {
        self.full.store(full, Ordering::SeqCst);
    }

    /// Flips a bit at an offset modulo its length.
    pub fn flip(&self, at: u64) {
        let mut bytes = self.bytes.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(at) = at.checked_rem(bytes.len() as u64) {
            bytes[at as usize] ^= 1 << (at % 8);
        }
    }
}

/// A file of pages as a process has it open.
#[derive(Debug)]
pub struct SimulatedRandomAccessFile {
    file: PageFile,
    life: Option<Arc<Life>>,
}

impl SimulatedRandomAccessFile {
    pub(super) fn new(file: PageFile, life: Option<Arc<Life>>) -> Self {
        SimulatedRandomAccessFile { file, life }
    }

    /// How much of so many bytes is written; none by the dead.
    fn reach(&self, count: usize, at: u64) -> io::Result<usize> {
        match self.life.as_ref().map_or(Step::Done, |life| life.step()) {
            Step::Done => Ok(count),
            // Torn at any length, the same whenever the day is played.
            Step::Dies => Ok((at / 7 + count as u64 / 3) as usize % (count + 1)),
            Step::Dead => Err(io::ErrorKind::Other.into()),
        }
    }
}

impl RandomAccessFile for SimulatedRandomAccessFile {
    fn length(&self) -> io::Result<u64> {
        Ok(self
            .file
            .bytes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .len() as u64)
    }

    fn read_at(&self, at: u64, into: &mut [u8]) -> io::Result<()> {
        let bytes = self
            .file
            .bytes
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let from = bytes
            .get(at as usize..)
            .and_then(|rest| rest.get(..into.len()));
        into.copy_from_slice(from.ok_or(io::ErrorKind::UnexpectedEof)?);
        Ok(())
    }

    fn write_at(&self, at: u64, text: &[u8]) -> io::Result<()> {
        let reach = self.reach(text.len(), at)?;
        let mut bytes = self
            .file
            .bytes
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let end = at as usize + reach;
        if end > bytes.len() {
            if self.file.full.load(Ordering::SeqCst) {
                return Err(io::ErrorKind::StorageFull.into());
            }
            bytes.resize(end, 0);
        }
        bytes[at as usize..end].copy_from_slice(&text[..reach]);
        if reach < text.len() {
            return Err(io::ErrorKind::Other.into());
        }
        Ok(())
    }

    fn set_length(&self, length: u64) -> io::Result<()> {
        if self.reach(1, length)? == 0 {
            return Err(io::ErrorKind::Other.into());
        }
        let mut bytes = self
            .file
            .bytes
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if length as usize > bytes.len() && self.file.full.load(Ordering::SeqCst) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        bytes.resize(length as usize, 0);
        Ok(())
    }

    fn sync(&self) -> io::Result<()> {
        if self.life.as_ref().is_none_or(|life| life.alive()) {
            Ok(())
        } else {
            Err(io::ErrorKind::Other.into())
        }
    }
}
