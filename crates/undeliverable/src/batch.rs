//! Many records sent again under one name: at a rate, a few at a time, and not on and on where they fail.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::filter::Filter;
use crate::record::{RecordId, MAX_NAME_BYTES};
use crate::resend_policy::ResendBlocked;
use crate::Micros;

const SECOND: f64 = 1e6;
/// Batches that a store holds at most; past that the oldest that has ended gives way, or a new one is refused.
pub const MAX_BATCHES: usize = 256;
/// Bounds of a batch's rate, in records a second.
pub const RATE: (f64, f64) = (0.01, 1000.0);
/// Bounds of the records that it has out at once.
pub const AT_ONCE: (u32, u32) = (1, 64);

/// What somebody asks for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BatchSpec {
    /// Its name: letters, digits, `.`, `_` and `-`.
    pub name: String,
    /// Which records.
    pub filter: Filter,
    /// So many a second at most.
    pub per_second: f64,
    /// So many out at once at most.
    pub at_once: u32,
    /// It stops by itself once so many of the last twice as many ended without delivery.
    pub stop_after: u32,
}

/// Where a batch stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BatchState {
    /// Counted, not begun.
    Planned,
    /// Records are sent.
    Running,
    /// Nothing new is sent.
    Paused,
    /// It has stopped by itself, as too many failed; it may be resumed.
    Stopped,
    /// All of its records were looked at, and those sent have ended.
    Done,
    /// It was called off.
    Cancelled,
}

impl BatchState {
    /// Its word.
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

    /// Whether nothing more comes of it.
    #[must_use]
    pub fn is_over(&self) -> bool {
        matches!(self, BatchState::Done | BatchState::Cancelled)
    }
}

/// What an operator wants of a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BatchCommand {
    /// Begin, or go on.
    Run,
    /// Send nothing new.
    Pause,
    /// Send nothing more.
    Cancel,
}

/// What a dry run found, and what came of it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BatchCounts {
    /// Records that fit and are open, when the batch was planned.
    pub found: u64,
    /// Of those, the ones that could go then.
    pub may_go: u64,
    /// Of those, the ones that could not, by what they need.
    pub needs: BTreeMap<String, u64>,
    /// Sent.
    pub sent: u64,
    /// Delivered.
    pub delivered: u64,
    /// Ended without delivery.
    pub failed: u64,
    /// Passed over: changed meanwhile, or not to be sent.
    pub skipped: u64,
}

impl BatchCounts {
    /// Books a record of a dry run.
    pub fn count_planned(&mut self, may_go: Result<(), ResendBlocked>) {
        self.found += 1;
        match may_go {
            Ok(()) => self.may_go += 1,
            Err(need) => *self.needs.entry(need.as_str().into()).or_default() += 1,
        }
    }
}

/// A batch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// What was asked for.
    pub spec: BatchSpec,
    /// By whom.
    pub by: String,
    /// When, in Unix time.
    pub created_at: Micros,
    /// Where it stands.
    pub state: BatchState,
    /// Counts.
    pub counts: BatchCounts,
    /// Grows with every order.
    pub version: u32,
    /// The last record that was looked at.
    pub last_examined: RecordId,
    /// The last record that there was when it was planned; later ones are not meant.
    pub last_planned: RecordId,
    recent: VecDeque<bool>,
    out: u32,
    tokens: f64,
    tokens_at: Micros,
}

/// Why a batch is not made, or an order not followed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BatchError {
    /// There is one of this name.
    #[error("there is a batch of this name")]
    Exists,
    /// There is none of this name.
    #[error("there is no such batch")]
    None,
    /// There are too many.
    #[error("there are {MAX_BATCHES} batches; cancel one that waits")]
    TooMany,
    /// It has changed since.
    #[error("the batch is in version {0} by now")]
    Version(u32),
    /// It is over.
    #[error("the batch is {0}")]
    Over(&'static str),
    /// What was given is of no use.
    #[error("{0}")]
    Malformed(&'static str),
}

impl BatchSpec {
    /// Checks all of it.
    ///
    /// # Errors
    ///
    /// [`RecordError::Malformed`] names the first value out of bounds.
    pub fn check(&self) -> Result<(), BatchError> {
        let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
        if self.name.is_empty() || self.name.len() > MAX_NAME_BYTES || !self.name.bytes().all(plain)
        {
            return Err(BatchError::Malformed(
                "the name is not of 1 to 64 letters, digits, '.', '_' and '-'",
            ));
        }
        if !(RATE.0..=RATE.1).contains(&self.per_second) {
            return Err(BatchError::Malformed("per_second is not from 0.01 to 1000"));
        }
        if !(AT_ONCE.0..=AT_ONCE.1).contains(&self.at_once) {
            return Err(BatchError::Malformed("at_once is not from 1 to 64"));
        }
        if !(1..=1000).contains(&self.stop_after) {
            return Err(BatchError::Malformed("stop_after is not from 1 to 1000"));
        }
        Ok(())
    }
}

impl Batch {
    /// A batch that was counted, and has not begun.
    ///
    /// # Errors
    ///
    /// [`RecordError::Malformed`] if the specification is out of bounds.
    pub fn plan(
        spec: BatchSpec,
        by: &str,
        now: Micros,
        upto: RecordId,
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
            last_planned: upto,
            recent: VecDeque::new(),
            out: 0,
            tokens: 1.0,
            tokens_at: now,
        })
    }

    /// Who sends its records, as their state names it.
    #[must_use]
    pub fn sender_name(&self) -> String {
        format!("batch {}", self.spec.name)
    }

    /// Follows an order; one that it follows already changes nothing.
    ///
    /// # Errors
    ///
    /// A [`RecordError`] if the batch has another version or is over.
    pub fn apply_command(
        &mut self,
        order: BatchCommand,
        version: Option<u32>,
        now: Micros,
    ) -> Result<(), BatchError> {
        if version.is_some_and(|wanted| wanted != self.version) {
            return Err(BatchError::Version(self.version));
        }
        if self.state.is_over() {
            return Err(BatchError::Over(self.state.as_str()));
        }
        let state = match (order, &self.state) {
            (BatchCommand::Run, BatchState::Running)
            | (
                BatchCommand::Pause,
                BatchState::Planned | BatchState::Paused | BatchState::Stopped,
            ) => return Ok(()),
            (BatchCommand::Run, _) => {
                self.recent.clear();
                (self.tokens, self.tokens_at) = (1.0, now);
                BatchState::Running
            }
            (BatchCommand::Pause, _) => BatchState::Paused,
            (BatchCommand::Cancel, _) => BatchState::Cancelled,
        };
        self.state = state;
        self.version += 1;
        Ok(())
    }

    /// Whether a record may be sent now; if not, when to look again.
    ///
    /// # Errors
    ///
    /// The moment at which to ask again.
    pub fn check_pace(&mut self, now: Micros) -> Result<(), Micros> {
        if self.state != BatchState::Running || self.out >= self.spec.at_once {
            return Err(Micros::MAX);
        }
        // A clock that was set back fills nothing, and takes nothing away.
        let passed = now.saturating_sub(self.tokens_at) as f64 / SECOND;
        self.tokens = (self.tokens + passed * self.spec.per_second).min(1.0);
        self.tokens_at = now;
        if self.tokens >= 1.0 {
            return Ok(());
        }
        let wait = (1.0 - self.tokens) / self.spec.per_second * SECOND;
        Err(now.saturating_add(wait.ceil() as Micros + 1))
    }

    /// A record was looked at and passed over.
    pub fn record_skipped(&mut self, id: RecordId) {
        self.last_examined = self.last_examined.max(id);
        self.counts.skipped += 1;
    }

    /// A record was sent.
    pub fn record_sent(&mut self, id: RecordId) {
        self.last_examined = self.last_examined.max(id);
        self.tokens -= 1.0;
        self.out += 1;
        self.counts.sent += 1;
    }

    /// A record that it sent has ended. True if the batch has stopped by that.
    pub fn record_outcome(&mut self, delivered: bool) -> bool {
        self.out = self.out.saturating_sub(1);
        if delivered {
            self.counts.delivered += 1
        } else {
            self.counts.failed += 1
        }
        self.recent.push_back(delivered);
        let span = 2 * self.spec.stop_after as usize;
        while self.recent.len() > span {
            self.recent.pop_front();
        }
        let failed = self.recent.iter().filter(|delivered| !**delivered).count();
        let stops = self.state == BatchState::Running && failed >= self.spec.stop_after as usize;
        if stops {
            self.state = BatchState::Stopped;
            self.version += 1;
        }
        stops
    }

    /// Nothing is left to look at.
    pub fn mark_exhausted(&mut self) {
        self.last_examined = self.last_planned;
        if self.state == BatchState::Running && self.out == 0 {
            self.state = BatchState::Done;
            self.version += 1;
        }
    }

    /// After a restart so many of its records are out.
    pub fn resume_after_restart(&mut self, out: u32, now: Micros) {
        (self.out, self.tokens, self.tokens_at) = (out, 0.0, now);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn spec() -> BatchSpec {
        BatchSpec {
            name: "b1".into(),
            filter: Filter::default(),
            per_second: 2.0,
            at_once: 3,
            stop_after: 2,
        }
    }

    fn running() -> Batch {
        let mut batch = Batch::plan(spec(), "ann", 0, 100, BatchCounts::default()).expect("good");
        batch
            .apply_command(BatchCommand::Run, Some(1), 0)
            .expect("planned");
        batch
    }

    #[test]
    fn it_keeps_its_rate_and_its_number_out_at_once() {
        let (mut batch, mut now, mut sent) = (running(), 0, Vec::new());
        while now < 10_000_000 {
            if batch.check_pace(now).is_ok() {
                batch.record_sent(sent.len() as u64 + 1);
                sent.push(now);
            }
            if now % 2_000_000 == 0 {
                while batch.out > 0 {
                    batch.record_outcome(true);
                }
            }
            now += 10_000;
        }
        assert!(
            sent.windows(2).all(|two| two[1] - two[0] >= 490_000),
            "{sent:?}"
        );
        assert!(
            (14..=17).contains(&sent.len()),
            "three at a time, every two seconds: {}",
            sent.len()
        );
    }

    #[test]
    fn it_stops_when_failures_mount_and_goes_on_when_told() {
        let mut batch = running();
        for (delivered, stops) in [
            (false, false),
            (true, false),
            (true, false),
            (true, false),
            (false, false),
            (false, true),
        ] {
            batch.record_sent(1);
            assert_eq!(batch.record_outcome(delivered), stops);
        }
        assert_eq!(
            (batch.state.clone(), batch.check_pace(99_000_000)),
            (BatchState::Stopped, Err(Micros::MAX))
        );
        batch
            .apply_command(BatchCommand::Run, None, 99_000_000)
            .expect("stopped is not over");
        assert!(batch.check_pace(99_000_000).is_ok());
        assert!(
            !batch.record_outcome(false),
            "what was before counts no more"
        );
    }

    #[test]
    fn orders_name_a_version_and_what_is_over_stays_so() {
        let mut batch = running();
        assert_eq!(
            batch.apply_command(BatchCommand::Pause, Some(1), 0),
            Err(BatchError::Version(2))
        );
        batch
            .apply_command(BatchCommand::Run, Some(2), 0)
            .expect("no change");
        assert_eq!(batch.version, 2);
        batch
            .apply_command(BatchCommand::Pause, Some(2), 0)
            .expect("running");
        assert_eq!(batch.check_pace(5_000_000), Err(Micros::MAX));
        batch
            .apply_command(BatchCommand::Cancel, Some(3), 0)
            .expect("paused");
        assert_eq!(
            batch.apply_command(BatchCommand::Run, None, 0),
            Err(BatchError::Over("cancelled"))
        );
    }

    #[test]
    fn it_is_done_once_all_is_looked_at_and_nothing_is_out() {
        let mut batch = running();
        batch.record_sent(7);
        batch.mark_exhausted();
        assert_eq!(batch.state, BatchState::Running);
        batch.record_outcome(true);
        batch.mark_exhausted();
        assert_eq!(
            (batch.state.clone(), batch.last_examined),
            (BatchState::Done, 100)
        );
    }

    #[test]
    fn a_clock_that_is_set_back_neither_frees_nor_blocks() {
        let mut batch = running();
        batch.check_pace(50_000_000).expect("full");
        batch.record_sent(1);
        assert!(batch.check_pace(10_000_000).is_err());
        assert!(batch.check_pace(10_600_000).is_ok());
    }

    #[test]
    fn wrong_values_are_refused() {
        let wrong = [
            BatchSpec {
                name: String::new(),
                ..spec()
            },
            BatchSpec {
                name: "a b".into(),
                ..spec()
            },
            BatchSpec {
                per_second: f64::NAN,
                ..spec()
            },
            BatchSpec {
                per_second: 0.0,
                ..spec()
            },
            BatchSpec {
                at_once: 0,
                ..spec()
            },
            BatchSpec {
                stop_after: 0,
                ..spec()
            },
        ];
        for spec in wrong {
            assert!(
                Batch::plan(spec.clone(), "ann", 0, 1, BatchCounts::default()).is_err(),
                "{spec:?}"
            );
        }
    }
}
