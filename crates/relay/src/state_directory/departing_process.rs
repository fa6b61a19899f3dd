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
    /// The attempt's number.
    pub attempt: u8,
    /// The host.
    pub host: HostId,
    /// Cancels the call when it is used or dropped; `None` if the call is cancelled, or runs in the departing process.
    pub cancel: Option<oneshot::Sender<()>>,
}

/// Running calls by their message.
pub type RunningCalls = BTreeMap<MessageId, RunningCall>;

/// What is left of a process that has handed over: its open calls. Dropping it releases the locks and cancels the calls.
pub struct DepartingProcess<R: Runtime> {
    directory: StateDirectory<R>,
    ownership: Ownership,
    /// Held until this process has closed its files in the directory.
    owner_lock: Option<R::Lock>,
    _departing_lock: R::Lock,
    call_ends_file: R::File,
    open_calls: OpenCalls,
    /// Kept so that the calls go on: dropping a sender cancels its call.
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

    /// Keeps the open calls running.
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
    /// The end cannot be written. The call counts as ended all the same, and the new owner counts it as lost once
    /// this process has ended.
    pub fn report_call_end(&mut self, end: &CompletedCall) -> io::Result<()> {
        if self.open_calls.remove(end) {
            self.running_calls.remove(&end.id);
        }
        append_call_end(&mut self.call_ends_file, end)
    }

    /// Whether no call is open any more.
    pub fn is_idle(&self) -> bool {
        self.open_calls.is_empty()
    }

    /// Whether the new owner serves.
    pub fn is_replaced(&self) -> bool {
        let now = self.directory.runtime.now();
        // The question changes nothing, so that a copy of the state machine answers it.
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

    /// Tries to get the owner lock back and to remove the successor's request; `None` if the successor still runs, or it is
    /// too early to look again.
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
            // While the successor lock is held, so that no later successor's request is removed.
            self.directory.remove(HANDOVER_REQUEST);
        }
        drop(successor_lock);
        owner_lock
    }
}
