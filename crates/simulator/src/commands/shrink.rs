//! Cuts a script down to what still breaks the same rule.

use super::{print_faults, CommandOutcome};
use crate::script::{Days, Script};
use crate::world::{play, Options};

/// A script that breaks a rule, and how.
pub struct ShrunkScript {
    /// The script.
    pub script: Script,
    /// The broken rule, as a report has it.
    pub broken: String,
}

/// Cuts a seed's script down and prints what is left, or that it breaks no rule.
#[must_use]
pub fn run(seed: u64, days: Days) -> CommandOutcome {
    // A panic in the relay is reported as a broken rule, not by the hook.
    std::panic::set_hook(Box::new(|_| {}));
    let Some(shrunk) = shrink(Script::of(days, seed), Options::default()) else {
        println!("seed {seed} breaks no rule");
        return CommandOutcome::Passed;
    };
    print_faults(&shrunk.script);
    let messages = shrunk.script.clients.iter().flatten();
    let names: Vec<&str> = messages.map(|plan| plan.name.as_str()).collect();
    println!("{} messages: {}", names.len(), names.join(" "));
    println!("{}", shrunk.broken);
    CommandOutcome::Failed
}

/// Leaves out faults, then messages by ever smaller groups, as long as the same rule is broken. None if the script
/// breaks no rule.
#[must_use]
pub fn shrink(script: Script, options: Options) -> Option<ShrunkScript> {
    let rule = play(&script, options).violation?.invariant;
    let is_broken = |script: &Script| {
        play(script, options)
            .violation
            .is_some_and(|violation| violation.invariant == rule)
    };
    let script = without_faults(script, &is_broken);
    let script = without_messages(script, &is_broken);
    let broken = play(&script, options).violation_text?;
    Some(ShrunkScript { script, broken })
}

/// Leaves out each fault without which the rule is still broken.
fn without_faults(mut script: Script, is_broken: &impl Fn(&Script) -> bool) -> Script {
    let mut at = 0;
    while at < script.faults.len() {
        let mut fewer = script.clone();
        fewer.faults.remove(at);
        if is_broken(&fewer) {
            script = fewer;
        } else {
            at += 1;
        }
    }
    script
}

/// Leaves out groups of messages without which the rule is still broken, half of all first and single ones last.
fn without_messages(mut script: Script, is_broken: &impl Fn(&Script) -> bool) -> Script {
    let mut group = script.size().div_ceil(2).max(1);
    loop {
        let mut from = 0;
        while from < script.size() {
            let fewer = without_message_range(&script, from..from + group);
            if is_broken(&fewer) {
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

/// The script without the messages of these numbers, counted over all clients.
fn without_message_range(script: &Script, left_out: std::ops::Range<usize>) -> Script {
    let mut fewer = script.clone();
    let mut number = 0;
    for plans in &mut fewer.clients {
        plans.retain(|_| {
            let is_left_out = left_out.contains(&number);
            number += 1;
            !is_left_out
        });
    }
    fewer
}
