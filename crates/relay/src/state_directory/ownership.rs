//! The state machine of ownership: whether a process owns the state directory, and what it does next. It performs no I/O.
//!
//! A process reports what it observed as an [`OwnershipEvent`] and carries out the returned [`OwnershipAction`]. The
//! result of an action that queries something (a lock, a probe, a search) is reported as the next event. Each state
//! handles only the events that can occur in it; any other event leaves the state unchanged.

#[cfg(test)]
mod tests;

use std::time::{Duration, Instant};

/// How long a process without an inherited socket waits for the owner lock: the lock of a process that ends is released
/// only when the process has exited.
pub(super) const OWNER_LOCK_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a successor waits for the successor lock. The owner's probe holds the lock only for an instant, so a lock that
/// is held for longer belongs to another successor.
pub(super) const SUCCESSOR_LOCK_TIMEOUT: Duration = Duration::from_millis(200);
/// How often a serving process checks for a request, and a departing one tries to reclaim the directory.
pub(super) const REQUEST_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// How often two processes check each other's files during a hand-over.
pub(super) const HANDOVER_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Delay of the next attempt after a hand-over that could not be written.
pub(super) const HANDOVER_RETRY_DELAY: Duration = Duration::from_secs(1);

/// How the process obtained its listening socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenerOrigin {
    /// The platform holds the socket and passed it to the process, so that two processes may run side by side.
    Inherited,
    /// The process binds the address itself, which a second process cannot do.
    Bound,
}

/// The previous owner, if it may still be running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Predecessor {
    /// No process handed over to this one, or the hand-over is complete.
    None,
    /// Another process handed over, and this one holds the successor lock.
    OtherProcess,
    /// This process handed over and reclaimed the directory. Its earlier calls still run in it.
    SameProcess,
}

/// The state of the process with regard to the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OwnershipState {
    /// Tries the owner lock.
    Acquiring { deadline: Instant },
    /// Tries the successor lock, as another process owns the directory.
    Claiming { deadline: Instant },
    /// Holds the successor lock, and requests the directory until the owner releases its lock.
    Requesting,
    /// Holds the owner lock, but has not read the hand-over snapshot yet.
    Restoring { predecessor: Predecessor },
    /// Owns the directory.
    Owner {
        predecessor: Predecessor,
        /// Whether a snapshot was read. Its file is kept until the calls that it names have ended.
        has_snapshot: bool,
    },
    /// Has handed over, and finishes its open calls.
    Departing { reclaim_at: Instant },
}

/// An observation that a process reports to the state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OwnershipEvent {
    /// The process has started.
    Started,
    /// The time of an [`OwnershipAction::Wait`] has elapsed.
    WaitElapsed,
    /// The owner lock was acquired.
    OwnerLockAcquired,
    /// Another process holds the owner lock, or it cannot be locked.
    OwnerLockHeld,
    /// The successor lock was acquired.
    SuccessorLockAcquired,
    /// Another process holds the successor lock, or it cannot be locked.
    SuccessorLockHeld,
    /// The request file was written.
    RequestWritten,
    /// A valid hand-over snapshot was read.
    SnapshotRead,
    /// There is no hand-over snapshot, or an unreadable one.
    SnapshotMissing,
    /// The check for a hand-over request is due.
    RequestCheckDue,
    /// There is a request file.
    RequestFound,
    /// There is no request file.
    RequestMissing,
    /// A process holds the successor lock.
    SuccessorAlive,
    /// No process holds the successor lock.
    SuccessorGone,
    /// The check for ends of the predecessor's calls is due.
    CallEndsCheckDue { has_open_calls: bool },
    /// Ends that were read are in the journal.
    CallEndsRecorded { has_open_calls: bool },
    /// The departing process still runs.
    PredecessorAlive,
    /// The departing process has ended.
    PredecessorGone,
    /// The files of the hand-over were removed, and the locks that it needed were released.
    CleanedUp,
    /// A hand-over begins.
    HandoverStarted,
    /// The snapshot was written, so that the successor may take over the directory.
    HandoverWritten,
    /// The departing process checks whether its successor serves.
    ReplacementCheckDue,
    /// The departing process checks whether its successor has exited.
    ReclaimCheckDue,
}

/// The next step of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OwnershipAction {
    /// No action.
    None,
    /// Wait for [`HANDOVER_POLL_INTERVAL`].
    Wait,
    /// Try to acquire the owner lock.
    LockOwner,
    /// Try to acquire the successor lock.
    LockSuccessor,
    /// Write the request file if there is none. It may be missing because the owner removes requests that seem abandoned.
    WriteRequest,
    /// Use the directory as its owner, and read the predecessor's snapshot.
    BecomeOwner,
    /// Fail, as the directory is in use.
    FailInUse,
    /// Fail, as another process waits for the directory.
    FailSuccessorExists,
    /// Check whether there is a request file.
    FindRequest,
    /// Check whether a process holds the successor lock.
    ProbeSuccessor,
    /// Remove the request of a process that has exited.
    RemoveRequest,
    /// Start the hand-over.
    AcceptRequest,
    /// Check whether the departing process still runs.
    ProbePredecessor,
    /// Read the ends of calls that another process reports. The probe whether that process still runs must precede the
    /// read, so that the read includes the last ends that the process wrote.
    ReadPredecessorCallEnds,
    /// Read the ends of calls that this process reported while it was departing.
    ReadOwnCallEnds,
    /// Remove the files of the hand-over, and release the locks that it needed.
    CleanUp,
    /// Report that the successor serves.
    ReportReplaced,
}

/// The ownership state machine of one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Ownership {
    state: OwnershipState,
    listener: ListenerOrigin,
    next_check_at: Option<Instant>,
}

impl Ownership {
    /// Creates the state machine of a process that starts.
    pub(super) fn new(listener: ListenerOrigin, now: Instant) -> Self {
        Ownership {
            state: OwnershipState::Acquiring {
                deadline: now + OWNER_LOCK_TIMEOUT,
            },
            listener,
            next_check_at: None,
        }
    }

    /// When the owner checks the directory next; `None` if no check is needed.
    pub(super) fn next_check_at(&self) -> Option<Instant> {
        self.next_check_at
    }

    /// Whether this process took over from another one that was running, and that hand-over is not complete yet.
    pub(super) fn took_over(&self) -> bool {
        self.predecessor() == Predecessor::OtherProcess
    }

    fn predecessor(&self) -> Predecessor {
        match self.state {
            OwnershipState::Restoring { predecessor }
            | OwnershipState::Owner { predecessor, .. } => predecessor,
            _ => Predecessor::None,
        }
    }

    /// Handles an observation and returns the next action.
    pub(super) fn handle(&mut self, event: OwnershipEvent, now: Instant) -> OwnershipAction {
        match self.state {
            OwnershipState::Acquiring { deadline } => self.acquire(deadline, event, now),
            OwnershipState::Claiming { deadline } => self.claim(deadline, event, now),
            OwnershipState::Requesting => self.request(event, now),
            OwnershipState::Restoring { predecessor } => self.restore(predecessor, event, now),
            OwnershipState::Owner {
                predecessor,
                has_snapshot,
            } => self.own(predecessor, has_snapshot, event, now),
            OwnershipState::Departing { reclaim_at } => self.depart(reclaim_at, event, now),
        }
    }

    fn acquire(
        &mut self,
        deadline: Instant,
        event: OwnershipEvent,
        now: Instant,
    ) -> OwnershipAction {
        match event {
            OwnershipEvent::Started | OwnershipEvent::WaitElapsed => OwnershipAction::LockOwner,
            OwnershipEvent::OwnerLockAcquired => self.become_owner(Predecessor::None, now),
            OwnershipEvent::OwnerLockHeld if self.listener == ListenerOrigin::Inherited => {
                self.state = OwnershipState::Claiming {
                    deadline: now + SUCCESSOR_LOCK_TIMEOUT,
                };
                OwnershipAction::LockSuccessor
            }
            OwnershipEvent::OwnerLockHeld if now >= deadline => OwnershipAction::FailInUse,
            OwnershipEvent::OwnerLockHeld => OwnershipAction::Wait,
            _ => OwnershipAction::None,
        }
    }

    fn claim(&mut self, deadline: Instant, event: OwnershipEvent, now: Instant) -> OwnershipAction {
        match event {
            OwnershipEvent::SuccessorLockAcquired => {
                self.state = OwnershipState::Requesting;
                OwnershipAction::WriteRequest
            }
            OwnershipEvent::SuccessorLockHeld if now >= deadline => {
                OwnershipAction::FailSuccessorExists
            }
            OwnershipEvent::SuccessorLockHeld => OwnershipAction::Wait,
            OwnershipEvent::WaitElapsed => OwnershipAction::LockSuccessor,
            _ => OwnershipAction::None,
        }
    }

    fn request(&mut self, event: OwnershipEvent, now: Instant) -> OwnershipAction {
        match event {
            OwnershipEvent::RequestWritten => OwnershipAction::LockOwner,
            OwnershipEvent::OwnerLockAcquired => self.become_owner(Predecessor::OtherProcess, now),
            OwnershipEvent::OwnerLockHeld => OwnershipAction::Wait,
            OwnershipEvent::WaitElapsed => OwnershipAction::WriteRequest,
            _ => OwnershipAction::None,
        }
    }

    fn become_owner(&mut self, predecessor: Predecessor, now: Instant) -> OwnershipAction {
        self.state = OwnershipState::Restoring { predecessor };
        self.next_check_at = (self.listener == ListenerOrigin::Inherited).then_some(now);
        OwnershipAction::BecomeOwner
    }

    fn restore(
        &mut self,
        predecessor: Predecessor,
        event: OwnershipEvent,
        now: Instant,
    ) -> OwnershipAction {
        match event {
            OwnershipEvent::SnapshotRead => {
                self.state = OwnershipState::Owner {
                    predecessor,
                    has_snapshot: true,
                };
                self.next_check_at = Some(now);
                OwnershipAction::None
            }
            OwnershipEvent::SnapshotMissing if predecessor == Predecessor::SameProcess => {
                OwnershipAction::CleanUp
            }
            OwnershipEvent::SnapshotMissing | OwnershipEvent::WaitElapsed => {
                OwnershipAction::ProbePredecessor
            }
            // It is unknown which calls are open there, so all must have ended before this process makes any.
            OwnershipEvent::PredecessorAlive => OwnershipAction::Wait,
            OwnershipEvent::PredecessorGone => OwnershipAction::CleanUp,
            OwnershipEvent::CleanedUp => self.finish_clean_up(now),
            _ => OwnershipAction::None,
        }
    }

    fn own(
        &mut self,
        predecessor: Predecessor,
        has_snapshot: bool,
        event: OwnershipEvent,
        now: Instant,
    ) -> OwnershipAction {
        match event {
            OwnershipEvent::RequestCheckDue => self.check_request(predecessor, now),
            OwnershipEvent::RequestFound => OwnershipAction::ProbeSuccessor,
            OwnershipEvent::SuccessorAlive => OwnershipAction::AcceptRequest,
            // There is no process to hand over to.
            OwnershipEvent::SuccessorGone => OwnershipAction::RemoveRequest,
            OwnershipEvent::CallEndsCheckDue { has_open_calls } => {
                self.check_call_ends(predecessor, has_open_calls, now)
            }
            OwnershipEvent::CallEndsRecorded {
                has_open_calls: false,
            } => match predecessor {
                // Cleans up only once, as the request of a later successor must not be removed.
                Predecessor::None | Predecessor::SameProcess if !has_snapshot => {
                    OwnershipAction::None
                }
                Predecessor::SameProcess => OwnershipAction::CleanUp,
                Predecessor::None | Predecessor::OtherProcess => OwnershipAction::ProbePredecessor,
            },
            OwnershipEvent::PredecessorGone => OwnershipAction::CleanUp,
            OwnershipEvent::CleanedUp => self.finish_clean_up(now),
            OwnershipEvent::HandoverStarted => {
                self.next_check_at = Some(now + HANDOVER_RETRY_DELAY);
                OwnershipAction::None
            }
            OwnershipEvent::HandoverWritten => {
                self.state = OwnershipState::Departing {
                    reclaim_at: now + REQUEST_CHECK_INTERVAL,
                };
                OwnershipAction::None
            }
            _ => OwnershipAction::None,
        }
    }

    fn check_request(&mut self, predecessor: Predecessor, now: Instant) -> OwnershipAction {
        if self.listener == ListenerOrigin::Bound || predecessor != Predecessor::None {
            return OwnershipAction::None;
        }
        self.next_check_at = Some(now + REQUEST_CHECK_INTERVAL);
        OwnershipAction::FindRequest
    }

    fn check_call_ends(
        &mut self,
        predecessor: Predecessor,
        has_open_calls: bool,
        now: Instant,
    ) -> OwnershipAction {
        if predecessor == Predecessor::None && !has_open_calls {
            return OwnershipAction::None;
        }
        self.next_check_at = Some(now + HANDOVER_POLL_INTERVAL);
        match predecessor {
            Predecessor::SameProcess => OwnershipAction::ReadOwnCallEnds,
            Predecessor::None | Predecessor::OtherProcess => {
                OwnershipAction::ReadPredecessorCallEnds
            }
        }
    }

    fn finish_clean_up(&mut self, now: Instant) -> OwnershipAction {
        self.state = OwnershipState::Owner {
            predecessor: Predecessor::None,
            has_snapshot: false,
        };
        self.next_check_at =
            (self.listener == ListenerOrigin::Inherited).then(|| now + REQUEST_CHECK_INTERVAL);
        OwnershipAction::None
    }

    fn depart(
        &mut self,
        reclaim_at: Instant,
        event: OwnershipEvent,
        now: Instant,
    ) -> OwnershipAction {
        match event {
            OwnershipEvent::ReplacementCheckDue => OwnershipAction::FindRequest,
            // The successor removes its request once it accepts clients, and holds its lock as long as this process runs.
            // A free lock therefore shows that the successor has died, even if it has served.
            OwnershipEvent::RequestMissing => OwnershipAction::ProbeSuccessor,
            OwnershipEvent::SuccessorAlive => OwnershipAction::ReportReplaced,
            OwnershipEvent::ReclaimCheckDue if now >= reclaim_at => {
                self.state = OwnershipState::Departing {
                    reclaim_at: now + REQUEST_CHECK_INTERVAL,
                };
                OwnershipAction::LockSuccessor
            }
            OwnershipEvent::SuccessorLockAcquired => OwnershipAction::LockOwner,
            OwnershipEvent::OwnerLockAcquired => self.become_owner(Predecessor::SameProcess, now),
            _ => OwnershipAction::None,
        }
    }
}
