//! Cuts a script down to what still breaks the same rule.

use crate::script::Script;
use crate::world::{play, Options};

/// A script that breaks a rule, and how.
pub struct Small {
    /// The script.
    pub script: Script,
    /// The breach, as a report has it.
    pub broken: String,
}

/// Leaves out faults, then messages by ever smaller groups, as long as the same rule is broken. None if the
/// script breaks no rule.
#[must_use]
pub fn shrink(script: Script, options: Options) -> Option<Small> {
    let rule = play(&script, options).violation?.invariant;
    let broken = |script: &Script| {
        play(script, options)
            .violation
            .is_some_and(|violation| violation.invariant == rule)
    };
    let mut script = script;
    let mut at = 0;
    while at < script.faults.len() {
        let mut fewer = script.clone();
        fewer.faults.remove(at);
        if broken(&fewer) {
            script = fewer;
        } else {
            at += 1;
        }
    }
    let mut group = script.size().div_ceil(2).max(1);
    loop {
        let mut from = 0;
        while from < script.size() {
            let mut fewer = script.clone();
            let mut number = 0;
            for plans in &mut fewer.clients {
                plans.retain(|_| {
                    number += 1;
                    !(from..from + group).contains(&(number - 1))
                });
            }
            if broken(&fewer) {
                script = fewer;
            } else {
                from += group;
            }
        }
        if group == 1 {
            break;
        }
        group = group.div_ceil(2);
    }
    let broken = play(&script, options).violation_text?;
    Some(Small { script, broken })
}
