//! Files that outlast processes, with a disk that can be full, write short, or be cut off by a kill.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use super::pages::PageFile;

pub(super) type Inode = Rc<RefCell<Vec<u8>>>;

/// All files by their path.
#[derive(Default)]
pub struct Disk {
    files: BTreeMap<PathBuf, Inode>,
    pages: BTreeMap<PathBuf, PageFile>,
    /// Bytes by which all files together may still grow; none for no bound.
    pub room: Option<u64>,
    /// Of a hundred writes so many are short.
    pub short: u64,
}

impl Disk {
    /// Puts a file there, whatever the faults.
    pub fn put(&mut self, path: impl Into<PathBuf>, text: Vec<u8>) {
        self.files.insert(path.into(), Rc::new(RefCell::new(text)));
    }

    /// Sum of the sizes below a folder, each file in whole blocks of 512 bytes.
    #[must_use]
    pub fn size(&self, folder: &Path) -> u64 {
        let below = self
            .files
            .iter()
            .filter(|(path, _)| path.starts_with(folder));
        below
            .map(|(_, inode)| (inode.borrow().len() as u64).div_ceil(512) * 512)
            .sum()
    }

    /// A file's text.
    #[must_use]
    pub fn text(&self, path: &Path) -> Option<Vec<u8>> {
        self.files.get(path).map(|inode| inode.borrow().clone())
    }

    /// Flips a bit of a file that has one, at an offset modulo its length.
    pub fn flip(&mut self, path: &Path, at: u64) {
        let Some(inode) = self.files.get(path) else {
            return;
        };
        let mut file = inode.borrow_mut();
        if let Some(at) = at.checked_rem(file.len() as u64) {
            file[at as usize] ^= 1 << (at % 8);
        }
    }

    /// Cuts a file off at an offset modulo its length.
    pub fn cut(&mut self, path: &Path, at: u64) {
        let Some(inode) = self.files.get(path).cloned() else {
            return;
        };
        let length = inode.borrow().len() as u64;
        self.resize(&inode, at.checked_rem(length).unwrap_or(0) as usize);
    }

    /// Files of pages may not grow from now on, or may again.
    pub fn fill_pages(&mut self, full: bool) {
        self.pages.values().for_each(|file| file.fill(full));
    }

    /// Flips a bit of a file of pages, at an offset modulo its length.
    pub fn flip_page(&mut self, path: &Path, at: u64) {
        self.pages
            .get(path)
            .into_iter()
            .for_each(|file| file.flip(at));
    }

    pub(super) fn pages(&mut self, path: &Path) -> PageFile {
        self.pages.entry(path.into()).or_default().clone()
    }

    pub(super) fn open(&mut self, path: &Path) -> Inode {
        self.files.entry(path.into()).or_default().clone()
    }

    pub(super) fn create(&mut self, path: &Path) -> Inode {
        let inode = self.open(path);
        self.resize(&inode, 0);
        inode
    }

    pub(super) fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()> {
        if let Some(pages) = self.pages.remove(from) {
            self.pages.insert(to.into(), pages);
            return Ok(());
        }
        let inode = self.files.remove(from).ok_or(io::ErrorKind::NotFound)?;
        let old = self.files.insert(to.into(), inode);
        self.free(old.map_or(0, |old| old.borrow().len()));
        Ok(())
    }

    pub(super) fn remove(&mut self, path: &Path) -> io::Result<()> {
        let old = self.files.remove(path).ok_or(io::ErrorKind::NotFound)?;
        self.free(old.borrow().len());
        Ok(())
    }

    /// Cuts a file off, or fills it up with zeros.
    pub(super) fn resize(&mut self, inode: &Inode, length: usize) {
        let before = inode.borrow().len();
        self.free(before.saturating_sub(length));
        inode.borrow_mut().resize(length, 0);
    }

    fn free(&mut self, bytes: usize) {
        if let Some(room) = &mut self.room {
            *room += bytes as u64;
        }
    }

    /// Writes at an offset up to `most` bytes and as far as there is room, and tells how many.
    pub(super) fn write(
        &mut self,
        inode: &Inode,
        at: u64,
        text: &[u8],
        most: usize,
    ) -> io::Result<usize> {
        let at = at as usize;
        let before = inode.borrow().len();
        let room = self.room.map_or(usize::MAX, |room| {
            usize::try_from(room).unwrap_or(usize::MAX)
        });
        let reach = before.saturating_add(room).saturating_sub(at);
        let count = text.len().min(most).min(reach);
        if count == 0 && !text.is_empty() && most > 0 {
            return Err(io::ErrorKind::StorageFull.into());
        }
        let mut file = inode.borrow_mut();
        if file.len() < at + count {
            file.resize(at + count, 0);
        }
        file[at..at + count].copy_from_slice(&text[..count]);
        if let Some(room) = &mut self.room {
            *room -= (file.len() - before) as u64;
        }
        Ok(count)
    }
}
