//! Files that outlive processes, on a disk that can be full, perform short writes, or have a write cut off by a kill.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use super::page_file::PageFile;

/// The bytes of a file, shared with the processes that have it open.
pub(super) type Inode = Rc<RefCell<Vec<u8>>>;

/// Size of a disk block in bytes: the unit in which [`Disk::allocated_bytes`] counts.
const BLOCK_BYTES: u64 = 512;

/// All files of a node, by path.
#[derive(Default)]
pub struct Disk {
    files: BTreeMap<PathBuf, Inode>,
    page_files: BTreeMap<PathBuf, PageFile>,
    /// Free space in bytes that all files share; none if unlimited. Page files are not counted.
    pub free_bytes: Option<u64>,
    /// Percentage of writes that are short.
    pub short_write_percent: u64,
}

impl Disk {
    /// Stores a file, ignoring any faults of the disk.
    pub fn put(&mut self, path: impl Into<PathBuf>, contents: Vec<u8>) {
        self.files
            .insert(path.into(), Rc::new(RefCell::new(contents)));
    }

    /// Returns the total size in bytes of the files below a folder, each rounded up to whole blocks.
    #[must_use]
    pub fn allocated_bytes(&self, folder: &Path) -> u64 {
        let below = self
            .files
            .iter()
            .filter(|(path, _)| path.starts_with(folder));
        below
            .map(|(_, inode)| (inode.borrow().len() as u64).div_ceil(BLOCK_BYTES) * BLOCK_BYTES)
            .sum()
    }

    /// Returns a file's bytes; none if the file does not exist.
    #[must_use]
    pub fn contents(&self, path: &Path) -> Option<Vec<u8>> {
        self.files.get(path).map(|inode| inode.borrow().clone())
    }

    /// Flips a bit at an offset modulo the file's length. Does nothing if the file is missing or empty.
    pub fn flip_bit(&mut self, path: &Path, offset: u64) {
        let Some(inode) = self.files.get(path) else {
            return;
        };
        let mut file = inode.borrow_mut();
        if let Some(offset) = offset.checked_rem(file.len() as u64) {
            file[offset as usize] ^= 1 << (offset % 8);
        }
    }

    /// Truncates a file at an offset modulo its length.
    pub fn truncate(&mut self, path: &Path, offset: u64) {
        let Some(inode) = self.files.get(path).cloned() else {
            return;
        };
        let length = inode.borrow().len() as u64;
        self.resize(&inode, offset.checked_rem(length).unwrap_or(0) as usize);
    }

    /// Sets whether the existing page files are prevented from growing.
    pub fn set_page_files_full(&mut self, full: bool) {
        self.page_files
            .values()
            .for_each(|file| file.set_full(full));
    }

    /// Flips a bit of a page file at an offset modulo its length.
    pub fn flip_page_file_bit(&mut self, path: &Path, offset: u64) {
        if let Some(file) = self.page_files.get(path) {
            file.flip_bit(offset);
        }
    }

    /// Opens a page file; creates it if it does not exist.
    pub(super) fn open_page_file(&mut self, path: &Path) -> PageFile {
        self.page_files.entry(path.into()).or_default().clone()
    }

    /// Opens a file; creates it if it does not exist.
    pub(super) fn open(&mut self, path: &Path) -> Inode {
        self.files.entry(path.into()).or_default().clone()
    }

    /// Opens a file and truncates it to zero length; creates it if it does not exist.
    pub(super) fn create(&mut self, path: &Path) -> Inode {
        let inode = self.open(path);
        self.resize(&inode, 0);
        inode
    }

    pub(super) fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()> {
        if let Some(file) = self.page_files.remove(from) {
            self.page_files.insert(to.into(), file);
            return Ok(());
        }
        let inode = self.files.remove(from).ok_or(io::ErrorKind::NotFound)?;
        let replaced = self.files.insert(to.into(), inode);
        self.release(replaced.map_or(0, |inode| inode.borrow().len()));
        Ok(())
    }

    pub(super) fn remove(&mut self, path: &Path) -> io::Result<()> {
        let removed = self.files.remove(path).ok_or(io::ErrorKind::NotFound)?;
        self.release(removed.borrow().len());
        Ok(())
    }

    /// Truncates a file, or extends it with zeros.
    pub(super) fn resize(&mut self, inode: &Inode, length: usize) {
        let before = inode.borrow().len();
        self.release(before.saturating_sub(length));
        inode.borrow_mut().resize(length, 0);
    }

    /// Returns bytes of a file to the free space.
    fn release(&mut self, bytes: usize) {
        if let Some(free) = &mut self.free_bytes {
            *free += bytes as u64;
        }
    }

    /// Writes at most `max_bytes` of `bytes` at an offset, limited by the free space. Returns the number written.
    ///
    /// # Errors
    ///
    /// Returns `StorageFull` if there is no space for the first byte.
    pub(super) fn write(
        &mut self,
        inode: &Inode,
        offset: u64,
        bytes: &[u8],
        max_bytes: usize,
    ) -> io::Result<usize> {
        let offset = offset as usize;
        let length_before = inode.borrow().len();
        let free = self.free_bytes.map_or(usize::MAX, |free| {
            usize::try_from(free).unwrap_or(usize::MAX)
        });
        let writable = length_before.saturating_add(free).saturating_sub(offset);
        let count = bytes.len().min(max_bytes).min(writable);
        if count == 0 && !bytes.is_empty() && max_bytes > 0 {
            return Err(io::ErrorKind::StorageFull.into());
        }
        let mut file = inode.borrow_mut();
        if file.len() < offset + count {
            file.resize(offset + count, 0);
        }
        file[offset..offset + count].copy_from_slice(&bytes[..count]);
        if let Some(free) = &mut self.free_bytes {
            *free -= (file.len() - length_before) as u64;
        }
        Ok(count)
    }
}
