//! Still tried: of what a process finds taken on and untried at its start, no more than half is given up with no call.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::facts::{Asking, Facts, Seen};
use super::{Broken, Rule};

/// A message with less time left at the start may be over before the list is confirmed and its turn has come.
const TIME: Duration = Duration::from_secs(2);
/// So few say nothing: one destination without hosts, or a told wait, may have all of them.
const FEW: usize = 4;
/// What ends within this of its time ends at it.
const AT_ITS_TIME: Duration = Duration::from_millis(100);

#[derive(Default)]
pub struct Untried {
    /// Messages that some process found so and that are open, and since when.
    open: BTreeMap<String, Duration>,
    /// How many of them were called, and how many were given up with no call.
    called: usize,
    given_up: usize,
    /// Destinations of hosts that were called, and those that were told to drain or to be gone.
    hosts: BTreeMap<String, u16>,
    away: BTreeSet<String>,
    /// Outages by destination, the last one perhaps without its end.
    outages: BTreeMap<u16, Vec<(Duration, Option<Duration>)>>,
    /// Tenants that were asked to be removed, with all that they have.
    removed: BTreeSet<String>,
    /// The disk took nothing at some time, so that calls could not be made.
    excused: bool,
}

impl Untried {
    /// Whether a destination has a host that may be called, as far as the relay was told.
    fn stands(&self, destination: u16) -> bool {
        let mut hosts = self.hosts.iter().filter(|(_, at)| **at == destination);
        hosts.any(|(host, _)| !self.away.contains(host))
    }

    /// Whether a destination was away for more than half of a span.
    fn was_away(&self, destination: u16, from: Duration, until: Duration) -> bool {
        let outages = self.outages.get(&destination).into_iter().flatten();
        let within = outages.map(|(since, back)| {
            let back = back.unwrap_or(until).min(until);
            back.saturating_sub((*since).max(from))
        });
        within.sum::<Duration>() * 2 > until - from
    }
}

impl Rule for Untried {
    fn see(&mut self, facts: &Facts, seen: &Seen<'_>, broken: &mut Broken) {
        match seen {
            Seen::Started(_) => {
                let untried = facts.open.iter().filter(|id| {
                    let message = facts.messages.get(*id);
                    message.is_some_and(|m| {
                        m.taken.is_some() && m.calls.is_empty() && m.handed.due > facts.now + TIME
                    })
                });
                for id in untried {
                    self.open.entry(id.clone()).or_insert(facts.now);
                }
            }
            Seen::KeepsNothing(true) => self.excused = true,
            Seen::Called(call, _) => {
                self.hosts.insert(call.host.0.clone(), call.host.1);
                self.called += usize::from(self.open.remove(&call.id).is_some());
            }
            Seen::Told(host, true) | Seen::Listed(host, true, _) => {
                self.away.remove(*host);
            }
            Seen::Told(host, false) | Seen::Listed(host, false, _) => {
                self.away.insert(host.to_string());
            }
            Seen::TenantAsked {
                tenant,
                asking: Asking::Remove { .. },
                ..
            } => {
                self.removed.insert(tenant.to_string());
            }
            Seen::Outage(destination, true) => {
                self.outages
                    .entry(*destination)
                    .or_default()
                    .push((facts.now, None));
            }
            Seen::Outage(destination, false) => {
                let last = self
                    .outages
                    .get_mut(destination)
                    .and_then(|outages| outages.last_mut());
                last.into_iter().for_each(|last| last.1 = Some(facts.now));
            }
            Seen::Noticed(id, _) => {
                let Some(found) = self.open.remove(*id) else {
                    return;
                };
                let handed = facts.messages.get(*id).map(|message| &message.handed);
                let stands = handed.is_some_and(|handed| self.stands(handed.destination));
                // One that ends at its time after a destination refused all connections for most of what was left could not
                // reach it, or only with a burst as it came back cold; and a tenant may flood destinations with more than
                // they take. One that ends early counts all the same.
                let barred = handed.is_some_and(|handed| {
                    facts.now + AT_ITS_TIME >= handed.due
                        && (!facts.rules.tenants.is_empty()
                            || self.was_away(handed.destination, found, facts.now))
                });
                let removed = handed.is_some_and(|handed| self.removed.contains(&handed.tenant));
                if self.excused || removed || barred || !stands {
                    return;
                }
                self.given_up += 1;
                if self.given_up > FEW && self.given_up > self.called + self.open.len() {
                    let (lost, called) = (self.given_up, self.called);
                    let what = format!(
                        "{lost} that a start found untried were given up with no call, {called} were called"
                    );
                    broken.push(("still tried", what));
                }
            }
            _ => {}
        }
    }
}
