//! Tests of the resend policy and of how attestations resolve.

use std::collections::BTreeSet;

use proptest::prelude::{prop, prop_assert, proptest, Strategy};

use super::*;
use crate::record::{Attempt, Attester, ExecutionClaim};
use crate::test_records::{attempt, record};

const SECOND: Micros = 1_000_000;
const KEYED: Idempotency = Idempotency::Keyed { window: 6 * SECOND };

fn policy_at(now: Micros) -> ResendPolicy {
    ResendPolicy {
        now,
        key_expiry_margin: SECOND,
        settle_time: 2 * SECOND,
        earlier_calls_ended_at: Some(0),
        attestation_validity: 60 * SECOND,
        max_resends: 5,
    }
}

/// The attester with this name; the empty name stands for the partner.
fn attester(name: &str) -> Attester {
    if name.is_empty() {
        Attester::Partner
    } else {
        Attester::Operator(name.into())
    }
}

fn attest(record: &mut Record, name: &str, claim: ExecutionClaim, at: Micros) {
    record
        .attest(attester(name), claim, at, None, at)
        .expect("not claimed");
}

#[test]
fn resend_without_attestations_follows_idempotency_attempts_and_key_window() {
    let doubtful = || {
        vec![
            attempt(10 * SECOND, false),
            attempt(11 * SECOND, true),
            attempt(12 * SECOND, true),
        ]
    };
    let rejected = || vec![attempt(10 * SECOND, false)];
    let check =
        |idempotency, attempts, now| check_resend(&record(idempotency, attempts), &policy_at(now));
    assert_eq!(
        check(Idempotency::Idempotent, doubtful(), 100 * SECOND),
        Ok(ResendPermit::AsNew)
    );
    assert_eq!(
        check(Idempotency::NonIdempotent, rejected(), 100 * SECOND),
        Ok(ResendPermit::AsNew)
    );
    assert_eq!(
        check(KEYED, rejected(), 100 * SECOND),
        Ok(ResendPermit::AsNew)
    );
    assert_eq!(
        check(KEYED, doubtful(), 15 * SECOND),
        Ok(ResendPermit::Keyed { first: 11 * SECOND })
    );
    assert_eq!(
        check(KEYED, doubtful(), 16 * SECOND),
        Err(ResendBlocked::NeedsAttestation),
        "within the margin of the key's expiry"
    );
    assert_eq!(
        check(KEYED, doubtful(), 5 * SECOND),
        Err(ResendBlocked::NeedsAttestation),
        "the clock was set back"
    );
    assert_eq!(
        check(Idempotency::NonIdempotent, doubtful(), 100 * SECOND),
        Err(ResendBlocked::NeedsAttestation)
    );
}

#[test]
fn partner_claim_counts_if_requested_after_attempts_settled_and_in_date() {
    let doubtful = || record(Idempotency::NonIdempotent, vec![attempt(10 * SECOND, true)]);
    let check = |claim, at, now| {
        let mut record = doubtful();
        attest(&mut record, "", claim, at);
        check_resend(&record, &policy_at(now))
    };
    assert_eq!(
        check(ExecutionClaim::NotApplied, 11 * SECOND, 20 * SECOND),
        Err(ResendBlocked::AttestationTooEarly {
            retry_after: Some(0)
        }),
        "the attempt could still be running"
    );
    assert_eq!(
        check(ExecutionClaim::NotApplied, 12 * SECOND, 20 * SECOND),
        Ok(ResendPermit::AsNew)
    );
    assert_eq!(
        check(ExecutionClaim::NotApplied, 12 * SECOND, 73 * SECOND),
        Err(ResendBlocked::NeedsAttestation),
        "expired"
    );
    assert_eq!(
        check(ExecutionClaim::NotApplied, 30 * SECOND, 20 * SECOND),
        Err(ResendBlocked::NeedsAttestation),
        "the claim is dated in the future, as the clock was set back"
    );
    assert_eq!(
        check(ExecutionClaim::Unknown, 12 * SECOND, 20 * SECOND),
        Err(ResendBlocked::NeedsAttestation)
    );
    assert_eq!(
        check(ExecutionClaim::Applied, 1, 20 * SECOND),
        Err(ResendBlocked::Applied),
        "a claim of an effect counts regardless of its time"
    );
}

#[test]
fn contradictory_partner_claims_need_two_operators_afterwards() {
    let mut record = record(Idempotency::NonIdempotent, vec![attempt(10 * SECOND, true)]);
    attest(&mut record, "", ExecutionClaim::NotApplied, 20 * SECOND);
    attest(&mut record, "", ExecutionClaim::Applied, 21 * SECOND);
    assert_eq!(
        check_resend(&record, &policy_at(22 * SECOND)),
        Err(ResendBlocked::NeedsAgreement)
    );
    attest(&mut record, "ann", ExecutionClaim::NotApplied, 22 * SECOND);
    assert_eq!(
        check_resend(&record, &policy_at(23 * SECOND)),
        Err(ResendBlocked::NeedsAgreement)
    );
    attest(&mut record, "ann", ExecutionClaim::NotApplied, 23 * SECOND);
    assert_eq!(
        check_resend(&record, &policy_at(24 * SECOND)),
        Err(ResendBlocked::NeedsAgreement),
        "an operator who attests twice counts once"
    );
    attest(&mut record, "bob", ExecutionClaim::NotApplied, 24 * SECOND);
    assert_eq!(
        check_resend(&record, &policy_at(25 * SECOND)),
        Ok(ResendPermit::AsNew)
    );
    attest(&mut record, "", ExecutionClaim::Applied, 26 * SECOND);
    assert_eq!(
        check_resend(&record, &policy_at(27 * SECOND)),
        Err(ResendBlocked::NeedsAgreement)
    );
}

#[test]
fn two_operators_permit_or_block_resend_and_one_does_neither() {
    for (claim, after) in [
        (ExecutionClaim::NotApplied, Ok(ResendPermit::AsNew)),
        (ExecutionClaim::Applied, Err(ResendBlocked::Applied)),
    ] {
        let mut record = record(Idempotency::NonIdempotent, vec![attempt(10 * SECOND, true)]);
        attest(&mut record, "ann", claim, 20 * SECOND);
        assert_eq!(
            check_resend(&record, &policy_at(21 * SECOND)),
            Err(ResendBlocked::NeedsSecondOperator)
        );
        attest(&mut record, "bob", claim, 21 * SECOND);
        assert_eq!(check_resend(&record, &policy_at(22 * SECOND)), after);
    }
}

#[test]
fn attestation_from_before_a_resend_does_not_cover_it_and_resends_are_limited() {
    let mut record = record(Idempotency::NonIdempotent, vec![attempt(10 * SECOND, true)]);
    attest(&mut record, "", ExecutionClaim::NotApplied, 20 * SECOND);
    record.begin_resend("ann", 21 * SECOND);
    record.reopen_after_resend(
        vec![Attempt {
            resend: 1,
            ..attempt(21 * SECOND, true)
        }],
        None,
        Some(21 * SECOND),
    );
    assert_eq!(
        check_resend(&record, &policy_at(24 * SECOND)),
        Err(ResendBlocked::NeedsAttestation)
    );
    attest(&mut record, "", ExecutionClaim::NotApplied, 24 * SECOND);
    assert_eq!(
        check_resend(&record, &policy_at(25 * SECOND)),
        Ok(ResendPermit::AsNew)
    );
    for _ in 0..4 {
        record.begin_resend("ann", 26 * SECOND);
        record.abort_resend();
    }
    assert_eq!(
        check_resend(&record, &policy_at(27 * SECOND)),
        Err(ResendBlocked::ResendsExhausted)
    );
}

/// A record whose only attempt was sent at 10 s; `calls_ended_at` is the recorded end of its last call, if any.
fn record_with_calls_end(calls_ended_at: Option<Micros>) -> Record {
    let attempts = vec![attempt(10 * SECOND, true)];
    Record {
        calls_ended_at,
        ..record(Idempotency::NonIdempotent, attempts)
    }
}

/// A row of the policy's table of when attestations count, in seconds.
struct CallsEndRow {
    recorded: Option<u64>,
    earlier: Option<u64>,
    counts_from: Option<u64>,
}

#[test]
fn attestations_count_after_the_settle_time_from_the_end_of_the_last_call() {
    let row = |recorded, earlier, counts_from| CallsEndRow {
        recorded,
        earlier,
        counts_from,
    };
    let rows = [
        row(Some(14), Some(0), Some(16)),
        row(Some(14), None, Some(16)),
        row(Some(14), Some(600), Some(16)),
        // The call began later than it ended by the clock, which was set back meanwhile.
        row(Some(5), Some(0), Some(12)),
        // Another process made the call, or an earlier version wrote the record.
        row(None, Some(600), Some(602)),
        row(None, Some(0), Some(12)),
        // The call is open.
        row(None, None, None),
    ];
    for CallsEndRow {
        recorded,
        earlier,
        counts_from,
    } in rows
    {
        let record = record_with_calls_end(recorded.map(|at| at * SECOND));
        let policy = ResendPolicy {
            earlier_calls_ended_at: earlier.map(|at| at * SECOND),
            ..policy_at(1_000 * SECOND)
        };
        assert_eq!(
            attestations_count_from(&record, &policy),
            counts_from.map(|at| at * SECOND),
            "recorded {recorded:?}, earlier {earlier:?}"
        );
    }
}

/// Guards against a resend while the call that it repeats is open, or may still run.
#[test]
fn attestation_requested_before_the_end_of_the_call_has_settled_permits_no_resend() {
    let check = |calls_ended_at, at, now| {
        let mut record = record_with_calls_end(calls_ended_at);
        attest(&mut record, "", ExecutionClaim::NotApplied, at);
        let policy = ResendPolicy {
            earlier_calls_ended_at: None,
            ..policy_at(now)
        };
        check_resend(&record, &policy)
    };
    let too_early = |retry_after| Err(ResendBlocked::AttestationTooEarly { retry_after });
    let ended_at = Some(14 * SECOND);
    assert_eq!(
        check(ended_at, 13 * SECOND, 13 * SECOND),
        too_early(Some(3 * SECOND))
    );
    assert_eq!(check(ended_at, 15_999_999, 30 * SECOND), too_early(Some(0)));
    assert_eq!(
        check(ended_at, 16 * SECOND, 30 * SECOND),
        Ok(ResendPermit::AsNew)
    );
    assert_eq!(check(None, 30 * SECOND, 30 * SECOND), too_early(None));
}

/// Guards against a key that is taken to live from the end of its first call, which its host may have begun much earlier.
#[test]
fn key_window_counts_from_the_choice_of_the_host() {
    let record = Record {
        idempotency: KEYED,
        ..record_with_calls_end(Some(14 * SECOND))
    };
    assert_eq!(
        check_resend(&record, &policy_at(14 * SECOND)),
        Ok(ResendPermit::Keyed { first: 10 * SECOND })
    );
    assert_eq!(
        check_resend(&record, &policy_at(15 * SECOND)),
        Err(ResendBlocked::NeedsAttestation)
    );
}

/// One delivery of a message, in seconds. Each time is at or after the one before it, but for `begun`, which any host may
/// choose between `sent` and `ended`.
#[derive(Clone, Debug)]
struct Delivery {
    /// When the host was chosen.
    sent: u64,
    /// When the host begins to work on the call.
    begun: u64,
    /// When the call ended.
    ended: u64,
    /// When the process was killed and started again; `None` if it ran on.
    killed: Option<u64>,
}

impl Delivery {
    /// The record that this delivery leaves, and the policy of the process that then runs.
    fn left(&self, now: Micros) -> (Record, ResendPolicy) {
        let attempts = vec![attempt(self.sent * SECOND, true)];
        let is_end_lost = self.killed.is_some_and(|killed| killed <= self.ended);
        let record = Record {
            calls_ended_at: (!is_end_lost).then_some(self.ended * SECOND),
            ..record(Idempotency::NonIdempotent, attempts)
        };
        let policy = ResendPolicy {
            earlier_calls_ended_at: Some(self.killed.unwrap_or(0) * SECOND),
            ..policy_at(now)
        };
        (record, policy)
    }

    /// When the call ended at the host: a kill ends it, too.
    fn ended_at_host(&self) -> u64 {
        self.killed
            .map_or(self.ended, |killed| killed.min(self.ended))
    }
}

fn deliveries() -> impl Strategy<Value = Delivery> {
    let times = (0u64..50, 0u64..20, 0u64..20, prop::option::of(0u64..40));
    times.prop_map(|(sent, wait, work, killed)| Delivery {
        sent,
        begun: sent + wait.min(work),
        ended: sent + work,
        killed: killed.map(|after| sent + after),
    })
}

proptest! {
    /// The partner tells what is true when it is asked, and works on a call no longer than the settle time.
    #[test]
    fn no_resend_is_permitted_while_a_call_may_still_begin_or_run(
        delivery in deliveries(),
        work in 0u64..=2,
        asked in 0u64..120,
        answered_after in 0u64..5,
    ) {
        let begun = delivery.begun.min(delivery.ended_at_host());
        let applied_at = begun + work;
        let now = (asked + answered_after) * SECOND;
        let (mut record, policy) = delivery.left(now);
        let claim = if asked >= applied_at {
            ExecutionClaim::Applied
        } else {
            ExecutionClaim::NotApplied
        };
        record
            .attest(Attester::Partner, claim, asked * SECOND, None, now)
            .expect("not claimed");
        prop_assert!(check_resend(&record, &policy).is_err(), "{delivery:?}");
    }
}

/// A claim by the partner, whose name is empty, or by an operator; `at` is in seconds.
#[derive(Clone, Debug)]
struct Claimed {
    name: &'static str,
    claim: ExecutionClaim,
    at: u64,
}

impl Claimed {
    fn is_by_partner(&self) -> bool {
        self.name.is_empty()
    }
}

fn claims() -> impl Strategy<Value = Vec<Claimed>> {
    let name = prop::sample::select(vec!["", "ann", "bob", "eve"]);
    let claim = prop::sample::select(vec![
        ExecutionClaim::Applied,
        ExecutionClaim::NotApplied,
        ExecutionClaim::Unknown,
    ]);
    let claimed =
        (name, claim, 0u64..200).prop_map(|(name, claim, at)| Claimed { name, claim, at });
    proptest::collection::vec(claimed, 0..10)
}

fn operators<'a>(claims: impl IntoIterator<Item = &'a Claimed>) -> BTreeSet<&'static str> {
    let by_operators = claims
        .into_iter()
        .filter(|claimed| !claimed.is_by_partner());
    by_operators.map(|claimed| claimed.name).collect()
}

proptest! {
    /// A non-idempotent message that may have run is resent only on a claim of `not applied` that covers the attempt,
    /// by the partner or by two operators, and after a partner's `applied` only by two operators.
    #[test]
    fn non_idempotent_message_is_never_resent_on_insufficient_evidence(
        sent in 0u64..100,
        claims in claims(),
        now in 0u64..300,
    ) {
        let mut record = record(Idempotency::NonIdempotent, vec![attempt(sent * SECOND, true)]);
        for claimed in &claims {
            attest(&mut record, claimed.name, claimed.claim, claimed.at * SECOND);
        }
        if check_resend(&record, &policy_at(now * SECOND)).is_ok() {
            let covers = |claimed: &&Claimed| {
                claimed.claim == ExecutionClaim::NotApplied
                    && claimed.at >= sent + 2
                    && claimed.at <= now
            };
            let covering: Vec<&Claimed> = claims.iter().filter(covers).collect();
            let by_partner = covering.iter().any(|claimed| claimed.is_by_partner());
            prop_assert!(by_partner || operators(covering).len() >= 2, "{claims:?}");
            let last_applied = claims
                .iter()
                .rposition(|claimed| claimed.claim == ExecutionClaim::Applied);
            if let Some(index) = last_applied.filter(|index| claims[*index].is_by_partner()) {
                let afterwards = claims[index + 1..].iter().filter(covers);
                prop_assert!(operators(afterwards).len() >= 2, "{claims:?}");
            }
        }
    }
}
