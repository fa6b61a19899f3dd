//! Drains: a host that drains or is gone gets nothing new.

use std::collections::BTreeMap;
use std::time::Duration;

use super::facts::{Facts, Seen};
use super::{Broken, Rule, NOT_KEPT, SLACK};

#[derive(Default)]
pub struct Drains {
    /// By host: since when the relay knows.
    told: BTreeMap<String, Duration>,
}

impl Rule for Drains {
    fn see(&mut self, facts: &Facts, seen: &Seen<'_>, broken: &mut Broken) {
        let now = facts.now;
        match seen {
            Seen::Told(host, true) => drop(self.told.remove(*host)),
            Seen::Told(host, false) => drop(self.told.entry((*host).into()).or_insert(now)),
            Seen::Gone if facts.disk_full => self.told.clear(),
            // A list that came just before may not have been kept.
            Seen::Gone => self.told.retain(|_, told| *told + NOT_KEPT < now),
            Seen::Called(call, _) => {
                let host = &call.host.0;
                if self
                    .told
                    .get(host)
                    .is_some_and(|told| call.begun > *told + facts.rules.drain_grace + SLACK)
                {
                    broken.push((
                        "drains",
                        format!("{} went to {host}, which drains", call.id),
                    ));
                }
            }
            _ => {}
        }
    }
}
