//! What those that watch the machine hold beside it.

use std::fmt;

use super::process::ProcessId;
use super::state::SharedState;

/// Reaches the machine from outside its tasks, while another part of the program steps it.
#[derive(Clone)]
pub struct MachineHandle {
    state: SharedState,
}

impl MachineHandle {
    pub(super) fn new(state: SharedState) -> Self {
        MachineHandle { state }
    }

    /// Whether the side that opened a connection still holds it.
    #[must_use]
    pub fn is_held_by_initiator(&self, connection: u64) -> bool {
        self.state.borrow().network.is_held_by_initiator(connection)
    }

    /// Whether the side that opened a connection still holds it, and everything that was sent on it arrives: a reset
    /// after a silence does not bring back what the silence has swallowed.
    #[must_use]
    pub fn delivers_to_initiator(&self, connection: u64) -> bool {
        let state = self.state.borrow();
        let was_never_silent = state
            .network
            .connections
            .get(&connection)
            .is_some_and(|connection| !connection.was_silent);
        was_never_silent && state.network.is_held_by_initiator(connection)
    }

    /// Schedules a SIGKILL within the process's effect that comes after this many more.
    pub fn kill_after(&self, process: ProcessId, effects: u64) {
        self.state.borrow_mut().kill_after(process, effects);
    }

    /// Adds a line to the digest and the trace.
    pub fn note(&self, line: fmt::Arguments<'_>) {
        self.state.borrow_mut().note(line);
    }
}
