//! The table of jobs by number, with a limit on retained finished jobs.

use std::collections::{BTreeMap, VecDeque};

use crate::job::{Job, JobState};
use crate::job_spec::{JobId, JobSpec, Owner};

/// Maximum number of finished jobs that are retained for inspection; the oldest are removed first.
pub const MAX_FINISHED_JOBS: usize = 1000;

/// Whether the dependencies of a job permit it to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DependencyStatus {
    /// All dependencies are completed.
    Met,
    /// At least one dependency is not finished, and none has failed.
    Pending,
    /// A dependency failed or was cancelled.
    Failed,
}

/// All unfinished jobs, and the most recently finished ones.
#[derive(Debug, Default)]
pub(crate) struct JobTable {
    jobs: BTreeMap<JobId, Job>,
    /// Finished jobs, in the order in which they finished.
    finished: VecDeque<JobId>,
    last_id: JobId,
}

impl JobTable {
    pub(crate) fn add(&mut self, spec: JobSpec) -> JobId {
        self.last_id += 1;
        self.jobs.insert(self.last_id, Job::new(spec));
        self.last_id
    }

    /// Adds a persisted job under its earlier number.
    pub(crate) fn restore(&mut self, id: JobId, job: Job) {
        self.last_id = self.last_id.max(id);
        if job.state.is_terminal() {
            self.finished.push_back(id);
        }
        self.jobs.insert(id, job);
    }

    pub(crate) fn get(&self, id: JobId) -> Option<&Job> {
        self.jobs.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: JobId) -> Option<&mut Job> {
        self.jobs.get_mut(&id)
    }

    pub(crate) fn contains(&self, id: JobId) -> bool {
        self.jobs.contains_key(&id)
    }

    /// All jobs, ordered by number.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (JobId, &Job)> {
        self.jobs.iter().map(|(id, job)| (*id, job))
    }

    /// Jobs that are not finished, ordered by number.
    pub(crate) fn unfinished(&self) -> impl Iterator<Item = (JobId, &Job)> {
        self.iter().filter(|(_, job)| !job.state.is_terminal())
    }

    /// Unfinished jobs of an owner, ordered by number.
    pub(crate) fn unfinished_of<'a>(
        &'a self,
        owner: &'a Owner,
    ) -> impl Iterator<Item = (JobId, &'a Job)> {
        self.unfinished()
            .filter(move |(_, job)| job.spec.owner == *owner)
    }

    /// Must be called after each change of a job's state. Lists a job that has finished, and removes the oldest
    /// finished jobs beyond [`MAX_FINISHED_JOBS`].
    pub(crate) fn record_state_change(&mut self, id: JobId) {
        let is_finished = self.get(id).is_some_and(|job| job.state.is_terminal());
        if is_finished && !self.finished.contains(&id) {
            self.finished.push_back(id);
        }
        while self.finished.len() > MAX_FINISHED_JOBS {
            if let Some(oldest) = self.finished.pop_front() {
                self.jobs.remove(&oldest);
            }
        }
    }

    /// The combined status of the jobs that this one depends on.
    pub(crate) fn dependency_status(&self, job: &Job) -> DependencyStatus {
        let mut status = DependencyStatus::Met;
        for id in &job.spec.dependencies {
            match self.get(*id).map(|dependency| &dependency.state) {
                // A finished job that was removed counts as completed. The dependents of a failed job fail at the next
                // decision, which is normally before a thousand further jobs have finished.
                None | Some(JobState::Completed { .. }) => {}
                Some(JobState::Failed(_) | JobState::Cancelled) => {
                    return DependencyStatus::Failed;
                }
                Some(_) => status = DependencyStatus::Pending,
            }
        }
        status
    }

    /// Whether all jobs that this one depends on are completed.
    pub(crate) fn dependencies_met(&self, job: &Job) -> bool {
        self.dependency_status(job) == DependencyStatus::Met
    }
}
