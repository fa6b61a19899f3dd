//! What a relay takes from the system that it runs on: time, timers, tasks, sockets, files, signals,
//! variables and its log.
//!
//! All of it goes through [`Runtime`], so that the same code runs on the machine ([`OsRuntime`]) and in a world
//! whose clock, network and disk are scripted. The traits are static: on the machine each call is the
//! runtime's own. Random numbers are not here, as the relay draws all of its own from the configured seed;
//! for the same reason every `select!` on either side of the seam is `biased`.

mod inherited_listener;
mod os;

use std::fmt;
use std::future::Future;
use std::io::{self, Read, Seek, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::str::FromStr;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use tokio::io::{AsyncRead, AsyncWrite};

pub use os::{OsListener, OsRuntime, OsStream, OsTask};

/// The system that a relay runs on.
pub trait Runtime: Clone + 'static {
    /// A task that was started.
    type Task: Task;
    /// A connection.
    type Stream: Stream;
    /// A port or socket that takes connections.
    type Listener: Listener<Stream = Self::Stream>;
    /// An open file.
    type File: File;
    /// A file of pages.
    type RandomAccessFile: RandomAccessFile;
    /// The signals sent to this process.
    type Signals: Signals;
    /// A lock on a file, held until this is dropped or the process ends, however it ends.
    type Lock: 'static;

    /// Now, by a clock that never goes backwards. Only differences between two such moments mean anything.
    fn now(&self) -> Instant;

    /// Time since the Unix epoch, by a clock that may be set.
    fn unix_time(&self) -> Duration;

    /// Ready at a moment. Timers of the same moment may fire in any order.
    fn sleep_until(&self, at: Instant) -> impl Future<Output = ()>;

    /// Starts a task of this process. It ends with the process, not with the returned value.
    fn spawn(&self, task: impl Future<Output = ()> + 'static) -> Self::Task;

    /// Opens a connection; an address that says nothing takes for ever.
    fn connect(&self, to: impl Into<Address>) -> impl Future<Output = io::Result<Self::Stream>>;

    /// Takes connections at an address. A Unix socket is its owner's alone, and takes the place of one that
    /// nobody listens at any more.
    fn listen(&self, at: impl Into<Address>) -> impl Future<Output = io::Result<Self::Listener>>;

    /// The listening TCP socket that the process was started with as a descriptor. Others have it too: it is closed when
    /// what this gives is dropped, never shut down, and may be asked for again.
    fn inherited_listener(&self, descriptor: i32) -> io::Result<Self::Listener>;

    /// The lock on a file, which is made if there is none; none while another has it.
    fn lock(&self, path: &Path) -> io::Result<Option<Self::Lock>>;

    /// Opens a file to read and write, and makes it if there is none.
    fn open(&self, path: &Path) -> io::Result<Self::File>;

    /// Opens an empty file to write, in place of what there was.
    fn create(&self, path: &Path) -> io::Result<Self::File>;

    /// Opens a file of pages, and makes it if there is none. One process has it open at a time.
    fn open_random_access(&self, path: &Path) -> io::Result<Self::RandomAccessFile>;

    /// The whole of a file.
    fn read(&self, path: &Path) -> io::Result<Vec<u8>>;

    /// Puts a file in place of another, in one step.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;

    /// Removes a file.
    fn remove(&self, path: &Path) -> io::Result<()>;

    /// The signals that come from now on; without this call each of them ends the process.
    fn signals(&self) -> io::Result<Self::Signals>;

    /// A variable of the environment; an empty one counts as none.
    fn env_var(&self, name: &str) -> Option<String>;

    /// A line for the log.
    fn log(&self, line: fmt::Arguments<'_>);

    /// Ready after a span.
    fn sleep(&self, span: Duration) -> impl Future<Output = ()> {
        self.sleep_until(self.now() + span)
    }

    /// What the future gives, if it is ready by then.
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

    /// What the future gives, if it is ready within the span.
    fn timeout<F: Future>(
        &self,
        span: Duration,
        future: F,
    ) -> impl Future<Output = Result<F::Output, Elapsed>> {
        self.timeout_at(self.now() + span, future)
    }

    /// Puts text in a file, in place of what it held.
    fn write(&self, path: &Path, text: &[u8]) -> io::Result<()> {
        self.create(path)?.write_all(text)
    }
}

/// Adds a line to the log of a [`Runtime`], as `eprintln!` would.
#[macro_export]
macro_rules! log {
    ($runtime:expr, $($line:tt)*) => { $crate::Runtime::log(&$runtime, format_args!($($line)*)) };
}

/// A span ended before what was waited for came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Elapsed;

impl fmt::Display for Elapsed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "it took too long")
    }
}

impl std::error::Error for Elapsed {}

impl From<Elapsed> for io::Error {
    fn from(elapsed: Elapsed) -> Self {
        io::Error::new(io::ErrorKind::TimedOut, elapsed)
    }
}

/// A task that was started.
pub trait Task: 'static {
    /// Ends the task at the point where it waits. What it holds is dropped soon after, not by this call.
    fn abort(&self);

    /// Ready once the task has ended and what it held is dropped.
    fn join(&mut self) -> impl Future<Output = ()>;
}

/// Where connections are taken: `127.0.0.1:8700`, `[::1]:8700` or `unix:/run/madderpitch.sock`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Address {
    /// A TCP port.
    Tcp(SocketAddr),
    /// A Unix stream socket, by its path.
    Unix(PathBuf),
}

impl Address {
    /// Whether only this machine reaches it.
    pub fn is_local(&self) -> bool {
        match self {
            Address::Tcp(at) => at.ip().is_loopback(),
            Address::Unix(_) => true,
        }
    }
}

impl From<SocketAddr> for Address {
    fn from(at: SocketAddr) -> Self {
        Address::Tcp(at)
    }
}

impl FromStr for Address {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text.strip_prefix("unix:") {
            Some(path) if path.starts_with('/') => Ok(Address::Unix(path.into())),
            Some(path) => Err(format!("{path:?} is no absolute path of a socket")),
            None => text
                .parse()
                .map(Address::Tcp)
                .map_err(|_| format!("{text:?} is no address and port")),
        }
    }
}

impl fmt::Display for Address {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Address::Tcp(at) => write!(f, "{at}"),
            Address::Unix(path) => write!(f, "unix:{}", path.display()),
        }
    }
}

/// What waits to be read on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PendingInput {
    /// Nothing yet.
    Empty,
    /// Bytes.
    Bytes,
    /// Its end, or an error.
    Closed,
}

/// A connection; dropping it closes it.
pub trait Stream: AsyncRead + AsyncWrite + Unpin + 'static {
    /// Sends small writes at once.
    fn set_nodelay(&self) -> io::Result<()>;

    /// Ready when there may be something to read.
    fn readable(&self) -> impl Future<Output = io::Result<()>>;

    /// Reads what there is; `WouldBlock` if there is nothing, 0 at the end.
    fn try_read_buf(&self, into: &mut BytesMut) -> io::Result<usize>;

    /// What waits to be read, whatever the runtime has heard of it.
    fn pending_input(&self) -> PendingInput;
}

/// A port or socket that takes connections.
pub trait Listener: 'static {
    /// The connections that it takes.
    type Stream;

    /// Takes the next connection.
    fn accept(&self) -> impl Future<Output = io::Result<Self::Stream>>;
}

/// An open file. A write may be short, or fail with a part of it written.
pub trait File: Read + Write + Seek + 'static {
    /// Cuts the file off.
    fn set_len(&self, length: u64) -> io::Result<()>;
}

/// A file that is read and written at any place, as an embedded database does; it may be handed to other threads.
pub trait RandomAccessFile: fmt::Debug + Send + Sync + 'static {
    /// Its length in bytes.
    fn length(&self) -> io::Result<u64>;

    /// Fills the buffer from a place on; an error if the file ends before.
    fn read_at(&self, at: u64, into: &mut [u8]) -> io::Result<()>;

    /// Writes all of the bytes at a place.
    fn write_at(&self, at: u64, bytes: &[u8]) -> io::Result<()>;

    /// Cuts the file off, or fills it up with zeros.
    fn set_length(&self, length: u64) -> io::Result<()>;

    /// Returns once all that was written would outlast the machine.
    fn sync(&self) -> io::Result<()>;
}

/// A signal that means something to a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Come to an end: SIGTERM or SIGINT.
    Stop,
    /// Read the configuration again: SIGHUP.
    Reload,
}

/// The signals sent to a process, one at a time.
pub trait Signals: 'static {
    /// The next signal. Nothing is lost if the future is dropped before it is ready.
    fn next(&mut self) -> impl Future<Output = Signal>;
}
