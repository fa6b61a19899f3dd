//! The registry's two files. A change is in the first before it is answered; the second heals what the first
//! loses. Both are written anew now and then, in slices, so that no round stands still for it.

use std::collections::BTreeMap;
use std::io::{self, Read, SeekFrom, Write};
use std::path::{Path, PathBuf};

use runtime::{log, File, Runtime};
use tenancy::registry::ChangeRecord;
use tenancy::registry_file::{self, SnapshotWriter};
use tenancy::Registry;

/// The files, the leading one first.
const FILES: [&str; 2] = ["tenants.a", "tenants.b"];
/// Changes may take as much room as the snapshot, and this, before the files are written anew, in bytes.
const ROOM: u64 = 1 << 20;
/// Tenants, and bytes, of one slice of a rewriting.
const SLICE: (usize, usize) = (128, 64 << 10);

/// One of the files.
struct Copy<F> {
    path: PathBuf,
    file: F,
    length: u64,
    /// It ends in half a line that could not be cut off.
    torn: bool,
    /// It lacks lines that the other has.
    behind: bool,
}

/// A rewriting under way.
enum Rewriting<F> {
    /// The snapshot is being taken.
    Taking(SnapshotWriter),
    /// It is being written to one of the files.
    Writing {
        copy: usize,
        text: Vec<u8>,
        done: usize,
        file: Option<F>,
    },
}

/// The registry's files.
pub(super) struct Store<R: Runtime> {
    runtime: R,
    copies: Vec<Copy<R::File>>,
    /// Bytes of the last snapshot.
    snapshot: u64,
    limit: u64,
    rewriting: Option<Rewriting<R::File>>,
    /// Changes since the rewriting began, as they are written.
    tail: Vec<u8>,
    /// A rewriting failed; the next is not begun before the next change.
    failed: bool,
    /// The files are to be written anew, as each lacks what the other has.
    spoilt: bool,
    /// Changes that were lost to damage.
    pub lost: u64,
}

/// What the files held.
pub(super) struct Opened<R: Runtime> {
    pub store: Store<R>,
    pub registry: Registry,
    /// Changes that the files still hold.
    pub changes: BTreeMap<u64, ChangeRecord>,
    /// There were no files.
    pub fresh: bool,
}

impl<R: Runtime> Store<R> {
    /// Reads the files in a folder, and mends them. `limit` bounds each, in bytes.
    pub fn open(
        runtime: &R,
        folder: &Path,
        limit: u64,
        classes: &[String],
    ) -> Result<Opened<R>, String> {
        let mut copies = Vec::new();
        let mut texts = Vec::new();
        for name in FILES {
            let path = folder.join(name);
            let (file, text) = Self::read(runtime, &path)
                .map_err(|e| format!("cannot use {}: {e}", path.display()))?;
            // What follows half a line would be read as a part of it.
            let lines = text
                .as_ref()
                .and_then(|text| text.iter().rposition(|byte| *byte == b'\n'));
            let length = lines.map_or(0, |end| end as u64 + 1);
            let torn = text.as_ref().is_some_and(|text| length < text.len() as u64);
            copies.push(Copy {
                path,
                file,
                length,
                torn,
                behind: false,
            });
            texts.push(text);
        }
        let fresh = texts.iter().all(Option::is_none);
        let read = registry_file::recover(classes, texts[0].as_deref(), texts[1].as_deref())
            .map_err(|e| e.to_string())?;
        let registry = Registry::restore(classes.to_vec(), read.state);
        let mut store = Store {
            runtime: runtime.clone(),
            copies,
            snapshot: 0,
            limit,
            rewriting: None,
            tail: Vec::new(),
            failed: false,
            spoilt: false,
            lost: read.lost_changes,
        };
        if read.lost_changes > 0 {
            log!(
                *runtime,
                "tenants: {} changes are lost, a tenant may stand as it did before one",
                read.lost_changes
            );
        }
        store.snapshot = registry_file::encode_snapshot(&registry, read.lost_changes).len() as u64;
        if fresh || read.needs_repair {
            if !fresh {
                log!(
                    *runtime,
                    "tenants: the registry's files differed or were spoilt, and are written anew"
                );
            }
            // On a full disk both stay as they are: together they hold what was read.
            if let Err(error) = store.anew(&registry, &read.changes) {
                log!(
                    *runtime,
                    "tenants: the registry's files cannot be written anew yet: {error}"
                );
                store.spoilt = true;
            }
        }
        Ok(Opened {
            store,
            registry,
            changes: read.changes,
            fresh,
        })
    }

    fn read(runtime: &R, path: &Path) -> io::Result<(R::File, Option<Vec<u8>>)> {
        // Left by a process that ended while it wrote the file anew.
        match runtime.remove(&fresh_path(path)) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
            _ => {}
        }
        let exists = match runtime.read(path) {
            Ok(_) => true,
            Err(e) if e.kind() == io::ErrorKind::NotFound => false,
            Err(e) => return Err(e),
        };
        let mut file = runtime.open(path)?;
        let mut text = Vec::new();
        file.read_to_end(&mut text)?;
        Ok((file, exists.then_some(text)))
    }

    /// Keeps a change. Once this returns, it outlasts the process; an error leaves no trace of it.
    pub fn append(&mut self, record: &ChangeRecord) -> io::Result<()> {
        let text = registry_file::encode_change(record);
        if self.copies[0].length + text.len() as u64 > self.limit {
            self.failed = false;
            return Err(io::Error::new(
                io::ErrorKind::StorageFull,
                "the registry's files are full",
            ));
        }
        self.copies[0].append(&text)?;
        if self.copies[1].behind || self.copies[1].append(&text).is_err() {
            // What the leading file holds is kept; the other is written anew.
            self.copies[1].behind = true;
        }
        if self.rewriting.is_some() {
            self.tail.extend(text);
        }
        self.failed = false;
        Ok(())
    }

    /// Writes both files anew at once.
    fn anew(
        &mut self,
        registry: &Registry,
        untold: &BTreeMap<u64, ChangeRecord>,
    ) -> io::Result<()> {
        let mut text = registry_file::encode_snapshot(registry, self.lost);
        self.snapshot = text.len() as u64;
        untold
            .values()
            .for_each(|change| text.extend(registry_file::encode_change(change)));
        for copy in &mut self.copies {
            let fresh = fresh_path(&copy.path);
            let mut file = self.runtime.create(&fresh)?;
            file.write_all(&text)
                .inspect_err(|_| drop(self.runtime.remove(&fresh)))?;
            self.runtime.rename(&fresh, &copy.path)?;
            (copy.file, copy.length, copy.torn, copy.behind) =
                (file, text.len() as u64, false, false);
        }
        Ok(())
    }

    /// Whether there is a slice of work to be done.
    pub fn is_busy(&self) -> bool {
        self.rewriting.is_some()
    }

    /// Begins to write the files anew where they have grown, and goes on with a slice of it.
    pub fn continue_rewrite(&mut self, registry: &Registry) {
        let grown = self.copies[0].length > 2 * self.snapshot + ROOM;
        let grown = grown || self.copies[1].behind || self.spoilt;
        if self.rewriting.is_none() && grown && !self.failed {
            self.tail.clear();
            self.rewriting = Some(Rewriting::Taking(SnapshotWriter::new(registry, self.lost)));
        }
        let Some(rewriting) = self.rewriting.take() else {
            return;
        };
        match self.slice(registry, rewriting) {
            Ok(next) => self.rewriting = next,
            Err(error) => {
                log!(
                    self.runtime,
                    "tenants: the registry's files stay as they are, not written anew: {error}"
                );
                self.copies
                    .iter()
                    .for_each(|copy| drop(self.runtime.remove(&fresh_path(&copy.path))));
                self.failed = true;
            }
        }
    }

    fn slice(
        &mut self,
        registry: &Registry,
        rewriting: Rewriting<R::File>,
    ) -> io::Result<Option<Rewriting<R::File>>> {
        match rewriting {
            Rewriting::Taking(mut snapshot) => {
                if !snapshot.append_entries(registry, SLICE.0) {
                    return Ok(Some(Rewriting::Taking(snapshot)));
                }
                Ok(Some(Rewriting::Writing {
                    copy: 0,
                    text: snapshot.into_bytes(),
                    done: 0,
                    file: None,
                }))
            }
            Rewriting::Writing {
                copy,
                text,
                done,
                file,
            } => {
                let path = self.copies[copy].path.clone();
                let fresh = fresh_path(&path);
                let mut file = match file {
                    Some(file) => file,
                    None => self.runtime.create(&fresh)?,
                };
                let end = (done + SLICE.1).min(text.len());
                file.write_all(&text[done..end])?;
                if end < text.len() {
                    return Ok(Some(Rewriting::Writing {
                        copy,
                        text,
                        done: end,
                        file: Some(file),
                    }));
                }
                // The changes since the beginning, some of which stand in the snapshot already.
                file.write_all(&self.tail)?;
                self.runtime.rename(&fresh, &path)?;
                let length = (text.len() + self.tail.len()) as u64;
                self.copies[copy] = Copy {
                    path,
                    file,
                    length,
                    torn: false,
                    behind: false,
                };
                if copy + 1 < self.copies.len() {
                    return Ok(Some(Rewriting::Writing {
                        copy: copy + 1,
                        text,
                        done: 0,
                        file: None,
                    }));
                }
                (self.snapshot, self.spoilt) = (text.len() as u64, false);
                self.tail.clear();
                Ok(None)
            }
        }
    }
}

impl<F: File> Copy<F> {
    fn append(&mut self, text: &[u8]) -> io::Result<()> {
        if self.torn {
            self.cut()?;
        }
        self.file.seek(SeekFrom::Start(self.length))?;
        let written = self.file.write_all(text);
        match written {
            Ok(()) => self.length += text.len() as u64,
            // What follows half a line would be read as a part of it.
            Err(_) => self.torn = self.cut().is_err(),
        }
        written
    }

    fn cut(&mut self) -> io::Result<()> {
        self.file.set_len(self.length)?;
        self.torn = false;
        Ok(())
    }
}

fn fresh_path(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(".new");
    name.into()
}
