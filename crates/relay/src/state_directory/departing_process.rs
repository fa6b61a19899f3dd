//! The process that has handed over: it finishes its open calls, and may get the directory's lock back if its successor
//! dies.

use std::collections::BTreeMap;
use std::io;

use policy::types::{HostId, MessageId};
use relay_events::CompletedCall;
use runtime::Runtime;
use tokio::sync::oneshot;

use super::call_ends::{append_call_end, OpenCalls};
use super::directory::{StateDirectory, HANDOVER_REQUEST, OWNER_LOCK, SUCCESSOR_LOCK};
use super::ownership::{Ownership, OwnershipAction, OwnershipEvent};

/// A call of this process to a host that has not ended.
pub struct RunningCall {
    /// Number of the attempt, from 0.
    pub attempt: u8,
    /// Number of the host.
    pub host: HostId,
    /// Cancels the call when it is sent to or dropped; `None` if the call is cancelled, or runs in the departing process.
    pub cancel: Option<oneshot::Sender<()>>,
}

/// Running calls, by message.
pub type RunningCalls = BTreeMap<MessageId, RunningCall>;

/// A process that has handed over and still has open calls. Dropping it releases the locks and cancels the calls.
pub struct DepartingProcess<R: Runtime> {
    directory: StateDirectory<R>,
    ownership: Ownership,
    /// Held until this process has closed its files in the directory.
    owner_lock: Option<R::Lock>,
    _departing_lock: R::Lock,
    call_ends_file: R::File,
    open_calls: OpenCalls,
    /// Kept so that the calls continue: dropping a sender cancels its call.
    running_calls: RunningCalls,
}

impl<R: Runtime> DepartingProcess<R> {
    pub(super) fn new(
        directory: StateDirectory<R>,
        ownership: Ownership,
        owner_lock: Option<R::Lock>,
        departing_lock: R::Lock,
        call_ends_file: R::File,
        open_calls: OpenCalls,
    ) -> Self {
        DepartingProcess {
            directory,
            ownership,
            owner_lock,
            _departing_lock: departing_lock,
            call_ends_file,
            open_calls,
            running_calls: RunningCalls::new(),
        }
    }

    pub(super) fn directory(&self) -> &StateDirectory<R> {
        &self.directory
    }

    pub(super) fn ownership(&self) -> Ownership {
        self.ownership
    }

    /// Keeps open calls running by holding their channels.
    pub fn keep_calls(&mut self, calls: RunningCalls) {
        self.running_calls = calls;
    }

    /// Releases the directory to the successor; called once this process has closed its files in it.
    pub fn release_directory(&mut self) {
        self.owner_lock = None;
    }

    /// Reports to the new owner that a call has ended.
    ///
    /// # Errors
    /// If the end cannot be written. In this process the call has ended nevertheless; the new owner counts it as lost
    /// once this process has exited.
    pub fn report_call_end(&mut self, end: &CompletedCall) -> io::Result<()> {
        if self.open_calls.remove(end) {
            self.running_calls.remove(&end.id);
        }
        append_call_end(&mut self.call_ends_file, end)
    }

    /// Whether all calls have ended.
    pub fn is_idle(&self) -> bool {
        self.open_calls.is_empty()
    }

    /// Whether the new owner serves.
    pub fn is_replaced(&self) -> bool {
        let now = self.directory.runtime.now();
        // The check changes no state, so it runs on a copy of the state machine.
        let mut ownership = self.ownership;
        let mut event = OwnershipEvent::ReplacementCheckDue;
        loop {
            event = match ownership.handle(event, now) {
                OwnershipAction::FindRequest => self.directory.find_request(),
                OwnershipAction::ProbeSuccessor => self.directory.probe_successor(),
                action => return action == OwnershipAction::ReportReplaced,
            };
        }
    }

    /// Tries to get the owner lock back, and removes the successor's request if that succeeds. Returns `None` if the
    /// successor still runs, or if the next check is not due yet.
    pub(super) fn reacquire_owner_lock(&mut self) -> Option<R::Lock> {
        let now = self.directory.runtime.now();
        let (mut owner_lock, mut successor_lock) = (None, None);
        let mut event = OwnershipEvent::ReclaimCheckDue;
        loop {
            event = match self.ownership.handle(event, now) {
                OwnershipAction::LockSuccessor => {
                    successor_lock = self.directory.lock(SUCCESSOR_LOCK).ok().flatten();
                    match successor_lock {
                        Some(_) => OwnershipEvent::SuccessorLockAcquired,
                        None => OwnershipEvent::SuccessorLockHeld,
                    }
                }
                OwnershipAction::LockOwner => {
                    owner_lock = self.directory.lock(OWNER_LOCK).ok().flatten();
                    match owner_lock {
                        Some(_) => OwnershipEvent::OwnerLockAcquired,
                        None => OwnershipEvent::OwnerLockHeld,
                    }
                }
                _ => break,
            };
        }
        if owner_lock.is_some() {
            // Done while the successor lock is held, so that the request of a later successor is not removed.
            self.directory.remove(HANDOVER_REQUEST);
        }
        drop(successor_lock);
        owner_lock
    }
}
