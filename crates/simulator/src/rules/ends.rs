//! One end, notices: a message has one end, and nothing of it goes on after that.

use std::collections::BTreeMap;
use std::time::Duration;

use super::facts::{Facts, Notice, Seen, Verdict};
use super::{Broken, Rule, SLACK};

/// A notice that comes so long after the relay has read a 200 was decided after it.
const DECIDED: Duration = Duration::from_secs(1);

#[derive(Default)]
pub struct Ends {
    /// By message: a process has read a 200 by then.
    known: BTreeMap<String, (Duration, u32)>,
}

impl Rule for Ends {
    fn see(&mut self, facts: &Facts, seen: &Seen<'_>, broken: &mut Broken) {
        let now = facts.now;
        match seen {
            Seen::Read(name) => {
                let Some((_, call)) = facts.call(name) else {
                    return;
                };
                if call.process == facts.process
                    && matches!(call.verdict, Some((_, Verdict::Delivered)))
                {
                    self.known
                        .entry(name.id.clone())
                        .or_insert((now, facts.process));
                }
            }
            Seen::Called(call, _) => {
                let ((host, _, _), id) = (&call.host, &call.id);
                let Some(message) = facts.messages.get(id) else {
                    return;
                };
                // A call that was given up may be answered 200 after all; what a resend may do is judged by what
                // took effect.
                let resent = |notice| facts.rules.kept && notice == Notice::Undeliverable;
                let given_up = message.notice.is_some_and(|(_, how)| resent(how));
                let known = self
                    .known
                    .get(id)
                    .filter(|(_, by)| *by == facts.process && !given_up);
                if known.is_some_and(|(known, _)| *known + SLACK < call.begun) {
                    let what =
                        format!("{id} went to {host} after the relay was told of its delivery");
                    broken.push(("one end", what));
                }
                let over = message
                    .notice
                    .filter(|(at, how)| *at + SLACK < call.begun && !resent(*how));
                if let Some((at, _)) = over {
                    let what = format!(
                        "{id} went to {host} after its notice of {:.3}",
                        at.as_secs_f64()
                    );
                    broken.push(("one end", what));
                }
            }
            Seen::Noticed(id, status) => self.noticed(facts, id, status, broken),
            _ => {}
        }
    }
}

impl Ends {
    fn noticed(&self, facts: &Facts, id: &str, status: &str, broken: &mut Broken) {
        let notice = match status {
            "undeliverable" => Notice::Undeliverable,
            "deferred" => Notice::Deferred,
            other => return broken.push(("notices", format!("{id} has the status {other:?}"))),
        };
        let Some(message) = facts.messages.get(id) else {
            return broken.push(("notices", format!("of {id}, which nobody handed in")));
        };
        if let Some((_, before)) = message.notice {
            if before != notice {
                broken.push((
                    "one end",
                    format!("{id} is {notice:?}, and was {before:?} before"),
                ));
            }
            return;
        }
        // What was given up may be delivered by a resend before its notice is taken.
        if facts.rules.kept {
            return;
        }
        let late = self.known.get(id).filter(|(known, by)| {
            let unexcused = *known + DECIDED < facts.now && *known + SLACK < message.handed.due;
            *by == facts.process && *known > facts.born && unexcused
        });
        let Some((known, _)) = late else { return };
        if !facts
            .deaf
            .iter()
            .any(|(from, until)| *from < facts.now && known < until)
        {
            let known = known.as_secs_f64();
            broken.push((
                "one end",
                format!("{id} gets a notice, and was delivered at {known:.3}"),
            ));
        }
    }
}
