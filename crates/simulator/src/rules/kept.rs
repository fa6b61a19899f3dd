//! Applied once or accounted for: whatever is sent again, by whomever, takes effect once, and what was given up has
//! a record that tells the truth.

use std::collections::BTreeMap;

use super::facts::{Facts, Notice, Repeat, Seen};
use super::{Broken, Rule};

#[derive(Default)]
pub struct Kept {
    /// How often messages took effect.
    times: BTreeMap<String, u32>,
    /// The state of each record, by its message.
    shown: BTreeMap<String, String>,
}

impl Rule for Kept {
    fn see(&mut self, facts: &Facts, seen: &Seen<'_>, broken: &mut Broken) {
        match seen {
            Seen::Applied(id, times) => {
                self.times.insert((*id).into(), *times);
                let repeat = facts.messages.get(*id).map(|message| message.handed.repeat);
                if *times > 1 && repeat.is_some_and(|repeat| repeat != Repeat::Safe) {
                    broken.push((
                        "applied once",
                        format!("{id} took effect for the time {times}"),
                    ));
                }
            }
            Seen::RecordShown(id, state) => {
                let before = self.shown.insert((*id).into(), (*state).into());
                broken.extend(before.map(|_| ("accounted for", format!("{id} has two records"))));
            }
            Seen::AllRecordsShown => self.judge(facts, broken),
            _ => {}
        }
    }
}

impl Kept {
    fn judge(&self, facts: &Facts, broken: &mut Broken) {
        let failed = |message: &super::facts::Message| {
            matches!(message.notice, Some((_, Notice::Undeliverable)))
        };
        for (id, _) in facts.messages.iter().filter(|(_, message)| failed(message)) {
            let times = self.times.get(id).copied().unwrap_or(0);
            match self.shown.get(id).map(String::as_str) {
                None if facts.rules.store_spoilt => {}
                None => broken.push((
                    "accounted for",
                    format!("{id} was given up and has no record"),
                )),
                Some("delivered" | "applied-before") if times == 0 => {
                    broken.push((
                        "accounted for",
                        format!("{id} is closed as done and never took effect"),
                    ));
                }
                Some(_) => {}
            }
        }
    }
}
