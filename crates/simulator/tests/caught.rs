//! The checker detects violations: with one safeguard disabled, by a planted fault or in the configuration that the relay
//! reads, the invariant that it protects is violated within a bounded number of seeds.

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
fn journal_without_accepted_records_is_reported_as_lost_messages() {
    caught_with_fault("nothing lost", PlantedFault::DropAcceptedRecords);
}

#[test]
fn journal_without_attempt_records_is_reported_as_double_effects() {
    caught_with_fault("no double effect", PlantedFault::DropAttemptRecords);
}

#[test]
fn calls_kept_open_are_reported_as_concurrent_calls() {
    caught_with_fault("one at a time", PlantedFault::KeepCallsOpen);
}

#[test]
fn calls_to_draining_hosts_are_reported() {
    caught_with_fault("drains", PlantedFault::HideDraining);
}

#[test]
fn calls_before_the_end_of_retry_after_are_reported() {
    caught_with_fault("waits", PlantedFault::HideBackoff);
}

#[test]
fn calls_to_a_host_of_another_destination_are_reported() {
    caught_with_fault("right host", PlantedFault::MisrouteConnections);
}

#[test]
fn messages_that_a_slow_clock_ends_late_are_reported() {
    caught_with_fault("nothing lost", PlantedFault::SlowClock);
}

#[test]
fn lost_notices_are_reported() {
    caught_with_fault("at once", PlantedFault::DropNotifications);
}

#[test]
fn non_idempotent_classes_configured_as_idempotent_are_reported_as_double_effects() {
    misconfigured("no double effect", |config| {
        classes(config)
            .filter(|c| c["effect"] == "fragile")
            .for_each(|c| c["effect"] = "retryable".into());
    });
}

#[test]
fn keyed_classes_with_too_long_a_window_are_reported_as_double_effects() {
    misconfigured("no double effect", |config| {
        classes(config)
            .filter(|c| c["effect"] == "dedup")
            .for_each(|c| c["window"] = 1_000_000_000.into());
    });
}

#[test]
fn attempts_beyond_the_maximum_are_reported() {
    misconfigured("attempts", |config| {
        config["settings"]["limits"]["maxAttempts"] = 200.into();
        classes(config).for_each(|c| c["aim"] = 1000.into());
    });
}

#[test]
fn ordered_classes_configured_as_unordered_are_reported() {
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
fn state_beyond_the_disk_limit_is_reported() {
    misconfigured("disk", |config| config["limits"]["disk_mb"] = 50.0.into());
}

#[test]
fn recovered_messages_that_are_never_called_are_reported() {
    caught_with_fault("still tried", PlantedFault::ClockAhead);
}
