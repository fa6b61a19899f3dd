//! Tests of the transitions of a record.

use super::*;
use crate::test_records::{attempt, record};

#[test]
fn resend_with_unknown_outcome_adds_possible_attempts_at_its_start_and_now() {
    let mut record = record(Idempotency::Idempotent, Vec::new());
    record.begin_resend("ann", 100);
    record.record_unknown_outcome(900);
    let attempts: Vec<_> = record
        .attempts
        .iter()
        .map(|a| (a.sent, a.may_have_run, a.resend))
        .collect();
    assert_eq!(
        (record.state.clone(), attempts),
        (RecordState::Open, vec![(100, true, 1), (900, true, 1)])
    );
    record.record_unknown_outcome(950);
    assert_eq!(record.attempts.len(), 2, "no resend is in flight");
    record.continue_resend("ann", 3, 1000);
    assert_eq!((record.state.as_str(), record.resends), ("sending", 3));
    record.resolve(Resolution::Delivered, 1001);
    record.continue_resend("ann", 4, 1002);
    assert_eq!(record.state.as_str(), "delivered");
}

#[test]
fn identifiers_of_reasons_parse_to_the_same_reason() {
    for reason in Reason::ALL {
        assert_eq!(Reason::parse(reason.as_str()), Some(reason));
    }
    assert_eq!(Reason::parse("nothing"), None);
}

#[test]
fn claim_excludes_other_operators_until_it_expires_and_changes_increment_the_version() {
    let mut record = record(Idempotency::Idempotent, Vec::new());
    record.claim("ann", Some(1), 100, 50).expect("not claimed");
    assert_eq!(
        record.claim("bob", None, 120, 50),
        Err(RecordError::Claimed("ann".into()))
    );
    assert_eq!(
        record.claim("ann", Some(1), 120, 50),
        Err(RecordError::Version(2))
    );
    record
        .claim("ann", Some(2), 120, 50)
        .expect("its own claim");
    record.claim("bob", Some(3), 170, 50).expect("expired");
    assert_eq!(
        record.release("ann", None, 171),
        Err(RecordError::Claimed("bob".into()))
    );
    record.release("bob", None, 171).expect("its own claim");
    assert_eq!(record.state, RecordState::Open);
    assert!(
        record.claim("", None, 0, 1).is_err() && record.claim(&"x".repeat(65), None, 0, 1).is_err()
    );
}

#[test]
fn only_one_resend_is_in_flight_and_backward_clock_step_expires_no_claim() {
    let mut record = record(Idempotency::Idempotent, Vec::new());
    record.claim("ann", None, 1000, 500).expect("not claimed");
    // If the clock is set back, the claim lasts longer, never shorter.
    assert!(record.check_unclaimed("bob", None, 10).is_err());
    assert_eq!(record.begin_resend("ann", 1000), 1);
    assert_eq!(
        record.check_unclaimed("ann", None, 1000),
        Err(RecordError::Sending)
    );
    record.reopen_after_resend(vec![attempt(9, true)], Some(Reason::MayHaveRun), Some(9));
    assert_eq!(
        (record.attempts.len(), record.reason, record.given_up_at),
        (1, Reason::MayHaveRun, 5_000_000)
    );
    assert_eq!(record.begin_resend("bob", 1001), 2);
    record.abort_resend();
    assert_eq!(
        (record.state.clone(), record.resends),
        (RecordState::Open, 2)
    );
    record.resolve(Resolution::Delivered, 1002);
    assert_eq!(
        record.check_unclaimed("ann", None, 1003),
        Err(RecordError::Closed("delivered"))
    );
    record.reopen_after_resend(vec![attempt(9, true)], None, Some(9));
    assert_eq!(
        record.attempts.len(),
        1,
        "a closed record accepts no further attempts"
    );
}

#[test]
fn attempts_are_bounded_and_those_that_may_have_run_are_kept() {
    let mut record = record(
        Idempotency::NonIdempotent,
        (0..40).map(|at| attempt(at, false)).collect(),
    );
    for round in 0..10 {
        record.begin_resend("ann", round);
        record.reopen_after_resend(
            (0..12)
                .map(|at| attempt(100 * round + at, at == 3))
                .collect(),
            None,
            Some(100 * round + 12),
        );
    }
    assert_eq!(record.attempts.len(), MAX_ATTEMPTS);
    assert_eq!(
        record
            .attempts
            .iter()
            .filter(|attempt| attempt.may_have_run)
            .count(),
        10
    );
    assert_eq!(record.attempts[0].sent, 0);
    assert_eq!(record.attempts.last().map(|last| last.sent), Some(911));
}

#[test]
fn partner_may_attest_on_claimed_record_and_attestations_are_bounded() {
    let mut record = record(Idempotency::NonIdempotent, vec![attempt(1, true)]);
    record.claim("ann", None, 10, 100).expect("not claimed");
    record
        .attest(Attester::Partner, ExecutionClaim::Applied, 11, None, 12)
        .expect("accepted");
    assert!(record
        .attest(
            Attester::Operator("bob".into()),
            ExecutionClaim::Applied,
            11,
            None,
            12
        )
        .is_err());
    record
        .attest(
            Attester::Operator("ann".into()),
            ExecutionClaim::Unknown,
            11,
            None,
            12,
        )
        .expect("its own claim");
    record
        .attest(
            Attester::Operator("ann".into()),
            ExecutionClaim::Applied,
            13,
            None,
            13,
        )
        .expect("its own claim");
    assert_eq!(
        record.attestations.len(),
        2,
        "an operator's later claim replaces the earlier one"
    );
    for at in 0..40 {
        record
            .attest(Attester::Partner, ExecutionClaim::Unknown, at, None, 14)
            .expect("accepted");
    }
    assert_eq!(record.attestations.len(), MAX_ATTESTATIONS);
}
