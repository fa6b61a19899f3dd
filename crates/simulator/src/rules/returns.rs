//! Not pushed over: a destination that is back from an outage gets no more than it can take while it is cold, from
//! all relays together, where most of it comes from those that were told of the outage.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use super::facts::{CallName, Facts, Seen, Verdict};
use super::{Broken, NOT_KEPT, NOT_PUSHED_OVER};

/// An outage that lasts less leaves nobody cold.
const OUTAGE: Duration = Duration::from_secs(1);

/// An outage of a destination.
struct Outage {
    /// Since when all of its hosts are in trouble.
    since: Duration,
    /// When that ended.
    back: Option<Duration>,
    /// Relays that were told of it.
    told: BTreeSet<usize>,
}

#[derive(Default)]
pub struct Returns {
    outages: BTreeMap<u16, Outage>,
    /// By destination: the calls of the span that the rule looks at.
    recent: BTreeMap<u16, VecDeque<(Duration, usize)>>,
}

impl Returns {
    /// Looks at what passed round a relay, of which all facts are known.
    pub fn see<'f>(
        &mut self,
        mut all: impl Iterator<Item = &'f Facts>,
        relay: usize,
        seen: &Seen<'_>,
        broken: &mut Broken,
    ) {
        let Some(facts) = all.nth(relay) else { return };
        match seen {
            Seen::Outage(block, down) => self.outage(facts.now, *block, *down),
            Seen::Gone => {
                for outage in self.outages.values_mut() {
                    if facts.disk_full
                        || outage.back.is_some_and(|back| back + NOT_KEPT >= facts.now)
                    {
                        outage.told.remove(&relay);
                    }
                }
            }
            Seen::Answers(name, Verdict::NeverRan(_) | Verdict::MayHaveRun) => {
                self.trouble(facts, relay, name);
            }
            Seen::Closed(name) if facts.call(name).is_some_and(|(_, call)| call.is_out()) => {
                self.trouble(facts, relay, name);
            }
            // One that nobody handed in is a breach of its own.
            Seen::Called(call, _) if facts.messages.contains_key(&call.id) => {
                let (_, block, _) = call.host;
                let budget = self.budget(facts, block, call.begun);
                let recent = self.recent.entry(block).or_default();
                recent.push_back((call.begun, relay));
                while recent
                    .front()
                    .is_some_and(|(first, _)| *first + facts.rules.overload_for < call.begun)
                {
                    recent.pop_front();
                }
                let (Some((since, most)), Some(outage)) = (budget, self.outages.get(&block)) else {
                    return;
                };
                let in_span = recent.iter().filter(|(at, _)| *at >= since);
                let (count, told) = in_span.fold((0, 0), |(count, told), (_, relay)| {
                    (count + 1, told + usize::from(outage.told.contains(relay)))
                });
                if count as f64 > most && told * 3 >= count * 2 {
                    let what = format!("{block} got {count} calls where {most:.1} are room");
                    broken.push((NOT_PUSHED_OVER, what));
                }
            }
            _ => {}
        }
    }

    fn outage(&mut self, now: Duration, block: u16, down: bool) {
        match self.outages.get_mut(&block) {
            Some(Outage {
                since, back: None, ..
            }) if !down && *since + OUTAGE > now => {
                self.outages.remove(&block);
            }
            Some(Outage {
                back: back @ None, ..
            }) if !down => *back = Some(now),
            Some(Outage { back: None, .. }) => {}
            _ if down => {
                self.outages.insert(
                    block,
                    Outage {
                        since: now,
                        back: None,
                        told: BTreeSet::new(),
                    },
                );
            }
            _ => {}
        }
    }

    fn trouble(&mut self, facts: &Facts, relay: usize, name: &CallName) {
        let block = facts
            .messages
            .get(&name.id)
            .map(|message| message.handed.destination);
        let outage = block.and_then(|block| self.outages.get_mut(&block));
        if let Some(outage) = outage.filter(|outage| outage.back.is_none()) {
            outage.told.insert(relay);
        }
    }

    /// Since when a destination that is back counts, and how many calls it takes in that span.
    fn budget(&self, facts: &Facts, block: u16, at: Duration) -> Option<(Duration, f64)> {
        let rules = &facts.rules;
        let outage = self
            .outages
            .get(&block)
            .filter(|outage| !outage.told.is_empty())?;
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
