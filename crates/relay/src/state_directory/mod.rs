//! Ownership of the state directory, and its hand-over from one process to the next.
//!
//! Exactly one process owns the directory: the one that holds the lock on `owner.lock`. `docs/daily.md` describes the
//! protocol step by step. The modules divide it as follows:
//!
//! - [`ownership`] is the state machine that decides what a process does next; it performs no I/O.
//! - [`directory`] names the files and performs single operations on them; it decides nothing.
//! - [`handover_state`] is the snapshot that the owner writes for its successor.
//! - [`call_ends`] is the file through which the departing process reports how its last calls ended.
//! - [`owner`] and [`departing_process`] carry out the actions of [`ownership`] on the files.

mod call_ends;
mod departing_process;
mod directory;
mod error;
mod handover_state;
mod owner;
mod ownership;
#[cfg(test)]
mod test_support;

pub use call_ends::OpenCall;
pub use departing_process::{DepartingProcess, RunningCall, RunningCalls};
pub use directory::StateDirectory;
pub use error::OwnershipError;
pub use handover_state::HandoverState;
pub use owner::DirectoryOwner;
pub use ownership::ListenerOrigin;
