//! Waits: a destination that told the relay to wait gets nothing before the wait is over.

use std::collections::BTreeMap;
use std::time::Duration;

use super::facts::{Facts, Seen, Verdict};
use super::{Broken, Rule, SLACK};

/// Calls that come so soon after a wait was told were under way.
const UNDER_WAY: Duration = Duration::from_millis(100);

#[derive(Default)]
pub struct Waits {
    /// By destination: when the wait was told, and when it is over.
    told: BTreeMap<u16, (Duration, Duration)>,
}

impl Rule for Waits {
    fn see(&mut self, facts: &Facts, seen: &Seen<'_>, broken: &mut Broken) {
        match seen {
            Seen::Gone => self.told.clear(),
            Seen::Read(name) => {
                let Some((message, call)) = facts.call(name) else {
                    return;
                };
                let block = message.handed.destination;
                let Some((told, Verdict::NeverRan(wait))) = call.verdict else {
                    return;
                };
                // A second answer while a wait binds may lengthen it; what came before was under way.
                let until = self
                    .told
                    .get(&block)
                    .map_or(Duration::ZERO, |(_, until)| *until);
                if call.process == facts.process && !wait.is_zero() && told + wait > until {
                    self.told.insert(block, (told, told + wait));
                }
            }
            Seen::Called(call, _) => {
                let (host, block, _) = &call.host;
                let Some((told, until)) = self.told.get(block) else {
                    return;
                };
                if call.begun > *told + UNDER_WAY + SLACK && call.begun + SLACK < *until {
                    let left = (*until - call.begun).as_millis();
                    let what = format!(
                        "{} went to {host} {left} ms before the told wait's end",
                        call.id
                    );
                    broken.push(("waits", what));
                }
            }
            _ => {}
        }
    }
}
