//! The state machine of ownership, played without files: observations go in, actions come out.

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

/// Plays events that all occur at one moment, and checks the action that each leads to.
fn play(ownership: &mut Ownership, now: Instant, steps: &[(Event, Action)]) {
    for (event, action) in steps {
        assert_eq!(
            ownership.handle(*event, now),
            *action,
            "{event:?} in {ownership:?}"
        );
    }
}

fn owner(listener: ListenerOrigin, now: Instant) -> Ownership {
    let mut ownership = Ownership::new(listener, now);
    let steps = [
        (Event::Started, Action::LockOwner),
        (Event::OwnerLockAcquired, Action::BecomeOwner),
        (Event::SnapshotMissing, Action::ProbePredecessor),
        (Event::PredecessorGone, Action::CleanUp),
        (Event::CleanedUp, Action::None),
    ];
    play(&mut ownership, now, &steps);
    ownership
}

/// A process that requested the directory and got it, but has not read the snapshot yet.
fn successor(now: Instant) -> Ownership {
    let mut ownership = Ownership::new(ListenerOrigin::Inherited, now);
    let steps = [
        (Event::Started, Action::LockOwner),
        (Event::OwnerLockHeld, Action::LockSuccessor),
        (Event::SuccessorLockAcquired, Action::WriteRequest),
        (Event::RequestWritten, Action::LockOwner),
        (Event::OwnerLockHeld, Action::Wait),
        (Event::WaitElapsed, Action::WriteRequest),
        (Event::RequestWritten, Action::LockOwner),
        (Event::OwnerLockAcquired, Action::BecomeOwner),
    ];
    play(&mut ownership, now, &steps);
    ownership
}

fn departing(now: Instant) -> Ownership {
    let mut ownership = owner(ListenerOrigin::Inherited, now);
    let steps = [
        (Event::RequestCheckDue, Action::FindRequest),
        (Event::RequestFound, Action::ProbeSuccessor),
        (Event::SuccessorAlive, Action::AcceptRequest),
        (Event::HandoverStarted, Action::None),
        (Event::HandoverWritten, Action::None),
    ];
    play(&mut ownership, now, &steps);
    ownership
}

/// A process that handed over and got the directory back.
fn reclaimed(now: Instant) -> Ownership {
    let mut ownership = departing(now);
    let steps = [
        (Event::ReclaimCheckDue, Action::LockSuccessor),
        (Event::SuccessorLockAcquired, Action::LockOwner),
        (Event::OwnerLockAcquired, Action::BecomeOwner),
    ];
    play(&mut ownership, now + REQUEST_CHECK_INTERVAL, &steps);
    ownership
}

#[test]
fn free_directory_is_owned_at_once() {
    let now = Instant::now();
    let ownership = owner(ListenerOrigin::Bound, now);
    assert_eq!(
        ownership.state,
        OwnershipState::Owner {
            predecessor: Predecessor::None,
            has_snapshot: false
        }
    );
    assert!(!ownership.took_over());
    assert_eq!(ownership.next_check_at(), None, "nobody can request it");
    assert_eq!(
        owner(ListenerOrigin::Inherited, now).next_check_at(),
        Some(now + REQUEST_CHECK_INTERVAL)
    );
}

#[test]
fn process_without_inherited_listener_waits_for_the_owner_lock_and_then_fails() {
    let now = Instant::now();
    let mut ownership = Ownership::new(ListenerOrigin::Bound, now);
    let steps = [
        (Event::Started, Action::LockOwner),
        (Event::OwnerLockHeld, Action::Wait),
        (Event::WaitElapsed, Action::LockOwner),
    ];
    play(&mut ownership, now, &steps);
    let deadline = now + OWNER_LOCK_TIMEOUT;
    let steps = [(Event::OwnerLockHeld, Action::Wait)];
    play(&mut ownership, deadline - MILLISECOND, &steps);
    let steps = [
        (Event::WaitElapsed, Action::LockOwner),
        (Event::OwnerLockHeld, Action::FailInUse),
    ];
    play(&mut ownership, deadline, &steps);
}

#[test]
fn third_process_fails_once_the_successor_lock_has_a_holder() {
    let now = Instant::now();
    let mut ownership = Ownership::new(ListenerOrigin::Inherited, now);
    let steps = [
        (Event::Started, Action::LockOwner),
        (Event::OwnerLockHeld, Action::LockSuccessor),
        (Event::SuccessorLockHeld, Action::Wait),
        (Event::WaitElapsed, Action::LockSuccessor),
    ];
    play(&mut ownership, now, &steps);
    let deadline = now + SUCCESSOR_LOCK_TIMEOUT;
    let steps = [(Event::SuccessorLockHeld, Action::Wait)];
    play(&mut ownership, deadline - MILLISECOND, &steps);
    let steps = [(Event::SuccessorLockHeld, Action::FailSuccessorExists)];
    play(&mut ownership, deadline, &steps);
}

#[test]
fn successor_requests_without_limit_until_the_owner_releases_its_lock() {
    let now = Instant::now();
    let mut ownership = Ownership::new(ListenerOrigin::Inherited, now);
    let steps = [
        (Event::Started, Action::LockOwner),
        (Event::OwnerLockHeld, Action::LockSuccessor),
        (Event::SuccessorLockAcquired, Action::WriteRequest),
        (Event::RequestWritten, Action::LockOwner),
    ];
    play(&mut ownership, now, &steps);
    let steps = [
        (Event::OwnerLockHeld, Action::Wait),
        (Event::WaitElapsed, Action::WriteRequest),
        (Event::RequestWritten, Action::LockOwner),
    ];
    play(&mut ownership, now + 100 * OWNER_LOCK_TIMEOUT, &steps);
    assert_eq!(ownership.state, OwnershipState::Requesting);
    let steps = [(Event::OwnerLockAcquired, Action::BecomeOwner)];
    play(&mut ownership, now, &steps);
    assert!(ownership.took_over());
}

#[test]
fn successor_without_a_snapshot_waits_until_its_predecessor_has_ended() {
    let now = Instant::now();
    let mut ownership = successor(now);
    let steps = [
        (Event::SnapshotMissing, Action::ProbePredecessor),
        (Event::PredecessorAlive, Action::Wait),
        (Event::WaitElapsed, Action::ProbePredecessor),
        (Event::PredecessorGone, Action::CleanUp),
        (Event::CleanedUp, Action::None),
    ];
    play(&mut ownership, now, &steps);
    assert!(!ownership.took_over(), "the hand-over is over");
}

#[test]
fn successor_cleans_up_once_all_calls_ended_and_its_predecessor_is_gone() {
    let now = Instant::now();
    let mut ownership = successor(now);
    let steps = [
        (Event::SnapshotRead, Action::None),
        (Event::RequestCheckDue, Action::None),
        (
            Event::CallEndsCheckDue {
                has_open_calls: true,
            },
            Action::ReadPredecessorCallEnds,
        ),
    ];
    play(&mut ownership, now, &steps);
    assert_eq!(
        ownership.next_check_at(),
        Some(now + HANDOVER_POLL_INTERVAL)
    );
    let recorded = |has_open_calls| Event::CallEndsRecorded { has_open_calls };
    let steps = [
        (recorded(true), Action::None),
        (recorded(false), Action::ProbePredecessor),
        (Event::PredecessorAlive, Action::None),
        (recorded(false), Action::ProbePredecessor),
        (Event::PredecessorGone, Action::CleanUp),
        (Event::CleanedUp, Action::None),
        // A later request is not this process's to remove.
        (recorded(false), Action::None),
        (Event::RequestCheckDue, Action::FindRequest),
    ];
    play(&mut ownership, now, &steps);
}

#[test]
fn snapshot_of_a_crashed_successor_is_used_and_cleaned_up() {
    let now = Instant::now();
    let mut ownership = Ownership::new(ListenerOrigin::Bound, now);
    let steps = [
        (Event::Started, Action::LockOwner),
        (Event::OwnerLockAcquired, Action::BecomeOwner),
        (Event::SnapshotRead, Action::None),
        (
            Event::CallEndsCheckDue {
                has_open_calls: true,
            },
            Action::ReadPredecessorCallEnds,
        ),
        (
            Event::CallEndsCheckDue {
                has_open_calls: false,
            },
            Action::None,
        ),
        (
            Event::CallEndsRecorded {
                has_open_calls: false,
            },
            Action::ProbePredecessor,
        ),
        (Event::PredecessorGone, Action::CleanUp),
    ];
    play(&mut ownership, now, &steps);
    assert!(!ownership.took_over());
}

#[test]
fn request_without_a_living_successor_is_removed() {
    let now = Instant::now();
    let mut ownership = owner(ListenerOrigin::Inherited, now);
    let steps = [
        (Event::RequestCheckDue, Action::FindRequest),
        (Event::RequestMissing, Action::None),
        (Event::RequestCheckDue, Action::FindRequest),
        (Event::RequestFound, Action::ProbeSuccessor),
        (Event::SuccessorGone, Action::RemoveRequest),
    ];
    play(&mut ownership, now, &steps);
    let steps = [(Event::RequestCheckDue, Action::None)];
    play(&mut owner(ListenerOrigin::Bound, now), now, &steps);
}

#[test]
fn failed_hand_over_leaves_the_owner_in_place_and_is_retried_later() {
    let now = Instant::now();
    let mut ownership = owner(ListenerOrigin::Inherited, now);
    let before = ownership.state;
    play(
        &mut ownership,
        now,
        &[(Event::HandoverStarted, Action::None)],
    );
    assert_eq!(ownership.state, before);
    assert_eq!(ownership.next_check_at(), Some(now + HANDOVER_RETRY_DELAY));
}

#[test]
fn departing_process_is_replaced_once_the_request_is_withdrawn_and_the_successor_lives() {
    let now = Instant::now();
    let mut ownership = departing(now);
    let before = ownership;
    let steps = [
        (Event::ReplacementCheckDue, Action::FindRequest),
        (Event::RequestFound, Action::None),
        (Event::ReplacementCheckDue, Action::FindRequest),
        (Event::RequestMissing, Action::ProbeSuccessor),
        (Event::SuccessorGone, Action::None),
        (Event::RequestMissing, Action::ProbeSuccessor),
        (Event::SuccessorAlive, Action::ReportReplaced),
    ];
    play(&mut ownership, now, &steps);
    assert_eq!(ownership, before, "the question changes nothing");
}

#[test]
fn departing_process_reclaims_only_when_both_locks_are_free_and_not_too_often() {
    let now = Instant::now();
    let mut ownership = departing(now);
    let due = now + REQUEST_CHECK_INTERVAL;
    let early = [(Event::ReclaimCheckDue, Action::None)];
    play(&mut ownership, due - MILLISECOND, &early);
    let steps = [
        (Event::ReclaimCheckDue, Action::LockSuccessor),
        (Event::SuccessorLockHeld, Action::None),
        (Event::ReclaimCheckDue, Action::None),
    ];
    play(&mut ownership, due, &steps);
    let steps = [
        (Event::ReclaimCheckDue, Action::LockSuccessor),
        (Event::SuccessorLockAcquired, Action::LockOwner),
        (Event::OwnerLockHeld, Action::None),
    ];
    play(&mut ownership, due + REQUEST_CHECK_INTERVAL, &steps);
    assert!(matches!(ownership.state, OwnershipState::HandedOver { .. }));
}

#[test]
fn reclaimed_directory_needs_no_probe_of_its_own_process() {
    let now = Instant::now();
    let mut ownership = reclaimed(now);
    assert!(!ownership.took_over());
    let check = Event::CallEndsCheckDue {
        has_open_calls: false,
    };
    let recorded = Event::CallEndsRecorded {
        has_open_calls: false,
    };
    let steps = [
        (Event::SnapshotRead, Action::None),
        (Event::RequestCheckDue, Action::None),
        (check, Action::ReadOwnCallEnds),
        (recorded, Action::CleanUp),
        (Event::CleanedUp, Action::None),
        (check, Action::None),
    ];
    play(&mut ownership, now, &steps);
    let steps = [
        (Event::SnapshotMissing, Action::CleanUp),
        (Event::CleanedUp, Action::None),
    ];
    play(&mut reclaimed(now), now, &steps);
}

#[test]
fn directory_is_owned_only_through_the_owner_lock() {
    let now = Instant::now();
    let is_owner = |ownership: &Ownership| {
        matches!(
            ownership.state,
            OwnershipState::Restoring { .. } | OwnershipState::Owner { .. }
        )
    };
    let mut claiming = Ownership::new(ListenerOrigin::Inherited, now);
    claiming.handle(Event::OwnerLockHeld, now);
    let mut requesting = claiming;
    requesting.handle(Event::SuccessorLockAcquired, now);
    for start in [
        Ownership::new(ListenerOrigin::Bound, now),
        claiming,
        requesting,
        departing(now),
    ] {
        for event in EVENTS {
            let mut ownership = start;
            ownership.handle(event, now);
            let may_own = event == Event::OwnerLockAcquired && start != claiming;
            assert_eq!(is_owner(&ownership), may_own, "{event:?} in {start:?}");
        }
    }
}

#[test]
fn ownership_is_lost_only_by_a_written_hand_over() {
    let now = Instant::now();
    let mut taken_over = successor(now);
    taken_over.handle(Event::SnapshotRead, now);
    for start in [owner(ListenerOrigin::Inherited, now), taken_over] {
        for event in EVENTS {
            let mut ownership = start;
            ownership.handle(event, now);
            assert_eq!(
                matches!(ownership.state, OwnershipState::Owner { .. }),
                event != Event::HandoverWritten,
                "{event:?} in {start:?}"
            );
        }
    }
}
