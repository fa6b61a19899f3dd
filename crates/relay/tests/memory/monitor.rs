//! The memory of a relay process, with its files.

use std::fs;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::support::TestBed;

/// The least memory that a page names, in megabytes (LATER, Score).
pub const LEAST_MEMORY_MB: u64 = 32;
const BYTES_PER_MB: u64 = 1_000_000;
/// Percentage of the memory limit that the process and its files may take.
const TARGET_PERCENT: u64 = 80;
/// How often memory and files are measured.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// The most bytes that the process and its files may take.
pub fn target_bytes(memory_mb: u64) -> u64 {
    memory_mb * BYTES_PER_MB * TARGET_PERCENT / 100
}

/// Reads the memory of a process and the size of its files until it is dropped.
pub struct MemoryMonitor {
    stop: Arc<AtomicBool>,
    process: u32,
    folder: PathBuf,
    peaks: Arc<Peaks>,
    thread: Option<JoinHandle<()>>,
}

/// The most bytes so far.
#[derive(Default)]
struct Peaks {
    process: AtomicU64,
    files: AtomicU64,
}

impl Peaks {
    fn update(&self, process: u32, folder: &Path) {
        let resident = peak_of_process(process).unwrap_or(0);
        self.process.fetch_max(resident, Ordering::Relaxed);
        self.files.fetch_max(file_bytes(folder), Ordering::Relaxed);
    }
}

impl MemoryMonitor {
    pub fn start(test_bed: &TestBed) -> MemoryMonitor {
        let stop = Arc::new(AtomicBool::new(false));
        let peaks = Arc::new(Peaks::default());
        let (stopped, updated) = (stop.clone(), peaks.clone());
        let folder = test_bed.folder.join("state");
        let process = test_bed.relay.as_ref().expect("runs").id();
        let monitored = folder.clone();
        let thread = thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                updated.update(process, &monitored);
                thread::sleep(SAMPLE_INTERVAL);
            }
        });
        MemoryMonitor {
            stop,
            process,
            folder,
            peaks,
            thread: Some(thread),
        }
    }

    /// The most memory of the process so far and the largest size of its files, in bytes.
    pub fn peak(&self) -> u64 {
        self.peaks.update(self.process, &self.folder);
        let Peaks { process, files } = &*self.peaks;
        process.load(Ordering::Relaxed) + files.load(Ordering::Relaxed)
    }
}

/// The most resident memory of a process so far, in bytes (`VmHWM`, `proc_pid_status(5)`); `None` if it has ended.
fn peak_of_process(process: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))?;
    let kilobytes: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kilobytes << 10)
}

impl Drop for MemoryMonitor {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        drop(self.thread.take().map(JoinHandle::join));
    }
}

/// The size of all files in a folder; each counts in whole blocks of 512 bytes (DEPLOY, Limits).
fn file_bytes(folder: &Path) -> u64 {
    let entries = fs::read_dir(folder).into_iter().flatten().flatten();
    let sizes = entries.filter_map(|entry| Some(entry.metadata().ok()?.len()));
    sizes.map(|size| size.div_ceil(512) * 512).sum()
}
