//! A virtual machine with its own clock, tasks, network, disks and signals. Processes run on it through
//! [`runtime::Runtime`], and its whole execution is determined by one seed.
//!
//! It consists of nodes, each with its own disk and wall clock, connected by one network. It does not depend on the
//! programs that run on it or on their peers.

mod connection;
mod context;
mod dial;
mod disk;
mod file;
mod handle;
mod listener;
mod lock;
mod lock_table;
mod network;
mod page_file;
mod planted_fault;
mod process;
mod process_lifetime;
mod scheduler;
mod signals;
mod simulated_runtime;
mod sleep;
mod state;
mod stream;
mod task;

use std::cell::RefCell;
use std::fmt;
use std::future::Future;
use std::rc::Rc;
use std::task::{Context, Waker};
use std::time::Duration;

use runtime::{Address, Runtime, Signal};

use connection::ConnectionId;
use network::Port;
use process::Process;
use scheduler::{NextStep, TaskId, TimerAction};
use state::{MachineState, SharedState};

pub use disk::Disk;
pub use file::SimulatedFile;
pub use handle::MachineHandle;
pub use listener::SimulatedListener;
pub use lock::SimulatedLock;
pub use network::AddressFault;
pub use page_file::SimulatedRandomAccessFile;
pub use planted_fault::PlantedFault;
pub use process::{NodeIndex, ProcessError, ProcessId, WORLD};
pub use signals::SimulatedSignals;
pub use simulated_runtime::{SimulatedRuntime, CONFIG_PATH};
pub use stream::SimulatedStream;
pub use task::SimulatedTask;

/// File descriptor of the listening socket that a process inherits.
const INHERITED_DESCRIPTOR: &str = "4";

/// The machine, as the code that runs a scenario on it controls it.
pub struct Machine {
    state: SharedState,
    last_process: ProcessId,
}

impl Machine {
    /// Creates a machine without processes. If `keeps_trace` is set, notes are kept as text for
    /// [`Machine::take_trace`].
    #[must_use]
    pub fn new(seed: u64, keeps_trace: bool) -> Self {
        Machine {
            state: Rc::new(RefCell::new(MachineState::new(seed, keeps_trace))),
            last_process: WORLD,
        }
    }

    /// Returns the runtime of the [`WORLD`] process, on which the relays' peers run.
    #[must_use]
    pub fn world_runtime(&self) -> SimulatedRuntime {
        SimulatedRuntime::new(self.state.clone(), WORLD)
    }

    /// Returns a handle for code that accesses the machine while it is stepped.
    #[must_use]
    pub fn handle(&self) -> MachineHandle {
        MachineHandle::new(self.state.clone())
    }
}

/// Processes.
impl Machine {
    /// Starts a process on a node. It runs `main` until that completes or the process is killed.
    pub fn start_process<F, E>(
        &mut self,
        node: NodeIndex,
        planted_fault: Option<PlantedFault>,
        main: impl FnOnce(SimulatedRuntime) -> F,
    ) -> ProcessId
    where
        F: Future<Output = Result<(), E>> + 'static,
        E: std::error::Error,
    {
        self.last_process += 1;
        let id = self.last_process;
        let environment = [("BALANCER_CONFIG".to_string(), CONFIG_PATH.to_string())];
        let process = Process {
            node,
            environment: environment.into(),
            planted_fault,
            started_at: self.now(),
            ..Process::default()
        };
        self.state.borrow_mut().processes.insert(id, process);
        let runtime = SimulatedRuntime::new(self.state.clone(), id);
        let (state, main) = (self.state.clone(), main(runtime.clone()));
        runtime.spawn(async move {
            let exit = main.await.map_err(|error| ProcessError::new(&error));
            // A killed process still runs to the end of its current poll; its actions there are ignored.
            if let Some(process) = state
                .borrow_mut()
                .processes
                .get_mut(&id)
                .filter(|process| process.lifetime.is_alive())
            {
                process.exit = Some(exit);
                process.lifetime.end();
            }
        });
        id
    }

    /// Gives a process that has not run yet a shared listening port to inherit and its own control socket.
    pub fn set_inherited_port(
        &self,
        process: ProcessId,
        port: impl Into<Address>,
        control_socket: impl Into<Address>,
    ) {
        if let Some(process) = self.state.borrow_mut().processes.get_mut(&process) {
            process.inherited_port = Some(port.into());
            process
                .environment
                .insert("BALANCER_SOCKET_FD".into(), INHERITED_DESCRIPTOR.into());
            process
                .environment
                .insert("BALANCER_CONTROL".into(), control_socket.into().to_string());
        }
    }

    /// Whether a process is running.
    #[must_use]
    pub fn is_alive(&self, process: ProcessId) -> bool {
        self.state.borrow().is_alive(process)
    }

    /// Returns the result with which a process exited by itself, if it did.
    #[must_use]
    pub fn exit(&self, process: ProcessId) -> Option<Result<(), ProcessError>> {
        let state = self.state.borrow();
        state.processes.get(&process)?.exit.clone()
    }

    /// Sends a signal to a process.
    pub fn send_signal(&self, process: ProcessId, signal: Signal) {
        let mut state = self.state.borrow_mut();
        state.note(format_args!("process {process} gets {signal:?}"));
        state.record_effect(process, "signal", &[]);
        if let Some(process) = state.processes.get_mut(&process) {
            process.pending_signals.push_back(signal);
            if let Some(waker) = process.signal_waker.take() {
                waker.wake();
            }
        }
    }

    /// Schedules a SIGKILL during the process's next effect after `effects` further ones.
    pub fn kill_after(&self, process: ProcessId, effects: u64) {
        self.state.borrow_mut().kill_after(process, effects);
    }

    /// Schedules a SIGKILL `effects` effects after the process next creates a file whose path ends with `suffix`.
    pub fn kill_after_create(&self, process: ProcessId, suffix: &'static str, effects: u64) {
        if let Some(process) = self.state.borrow_mut().processes.get_mut(&process) {
            process.kill_on_create = Some(process::KillOnCreate { suffix, effects });
        }
    }

    /// Whether a scheduled kill has not taken place yet.
    #[must_use]
    pub fn is_kill_pending(&self, process: ProcessId) -> bool {
        let state = self.state.borrow();
        state.processes.get(&process).is_some_and(|process| {
            process.lifetime.is_alive() && process.lifetime.is_kill_scheduled()
        })
    }

    /// Kills a process at once (SIGKILL) and drops its tasks, also if it is already dead.
    pub fn kill(&self, process: ProcessId) {
        let tasks = {
            let mut state = self.state.borrow_mut();
            if let Some(process) = state.processes.get(&process) {
                process.lifetime.end();
            }
            state.scheduler.take_all(process)
        };
        // Dropping the tasks closes their connections, which borrows the state.
        drop(tasks);
    }
}

/// Nodes and the network between them.
impl Machine {
    /// Calls `access` with the disk of a node.
    pub fn disk<T>(&self, node: NodeIndex, access: impl FnOnce(&mut Disk) -> T) -> T {
        access(self.state.borrow_mut().disk(node))
    }

    /// Sets how far each node's wall clock is ahead, indexed by node.
    pub fn set_clock_offsets(&self, offsets: Vec<Duration>) {
        self.state.borrow_mut().clock_offsets = offsets;
    }

    /// Opens a port that stays open independent of any process.
    pub fn open_shared_port(&self, address: impl Into<Address>) {
        let mut state = self.state.borrow_mut();
        state.network.ports.insert(address.into(), Port::new(WORLD));
    }

    /// Returns the connections to a port that a process has accepted and not closed.
    pub fn accepted_connections(&self, port: impl Into<Address>) -> Vec<u64> {
        self.state.borrow().network.accepted(&port.into())
    }

    /// Sets whether a node is partitioned from an address. Open connections become silent when the partition begins and
    /// are reset when it ends.
    pub fn set_partitioned(&self, node: NodeIndex, to: impl Into<Address>, partitioned: bool) {
        let to = to.into();
        let mut state = self.state.borrow_mut();
        let changed = state.network.set_partitioned(node, to.clone(), partitioned);
        if !changed {
            return;
        }
        let affected: Vec<ConnectionId> = state
            .network
            .connections
            .iter()
            .filter(|(_, connection)| connection.to == to)
            .filter(|(_, connection)| state.node(connection.initiator.process) == node)
            .map(|(id, _)| *id)
            .collect();
        state.set_silent(affected, partitioned);
    }

    /// Returns the network fault of an address.
    #[must_use]
    pub fn address_fault(&self, address: impl Into<Address>) -> AddressFault {
        self.state.borrow().network.fault(&address.into())
    }

    /// Sets the network fault of an address. If the address becomes silent, open connections become silent too, and are
    /// reset when the silence ends.
    pub fn set_address_fault(&self, address: impl Into<Address>, fault: AddressFault) {
        let address = address.into();
        let mut state = self.state.borrow_mut();
        let before = state.network.set_fault(address.clone(), fault);
        if before.silent == fault.silent {
            return;
        }
        let affected: Vec<ConnectionId> = state
            .network
            .connections
            .iter()
            .filter(|(_, connection)| connection.to == address)
            .map(|(id, _)| *id)
            .collect();
        state.set_silent(affected, fault.silent);
    }
}

/// Time, digests and trace.
impl Machine {
    /// Returns the virtual time since the machine was created.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.state.borrow().now
    }

    /// Returns the number of task polls so far.
    #[must_use]
    pub fn steps(&self) -> u64 {
        self.state.borrow().steps
    }

    /// Returns a digest of the whole execution, including notes.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.state.borrow().digest()
    }

    /// Returns a digest of times, the order of task polls, effects and written bytes. Notes do not affect it.
    #[must_use]
    pub fn effects_digest(&self) -> u64 {
        self.state.borrow().effects_digest()
    }

    /// Removes and returns the notes so far; empty if they are not kept.
    #[must_use]
    pub fn take_trace(&self) -> Vec<String> {
        self.state
            .borrow_mut()
            .trace
            .as_mut()
            .map(std::mem::take)
            .unwrap_or_default()
    }

    /// Adds a line to the digest and the trace.
    pub fn note(&self, line: fmt::Arguments<'_>) {
        self.state.borrow_mut().note(line);
    }
}

/// Execution.
impl Machine {
    /// Executes the next step and returns true if it is due no later than `until`; otherwise sets the clock to `until`
    /// and returns false.
    #[allow(
        clippy::must_use_candidate,
        reason = "some callers only check the time afterwards"
    )]
    pub fn step(&self, until: Duration) -> bool {
        let next = {
            let mut state = self.state.borrow_mut();
            let state = &mut *state;
            state
                .scheduler
                .next_step(state.now, |bound| state.rng.below(bound))
        };
        match next {
            NextStep::FireTimer(action) => self.fire(action),
            NextStep::Poll(task) => self.poll(task),
            NextStep::AdvanceClock(at) if at <= until => self.state.borrow_mut().now = at,
            NextStep::AdvanceClock(_) | NextStep::Idle => {
                let mut state = self.state.borrow_mut();
                state.now = state.now.max(until);
                return false;
            }
        }
        true
    }

    fn fire(&self, action: TimerAction) {
        let mut state = self.state.borrow_mut();
        match action {
            TimerAction::Wake(waker) => waker.wake(),
            TimerAction::Arrival(id, side) => {
                let connection = state.network.connections.get_mut(&id);
                let reader = connection
                    .and_then(|connection| connection.endpoint_mut(side).input.reader.take());
                reader.into_iter().for_each(Waker::wake);
            }
        }
    }

    fn poll(&self, id: TaskId) {
        let Some(task) = self.state.borrow_mut().scheduler.take(id) else {
            return;
        };
        let mut future = task.future;
        self.state.borrow_mut().record_poll(id);
        let has_ended = task.is_aborted
            || future
                .as_mut()
                .poll(&mut Context::from_waker(&task.waker))
                .is_ready();
        if has_ended {
            drop(future);
            self.state.borrow_mut().scheduler.finish(id);
        } else {
            let orphaned = self.state.borrow_mut().scheduler.put_back(id, future);
            // Dropped when the state is not borrowed: closing its connections borrows the state.
            drop(orphaned);
        }
        let is_dead = self.state.borrow().is_dead(task.process);
        if is_dead {
            self.kill(task.process);
        }
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        // Breaks the reference cycle: the tasks hold the state and the state holds the tasks.
        for process in WORLD..=self.last_process {
            let tasks = self.state.borrow_mut().scheduler.take_all(process);
            drop(tasks);
        }
    }
}
