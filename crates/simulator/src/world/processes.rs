//! The processes of the relays: starts, reloads, upgrades and ends.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use runtime::{Runtime, Signal};

use super::World;
use crate::history::Observation;
use crate::hosted::OPERATOR_FILE;
use crate::machine::{ProcessId, CONFIG_PATH};
use crate::peers::connection::wait_until_ready;
use crate::peers::control_clients::ControlSocket;
use crate::script::{discovery_address, relay_address};

/// Time from SIGTERM to SIGKILL of the old process in an upgrade.
const TERMINATION_TIMEOUT: Duration = Duration::from_millis(3700);

/// State of a relay's process.
pub(super) enum ProcessState {
    Running,
    /// Ended; to be started again at this time.
    Down(Duration),
    /// Terminating after SIGTERM; to be started again this long after its end.
    Terminating(Duration),
}

/// The old process of an upgrade.
pub(super) struct ReplacedProcess {
    pub(super) process: ProcessId,
    /// Time from the new process's readiness until SIGTERM.
    pub(super) stop_after: Duration,
    /// When the new process reported that it is ready.
    pub(super) ready_at: Rc<Cell<Option<Duration>>>,
    /// When it gets SIGKILL; none before SIGTERM.
    pub(super) kill_at: Option<Duration>,
}

impl World<'_> {
    pub(super) fn write_config(&self, relay: usize) {
        let discovery = discovery_address(relay, self.relays[relay].discovery_moves);
        let mut config = self.script.config(
            relay,
            &self.relays[relay].settings,
            &self.host_snapshot,
            discovery,
        );
        if let Some(change) = self.options.misconfigure {
            change(&mut config);
        }
        self.machine.disk(relay, |disk| {
            disk.put(CONFIG_PATH, config.to_string().into_bytes())
        });
        if let Some(hosted) = &self.script.hosted {
            self.machine.disk(relay, |disk| {
                disk.put(OPERATOR_FILE, hosted.operator_file().into_bytes())
            });
        }
        if self.script.logs_table_levels {
            self.machine.disk(relay, |disk| {
                disk.put(OPERATOR_FILE, b"log_calls = true".to_vec())
            });
        }
        if let Some(kept) = &self.script.kept {
            let text = kept.operator_file(self.script.limits.capacity.keys().copied());
            self.machine
                .disk(relay, |disk| disk.put(OPERATOR_FILE, text.into_bytes()));
        }
    }

    /// Starts a process of a relay, without recording it.
    pub(super) fn spawn_process(&mut self, relay: usize) -> ProcessId {
        let has_operator_file = self.script.hosted.is_some()
            || self.script.kept.is_some()
            || self.script.logs_table_levels;
        let operator_file = has_operator_file.then(|| OPERATOR_FILE.into());
        let run = |runtime| relay::run(runtime, operator_file);
        let process = self
            .machine
            .start_process(relay, self.options.planted_fault, run);
        if self.script.upgrades {
            self.machine.set_inherited_port(
                process,
                relay_address(relay),
                control_address(process),
            );
        }
        process
    }

    pub(super) fn start_process(&mut self, relay: usize) {
        // Replaces a corrupted file, so that the process reads a valid one.
        self.write_config(relay);
        let process = self.spawn_process(relay);
        if relay == 0 {
            self.pending_kill.set((process, self.pending_kill.get().1));
        }
        (self.relays[relay].process, self.relays[relay].state) = (process, ProcessState::Running);
        self.machine.note(format_args!("process {process} starts"));
        self.record_process_started(relay, process);
    }

    /// Reports to the checker which process of a relay serves after another one has ended.
    pub(super) fn record_process_started(&mut self, relay: usize, process: ProcessId) {
        self.relays[relay]
            .control_endpoint
            .set(control_socket(process));
        self.relays[relay].config_written_at = self.machine.now();
        let context = self.context_of(relay);
        context.observe(&Observation::ProcessStarted(process));
        self.context.runtime.spawn(async move {
            wait_until_ready(&context, relay_address(relay)).await;
            context.observe(&Observation::ProcessReady);
        });
    }

    /// Sends SIGHUP to all processes of a relay: during an upgrade only one of two owns the state directory, and an operator
    /// cannot know which.
    pub(super) fn send_reload(&mut self, relay: usize, is_valid: bool) {
        let now = self.machine.now();
        let state = &mut self.relays[relay];
        state.config_written_at = now;
        for process in [
            Some(state.process),
            state.old.as_ref().map(|old| old.process),
        ]
        .into_iter()
        .flatten()
        {
            if self.machine.is_alive(process) {
                self.machine.send_signal(process, Signal::Reload);
                self.context_of(relay)
                    .observe(&Observation::ReloadRequested { is_valid });
            }
        }
    }

    /// Advances an upgrade: terminates the old process after the new one is ready, and handles the end of either.
    pub(super) fn advance_upgrade(&mut self, now: Duration, relay: usize) {
        let new = self.relays[relay].process;
        let Some(old) = &self.relays[relay].old else {
            return;
        };
        let process = old.process;
        match (self.machine.is_alive(process), self.machine.is_alive(new)) {
            (true, true) => self.advance_termination(now, relay),
            (false, is_replaced) => self.end_old_process(relay, process, is_replaced),
            (true, false) => self.end_new_process(relay, process),
        }
    }

    /// Sends SIGTERM to the old process once its time is over, and SIGKILL a while later.
    fn advance_termination(&mut self, now: Duration, relay: usize) {
        let Some(old) = &mut self.relays[relay].old else {
            return;
        };
        match (old.kill_at, old.ready_at.get()) {
            (None, Some(ready_at)) if now >= ready_at + old.stop_after => {
                old.kill_at = Some(now + TERMINATION_TIMEOUT);
                self.machine.send_signal(old.process, Signal::Stop);
            }
            (Some(at), _) if now >= at => self.machine.kill(old.process),
            _ => {}
        }
    }

    /// Handles the end of the old process of an upgrade.
    fn end_old_process(&mut self, relay: usize, old: ProcessId, is_replaced: bool) {
        let new = self.relays[relay].process;
        let exit = self.machine.exit(old);
        self.machine
            .note(format_args!("process {old} is gone, and was replaced"));
        self.relays[relay].old = None;
        self.relays[relay].control_endpoint.set(control_socket(new));
        self.machine.kill(old);
        let context = self.context_of(relay);
        if let Some(Err(error)) = &exit {
            context.observe(&Observation::ProcessExited(&Err(error.to_string())));
        }
        // A process that exited by itself had no calls in flight.
        if exit.is_none() && is_replaced {
            context.observe(&Observation::ProcessTerminated);
            self.record_process_started(relay, new);
        }
    }

    /// Handles the end of the new process of an upgrade, after which the old one goes on.
    fn end_new_process(&mut self, relay: usize, old: ProcessId) {
        let new = self.relays[relay].process;
        let exit = self.machine.exit(new);
        self.machine.note(format_args!(
            "process {new} is gone, and was to replace {old}"
        ));
        self.machine.kill(new);
        let state = &mut self.relays[relay];
        let replaced = state.old.take();
        state.process = old;
        let context = self.context_of(relay);
        if let Some(Err(error)) = &exit {
            context.observe(&Observation::ProcessExited(&Err(error.to_string())));
        }
        context.observe(&Observation::ProcessTerminated);
        self.record_process_started(relay, old);
        if replaced.is_some_and(|replaced| replaced.kill_at.is_some()) {
            self.relays[relay].state = ProcessState::Terminating(self.relays[relay].downtime);
            context.observe(&Observation::TerminationRequested);
        }
    }

    /// Handles the end of a relay's process, and restarts it when its downtime is over.
    pub(super) fn advance_process(&mut self, now: Duration, relay: usize) {
        let process = self.relays[relay].process;
        match self.relays[relay].state {
            ProcessState::Down(at) if at <= now => self.start_process(relay),
            ProcessState::Down(_) => {}
            ProcessState::Running | ProcessState::Terminating(_)
                if self.machine.is_alive(process) => {}
            ProcessState::Running | ProcessState::Terminating(_) => {
                let context = self.context_of(relay);
                if let Some(exit) = self.machine.exit(process) {
                    context.observe(&Observation::ProcessExited(
                        &exit.map_err(|error| error.to_string()),
                    ));
                }
                context.observe(&Observation::ProcessTerminated);
                self.machine.note(format_args!("process {process} is gone"));
                self.machine.kill(process);
                let state = &mut self.relays[relay];
                let after = match state.state {
                    ProcessState::Terminating(after) => after,
                    _ => state.downtime,
                };
                state.state = ProcessState::Down(now + after);
            }
        }
    }
}

/// The control socket of a process.
pub(super) fn control_socket(process: ProcessId) -> ControlSocket {
    ControlSocket {
        process,
        address: control_address(process),
    }
}

/// The address of a process's control socket.
pub(super) fn control_address(process: ProcessId) -> SocketAddr {
    SocketAddr::from(([10, 3, 0, 1], 10_000 + (process % 50_000) as u16))
}
