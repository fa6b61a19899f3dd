//! Hosts announced as leaving: what counts as told, whether or not the relay has read it.
//!
//! Where lists are pushed, what the relay's agent has counts as told from the first moment of a process on, whether or not a
//! watch is open. What a silence or a moved discovery keeps back counts later.

use std::collections::BTreeMap;
use std::time::Duration;

use super::facts::{Facts, Seen};
use super::{Broken, Rule, NOT_KEPT, SLACK};

/// What a watch that has fallen silent misses counts as told so long after.
const SILENT: Duration = Duration::from_secs(6);
/// What a call for the list that has to wait misses counts as told so long after that wait is over.
const WAITED: Duration = Duration::from_secs(2);
/// What a moved discovery has counts as told so long after SIGHUP.
const MOVED: Duration = Duration::from_secs(4);

/// What a relay has of a host's leaving.
struct Left {
    /// When it counts as told though it was not sent.
    told: Duration,
    /// When the relay was sent it.
    sent: Option<Duration>,
}

impl Left {
    fn since(&self) -> Duration {
        self.sent.map_or(self.told, |sent| sent.min(self.told))
    }
}

#[derive(Default)]
pub struct Leaving {
    hosts: BTreeMap<String, Left>,
    /// Since when its agent says nothing.
    silent: Option<Duration>,
    /// When the watch of the process fell silent, which stays so.
    fell: Option<Duration>,
    /// Calls for the list that wait for their answer, where the relays ask one discovery.
    waits: usize,
}

impl Leaving {
    /// What was not sent counts as told no sooner.
    fn not_before(&mut self, at: Duration) {
        self.hosts
            .values_mut()
            .filter(|left| left.sent.is_none())
            .for_each(|left| left.told = left.told.max(at));
    }
}

impl Rule for Leaving {
    fn see(&mut self, facts: &Facts, seen: &Seen<'_>, broken: &mut Broken) {
        let now = facts.now;
        match seen {
            Seen::Listed(host, true, _) | Seen::Told(host, true) => drop(self.hosts.remove(*host)),
            Seen::Listed(host, false, told) => {
                let told = self.fell.map_or(*told, |fell| (fell + SILENT).max(*told));
                self.hosts
                    .entry((*host).into())
                    .or_insert(Left { told, sent: None });
            }
            Seen::Told(host, false) => {
                let left = self.hosts.entry((*host).into()).or_insert(Left {
                    told: now,
                    sent: None,
                });
                left.sent.get_or_insert(now);
            }
            Seen::Silent(true) => (self.silent, self.fell) = (Some(now), Some(now)),
            Seen::Silent(false) => {
                self.silent = None;
                self.not_before(self.fell.map_or(now, |fell| (fell + SILENT).max(now)));
            }
            Seen::ListWaits(_) if facts.rules.pushed => {}
            Seen::ListWaits(true) => self.waits += 1,
            Seen::ListWaits(false) => {
                self.waits -= 1;
                self.not_before(now + WAITED);
            }
            // The next process opens a watch of its own.
            Seen::Gone => {
                self.fell = None;
                // What came just before may not have been kept.
                let unkept = self
                    .hosts
                    .values_mut()
                    .filter(|left| left.sent.is_some_and(|at| at + NOT_KEPT >= now));
                unkept.for_each(|left| left.sent = None);
            }
            Seen::Deaf(from, _) => self.not_before(*from + MOVED),
            Seen::Called(call, _) => {
                let asks = self.silent.is_some() || self.waits > 0;
                let left = self
                    .hosts
                    .get(&call.host.0)
                    .filter(|left| left.sent.is_some() || !asks);
                if let Some(left) =
                    left.filter(|left| call.begun > left.since() + facts.rules.drain_grace + SLACK)
                {
                    let late = (call.begun - left.since()).as_millis();
                    let text =
                        format!("{} went to {}, told {late} ms before", call.id, call.host.0);
                    broken.push(("leaving", text));
                }
            }
            _ => {}
        }
    }
}
