//! The lifecycle as a table: every state with every input, and what holds as time passes.

use std::time::Duration;

use control::lifecycle::{
    DRAIN_CLOSES, DRAIN_REFUSES, HAND_OVER, STOP_CLOSES, STOP_ENDS, STOP_FRONT,
};
use control::{ConnectionStage, Lifecycle, LifecycleEvent, LifecycleState};

const MS: Duration = Duration::from_millis(1);
const INPUTS: [LifecycleEvent; 6] = [
    LifecycleEvent::Started,
    LifecycleEvent::Drain,
    LifecycleEvent::Resume,
    LifecycleEvent::HandOver,
    LifecycleEvent::TakenBack,
    LifecycleEvent::Stop,
];

/// A process that got to a state the shortest way.
fn at(state: LifecycleState) -> Lifecycle {
    let mut life = Lifecycle::default();
    let way: &[LifecycleEvent] = match state {
        LifecycleState::Starting => &[],
        LifecycleState::Serving => &[LifecycleEvent::Started],
        LifecycleState::Draining => &[LifecycleEvent::Started, LifecycleEvent::Drain],
        LifecycleState::HandingOver => &[LifecycleEvent::Started, LifecycleEvent::HandOver],
        LifecycleState::Stopping => &[LifecycleEvent::Started, LifecycleEvent::Stop],
    };
    way.iter()
        .for_each(|told| assert!(life.handle(*told, Duration::ZERO)));
    assert_eq!(life.state(), state);
    life
}

#[test]
fn each_state_takes_each_input_as_the_table_says() {
    use LifecycleState::*;
    // Columns as in INPUTS; none where an input changes nothing.
    let table: [(LifecycleState, [Option<LifecycleState>; 6]); 5] = [
        (
            Starting,
            [Some(Serving), None, None, None, None, Some(Stopping)],
        ),
        (
            Serving,
            [
                None,
                Some(Draining),
                None,
                Some(HandingOver),
                None,
                Some(Stopping),
            ],
        ),
        (
            Draining,
            [
                None,
                None,
                Some(Serving),
                Some(HandingOver),
                None,
                Some(Stopping),
            ],
        ),
        (
            HandingOver,
            [None, None, None, None, Some(Serving), Some(Stopping)],
        ),
        (Stopping, [None, None, None, None, None, None]),
    ];
    for (state, row) in table {
        for (told, next) in INPUTS.into_iter().zip(row) {
            let mut life = at(state);
            assert_eq!(life.handle(told, MS), next.is_some(), "{state:?} {told:?}");
            assert_eq!(life.state(), next.unwrap_or(state), "{state:?} {told:?}");
            // Only a process that serves says yes.
            assert_eq!(life.is_ready(), life.state() == Serving);
        }
    }
}

#[test]
fn a_drained_relay_closes_in_steps_and_leaves_the_page_a_margin() {
    let life = at(LifecycleState::Draining);
    assert!(
        !life.is_ready() && life.accepts_connections(Duration::from_secs(60)),
        "it answers the front's question with no"
    );
    assert_eq!(life.stage(DRAIN_CLOSES - MS), ConnectionStage::Open);
    assert_eq!(life.stage(DRAIN_CLOSES), ConnectionStage::Closing);
    assert_eq!(life.stage(DRAIN_REFUSES), ConnectionStage::Refusing);
    assert!(
        !life.should_exit(Duration::from_secs(3600), true),
        "a drain ends no process"
    );
    // The front asks every 0.1 s and stops 0.2 s after a no; 4 s after the call no message may be under 2 s old.
    assert!(
        DRAIN_CLOSES > Duration::from_millis(300)
            && DRAIN_REFUSES + Duration::from_millis(400) < Duration::from_secs(2)
    );
}

#[test]
fn a_drain_survives_an_upgrade_on_both_sides() {
    let mut old = at(LifecycleState::Draining);
    assert!(old.handle(LifecycleEvent::HandOver, MS) && old.is_drained());
    let mut new = Lifecycle::default();
    new.restore_drained(old.is_drained());
    assert!(new.handle(LifecycleEvent::Started, MS));
    assert_eq!(new.state(), LifecycleState::Draining);
    assert!(new.handle(LifecycleEvent::Resume, MS) && new.is_ready());
    // And where the new one dies, the old one is drained as before.
    assert!(old.handle(LifecycleEvent::TakenBack, MS));
    assert_eq!(old.state(), LifecycleState::Draining);
}

#[test]
fn a_process_that_hands_over_accepts_no_more_and_is_never_held_up_by_clients() {
    let life = at(LifecycleState::HandingOver);
    assert!(!life.accepts_connections(Duration::ZERO) && !life.is_ready());
    assert_eq!(
        life.stage(HAND_OVER - MS),
        ConnectionStage::Closing,
        "requests that have begun are served"
    );
    assert_eq!(life.stage(HAND_OVER), ConnectionStage::Refusing);
    assert!(life.should_hand_over(Duration::ZERO, 0) && !life.should_hand_over(HAND_OVER - MS, 1));
    assert!(life.should_hand_over(HAND_OVER, 1));
    // Told to stop in between, it hands over at once and ends as soon as nothing is out.
    let mut life = life;
    assert!(life.handle(LifecycleEvent::Stop, MS));
    assert!(life.should_hand_over(MS, 9) && !life.accepts_connections(MS));
    assert_eq!(life.stage(MS), ConnectionStage::Refusing);
    assert!(
        life.should_exit(MS, true)
            && !life.should_exit(MS, false)
            && life.should_exit(MS + STOP_ENDS, false)
    );
    assert!(!at(LifecycleState::Serving).should_hand_over(Duration::from_secs(9), 0));
}

#[test]
fn a_stop_serves_on_and_ends_before_the_kill() {
    let life = at(LifecycleState::Stopping);
    assert!(life.accepts_connections(STOP_CLOSES - MS) && !life.accepts_connections(STOP_CLOSES));
    assert_eq!(life.stage(STOP_CLOSES - MS), ConnectionStage::Open);
    assert_eq!(life.stage(STOP_CLOSES), ConnectionStage::Closing);
    assert!(
        !life.should_exit(STOP_FRONT - MS, true),
        "new connections may still be on the way"
    );
    assert!(
        life.should_exit(STOP_FRONT, true)
            && !life.should_exit(STOP_ENDS - MS, false)
            && life.should_exit(STOP_ENDS, false)
    );
    assert!(
        STOP_ENDS < Duration::from_millis(3700),
        "SIGKILL comes then"
    );
    assert_eq!(life.time_left_for_calls(), Some(STOP_CLOSES));
}
