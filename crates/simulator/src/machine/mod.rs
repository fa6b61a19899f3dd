//! A machine that is all virtual: clock, tasks, network, disks, signals. Processes run on it through
//! [`runtime::Runtime`], and everything that happens on it follows from one seed.
//!
//! It consists of nodes, each with a disk and a wall clock of its own, joined by one network. It knows nothing of the
//! programs that run on it, nor of their peers.

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

/// Descriptor of the listening socket that a process is started with.
const INHERITED_DESCRIPTOR: &str = "4";

/// The machine, as the one who plays a scenario on it sees it.
pub struct Machine {
    state: SharedState,
    last_process: ProcessId,
}

impl Machine {
    /// A machine on which nothing runs yet. `keeps_trace` keeps the notes as text for [`Machine::take_trace`].
    #[must_use]
    pub fn new(seed: u64, keeps_trace: bool) -> Self {
        Machine {
            state: Rc::new(RefCell::new(MachineState::new(seed, keeps_trace))),
            last_process: WORLD,
        }
    }

    /// The system as the world's own tasks see it.
    #[must_use]
    pub fn world_runtime(&self) -> SimulatedRuntime {
        SimulatedRuntime::new(self.state.clone(), WORLD)
    }

    /// What those that watch the machine may hold beside it.
    #[must_use]
    pub fn handle(&self) -> MachineHandle {
        MachineHandle::new(self.state.clone())
    }
}

/// Processes.
impl Machine {
    /// Starts a process on a node, which runs `main` until that ends or the process is killed.
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
            // A process that was killed goes on to the end of its poll, and nothing that it does there counts.
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

    /// Starts a process that has not run yet with a shared listening port, and a control socket of its own.
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

    /// Whether a process runs.
    #[must_use]
    pub fn is_alive(&self, process: ProcessId) -> bool {
        self.state.borrow().is_alive(process)
    }

    /// How a process ended by itself, if it did.
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

    /// Schedules a SIGKILL within the process's effect that comes after this many more.
    pub fn kill_after(&self, process: ProcessId, effects: u64) {
        self.state.borrow_mut().kill_after(process, effects);
    }

    /// Schedules a SIGKILL this many effects after the process next creates a file whose path ends with `suffix`.
    pub fn kill_after_create(&self, process: ProcessId, suffix: &'static str, effects: u64) {
        if let Some(process) = self.state.borrow_mut().processes.get_mut(&process) {
            process.kill_on_create = Some(process::KillOnCreate { suffix, effects });
        }
    }

    /// Whether a scheduled kill has not struck yet.
    #[must_use]
    pub fn is_kill_pending(&self, process: ProcessId) -> bool {
        let state = self.state.borrow();
        state.processes.get(&process).is_some_and(|process| {
            process.lifetime.is_alive() && process.lifetime.is_kill_scheduled()
        })
    }

    /// SIGKILL now. The tasks of a process that is dead already are dropped as well.
    pub fn kill(&self, process: ProcessId) {
        let tasks = {
            let mut state = self.state.borrow_mut();
            if let Some(process) = state.processes.get(&process) {
                process.lifetime.end();
            }
            state.scheduler.take_all(process)
        };
        // Dropped, they close the connections that they hold, which takes the state.
        drop(tasks);
    }
}

/// Nodes and the network between them.
impl Machine {
    /// Reads or changes the disk of a node.
    pub fn disk<T>(&self, node: NodeIndex, access: impl FnOnce(&mut Disk) -> T) -> T {
        access(self.state.borrow_mut().disk(node))
    }

    /// Sets how far the wall clocks of the nodes are ahead, by their numbers.
    pub fn set_clock_offsets(&self, offsets: Vec<Duration>) {
        self.state.borrow_mut().clock_offsets = offsets;
    }

    /// Opens a port that stays, whichever processes come and go.
    pub fn open_shared_port(&self, address: impl Into<Address>) {
        let mut state = self.state.borrow_mut();
        state.network.ports.insert(address.into(), Port::new(WORLD));
    }

    /// Connections to a port that a process has accepted and not closed.
    pub fn accepted_connections(&self, port: impl Into<Address>) -> Vec<u64> {
        self.state.borrow().network.accepted(&port.into())
    }

    /// Sets whether nothing gets through from a node to an address. The connections that are open then fall silent,
    /// and are reset when the partition ends.
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

    /// What is wrong with an address.
    #[must_use]
    pub fn address_fault(&self, address: impl Into<Address>) -> AddressFault {
        self.state.borrow().network.fault(&address.into())
    }

    /// Sets what is wrong with an address. The connections that are open fall silent with it, and are reset when the
    /// silence ends.
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

/// The record of what has happened.
impl Machine {
    /// Virtual time since the world began.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.state.borrow().now
    }

    /// Tasks polled so far.
    #[must_use]
    pub fn steps(&self) -> u64 {
        self.state.borrow().steps
    }

    /// One number for all that has happened.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.state.borrow().digest()
    }

    /// One number for moments, the order of tasks, effects and written bytes alone: a changed note does not change it.
    #[must_use]
    pub fn effects_digest(&self) -> u64 {
        self.state.borrow().effects_digest()
    }

    /// Takes the notes so far out; none if they are not kept.
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

/// The course of time.
impl Machine {
    /// Does the next thing and returns true, if that is not after `until`; else sets the clock to `until`.
    #[allow(
        clippy::must_use_candidate,
        reason = "some callers look at the time alone"
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
            // Dropped once the state is free again, which it takes to close what it holds.
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
        // The tasks hold the state and the state holds the tasks.
        for process in WORLD..=self.last_process {
            let tasks = self.state.borrow_mut().scheduler.take_all(process);
            drop(tasks);
        }
    }
}
