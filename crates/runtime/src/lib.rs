//! The relay's interface to the operating system: time, timers, tasks, sockets, files, signals, environment variables
//! and the log.
//!
//! Everything goes through the trait [`Runtime`], so that the same code runs on a machine ([`OsRuntime`]) and in a
//! simulation whose clock, network and disk are scripted. The traits are static: on a machine each call compiles to
//! tokio's own. Random numbers are not included, because the relay draws all of them from the configured seed. For the
//! same reason every `select!` in the relay is `biased`: an unbiased one draws random numbers that a simulation cannot
//! repeat.

mod address;
mod boot_time;
mod elapsed;
mod file;
mod inherited_listener;
mod os;
mod runtime;
mod signal;
mod stream;
mod task;
mod transient;

pub use address::{Address, AddressError};
pub use boot_time::{BootId, BootTime};
pub use elapsed::Elapsed;
pub use file::{File, RandomAccessFile};
pub use os::{OsListener, OsRuntime, OsSignals, OsStream, OsTask};
pub use runtime::Runtime;
pub use signal::{Signal, Signals};
pub use stream::{Listener, PeerState, PendingInput, Stream};
pub use task::Task;
pub use transient::{connect_despite_shortage, is_transient, retry_transient};

/// Adds a line to the log of a [`Runtime`], with arguments as for `eprintln!`.
#[macro_export]
macro_rules! log {
    ($runtime:expr, $($line:tt)*) => { $crate::Runtime::log(&$runtime, format_args!($($line)*)) };
}
