//! Tests of fair queueing: shares by weight, use of spare capacity, and exact accounting.

use std::collections::{BTreeMap, BTreeSet};

use policy::scheduler::{Candidate, Capacity, TenantScheduler};
use policy::types::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use tenancy::{FairQueueScheduler, MAX_DESTINATION_CLOCKS};

const MS: Micros = 1000;

fn candidate(id: MessageId, tenant: TenantId, cost_of_delay: f64, duration: Micros) -> Candidate {
    Candidate {
        id,
        tenant,
        destination: 1,
        cost_of_delay,
        expected_duration: duration,
    }
}

fn message(candidate: &Candidate) -> Message {
    let Candidate {
        id,
        tenant,
        destination,
        ..
    } = *candidate;
    Message {
        id,
        class: 0,
        destination,
        deadline: 0,
        ordering_key: None,
        expected_work: None,
        tenant,
        is_resubmitted: false,
        size: 0,
    }
}

fn scheduler_with_weights(slots: usize, weights: &[u32]) -> FairQueueScheduler {
    let mut scheduler = FairQueueScheduler::new(slots);
    for (tenant, weight) in (0..).zip(weights) {
        scheduler.update_tenant(
            0,
            tenant,
            Some(TenantTerms {
                weight: *weight,
                ..TenantTerms::default()
            }),
        );
    }
    scheduler
}

/// The candidates that a tenant has in each round.
#[derive(Clone, Copy)]
struct Demand {
    candidates: u64,
    /// Expected duration of each call.
    duration: Micros,
    cost_of_delay: f64,
}

impl Demand {
    /// Short calls of little value.
    fn of_candidates(candidates: u64) -> Self {
        Demand {
            candidates,
            duration: MS,
            cost_of_delay: 1.0,
        }
    }
}

/// Runs rounds in which the tenants contend for one destination that accepts `calls_per_round`, and for all slots.
/// Returns the number of calls of each tenant.
fn contend(
    scheduler: &mut FairQueueScheduler,
    demands: &[Demand],
    calls_per_round: usize,
    rounds: usize,
) -> Vec<u64> {
    let mut calls = vec![0; demands.len()];
    for round in 0..rounds {
        let mut candidates = Vec::new();
        for (tenant, demand) in (0..).zip(demands) {
            let of_tenant = (0..demand.candidates)
                .map(|id| candidate(id, tenant, demand.cost_of_delay, demand.duration));
            candidates.extend(of_tenant);
        }
        candidates.sort_by(|a, b| b.cost_of_delay.total_cmp(&a.cost_of_delay));
        let before = candidates.len();
        scheduler.order_candidates(round as Micros * 10 * MS, &mut candidates);
        assert_eq!(candidates.len(), before);
        for candidate in candidates.iter().take(calls_per_round) {
            let duration = candidate.expected_duration;
            scheduler.call_started(&message(candidate), duration);
            calls[usize::from(candidate.tenant)] += 1;
            scheduler.call_ended(&message(candidate), duration, duration);
        }
        scheduler.round_ended(before > calls_per_round);
    }
    calls
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Tenants that always contend get calls in proportion to their weights, regardless of their costs of delay.
    #[test]
    fn calls_at_a_destination_are_shared_by_weight(
        weights in prop::collection::vec(1u32..20, 2..6),
        costs_of_delay in prop::collection::vec(0.0f64..9.0, 6),
        calls_per_round in 1usize..8,
    ) {
        let mut scheduler = scheduler_with_weights(1000, &weights);
        let demands: Vec<Demand> = weights
            .iter()
            .zip(&costs_of_delay)
            .map(|(_, cost_of_delay)| Demand { cost_of_delay: *cost_of_delay, ..Demand::of_candidates(20) })
            .collect();
        let rounds = 4000 / calls_per_round;
        let calls_by_tenant = contend(&mut scheduler, &demands, calls_per_round, rounds);
        let total_weight: u32 = weights.iter().sum();
        let all = (rounds * calls_per_round) as f64;
        for (weight, calls) in weights.iter().zip(&calls_by_tenant) {
            let fair = all * f64::from(*weight) / f64::from(total_weight);
            // A quantum of the destination's calls, by weight, plus one call for each tenant that may be ahead.
            let tolerance = 6.0 + weights.len() as f64;
            prop_assert!((*calls as f64 - fair).abs() <= tolerance, "{weights:?}: {calls_by_tenant:?}, fair {fair}");
        }
    }

    /// If slots are scarce, tenants share the time for which calls occupy slots, not the number of calls.
    #[test]
    fn slot_time_is_shared_by_weight(
        weights in prop::collection::vec(1u32..8, 2..5),
        durations in prop::collection::vec(50u64..400, 5),
        calls_per_round in 1usize..8,
    ) {
        let mut scheduler = scheduler_with_weights(8, &weights);
        // Each tenant has its own destination, so that only slots are shared.
        let mut slot_time = vec![0.0; weights.len()];
        for round in 0..3000 {
            let mut candidates = Vec::new();
            for tenant in 0..weights.len() as u16 {
                let duration = durations[usize::from(tenant)] * MS;
                let of_tenant = (0..10).map(|n| Candidate { destination: tenant, ..candidate(n, tenant, 1.0, duration) });
                candidates.extend(of_tenant);
            }
            scheduler.order_candidates(round * 10 * MS, &mut candidates);
            for candidate in candidates.iter().take(calls_per_round) {
                scheduler.call_started(&message(candidate), candidate.expected_duration);
                // The call takes twice as long as expected.
                scheduler.call_ended(&message(candidate), candidate.expected_duration, 2 * candidate.expected_duration);
                slot_time[usize::from(candidate.tenant)] += 2.0 * candidate.expected_duration as f64;
            }
            scheduler.round_ended(true);
        }
        let total_weight: u32 = weights.iter().sum();
        let all: f64 = slot_time.iter().sum();
        for (weight, time) in weights.iter().zip(&slot_time) {
            let fair = all * f64::from(*weight) / f64::from(total_weight);
            // A quantum of 0.25 s of 8 slots, plus the time by which calls of one round may exceed their expected
            // duration.
            let tolerance = 0.25e6 * 8.0 + 8.0 * 800.0 * MS as f64;
            prop_assert!((time - fair).abs() <= tolerance, "{weights:?} {durations:?}: {slot_time:?}, fair {fair}");
        }
    }

    /// A tenant that was alone at a destination is at a disadvantage for only a bounded number of calls once another
    /// tenant contends. The other tenant gets no compensation for the time before.
    #[test]
    fn lent_capacity_is_not_paid_back(alone in 1usize..3000, weights in prop::collection::vec(1u32..9, 2)) {
        let mut scheduler = scheduler_with_weights(1000, &weights);
        contend(&mut scheduler, &[20, 0].map(Demand::of_candidates), 4, alone);
        let calls_by_tenant = contend(&mut scheduler, &[20, 20].map(Demand::of_candidates), 4, 500);
        let total_weight: u32 = weights.iter().sum();
        for (weight, calls) in weights.iter().zip(&calls_by_tenant) {
            let fair = 2000.0 * f64::from(*weight) / f64::from(total_weight);
            prop_assert!((*calls as f64 - fair).abs() <= 8.0, "{calls_by_tenant:?}, fair {fair}");
        }
    }

    /// The share of a tenant without candidates goes entirely to the others.
    #[test]
    fn unused_share_goes_entirely_to_other_tenants(weights in prop::collection::vec(1u32..9, 3), calls_per_round in 1usize..9) {
        let mut scheduler = scheduler_with_weights(1000, &weights);
        let calls_by_tenant = contend(&mut scheduler, &[50, 0, 1].map(Demand::of_candidates), calls_per_round, 100);
        prop_assert_eq!(calls_by_tenant[0] + calls_by_tenant[2], 100 * calls_per_round as u64);
        prop_assert!(calls_by_tenant[0] >= 100 * (calls_per_round as u64 - 1));
    }

    /// If the queue exceeds its capacity, at least one tenant exceeds its share. A tenant within its share is never
    /// reported as exceeding it, and the accounting is exact for any sequence of changes of terms.
    #[test]
    fn queue_shares_are_exact_after_any_updates(steps in prop::collection::vec((0u16..6, 0u8..5, 1u32..30), 1..400)) {
        let mut scheduler = FairQueueScheduler::new(8);
        let mut terms: BTreeMap<TenantId, u32> = BTreeMap::new();
        let mut queued: BTreeMap<TenantId, usize> = BTreeMap::new();
        let mut sharing: BTreeSet<TenantId> = BTreeSet::new();
        for (tenant, step, weight) in steps {
            let one = Message { size: 100, ..message(&candidate(1, tenant, 1.0, MS)) };
            match step {
                0 => {
                    terms.insert(tenant, weight);
                    scheduler.update_tenant(0, tenant, Some(TenantTerms { weight, ..TenantTerms::default() }));
                }
                1 if queued.get(&tenant).is_none_or(|queued| *queued == 0) => {
                    terms.remove(&tenant);
                    scheduler.update_tenant(0, tenant, None);
                }
                2 if queued.get(&tenant).is_some_and(|queued| *queued > 0) => {
                    scheduler.message_removed(&one);
                    *queued.entry(tenant).or_default() -= 1;
                }
                _ if terms.contains_key(&tenant) => {
                    scheduler.message_queued(0, &one);
                    *queued.entry(tenant).or_default() += 1;
                }
                _ => {}
            }
            queued.retain(|_, queued| *queued > 0);
            // No time passes, so a tenant that had a queued message still shares the queue.
            sharing.retain(|tenant| terms.contains_key(tenant));
            sharing.extend(queued.keys());
            let total_weight: u64 = sharing.iter().map(|tenant| u64::from(terms[tenant])).sum();
            let all: usize = queued.values().sum();
            for (tenant, queued) in &queued {
                for capacity in [all / 2, all.saturating_sub(1), all, 2 * all] {
                    let exceeds = (*queued as u64) * total_weight > capacity as u64 * u64::from(terms[tenant]);
                    let exceeds_share = |messages, bytes| scheduler.exceeds_share(*tenant, Capacity { messages, bytes });
                    prop_assert_eq!(exceeds_share(capacity, usize::MAX), exceeds);
                    prop_assert_eq!(exceeds_share(usize::MAX, capacity * 100), exceeds);
                }
            }
            let too_small = Capacity { messages: all.saturating_sub(1), bytes: usize::MAX };
            prop_assert!(all == 0 || queued.keys().any(|tenant| scheduler.exceeds_share(*tenant, too_small)));
        }
    }
}

#[test]
fn tenant_is_limited_by_its_caps_and_its_state() {
    let mut scheduler = FairQueueScheduler::new(8);
    let active = TenantTerms {
        max_queued: 2,
        max_in_flight: 1,
        ..TenantTerms::default()
    };
    scheduler.update_tenant(0, 3, Some(active));
    let one = message(&candidate(1, 3, 1.0, MS));
    scheduler.message_queued(0, &one);
    assert_eq!(scheduler.admit(0, 3), Ok(()));
    scheduler.message_queued(0, &one);
    assert_eq!(scheduler.admit(0, 3), Err(0));
    assert!(scheduler.may_start_call(3));
    scheduler.call_started(&one, MS);
    assert!(!scheduler.may_start_call(3));
    let mut candidates = vec![candidate(2, 3, 1.0, MS)];
    scheduler.order_candidates(0, &mut candidates);
    assert!(candidates.is_empty());
    scheduler.call_ended(&one, MS, MS);
    assert!(scheduler.may_start_call(3));
    scheduler.message_removed(&one);
    for (state, admits, sends, abandons) in [
        (TenantState::Active, true, true, false),
        (TenantState::Paused, false, false, false),
        (TenantState::Draining, false, true, false),
        (TenantState::Terminating, false, false, true),
    ] {
        scheduler.update_tenant(0, 3, Some(TenantTerms { state, ..active }));
        assert_eq!(scheduler.admit(0, 3).is_ok(), admits, "{state:?}");
        assert_eq!(scheduler.may_start_call(3), sends, "{state:?}");
        assert_eq!(scheduler.abandons_messages(3), abandons, "{state:?}");
    }
    // A removed tenant is terminating until none of its messages is queued. Then its number may be reassigned.
    scheduler.update_tenant(0, 3, None);
    assert!(scheduler.abandons_messages(3));
    scheduler.message_removed(&one);
    assert!(!scheduler.abandons_messages(3) && scheduler.admit(0, 3).is_ok());
}

#[test]
fn rate_is_checked_at_admission_and_consumed_when_a_message_is_queued() {
    let mut scheduler = FairQueueScheduler::new(8);
    let rate = Some(RateLimit {
        per_second: 10.0,
        burst: 2.0,
    });
    scheduler.update_tenant(
        0,
        1,
        Some(TenantTerms {
            rate,
            ..TenantTerms::default()
        }),
    );
    let one = message(&candidate(1, 1, 1.0, MS));
    for _ in 0..2 {
        assert_eq!(scheduler.admit(0, 1), Ok(()));
        assert_eq!(scheduler.admit(0, 1), Ok(()));
        scheduler.message_queued(0, &one);
    }
    assert_eq!(scheduler.admit(0, 1), Err(100 * MS));
    assert_eq!(scheduler.admit(100 * MS, 1), Ok(()));
}

#[test]
fn virtual_clocks_of_destinations_are_bounded() {
    let mut scheduler = scheduler_with_weights(100_000, &[1, 1]);
    for destination in 0..20_000 {
        let mut candidates: Vec<Candidate> = (0..2)
            .map(|tenant| Candidate {
                destination,
                ..candidate(1, tenant, 1.0, MS)
            })
            .collect();
        scheduler.order_candidates(Micros::from(destination), &mut candidates);
        scheduler.call_started(&message(&candidates[0]), MS);
        scheduler.round_ended(false);
    }
    assert_eq!(scheduler.destinations(), MAX_DESTINATION_CLOCKS);
}
