//! Scenarios that violated an invariant, with a test for each family of failures. Those that still fail are listed in
//! `KNOWN-RED.txt` at the root.

mod support;

use simulator::script::ScenarioKind;

/// Minimum number of delivered messages, so that no scenario passes for lack of traffic.
const MIN_DELIVERED: u64 = 20;

fn invariants_hold(kind: ScenarioKind, seeds: impl IntoIterator<Item = u64>) {
    support::hold(kind, seeds, MIN_DELIVERED);
}

/// Guards against an attempt that is journaled as started while its connection is not up: a kill then failed its payout,
/// of which no host had received a byte.
#[test]
fn payouts_waiting_for_a_connection_are_not_failed_by_a_kill() {
    invariants_hold(ScenarioKind::Kept, [980_508]);
    invariants_hold(ScenarioKind::Fleet, [982_584]);
    invariants_hold(ScenarioKind::Plain, [972_377]);
}

/// Guards against an outage that counts as over when the first of two overlapping faults ends: a call in a black hole was
/// taken for one that had ended.
#[test]
fn messages_of_a_removed_tenant_end_while_their_call_hangs() {
    invariants_hold(ScenarioKind::Hosted, [953_879]);
}

/// Guards against the loss of a tenant's change that was answered, where both replicas are corrupted and the disk fills.
#[test]
fn answered_tenant_change_survives_corrupt_replicas_and_a_full_disk() {
    invariants_hold(ScenarioKind::Hosted, [931_994]);
}

/// Guards against recovered messages that are answered `deferred` without a call.
#[test]
fn recovered_messages_are_called_before_they_are_given_up_after_a_restart() {
    invariants_hold(ScenarioKind::Kept, [980_819]);
}

/// Guards against recovered messages that are answered `deferred` without a call around an upgrade or a drain.
#[test]
fn recovered_messages_are_called_before_they_are_given_up_around_an_upgrade() {
    invariants_hold(ScenarioKind::Operated, [980_503, 981_254]);
    invariants_hold(ScenarioKind::Upgraded, [981_641]);
}

/// Guards against calls beyond the budget of a returning destination.
#[test]
fn returning_destination_gets_no_call_beyond_its_budget() {
    invariants_hold(ScenarioKind::Hosted, [980_723, 980_862, 983_463, 952_960]);
    invariants_hold(ScenarioKind::Fleet, [20, 981_151, 983_419, 952_858]);
    invariants_hold(ScenarioKind::Operated, [208]);
}

/// Guards against calls beyond the budget of a destination whose connections came up late.
#[test]
fn returning_destination_with_late_connections_gets_no_call_beyond_its_budget() {
    invariants_hold(ScenarioKind::Kept, [200_372, 302_674]);
}

/// Guards against recovered messages that are given up with no call where calls begin late.
#[test]
fn recovered_messages_beside_late_calls_are_called() {
    invariants_hold(ScenarioKind::Kept, [201_466, 304_958]);
}

/// Guards against the rejection of a tenant's message while the tenant is below its share of the queue.
#[test]
fn tenant_below_its_share_is_accepted() {
    invariants_hold(ScenarioKind::Hosted, [951_643, 953_729]);
}

/// Guards against a `dispatches` metric that counts calls which were not made.
#[test]
fn dispatches_metric_counts_only_calls_that_were_made() {
    invariants_hold(ScenarioKind::Operated, [980_908]);
}

/// Guards against relays that call a returning destination beyond its budget after most of them have restarted.
#[test]
fn returning_destination_is_not_overloaded_by_restarted_fleets() {
    invariants_hold(
        ScenarioKind::Fleet,
        [
            8_000_005, 8_000_041, 8_000_049, 8_000_281, 8_000_361, 8_000_445, 8_000_497, 8_000_701,
            8_000_793, 8_001_305, 8_001_341, 8_001_485, 8_001_501,
        ],
    );
}

/// Guards against a hung call that holds the only slot of a destination which has returned.
#[test]
fn recovered_messages_are_called_although_one_call_hangs() {
    invariants_hold(ScenarioKind::Fleet, [8_000_889]);
}

/// Guards against recovered messages that wait for the budget of a returning destination until their deadlines.
#[test]
fn recovered_messages_of_restarted_fleets_are_called_within_the_budget() {
    invariants_hold(
        ScenarioKind::Fleet,
        [
            5_000_133, 5_000_573, 8_000_125, 8_000_689, 8_001_253, 8_001_333, 8_001_665, 8_001_921,
            9_100_569, 9_101_149, 9_101_153, 9_101_353, 9_102_057, 9_102_085, 9_102_177, 9_102_305,
            9_102_605, 9_102_729, 9_102_785,
        ],
    );
}

/// Guards against calls beyond the budget from relays that each had too few calls in the outage to detect it.
#[test]
fn returning_destination_is_not_overloaded_by_relays_with_few_calls_each() {
    invariants_hold(
        ScenarioKind::Fleet,
        [
            5_000_013, 5_000_025, 8_000_113, 8_001_649, 9_100_270, 9_100_965, 9_101_009, 9_101_345,
            9_101_369, 9_101_557, 9_101_897, 9_102_041, 9_102_829, 9_102_937,
        ],
    );
}
