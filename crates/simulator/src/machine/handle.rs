//! A handle to the machine for code outside its tasks.

use std::fmt;

use super::process::ProcessId;
use super::state::SharedState;

/// Gives access to the machine from outside its tasks while its owner steps it.
#[derive(Clone)]
pub struct MachineHandle {
    state: SharedState,
}

impl MachineHandle {
    pub(super) fn new(state: SharedState) -> Self {
        MachineHandle { state }
    }

    /// Whether the side that opened a connection still holds it open.
    #[must_use]
    pub fn is_held_by_initiator(&self, connection: u64) -> bool {
        self.state.borrow().network.is_held_by_initiator(connection)
    }

    /// Whether the side that opened a connection still holds it open and receives everything sent on it. False if the
    /// connection was ever silent: the reset that ends a silence does not recover the data lost during it.
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

    /// Schedules a SIGKILL during the process's next effect after `effects` further ones.
    pub fn kill_after(&self, process: ProcessId, effects: u64) {
        self.state.borrow_mut().kill_after(process, effects);
    }

    /// Adds a line to the digest and the trace.
    pub fn note(&self, line: fmt::Arguments<'_>) {
        self.state.borrow_mut().note(line);
    }
}
