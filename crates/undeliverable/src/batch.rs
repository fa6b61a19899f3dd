//! Batches: many records are resent under one name, at a limited rate and with limited concurrency. A batch stops
//! automatically when too many of its resends fail.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::filter::Filter;
use crate::record::{RecordId, MAX_NAME_BYTES};
use crate::resend_policy::ResendBlocked;
use crate::Micros;

/// Microseconds in a second.
const MICROS_PER_SECOND: f64 = 1e6;
/// Capacity of the rate limiter's token bucket: unused time permits no burst of more than one resend.
const MAX_RATE_TOKENS: f64 = 1.0;
/// Maximum batches in a store. A further batch replaces the oldest one that has ended, or is rejected if none has.
pub const MAX_BATCHES: usize = 256;
/// Minimum rate of a batch, in records per second.
pub const MIN_RATE_PER_SECOND: f64 = 0.01;
/// Maximum rate of a batch, in records per second.
pub const MAX_RATE_PER_SECOND: f64 = 1000.0;
/// Minimum of [`BatchSpec::at_once`].
pub const MIN_CONCURRENT_RESENDS: u32 = 1;
/// Maximum of [`BatchSpec::at_once`].
pub const MAX_CONCURRENT_RESENDS: u32 = 64;
/// Minimum of [`BatchSpec::stop_after`].
pub const MIN_STOP_AFTER_FAILURES: u32 = 1;
/// Maximum of [`BatchSpec::stop_after`].
pub const MAX_STOP_AFTER_FAILURES: u32 = 1000;

/// The specification of a batch, as it was requested.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BatchSpec {
    /// Unique name: 1 to [`MAX_NAME_BYTES`] letters, digits, `.`, `_` and `-`.
    pub name: String,
    /// Selects the records to resend.
    pub filter: Filter,
    /// Maximum rate, in records per second.
    pub per_second: f64,
    /// Maximum resends in flight.
    pub at_once: u32,
    /// The batch stops once this many of the last `2 * stop_after` resends have failed.
    pub stop_after: u32,
}

/// The state of a batch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BatchState {
    /// The dry run is done, and the batch has not been started.
    Planned,
    /// Records are being resent.
    Running,
    /// Paused by an operator: resends in flight complete, and no further one starts.
    Paused,
    /// Stopped automatically because too many resends failed; an operator may resume the batch.
    Stopped,
    /// All records were examined, and all resends have ended.
    Done,
    /// Cancelled by an operator.
    Cancelled,
}

impl BatchState {
    /// The identifier in the administration API, in lower case.
    #[must_use]
    pub fn as_str(&self) -> &'static str {
        match self {
            BatchState::Planned => "planned",
            BatchState::Running => "running",
            BatchState::Paused => "paused",
            BatchState::Stopped => "stopped",
            BatchState::Done => "done",
            BatchState::Cancelled => "cancelled",
        }
    }

    /// Whether the batch has ended and cannot be resumed.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        matches!(self, BatchState::Done | BatchState::Cancelled)
    }
}

/// An operator's command to a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BatchCommand {
    /// Start or resume the batch.
    Run,
    /// Start no further resend until the batch is resumed.
    Pause,
    /// End the batch for good.
    Cancel,
}

/// Counts from a batch's dry run and of its resends.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchCounts {
    /// Open records that matched when the batch was planned.
    pub found: u64,
    /// Records out of `found` that could be resent at that time.
    #[serde(rename = "may_go")]
    pub resendable: u64,
    /// Records out of `found` that could not be resent at that time, by [`ResendBlocked::as_str`].
    #[serde(rename = "needs")]
    pub blocked: BTreeMap<String, u64>,
    /// Resends that were started.
    pub sent: u64,
    /// Resends that were delivered.
    pub delivered: u64,
    /// Resends that ended without delivery.
    pub failed: u64,
    /// Records that were skipped because they changed after planning or may not be resent.
    pub skipped: u64,
}

impl BatchCounts {
    /// Counts a record that matched in the dry run, with the resend policy's result for it.
    pub fn count_planned(&mut self, checked: Result<(), ResendBlocked>) {
        self.found += 1;
        match checked {
            Ok(()) => self.resendable += 1,
            Err(blocked) => *self.blocked.entry(blocked.as_str().into()).or_default() += 1,
        }
    }
}

/// A batch. Postcard encodes it by position, so no field may be moved, added or removed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// The specification that was requested.
    pub spec: BatchSpec,
    /// Name of the operator who requested the batch.
    pub by: String,
    /// When the batch was planned, in Unix time.
    pub created_at: Micros,
    /// The current state.
    pub state: BatchState,
    /// Counts from the dry run and of the resends.
    pub counts: BatchCounts,
    /// Starts at 1 and increases with every change of the state.
    pub version: u32,
    /// The last record that was examined; 0 before the first.
    pub last_examined: RecordId,
    /// The last record in the store when the batch was planned; later records are not part of it.
    pub last_planned: RecordId,
    /// Whether each of the latest resends was delivered: at most `2 * stop_after`, since the batch was last started.
    recently_delivered: VecDeque<bool>,
    /// Resends in flight.
    in_flight: u32,
    /// Tokens of the rate limiter, one per resend; refilled up to [`MAX_RATE_TOKENS`] as time passes.
    rate_tokens: f64,
    /// When `rate_tokens` was last refilled, in Unix time.
    refilled_at: Micros,
}

/// Why a batch is not planned, or a command is rejected. The text goes to the administrator.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BatchError {
    /// A batch of this name exists.
    #[error("there is a batch of this name")]
    Exists,
    /// No batch has this name.
    #[error("there is no such batch")]
    NotFound,
    /// There are [`MAX_BATCHES`] batches, and none has ended.
    #[error("there are {MAX_BATCHES} batches; cancel one that waits")]
    TooMany,
    /// The batch has changed since the caller read it; holds the current version.
    #[error("the batch is in version {0} by now")]
    Version(u32),
    /// The batch has ended; holds the identifier of its state.
    #[error("the batch is {0}")]
    Ended(&'static str),
    /// A value of the specification is out of bounds; names the value and its bounds.
    #[error("{0}")]
    Malformed(&'static str),
}

impl BatchSpec {
    /// Checks the name and the bounds of every value.
    ///
    /// # Errors
    ///
    /// [`BatchError::Malformed`] names the first value out of bounds.
    pub fn check(&self) -> Result<(), BatchError> {
        let is_name_byte = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
        if self.name.is_empty()
            || self.name.len() > MAX_NAME_BYTES
            || !self.name.bytes().all(is_name_byte)
        {
            return Err(BatchError::Malformed(
                "the name is not of 1 to 64 letters, digits, '.', '_' and '-'",
            ));
        }
        if !(MIN_RATE_PER_SECOND..=MAX_RATE_PER_SECOND).contains(&self.per_second) {
            return Err(BatchError::Malformed("per_second is not from 0.01 to 1000"));
        }
        if !(MIN_CONCURRENT_RESENDS..=MAX_CONCURRENT_RESENDS).contains(&self.at_once) {
            return Err(BatchError::Malformed("at_once is not from 1 to 64"));
        }
        if !(MIN_STOP_AFTER_FAILURES..=MAX_STOP_AFTER_FAILURES).contains(&self.stop_after) {
            return Err(BatchError::Malformed("stop_after is not from 1 to 1000"));
        }
        Ok(())
    }
}

impl Batch {
    /// Creates a batch in the state `Planned` with the `counts` of its dry run.
    ///
    /// # Errors
    ///
    /// [`BatchError::Malformed`] if the specification is out of bounds.
    pub fn plan(
        spec: BatchSpec,
        by: &str,
        now: Micros,
        last_planned: RecordId,
        counts: BatchCounts,
    ) -> Result<Self, BatchError> {
        spec.check()?;
        Ok(Batch {
            spec,
            by: by.into(),
            created_at: now,
            state: BatchState::Planned,
            counts,
            version: 1,
            last_examined: 0,
            last_planned,
            recently_delivered: VecDeque::new(),
            in_flight: 0,
            rate_tokens: MAX_RATE_TOKENS,
            refilled_at: now,
        })
    }

    /// The sender's name in [`crate::RecordState::Sending`] for records that this batch resends.
    #[must_use]
    pub fn sender_name(&self) -> String {
        format!("batch {}", self.spec.name)
    }

    /// Executes a command. Running a running batch, or pausing one that is not running, changes nothing.
    ///
    /// # Errors
    ///
    /// [`BatchError::Version`] if the batch has another version, [`BatchError::Ended`] if it has ended.
    pub fn apply_command(
        &mut self,
        command: BatchCommand,
        version: Option<u32>,
        now: Micros,
    ) -> Result<(), BatchError> {
        if version.is_some_and(|expected| expected != self.version) {
            return Err(BatchError::Version(self.version));
        }
        if self.state.has_ended() {
            return Err(BatchError::Ended(self.state.as_str()));
        }
        let state = match (command, &self.state) {
            (BatchCommand::Run, BatchState::Running)
            | (
                BatchCommand::Pause,
                BatchState::Planned | BatchState::Paused | BatchState::Stopped,
            ) => return Ok(()),
            (BatchCommand::Run, _) => {
                self.recently_delivered.clear();
                self.rate_tokens = MAX_RATE_TOKENS;
                self.refilled_at = now;
                BatchState::Running
            }
            (BatchCommand::Pause, _) => BatchState::Paused,
            (BatchCommand::Cancel, _) => BatchState::Cancelled,
        };
        self.state = state;
        self.version += 1;
        Ok(())
    }

    /// Checks whether the batch's state, concurrency limit and rate permit a resend now.
    ///
    /// # Errors
    ///
    /// The time from which the rate permits a resend, in Unix time, or [`Micros::MAX`] if the batch waits for an
    /// outcome or a command.
    pub fn check_pace(&mut self, now: Micros) -> Result<(), Micros> {
        if self.state != BatchState::Running || self.in_flight >= self.spec.at_once {
            return Err(Micros::MAX);
        }
        // If the clock was set back, the elapsed time counts as 0 and no token is added.
        let seconds = now.saturating_sub(self.refilled_at) as f64 / MICROS_PER_SECOND;
        self.rate_tokens = (self.rate_tokens + seconds * self.spec.per_second).min(MAX_RATE_TOKENS);
        self.refilled_at = now;
        if self.rate_tokens >= 1.0 {
            return Ok(());
        }
        let wait = (1.0 - self.rate_tokens) / self.spec.per_second * MICROS_PER_SECOND;
        Err(now.saturating_add(wait.ceil() as Micros + 1))
    }

    /// Records that a record was examined and skipped.
    pub fn record_skipped(&mut self, id: RecordId) {
        self.last_examined = self.last_examined.max(id);
        self.counts.skipped += 1;
    }

    /// Records that a resend of a record was started.
    pub fn record_sent(&mut self, id: RecordId) {
        self.last_examined = self.last_examined.max(id);
        self.rate_tokens -= 1.0;
        self.in_flight += 1;
        self.counts.sent += 1;
    }

    /// Records the end of a resend, with or without delivery. Returns whether this outcome stops the batch.
    pub fn record_outcome(&mut self, delivered: bool) -> bool {
        self.in_flight = self.in_flight.saturating_sub(1);
        if delivered {
            self.counts.delivered += 1;
        } else {
            self.counts.failed += 1;
        }
        self.recently_delivered.push_back(delivered);
        let stop_after = self.spec.stop_after as usize;
        while self.recently_delivered.len() > 2 * stop_after {
            self.recently_delivered.pop_front();
        }
        let failures = self
            .recently_delivered
            .iter()
            .filter(|delivered| !**delivered)
            .count();
        let stops = self.state == BatchState::Running && failures >= stop_after;
        if stops {
            self.state = BatchState::Stopped;
            self.version += 1;
        }
        stops
    }

    /// Records that no record is left to examine. A running batch is done once no resend is in flight.
    pub fn mark_exhausted(&mut self) {
        self.last_examined = self.last_planned;
        if self.state == BatchState::Running && self.in_flight == 0 {
            self.state = BatchState::Done;
            self.version += 1;
        }
    }

    /// Restores the pace after a restart, with `in_flight` resends that continue. The rate limiter starts empty.
    pub fn resume_after_restart(&mut self, in_flight: u32, now: Micros) {
        self.in_flight = in_flight;
        self.rate_tokens = 0.0;
        self.refilled_at = now;
    }
}

#[cfg(test)]
mod tests;
