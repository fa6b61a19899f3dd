//! Right host, unchanged, expiry, call: what a call says is what was handed in.

use super::facts::{Facts, Seen};
use super::{Broken, Rule, SLACK};

pub struct Calls;

impl Rule for Calls {
    fn see(&mut self, facts: &Facts, seen: &Seen<'_>, broken: &mut Broken) {
        let Seen::Called(call, _) = seen else { return };
        let (host, block, _) = &call.host;
        if call.line != "POST /hook" {
            broken.push(("call", format!("{host} got {:?}", call.line)));
        }
        let id = &call.id;
        let Some(message) = facts.messages.get(id) else {
            return broken.push(("call", format!("{host} got {id}, which nobody handed in")));
        };
        let handed = &message.handed;
        if handed.destination != *block {
            let what = format!("{id} for {} went to {host} of {block}", handed.destination);
            broken.push(("right host", what));
        }
        if handed.body != call.body || handed.key != call.key {
            broken.push((
                "unchanged",
                format!("{id} came to {host} with another key or body"),
            ));
        }
        // A resend has time of its own.
        if facts.rules.kept {
            return;
        }
        let left = handed.due.saturating_sub(call.begun) + SLACK;
        if call
            .expires
            .is_none_or(|expires| u128::from(expires) > left.as_millis().max(1))
        {
            let what = format!(
                "{id} tells {:?} ms, {} ms are left",
                call.expires,
                left.as_millis()
            );
            broken.push(("expiry", what));
        }
    }
}
