//! The same seed gives the same scenario, whatever else the process plays.

use simulator::script::Script;
use simulator::world::{play, Options, Report};

fn play_seed(seed: u64) -> Report {
    play(&Script::draw(seed), Options::default())
}

#[test]
fn a_seed_gives_the_same_digest_on_other_threads_and_in_another_order() {
    let first: Vec<String> = (0..12).map(|seed| play_seed(seed).digest).collect();
    let threads: Vec<_> = (0..12)
        .rev()
        .map(|seed| std::thread::spawn(move || play_seed(seed).digest))
        .collect();
    let again: Vec<String> = threads
        .into_iter()
        .rev()
        .map(|thread| thread.join().expect("played"))
        .collect();
    assert_eq!(first, again);
    let different: std::collections::BTreeSet<_> = first.iter().collect();
    assert_eq!(different.len(), first.len());
}

#[test]
fn scenarios_have_enough_messages_and_overlapping_faults() {
    for seed in 0..12 {
        let (script, report) = (Script::draw(seed), play_seed(seed));
        assert!(
            script.message_count() >= 200 && script.faults.len() >= 2,
            "{seed}"
        );
        let overlap = script.faults.iter().any(|a| {
            script
                .faults
                .iter()
                .any(|b| !std::ptr::eq(a, b) && a.from < b.until && b.from < a.until)
        });
        assert!(overlap, "{seed}: {:?}", script.faults);
        if report.violation_text.is_none() {
            assert!(report.virtual_ms >= 15_000, "{seed}: {}", report.virtual_ms);
            assert!(report.counts.delivered > 100, "{seed}: {:?}", report.counts);
        }
    }
}

/// A script is reduced to what the violation needs, and the reduced script still violates the same invariant.
#[test]
fn shrunk_script_is_smaller_and_violates_the_same_invariant() {
    let misconfigure = Some(
        (|config: &mut serde_json::Value| {
            config["limits"]["disk_mb"] = 50.0.into();
        }) as fn(&mut serde_json::Value),
    );
    let options = Options {
        misconfigure,
        ..Options::default()
    };
    let whole = (0..50)
        .map(Script::draw)
        .find(|script| play(script, options).violation_text.is_some());
    let whole = whole.expect("a seed that overfills its disk");
    let small = simulator::commands::shrink::shrink(whole.clone(), options).expect("a violation");
    assert!(
        small.script.message_count() < whole.message_count(),
        "{}",
        small.script.message_count()
    );
    assert!(small.script.faults.is_empty(), "{:?}", small.script.faults);
    assert_eq!(
        play(&small.script, options)
            .violation
            .map(|violation| violation.invariant),
        Some("disk")
    );
}
