//! One replica file of the registry: reads it, appends changes, and replaces the whole file.

use std::io::{self, SeekFrom};
use std::path::{Path, PathBuf};

use runtime::{File, Runtime};

/// Suffix of the temporary file that replaces a replica once it is complete.
const REPLACEMENT_SUFFIX: &str = ".new";

/// A replica file.
pub(super) struct Replica<F> {
    path: PathBuf,
    file: F,
    /// Bytes up to the end of the last complete line.
    length: u64,
    /// The file ends in a partial or retracted line that could not be truncated yet.
    is_torn: bool,
}

/// A newly opened replica.
pub(super) struct OpenedReplica<F> {
    pub replica: Replica<F>,
    /// Contents of the file; none if there was no file.
    pub text: Option<Vec<u8>>,
}

impl<F: File> Replica<F> {
    /// Opens a replica file, creates it if it is missing, and reads it.
    pub fn open<R: Runtime<File = F>>(runtime: &R, path: &Path) -> io::Result<OpenedReplica<F>> {
        remove_replacement(runtime, path)?;
        let exists = match runtime.read(path) {
            Ok(_) => true,
            Err(e) if e.kind() == io::ErrorKind::NotFound => false,
            Err(e) => return Err(e),
        };
        let mut file = runtime.open(path)?;
        let mut text = Vec::new();
        file.read_to_end(&mut text)?;
        // A line appended after a partial line would be read as a part of it.
        let last_line_feed = text.iter().rposition(|byte| *byte == b'\n');
        let length = last_line_feed.map_or(0, |end| end as u64 + 1);
        let replica = Replica {
            path: path.to_owned(),
            file,
            length,
            is_torn: length < text.len() as u64,
        };
        Ok(OpenedReplica {
            replica,
            text: exists.then_some(text),
        })
    }

    /// Bytes up to the end of the last complete line.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Appends complete lines. After an error the file contains none of them, or is truncated before the next append.
    pub fn append(&mut self, lines: &[u8]) -> io::Result<()> {
        if self.is_torn {
            self.truncate_partial_line()?;
        }
        self.file.seek(SeekFrom::Start(self.length))?;
        let written = self.file.write_all(lines);
        match written {
            Ok(()) => self.length += lines.len() as u64,
            // A line appended after a partial line would be read as a part of it.
            Err(_) => self.is_torn = self.truncate_partial_line().is_err(),
        }
        written
    }

    /// Undoes the last append, of `size` bytes. If the file cannot be truncated now, that is retried before the next
    /// append.
    pub fn retract(&mut self, size: usize) {
        self.length -= size as u64;
        self.is_torn = self.truncate_partial_line().is_err();
    }

    fn truncate_partial_line(&mut self) -> io::Result<()> {
        self.file.set_len(self.length)?;
        self.is_torn = false;
        Ok(())
    }

    /// Creates the file that is to replace this replica.
    pub fn create_replacement<R: Runtime<File = F>>(&self, runtime: &R) -> io::Result<F> {
        runtime.create(&replacement_path(&self.path))
    }

    /// Removes a replacement that was not completed. A failure is ignored: the next start removes it.
    pub fn discard_replacement<R: Runtime<File = F>>(&self, runtime: &R) {
        drop(runtime.remove(&replacement_path(&self.path)));
    }

    /// Replaces the replica by a complete replacement file of `length` bytes.
    pub fn replace<R: Runtime<File = F>>(
        &mut self,
        runtime: &R,
        replacement: F,
        length: u64,
    ) -> io::Result<()> {
        runtime.rename(&replacement_path(&self.path), &self.path)?;
        self.file = replacement;
        self.length = length;
        self.is_torn = false;
        Ok(())
    }
}

/// Removes an incomplete replacement of a process that ended while it wrote the file.
fn remove_replacement<R: Runtime>(runtime: &R, path: &Path) -> io::Result<()> {
    runtime
        .remove(&replacement_path(path))
        .or_else(|error| match error.kind() {
            io::ErrorKind::NotFound => Ok(()),
            _ => Err(error),
        })
}

fn replacement_path(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(REPLACEMENT_SUFFIX);
    name.into()
}
