//! The trait [`Runtime`].

use std::fmt;
use std::future::Future;
use std::io::{self, Write};
use std::path::Path;
use std::time::{Duration, Instant};

use crate::{Address, BootTime, Elapsed, File, Listener, RandomAccessFile, Signals, Stream, Task};

/// The operating system, real or simulated, that a relay runs on.
pub trait Runtime: Clone + 'static {
    /// The handle of a task that was started.
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
    /// A lock on a file. The lock is held until this value is dropped or the process ends for any reason.
    type Lock: 'static;

    /// The current time of a monotonic clock. Only the difference between two readings is meaningful.
    fn now(&self) -> Instant;

    /// The time since the Unix epoch, from a clock that may be set at any time. It is for display, and for use where no
    /// other clock is available. Durations are measured with [`now`](Self::now), and across processes with
    /// [`boot_time`](Self::boot_time).
    fn unix_time(&self) -> Duration;

    /// A reading of the monotonic clock that a later process on the same machine can compare with its own.
    ///
    /// # Errors
    /// The system's clock cannot be read.
    fn boot_time(&self) -> io::Result<BootTime>;

    /// Completes at an instant. Timers for the same instant may complete in any order.
    fn sleep_until(&self, at: Instant) -> impl Future<Output = ()>;

    /// Starts a task on this thread. It ends with the process; dropping the returned handle does not end it.
    fn spawn(&self, task: impl Future<Output = ()> + 'static) -> Self::Task;

    /// Opens a connection. There is no timeout: if the address does not respond, the future may never complete.
    ///
    /// # Errors
    /// Any error of the socket.
    fn connect(&self, to: impl Into<Address>) -> impl Future<Output = io::Result<Self::Stream>>;

    /// Listens on an address. A Unix socket is accessible to its owner only, and replaces an existing socket that no
    /// process listens on.
    ///
    /// # Errors
    /// Any error of the socket, such as `AddrInUse`.
    fn listen(&self, at: impl Into<Address>) -> impl Future<Output = io::Result<Self::Listener>>;

    /// The listening TCP socket that the process inherited as a descriptor. Other processes share it: dropping the
    /// listener closes this process's copy and never shuts the socket down, and the descriptor can be used again.
    ///
    /// # Errors
    /// `InvalidInput` if the descriptor is not open or is not a listening socket.
    fn inherited_listener(&self, descriptor: i32) -> io::Result<Self::Listener>;

    /// Locks a file, which is created if missing; `None` while the lock is held elsewhere.
    ///
    /// # Errors
    /// The file cannot be opened or locked.
    fn lock(&self, path: &Path) -> io::Result<Option<Self::Lock>>;

    /// Opens a file for reading and writing, and creates it if missing.
    ///
    /// # Errors
    /// Any error of the file system.
    fn open(&self, path: &Path) -> io::Result<Self::File>;

    /// Creates an empty file for writing, in place of an existing one.
    ///
    /// # Errors
    /// Any error of the file system.
    fn create(&self, path: &Path) -> io::Result<Self::File>;

    /// Opens a file for access at any position, and creates it if missing.
    ///
    /// # Errors
    /// `WouldBlock` if the file is open elsewhere; otherwise any error of the file system.
    fn open_random_access(&self, path: &Path) -> io::Result<Self::RandomAccessFile>;

    /// Reads a complete file.
    ///
    /// # Errors
    /// Any error of the file system, such as `NotFound`.
    fn read(&self, path: &Path) -> io::Result<Vec<u8>>;

    /// Renames a file atomically, replacing an existing one.
    ///
    /// # Errors
    /// Any error of the file system.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    /// Any error of the file system, such as `NotFound`.
    fn remove(&self, path: &Path) -> io::Result<()>;

    /// Installs handlers for the signals of [`Signal`](crate::Signal). Without this call each of these signals ends the
    /// process.
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

    /// Runs a future until an instant. A future that completes at exactly that instant counts as in time.
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

    /// Replaces the content of a file. This is not atomic.
    ///
    /// # Errors
    /// Any error of the file system; some of the bytes may have been written.
    fn write(&self, path: &Path, bytes: &[u8]) -> io::Result<()> {
        self.create(path)?.write_all(bytes)
    }
}
