//! The checker can fail: with one guard taken out, by the seam or by the configuration that the relay reads, the
//! rule that the guard keeps is seen broken within a bounded number of seeds.

mod support;

use serde_json::Value;
use simulator::machine::PlantedFault;
use simulator::script::ScenarioKind;
use simulator::world::Options;

fn caught(rule: &str, options: Options) {
    support::seeds_until(ScenarioKind::Plain, rule, 0..400, options, |_| {});
}

fn caught_with_fault(rule: &str, fault: PlantedFault) {
    caught(
        rule,
        Options {
            planted_fault: Some(fault),
            ..Options::default()
        },
    );
}

fn misconfigured(rule: &str, change: fn(&mut Value)) {
    caught(
        rule,
        Options {
            misconfigure: Some(change),
            ..Options::default()
        },
    );
}

fn classes(config: &mut Value) -> impl Iterator<Item = &mut Value> {
    config["settings"]["services"]
        .as_array_mut()
        .expect("classes")
        .iter_mut()
}

#[test]
fn a_journal_that_keeps_no_messages_loses_them() {
    caught_with_fault("nothing lost", PlantedFault::DropAcceptedRecords);
}

#[test]
fn a_journal_that_keeps_no_attempts_lets_payouts_go_twice() {
    caught_with_fault("no double effect", PlantedFault::DropAttemptRecords);
}

#[test]
fn calls_kept_open_are_reported_as_concurrent_calls() {
    caught_with_fault("one at a time", PlantedFault::KeepCallsOpen);
}

#[test]
fn drains_that_are_not_heard_of_are_not_kept() {
    caught_with_fault("drains", PlantedFault::HideDraining);
}

#[test]
fn waits_that_are_not_heard_of_are_not_heeded() {
    caught_with_fault("waits", PlantedFault::HideBackoff);
}

#[test]
fn calls_that_are_led_to_another_host_are_seen() {
    caught_with_fault("right host", PlantedFault::MisrouteConnections);
}

#[test]
fn a_slow_clock_ends_messages_too_late() {
    caught_with_fault("nothing lost", PlantedFault::SlowClock);
}

#[test]
fn notices_that_get_lost_are_missed() {
    caught_with_fault("at once", PlantedFault::DropNotifications);
}

#[test]
fn unsafe_classes_that_pass_for_safe_go_twice() {
    misconfigured("no double effect", |config| {
        classes(config)
            .filter(|c| c["effect"] == "fragile")
            .for_each(|c| c["effect"] = "retryable".into());
    });
}

#[test]
fn keys_that_are_thought_to_be_remembered_for_ever_outlive_their_window() {
    misconfigured("no double effect", |config| {
        classes(config)
            .filter(|c| c["effect"] == "dedup")
            .for_each(|c| c["window"] = 1_000_000_000.into());
    });
}

#[test]
fn attempts_without_a_bound_are_counted() {
    misconfigured("attempts", |config| {
        config["settings"]["limits"]["maxAttempts"] = 200.into();
        classes(config).for_each(|c| c["aim"] = 1000.into());
    });
}

#[test]
fn classes_that_pass_for_unordered_lose_their_order() {
    misconfigured("order", |config| {
        classes(config).for_each(|c| c["fifoByKey"] = false.into())
    });
}

#[test]
fn returning_destinations_treated_as_warm_are_reported_as_overloaded() {
    misconfigured("not pushed over", |config| {
        config["settings"]["rules"]["coldFrom"] = 1.0.into();
        config["settings"]["rules"]["overloadFactor"] = 20.0.into();
    });
}

#[test]
fn a_disk_that_passes_for_larger_is_overfilled() {
    misconfigured("disk", |config| config["limits"]["disk_mb"] = 50.0.into());
}

#[test]
fn what_a_restart_finds_untried_and_never_calls_is_missed() {
    caught_with_fault("still tried", PlantedFault::ClockAhead);
}
