//! Tests of the checks on the scheduler's settings.

use jobs::{PriorityClass, Settings, SettingsError};

fn settings_with(change: impl FnOnce(&mut Settings)) -> Settings {
    let mut settings = Settings::default();
    change(&mut settings);
    settings
}

#[test]
fn default_settings_are_valid() {
    assert_eq!(Settings::default().check(), Ok(()));
}

#[test]
fn settings_out_of_bounds_are_reported_with_their_exact_text() {
    let upkeep = "work: Upkeep: the weight is 0, or the time is not from 1 us to 1 s per second";
    let idle = "work: Idle: the weight is 0, or the time is not from 1 us to 1 s per second";
    let slice = "work: a slice length is not from 1 us to 100 ms, or the busy slice exceeds the maximum slice";
    let bound = "work: a limit on jobs, or the starvation interval, is 0";
    for (settings, expected) in [
        (settings_with(|s| s.budgets[0].weight = 0), upkeep),
        (settings_with(|s| s.budgets[0].time = 0), upkeep),
        (settings_with(|s| s.budgets[3].time = 1_000_001), idle),
        (settings_with(|s| s.busy_slice = 0), slice),
        (settings_with(|s| s.busy_slice = 2_001), slice),
        (settings_with(|s| s.max_slice = 100_001), slice),
        (settings_with(|s| s.max_jobs = 0), bound),
        (settings_with(|s| s.max_jobs_per_owner = 0), bound),
        (settings_with(|s| s.starvation_interval = 0), bound),
    ] {
        let error = settings.check().expect_err(expected);
        assert_eq!(error.to_string(), expected);
    }
}

#[test]
fn invalid_budget_names_its_class() {
    let settings = settings_with(|s| s.budgets[2].weight = 0);
    assert_eq!(
        settings.check(),
        Err(SettingsError::InvalidBudget {
            class: PriorityClass::Bulk
        })
    );
}
