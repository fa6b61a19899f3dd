//! Properties of the shares: what is lent comes back, nobody who asks falls behind, and nothing is lost count of.

use std::collections::{BTreeMap, BTreeSet};

use policy::scheduler::{Candidate, Capacity, TenantScheduler};
use policy::types::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use tenancy::{FairQueueScheduler, MAX_DESTINATION_CLOCKS};

const MS: Micros = 1000;

fn offer(id: MessageId, tenant: TenantId, regret: f64, cost: Micros) -> Candidate {
    Candidate {
        id,
        tenant,
        destination: 1,
        cost_of_delay: regret,
        expected_duration: cost,
    }
}

fn message(offer: &Candidate) -> Message {
    let Candidate {
        id,
        tenant,
        destination,
        ..
    } = *offer;
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

fn with_weights(slots: usize, weights: &[u32]) -> FairQueueScheduler {
    let mut shares = FairQueueScheduler::new(slots);
    for (tenant, weight) in (0..).zip(weights) {
        shares.update_tenant(
            0,
            tenant,
            Some(TenantTerms {
                weight: *weight,
                ..TenantTerms::default()
            }),
        );
    }
    shares
}

/// Rounds in which each tenant asks for so many calls of its own length at one destination that takes so many
/// a round, and all slots are wanted; tells how many calls, and how much slot time, each got.
fn contend(
    shares: &mut FairQueueScheduler,
    asks: &[(usize, Micros, f64)],
    a_round: usize,
    rounds: usize,
) -> Vec<(u64, u64)> {
    let mut got = vec![(0, 0); asks.len()];
    for round in 0..rounds {
        let mut offers = Vec::new();
        for (tenant, (many, cost, regret)) in (0..).zip(asks) {
            offers.extend((0..*many).map(|n| offer(n as u64, tenant, *regret, *cost)));
        }
        offers.sort_by(|a, b| b.cost_of_delay.total_cmp(&a.cost_of_delay));
        let before = offers.len();
        shares.order_candidates(round as Micros * 10 * MS, &mut offers);
        assert_eq!(offers.len(), before);
        for offer in offers.iter().take(a_round) {
            shares.call_started(&message(offer), offer.expected_duration);
            let (calls, time) = &mut got[usize::from(offer.tenant)];
            (*calls, *time) = (*calls + 1, *time + offer.expected_duration);
            shares.call_ended(
                &message(offer),
                offer.expected_duration,
                offer.expected_duration,
            );
        }
        shares.round_ended(before > a_round);
    }
    got
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    /// Tenants that always ask get calls by their weights, whatever their messages are worth.
    #[test]
    fn calls_at_a_destination_go_by_weight(
        weights in prop::collection::vec(1u32..20, 2..6),
        regrets in prop::collection::vec(0.0f64..9.0, 6),
        a_round in 1usize..8,
    ) {
        let mut shares = with_weights(1000, &weights);
        let asks: Vec<_> = weights.iter().zip(&regrets).map(|(_, regret)| (20, MS, *regret)).collect();
        let rounds = 4000 / a_round;
        let got = contend(&mut shares, &asks, a_round, rounds);
        let whole: u32 = weights.iter().sum();
        let all = (rounds * a_round) as f64;
        for (weight, (calls, _)) in weights.iter().zip(&got) {
            let fair = all * f64::from(*weight) / f64::from(whole);
            // A quantum of the destination's calls, by weight, and a call for each who may be ahead.
            let off = 6.0 + weights.len() as f64;
            prop_assert!((*calls as f64 - fair).abs() <= off, "{weights:?}: {got:?}, fair {fair}");
        }
    }

    /// Where slots are short, what counts is how long they are held, not how many calls are made.
    #[test]
    fn slots_go_by_weight_and_time(
        weights in prop::collection::vec(1u32..8, 2..5),
        costs in prop::collection::vec(50u64..400, 5),
        a_round in 1usize..8,
    ) {
        let mut shares = with_weights(8, &weights);
        // At destinations of their own, so that only slots are shared.
        let mut got = vec![0.0; weights.len()];
        for round in 0..3000 {
            let mut offers = Vec::new();
            for tenant in 0..weights.len() as u16 {
                let cost = costs[usize::from(tenant)] * MS;
                let many = (0..10).map(|n| Candidate { destination: tenant, ..offer(n, tenant, 1.0, cost) });
                offers.extend(many);
            }
            shares.order_candidates(round * 10 * MS, &mut offers);
            for offer in offers.iter().take(a_round) {
                shares.call_started(&message(offer), offer.expected_duration);
                // It takes twice as long as was thought.
                shares.call_ended(&message(offer), offer.expected_duration, 2 * offer.expected_duration);
                got[usize::from(offer.tenant)] += 2.0 * offer.expected_duration as f64;
            }
            shares.round_ended(true);
        }
        let whole: u32 = weights.iter().sum();
        let all: f64 = got.iter().sum();
        for (weight, time) in weights.iter().zip(&got) {
            let fair = all * f64::from(*weight) / f64::from(whole);
            // A quantum of 0.25 s of 8 slots, and what calls may be longer than booked in one round.
            let off = 0.25e6 * 8.0 + 8.0 * 800.0 * MS as f64;
            prop_assert!((time - fair).abs() <= off, "{weights:?} {costs:?}: {got:?}, fair {fair}");
        }
    }

    /// One who had all to itself is behind for a bounded number of calls once others ask, and one who comes
    /// later is owed nothing for the time when it did not ask.
    #[test]
    fn what_was_lent_is_not_owed(alone in 1usize..3000, weights in prop::collection::vec(1u32..9, 2)) {
        let mut shares = with_weights(1000, &weights);
        contend(&mut shares, &[(20, MS, 1.0), (0, MS, 1.0)], 4, alone);
        let got = contend(&mut shares, &[(20, MS, 1.0), (20, MS, 1.0)], 4, 500);
        let whole: u32 = weights.iter().sum();
        for (weight, (calls, _)) in weights.iter().zip(&got) {
            let fair = 2000.0 * f64::from(*weight) / f64::from(whole);
            prop_assert!((*calls as f64 - fair).abs() <= 8.0, "{got:?}, fair {fair}");
        }
    }

    /// A share that its tenant does not use goes to those who ask, whole.
    #[test]
    fn what_nobody_asks_for_is_lent(weights in prop::collection::vec(1u32..9, 3), a_round in 1usize..9) {
        let mut shares = with_weights(1000, &weights);
        let got = contend(&mut shares, &[(50, MS, 1.0), (0, MS, 1.0), (1, MS, 1.0)], a_round, 100);
        prop_assert_eq!(got[0].0 + got[2].0, 100 * a_round as u64);
        prop_assert!(got[0].0 >= 100 * (a_round as u64 - 1));
    }

    /// The hold: someone is over when it is over-full, nobody is who holds its part, and the count is kept over
    /// any changes of terms.
    #[test]
    fn the_hold_is_counted(steps in prop::collection::vec((0u16..6, 0u8..5, 1u32..30), 1..400)) {
        let mut shares = FairQueueScheduler::new(8);
        let mut terms: BTreeMap<TenantId, u32> = BTreeMap::new();
        let mut held: BTreeMap<TenantId, usize> = BTreeMap::new();
        let mut counting: BTreeSet<TenantId> = BTreeSet::new();
        for (tenant, what, weight) in steps {
            let one = Message { size: 100, ..message(&offer(1, tenant, 1.0, MS)) };
            match what {
                0 => {
                    terms.insert(tenant, weight);
                    shares.update_tenant(0, tenant, Some(TenantTerms { weight, ..TenantTerms::default() }));
                }
                1 if held.get(&tenant).is_none_or(|held| *held == 0) => {
                    terms.remove(&tenant);
                    shares.update_tenant(0, tenant, None);
                }
                2 if held.get(&tenant).is_some_and(|held| *held > 0) => {
                    shares.message_removed(&one);
                    *held.entry(tenant).or_default() -= 1;
                }
                _ if terms.contains_key(&tenant) => {
                    shares.message_queued(0, &one);
                    *held.entry(tenant).or_default() += 1;
                }
                _ => {}
            }
            held.retain(|_, held| *held > 0);
            // All that happens within a moment: whoever held something still counts.
            counting.retain(|tenant| terms.contains_key(tenant));
            counting.extend(held.keys());
            let whole: u64 = counting.iter().map(|tenant| u64::from(terms[tenant])).sum();
            let all: usize = held.values().sum();
            for (tenant, held) in &held {
                for places in [all / 2, all.saturating_sub(1), all, 2 * all] {
                    let over = (*held as u64) * whole > places as u64 * u64::from(terms[tenant]);
                    let by = |places, bytes| shares.exceeds_share(*tenant, Capacity { messages: places, bytes });
                    prop_assert_eq!(by(places, usize::MAX), over);
                    prop_assert_eq!(by(usize::MAX, places * 100), over);
                }
            }
            let most = Capacity { messages: all.saturating_sub(1), bytes: usize::MAX };
            prop_assert!(all == 0 || held.keys().any(|tenant| shares.exceeds_share(*tenant, most)));
        }
    }
}

#[test]
fn a_tenant_keeps_to_its_caps_and_its_standing() {
    let mut shares = FairQueueScheduler::new(8);
    let active = TenantTerms {
        max_queued: 2,
        max_in_flight: 1,
        ..TenantTerms::default()
    };
    shares.update_tenant(0, 3, Some(active));
    let one = message(&offer(1, 3, 1.0, MS));
    shares.message_queued(0, &one);
    assert_eq!(shares.admit(0, 3), Ok(()));
    shares.message_queued(0, &one);
    assert_eq!(shares.admit(0, 3), Err(0));
    assert!(shares.may_start_call(3));
    shares.call_started(&one, MS);
    assert!(!shares.may_start_call(3));
    let mut offers = vec![offer(2, 3, 1.0, MS)];
    shares.order_candidates(0, &mut offers);
    assert!(offers.is_empty());
    shares.call_ended(&one, MS, MS);
    assert!(shares.may_start_call(3));
    shares.message_removed(&one);
    for (state, admits, sends, abandons) in [
        (TenantState::Active, true, true, false),
        (TenantState::Paused, false, false, false),
        (TenantState::Draining, false, true, false),
        (TenantState::Terminating, false, false, true),
    ] {
        shares.update_tenant(0, 3, Some(TenantTerms { state, ..active }));
        assert_eq!(shares.admit(0, 3).is_ok(), admits, "{state:?}");
        assert_eq!(shares.may_start_call(3), sends, "{state:?}");
        assert_eq!(shares.abandons_messages(3), abandons, "{state:?}");
    }
    // One that is gone ends, until nothing of it is held; then its number may be another's.
    shares.update_tenant(0, 3, None);
    assert!(shares.abandons_messages(3));
    shares.message_removed(&one);
    assert!(!shares.abandons_messages(3) && shares.admit(0, 3).is_ok());
}

#[test]
fn a_rate_binds_at_the_door_and_is_counted_when_a_message_is_taken() {
    let mut shares = FairQueueScheduler::new(8);
    let rate = Some(RateLimit {
        per_second: 10.0,
        burst: 2.0,
    });
    shares.update_tenant(
        0,
        1,
        Some(TenantTerms {
            rate,
            ..TenantTerms::default()
        }),
    );
    let one = message(&offer(1, 1, 1.0, MS));
    for _ in 0..2 {
        assert_eq!(shares.admit(0, 1), Ok(()));
        assert_eq!(shares.admit(0, 1), Ok(()));
        shares.message_queued(0, &one);
    }
    assert_eq!(shares.admit(0, 1), Err(100 * MS));
    assert_eq!(shares.admit(100 * MS, 1), Ok(()));
}

/// Tags are kept for so many destinations at most.
#[test]
fn destinations_are_forgotten_past_the_bound() {
    let mut shares = with_weights(100_000, &[1, 1]);
    for destination in 0..20_000 {
        let mut offers: Vec<Candidate> = (0..2)
            .map(|tenant| Candidate {
                destination,
                ..offer(1, tenant, 1.0, MS)
            })
            .collect();
        shares.order_candidates(Micros::from(destination), &mut offers);
        shares.call_started(&message(&offers[0]), MS);
        shares.round_ended(false);
    }
    assert_eq!(shares.destinations(), MAX_DESTINATION_CLOCKS);
}
