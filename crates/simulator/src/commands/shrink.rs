//! `shrink`: reduces a script to the faults and messages that still violate the same invariant.

use super::{print_faults, CommandOutcome};
use crate::script::{ScenarioKind, Script};
use crate::world::{play, Options};

/// A reduced script, and the violation that it causes.
pub struct ShrunkScript {
    /// The script.
    pub script: Script,
    /// The violation, as in a report.
    pub violation: String,
}

/// Reduces a seed's script and prints what is left, or that it violates no invariant.
#[must_use]
pub fn run(seed: u64, kind: ScenarioKind) -> CommandOutcome {
    // A panic in the relay is reported as a violation, not by the hook.
    std::panic::set_hook(Box::new(|_| {}));
    let Some(shrunk) = shrink(Script::draw_kind(kind, seed), Options::default()) else {
        println!("seed {seed} breaks no rule");
        return CommandOutcome::Passed;
    };
    print_faults(&shrunk.script);
    let messages = shrunk.script.clients.iter().flatten();
    let names: Vec<&str> = messages.map(|plan| plan.name.as_str()).collect();
    println!("{} messages: {}", names.len(), names.join(" "));
    println!("{}", shrunk.violation);
    CommandOutcome::Failed
}

/// Removes faults, and then messages in ever smaller groups, as long as the same invariant is violated. Returns none if the
/// script violates none.
#[must_use]
pub fn shrink(script: Script, options: Options) -> Option<ShrunkScript> {
    let invariant = play(&script, options).violation?.invariant;
    let is_violated = |script: &Script| {
        play(script, options)
            .violation
            .is_some_and(|violation| violation.invariant == invariant)
    };
    let script = without_faults(script, &is_violated);
    let script = without_messages(script, &is_violated);
    let violation = play(&script, options).violation_text?;
    Some(ShrunkScript { script, violation })
}

/// Removes each fault that the violation does not need.
fn without_faults(mut script: Script, is_violated: &impl Fn(&Script) -> bool) -> Script {
    let mut at = 0;
    while at < script.faults.len() {
        let mut fewer = script.clone();
        fewer.faults.remove(at);
        if is_violated(&fewer) {
            script = fewer;
        } else {
            at += 1;
        }
    }
    script
}

/// Removes groups of messages that the violation does not need: first halves, at last single messages.
fn without_messages(mut script: Script, is_violated: &impl Fn(&Script) -> bool) -> Script {
    let mut group = script.message_count().div_ceil(2).max(1);
    loop {
        let mut from = 0;
        while from < script.message_count() {
            let fewer = without_message_range(&script, from..from + group);
            if is_violated(&fewer) {
                script = fewer;
            } else {
                from += group;
            }
        }
        if group == 1 {
            return script;
        }
        group = group.div_ceil(2);
    }
}

/// The script without a range of messages, counted over all clients.
fn without_message_range(script: &Script, removed: std::ops::Range<usize>) -> Script {
    let mut fewer = script.clone();
    let mut number = 0;
    for plans in &mut fewer.clients {
        plans.retain(|_| {
            let is_removed = removed.contains(&number);
            number += 1;
            !is_removed
        });
    }
    fewer
}
