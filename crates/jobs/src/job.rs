//! The state machine of one job: commands, checkpoints, attempts and restarts.

use serde::{Deserialize, Serialize};

use crate::job_spec::JobSpec;
use crate::time::Micros;

/// Maximum size of a checkpoint, in bytes.
pub const MAX_CHECKPOINT_BYTES: usize = 4096;
/// Backoff before the second attempt of a slice, in microseconds. It doubles with each further attempt.
pub const MIN_RETRY_BACKOFF: Micros = 1_000_000;
/// Maximum backoff before an attempt, in microseconds.
pub const MAX_RETRY_BACKOFF: Micros = 600_000_000;

/// Limits the shift so that it fits in 64 bits; [`MAX_RETRY_BACKOFF`] is reached much earlier.
const MAX_BACKOFF_DOUBLINGS: u32 = 32;

/// The state of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// The next slice may start at this time or later.
    Waiting {
        /// When the next slice may start.
        until: Micros,
    },
    /// A slice of the job is running.
    Running,
    /// Paused by an operator: no slice starts until the job is resumed.
    Paused,
    /// All work of the job is done.
    Completed {
        /// When its last slice ended.
        at: Micros,
    },
    /// The job failed and does not run again.
    Failed(FailureCause),
    /// An operator cancelled the job.
    Cancelled,
}

impl JobState {
    /// Whether the job is finished and never runs again.
    #[must_use]
    pub fn is_terminal(&self) -> bool {
        matches!(
            self,
            JobState::Completed { .. } | JobState::Failed(_) | JobState::Cancelled
        )
    }
}

/// Why a job failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FailureCause {
    /// A slice failed in as many attempts as the specification allows.
    AttemptsExhausted,
    /// A dependency of the job failed or was cancelled.
    DependencyFailed,
    /// The process ended during a slice that is not idempotent.
    MayHaveExecuted,
    /// The job's owner was removed.
    OwnerRemoved,
}

/// An operator's command to a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobCommand {
    /// Start no slice until the job is resumed.
    Pause,
    /// Continue a paused job.
    Resume,
    /// Never start another slice.
    Cancel,
}

/// How a slice ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SliceOutcome {
    /// Work remains.
    Progress {
        /// Where the next slice continues; at most [`MAX_CHECKPOINT_BYTES`].
        checkpoint: Vec<u8>,
    },
    /// All work of the job, or of its current period, is done.
    Completed,
    /// The slice failed and is retried from the last checkpoint.
    Failed,
}

/// A background job: its specification and its progress. Points in time are Unix time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// The specification that was submitted.
    pub spec: JobSpec,
    /// The current state.
    pub state: JobState,
    /// Where the next slice continues; empty before the first slice and at the start of each period.
    pub checkpoint: Vec<u8>,
    /// Failed attempts of the next slice since the last success.
    pub failed_attempts: u32,
    /// Number of slices that ended without failure.
    pub completed_slices: u64,
    /// Total run time of all slices, in microseconds.
    pub run_time: Micros,
    /// When the first slice of the current period started; none before that.
    pub started_at: Option<Micros>,
    /// Starts at 1 and increases with every change of the state.
    pub version: u64,
    /// A transition to apply when the running slice ends.
    deferred: Option<DeferredTransition>,
    /// Sequence number of the job's last slice among the slices of all jobs; 0 before the first.
    pub(crate) last_slice_number: u64,
}

/// A transition that was requested while a slice was running.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum DeferredTransition {
    Pause,
    Cancel,
    OwnerRemoved,
}

impl DeferredTransition {
    fn target(self) -> JobState {
        match self {
            DeferredTransition::Pause => JobState::Paused,
            DeferredTransition::Cancel => JobState::Cancelled,
            DeferredTransition::OwnerRemoved => JobState::Failed(FailureCause::OwnerRemoved),
        }
    }
}

impl Job {
    pub(crate) fn new(spec: JobSpec) -> Self {
        let state = JobState::Waiting {
            until: spec.not_before,
        };
        Job {
            spec,
            state,
            checkpoint: Vec::new(),
            failed_attempts: 0,
            completed_slices: 0,
            run_time: 0,
            started_at: None,
            version: 1,
            deferred: None,
            last_slice_number: 0,
        }
    }

    fn transition_to(&mut self, state: JobState) {
        self.state = state;
        self.version += 1;
    }

    /// Applies an operator's command, or defers it to the end of the running slice. Returns false if the command has no
    /// effect.
    pub(crate) fn apply_command(&mut self, command: JobCommand, now: Micros) -> bool {
        match (command, &self.state) {
            (_, state) if state.is_terminal() => return false,
            (JobCommand::Pause, JobState::Running) => {
                self.deferred = self.deferred.or(Some(DeferredTransition::Pause));
            }
            (JobCommand::Cancel, JobState::Running) => {
                self.deferred = Some(DeferredTransition::Cancel);
            }
            (JobCommand::Resume, JobState::Running)
                if self.deferred == Some(DeferredTransition::Pause) =>
            {
                self.deferred = None;
            }
            (JobCommand::Pause, JobState::Waiting { .. }) => self.transition_to(JobState::Paused),
            (JobCommand::Resume, JobState::Paused) => {
                let until = now.max(self.spec.not_before);
                self.transition_to(JobState::Waiting { until });
            }
            (JobCommand::Cancel, _) => self.transition_to(JobState::Cancelled),
            _ => return false,
        }
        true
    }

    /// Fails the job because its owner was removed, at the end of the running slice if there is one.
    pub(crate) fn remove_owner(&mut self) {
        match self.state {
            JobState::Running => self.deferred = Some(DeferredTransition::OwnerRemoved),
            _ => self.transition_to(JobState::Failed(FailureCause::OwnerRemoved)),
        }
    }

    /// Fails the job because a dependency failed or was cancelled.
    pub(crate) fn fail_dependency(&mut self) {
        self.transition_to(JobState::Failed(FailureCause::DependencyFailed));
    }

    /// Records the start of a slice; `number` is its sequence number among the slices of all jobs.
    pub(crate) fn slice_started(&mut self, number: u64, now: Micros) {
        self.transition_to(JobState::Running);
        self.started_at.get_or_insert(now);
        self.last_slice_number = number;
    }

    /// Records the end of the running slice after `elapsed` microseconds. `jitter`, from 0 to 1, places a retry in the
    /// upper half of its backoff, so that jobs that failed together are not retried together.
    pub(crate) fn slice_completed(
        &mut self,
        outcome: SliceOutcome,
        elapsed: Micros,
        now: Micros,
        jitter: f64,
    ) {
        self.run_time = self.run_time.saturating_add(elapsed);
        let deferred = self.deferred.take();
        match outcome {
            // A checkpoint over the limit cannot be stored, so the slice counts as failed.
            SliceOutcome::Progress { checkpoint } if checkpoint.len() > MAX_CHECKPOINT_BYTES => {
                self.record_failure(now, jitter);
            }
            SliceOutcome::Progress { checkpoint } => {
                self.record_success(checkpoint);
                self.transition_to(JobState::Waiting { until: now });
            }
            SliceOutcome::Completed => {
                self.record_success(Vec::new());
                self.complete_period(now);
            }
            SliceOutcome::Failed => self.record_failure(now, jitter),
        }
        if let Some(deferred) = deferred.filter(|_| !self.state.is_terminal()) {
            self.transition_to(deferred.target());
        }
    }

    fn record_success(&mut self, checkpoint: Vec<u8>) {
        self.completed_slices += 1;
        self.checkpoint = checkpoint;
        self.failed_attempts = 0;
    }

    /// Waits for the next period, or completes a job that is not periodic.
    fn complete_period(&mut self, now: Micros) {
        let Some(period) = self.spec.period else {
            return self.transition_to(JobState::Completed { at: now });
        };
        // Missed periods are skipped. If the clock was set back, the next period starts at most one period from now.
        let next = self
            .started_at
            .take()
            .unwrap_or(now)
            .saturating_add(period)
            .clamp(now, now.saturating_add(period));
        self.transition_to(JobState::Waiting { until: next });
    }

    fn record_failure(&mut self, now: Micros, jitter: f64) {
        self.failed_attempts += 1;
        if self.failed_attempts >= self.spec.max_attempts {
            return self.transition_to(JobState::Failed(FailureCause::AttemptsExhausted));
        }
        let backoff = retry_backoff(self.failed_attempts, jitter);
        self.transition_to(JobState::Waiting {
            until: now.saturating_add(backoff),
        });
    }

    /// Recovers a job after a restart of the process. A slice that was running may have executed.
    pub(crate) fn recover(&mut self, now: Micros) {
        if self.state != JobState::Running {
            return;
        }
        let deferred = self.deferred.take();
        if !self.spec.is_idempotent {
            return self.transition_to(JobState::Failed(FailureCause::MayHaveExecuted));
        }
        self.transition_to(match deferred {
            Some(deferred) => deferred.target(),
            None => JobState::Waiting { until: now },
        });
    }
}

/// The delay before the next attempt after `failed_attempts` failures, which must be 1 or more.
fn retry_backoff(failed_attempts: u32, jitter: f64) -> Micros {
    let doublings = (failed_attempts - 1).min(MAX_BACKOFF_DOUBLINGS);
    let backoff = MIN_RETRY_BACKOFF
        .saturating_mul(1 << doublings)
        .min(MAX_RETRY_BACKOFF);
    (backoff as f64 * (0.5 + 0.5 * jitter.clamp(0.0, 1.0))) as Micros
}
