//! The rules, judged from what passes on sockets and the disk alone.
//!
//! The peers report each request, call, answer, notice and line of the list as it passes; nothing here knows
//! what the relay or its decision module thinks. All moments are spans since the world began. Limits are those
//! of the rules and 50 ms more for what is under way. What passed is kept in `rules::facts`, each rule stands in
//! a file of its own beside it.

use std::fmt;
use std::time::Duration;

use crate::rules::facts::{CallName, Called, Facts, Rules, Seen, Verdict};
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
        write!(f, "{:.6}: {}: {}", self.at.as_secs_f64(), self.rule, self.what)
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
}

/// Judges a world.
pub struct Checker {
    facts: Facts,
    rules: Vec<Box<dyn Rule>>,
    breach: Option<Breach>,
    /// Counts for the report.
    pub counts: Counts,
}

impl Checker {
    /// Judges by these figures.
    pub fn new(figures: Rules) -> Self {
        let (facts, rules) = (Facts::new(figures), rules::all());
        Checker { facts, rules, breach: None, counts: Counts::default() }
    }

    /// The first breach so far.
    pub fn breach(&self) -> Option<&Breach> {
        self.breach.as_ref()
    }

    /// Messages that were taken on and have no end yet.
    pub fn open(&self) -> usize {
        self.facts.open.len()
    }

    /// Tells all rules what passed, and books it.
    pub fn see(&mut self, at: Duration, seen: &Seen<'_>) {
        self.facts.now = at;
        self.count(seen);
        let mut broken = Vec::new();
        self.rules.iter_mut().for_each(|rule| rule.see(&self.facts, seen, &mut broken));
        self.facts.book(seen);
        if let Some((rule, what)) = broken.into_iter().next() {
            self.breach.get_or_insert(Breach { rule, at, what });
        }
    }

    fn count(&mut self, seen: &Seen<'_>) {
        let counts = &mut self.counts;
        let message = |id: &str| self.facts.messages.get(id);
        match seen {
            Seen::Gone => counts.restarts += 1,
            Seen::HandedIn(_) => counts.handed += 1,
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
                let first = message(&name.id).is_some_and(|m| m.delivered.is_none() && m.taken.is_some());
                counts.delivered += u64::from(first);
            }
            Seen::Noticed(id, status) if message(id).is_some_and(|message| message.notice.is_none()) => {
                counts.undeliverable += u64::from(*status == "undeliverable");
                counts.deferred += u64::from(*status == "deferred");
            }
            _ => {}
        }
    }

    /// A call's last byte has come to a host. `holds` tells whether the relay still holds a connection. None for
    /// a message that nobody handed in.
    pub fn called(&mut self, at: Duration, call: &Called, holds: &dyn Fn(u64) -> bool) -> Option<CallName> {
        self.see(at, &Seen::Called(call, holds));
        let message = self.facts.messages.get(&call.id)?;
        Some(CallName { id: call.id.clone(), number: message.calls.len() - 1 })
    }
}
