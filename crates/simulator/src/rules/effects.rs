//! No double effect, one at a time, attempts: no message runs twice that may not.

use super::facts::{Facts, Repeat, Seen};
use super::{Broken, Rule, SLACK};

pub struct Effects;

impl Rule for Effects {
    fn see(&mut self, facts: &Facts, seen: &Seen<'_>, broken: &mut Broken) {
        match seen {
            Seen::Called(call, holds) => {
                let (host, _, zone) = &call.host;
                let id = &call.id;
                let Some(message) = facts.messages.get(id) else {
                    return;
                };
                let out = message.calls.iter().find(|c| {
                    // A process that is gone holds nothing.
                    c.is_out() && c.process == facts.process && holds(c.conn)
                });
                if let Some(other) = out {
                    let since = other.whole.as_secs_f64();
                    let what = format!("{id} came to {host} while a call of {since:.3} is out");
                    broken.push(("one at a time", what));
                }
                // A resend is judged by what took effect.
                if facts.rules.kept {
                    return;
                }
                let ran = message.calls.iter().find(|c| c.may_have_run());
                match (message.handed.repeat, ran) {
                    (Repeat::Unsafe, Some(first)) => {
                        let first = first.whole.as_secs_f64();
                        let what =
                            format!("unsafe {id} went again, a call of {first:.3} may have run");
                        broken.push(("no double effect", what));
                    }
                    (Repeat::Keyed { window, zone_only }, Some(first)) => {
                        if call.begun > first.begun + window + SLACK {
                            let since = (call.begun - first.begun).as_millis();
                            let what = format!("keyed {id} went again after {since} ms");
                            broken.push(("no double effect", what));
                        }
                        if zone_only && first.zone != *zone {
                            let what =
                                format!("keyed {id} went to zone {zone} after {}", first.zone);
                            broken.push(("no double effect", what));
                        }
                    }
                    _ => {}
                }
                if message.calls.len() >= message.attempts {
                    broken.push((
                        "attempts",
                        format!("{id} has its call number {}", message.calls.len() + 1),
                    ));
                }
            }
            Seen::Noticed(id, "deferred") => {
                let message = facts
                    .messages
                    .get(*id)
                    .filter(|message| message.notice.is_none());
                let Some(message) = message else { return };
                let ran = message.calls.iter().any(|c| c.may_have_run());
                let harmful = match message.handed.repeat {
                    Repeat::Safe => false,
                    Repeat::Keyed { zone_only, .. } => zone_only && ran,
                    Repeat::Unsafe => ran,
                };
                if harmful {
                    broken.push((
                        "no double effect",
                        format!("{id} is refused though it may have run"),
                    ));
                }
            }
            _ => {}
        }
    }
}
