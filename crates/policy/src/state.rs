//! What a relay remembers of messages, calls and hosts; it decides nothing.
#![allow(missing_docs)]

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::types::*;

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum AttemptState {
    Out,
    NeverRan,
    MayHaveRun,
}

pub struct Attempt {
    pub sent: Micros,
    pub zone: u8,
    pub call: u64,
    pub fate: AttemptState,
    pub called_off: bool,
    /// How long it was thought to take.
    pub booked: Micros,
}

pub struct QueuedMessage {
    pub message: Message,
    pub aim_at: Micros,
    pub attempts: Vec<Attempt>,
    pub not_before: Micros,
    /// No answer is owed any more; it stays while attempts are out.
    pub over: bool,
    pub started: bool,
    pub worth: f64,
    /// It was taken on by a process before this one and has reached no host since.
    pub owed: bool,
}

impl QueuedMessage {
    pub fn is_out(&self) -> bool {
        self.attempts.iter().any(|a| a.fate == AttemptState::Out)
    }

    pub fn waits(&self) -> bool {
        !self.over && !self.started && !self.is_out()
    }

    /// A process before this one took it on, and no call with it has reached a host or is out.
    pub fn untried(&self) -> bool {
        self.owed && !self.is_out()
    }

    /// It is untried, and not even a connection was tried for it.
    pub fn presses(&self) -> bool {
        self.owed && self.attempts.is_empty()
    }

    /// Those that are untried go first, by their deadlines.
    pub fn first_by(&self) -> Micros {
        if self.untried() {
            self.message.deadline
        } else {
            Micros::MAX
        }
    }

    /// The first attempt that may have run, or may yet.
    pub fn tainted(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|a| a.fate != AttemptState::NeverRan)
    }
}

/// The messages of one key, in the order taken.
#[derive(Default)]
pub struct OrderedKey {
    pub line: VecDeque<MessageId>,
    pub rest_until: Micros,
}

pub struct HostRecord {
    pub entry: HostEntry,
    pub run: u32,
    pub avoid_until: Micros,
    pub in_flight: usize,
}

pub struct Call {
    pub route: RouteKey,
    pub host: HostId,
    pub overdue_at: Micros,
    pub overdue: bool,
    pub left: usize,
}

#[derive(Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    Good,
    Refused,
    Failed,
}

pub type RouteKey = (DestinationId, Option<HostId>);

/// A relay's own random numbers.
#[derive(Default)]
pub struct Rng(pub u64);

impl Rng {
    /// From 0 to 1.
    pub fn roll(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}

#[derive(Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum Fuse {
    #[default]
    Closed,
    HalfOpen,
    /// Until this moment.
    Open(Micros),
}

#[derive(Clone, Default, Serialize, Deserialize)]
pub struct Route {
    pub hosts: Vec<HostId>,
    pub fuse: Fuse,
    pub tally: VecDeque<(Micros, Verdict)>,
    pub run: u32,
    /// When the first failure of the run counted.
    pub failing_since: Micros,
    pub refused_run: u32,
    /// Since when refusals cannot be put down to a limit.
    pub shut_since: Micros,
    /// The last refusal can.
    pub limited: bool,
    /// The last failure proves that nothing ran.
    pub harmless: bool,
    pub wait_until: Micros,
    pub rest_until: Micros,
    /// Calls a second for all relays together, as listed or reported.
    pub told: Option<f64>,
    /// Share of that which the last answer left.
    pub left: Option<f64>,
    /// What it may ask for, against its even part of the limit.
    pub part: f64,
    /// Calls a second that this relay may make.
    pub pace: f64,
    /// Least time between calls after refusals; zero if there were none lately.
    pub gap: Micros,
    pub best: f64,
    pub tokens: f64,
    pub tokens_at: Micros,
    pub cap: f64,
    pub in_flight: usize,
    /// Length of its calls against those of the same class elsewhere.
    pub usual: f64,
    /// Messages that wait for its destination here.
    pub waiting: usize,
    /// Calls a second by which what a restart found untried is tried in time; zero if nothing is.
    pub pressing: f64,
    /// This relay was told of an outage, first at `down`; `back` is the first success after.
    pub witness: bool,
    pub down: Micros,
    pub back: Option<Micros>,
}

/// What a process that takes over has to know of routes, turns and classes.
#[derive(Clone, Default, Serialize, Deserialize)]
pub struct HandoverSnapshot {
    pub(crate) routes: BTreeMap<RouteKey, Route>,
    /// Keys with an order, and until when each rests.
    pub ordered_keys: Vec<(u64, Micros)>,
    pub(crate) usual: Vec<f64>,
}
