//! The trait [`Runtime`].

use std::fmt;
use std::future::Future;
use std::io::{self, Write};
use std::path::Path;
use std::time::{Duration, Instant};

use crate::{Address, BootTime, Elapsed, File, Listener, RandomAccessFile, Signals, Stream, Task};

/// The system that a relay runs on.
pub trait Runtime: Clone + 'static {
    /// A task that was started.
    type Task: Task;
    /// A connection.
    type Stream: Stream;
    /// A port or socket that accepts connections.
    type Listener: Listener<Stream = Self::Stream>;
    /// An open file.
    type File: File;
    /// A file that is read and written at any position.
    type RandomAccessFile: RandomAccessFile;
    /// The signals sent to this process.
    type Signals: Signals;
    /// A lock on a file. It is held until this is dropped or the process ends, in whatever way.
    type Lock: 'static;

    /// The current moment of a monotonic clock. Only differences of two moments have a meaning.
    fn now(&self) -> Instant;

    /// The time since the Unix epoch, by a clock that may be set at any moment: for display, and where no other clock is
    /// left. Spans are measured by [`now`](Self::now), and across processes by [`boot_time`](Self::boot_time).
    fn unix_time(&self) -> Duration;

    /// A reading of the monotonic clock that a later process on the same machine can compare with its own.
    ///
    /// # Errors
    /// The system's clock cannot be read.
    fn boot_time(&self) -> io::Result<BootTime>;

    /// Completes at a moment. Timers of the same moment may complete in any order.
    fn sleep_until(&self, at: Instant) -> impl Future<Output = ()>;

    /// Starts a task on this thread. It ends with the process; dropping the returned handle does not end it.
    fn spawn(&self, task: impl Future<Output = ()> + 'static) -> Self::Task;

    /// Opens a connection. There is no timeout: an address that does not respond may never complete.
    ///
    /// # Errors
    /// As the socket's.
    fn connect(&self, to: impl Into<Address>) -> impl Future<Output = io::Result<Self::Stream>>;

    /// Listens at an address. A Unix socket is accessible to its owner only, and replaces one that no process listens
    /// at any more.
    ///
    /// # Errors
    /// As the socket's, such as `AddrInUse`.
    fn listen(&self, at: impl Into<Address>) -> impl Future<Output = io::Result<Self::Listener>>;

    /// The listening TCP socket that the process inherited as a descriptor. Other processes share it: dropping the
    /// listener closes this process's copy and never shuts the socket down, and the descriptor can be used again.
    ///
    /// # Errors
    /// `InvalidInput` if the descriptor is not open or is no listening socket.
    fn inherited_listener(&self, descriptor: i32) -> io::Result<Self::Listener>;

    /// Locks a file, which is created if missing; `None` while the lock is held elsewhere.
    ///
    /// # Errors
    /// The file cannot be opened or locked.
    fn lock(&self, path: &Path) -> io::Result<Option<Self::Lock>>;

    /// Opens a file for reading and writing, and creates it if missing.
    ///
    /// # Errors
    /// As the file system's.
    fn open(&self, path: &Path) -> io::Result<Self::File>;

    /// Creates an empty file for writing, in place of an existing one.
    ///
    /// # Errors
    /// As the file system's.
    fn create(&self, path: &Path) -> io::Result<Self::File>;

    /// Opens a file for access at any position, and creates it if missing.
    ///
    /// # Errors
    /// `WouldBlock` if it is open elsewhere; else as the file system's.
    fn open_random_access(&self, path: &Path) -> io::Result<Self::RandomAccessFile>;

    /// Reads a complete file.
    ///
    /// # Errors
    /// As the file system's, such as `NotFound`.
    fn read(&self, path: &Path) -> io::Result<Vec<u8>>;

    /// Renames a file atomically, replacing an existing one.
    ///
    /// # Errors
    /// As the file system's.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    /// As the file system's, such as `NotFound`.
    fn remove(&self, path: &Path) -> io::Result<()>;

    /// Handles signals from now on. Without this call each of them ends the process.
    ///
    /// # Errors
    /// The handlers cannot be installed.
    fn signals(&self) -> io::Result<Self::Signals>;

    /// An environment variable; `None` if it is unset or empty.
    fn env_var(&self, name: &str) -> Option<String>;

    /// Adds a line to the log.
    fn log(&self, line: fmt::Arguments<'_>);

    /// Completes after a duration.
    fn sleep(&self, duration: Duration) -> impl Future<Output = ()> {
        self.sleep_until(self.now() + duration)
    }

    /// Runs a future until a moment. A future that completes at that very moment counts as in time.
    ///
    /// # Errors
    /// [`Elapsed`] if the future has not completed by then.
    fn timeout_at<F: Future>(
        &self,
        at: Instant,
        future: F,
    ) -> impl Future<Output = Result<F::Output, Elapsed>> {
        async move {
            tokio::select! {
                biased;
                output = future => Ok(output),
                () = self.sleep_until(at) => Err(Elapsed),
            }
        }
    }

    /// Runs a future for a duration at most.
    ///
    /// # Errors
    /// [`Elapsed`] if the future has not completed by then.
    fn timeout<F: Future>(
        &self,
        duration: Duration,
        future: F,
    ) -> impl Future<Output = Result<F::Output, Elapsed>> {
        self.timeout_at(self.now() + duration, future)
    }

    /// Writes bytes to a file, in place of its content. This is not atomic.
    ///
    /// # Errors
    /// As the file system's; a part may then be written.
    fn write(&self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        self.create(path)?.write_all(bytes)
    }
}
