//! The state machine of one job: commands, checkpoints, attempts and restarts.

use serde::{Deserialize, Serialize};

use crate::job_spec::JobSpec;
use crate::time::Micros;

/// Largest checkpoint, in bytes.
pub const MAX_CHECKPOINT_BYTES: usize = 4096;
/// Backoff before the second attempt of a slice, in microseconds; it doubles with each further attempt.
pub const MIN_RETRY_BACKOFF: Micros = 1_000_000;
/// Longest backoff before an attempt, in microseconds.
pub const MAX_RETRY_BACKOFF: Micros = 600_000_000;

/// Keeps the doubled backoff within 64 bits; [`MAX_RETRY_BACKOFF`] is reached far earlier.
const MAX_BACKOFF_DOUBLINGS: u32 = 32;

/// The state of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// The next slice may start at this time or later.
    Waiting {
        /// When the next slice may start.
        until: Micros,
    },
    /// A slice runs.
    Running,
    /// No slice starts until the job is resumed.
    Paused,
    /// All work of the job is done.
    Completed {
        /// When its last slice ended.
        at: Micros,
    },
    /// The job has failed.
    Failed(FailureCause),
    /// An operator cancelled the job.
    Cancelled,
}

impl JobState {
    /// Whether the job never runs again.
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
    /// A job that it depends on failed or was cancelled.
    DependencyFailed,
    /// The process ended during a slice that is not idempotent.
    MayHaveExecuted,
    /// Its owner was removed.
    OwnerRemoved,
}

/// What an operator commands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobCommand {
    /// Start no slice for now.
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
        /// Where the next slice continues; [`MAX_CHECKPOINT_BYTES`] at most.
        checkpoint: Vec<u8>,
    },
    /// All work of the job, or of its present period, is done.
    Completed,
    /// The slice failed, and is attempted again from the last checkpoint.
    Failed,
}

/// A job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// What the caller specified.
    pub spec: JobSpec,
    /// The present state.
    pub state: JobState,
    /// Where the next slice continues; empty at the beginning.
    pub checkpoint: Vec<u8>,
    /// Failed attempts of the next slice.
    pub failed_attempts: u32,
    /// Slices that ended without failure.
    pub completed_slices: u64,
    /// Time that all slices took, in microseconds.
    pub run_time: Micros,
    /// When the present period's first slice started.
    pub started_at: Option<Micros>,
    /// Increases with every change of the state.
    pub version: u64,
    /// The transition that follows the end of the running slice.
    deferred: Option<DeferredTransition>,
    /// The sequence number of the last slice among all jobs' slices; 0 before the first.
    pub(crate) last_slice_number: u64,
}

/// A transition that was requested while a slice ran.
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

    /// Applies an operator's command, after the present slice if one runs. Returns whether it changes anything.
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

    /// Fails the job because its owner was removed, after the present slice if one runs.
    pub(crate) fn remove_owner(&mut self) {
        match self.state {
            JobState::Running => self.deferred = Some(DeferredTransition::OwnerRemoved),
            _ => self.transition_to(JobState::Failed(FailureCause::OwnerRemoved)),
        }
    }

    /// Fails the job because one that it depends on failed or was cancelled.
    pub(crate) fn fail_dependency(&mut self) {
        self.transition_to(JobState::Failed(FailureCause::DependencyFailed));
    }

    /// A slice starts, the one of this number among all jobs' slices.
    pub(crate) fn slice_started(&mut self, number: u64, now: Micros) {
        self.transition_to(JobState::Running);
        self.started_at.get_or_insert(now);
        self.last_slice_number = number;
    }

    /// The running slice has ended after `elapsed` microseconds. `jitter`, from 0 to 1, places a retry in the upper half
    /// of its backoff, so that jobs which failed together are not retried together.
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
            // A checkpoint that is too long cannot be stored: the slice counts as failed.
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

    /// Waits for the next period, or completes a job that has none.
    fn complete_period(&mut self, now: Micros) {
        let Some(period) = self.spec.period else {
            return self.transition_to(JobState::Completed { at: now });
        };
        // Periods that were missed are skipped, and a clock that was set back delays the next one by a period at most.
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

    /// Recovers from the end of the process that ran the job's slice.
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

/// The wait before the attempt that follows `failed_attempts` failures, 1 or more.
fn retry_backoff(failed_attempts: u32, jitter: f64) -> Micros {
    let doublings = (failed_attempts - 1).min(MAX_BACKOFF_DOUBLINGS);
    let backoff = MIN_RETRY_BACKOFF
        .saturating_mul(1 << doublings)
        .min(MAX_RETRY_BACKOFF);
    (backoff as f64 * (0.5 + 0.5 * jitter.clamp(0.0, 1.0))) as Micros
}
