//! The implementation of [`Runtime`] on a machine: tokio's current-thread runtime, and the operating system's files and
//! signals.

mod boot_time;
mod file;
mod listener;
mod signals;
mod stream;
mod task;

use std::fmt;
use std::fs::TryLockError;
use std::future::Future;
use std::io::{self, Write};
use std::path::Path;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use tokio::net::{TcpStream, UnixStream};

use crate::{Address, BootTime, Runtime};
pub use listener::OsListener;
pub use signals::OsSignals;
pub use stream::OsStream;
pub use task::OsTask;

use listener::{listen_tcp, listen_unix};

/// Access to the operating system through tokio. It must be used within the `LocalSet` of a current-thread runtime.
#[derive(Clone, Copy, Debug, Default)]
pub struct OsRuntime;

impl Runtime for OsRuntime {
    type Task = OsTask;
    type Stream = OsStream;
    type Listener = OsListener;
    type File = std::fs::File;
    type RandomAccessFile = std::fs::File;
    type Signals = OsSignals;
    type Lock = std::fs::File;

    fn now(&self) -> Instant {
        Instant::now()
    }

    fn unix_time(&self) -> Duration {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
    }

    fn boot_time(&self) -> io::Result<BootTime> {
        boot_time::read()
    }

    fn sleep_until(&self, at: Instant) -> impl Future<Output = ()> {
        tokio::time::sleep_until(at.into())
    }

    fn spawn(&self, task: impl Future<Output = ()> + 'static) -> OsTask {
        OsTask::new(tokio::task::spawn_local(task))
    }

    async fn connect(&self, to: impl Into<Address>) -> io::Result<OsStream> {
        match to.into() {
            Address::Tcp(address) => TcpStream::connect(address).await.map(OsStream::Tcp),
            Address::Unix(path) => UnixStream::connect(path).await.map(OsStream::Unix),
        }
    }

    async fn listen(&self, at: impl Into<Address>) -> io::Result<OsListener> {
        match at.into() {
            Address::Tcp(address) => listen_tcp(address).map(OsListener::Tcp),
            Address::Unix(path) => listen_unix(&path).await.map(OsListener::Unix),
        }
    }

    fn inherited_listener(&self, descriptor: i32) -> io::Result<OsListener> {
        crate::inherited_listener::duplicate_listener(descriptor).map(OsListener::Tcp)
    }

    fn lock(&self, path: &Path) -> io::Result<Option<std::fs::File>> {
        let file = self.open(path)?;
        match file.try_lock() {
            Ok(()) => Ok(Some(file)),
            Err(TryLockError::WouldBlock) => Ok(None),
            Err(TryLockError::Error(error)) => Err(error),
        }
    }

    fn open(&self, path: &Path) -> io::Result<std::fs::File> {
        std::fs::OpenOptions::new()
            .read(true)
            .write(true)
            .create(true)
            .truncate(false)
            .open(path)
    }

    fn create(&self, path: &Path) -> io::Result<std::fs::File> {
        std::fs::File::create(path)
    }

    fn open_random_access(&self, path: &Path) -> io::Result<std::fs::File> {
        let file = self.open(path)?;
        // Two relays may be configured with the same file by mistake.
        file.try_lock().map_err(|_| {
            io::Error::new(io::ErrorKind::WouldBlock, "another process has it open")
        })?;
        Ok(file)
    }

    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        std::fs::read(path)
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        std::fs::rename(from, to)
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        std::fs::remove_file(path)
    }

    fn signals(&self) -> io::Result<OsSignals> {
        OsSignals::new()
    }

    fn env_var(&self, name: &str) -> Option<String> {
        std::env::var(name).ok().filter(|value| !value.is_empty())
    }

    fn log(&self, line: fmt::Arguments<'_>) {
        // A log that cannot be written, such as on a full disk, must not end the process, as `eprintln` would.
        drop(io::stderr().write_all(format!("{line}\n").as_bytes()));
    }
}
