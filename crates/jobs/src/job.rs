//! One job: its states, its kept point, its tries.

use serde::{Deserialize, Serialize};

use crate::scheduler::Class;
use crate::Micros;

/// Names a job; later ones are larger.
pub type JobId = u64;
/// Bytes of a kept point at most.
pub const LONGEST_POINT: usize = 4096;
/// Bytes of a name at most.
pub const LONGEST_NAME: usize = 64;
/// Jobs that one may wait for at most.
pub const MOST_AFTER: usize = 16;
/// Bounds of the wait before a try that follows a failure, which doubles from the first to the second.
pub const WAITS: (Micros, Micros) = (1_000_000, 600_000_000);

/// Whose work it is.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Owner {
    /// The relay's own.
    System,
    /// A tenant's.
    Tenant(String),
}

/// What is asked for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spec {
    /// Its name, for people.
    pub name: String,
    /// Whose it is.
    pub owner: Owner,
    /// Its class of priority.
    pub class: Class,
    /// Not before this moment.
    pub not_before: Micros,
    /// Wanted by this moment: until then, of one owner's jobs the earliest goes first. Nothing ends by it.
    pub deadline: Option<Micros>,
    /// Done anew so long after its last beginning, for ever.
    pub period: Option<Micros>,
    /// Only once these are done.
    pub after: Vec<JobId>,
    /// Tries of one slice at most.
    pub tries: u32,
    /// A slice that may have run may be done again from the kept point before it.
    pub repeatable: bool,
}

/// Where a job stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// To be run at this moment or later.
    Waiting(Micros),
    /// A slice of it runs.
    Running,
    /// Nothing of it runs until it is resumed.
    Paused,
    /// All of it is done.
    Done(Micros),
    /// It has come to nothing, and why.
    Failed(Cause),
    /// It was called off.
    Cancelled,
}

/// Why a job came to nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Cause {
    /// A slice failed as often as it may be tried.
    Tries,
    /// What it was to come after came to nothing.
    Dependency,
    /// The process ended within a slice that must not be done twice.
    MayHaveRun,
    /// Its tenant was removed.
    OwnerGone,
}

impl State {
    /// Whether nothing more comes of it.
    #[must_use]
    pub fn is_over(&self) -> bool {
        matches!(self, State::Done(_) | State::Failed(_) | State::Cancelled)
    }
}

/// What an operator wants of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// Run nothing of it for now.
    Pause,
    /// Go on.
    Resume,
    /// Run nothing more of it.
    Cancel,
}

/// How a slice ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Slice {
    /// There is more, from this kept point on.
    More(Vec<u8>),
    /// All is done.
    Done,
    /// It failed, and is tried again from the last kept point.
    Failed,
}

/// A job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// What was asked for.
    pub spec: Spec,
    /// Where it stands.
    pub state: State,
    /// Where the next slice begins; empty at the beginning.
    pub point: Vec<u8>,
    /// Tries of the next slice so far.
    pub tried: u32,
    /// Slices that ended well.
    pub slices: u64,
    /// Time that its slices took.
    pub spent: Micros,
    /// When its present round began.
    pub begun: Option<Micros>,
    /// Grows with every order and every end.
    pub version: u64,
    /// What is to become of it once its slice has ended.
    pub(crate) wanted: Option<Wanted>,
    /// When it was served last, as a number that grows.
    pub(crate) served: u64,
}

/// An order that came within a slice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Wanted {
    Pause,
    Cancel,
    OwnerGone,
}

impl Job {
    pub(crate) fn new(spec: Spec) -> Self {
        let state = State::Waiting(spec.not_before);
        Job {
            spec,
            state,
            point: Vec::new(),
            tried: 0,
            slices: 0,
            spent: 0,
            begun: None,
            version: 1,
            wanted: None,
            served: 0,
        }
    }

    pub(crate) fn becomes(&mut self, state: State) {
        self.state = state;
        self.version += 1;
    }

    /// Follows an order; false if it is over or the order changes nothing. Within a slice it counts at its end.
    pub(crate) fn order(&mut self, order: Order, now: Micros) -> bool {
        match (order, &self.state) {
            (_, State::Done(_) | State::Failed(_) | State::Cancelled) => return false,
            (Order::Pause, State::Running) => self.wanted = self.wanted.or(Some(Wanted::Pause)),
            (Order::Cancel, State::Running) => self.wanted = Some(Wanted::Cancel),
            (Order::Resume, State::Running) if self.wanted == Some(Wanted::Pause) => {
                self.wanted = None
            }
            (Order::Pause, State::Waiting(_)) => self.becomes(State::Paused),
            (Order::Resume, State::Paused) => {
                self.becomes(State::Waiting(now.max(self.spec.not_before)))
            }
            (Order::Cancel, _) => self.becomes(State::Cancelled),
            _ => return false,
        }
        true
    }

    /// A slice has ended, after so long. `spread` is from 0 to 1 and moves a wait, so that jobs which failed together
    /// do not come again together.
    pub(crate) fn ended(&mut self, slice: Slice, took: Micros, now: Micros, spread: f64) {
        self.spent = self.spent.saturating_add(took);
        let wanted = self.wanted.take();
        match slice {
            Slice::More(point) => {
                // A point that is too long can't be kept: the slice counts as failed.
                if point.len() > LONGEST_POINT {
                    self.failed(now, spread);
                } else {
                    (self.point, self.tried) = (point, 0);
                    self.slices += 1;
                    self.becomes(State::Waiting(now));
                }
            }
            Slice::Done => {
                self.slices += 1;
                (self.point, self.tried) = (Vec::new(), 0);
                match self.spec.period {
                    Some(period) => {
                        // Rounds that were missed are not made up for.
                        let next = self.begun.take().unwrap_or(now).saturating_add(period);
                        self.becomes(State::Waiting(next.clamp(now, now.saturating_add(period))));
                    }
                    None => self.becomes(State::Done(now)),
                }
            }
            Slice::Failed => self.failed(now, spread),
        }
        match wanted {
            Some(_) if self.state.is_over() => {}
            Some(Wanted::Pause) => self.becomes(State::Paused),
            Some(Wanted::Cancel) => self.becomes(State::Cancelled),
            Some(Wanted::OwnerGone) => self.becomes(State::Failed(Cause::OwnerGone)),
            None => {}
        }
    }

    fn failed(&mut self, now: Micros, spread: f64) {
        self.tried += 1;
        if self.tried >= self.spec.tries {
            return self.becomes(State::Failed(Cause::Tries));
        }
        let doubled = WAITS
            .0
            .saturating_mul(1 << (self.tried - 1).min(32))
            .min(WAITS.1);
        let wait = (doubled as f64 * (0.5 + 0.5 * spread.clamp(0.0, 1.0))) as Micros;
        self.becomes(State::Waiting(now.saturating_add(wait)));
    }

    /// The process that ran it is gone.
    pub(crate) fn restarted(&mut self, now: Micros) {
        if self.state != State::Running {
            return;
        }
        let wanted = self.wanted.take();
        if !self.spec.repeatable {
            return self.becomes(State::Failed(Cause::MayHaveRun));
        }
        match wanted {
            Some(Wanted::Cancel) => self.becomes(State::Cancelled),
            Some(Wanted::OwnerGone) => self.becomes(State::Failed(Cause::OwnerGone)),
            Some(Wanted::Pause) => self.becomes(State::Paused),
            None => self.becomes(State::Waiting(now)),
        }
    }
}
