//! The rules, judged from what passes on sockets and the disk alone.
//!
//! The peers report each request, call, answer, notice and line of the list as it passes; nothing here knows
//! what the relay or its decision module thinks. All moments are spans since the world began. Limits are those
//! of the rules and 50 ms more for what is under way. What passed is kept in `rules::facts`, each rule stands in
//! a file of its own beside it.

use std::fmt;
use std::time::Duration;

use crate::rules::facts::{CallName, Called, Facts, Repeat, Rules, Seen, Verdict};
use crate::rules::returns::Returns;
use crate::rules::{self, Rule};

/// A breach of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// The rule's name.
    pub rule: &'static str,
    /// When.
    pub at: Duration,
    /// What happened.
    pub what: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:.6}: {}: {}",
            self.at.as_secs_f64(),
            self.rule,
            self.what
        )
    }
}

/// How many of what passed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Counts {
    /// Requests handed in, each try counted.
    pub handed: u64,
    /// Answered `+OK`.
    pub taken: u64,
    /// Answered `-BUSY`.
    pub refused: u64,
    /// Calls that came whole to a host.
    pub calls: u64,
    /// Messages taken on that a host answered 200.
    pub delivered: u64,
    /// Notices of a failure.
    pub undeliverable: u64,
    /// Notices of a refusal.
    pub deferred: u64,
    /// Kills and stops.
    pub restarts: u64,
    /// Calls that hosts turned away.
    pub turned_away: u64,
    /// Of those delivered, the ones in time for their class's aim.
    pub in_aim: u64,
    /// Calls for the list or its changes.
    pub lists: u64,
    /// Connections that hosts took.
    pub opened: u64,
    /// Connections that one host held at the most.
    pub most_open: u64,
    /// Records of messages that were given up, as shown at the end.
    pub records: u64,
    /// Of those, the ones whose message a resend has delivered.
    pub resent: u64,
    /// Of those, the ones that were found to have taken effect before.
    pub applied_before: u64,
}

/// A relay, with what passed round it and the rules that it is judged by.
struct Lane {
    facts: Facts,
    rules: Vec<Box<dyn Rule>>,
}

/// Judges a world: each relay by itself, and what all did together.
pub struct Checker {
    lanes: Vec<Lane>,
    returns: Returns,
    breach: Option<Breach>,
    /// Counts for the report.
    pub counts: Counts,
}

impl Checker {
    /// Judges so many relays by these figures.
    #[must_use]
    pub fn new(figures: Rules, relays: usize) -> Self {
        let lane = |_| Lane {
            facts: Facts::new(figures.clone()),
            rules: rules::all(),
        };
        let lanes = (0..relays.max(1)).map(lane).collect();
        Checker {
            lanes,
            returns: Returns::default(),
            breach: None,
            counts: Counts::default(),
        }
    }

    /// The first breach so far.
    #[must_use]
    pub fn breach(&self) -> Option<&Breach> {
        self.breach.as_ref()
    }

    /// The repeat rule of a message that was handed in.
    #[must_use]
    pub fn repeat_of(&self, id: &str) -> Option<Repeat> {
        self.lanes
            .iter()
            .find_map(|lane| lane.facts.messages.get(id))
            .map(|message| message.handed.repeat)
    }

    /// Messages that were taken on and have no end yet.
    #[must_use]
    pub fn open(&self) -> usize {
        self.lanes.iter().map(|lane| lane.facts.open.len()).sum()
    }

    /// Tells all rules what passed round a relay, and books it.
    pub fn see(&mut self, at: Duration, relay: usize, seen: &Seen<'_>) {
        let lanes = match seen {
            // What is true of the world is so for all.
            Seen::Outage(..) | Seen::Pass | Seen::Endless => 0..self.lanes.len(),
            // A host knows whose call it has by the message's name alone.
            Seen::Called(call, _) => self.lane_of(&call.id, relay),
            Seen::Answers(name, _) | Seen::Closed(name) | Seen::Read(name) => {
                self.lane_of(&name.id, relay)
            }
            _ => relay..relay + 1,
        };
        let mut broken = Vec::new();
        let all = &mut self.lanes[..];
        all.iter_mut().for_each(|lane| lane.facts.now = at);
        self.returns.see(
            all.iter().map(|lane| &lane.facts),
            lanes.start,
            seen,
            &mut broken,
        );
        for lane in lanes {
            self.count(lane, seen);
            let Lane { facts, rules } = &mut self.lanes[lane];
            rules
                .iter_mut()
                .for_each(|rule| rule.see(facts, seen, &mut broken));
            facts.book(seen);
        }
        // Of several breaches of one moment the one that says most is told: the order of the rules.
        let told = broken
            .iter()
            .position(|(rule, _)| *rule != rules::NOT_PUSHED_OVER)
            .unwrap_or(0);
        if let Some((rule, what)) = broken.into_iter().nth(told) {
            self.breach.get_or_insert(Breach { rule, at, what });
        }
    }

    /// The lane that a message was handed in on, as a range of one.
    fn lane_of(&self, id: &str, usual: usize) -> std::ops::Range<usize> {
        let lane = self
            .lanes
            .iter()
            .position(|lane| lane.facts.messages.contains_key(id));
        let lane = lane.unwrap_or(usual);
        lane..lane + 1
    }

    fn count(&mut self, lane: usize, seen: &Seen<'_>) {
        let (counts, facts) = (&mut self.counts, &self.lanes[lane].facts);
        let message = |id: &str| facts.messages.get(id);
        match seen {
            Seen::Gone => counts.restarts += 1,
            Seen::HandedIn(_) => counts.handed += 1,
            Seen::ListAsked => counts.lists += 1,
            Seen::Opened(now) => {
                counts.opened += 1;
                counts.most_open = counts.most_open.max(*now as u64);
            }
            Seen::RecordShown(_, state) => {
                counts.records += 1;
                counts.resent += u64::from(*state == "delivered");
                counts.applied_before += u64::from(*state == "applied-before");
            }
            Seen::Answers(_, Verdict::NeverRan(_)) => counts.turned_away += 1,
            Seen::Called(..) => counts.calls += 1,
            Seen::Answered(id, line) => {
                let Some(message) = message(id) else { return };
                if line.starts_with("-BUSY") {
                    counts.refused += 1;
                } else if line.starts_with('+') && message.taken.is_none() {
                    counts.taken += 1;
                    counts.delivered += u64::from(message.delivered.is_some());
                }
            }
            Seen::Answers(name, Verdict::Delivered) => {
                let first =
                    message(&name.id).is_some_and(|m| m.delivered.is_none() && m.taken.is_some());
                counts.delivered += u64::from(first);
                let early = |due: Duration| facts.now + facts.rules.late_for <= due;
                let in_aim = first && message(&name.id).is_some_and(|m| early(m.handed.due));
                counts.in_aim += u64::from(in_aim);
            }
            Seen::Noticed(id, status)
                if message(id).is_some_and(|message| message.notice.is_none()) =>
            {
                counts.undeliverable += u64::from(*status == "undeliverable");
                counts.deferred += u64::from(*status == "deferred");
            }
            _ => {}
        }
    }

    /// A call's last byte has come to a host. `holds` tells whether the relay still holds a connection. None for
    /// a message that nobody handed in.
    pub fn called(
        &mut self,
        at: Duration,
        call: &Called,
        holds: &dyn Fn(u64) -> bool,
    ) -> Option<CallName> {
        self.see(at, 0, &Seen::Called(call, holds));
        let message = self
            .lanes
            .iter()
            .find_map(|lane| lane.facts.messages.get(&call.id))?;
        Some(CallName {
            id: call.id.clone(),
            number: message.calls.len() - 1,
        })
    }
}
