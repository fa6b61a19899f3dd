//! What a relay remembers of messages, calls and hosts; it decides nothing.
#![allow(missing_docs)]

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::types::*;

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    Out,
    NeverRan,
    MayHaveRun,
}

pub struct Attempt {
    pub sent: Micros,
    pub zone: u8,
    pub call: u64,
    pub fate: Fate,
    pub called_off: bool,
    /// How long it was thought to take.
    pub booked: Micros,
}

pub struct Held {
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

impl Held {
    pub fn is_out(&self) -> bool {
        self.attempts.iter().any(|a| a.fate == Fate::Out)
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
            self.message.due
        } else {
            Micros::MAX
        }
    }

    /// The first attempt that may have run, or may yet.
    pub fn tainted(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|a| a.fate != Fate::NeverRan)
    }
}

/// The messages of one key, in the order taken.
#[derive(Default)]
pub struct Turn {
    pub line: VecDeque<MessageId>,
    pub rest_until: Micros,
}

pub struct Host {
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
pub struct Dice(pub u64);

impl Dice {
    /// From 0 to 1.
    pub fn roll(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}
