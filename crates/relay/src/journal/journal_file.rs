//! The file of the journal: appends records, truncates torn tails, and replaces the file with a shorter one.

use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use runtime::{log, File, Runtime};

/// An append-only file that is valid up to `length`.
pub(super) struct JournalFile<R: Runtime> {
    runtime: R,
    path: PathBuf,
    file: R::File,
    length: u64,
    /// Whether the file ends in an incomplete record that could not be truncated yet.
    has_torn_tail: bool,
}

impl<R: Runtime> JournalFile<R> {
    /// Opens the file, creating it if it does not exist, and returns it with its content.
    pub(super) fn open(runtime: R, path: PathBuf) -> io::Result<(Self, Vec<u8>)> {
        let mut file = runtime.open(&path)?;
        let mut content = Vec::new();
        file.read_to_end(&mut content)?;
        let journal_file = JournalFile {
            runtime,
            path,
            file,
            length: content.len() as u64,
            has_torn_tail: false,
        };
        Ok((journal_file, content))
    }

    pub(super) fn path(&self) -> &Path {
        &self.path
    }

    pub(super) fn length(&self) -> u64 {
        self.length
    }

    /// Removes the new file that a process left behind when it ended during a replacement.
    ///
    /// A file that cannot be removed is overwritten by the next replacement.
    pub(super) fn remove_unfinished_replacement(&self) {
        drop(self.runtime.remove(&self.replacement_path()));
    }

    /// Truncates the file after its last complete record and positions it there.
    ///
    /// The remainder is a record that the previous process was writing when it ended; no client got an acknowledgement for
    /// it.
    pub(super) fn recover(&mut self, valid_length: u64) {
        let torn_bytes = self.length - valid_length;
        self.length = valid_length;
        self.has_torn_tail = torn_bytes > 0;
        if self.has_torn_tail {
            log!(
                self.runtime,
                "journal: torn_tail_dropped bytes={torn_bytes}"
            );
            // If this fails, it is tried again before the next record is appended.
            if let Err(error) = self.truncate_torn_tail() {
                log!(self.runtime, "journal: torn_tail_not_cut error={error}");
            }
        }
    }

    /// Appends a record. If the write fails, `free_space` is called; if it returns true, the write is retried once.
    pub(super) fn append(
        &mut self,
        record: &[u8],
        free_space: impl FnOnce() -> bool,
    ) -> io::Result<()> {
        if self.has_torn_tail {
            self.truncate_torn_tail()?;
        }
        let mut written = self.file.write_all(record);
        if written.is_err() && free_space() {
            written = self
                .truncate_torn_tail()
                .and_then(|()| self.file.write_all(record));
        }
        if written.is_ok() {
            self.length += record.len() as u64;
        } else {
            // Records after an incomplete one could not be read.
            self.has_torn_tail = true;
            if let Err(error) = self.truncate_torn_tail() {
                log!(
                    self.runtime,
                    "journal: incomplete_record_not_cut error={error}"
                );
            }
        }
        written
    }

    fn truncate_torn_tail(&mut self) -> io::Result<()> {
        self.file.set_len(self.length)?;
        self.file.seek(SeekFrom::Start(self.length))?;
        self.has_torn_tail = false;
        Ok(())
    }

    /// Replaces the whole content atomically: either the old or the new file is in place at any time.
    pub(super) fn replace(&mut self, content: &[u8]) -> io::Result<()> {
        let path = self.replacement_path();
        let mut file = self.runtime.create(&path)?;
        file.write_all(content)
            .inspect_err(|_| drop(self.runtime.remove(&path)))?;
        self.runtime.rename(&path, &self.path)?;
        self.file = file;
        self.length = content.len() as u64;
        self.has_torn_tail = false;
        Ok(())
    }

    fn replacement_path(&self) -> PathBuf {
        self.path.with_extension("new")
    }
}
