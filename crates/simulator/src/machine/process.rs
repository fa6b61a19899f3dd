//! The machine's state of each process, and the types that describe its end.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::task::Waker;
use std::time::Duration;

use runtime::{Address, Signal};
use thiserror::Error;

use super::planted_fault::PlantedFault;
use super::process_lifetime::ProcessLifetime;

/// Number of a process. [`WORLD`] is never killed.
pub type ProcessId = u32;

/// Number of a node: one computer with its own disk and wall clock.
pub type NodeIndex = usize;

/// The process in which everything around the relays runs: clients, hosts, discovery.
pub const WORLD: ProcessId = 0;

/// The error with which a process exited by itself.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{message}")]
pub struct ProcessError {
    message: String,
}

impl ProcessError {
    /// Keeps the text of the error that a program's main function returned.
    pub(super) fn new(error: &impl std::error::Error) -> Self {
        ProcessError {
            message: error.to_string(),
        }
    }
}

/// The outcome of an effect: an action of a process that is visible outside it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EffectOutcome {
    /// It is carried out.
    Done,
    /// The process is killed during it, before or after it is carried out.
    Killed {
        /// Whether it is carried out.
        done: bool,
    },
    /// The process was already dead.
    Dead,
}

/// A kill to schedule when a certain file is created.
#[derive(Clone, Copy, Debug)]
pub(super) struct KillOnCreate {
    /// Suffix of the file's path.
    pub suffix: &'static str,
    /// Effects after the creation that are still carried out.
    pub effects: u64,
}

/// The state of one process.
#[derive(Default)]
pub(super) struct Process {
    pub lifetime: Arc<ProcessLifetime>,
    pub node: NodeIndex,
    pub kill_on_create: Option<KillOnCreate>,
    pub pending_signals: VecDeque<Signal>,
    pub signal_waker: Option<Waker>,
    pub environment: BTreeMap<String, String>,
    pub planted_fault: Option<PlantedFault>,
    /// Virtual time at which it was started.
    pub started_at: Duration,
    /// The result with which it exited by itself, if it did.
    pub exit: Option<Result<(), ProcessError>>,
    /// The listening port that it inherits, if any.
    pub inherited_port: Option<Address>,
    /// The configuration's first content, for [`PlantedFault::StaleConfiguration`].
    pub first_configuration: Option<Vec<u8>>,
}

impl Process {
    /// Schedules the kill that is pending on the creation of this file, if there is one.
    pub fn schedule_kill_on_create(&mut self, path: &str) {
        let kill = self
            .kill_on_create
            .take_if(|kill| path.ends_with(kill.suffix));
        if let Some(kill) = kill {
            self.lifetime.kill_after(kill.effects);
        }
    }
}
