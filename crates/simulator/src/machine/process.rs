//! Processes: what the machine knows of each, and how one ends.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::task::Waker;
use std::time::Duration;

use runtime::{Address, Signal};
use thiserror::Error;

use super::planted_fault::PlantedFault;
use super::process_lifetime::ProcessLifetime;

/// Number of a process. [`WORLD`] is the one that is never killed.
pub type ProcessId = u32;

/// Number of a node: one computer with a disk and a wall clock of its own.
pub type NodeIndex = usize;

/// The process of everything around the relays: clients, hosts, discovery.
pub const WORLD: ProcessId = 0;

/// The error with which a process ended by itself.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{message}")]
pub struct ProcessError {
    message: String,
}

impl ProcessError {
    /// The error of a program's main function, as its text.
    pub(super) fn new(error: &impl std::error::Error) -> Self {
        ProcessError {
            message: error.to_string(),
        }
    }
}

/// What becomes of an effect of a process on the world.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EffectOutcome {
    /// It is carried out.
    Done,
    /// The process is killed within it, before or after it was carried out.
    Killed {
        /// It was carried out.
        done: bool,
    },
    /// The process was dead before.
    Dead,
}

/// A kill that is scheduled once a file is created.
#[derive(Clone, Copy, Debug)]
pub(super) struct KillOnCreate {
    /// End of the file's path.
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
    /// How it ended by itself, if it did.
    pub exit: Option<Result<(), ProcessError>>,
    /// The listening port that it was started with.
    pub inherited_port: Option<Address>,
    /// The configuration as it was first read, for [`PlantedFault::StaleConfiguration`].
    pub first_configuration: Option<Vec<u8>>,
}

impl Process {
    /// Schedules the kill that waits for the creation of this file, if one does.
    pub fn schedule_kill_on_create(&mut self, path: &str) {
        let kill = self
            .kill_on_create
            .take_if(|kill| path.ends_with(kill.suffix));
        if let Some(kill) = kill {
            self.lifetime.kill_after(kill.effects);
        }
    }
}
