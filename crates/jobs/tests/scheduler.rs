//! Tests of the scheduler: shares, budgets, deadlines, retries, restarts and limits.

use std::collections::BTreeMap;

use jobs::{
    Budget, FailureCause, Job, JobCommand, JobId, JobSpec, JobState, LiveTraffic, Micros, Owner,
    PriorityClass, ResourceUsage, Scheduler, SchedulerDecision, SchedulerError, Settings,
    SliceOutcome, SpecError, MAX_CHECKPOINT_BYTES, MAX_DEPENDENCIES, MAX_FINISHED_JOBS,
};
use proptest::prelude::{prop, prop_assert, prop_assert_eq, proptest, ProptestConfig};

const SECOND: Micros = 1_000_000;
const WAIT_FOR_CHANGE: SchedulerDecision = SchedulerDecision::Wait { until: Micros::MAX };

fn spec(name: &str, class: PriorityClass) -> JobSpec {
    JobSpec {
        name: name.into(),
        owner: Owner::System,
        class,
        not_before: 0,
        deadline: None,
        period: None,
        dependencies: Vec::new(),
        max_attempts: 3,
        is_idempotent: true,
    }
}

/// Weights 8, 4, 2 and 1, and budgets that never limit a class.
fn unlimited_settings() -> Settings {
    let budget = |weight| Budget {
        weight,
        time: SECOND,
        bytes: 1 << 40,
        calls: 1 << 40,
    };
    Settings {
        budgets: [budget(8), budget(4), budget(2), budget(1)],
        ..Settings::default()
    }
}

fn unlimited_scheduler() -> Scheduler {
    Scheduler::new(unlimited_settings(), 0)
}

fn time_used(time: Micros) -> ResourceUsage {
    ResourceUsage {
        time,
        ..ResourceUsage::default()
    }
}

fn progress(checkpoint: &[u8]) -> SliceOutcome {
    SliceOutcome::Progress {
        checkpoint: checkpoint.to_vec(),
    }
}

/// Starts a slice, which must be possible now; returns its job and its length.
fn start_slice(scheduler: &mut Scheduler, now: Micros) -> (JobId, Micros) {
    match scheduler.next_decision(now, LiveTraffic::Idle) {
        SchedulerDecision::Run { job, time_slice } => (job, time_slice),
        SchedulerDecision::Wait { until } => panic!("no slice at {now}, wait until {until}"),
    }
}

fn state(scheduler: &Scheduler, id: JobId) -> Option<&JobState> {
    scheduler.get(id).map(|job| &job.state)
}

/// Runs slices that use their whole length, and returns the total run time of each job.
fn run_for(
    scheduler: &mut Scheduler,
    mut now: Micros,
    duration: Micros,
    traffic: LiveTraffic,
) -> BTreeMap<JobId, Micros> {
    let end = now + duration;
    let mut time_by_job = BTreeMap::new();
    while now < end {
        match scheduler.next_decision(now, traffic) {
            SchedulerDecision::Run { job, time_slice } => {
                now += time_slice;
                *time_by_job.entry(job).or_default() += time_slice;
                scheduler.slice_completed(progress(b""), time_used(time_slice), now, 0.5);
            }
            SchedulerDecision::Wait { until } => now = until.clamp(now + 1, end),
        }
    }
    time_by_job
}

#[test]
fn classes_share_time_by_weight_and_owners_of_a_class_equally() {
    let mut scheduler = unlimited_scheduler();
    let ids = PriorityClass::ALL.map(|class| scheduler.submit(spec("j", class)).expect("accepted"));
    let of_tenant = scheduler
        .submit(JobSpec {
            owner: Owner::Tenant("acme".into()),
            ..spec("t", PriorityClass::Idle)
        })
        .expect("accepted");
    let time_by_job = run_for(&mut scheduler, 0, 30 * SECOND, LiveTraffic::Idle);
    let total = time_by_job.values().sum::<u64>() as f64;
    let share = |id: JobId| time_by_job[&id] as f64 / total;
    for (id, expected) in ids[..3].iter().zip([8.0 / 15.0, 4.0 / 15.0, 2.0 / 15.0]) {
        assert!((share(*id) - expected).abs() < 0.02, "{time_by_job:?}");
    }
    assert!(
        (share(ids[3]) - share(of_tenant)).abs() < 0.005,
        "two owners of one class have equal shares: {time_by_job:?}"
    );
}

#[test]
fn class_runs_no_longer_than_its_time_budget() {
    let mut settings = unlimited_settings();
    settings.budgets[0].time = 100_000;
    let mut scheduler = Scheduler::new(settings, 0);
    let limited = scheduler
        .submit(spec("a", PriorityClass::Upkeep))
        .expect("accepted");
    scheduler
        .submit(spec("b", PriorityClass::Idle))
        .expect("accepted");
    let time_by_job = run_for(&mut scheduler, 0, 10 * SECOND, LiveTraffic::Idle);
    assert!(
        (1_000_000..=1_150_000).contains(&time_by_job[&limited]),
        "{time_by_job:?}"
    );
}

#[test]
fn class_waits_until_the_overrun_of_its_slice_is_compensated() {
    let mut scheduler = unlimited_scheduler();
    for name in ["a", "b"] {
        scheduler
            .submit(spec(name, PriorityClass::Upkeep))
            .expect("accepted");
    }
    let (_, time_slice) = start_slice(&mut scheduler, 0);
    let mut now = time_slice * 50;
    scheduler.slice_completed(progress(b""), time_used(now), now, 0.5);
    let idle = scheduler
        .submit(spec("c", PriorityClass::Idle))
        .expect("accepted");
    let mut started = Vec::new();
    for _ in 0..20 {
        let (id, time_slice) = start_slice(&mut scheduler, now);
        now += time_slice;
        scheduler.slice_completed(progress(b""), time_used(time_slice), now, 0.5);
        started.push(id);
    }
    assert!(started[..3].iter().all(|id| *id == idle), "{started:?}");
}

#[test]
fn busy_live_traffic_permits_one_short_slice_per_second_and_starves_no_class() {
    let mut scheduler = unlimited_scheduler();
    for class in PriorityClass::ALL {
        scheduler.submit(spec("j", class)).expect("accepted");
    }
    let time_by_job = run_for(&mut scheduler, 0, 60 * SECOND, LiveTraffic::Busy);
    assert_eq!(time_by_job.len(), 4, "{time_by_job:?}");
    let total: Micros = time_by_job.values().sum();
    assert!(total <= 60 * 500, "one busy slice per second: {total}");
}

#[test]
fn earliest_deadline_runs_first_and_dependents_run_last() {
    let mut scheduler = unlimited_scheduler();
    let late = scheduler
        .submit(JobSpec {
            deadline: Some(900),
            ..spec("late", PriorityClass::Bulk)
        })
        .expect("accepted");
    let soon = scheduler
        .submit(JobSpec {
            deadline: Some(300),
            ..spec("soon", PriorityClass::Bulk)
        })
        .expect("accepted");
    let dependent = scheduler
        .submit(JobSpec {
            dependencies: vec![late],
            ..spec("dependent", PriorityClass::Upkeep)
        })
        .expect("accepted");
    for expected in [soon, late, dependent] {
        assert_eq!(start_slice(&mut scheduler, 10).0, expected);
        scheduler.slice_completed(SliceOutcome::Completed, time_used(10), 20, 0.5);
    }
    assert_eq!(
        scheduler.next_decision(30, LiveTraffic::Idle),
        WAIT_FOR_CHANGE
    );
}

#[test]
fn dependent_of_a_cancelled_job_fails() {
    let mut scheduler = unlimited_scheduler();
    let cancelled = scheduler
        .submit(spec("cancelled", PriorityClass::Bulk))
        .expect("accepted");
    let dependent = scheduler
        .submit(JobSpec {
            dependencies: vec![cancelled],
            ..spec("dependent", PriorityClass::Bulk)
        })
        .expect("accepted");
    scheduler
        .apply_command(cancelled, JobCommand::Cancel, Some(1), 40)
        .expect("cancels a waiting job");
    scheduler.next_decision(50, LiveTraffic::Idle);
    assert_eq!(
        state(&scheduler, dependent),
        Some(&JobState::Failed(FailureCause::DependencyFailed))
    );
}

#[test]
fn retry_backoff_doubles_until_the_attempts_are_exhausted() {
    let mut scheduler = unlimited_scheduler();
    let id = scheduler
        .submit(spec("fails", PriorityClass::Prompt))
        .expect("accepted");
    let mut backoffs = Vec::new();
    let mut now = 0;
    while let SchedulerDecision::Run { .. } = scheduler.next_decision(now, LiveTraffic::Idle) {
        scheduler.slice_completed(SliceOutcome::Failed, time_used(1), now, 1.0);
        if let Some(JobState::Waiting { until }) = state(&scheduler, id) {
            backoffs.push(until - now);
            now = *until;
        }
    }
    assert_eq!(backoffs, [SECOND, 2 * SECOND]);
    assert_eq!(
        state(&scheduler, id),
        Some(&JobState::Failed(FailureCause::AttemptsExhausted))
    );
}

#[test]
fn checkpoint_over_the_limit_counts_as_a_failed_attempt() {
    let mut scheduler = unlimited_scheduler();
    let id = scheduler
        .submit(JobSpec {
            max_attempts: 1,
            ..spec("long", PriorityClass::Prompt)
        })
        .expect("accepted");
    assert_eq!(start_slice(&mut scheduler, 0).0, id);
    let too_long = progress(&[0; MAX_CHECKPOINT_BYTES + 1]);
    scheduler.slice_completed(too_long, time_used(1), 0, 0.0);
    assert_eq!(
        state(&scheduler, id),
        Some(&JobState::Failed(FailureCause::AttemptsExhausted))
    );
}

/// The persisted jobs of a process that was killed during the second slice of its only job.
fn jobs_of_process_killed_within_slice() -> (JobId, Vec<(JobId, Job)>) {
    let mut scheduler = unlimited_scheduler();
    let id = scheduler
        .submit(spec("j", PriorityClass::Bulk))
        .expect("accepted");
    assert_eq!(start_slice(&mut scheduler, 0).0, id);
    scheduler.slice_completed(progress(b"half"), time_used(5), 5, 0.5);
    assert_eq!(start_slice(&mut scheduler, 5).0, id);
    let persisted = scheduler.jobs().map(|(id, job)| (id, job.clone()));
    (id, persisted.collect())
}

#[test]
fn restart_continues_an_idempotent_job_at_its_checkpoint() {
    let (id, persisted) = jobs_of_process_killed_within_slice();
    let restored = Scheduler::restore(unlimited_settings(), persisted, 100);
    let job = restored.get(id).expect("restored");
    assert_eq!(
        (job.checkpoint.as_slice(), &job.state),
        (&b"half"[..], &JobState::Waiting { until: 100 })
    );
}

#[test]
fn restart_fails_a_running_job_that_is_not_idempotent() {
    let (id, mut persisted) = jobs_of_process_killed_within_slice();
    for (_, job) in &mut persisted {
        job.spec.is_idempotent = false;
    }
    let restored = Scheduler::restore(unlimited_settings(), persisted, 100);
    assert_eq!(
        state(&restored, id),
        Some(&JobState::Failed(FailureCause::MayHaveExecuted))
    );
}

#[test]
fn commands_during_a_slice_take_effect_at_its_end_and_check_the_version() {
    let mut scheduler = unlimited_scheduler();
    let id = scheduler
        .submit(JobSpec {
            owner: Owner::Tenant("acme".into()),
            ..spec("j", PriorityClass::Bulk)
        })
        .expect("accepted");
    assert_eq!(
        scheduler.apply_command(id, JobCommand::Resume, None, 0),
        Err(SchedulerError::NoChange)
    );
    assert_eq!(start_slice(&mut scheduler, 0).0, id);
    assert_eq!(
        scheduler.apply_command(id, JobCommand::Pause, Some(1), 0),
        Err(SchedulerError::VersionMismatch { current: 2 })
    );
    scheduler
        .apply_command(id, JobCommand::Pause, Some(2), 0)
        .expect("pauses a running job");
    assert_eq!(state(&scheduler, id), Some(&JobState::Running));
    scheduler.slice_completed(progress(b""), time_used(1), 1, 0.5);
    assert_eq!(state(&scheduler, id), Some(&JobState::Paused));
    scheduler
        .apply_command(id, JobCommand::Resume, None, 2)
        .expect("resumes a paused job");
    assert_eq!(start_slice(&mut scheduler, 2).0, id);
    scheduler.remove_owner(&Owner::Tenant("acme".into()));
    scheduler.slice_completed(progress(b""), time_used(1), 3, 0.5);
    assert_eq!(
        state(&scheduler, id),
        Some(&JobState::Failed(FailureCause::OwnerRemoved))
    );
    assert_eq!(
        scheduler.apply_command(id, JobCommand::Cancel, None, 4),
        Err(SchedulerError::NoChange)
    );
    assert_eq!(
        scheduler.apply_command(99, JobCommand::Cancel, None, 4),
        Err(SchedulerError::JobNotFound)
    );
}

#[test]
fn full_queue_rejects_jobs_with_a_time_to_retry() {
    let settings = Settings {
        max_jobs: 20,
        max_jobs_per_owner: 5,
        ..unlimited_settings()
    };
    let mut scheduler = Scheduler::new(settings, 0);
    let queue_full = SchedulerError::QueueFull {
        retry_after: SECOND,
    };
    for number in 0..5 {
        scheduler
            .submit(spec(&format!("s{number}"), PriorityClass::Bulk))
            .expect("below the owner's limit");
    }
    assert_eq!(
        scheduler.submit(spec("more", PriorityClass::Bulk)),
        Err(queue_full.clone())
    );
    let of_tenant = |tenant: String| JobSpec {
        owner: Owner::Tenant(tenant),
        ..spec("t", PriorityClass::Bulk)
    };
    for number in 0..15 {
        scheduler
            .submit(of_tenant(format!("t{number}")))
            .expect("below the limit of all owners");
    }
    assert_eq!(scheduler.submit(of_tenant("last".into())), Err(queue_full));
}

#[test]
fn specification_out_of_bounds_is_rejected_with_its_exact_text() {
    let mut scheduler = unlimited_scheduler();
    let valid = || spec("x", PriorityClass::Bulk);
    let name = "the name is empty, longer than 64 bytes, or contains control characters";
    let zero = "the maximum of attempts or the period is 0";
    let dependencies = "the job depends on more than 16 jobs, or on a job that does not exist";
    let first = scheduler.submit(valid()).expect("accepted");
    let depending_on = |dependencies| JobSpec {
        dependencies,
        ..valid()
    };
    for (invalid, error, text) in [
        (spec("", PriorityClass::Bulk), SpecError::InvalidName, name),
        (
            spec("a\nb", PriorityClass::Bulk),
            SpecError::InvalidName,
            name,
        ),
        (
            spec(&"x".repeat(65), PriorityClass::Bulk),
            SpecError::InvalidName,
            name,
        ),
        (
            JobSpec {
                max_attempts: 0,
                ..valid()
            },
            SpecError::ZeroAttemptsOrPeriod,
            zero,
        ),
        (
            JobSpec {
                period: Some(0),
                ..valid()
            },
            SpecError::ZeroAttemptsOrPeriod,
            zero,
        ),
        (
            depending_on(vec![first; MAX_DEPENDENCIES + 1]),
            SpecError::InvalidDependencies,
            dependencies,
        ),
        (
            depending_on(vec![99]),
            SpecError::InvalidDependencies,
            dependencies,
        ),
    ] {
        let rejected = scheduler.submit(invalid).expect_err(text);
        assert_eq!(rejected, SchedulerError::InvalidSpec(error));
        assert_eq!(rejected.to_string(), text);
    }
}

#[test]
fn scheduler_errors_have_their_exact_text() {
    for (error, expected) in [
        (SchedulerError::JobNotFound, "there is no such job"),
        (
            SchedulerError::VersionMismatch { current: 7 },
            "the job has changed: its current version is 7",
        ),
        (
            SchedulerError::NoChange,
            "the job is finished, or the command would not change it",
        ),
        (
            SchedulerError::QueueFull { retry_after: 1 },
            "the maximum number of unfinished jobs is reached",
        ),
    ] {
        assert_eq!(error.to_string(), expected);
    }
}

#[test]
fn finished_jobs_beyond_the_limit_are_removed() {
    let mut scheduler = unlimited_scheduler();
    for _ in 0..MAX_FINISHED_JOBS + 50 {
        let id = scheduler
            .submit(spec("x", PriorityClass::Bulk))
            .expect("accepted");
        scheduler
            .apply_command(id, JobCommand::Cancel, None, 0)
            .expect("cancels a waiting job");
    }
    assert_eq!(scheduler.jobs().count(), MAX_FINISHED_JOBS);
}

#[test]
fn periodic_job_skips_missed_periods_and_waits_one_period_after_a_clock_step_back() {
    let mut scheduler = unlimited_scheduler();
    let id = scheduler
        .submit(JobSpec {
            period: Some(SECOND),
            ..spec("sweep", PriorityClass::Idle)
        })
        .expect("accepted");
    assert_eq!(start_slice(&mut scheduler, 0).0, id);
    scheduler.slice_completed(SliceOutcome::Completed, time_used(1), 10 * SECOND, 0.5);
    assert_eq!(
        state(&scheduler, id),
        Some(&JobState::Waiting { until: 10 * SECOND })
    );
    assert_eq!(start_slice(&mut scheduler, 10 * SECOND).0, id);
    scheduler.slice_completed(SliceOutcome::Completed, time_used(1), 5 * SECOND, 0.5);
    assert_eq!(
        state(&scheduler, id),
        Some(&JobState::Waiting { until: 6 * SECOND })
    );
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// For any sequence of submissions, commands and slices: one slice runs at a time, no job runs that is finished,
    /// paused or not due, a finished job keeps its state, and every waiting job gets a slice within 20 s.
    #[test]
    fn jobs_finish_once_and_none_starves(
        steps in prop::collection::vec((0u8..8, 0usize..4, 0u64..40, 0u64..5_000), 1..200),
    ) {
        let mut scheduler = unlimited_scheduler();
        let mut now = 0;
        let mut finished = BTreeMap::<JobId, JobState>::new();
        for (action, choice, number, elapsed) in steps {
            now += elapsed;
            match action {
                0..=2 => {
                    let submitted = scheduler.submit(JobSpec {
                        owner: Owner::Tenant(format!("t{}", number % 3)),
                        not_before: now + elapsed,
                        ..spec("j", PriorityClass::ALL[choice])
                    });
                    prop_assert!(submitted.is_ok(), "the number of jobs is below all limits");
                }
                3 => {
                    let commands = [JobCommand::Pause, JobCommand::Resume, JobCommand::Cancel];
                    // The job need not exist, and the command need not have an effect.
                    drop(scheduler.apply_command(number, commands[choice % 3], None, now));
                }
                _ => {
                    let traffic = if action == 7 { LiveTraffic::Busy } else { LiveTraffic::Idle };
                    if let SchedulerDecision::Run { job: id, time_slice } = scheduler.next_decision(now, traffic) {
                        let job = scheduler.get(id).expect("the chosen job exists");
                        prop_assert_eq!(&job.state, &JobState::Running);
                        prop_assert!(job.spec.not_before <= now && time_slice > 0);
                        let second = scheduler.next_decision(now, LiveTraffic::Idle);
                        prop_assert_eq!(second, WAIT_FOR_CHANGE, "one slice at a time");
                        now += elapsed;
                        let outcome = match number % 4 {
                            0 => SliceOutcome::Completed,
                            1 => SliceOutcome::Failed,
                            _ => progress(&[1]),
                        };
                        scheduler.slice_completed(outcome, time_used(elapsed), now, 0.3);
                    }
                }
            }
            for (id, job) in scheduler.jobs().filter(|(_, job)| job.state.is_terminal()) {
                let first = finished.entry(id).or_insert_with(|| job.state.clone());
                prop_assert_eq!(&*first, &job.state, "a finished job keeps its state");
            }
        }
        let waiting: Vec<JobId> = scheduler
            .jobs()
            .filter(|(_, job)| matches!(job.state, JobState::Waiting { .. }))
            .map(|(id, _)| id)
            .collect();
        let time_by_job = run_for(&mut scheduler, now + 600 * SECOND, 20 * SECOND, LiveTraffic::Idle);
        for id in waiting {
            prop_assert!(time_by_job.contains_key(&id), "job {} got no slice", id);
        }
    }
}
