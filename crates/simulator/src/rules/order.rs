//! Order: messages of one key go one at a time, in the order taken, where their class asks for it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::facts::{Facts, Seen, Verdict};
use super::{Broken, Rule, SLACK};

#[derive(Default)]
pub struct Order {
    /// By order's key: messages in the order taken, by the process that took them.
    lines: BTreeMap<u64, Vec<(u32, String)>>,
    /// Messages that went before the end of an earlier one was seen: none of the earlier may go again.
    passed: BTreeSet<String>,
}

impl Rule for Order {
    fn see(&mut self, facts: &Facts, seen: &Seen<'_>, broken: &mut Broken) {
        match seen {
            Seen::Gone => self.passed.clear(),
            Seen::Answered(id, line) => {
                let Some(message) = facts.messages.get(*id) else {
                    return;
                };
                if let Some(order) = message.handed.order.filter(|_| message.taken.is_none()) {
                    if line.starts_with('+') {
                        self.lines
                            .entry(order)
                            .or_default()
                            .push((facts.process, (*id).into()));
                    }
                }
            }
            Seen::Called(call, holds) => {
                let id = &call.id;
                // A restart takes the messages of its journal in their order again, and tells nobody.
                let message = facts
                    .messages
                    .get(id)
                    .filter(|message| message.by == facts.process);
                let Some((message, order)) = message.and_then(|m| Some((m, m.handed.order?)))
                else {
                    return;
                };
                let line = self.lines.get(&order).map_or(&[][..], Vec::as_slice);
                let mine = line
                    .iter()
                    .position(|(_, other)| other == id)
                    .unwrap_or(line.len());
                for (_, other) in line[..mine]
                    .iter()
                    .filter(|(process, _)| *process == facts.process)
                {
                    let Some(earlier) = facts.messages.get(other) else {
                        continue;
                    };
                    if earlier.calls.iter().any(|c| c.is_out() && holds(c.conn)) {
                        broken.push((
                            "order",
                            format!("{id} went while {other}, taken before it, is out"),
                        ));
                    }
                    let last = earlier.calls.last();
                    let resting =
                        last.filter(|c| !matches!(c.verdict, Some((_, Verdict::NeverRan(_)))));
                    let rest = resting.and_then(|c| c.ended.filter(|_| c.verdict.is_none()));
                    // A host that nothing gets through to hears late of a call's end; the message's was no earlier.
                    let end = earlier.notice.map_or(Duration::MAX, |(at, _)| at);
                    let rest = rest.map(|ended| ended.min(end));
                    if rest.is_some_and(|ended| call.begun + SLACK < ended + facts.rules.turn_gap) {
                        broken.push((
                            "order",
                            format!("{id} went before the rest after {other} was over"),
                        ));
                    }
                    // The place of one that its client did not wait for is not known.
                    if !earlier.over() && !earlier.abandoned && !message.abandoned {
                        self.passed.insert(other.clone());
                    }
                }
                if self.passed.contains(id) {
                    broken.push(("order", format!("{id} went after one that was taken later")));
                }
            }
            _ => {}
        }
    }
}
