//! Tests of the ownership state machine, without files: each event is checked against the action it returns.

use std::time::{Duration, Instant};

use super::{
    ListenerOrigin, Ownership, OwnershipAction as Action, OwnershipEvent as Event, OwnershipState,
    Predecessor, HANDOVER_POLL_INTERVAL, HANDOVER_RETRY_DELAY, OWNER_LOCK_TIMEOUT,
    REQUEST_CHECK_INTERVAL, SUCCESSOR_LOCK_TIMEOUT,
};

const MILLISECOND: Duration = Duration::from_millis(1);

const EVENTS: [Event; 24] = [
    Event::Started,
    Event::WaitElapsed,
    Event::OwnerLockAcquired,
    Event::OwnerLockHeld,
    Event::SuccessorLockAcquired,
    Event::SuccessorLockHeld,
    Event::RequestWritten,
    Event::SnapshotRead,
    Event::SnapshotMissing,
    Event::RequestCheckDue,
    Event::RequestFound,
    Event::RequestMissing,
    Event::SuccessorAlive,
    Event::SuccessorGone,
    Event::CallEndsCheckDue {
        has_open_calls: true,
    },
    Event::CallEndsRecorded {
        has_open_calls: false,
    },
    Event::PredecessorAlive,
    Event::PredecessorGone,
    Event::CleanedUp,
    Event::HandoverStarted,
    Event::HandoverWritten,
    Event::ReplacementCheckDue,
    Event::ReclaimCheckDue,
    Event::CallEndsRecorded {
        has_open_calls: true,
    },
];

/// One process' ownership, and the time at which its next events occur.
#[derive(Clone, Copy)]
struct TestOwnership {
    ownership: Ownership,
    now: Instant,
}

impl TestOwnership {
    /// A process that starts.
    fn starting(listener: ListenerOrigin) -> Self {
        let now = Instant::now();
        TestOwnership {
            ownership: Ownership::new(listener, now),
            now,
        }
    }

    /// A process that acquired a free directory and has cleaned up.
    fn owner(listener: ListenerOrigin) -> Self {
        Self::starting(listener).assert_actions(&[
            (Event::Started, Action::LockOwner),
            (Event::OwnerLockAcquired, Action::BecomeOwner),
            (Event::SnapshotMissing, Action::ProbePredecessor),
            (Event::PredecessorGone, Action::CleanUp),
            (Event::CleanedUp, Action::None),
        ])
    }

    /// A process that found another owner and tries to acquire the successor lock.
    fn claiming() -> Self {
        Self::starting(ListenerOrigin::Inherited).assert_actions(&[
            (Event::Started, Action::LockOwner),
            (Event::OwnerLockHeld, Action::LockSuccessor),
        ])
    }

    /// A process that has the successor lock and has written its request.
    fn requesting() -> Self {
        Self::claiming().assert_actions(&[
            (Event::SuccessorLockAcquired, Action::WriteRequest),
            (Event::RequestWritten, Action::LockOwner),
        ])
    }

    /// A process that requested and acquired the directory, but has not read the snapshot yet.
    fn successor() -> Self {
        Self::requesting()
            .assert_actions(&OWNER_LOCK_STILL_HELD)
            .assert_actions(&[(Event::OwnerLockAcquired, Action::BecomeOwner)])
    }

    /// A process that has handed over.
    fn departing() -> Self {
        Self::owner(ListenerOrigin::Inherited).assert_actions(&[
            (Event::RequestCheckDue, Action::FindRequest),
            (Event::RequestFound, Action::ProbeSuccessor),
            (Event::SuccessorAlive, Action::AcceptRequest),
            (Event::HandoverStarted, Action::None),
            (Event::HandoverWritten, Action::None),
        ])
    }

    /// A process that handed over and reclaimed the directory.
    fn reclaimed() -> Self {
        Self::departing()
            .after(REQUEST_CHECK_INTERVAL)
            .assert_actions(&[
                (Event::ReclaimCheckDue, Action::LockSuccessor),
                (Event::SuccessorLockAcquired, Action::LockOwner),
                (Event::OwnerLockAcquired, Action::BecomeOwner),
            ])
    }

    /// Advances the time of the next events.
    fn after(self, span: Duration) -> Self {
        TestOwnership {
            now: self.now + span,
            ..self
        }
    }

    /// Handles events that occur at the same time, and checks the action that each returns.
    fn assert_actions(mut self, steps: &[(Event, Action)]) -> Self {
        for (event, action) in steps {
            assert_eq!(
                self.ownership.handle(*event, self.now),
                *action,
                "{event:?} in {:?}",
                self.ownership
            );
        }
        self
    }

    /// Handles an event without a check of the action.
    fn handle(mut self, event: Event) -> Self {
        self.ownership.handle(event, self.now);
        self
    }

    fn state(&self) -> OwnershipState {
        self.ownership.state
    }

    fn took_over(&self) -> bool {
        self.ownership.took_over()
    }

    /// The time until the next check of the directory, if there is one.
    fn next_check_in(&self) -> Option<Duration> {
        let next_check_at = self.ownership.next_check_at();
        next_check_at.map(|at| at - self.now)
    }
}

/// A successor's next try of the owner lock, while the owner still holds it.
const OWNER_LOCK_STILL_HELD: [(Event, Action); 3] = [
    (Event::OwnerLockHeld, Action::Wait),
    (Event::WaitElapsed, Action::WriteRequest),
    (Event::RequestWritten, Action::LockOwner),
];

fn call_ends_check_due(has_open_calls: bool) -> Event {
    Event::CallEndsCheckDue { has_open_calls }
}

fn call_ends_recorded(has_open_calls: bool) -> Event {
    Event::CallEndsRecorded { has_open_calls }
}

#[test]
fn free_directory_is_owned_at_once() {
    let owner = TestOwnership::owner(ListenerOrigin::Bound);
    assert_eq!(
        owner.state(),
        OwnershipState::Owner {
            predecessor: Predecessor::None,
            has_snapshot: false
        }
    );
    assert!(!owner.took_over());
    assert_eq!(
        owner.next_check_in(),
        None,
        "no process can request the directory"
    );
    assert_eq!(
        TestOwnership::owner(ListenerOrigin::Inherited).next_check_in(),
        Some(REQUEST_CHECK_INTERVAL)
    );
}

#[test]
fn process_without_inherited_listener_waits_for_the_owner_lock_and_then_fails() {
    TestOwnership::starting(ListenerOrigin::Bound)
        .assert_actions(&[
            (Event::Started, Action::LockOwner),
            (Event::OwnerLockHeld, Action::Wait),
            (Event::WaitElapsed, Action::LockOwner),
        ])
        .after(OWNER_LOCK_TIMEOUT - MILLISECOND)
        .assert_actions(&[(Event::OwnerLockHeld, Action::Wait)])
        .after(MILLISECOND)
        .assert_actions(&[
            (Event::WaitElapsed, Action::LockOwner),
            (Event::OwnerLockHeld, Action::FailInUse),
        ]);
}

#[test]
fn third_process_fails_once_the_successor_lock_has_a_holder() {
    TestOwnership::claiming()
        .assert_actions(&[
            (Event::SuccessorLockHeld, Action::Wait),
            (Event::WaitElapsed, Action::LockSuccessor),
        ])
        .after(SUCCESSOR_LOCK_TIMEOUT - MILLISECOND)
        .assert_actions(&[(Event::SuccessorLockHeld, Action::Wait)])
        .after(MILLISECOND)
        .assert_actions(&[(Event::SuccessorLockHeld, Action::FailSuccessorExists)]);
}

#[test]
fn successor_requests_without_limit_until_the_owner_releases_its_lock() {
    let requesting = TestOwnership::requesting()
        .after(100 * OWNER_LOCK_TIMEOUT)
        .assert_actions(&OWNER_LOCK_STILL_HELD);
    assert_eq!(requesting.state(), OwnershipState::Requesting);
    let successor = requesting.assert_actions(&[(Event::OwnerLockAcquired, Action::BecomeOwner)]);
    assert!(successor.took_over());
}

#[test]
fn successor_without_a_snapshot_waits_until_its_predecessor_has_ended() {
    let owner = TestOwnership::successor().assert_actions(&[
        (Event::SnapshotMissing, Action::ProbePredecessor),
        (Event::PredecessorAlive, Action::Wait),
        (Event::WaitElapsed, Action::ProbePredecessor),
        (Event::PredecessorGone, Action::CleanUp),
        (Event::CleanedUp, Action::None),
    ]);
    assert!(!owner.took_over(), "the hand-over is complete");
}

#[test]
fn successor_cleans_up_once_all_calls_ended_and_its_predecessor_has_exited() {
    let owner = TestOwnership::successor().assert_actions(&[
        (Event::SnapshotRead, Action::None),
        (Event::RequestCheckDue, Action::None),
        (call_ends_check_due(true), Action::ReadPredecessorCallEnds),
    ]);
    assert_eq!(owner.next_check_in(), Some(HANDOVER_POLL_INTERVAL));
    owner.assert_actions(&[
        (call_ends_recorded(true), Action::None),
        (call_ends_recorded(false), Action::ProbePredecessor),
        (Event::PredecessorAlive, Action::None),
        (call_ends_recorded(false), Action::ProbePredecessor),
        (Event::PredecessorGone, Action::CleanUp),
        (Event::CleanedUp, Action::None),
        // The request of a later successor must not be removed.
        (call_ends_recorded(false), Action::None),
        (Event::RequestCheckDue, Action::FindRequest),
    ]);
}

#[test]
fn snapshot_of_a_crashed_successor_is_used_and_cleaned_up() {
    let owner = TestOwnership::starting(ListenerOrigin::Bound).assert_actions(&[
        (Event::Started, Action::LockOwner),
        (Event::OwnerLockAcquired, Action::BecomeOwner),
        (Event::SnapshotRead, Action::None),
        (call_ends_check_due(true), Action::ReadPredecessorCallEnds),
        (call_ends_check_due(false), Action::None),
        (call_ends_recorded(false), Action::ProbePredecessor),
        (Event::PredecessorGone, Action::CleanUp),
    ]);
    assert!(!owner.took_over());
}

#[test]
fn request_without_a_running_successor_is_removed() {
    TestOwnership::owner(ListenerOrigin::Inherited).assert_actions(&[
        (Event::RequestCheckDue, Action::FindRequest),
        (Event::RequestMissing, Action::None),
        (Event::RequestCheckDue, Action::FindRequest),
        (Event::RequestFound, Action::ProbeSuccessor),
        (Event::SuccessorGone, Action::RemoveRequest),
    ]);
    TestOwnership::owner(ListenerOrigin::Bound)
        .assert_actions(&[(Event::RequestCheckDue, Action::None)]);
}

#[test]
fn failed_handover_leaves_the_owner_in_place_and_is_retried_later() {
    let before = TestOwnership::owner(ListenerOrigin::Inherited);
    let after = before.assert_actions(&[(Event::HandoverStarted, Action::None)]);
    assert_eq!(after.state(), before.state());
    assert_eq!(after.next_check_in(), Some(HANDOVER_RETRY_DELAY));
}

#[test]
fn departing_process_is_replaced_once_the_request_is_withdrawn_and_the_successor_runs() {
    let before = TestOwnership::departing();
    let after = before.assert_actions(&[
        (Event::ReplacementCheckDue, Action::FindRequest),
        (Event::RequestFound, Action::None),
        (Event::ReplacementCheckDue, Action::FindRequest),
        (Event::RequestMissing, Action::ProbeSuccessor),
        (Event::SuccessorGone, Action::None),
        (Event::RequestMissing, Action::ProbeSuccessor),
        (Event::SuccessorAlive, Action::ReportReplaced),
    ]);
    assert_eq!(
        after.ownership, before.ownership,
        "the check changes nothing"
    );
}

#[test]
fn departing_process_reclaims_only_when_both_locks_are_free_and_at_most_once_an_interval() {
    let departing = TestOwnership::departing()
        .after(REQUEST_CHECK_INTERVAL - MILLISECOND)
        .assert_actions(&[(Event::ReclaimCheckDue, Action::None)])
        .after(MILLISECOND)
        .assert_actions(&[
            (Event::ReclaimCheckDue, Action::LockSuccessor),
            (Event::SuccessorLockHeld, Action::None),
            (Event::ReclaimCheckDue, Action::None),
        ])
        .after(REQUEST_CHECK_INTERVAL)
        .assert_actions(&[
            (Event::ReclaimCheckDue, Action::LockSuccessor),
            (Event::SuccessorLockAcquired, Action::LockOwner),
            (Event::OwnerLockHeld, Action::None),
        ]);
    assert!(matches!(
        departing.state(),
        OwnershipState::Departing { .. }
    ));
}

#[test]
fn reclaimed_directory_is_cleaned_up_without_a_probe_of_the_predecessor() {
    let reclaimed = TestOwnership::reclaimed();
    assert!(!reclaimed.took_over());
    reclaimed.assert_actions(&[
        (Event::SnapshotRead, Action::None),
        (Event::RequestCheckDue, Action::None),
        (call_ends_check_due(false), Action::ReadOwnCallEnds),
        (call_ends_recorded(false), Action::CleanUp),
        (Event::CleanedUp, Action::None),
        (call_ends_check_due(false), Action::None),
    ]);
    reclaimed.assert_actions(&[
        (Event::SnapshotMissing, Action::CleanUp),
        (Event::CleanedUp, Action::None),
    ]);
}

#[test]
fn directory_is_owned_only_through_the_owner_lock() {
    let is_owner = |state| {
        matches!(
            state,
            OwnershipState::Restoring { .. } | OwnershipState::Owner { .. }
        )
    };
    let claiming = TestOwnership::starting(ListenerOrigin::Inherited).handle(Event::OwnerLockHeld);
    for start in [
        TestOwnership::starting(ListenerOrigin::Bound),
        claiming,
        claiming.handle(Event::SuccessorLockAcquired),
        TestOwnership::departing(),
    ] {
        for event in EVENTS {
            let may_own =
                event == Event::OwnerLockAcquired && start.ownership != claiming.ownership;
            assert_eq!(
                is_owner(start.handle(event).state()),
                may_own,
                "{event:?} in {:?}",
                start.ownership
            );
        }
    }
}

#[test]
fn ownership_ends_only_with_a_written_handover() {
    for start in [
        TestOwnership::owner(ListenerOrigin::Inherited),
        TestOwnership::successor().handle(Event::SnapshotRead),
    ] {
        for event in EVENTS {
            assert_eq!(
                matches!(start.handle(event).state(), OwnershipState::Owner { .. }),
                event != Event::HandoverWritten,
                "{event:?} in {:?}",
                start.ownership
            );
        }
    }
}
