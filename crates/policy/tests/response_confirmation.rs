//! Whether a response on a reused connection is believed, and how long that takes.

use policy::response_confirmation::{
    confirmed_outcome, connection_rest, ConfirmationTime, ConnectionReuse, Credibility,
    HostResponses, ResponsePosition, SettlingEnd,
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
                SettlingEnd::Reset,
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
    let (silent, closed, reset, unreadable) = (
        SettlingEnd::Silent,
        SettlingEnd::Closed,
        SettlingEnd::Reset,
        SettlingEnd::Unreadable,
    );
    let rows: [(
        AttemptOutcome,
        &[AttemptOutcome],
        SettlingEnd,
        AttemptOutcome,
    ); 19] = [
        (DELIVERED, &[], silent, DELIVERED),
        (DELIVERED, &[], closed, DELIVERED),
        (DELIVERED, &[], reset, DELIVERED),
        (DELIVERED, &[], unreadable, IN_DOUBT),
        (REJECTED, &[], silent, REJECTED),
        (REJECTED, &[], reset, IN_DOUBT),
        (REJECTED, &[], unreadable, IN_DOUBT),
        (ERROR, &[], silent, ERROR),
        (ERROR, &[], reset, IN_DOUBT),
        (DELIVERED, &[DELIVERED], silent, DELIVERED),
        (DELIVERED, &[DELIVERED], reset, DELIVERED),
        (DELIVERED, &[DELIVERED], unreadable, IN_DOUBT),
        (DELIVERED, &[REJECTED], silent, IN_DOUBT),
        (DELIVERED, &[REJECTED], reset, IN_DOUBT),
        (DELIVERED, &[DELIVERED, REJECTED], closed, IN_DOUBT),
        (REJECTED, &[DELIVERED], silent, IN_DOUBT),
        (REJECTED, &[ERROR], silent, IN_DOUBT),
        (REJECTED, &[REJECTED], silent, REJECTED),
        (REJECTED, &[REJECTED_FOR_1_S], closed, REJECTED_FOR_1_S),
    ];
    for (reported, surplus, end, expected) in rows {
        for position in [ResponsePosition::Later, ResponsePosition::Repeated] {
            let outcome = confirmed_outcome(position, reported, surplus, end);
            assert_eq!(outcome, expected, "{reported:?}, {surplus:?}, {end:?}");
        }
    }
}

/// Records deliveries whose responses are the first ones of their connections.
fn record_first(responses: &mut HostResponses, now: Micros, count: usize, elapsed: Micros) {
    for _ in 0..count {
        responses.record_response(now, Credibility::Certain, elapsed);
        responses.record_confirmed_delivery(elapsed);
    }
}

#[test]
fn rejection_is_confirmed_by_silence_for_longer_than_the_host_has_taken_lately() {
    let mut responses = HostResponses::default();
    let wait = |responses: &HostResponses, elapsed| {
        let credibility = responses.credibility(ResponsePosition::Later, REJECTED, elapsed);
        let position = ResponsePosition::Later;
        match responses.confirmation_time(position, credibility, REJECTED, elapsed) {
            ConfirmationTime::Lasting(time) => time,
            ConfirmationTime::UntilCallLimit => panic!("bounded for a rejection"),
        }
    };
    assert_eq!(
        responses.confirmation_time(ResponsePosition::First, Credibility::Certain, REJECTED, 0),
        ConfirmationTime::Lasting(0)
    );
    record_first(&mut responses, SECOND, 1, 15 * MILLISECOND);
    assert!(
        wait(&responses, 2 * MILLISECOND) >= 200 * MILLISECOND,
        "one sample says little"
    );
    record_first(&mut responses, SECOND, 30, 80 * MILLISECOND);
    assert_eq!(
        wait(&responses, 2 * MILLISECOND),
        158 * MILLISECOND,
        "the true response could take as long"
    );
    assert!(wait(&responses, SECOND) > 0);
    record_first(&mut responses, 100 * SECOND, 30, MILLISECOND);
    assert!(
        wait(&responses, MILLISECOND) < 80 * MILLISECOND,
        "old response times are forgotten"
    );
}

#[test]
fn repeated_delivery_sooner_than_the_host_has_ever_answered_is_doubtful() {
    let (first, later, repeated) = (
        ResponsePosition::First,
        ResponsePosition::Later,
        ResponsePosition::Repeated,
    );
    let mut responses = HostResponses::default();
    assert_eq!(
        responses.credibility(repeated, DELIVERED, SECOND),
        Credibility::Doubtful,
        "nothing is known of the host"
    );
    record_first(&mut responses, SECOND, 1, 80 * MILLISECOND);
    record_first(&mut responses, SECOND, 1, 75 * MILLISECOND);
    record_first(&mut responses, SECOND, 1, 90 * MILLISECOND);
    responses.record_response(SECOND, Credibility::Doubtful, 2 * MILLISECOND);
    let rows = [
        (first, DELIVERED, 0, Credibility::Certain),
        (first, REJECTED, 0, Credibility::Certain),
        (later, DELIVERED, 2, Credibility::Likely),
        (repeated, REJECTED, 2, Credibility::Likely),
        (repeated, ERROR, 2, Credibility::Likely),
        (repeated, DELIVERED, 0, Credibility::Doubtful),
        (repeated, DELIVERED, 74, Credibility::Doubtful),
        (repeated, DELIVERED, 75, Credibility::Likely),
        (repeated, DELIVERED, 1_000, Credibility::Likely),
    ];
    for (position, reported, elapsed_ms, expected) in rows {
        assert_eq!(
            responses.credibility(position, reported, elapsed_ms * MILLISECOND),
            expected,
            "{position:?} {reported:?} after {elapsed_ms} ms"
        );
    }
}

/// Guards against connections that are held for the time limit of a call because responses differ by microseconds.
#[test]
fn response_sooner_by_less_than_a_millisecond_is_not_doubtful() {
    let mut responses = HostResponses::default();
    record_first(&mut responses, SECOND, 1, 300);
    let credibility = responses.credibility(ResponsePosition::Repeated, DELIVERED, 100);
    assert_eq!(credibility, Credibility::Likely);
}

#[test]
fn delivery_is_kept_for_the_rest_or_until_the_limit_of_its_call() {
    let mut responses = HostResponses::default();
    record_first(&mut responses, SECOND, 30, 80 * MILLISECOND);
    let (first, later, repeated) = (
        ResponsePosition::First,
        ResponsePosition::Later,
        ResponsePosition::Repeated,
    );
    let rows = [
        (first, Credibility::Certain, ConfirmationTime::Lasting(0)),
        (
            later,
            Credibility::Likely,
            ConfirmationTime::Lasting(connection_rest()),
        ),
        (
            repeated,
            Credibility::Likely,
            ConfirmationTime::Lasting(70 * MILLISECOND),
        ),
        (
            repeated,
            Credibility::Doubtful,
            ConfirmationTime::UntilCallLimit,
        ),
    ];
    for (position, credibility, expected) in rows {
        let elapsed = 90 * MILLISECOND;
        let time = responses.confirmation_time(position, credibility, DELIVERED, elapsed);
        assert_eq!(time, expected, "{position:?} {credibility:?}");
    }
}

#[test]
fn host_that_leaves_a_call_unanswered_gets_new_connections_until_it_answers() {
    let mut responses = HostResponses::default();
    let reuse = |responses: &HostResponses, now| responses.connection_reuse(now, true, true);
    record_first(&mut responses, SECOND, 30, 80 * MILLISECOND);
    responses.record_call(2 * SECOND);
    let soon = 2 * SECOND + 160 * MILLISECOND;
    assert_eq!(reuse(&responses, soon), ConnectionReuse::Allowed);
    assert_eq!(reuse(&responses, soon + 1), ConnectionReuse::SingleUse);
    responses.record_call(3 * SECOND);
    let now = 3 * SECOND + MILLISECOND;
    responses.record_response(now, Credibility::Doubtful, MILLISECOND);
    assert_eq!(reuse(&responses, now), ConnectionReuse::SingleUse, "a copy");
    responses.record_response(now, Credibility::Certain, MILLISECOND);
    assert_eq!(reuse(&responses, now), ConnectionReuse::Allowed);
    responses.record_call(now);
    responses.record_response(now + MILLISECOND, Credibility::Doubtful, MILLISECOND);
    let later = now + 5 * SECOND;
    assert_eq!(
        reuse(&responses, later),
        ConnectionReuse::Allowed,
        "no call is left unanswered"
    );
}

#[test]
fn connection_rests_for_longer_than_a_copy_right_behind_a_response_takes() {
    for late in [1, 5, 20, 60] {
        assert!(connection_rest() > late * MILLISECOND);
    }
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
