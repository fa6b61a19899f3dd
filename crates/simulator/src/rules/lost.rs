//! Nothing lost, at once: what was taken on has its end in time, and what can't go again has it at once.

use std::collections::BTreeMap;
use std::time::Duration;

use super::facts::{Facts, Repeat, Seen, Verdict};
use super::{Broken, Rule, SLACK};

/// A message has its end so long after its time is up.
const GRACE: Duration = Duration::from_millis(300);
/// A message that can't be sent any more has its end told within this.
const AT_ONCE: Duration = Duration::from_secs(1);

#[derive(Default)]
pub struct Lost {
    /// Messages that cannot be sent again, and since when.
    spent: BTreeMap<String, Duration>,
}

impl Rule for Lost {
    fn see(&mut self, facts: &Facts, seen: &Seen<'_>, broken: &mut Broken) {
        match seen {
            Seen::Read(name) => {
                let Some((message, call)) = facts.call(name) else {
                    return;
                };
                let Some((told, Verdict::MayHaveRun)) = call.verdict else {
                    return;
                };
                if call.process == facts.process && message.handed.repeat == Repeat::Unsafe {
                    self.spent.entry(name.id.clone()).or_insert(told);
                }
            }
            Seen::Closed(name) => {
                let Some((message, call)) = facts.call(name) else {
                    return;
                };
                if call.is_out() && message.handed.repeat == Repeat::Unsafe {
                    self.spent.entry(name.id.clone()).or_insert(facts.now);
                }
            }
            Seen::Pass => self.pass(facts, broken),
            _ => {}
        }
    }
}

impl Lost {
    /// Looks at what must have happened by now.
    fn pass(&self, facts: &Facts, broken: &mut Broken) {
        let late = |since: Duration, patience: Duration| {
            facts
                .excused_until(since, patience)
                .saturating_add(patience)
                < facts.now
        };
        for id in facts.open.iter().rev() {
            let Some(message) = facts.messages.get(id) else {
                continue;
            };
            let due = message.handed.due.max(message.taken.unwrap_or_default());
            if late(due, GRACE + SLACK) {
                let due = message.handed.due.as_secs_f64();
                return broken.push(("nothing lost", format!("{id}, due at {due:.3}, has no end")));
            }
            if let Some(spent) = self.spent.get(id).filter(|spent| late(**spent, AT_ONCE)) {
                let spent = spent.as_secs_f64();
                return broken.push((
                    "at once",
                    format!("{id} can't go again since {spent:.3} and has no end"),
                ));
            }
        }
    }
}
