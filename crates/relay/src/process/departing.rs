//! The departing phase of a process after the hand-over: waits for its open calls to end, and reclaims the state
//! directory if its successor has exited.

use std::time::Duration;

use control::{LifecycleEvent, LifecycleState};
use relay_events::{RelayEvent, Reply};
use runtime::{log, Runtime, Signal, Signals};

use super::Process;
use crate::client_connections::ClientConnections;
use crate::event_loop::RETRY_ELSEWHERE_MS;
use crate::state_directory::{DepartingProcess, DirectoryOwner};

/// How often a departing process checks whether it may exit and whether its successor has exited.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

impl<R: Runtime> Process<R> {
    /// Waits for the open calls to end. Returns the state directory if this process has reclaimed it, and `None` if the
    /// process is to exit.
    pub(super) async fn finish_calls(
        &mut self,
        mut departing: DepartingProcess<R>,
        clients: &ClientConnections<R>,
    ) -> Option<DirectoryOwner<R>> {
        loop {
            if self.may_depart(&departing, clients) {
                return None;
            }
            self.control.publish_stage();
            if !self.is_stopping() {
                match DirectoryOwner::reclaim(departing) {
                    Ok(directory_owner) => {
                        log!(self.runtime, "upgrade: directory_reclaimed");
                        return Some(directory_owner);
                    }
                    Err(unchanged) => departing = unchanged,
                }
            }
            self.wait_departing(&mut departing).await;
        }
    }

    fn is_stopping(&self) -> bool {
        self.control.state() == LifecycleState::Stopping
    }

    /// Whether the process may exit: all calls have ended, all clients have disconnected, and either the process is
    /// stopping or the successor is serving; or the time to stop has run out.
    fn may_depart(&self, departing: &DepartingProcess<R>, clients: &ClientConnections<R>) -> bool {
        let is_idle = departing.is_idle() && clients.count() == 0;
        if is_idle && (self.is_stopping() || departing.is_replaced()) {
            return true;
        }
        self.control.should_exit(|| departing.is_idle())
    }

    /// Waits for a signal, an event or the next check.
    async fn wait_departing(&mut self, departing: &mut DepartingProcess<R>) {
        tokio::select! {
            biased;
            signal = self.signals.next() => self.handle_signal_departing(signal),
            Some(event) = self.events.recv() => self.handle_event_departing(event, departing),
            () = self.runtime.sleep(CHECK_INTERVAL) => {}
        }
    }

    fn handle_signal_departing(&self, signal: Signal) {
        match signal {
            Signal::Stop => {
                self.control.handle_event(LifecycleEvent::Stop);
            }
            Signal::Reload => log!(
                self.runtime,
                "configuration: reload_ignored reason=handed_over"
            ),
        }
    }

    /// Reports ended calls to the new owner of the state directory, and rejects messages so that clients go to another
    /// relay. All other events are ignored, as the new owner handles them.
    fn handle_event_departing(&self, event: RelayEvent, departing: &mut DepartingProcess<R>) {
        match event {
            RelayEvent::CallCompleted(call) => {
                if let Err(error) = departing.report_call_end(&call) {
                    log!(self.runtime, "upgrade: call_end_not_reported error={error}");
                }
            }
            RelayEvent::EnqueueRequest(request) => {
                if let Some(reply) = request.reply {
                    drop(reply.send(Reply::Busy(RETRY_ELSEWHERE_MS)));
                }
            }
            _ => {}
        }
    }
}
