//! The audit log: one line of JSON per change, in a file that is rotated by size.

use std::collections::{BTreeMap, VecDeque};
use std::io::{self, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use runtime::{log, File, Runtime};
use tenancy::audit::Entry;
use tenancy::registry::ChangeRecord;

use super::error::TenantsError;
use crate::operator_config::AuditLogLimits;

/// The current file. Rotated files have a number before the extension; the oldest has the highest.
const CURRENT_FILE: &str = "audit.jsonl";
/// Maximum number of entries that are cached for requests.
const MAX_CACHED_ENTRIES: usize = 1000;
/// Maximum number of bytes at the end of the current file that are read at startup.
const MAX_TAIL_BYTES: u64 = 1 << 20;
/// Maximum number of changes that wait to be written to the log; at this limit no further change is made.
const MAX_UNLOGGED_CHANGES: usize = 100;

/// The audit log.
pub(super) struct AuditLog<R: Runtime> {
    runtime: R,
    folder: PathBuf,
    file: R::File,
    /// Bytes up to the end of the last complete line of the current file.
    length: u64,
    /// The current file ends in a partial line that could not be truncated yet.
    is_torn: bool,
    limits: AuditLogLimits,
    /// Sequence number of the last change in the log.
    last_logged: u64,
    /// Changes that are not written to the log yet, oldest first.
    unlogged: VecDeque<Entry>,
    /// The newest entries, oldest first.
    cached: VecDeque<Entry>,
    /// The current write failure was already reported in the relay's log.
    is_failure_reported: bool,
}

/// The end of the current file, as read at startup.
struct Tail {
    entries: VecDeque<Entry>,
    /// Bytes up to the end of the last complete line of the file.
    length: u64,
    is_torn: bool,
}

impl<R: Runtime> AuditLog<R> {
    /// Opens the log, and appends the `changes` that it lacks: those committed to the replicas shortly before an
    /// earlier process ended.
    ///
    /// # Errors
    /// [`TenantsError::File`] if the current file cannot be opened or read.
    pub fn open(
        runtime: &R,
        folder: &Path,
        limits: AuditLogLimits,
        changes: &BTreeMap<u64, ChangeRecord>,
    ) -> Result<Self, TenantsError> {
        let path = folder.join(CURRENT_FILE);
        let opened = runtime.open(&path).and_then(|mut file| {
            let tail = read_tail(&mut file)?;
            Ok((file, tail))
        });
        let (file, tail) = opened.map_err(|source| TenantsError::File { path, source })?;
        let sequences = tail.entries.iter().map(|entry| entry.seq);
        let last_logged = sequences.max().unwrap_or(0);
        let mut audit_log = AuditLog {
            runtime: runtime.clone(),
            folder: folder.into(),
            file,
            length: tail.length,
            is_torn: tail.is_torn,
            limits,
            last_logged,
            unlogged: VecDeque::new(),
            cached: tail.entries,
            is_failure_reported: false,
        };
        for record in changes.range(last_logged + 1..).map(|(_, record)| record) {
            audit_log.append(record);
        }
        Ok(audit_log)
    }

    /// Appends a change. If the file cannot be written, the change is kept for the next flush.
    pub fn append(&mut self, record: &ChangeRecord) {
        let entry = Entry::of(record);
        self.cached.push_back(entry.clone());
        if self.cached.len() > MAX_CACHED_ENTRIES {
            self.cached.pop_front();
        }
        self.unlogged.push_back(entry);
        self.flush();
    }

    /// Sequence number of the last change in the log.
    pub fn last_logged(&self) -> u64 {
        self.last_logged
    }

    /// Number of changes that are not in the log yet.
    pub fn unlogged_changes(&self) -> usize {
        self.unlogged.len()
    }

    /// Whether the limit of unwritten changes is reached, so that no further change may be made.
    pub fn is_backlog_full(&self) -> bool {
        self.unlogged.len() >= MAX_UNLOGGED_CHANGES
    }

    /// Writes the waiting changes in order, until a write fails.
    pub fn flush(&mut self) {
        while let Some(entry) = self.unlogged.front() {
            let (sequence, line) = (entry.seq, entry.line());
            if let Err(error) = self.write(&line) {
                self.report_failure(&error);
                return;
            }
            self.last_logged = sequence;
            self.is_failure_reported = false;
            self.unlogged.pop_front();
        }
    }

    fn report_failure(&mut self, error: &io::Error) {
        if !self.is_failure_reported {
            log!(
                self.runtime,
                "audit: write_failed max_unlogged_changes={MAX_UNLOGGED_CHANGES} error={error}"
            );
        }
        self.is_failure_reported = true;
    }

    fn write(&mut self, line: &[u8]) -> io::Result<()> {
        if self.is_torn {
            self.file.set_len(self.length)?;
            self.is_torn = false;
        }
        if self.length > 0 && self.length + line.len() as u64 > self.limits.max_file_bytes {
            self.rotate()?;
        }
        self.file.seek(SeekFrom::Start(self.length))?;
        let written = self.file.write_all(line);
        match written {
            Ok(()) => self.length += line.len() as u64,
            Err(_) => self.is_torn = self.file.set_len(self.length).is_err(),
        }
        written
    }

    /// Begins a new file, and deletes the oldest one if the maximum number of files is reached.
    fn rotate(&mut self) -> io::Result<()> {
        let max_rotated_files = self.limits.max_rotated_files;
        match self.runtime.remove(&self.file_path(max_rotated_files)) {
            Ok(()) => log!(
                self.runtime,
                "audit: oldest_file_deleted max_files={}",
                max_rotated_files + 1
            ),
            Err(error) => ignore_missing_file(error)?,
        }
        for number in (0..max_rotated_files).rev() {
            self.runtime
                .rename(&self.file_path(number), &self.file_path(number + 1))
                .or_else(ignore_missing_file)?;
        }
        self.file = self.runtime.open(&self.file_path(0))?;
        self.file.set_len(0)?;
        self.length = 0;
        self.is_torn = false;
        Ok(())
    }

    /// Path of a rotated file, or of the current one, which has the number 0.
    fn file_path(&self, number: u32) -> PathBuf {
        match number {
            0 => self.folder.join(CURRENT_FILE),
            number => self.folder.join(format!("audit.{number}.jsonl")),
        }
    }

    /// The cached entries before a sequence number, newest first.
    pub fn newest(&self, before: Option<u64>) -> impl Iterator<Item = &Entry> {
        let before = before.unwrap_or(u64::MAX);
        self.cached
            .iter()
            .rev()
            .filter(move |entry| entry.seq < before)
    }
}

fn read_tail<F: File>(file: &mut F) -> io::Result<Tail> {
    let end = file.seek(SeekFrom::End(0))?;
    let start = end.saturating_sub(MAX_TAIL_BYTES);
    file.seek(SeekFrom::Start(start))?;
    let mut text = Vec::new();
    file.read_to_end(&mut text)?;
    // An earlier process may have ended while it wrote a line.
    let last_line_feed = text.iter().rposition(|byte| *byte == b'\n');
    let complete_bytes = last_line_feed.map_or(0, |end| end + 1);
    let mut entries: VecDeque<Entry> = text[..complete_bytes]
        .split(|byte| *byte == b'\n')
        .filter_map(|line| serde_json::from_slice(line).ok())
        .collect();
    entries.drain(..entries.len().saturating_sub(MAX_CACHED_ENTRIES));
    Ok(Tail {
        entries,
        length: start + complete_bytes as u64,
        is_torn: complete_bytes < text.len(),
    })
}

fn ignore_missing_file(error: io::Error) -> io::Result<()> {
    match error.kind() {
        io::ErrorKind::NotFound => Ok(()),
        _ => Err(error),
    }
}
