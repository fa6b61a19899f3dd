//! Hosts that send some of their responses twice, at any instant, on all kinds of days.

use simulator::script::{ScenarioKind, Script};
use simulator::world::{play, Options};

/// Plays seeds on two threads, and asserts that each violates no invariant.
fn hold(kind: ScenarioKind, seeds: std::ops::Range<u64>) {
    let threads = [0, 1].map(|half| {
        let seeds = seeds.clone().filter(move |seed| seed % 2 == half);
        std::thread::spawn(move || {
            let script = |seed| Script::draw_kind(kind, seed).with_repeated_responses();
            let broken: Vec<String> = seeds
                .filter_map(|seed| play(&script(seed), Options::default()).violation_text)
                .collect();
            assert!(broken.is_empty(), "{broken:#?}");
        })
    });
    for thread in threads {
        thread.join().expect("no rule is broken");
    }
}

#[test]
fn repeated_responses_lose_and_repeat_nothing_on_plain_days() {
    hold(ScenarioKind::Plain, 0..600);
}

#[test]
fn repeated_responses_lose_and_repeat_nothing_on_hosted_days() {
    hold(ScenarioKind::Hosted, 0..100);
}

#[test]
fn repeated_responses_lose_and_repeat_nothing_on_fleet_days() {
    hold(ScenarioKind::Fleet, 0..100);
}

#[test]
fn repeated_responses_lose_and_repeat_nothing_on_upgraded_days() {
    hold(ScenarioKind::Upgraded, 0..100);
}

#[test]
fn repeated_responses_lose_and_repeat_nothing_on_days_with_resends() {
    hold(ScenarioKind::Kept, 0..100);
}
