//! Tests of the lifecycle: every event in every state, and the changes as time passes.

use std::time::Duration;

use control::lifecycle::{
    DRAIN_CLOSE_DELAY, DRAIN_REJECT_DELAY, HANDOVER_GRACE, STOP_CLOSE_DELAY, STOP_MAX_DURATION,
    STOP_MIN_DURATION, STOP_REJECT_DELAY,
};
use control::{ConnectionStage, Lifecycle, LifecycleEvent, LifecycleState};

const MILLISECOND: Duration = Duration::from_millis(1);
const EVENTS: [LifecycleEvent; 6] = [
    LifecycleEvent::Started,
    LifecycleEvent::Drain,
    LifecycleEvent::Resume,
    LifecycleEvent::HandoverRequested,
    LifecycleEvent::Reclaimed,
    LifecycleEvent::Stop,
];

/// Creates a lifecycle that has reached a state through the fewest events.
fn lifecycle_in(state: LifecycleState) -> Lifecycle {
    let mut lifecycle = Lifecycle::default();
    let events: &[LifecycleEvent] = match state {
        LifecycleState::Starting => &[],
        LifecycleState::Serving => &[LifecycleEvent::Started],
        LifecycleState::Draining => &[LifecycleEvent::Started, LifecycleEvent::Drain],
        LifecycleState::HandingOver => {
            &[LifecycleEvent::Started, LifecycleEvent::HandoverRequested]
        }
        LifecycleState::Stopping => &[LifecycleEvent::Started, LifecycleEvent::Stop],
    };
    for event in events {
        assert!(lifecycle.handle(*event, Duration::ZERO));
    }
    assert_eq!(lifecycle.state(), state);
    lifecycle
}

#[test]
fn every_event_in_every_state_leads_to_the_state_of_the_table() {
    use LifecycleState::*;
    // Columns as in EVENTS; `None` where an event changes nothing.
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
        for (event, next) in EVENTS.into_iter().zip(row) {
            let mut lifecycle = lifecycle_in(state);
            assert_eq!(
                lifecycle.handle(event, MILLISECOND),
                next.is_some(),
                "{state:?} {event:?}"
            );
            assert_eq!(
                lifecycle.state(),
                next.unwrap_or(state),
                "{state:?} {event:?}"
            );
            // Only a serving process is ready.
            assert_eq!(lifecycle.is_ready(), lifecycle.state() == Serving);
        }
    }
}

#[test]
fn drained_relay_closes_connections_in_stages_within_the_required_time() {
    let lifecycle = lifecycle_in(LifecycleState::Draining);
    assert!(
        !lifecycle.is_ready() && lifecycle.accepts_connections(Duration::from_secs(60)),
        "it still accepts the load balancer's connections and replies that it is not ready"
    );
    assert_eq!(
        lifecycle.stage(DRAIN_CLOSE_DELAY - MILLISECOND),
        ConnectionStage::Open
    );
    assert_eq!(lifecycle.stage(DRAIN_CLOSE_DELAY), ConnectionStage::Closing);
    assert_eq!(
        lifecycle.stage(DRAIN_REJECT_DELAY),
        ConnectionStage::Refusing
    );
    assert!(
        !lifecycle.should_exit(Duration::from_secs(3600), true),
        "a drain does not end the process"
    );
    // The load balancer checks readiness every 0.1 s and opens no connections from 0.2 s after a negative reply; 4 s
    // after the command no message may be younger than 2 s.
    assert!(
        DRAIN_CLOSE_DELAY > Duration::from_millis(300)
            && DRAIN_REJECT_DELAY + Duration::from_millis(400) < Duration::from_secs(2)
    );
}

#[test]
fn drain_survives_a_handover_and_its_failure() {
    let mut old = lifecycle_in(LifecycleState::Draining);
    assert!(old.handle(LifecycleEvent::HandoverRequested, MILLISECOND) && old.is_drained());
    let mut new = Lifecycle::default();
    new.restore_drained(old.is_drained());
    assert!(new.handle(LifecycleEvent::Started, MILLISECOND));
    assert_eq!(new.state(), LifecycleState::Draining);
    assert!(new.handle(LifecycleEvent::Resume, MILLISECOND) && new.is_ready());
    // If the successor dies, the old process is drained again.
    assert!(old.handle(LifecycleEvent::Reclaimed, MILLISECOND));
    assert_eq!(old.state(), LifecycleState::Draining);
}

#[test]
fn process_that_hands_over_accepts_no_connections_and_does_not_wait_for_clients() {
    let lifecycle = lifecycle_in(LifecycleState::HandingOver);
    assert!(!lifecycle.accepts_connections(Duration::ZERO) && !lifecycle.is_ready());
    assert_eq!(
        lifecycle.stage(HANDOVER_GRACE - MILLISECOND),
        ConnectionStage::Closing,
        "requests that have begun are served"
    );
    assert_eq!(lifecycle.stage(HANDOVER_GRACE), ConnectionStage::Refusing);
    assert!(
        lifecycle.should_start_handover(Duration::ZERO, 0, 0)
            && !lifecycle.should_start_handover(HANDOVER_GRACE - MILLISECOND, 1, 0)
            && !lifecycle.should_start_handover(HANDOVER_GRACE - MILLISECOND, 0, 1)
    );
    assert!(lifecycle.should_start_handover(HANDOVER_GRACE, 1, 1));
    // On SIGTERM during the grace time it hands over at once, and exits as soon as it is idle.
    let mut lifecycle = lifecycle;
    assert!(lifecycle.handle(LifecycleEvent::Stop, MILLISECOND));
    assert!(
        lifecycle.should_start_handover(MILLISECOND, 9, 9)
            && !lifecycle.accepts_connections(MILLISECOND)
    );
    assert_eq!(lifecycle.stage(MILLISECOND), ConnectionStage::Refusing);
    assert!(
        lifecycle.should_exit(MILLISECOND, true)
            && !lifecycle.should_exit(MILLISECOND, false)
            && lifecycle.should_exit(MILLISECOND + STOP_MAX_DURATION, false)
    );
    assert!(
        !lifecycle_in(LifecycleState::Serving).should_start_handover(Duration::from_secs(9), 0, 0)
    );
}

#[test]
fn stopping_process_keeps_serving_and_exits_before_sigkill() {
    let lifecycle = lifecycle_in(LifecycleState::Stopping);
    assert!(
        lifecycle.accepts_connections(STOP_REJECT_DELAY - MILLISECOND)
            && !lifecycle.accepts_connections(STOP_REJECT_DELAY)
    );
    assert_eq!(
        lifecycle.stage(STOP_REJECT_DELAY - MILLISECOND),
        ConnectionStage::Open
    );
    for elapsed in [STOP_REJECT_DELAY, STOP_CLOSE_DELAY - MILLISECOND] {
        assert_eq!(lifecycle.stage(elapsed), ConnectionStage::LastRequest);
    }
    assert_eq!(lifecycle.stage(STOP_CLOSE_DELAY), ConnectionStage::Refusing);
    assert!(
        !lifecycle.should_exit(STOP_MIN_DURATION - MILLISECOND, true),
        "new connections may still arrive"
    );
    assert!(
        lifecycle.should_exit(STOP_MIN_DURATION, true)
            && !lifecycle.should_exit(STOP_MAX_DURATION - MILLISECOND, false)
            && lifecycle.should_exit(STOP_MAX_DURATION, false)
    );
    assert!(
        STOP_MAX_DURATION + Duration::from_millis(150) <= Duration::from_millis(3700),
        "SIGKILL follows 3.7 s after SIGTERM, and the process may be delayed by 0.15 s"
    );
    assert_eq!(lifecycle.call_deadline(), Some(STOP_REJECT_DELAY));
}

#[test]
fn process_that_stops_while_drained_keeps_no_connection_open() {
    let mut lifecycle = lifecycle_in(LifecycleState::Draining);
    assert!(lifecycle.handle(LifecycleEvent::Stop, MILLISECOND));
    assert_eq!(lifecycle.stage(MILLISECOND), ConnectionStage::Refusing);
}

#[test]
fn states_have_stable_names_on_the_wire() {
    use LifecycleState::*;
    let names = [Starting, Serving, Draining, HandingOver, Stopping].map(LifecycleState::as_str);
    assert_eq!(
        names,
        ["starting", "serving", "draining", "handingover", "stopping"]
    );
}

#[test]
fn events_have_stable_names_in_the_log() {
    let names = EVENTS.map(LifecycleEvent::as_str);
    assert_eq!(
        names,
        [
            "started",
            "drain",
            "resume",
            "handover_requested",
            "reclaimed",
            "stop",
        ]
    );
    assert_eq!(LifecycleEvent::Idle.as_str(), "idle");
}
