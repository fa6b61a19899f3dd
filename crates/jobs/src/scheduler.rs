//! Selects the job that runs next and the length of its slice.
//!
//! Classes share the time that live calls leave unused, by deficit round robin: a class with work gets time in
//! proportion to its weight, and the overrun of a slice is deducted in later rounds. Within a class, owners take turns.
//! Among the jobs of one owner, the one with the earliest deadline that has not passed runs first; jobs without such a
//! deadline take turns. Each class has budgets per second for time, bytes and calls. While live calls need the core,
//! one slice of [`Settings::busy_slice`] runs every [`Settings::starvation_interval`], so that no class starves.

use std::collections::BTreeMap;

use crate::budget::{RemainingBudget, ResourceUsage};
use crate::error::SchedulerError;
use crate::job::{Job, JobCommand, JobState, SliceOutcome};
use crate::job_spec::{JobId, JobSpec, Owner, SpecError};
use crate::job_table::{DependencyStatus, JobTable};
use crate::priority_class::PriorityClass;
use crate::settings::Settings;
use crate::time::{Micros, MICROS_PER_SECOND};

/// How long a caller should wait after its job was rejected because the queue was full, in microseconds.
const QUEUE_FULL_RETRY_AFTER: Micros = MICROS_PER_SECOND;
/// How long the scheduler waits, in microseconds, while all classes with work have exhausted their budgets. Budgets
/// refill within one second.
const BUDGET_POLL_INTERVAL: Micros = 10_000;

/// Whether live calls need the core.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LiveTraffic {
    /// The core is free for background jobs.
    Idle,
    /// Live calls wait for the core.
    Busy,
}

/// What the caller has to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SchedulerDecision {
    /// Run a slice of a job.
    Run {
        /// The job's number.
        job: JobId,
        /// How long the slice may take before it has to yield, in microseconds.
        time_slice: Micros,
    },
    /// Run nothing before this time, unless a job or the traffic changes.
    Wait {
        /// When to request the next decision, in Unix time; [`Micros::MAX`] if only a change can lead to one.
        until: Micros,
    },
}

/// A job that may run now. Candidates of one class are compared by these fields in order, and the least runs first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    /// Sequence number of the owner's last slice in this class; 0 if there is none.
    owner_last_slice: u64,
    /// The job's deadline; [`Micros::MAX`] if it has none or it has passed.
    deadline: Micros,
    /// Sequence number of the job's last slice; 0 if there is none.
    job_last_slice: u64,
    id: JobId,
}

/// The first candidate of each class.
#[derive(Debug)]
struct Candidates {
    first_by_class: [Option<Candidate>; PriorityClass::COUNT],
    /// The earliest start time of a job that may not start yet; [`Micros::MAX`] if there is none.
    next_start: Micros,
}

impl Candidates {
    /// When to decide again if no candidate can run now, because there is none or their budgets are exhausted.
    fn next_decision_at(&self, now: Micros) -> Micros {
        let has_work = self.first_by_class.iter().any(Option::is_some);
        if has_work {
            self.next_start.min(now + BUDGET_POLL_INTERVAL)
        } else {
            self.next_start
        }
    }
}

/// Holds all jobs and selects the one that runs next.
#[derive(Debug)]
pub struct Scheduler {
    settings: Settings,
    jobs: JobTable,
    /// Remaining budgets, by class index.
    remaining: [RemainingBudget; PriorityClass::COUNT],
    refilled_at: Micros,
    /// Index of the class whose turn it is in the round robin.
    current_class: usize,
    /// Sequence number of the last slice of each owner in each class.
    last_slice_by_owner: BTreeMap<(PriorityClass, Owner), u64>,
    /// Number of slices that were started, over all jobs.
    slice_count: u64,
    running: Option<JobId>,
    last_slice_ended_at: Micros,
}

impl Scheduler {
    /// Creates a scheduler without jobs and with full budgets.
    #[must_use]
    pub fn new(settings: Settings, now: Micros) -> Self {
        let remaining = settings.budgets.each_ref().map(RemainingBudget::full);
        Scheduler {
            settings,
            jobs: JobTable::default(),
            remaining,
            refilled_at: now,
            current_class: 0,
            last_slice_by_owner: BTreeMap::new(),
            slice_count: 0,
            running: None,
            last_slice_ended_at: now,
        }
    }

    /// Creates a scheduler with the jobs that an earlier process persisted. A slice that was running may have executed.
    pub fn restore(
        settings: Settings,
        persisted: impl IntoIterator<Item = (JobId, Job)>,
        now: Micros,
    ) -> Self {
        let mut scheduler = Scheduler::new(settings, now);
        for (id, mut job) in persisted {
            job.recover(now);
            scheduler.jobs.restore(id, job);
        }
        scheduler
    }

    /// The job with this number; none if it does not exist or was removed after it finished.
    #[must_use]
    pub fn get(&self, id: JobId) -> Option<&Job> {
        self.jobs.get(id)
    }

    /// All jobs, oldest first.
    pub fn jobs(&self) -> impl Iterator<Item = (JobId, &Job)> {
        self.jobs.iter()
    }

    /// Submits a job and returns its number.
    ///
    /// # Errors
    ///
    /// [`SchedulerError::InvalidSpec`] if the specification is out of bounds or names a dependency that does not exist,
    /// [`SchedulerError::QueueFull`] if there are too many unfinished jobs.
    pub fn submit(&mut self, spec: JobSpec) -> Result<JobId, SchedulerError> {
        spec.check()?;
        if !spec.dependencies.iter().all(|id| self.jobs.contains(*id)) {
            return Err(SpecError::InvalidDependencies.into());
        }
        let is_full = self.jobs.unfinished().count() >= self.settings.max_jobs
            || self.jobs.unfinished_of(&spec.owner).count() >= self.settings.max_jobs_per_owner;
        if is_full {
            return Err(SchedulerError::QueueFull {
                retry_after: QUEUE_FULL_RETRY_AFTER,
            });
        }
        Ok(self.jobs.add(spec))
    }

    /// Applies a command to a job if the job has the expected version; `None` accepts any version.
    ///
    /// # Errors
    ///
    /// [`SchedulerError::JobNotFound`], [`SchedulerError::VersionMismatch`], or [`SchedulerError::NoChange`] if the
    /// command has no effect in the job's state.
    pub fn apply_command(
        &mut self,
        id: JobId,
        command: JobCommand,
        expected_version: Option<u64>,
        now: Micros,
    ) -> Result<(), SchedulerError> {
        let job = self.jobs.get_mut(id).ok_or(SchedulerError::JobNotFound)?;
        if expected_version.is_some_and(|expected| expected != job.version) {
            return Err(SchedulerError::VersionMismatch {
                current: job.version,
            });
        }
        if !job.apply_command(command, now) {
            return Err(SchedulerError::NoChange);
        }
        self.jobs.record_state_change(id);
        Ok(())
    }

    /// Fails all unfinished jobs of an owner. A running job fails when its slice ends.
    pub fn remove_owner(&mut self, owner: &Owner) {
        let owned: Vec<JobId> = self.jobs.unfinished_of(owner).map(|(id, _)| id).collect();
        for id in owned {
            if let Some(job) = self.jobs.get_mut(id) {
                job.remove_owner();
                self.jobs.record_state_change(id);
            }
        }
        self.last_slice_by_owner
            .retain(|(_, other), _| other != owner);
    }

    /// Decides what to run now. The chosen job counts as running until [`Scheduler::slice_completed`] is called.
    pub fn next_decision(&mut self, now: Micros, traffic: LiveTraffic) -> SchedulerDecision {
        if self.running.is_some() {
            return SchedulerDecision::Wait { until: Micros::MAX };
        }
        self.refill_budgets(now);
        if let Some(until) = self.yield_to_live_calls(now, traffic) {
            return SchedulerDecision::Wait { until };
        }
        self.fail_dependents();
        let candidates = self.candidates(now);
        let runnable = self.runnable_jobs(&candidates);
        if runnable.iter().all(Option::is_none) {
            return SchedulerDecision::Wait {
                until: candidates.next_decision_at(now),
            };
        }
        self.drop_unused_deficits(&candidates);
        let job = self.advance_round_robin(&runnable);
        let time_slice = self.time_slice(traffic);
        self.start_slice(job, now);
        SchedulerDecision::Run { job, time_slice }
    }

    /// Refills the budgets of all classes for the time since the last refill. Adds nothing if the clock was set back.
    fn refill_budgets(&mut self, now: Micros) {
        let elapsed = now.saturating_sub(self.refilled_at).min(MICROS_PER_SECOND);
        self.refilled_at = now;
        for (remaining, budget) in self.remaining.iter_mut().zip(&self.settings.budgets) {
            remaining.refill(budget, elapsed);
        }
    }

    /// While live calls need the core: the time until which no slice may run. None if the last slice ended long enough
    /// ago.
    fn yield_to_live_calls(&mut self, now: Micros, traffic: LiveTraffic) -> Option<Micros> {
        // If the clock was set back, no job waits longer than the interval.
        self.last_slice_ended_at = self.last_slice_ended_at.min(now);
        let idle_time = now - self.last_slice_ended_at;
        let must_yield =
            traffic == LiveTraffic::Busy && idle_time < self.settings.starvation_interval;
        must_yield.then(|| self.last_slice_ended_at + self.settings.starvation_interval)
    }

    /// Fails all jobs that depend on a job that failed or was cancelled.
    fn fail_dependents(&mut self) {
        let dependents: Vec<JobId> = self
            .jobs
            .unfinished()
            .filter(|(_, job)| {
                job.state != JobState::Running
                    && self.jobs.dependency_status(job) == DependencyStatus::Failed
            })
            .map(|(id, _)| id)
            .collect();
        for id in dependents {
            if let Some(job) = self.jobs.get_mut(id) {
                job.fail_dependency();
            }
            self.jobs.record_state_change(id);
        }
    }

    /// Finds the first candidate of each class, without regard to budgets.
    fn candidates(&self, now: Micros) -> Candidates {
        let mut candidates = Candidates {
            first_by_class: [None; PriorityClass::COUNT],
            next_start: Micros::MAX,
        };
        for (id, job) in self.jobs.iter() {
            let JobState::Waiting { until } = job.state else {
                continue;
            };
            if !self.jobs.dependencies_met(job) {
                continue;
            }
            if until > now {
                candidates.next_start = candidates.next_start.min(until);
                continue;
            }
            let candidate = self.candidate(id, job, now);
            let first = &mut candidates.first_by_class[job.spec.class.index()];
            if first.is_none_or(|other| candidate < other) {
                *first = Some(candidate);
            }
        }
        candidates
    }

    fn candidate(&self, id: JobId, job: &Job, now: Micros) -> Candidate {
        let owner = (job.spec.class, job.spec.owner.clone());
        // A deadline that has passed gives no precedence, so that it cannot starve other jobs.
        let deadline = job.spec.deadline.filter(|deadline| *deadline > now);
        Candidate {
            owner_last_slice: self.last_slice_by_owner.get(&owner).copied().unwrap_or(0),
            deadline: deadline.unwrap_or(Micros::MAX),
            job_last_slice: job.last_slice_number,
            id,
        }
    }

    /// The candidates of those classes whose budgets are not exhausted.
    fn runnable_jobs(&self, candidates: &Candidates) -> [Option<JobId>; PriorityClass::COUNT] {
        std::array::from_fn(|class| {
            candidates.first_by_class[class]
                .filter(|_| self.remaining[class].allows_slice())
                .map(|candidate| candidate.id)
        })
    }

    /// Resets the positive deficit of classes without candidates, so that an idle class accumulates no credit.
    fn drop_unused_deficits(&mut self, candidates: &Candidates) {
        for (remaining, first) in self.remaining.iter_mut().zip(&candidates.first_by_class) {
            if first.is_none() {
                remaining.deficit = remaining.deficit.min(0);
            }
        }
    }

    /// Advances the round robin to the next class that has a runnable job and a positive deficit, and returns that job.
    /// At least one class must have a runnable job; its deficit grows with each round, so the loop ends.
    fn advance_round_robin(&mut self, runnable: &[Option<JobId>; PriorityClass::COUNT]) -> JobId {
        loop {
            let class = self.current_class;
            if let Some(job) = runnable[class].filter(|_| self.remaining[class].deficit > 0) {
                return job;
            }
            self.current_class = (class + 1) % PriorityClass::COUNT;
            if runnable[self.current_class].is_some() {
                self.grant_quantum();
            }
        }
    }

    /// Adds the current class's quantum for one round to its deficit.
    fn grant_quantum(&mut self) {
        let weight = self.settings.budgets[self.current_class].weight;
        let quantum = weight * self.settings.busy_slice;
        self.remaining[self.current_class].deficit += quantum as i64;
    }

    /// Maximum length of the next slice of the current class, in microseconds.
    fn time_slice(&self, traffic: LiveTraffic) -> Micros {
        let longest = match traffic {
            LiveTraffic::Busy => self.settings.busy_slice,
            LiveTraffic::Idle => self.settings.max_slice,
        };
        longest.min(self.remaining[self.current_class].time.max(1) as Micros)
    }

    fn start_slice(&mut self, id: JobId, now: Micros) {
        if let Some(job) = self.jobs.get_mut(id) {
            self.slice_count += 1;
            job.slice_started(self.slice_count, now);
            self.last_slice_by_owner
                .insert((job.spec.class, job.spec.owner.clone()), self.slice_count);
        }
        self.running = Some(id);
    }

    /// Records the end of the running slice. The caller draws `jitter`, from 0 to 1, which spreads retries of failed
    /// slices.
    pub fn slice_completed(
        &mut self,
        outcome: SliceOutcome,
        usage: ResourceUsage,
        now: Micros,
        jitter: f64,
    ) {
        let Some(id) = self.running.take() else {
            return;
        };
        self.last_slice_ended_at = now;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let class = job.spec.class.index();
        self.remaining[class].charge(&self.settings.budgets[class], usage);
        job.slice_completed(outcome, usage.time, now, jitter);
        self.jobs.record_state_change(id);
    }
}
