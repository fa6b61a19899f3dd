//! The machine's state: clock, scheduler, network, disks, processes, and the digests of the execution.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::time::{Duration, Instant};

use runtime::Address;

use super::connection::{Arrival, ConnectionId};
use super::disk::Disk;
use super::lock_table::LockTable;
use super::network::Network;
use super::planted_fault::PlantedFault;
use super::process::{EffectOutcome, NodeIndex, Process, ProcessId};
use super::process_lifetime::EffectStep;
use super::scheduler::{Scheduler, TaskId, TimerAction};
use crate::rng::SimulationRng;

/// The stream of the seed's random numbers from which the machine draws.
const RNG_STREAM: u64 = 1;
/// How far clocks are ahead under [`PlantedFault::ClockAhead`].
const CLOCK_AHEAD_OFFSET: Duration = Duration::from_secs(60);
/// Processes that start later than this are not the first, for [`PlantedFault::ClockAhead`].
const FIRST_START_WITHIN: Duration = Duration::from_secs(1);

/// The machine's state, shared by the machine, its processes and their open files and sockets.
pub(super) type SharedState = Rc<RefCell<MachineState>>;

/// The state of the machine.
pub(super) struct MachineState {
    /// Reading of the monotonic clock at virtual time zero.
    pub clock_origin: Instant,
    /// Virtual time.
    pub now: Duration,
    /// Number of task polls so far.
    pub steps: u64,
    pub scheduler: Scheduler,
    pub network: Network,
    /// Disks, indexed by node.
    disks: Vec<Disk>,
    /// How far each node's wall clock is ahead, indexed by node.
    pub clock_offsets: Vec<Duration>,
    pub processes: BTreeMap<ProcessId, Process>,
    pub locks: LockTable,
    pub rng: SimulationRng,
    /// Digest of times, the order of task polls, and notes.
    digest: DefaultHasher,
    /// Digest of times, the order of task polls, effects and written bytes, without notes.
    effects_digest: DefaultHasher,
    /// The notes as text, if a trace is kept.
    pub trace: Option<Vec<String>>,
}

impl MachineState {
    pub fn new(seed: u64, keeps_trace: bool) -> Self {
        MachineState {
            clock_origin: Instant::now(),
            now: Duration::ZERO,
            steps: 0,
            scheduler: Scheduler::default(),
            network: Network::default(),
            disks: Vec::new(),
            clock_offsets: Vec::new(),
            processes: BTreeMap::new(),
            locks: LockTable::default(),
            rng: SimulationRng::new(seed, RNG_STREAM),
            digest: DefaultHasher::new(),
            effects_digest: DefaultHasher::new(),
            trace: keeps_trace.then(Vec::new),
        }
    }
}

/// Processes and their effects.
impl MachineState {
    /// Whether a process was started and is alive; false for the world process.
    pub fn is_alive(&self, process: ProcessId) -> bool {
        self.processes
            .get(&process)
            .is_some_and(|process| process.lifetime.is_alive())
    }

    /// Whether a process was started and is dead; false for the world process.
    pub fn is_dead(&self, process: ProcessId) -> bool {
        self.processes
            .get(&process)
            .is_some_and(|process| !process.lifetime.is_alive())
    }

    pub fn planted_fault(&self, process: ProcessId) -> Option<PlantedFault> {
        self.processes
            .get(&process)
            .and_then(|process| process.planted_fault)
    }

    /// Counts an effect of a process, during which a scheduled kill may take place.
    pub fn count_effect(&mut self, process: ProcessId) -> EffectOutcome {
        let Some(process) = self.processes.get(&process) else {
            return EffectOutcome::Done;
        };
        match process.lifetime.step() {
            EffectStep::Done => EffectOutcome::Done,
            EffectStep::Killed => EffectOutcome::Killed {
                done: self.rng.below(2) == 0,
            },
            EffectStep::Dead => EffectOutcome::Dead,
        }
    }

    /// Counts a write of a process as an effect, and returns how many of `length` bytes it may write: any part if the
    /// process is killed during it. None if the process was already dead.
    pub fn count_write(
        &mut self,
        process: ProcessId,
        length: usize,
        short_percent: u64,
    ) -> Option<usize> {
        match self.count_effect(process) {
            EffectOutcome::Dead => None,
            EffectOutcome::Killed { .. } => Some(self.rng.below(length as u64 + 1) as usize),
            EffectOutcome::Done => Some(self.draw_length(length, short_percent)),
        }
    }

    /// Draws how many of `length` bytes a transfer moves; `short_percent` percent of transfers are short.
    pub fn draw_length(&mut self, length: usize, short_percent: u64) -> usize {
        if length > 1 && self.rng.percent(short_percent) {
            1 + self.rng.below(length as u64 - 1) as usize
        } else {
            length
        }
    }

    /// Schedules a kill during the process's next effect after `effects` further ones.
    pub fn kill_after(&mut self, process: ProcessId, effects: u64) {
        if let Some(process) = self.processes.get(&process) {
            process.lifetime.kill_after(effects);
        }
    }
}

/// Nodes: their disks and clocks.
impl MachineState {
    /// Returns the node on which a process runs; 0 for the world process.
    pub fn node(&self, process: ProcessId) -> NodeIndex {
        self.processes
            .get(&process)
            .map_or(0, |process| process.node)
    }

    /// Returns the disk of a process's node.
    pub fn disk_of(&mut self, process: ProcessId) -> &mut Disk {
        self.disk(self.node(process))
    }

    /// Returns the disk of a node, which is created on first use.
    pub fn disk(&mut self, node: NodeIndex) -> &mut Disk {
        if self.disks.len() <= node {
            self.disks.resize_with(node + 1, Disk::default);
        }
        &mut self.disks[node]
    }

    /// Returns how far the wall clock of a process's node is ahead.
    pub fn clock_offset(&self, process: ProcessId) -> Duration {
        self.clock_offsets
            .get(self.node(process))
            .copied()
            .unwrap_or_default()
    }

    /// Returns how far a planted fault moves a process's wall and boot clocks ahead.
    pub fn planted_clock_offset(&self, process: ProcessId) -> Duration {
        let is_ahead = self.processes.get(&process).is_some_and(|process| {
            process.planted_fault == Some(PlantedFault::ClockAhead)
                && process.started_at > FIRST_START_WITHIN
        });
        if is_ahead {
            CLOCK_AHEAD_OFFSET
        } else {
            Duration::ZERO
        }
    }

    /// Returns when a process was started if its clocks run at four fifths of normal speed; none otherwise.
    fn slowed_since(&self, process: ProcessId) -> Option<Duration> {
        self.processes
            .get(&process)
            .filter(|process| process.planted_fault == Some(PlantedFault::SlowClock))
            .map(|process| process.started_at)
    }

    /// Returns the current time of a process's clock, since the start of the simulation.
    pub fn local_time(&self, process: ProcessId) -> Duration {
        match self.slowed_since(process) {
            Some(started_at) => started_at + (self.now - started_at) * 4 / 5,
            None => self.now,
        }
    }

    /// Returns the virtual time at which a process's clock shows `local`.
    pub fn global_time(&self, process: ProcessId, local: Duration) -> Duration {
        match self.slowed_since(process) {
            Some(started_at) => started_at + local.saturating_sub(started_at) * 5 / 4,
            None => local,
        }
    }
}

/// Connections.
impl MachineState {
    /// Whether a process's node is partitioned from an address.
    pub fn is_partitioned(&self, process: ProcessId, to: &Address) -> bool {
        self.network.is_partitioned(self.node(process), to)
    }

    /// Silences connections, or resets them when their silence ends.
    pub fn set_silent(&mut self, connections: Vec<ConnectionId>, silent: bool) {
        for id in connections {
            if silent {
                self.network.silence(id);
            } else {
                let arrivals = self.network.reset(id, self.now);
                self.schedule_arrivals(id, arrivals);
            }
        }
    }

    /// Schedules timers that wake the readers of a connection at each arrival.
    pub fn schedule_arrivals(
        &mut self,
        connection: ConnectionId,
        arrivals: impl IntoIterator<Item = Arrival>,
    ) {
        for arrival in arrivals {
            let action = TimerAction::Arrival(connection, arrival.side);
            self.scheduler.add_timer(arrival.at, action);
        }
    }
}

/// Digests and trace.
impl MachineState {
    /// Adds the poll of a task to both digests.
    pub fn record_poll(&mut self, task: TaskId) {
        self.steps += 1;
        (self.now, task).hash(&mut self.digest);
        (self.now, task).hash(&mut self.effects_digest);
    }

    /// Adds an effect of a process to the digest of effects.
    pub fn record_effect(&mut self, process: ProcessId, effect: &str, bytes: &[u8]) {
        (self.now, process, effect, bytes).hash(&mut self.effects_digest);
    }

    /// Adds a line to the digest, and to the trace if one is kept.
    pub fn note(&mut self, line: fmt::Arguments<'_>) {
        let line = line.to_string();
        (self.now, &line).hash(&mut self.digest);
        if let Some(trace) = &mut self.trace {
            let text = format!(
                "{:>10.6} step {:<7} {line}",
                self.now.as_secs_f64(),
                self.steps
            );
            trace.push(text);
        }
    }

    pub fn digest(&self) -> u64 {
        self.digest.finish()
    }

    pub fn effects_digest(&self) -> u64 {
        self.effects_digest.finish()
    }
}
