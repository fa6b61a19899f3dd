//! Random-access files that outlive processes. Writes are visible at once, as in a page cache; a kill during a write
//! leaves a part of it.

use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use runtime::RandomAccessFile;

use super::process_lifetime::{EffectStep, ProcessLifetime};

/// A random-access file on a disk.
#[derive(Clone, Debug, Default)]
pub(super) struct PageFile {
    bytes: Arc<Mutex<Vec<u8>>>,
    /// Whether the file is prevented from growing.
    is_full: Arc<AtomicBool>,
}

impl PageFile {
    pub fn set_full(&self, full: bool) {
        self.is_full.store(full, Ordering::SeqCst);
    }

    /// Flips a bit at an offset modulo the file's length.
    pub fn flip_bit(&self, offset: u64) {
        let mut bytes = self.bytes();
        if let Some(offset) = offset.checked_rem(bytes.len() as u64) {
            bytes[offset as usize] ^= 1 << (offset % 8);
        }
    }

    fn bytes(&self) -> MutexGuard<'_, Vec<u8>> {
        self.bytes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_full(&self) -> bool {
        self.is_full.load(Ordering::SeqCst)
    }
}

/// A random-access file that a process has open.
#[derive(Debug)]
pub struct SimulatedRandomAccessFile {
    file: PageFile,
    /// None for the [`super::WORLD`] process, which is never killed.
    lifetime: Option<Arc<ProcessLifetime>>,
}

impl SimulatedRandomAccessFile {
    pub(super) fn new(file: PageFile, lifetime: Option<Arc<ProcessLifetime>>) -> Self {
        SimulatedRandomAccessFile { file, lifetime }
    }

    /// Returns how many of `length` bytes a write at an offset stores; an error if the process is dead.
    fn write_limit(&self, length: usize, offset: u64) -> io::Result<usize> {
        let step = self
            .lifetime
            .as_ref()
            .map_or(EffectStep::Done, |lifetime| lifetime.step());
        match step {
            EffectStep::Done => Ok(length),
            // The length of a torn write depends only on the write's offset and length. It cannot be drawn from the
            // seed, because other threads write too and the order of draws would vary.
            EffectStep::Killed => Ok((offset / 7 + length as u64 / 3) as usize % (length + 1)),
            EffectStep::Dead => Err(io::ErrorKind::Other.into()),
        }
    }
}

impl RandomAccessFile for SimulatedRandomAccessFile {
    fn length(&self) -> io::Result<u64> {
        Ok(self.file.bytes().len() as u64)
    }

    fn read_at(&self, at: u64, into: &mut [u8]) -> io::Result<()> {
        let bytes = self.file.bytes();
        let wanted = bytes
            .get(at as usize..)
            .and_then(|rest| rest.get(..into.len()));
        into.copy_from_slice(wanted.ok_or(io::ErrorKind::UnexpectedEof)?);
        Ok(())
    }

    fn write_at(&self, at: u64, text: &[u8]) -> io::Result<()> {
        let written = self.write_limit(text.len(), at)?;
        let mut bytes = self.file.bytes();
        let end = at as usize + written;
        if end > bytes.len() {
            if self.file.is_full() {
                return Err(io::ErrorKind::StorageFull.into());
            }
            bytes.resize(end, 0);
        }
        bytes[at as usize..end].copy_from_slice(&text[..written]);
        if written < text.len() {
            return Err(io::ErrorKind::Other.into());
        }
        Ok(())
    }

    fn set_length(&self, length: u64) -> io::Result<()> {
        if self.write_limit(1, length)? == 0 {
            return Err(io::ErrorKind::Other.into());
        }
        let mut bytes = self.file.bytes();
        if length as usize > bytes.len() && self.file.is_full() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        bytes.resize(length as usize, 0);
        Ok(())
    }

    fn sync(&self) -> io::Result<()> {
        let is_alive = self
            .lifetime
            .as_ref()
            .is_none_or(|lifetime| lifetime.is_alive());
        if is_alive {
            Ok(())
        } else {
            Err(io::ErrorKind::Other.into())
        }
    }
}
