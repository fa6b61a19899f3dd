//! Not pushed over: a destination that is back from an outage gets no more than it can take while it is cold.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::facts::{CallName, Facts, Seen, Verdict};
use super::{Broken, Rule, NOT_KEPT};

/// An outage that lasts less leaves nobody cold.
const OUTAGE: Duration = Duration::from_secs(1);

/// An outage of a destination.
struct Outage {
    /// Since when all of its hosts are in trouble.
    since: Duration,
    /// When that ended.
    back: Option<Duration>,
    /// The relay was told of it.
    told: bool,
}

#[derive(Default)]
pub struct Returns {
    outages: BTreeMap<u16, Outage>,
    /// By destination: the calls of the span that the rule looks at.
    recent: BTreeMap<u16, VecDeque<Duration>>,
}

impl Rule for Returns {
    fn see(&mut self, facts: &Facts, seen: &Seen<'_>, broken: &mut Broken) {
        match seen {
            Seen::Outage(block, down) => self.outage(facts.now, *block, *down),
            Seen::Gone => {
                for outage in self.outages.values_mut() {
                    outage.told &= outage.back.is_none_or(|back| back + NOT_KEPT < facts.now);
                    outage.told &= !facts.disk_full;
                }
            }
            Seen::Answers(name, Verdict::NeverRan(_) | Verdict::MayHaveRun) => self.trouble(facts, name),
            Seen::Closed(name) if facts.call(name).is_some_and(|(_, call)| call.is_out()) => {
                self.trouble(facts, name);
            }
            // One that nobody handed in is a breach of its own.
            Seen::Called(call, _) if facts.messages.contains_key(&call.id) => {
                let (_, block, _) = call.host;
                let budget = self.budget(facts, block, call.begun);
                let recent = self.recent.entry(block).or_default();
                recent.push_back(call.begun);
                while recent.front().is_some_and(|first| *first + facts.rules.overload_for < call.begun) {
                    recent.pop_front();
                }
                let Some((since, most)) = budget else { return };
                let count = recent.iter().filter(|at| **at >= since).count();
                if count as f64 > most {
                    let what = format!("{block} got {count} calls where {most:.1} are room");
                    broken.push(("not pushed over", what));
                }
            }
            _ => {}
        }
    }
}

impl Returns {
    fn outage(&mut self, now: Duration, block: u16, down: bool) {
        match self.outages.get_mut(&block) {
            Some(Outage { since, back: None, .. }) if !down && *since + OUTAGE > now => {
                self.outages.remove(&block);
            }
            Some(Outage { back: back @ None, .. }) if !down => *back = Some(now),
            Some(Outage { back: None, .. }) => {}
            _ if down => {
                self.outages.insert(block, Outage { since: now, back: None, told: false });
            }
            _ => {}
        }
    }

    fn trouble(&mut self, facts: &Facts, name: &CallName) {
        let block = facts.messages.get(&name.id).map(|message| message.handed.destination);
        let outage = block.and_then(|block| self.outages.get_mut(&block));
        if let Some(outage) = outage.filter(|outage| outage.back.is_none()) {
            outage.told = true;
        }
    }

    /// Since when a destination that is back counts, and how many calls it takes in that span.
    fn budget(&self, facts: &Facts, block: u16, at: Duration) -> Option<(Duration, f64)> {
        let rules = &facts.rules;
        let outage = self.outages.get(&block).filter(|outage| outage.told)?;
        let back = outage.back.filter(|back| *back <= at)?;
        let from = at.saturating_sub(rules.overload_for).max(back);
        let cold = rules.cold.as_secs_f64().max(1e-3);
        let share = |at: Duration| {
            let warm = ((at - back).as_secs_f64() / cold).min(1.0);
            rules.cold_from + (1.0 - rules.cold_from) * warm
        };
        if share(from) >= 1.0 {
            return None;
        }
        let capacity = rules.capacity.get(&block)?;
        let mean = (share(from) + share(at)) / 2.0;
        // The budget is that of a whole span, also while less has passed.
        let most = rules.overload_factor * capacity * mean * rules.overload_for.as_secs_f64();
        // Room for chance: two calls, and two standard deviations of what comes at random.
        Some((from, most + 2.0 + 2.0 * most.sqrt()))
    }
}
