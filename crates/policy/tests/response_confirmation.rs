//! Whether a response on a reused connection is believed, and how long that takes.

use policy::response_confirmation::{
    confirmed_outcome, ConnectionReuse, HostResponses, ResponsePosition, SettlingEnd,
};
use policy::types::{AttemptOutcome, Micros};

const MILLISECOND: Micros = 1_000;
const SECOND: Micros = 1_000_000;

const DELIVERED: AttemptOutcome = AttemptOutcome::Delivered;
const ERROR: AttemptOutcome = AttemptOutcome::Error;
const REJECTED: AttemptOutcome = AttemptOutcome::Rejected { retry_after: 0 };
const REJECTED_FOR_1_S: AttemptOutcome = AttemptOutcome::Rejected {
    retry_after: SECOND,
};
/// The call may have been executed.
const IN_DOUBT: AttemptOutcome = AttemptOutcome::ConnectionLost;

#[test]
fn first_response_is_believed_whatever_follows() {
    for reported in [DELIVERED, ERROR, REJECTED] {
        for surplus in [&[][..], &[DELIVERED], &[REJECTED, ERROR]] {
            for end in [
                SettlingEnd::Silent,
                SettlingEnd::Closed,
                SettlingEnd::Unreadable,
            ] {
                let outcome = confirmed_outcome(ResponsePosition::First, reported, surplus, end);
                assert_eq!(outcome, reported);
            }
        }
    }
}

#[test]
fn later_response_is_believed_only_if_no_surplus_response_contradicts_it() {
    let (silent, closed, unreadable) = (
        SettlingEnd::Silent,
        SettlingEnd::Closed,
        SettlingEnd::Unreadable,
    );
    let rows: [(
        AttemptOutcome,
        &[AttemptOutcome],
        SettlingEnd,
        AttemptOutcome,
    ); 14] = [
        (DELIVERED, &[], silent, DELIVERED),
        (DELIVERED, &[], closed, DELIVERED),
        (DELIVERED, &[], unreadable, IN_DOUBT),
        (REJECTED, &[], silent, REJECTED),
        (REJECTED, &[], unreadable, IN_DOUBT),
        (ERROR, &[], silent, ERROR),
        (DELIVERED, &[DELIVERED], silent, DELIVERED),
        (DELIVERED, &[DELIVERED], unreadable, IN_DOUBT),
        (DELIVERED, &[REJECTED], silent, IN_DOUBT),
        (DELIVERED, &[DELIVERED, REJECTED], closed, IN_DOUBT),
        (REJECTED, &[DELIVERED], silent, IN_DOUBT),
        (REJECTED, &[ERROR], silent, IN_DOUBT),
        (REJECTED, &[REJECTED], silent, REJECTED),
        (REJECTED, &[REJECTED_FOR_1_S], closed, REJECTED_FOR_1_S),
    ];
    for (reported, surplus, end, expected) in rows {
        let outcome = confirmed_outcome(ResponsePosition::Later, reported, surplus, end);
        assert_eq!(outcome, expected, "{reported:?}, {surplus:?}, {end:?}");
    }
}

#[test]
fn connection_stays_silent_for_longer_than_the_host_has_taken_lately() {
    let mut responses = HostResponses::default();
    let wait = |responses: &HostResponses, elapsed| {
        responses.settling_time(ResponsePosition::Later, elapsed)
    };
    assert_eq!(responses.settling_time(ResponsePosition::First, 0), 0);
    responses.record_response(SECOND, 15 * MILLISECOND);
    assert!(
        wait(&responses, 2 * MILLISECOND) >= 200 * MILLISECOND,
        "one sample says little"
    );
    for _ in 0..30 {
        responses.record_response(SECOND, 80 * MILLISECOND);
    }
    assert_eq!(
        wait(&responses, 2 * MILLISECOND),
        158 * MILLISECOND,
        "the true response could take as long"
    );
    assert!(wait(&responses, SECOND) > 0);
    for _ in 0..30 {
        responses.record_response(100 * SECOND, MILLISECOND);
    }
    assert!(
        wait(&responses, MILLISECOND) < 80 * MILLISECOND,
        "old response times are forgotten"
    );
}

#[test]
fn host_that_sent_a_surplus_response_gets_a_connection_for_each_call() {
    let mut responses = HostResponses::default();
    let reuse = |responses: &HostResponses, now| responses.connection_reuse(now, true, true);
    assert_eq!(reuse(&responses, SECOND), ConnectionReuse::Allowed);
    responses.record_surplus(SECOND, 2);
    assert_eq!(responses.surplus_count(), 2);
    assert_eq!(reuse(&responses, 2 * SECOND), ConnectionReuse::SingleUse);
    assert!(!responses.is_expired(2 * SECOND));
    assert_eq!(reuse(&responses, 200 * SECOND), ConnectionReuse::Allowed);
    assert!(responses.is_expired(200 * SECOND));
}

#[test]
fn call_that_may_not_run_twice_uses_no_connection_that_has_carried_a_rejection() {
    let responses = HostResponses::default();
    assert_eq!(
        responses.connection_reuse(SECOND, false, true),
        ConnectionReuse::AfterDeliveries
    );
    assert_eq!(
        responses.connection_reuse(SECOND, true, false),
        ConnectionReuse::SingleUse
    );
}
