//! The hand-over of the state directory to another process in an upgrade.

use std::io;
use std::time::Instant;

use control::{LifecycleEvent, LifecycleState};
use runtime::{log, Runtime};

use super::EventLoop;
use crate::state_directory::{DepartingProcess, HandoverState, OpenCall};

impl<R: Runtime> EventLoop<R> {
    /// Withdraws the request by which this process got the directory; called once it serves.
    pub fn withdraw_handover_request(&mut self) {
        self.directory_owner.withdraw_request();
    }

    /// Checks the state directory if that is due, and returns when the check was due.
    pub fn check_state_directory_if_due(&mut self, now: Instant) -> Option<Instant> {
        let due_at = self.directory_owner.next_check_at()?;
        if due_at <= now {
            self.check_state_directory();
        }
        Some(due_at)
    }

    /// Checks for a hand-over request, and for ends of the departing process' calls.
    fn check_state_directory(&mut self) {
        let may_start_handover = matches!(
            self.control.state(),
            LifecycleState::Serving | LifecycleState::Draining
        );
        if may_start_handover && self.directory_owner.handover_requested() {
            self.control.handle_event(LifecycleEvent::HandoverRequested);
        }
        for call in self.directory_owner.take_call_ends() {
            self.attempt_ended(call);
        }
        self.directory_owner.clean_up();
    }

    /// Writes the state for the new owner and hands over the state directory.
    ///
    /// # Errors
    /// If the state cannot be written. This process then keeps the directory.
    pub fn start_handover(&mut self) -> io::Result<DepartingProcess<R>> {
        let state = self.handover_state();
        let messages = self.in_flight.len();
        let open_calls = state.open_calls.len();
        let departing = self
            .directory_owner
            .start_handover(state, self.disk_limit)?;
        log!(
            self.runtime,
            "upgrade: handed_over messages={messages} open_calls={open_calls}"
        );
        Ok(departing)
    }

    /// Ends the loop after a hand-over. Its open calls continue in the departing process.
    pub fn retire(mut self, departing: &mut DepartingProcess<R>) {
        self.host_connections.retire();
        self.control.metrics().record_handover();
        // Dropping a call's channel cancels the call, so the channels of the calls that a host may execute have to
        // outlive this loop. The other calls cannot begin without the loop's journal; the new owner makes them.
        let mut calls = std::mem::take(&mut self.open_calls);
        calls.retain(|id, call| self.journal.borrow().is_started(*id, call.attempt));
        departing.keep_calls(calls);
    }

    /// The state for the new owner that is not in the journal. It lists only open calls that have begun; the new owner
    /// makes the others.
    fn handover_state(&mut self) -> HandoverState {
        let journal = self.journal.borrow();
        let open_calls = self
            .open_calls
            .iter()
            .filter(|(id, call)| journal.is_started(**id, call.attempt))
            .map(|(id, call)| OpenCall {
                id: *id,
                attempt: call.attempt,
                host: call.host,
            })
            .collect();
        let mut state = HandoverState::new(
            self.control.is_drained(),
            open_calls,
            self.policy.handover_snapshot(),
        );
        state.host_numbers = self.host_directory.numbers();
        state.used_rates = self
            .tenants
            .used_rates(self.clock.now(), self.policy.scheduler());
        state
    }
}
