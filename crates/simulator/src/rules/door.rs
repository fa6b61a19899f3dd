//! Drained, door: what operators are promised of a relay that they talk to.

use std::time::Duration;

use super::facts::{Facts, Seen};
use super::{Broken, Rule, SLACK};

/// A drained relay says no, and holds no connection of a client, so long after the drain.
pub const EMPTY: Duration = Duration::from_secs(4);
/// It says yes so long after the end of the drain.
const BACK: Duration = Duration::from_secs(2);

#[derive(Default)]
pub struct Door {
    /// Since when the relay is drained.
    drained: Option<Duration>,
    /// Since when it is not any more, and has not said yes.
    resumed: Option<Duration>,
}

impl Rule for Door {
    fn see(&mut self, facts: &Facts, seen: &Seen<'_>, broken: &mut Broken) {
        let past = |since: Option<Duration>, span: Duration| {
            since.is_some_and(|at| at + span + SLACK < facts.now)
        };
        match seen {
            Seen::Drained(true) => (self.drained, self.resumed) = (Some(facts.now), None),
            Seen::Resuming => self.drained = None,
            Seen::Drained(false) => (self.drained, self.resumed) = (None, Some(facts.now)),
            // One that starts anew is not drained, and takes the time of a start.
            Seen::Gone | Seen::ToldToStop | Seen::Upgrades(_) => self.resumed = None,
            Seen::Started(_) => self.drained = None,
            Seen::Front(true) => {
                self.resumed = None;
                if past(self.drained, EMPTY) {
                    broken.push((
                        "drained",
                        "a drained relay says that it takes clients".into(),
                    ));
                }
            }
            Seen::Front(false) if past(self.resumed, BACK) => {
                broken.push((
                    "drained",
                    "the drain is over, and the relay still says no".into(),
                ));
            }
            Seen::HeldInDrain(many) if past(self.drained, EMPTY) && facts.stopping.is_none() => {
                broken.push((
                    "drained",
                    format!("a drained relay holds {many} connections of clients"),
                ));
            }
            Seen::DoorSilent => {
                broken.push(("door", "a call got no answer within its time".into()))
            }
            _ => {}
        }
    }
}
