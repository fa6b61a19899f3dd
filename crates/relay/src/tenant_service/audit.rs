//! The audit log: a line of JSON for each change, in files that follow each other.

use std::collections::{BTreeMap, VecDeque};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use runtime::{log, File, Runtime};
use tenancy::audit::Entry;
use tenancy::registry::ChangeRecord;

/// The file that is written; older ones have a number before their ending, the oldest the highest.
const FILE: &str = "audit.jsonl";
/// Entries that are kept at hand for those who ask.
const AT_HAND: usize = 1000;
/// So much of the end of the file is read at a start, in bytes.
const TAIL: u64 = 1 << 20;

/// The audit log.
pub(super) struct Audit<R: Runtime> {
    runtime: R,
    folder: PathBuf,
    file: R::File,
    length: u64,
    torn: bool,
    /// Bytes of a file, and how many older ones are kept.
    most: (u64, u32),
    /// Number of the last change that was written.
    told: u64,
    /// Changes that are still to be written.
    untold: VecDeque<Entry>,
    /// The newest entries, oldest first.
    at_hand: VecDeque<Entry>,
    logged: bool,
}

impl<R: Runtime> Audit<R> {
    /// Opens the log, and adds the changes that it lacks: those that were kept just before a process ended.
    pub fn open(
        runtime: &R,
        folder: &Path,
        most: (u64, u32),
        changes: &BTreeMap<u64, ChangeRecord>,
    ) -> Result<Self, String> {
        let path = folder.join(FILE);
        let bad = |e: io::Error| format!("cannot use {}: {e}", path.display());
        let mut file = runtime.open(&path).map_err(bad)?;
        let end = file.seek(SeekFrom::End(0)).map_err(bad)?;
        let from = end.saturating_sub(TAIL);
        file.seek(SeekFrom::Start(from)).map_err(bad)?;
        let mut text = Vec::new();
        file.read_to_end(&mut text).map_err(bad)?;
        // The process may have ended within a line.
        let whole = text
            .iter()
            .rposition(|byte| *byte == b'\n')
            .map_or(0, |at| at + 1);
        let mut at_hand: VecDeque<Entry> = text[..whole]
            .split(|byte| *byte == b'\n')
            .filter_map(|line| serde_json::from_slice(line).ok())
            .collect();
        at_hand.drain(..at_hand.len().saturating_sub(AT_HAND));
        let told = at_hand.iter().map(|entry| entry.seq).max().unwrap_or(0);
        let mut audit = Audit {
            runtime: runtime.clone(),
            folder: folder.into(),
            file,
            length: from + whole as u64,
            torn: whole < text.len(),
            most,
            told,
            untold: VecDeque::new(),
            at_hand,
            logged: false,
        };
        changes
            .range(told + 1..)
            .for_each(|(_, record)| audit.append(record));
        Ok(audit)
    }

    /// Adds a change. Where the file can't be written, it waits.
    pub fn append(&mut self, record: &ChangeRecord) {
        let entry = Entry::of(record);
        self.at_hand.push_back(entry.clone());
        if self.at_hand.len() > AT_HAND {
            self.at_hand.pop_front();
        }
        self.untold.push_back(entry);
        self.flush();
    }

    /// Number of the last change that stands in the log.
    pub fn last_written(&self) -> u64 {
        self.told
    }

    /// Changes that wait to be written.
    pub fn unwritten(&self) -> usize {
        self.untold.len()
    }

    /// Writes what waits.
    pub fn flush(&mut self) {
        while let Some(entry) = self.untold.front() {
            let (seq, line) = (entry.seq, entry.line());
            if let Err(error) = self.write(&line) {
                if !self.logged {
                    log!(
                        self.runtime,
                        "audit: cannot write, changes are refused once too many wait: {error}"
                    );
                }
                self.logged = true;
                return;
            }
            (self.told, self.logged) = (seq, false);
            self.untold.pop_front();
        }
    }

    fn write(&mut self, line: &[u8]) -> io::Result<()> {
        if self.torn {
            self.file.set_len(self.length)?;
            self.torn = false;
        }
        if self.length > 0 && self.length + line.len() as u64 > self.most.0 {
            self.turn()?;
        }
        self.file.seek(SeekFrom::Start(self.length))?;
        let written = self.file.write_all(line);
        match written {
            Ok(()) => self.length += line.len() as u64,
            Err(_) => self.torn = self.file.set_len(self.length).is_err(),
        }
        written
    }

    fn older(&self, number: u32) -> PathBuf {
        match number {
            0 => self.folder.join(FILE),
            number => self.folder.join(format!("audit.{number}.jsonl")),
        }
    }

    /// Begins a new file; the oldest one goes.
    fn turn(&mut self) -> io::Result<()> {
        let absent = |e: io::Error| {
            if e.kind() == io::ErrorKind::NotFound {
                Ok(())
            } else {
                Err(e)
            }
        };
        if let Err(error) = self.runtime.remove(&self.older(self.most.1)) {
            absent(error)?;
        } else {
            log!(
                self.runtime,
                "audit: the oldest of {} files is gone",
                self.most.1 + 1
            );
        }
        for number in (0..self.most.1).rev() {
            self.runtime
                .rename(&self.older(number), &self.older(number + 1))
                .or_else(absent)?;
        }
        self.file = self.runtime.open(&self.older(0))?;
        self.file.set_len(0)?;
        (self.length, self.torn) = (0, false);
        Ok(())
    }

    /// The newest entries at hand before one, newest first.
    pub fn newest(&self, before: Option<u64>) -> impl Iterator<Item = &Entry> {
        let before = before.unwrap_or(u64::MAX);
        self.at_hand
            .iter()
            .rev()
            .filter(move |entry| entry.seq < before)
    }
}
