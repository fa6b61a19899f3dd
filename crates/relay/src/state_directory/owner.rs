//! The process that owns the state directory, or tries to: it carries out the actions of [`Ownership`] on files.

#[cfg(test)]
mod tests;

use std::io;
use std::time::Instant;

use policy::types::MessageId;
use relay_events::CompletedCall;
use runtime::{log, retry_transient, Runtime};

use super::call_ends::{CallEndsReader, OpenCalls};
use super::departing_process::DepartingProcess;
use super::directory::{
    StateDirectory, CALL_ENDS, DEPARTING_LOCK, HANDOVER_REQUEST, HANDOVER_STATE,
    HANDOVER_STATE_TEMPORARY, OWNER_LOCK, SUCCESSOR_LOCK,
};
use super::error::OwnershipError;
use super::handover_state::HandoverState;
use super::ownership::{
    ListenerOrigin, Ownership, OwnershipAction, OwnershipEvent, HANDOVER_POLL_INTERVAL,
};

impl<R: Runtime> StateDirectory<R> {
    /// Becomes the owner, either at once or when another process hands over. Only a process with an inherited listening
    /// socket requests a hand-over, and it waits for it without a time limit.
    ///
    /// # Errors
    /// If the directory cannot be locked, if another process keeps it, or if a third one is already waiting to take over.
    pub async fn acquire(
        self,
        listener: ListenerOrigin,
    ) -> Result<DirectoryOwner<R>, OwnershipError> {
        let mut ownership = Ownership::new(listener, self.runtime.now());
        let mut event = OwnershipEvent::Started;
        let (mut owner_lock, mut successor_lock) = (None, None);
        loop {
            event = match ownership.handle(event, self.runtime.now()) {
                OwnershipAction::LockOwner => {
                    owner_lock = self.try_lock(OWNER_LOCK).await?;
                    match owner_lock {
                        Some(_) => OwnershipEvent::OwnerLockAcquired,
                        None => OwnershipEvent::OwnerLockHeld,
                    }
                }
                OwnershipAction::LockSuccessor => {
                    successor_lock = self.try_lock(SUCCESSOR_LOCK).await?;
                    match successor_lock {
                        Some(_) => {
                            self.log_request();
                            OwnershipEvent::SuccessorLockAcquired
                        }
                        None => OwnershipEvent::SuccessorLockHeld,
                    }
                }
                OwnershipAction::WriteRequest => {
                    self.write_request();
                    OwnershipEvent::RequestWritten
                }
                OwnershipAction::Wait => {
                    self.runtime.sleep(HANDOVER_POLL_INTERVAL).await;
                    OwnershipEvent::WaitElapsed
                }
                OwnershipAction::FailInUse => {
                    return Err(OwnershipError::InUse {
                        directory: self.path,
                    })
                }
                OwnershipAction::FailSuccessorExists => {
                    return Err(OwnershipError::SuccessorExists)
                }
                _ => break,
            };
        }
        Ok(DirectoryOwner::new(
            self,
            ownership,
            owner_lock,
            successor_lock,
        ))
    }

    async fn try_lock(&self, name: &str) -> Result<Option<R::Lock>, OwnershipError> {
        retry_transient(&self.runtime, async || self.lock(name))
            .await
            .map_err(|source| OwnershipError::Unusable {
                directory: self.path.clone(),
                source,
            })
    }

    fn log_request(&self) {
        log!(self.runtime, "upgrade: handover_requested");
    }

    /// Writes the request. If that fails, it is tried again at the next check.
    fn write_request(&self) {
        if !self.exists(HANDOVER_REQUEST) {
            drop(self.runtime.write(&self.file(HANDOVER_REQUEST), b""));
        }
    }
}

/// The right to use the state directory. Dropping it releases the locks.
pub struct DirectoryOwner<R: Runtime> {
    directory: StateDirectory<R>,
    ownership: Ownership,
    /// `None` once the directory is handed over.
    owner_lock: Option<R::Lock>,
    /// Held while the previous owner may still run.
    successor_lock: Option<R::Lock>,
    call_ends: CallEndsReader,
    /// The open calls and locks from before this process reclaimed the directory after a hand-over.
    departing: Option<DepartingProcess<R>>,
}

impl<R: Runtime> DirectoryOwner<R> {
    fn new(
        directory: StateDirectory<R>,
        ownership: Ownership,
        owner_lock: Option<R::Lock>,
        successor_lock: Option<R::Lock>,
    ) -> Self {
        DirectoryOwner {
            directory,
            ownership,
            owner_lock,
            successor_lock,
            call_ends: CallEndsReader::default(),
            departing: None,
        }
    }

    /// Reclaims the directory for a departing process if its successor has exited. Open calls continue, and their ends are
    /// read from the file, as another process would read them.
    ///
    /// # Errors
    /// Returns the departing process if its successor still runs, or if the next check is not due yet.
    pub fn reclaim(mut departing: DepartingProcess<R>) -> Result<Self, DepartingProcess<R>> {
        let Some(owner_lock) = departing.reacquire_owner_lock() else {
            return Err(departing);
        };
        let directory = departing.directory().clone();
        let ownership = departing.ownership();
        let owner = DirectoryOwner::new(directory, ownership, Some(owner_lock), None);
        Ok(DirectoryOwner {
            departing: Some(departing),
            ..owner
        })
    }

    fn handle(&mut self, event: OwnershipEvent) -> OwnershipAction {
        self.ownership.handle(event, self.directory.runtime.now())
    }

    /// Whether this process took over from one that was running.
    pub fn took_over(&self) -> bool {
        self.ownership.took_over()
    }

    /// Reads the snapshot of the previous owner. If there is no readable one, waits until the previous owner has ended, as
    /// its open calls are unknown.
    pub async fn read_handover(&mut self) -> Option<HandoverState> {
        let runtime = self.directory.runtime.clone();
        let bytes = runtime.read(&self.directory.file(HANDOVER_STATE));
        if let Some(state) = bytes.ok().and_then(|bytes| HandoverState::read(&bytes)) {
            self.call_ends = CallEndsReader::new(OpenCalls::new(&state.open_calls));
            self.handle(OwnershipEvent::SnapshotRead);
            return Some(state);
        }
        let mut event = OwnershipEvent::SnapshotMissing;
        loop {
            event = match self.handle(event) {
                OwnershipAction::ProbePredecessor => self.probe_predecessor(),
                OwnershipAction::Wait => {
                    runtime.sleep(HANDOVER_POLL_INTERVAL).await;
                    OwnershipEvent::WaitElapsed
                }
                OwnershipAction::CleanUp => self.remove_handover_files(),
                _ => return None,
            };
        }
    }

    /// Removes the request by which this process got the directory; called once it accepts clients.
    pub fn withdraw_request(&self) {
        self.directory.remove(HANDOVER_REQUEST);
    }

    /// When to check the directory next; `None` if no check is needed.
    pub fn next_check_at(&self) -> Option<Instant> {
        self.ownership.next_check_at()
    }

    /// Whether another process requests the directory. A request whose process has exited is removed.
    pub fn handover_requested(&mut self) -> bool {
        let mut event = OwnershipEvent::RequestCheckDue;
        loop {
            event = match self.handle(event) {
                OwnershipAction::FindRequest => self.directory.find_request(),
                OwnershipAction::ProbeSuccessor => self.directory.probe_successor(),
                OwnershipAction::RemoveRequest => {
                    self.directory.remove(HANDOVER_REQUEST);
                    return false;
                }
                action => return action == OwnershipAction::AcceptRequest,
            };
        }
    }

    /// Returns the ends of the previous owner's open calls that were reported since the last check. Once that process has
    /// exited, the remaining calls end as lost: they may have been executed.
    pub fn take_call_ends(&mut self) -> Vec<CompletedCall> {
        let has_open_calls = self.call_ends.has_open_calls();
        let is_last = match self.handle(OwnershipEvent::CallEndsCheckDue { has_open_calls }) {
            OwnershipAction::ReadOwnCallEnds => false,
            OwnershipAction::ReadPredecessorCallEnds => self.directory.is_unlocked(DEPARTING_LOCK),
            _ => return Vec::new(),
        };
        let content = self
            .directory
            .runtime
            .read(&self.directory.file(CALL_ENDS))
            .unwrap_or_default();
        let mut ends = self.call_ends.read(&content);
        if is_last {
            ends.extend(self.call_ends.open_calls_mut().drain_as_connection_lost());
        }
        ends
    }

    /// Whether a call of this message that was open at the hand-over has not ended.
    pub fn is_call_open(&self, id: MessageId) -> bool {
        self.call_ends.is_call_open(id)
    }

    /// Records that a call of this process has ended. The call may have begun before the directory was reclaimed.
    pub fn call_completed(&mut self, end: &CompletedCall) {
        self.call_ends.open_calls_mut().remove(end);
    }

    /// Removes the files of a hand-over once the journal holds the ends of all calls of the previous owner, and that
    /// process has exited.
    pub fn clean_up(&mut self) {
        let mut event = OwnershipEvent::CallEndsRecorded {
            has_open_calls: self.call_ends.has_open_calls(),
        };
        loop {
            event = match self.handle(event) {
                OwnershipAction::ProbePredecessor => self.probe_predecessor(),
                OwnershipAction::CleanUp => self.remove_handover_files(),
                _ => return,
            };
        }
    }

    fn probe_predecessor(&self) -> OwnershipEvent {
        if self.directory.is_unlocked(DEPARTING_LOCK) {
            OwnershipEvent::PredecessorGone
        } else {
            OwnershipEvent::PredecessorAlive
        }
    }

    fn remove_handover_files(&mut self) -> OwnershipEvent {
        for name in [HANDOVER_STATE, CALL_ENDS, HANDOVER_REQUEST] {
            self.directory.remove(name);
        }
        self.successor_lock = None;
        self.departing = None;
        OwnershipEvent::CleanedUp
    }

    /// Hands the directory over. `limit` is the disk limit in bytes. The departing process holds the owner lock until it
    /// has closed its files.
    ///
    /// # Errors
    /// If an earlier departing process still runs, or if the snapshot cannot be written or is too large. This process then
    /// keeps the directory.
    pub fn start_handover(
        &mut self,
        mut state: HandoverState,
        limit: u64,
    ) -> io::Result<DepartingProcess<R>> {
        self.handle(OwnershipEvent::HandoverStarted);
        let departing_lock = self.directory.lock(DEPARTING_LOCK)?.ok_or_else(|| {
            io::Error::new(
                io::ErrorKind::WouldBlock,
                "an earlier departing process still runs",
            )
        })?;
        let snapshot = state.encode_bounded(limit)?;
        let call_ends_file = self
            .directory
            .runtime
            .create(&self.directory.file(CALL_ENDS))?;
        self.directory
            .replace(HANDOVER_STATE_TEMPORARY, HANDOVER_STATE, &snapshot)?;
        self.handle(OwnershipEvent::HandoverWritten);
        Ok(DepartingProcess::new(
            self.directory.clone(),
            self.ownership,
            self.owner_lock.take(),
            departing_lock,
            call_ends_file,
            OpenCalls::new(&state.open_calls),
        ))
    }
}
