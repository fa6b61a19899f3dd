//! Helpers of tests that play ranges of seeds. Not every test uses all of them.
#![allow(dead_code)]

use simulator::script::{ScenarioKind, Script};
use simulator::world::{play, Options};

/// Plays seeds on two threads, and asserts that each violates no invariant and delivers more than `least` messages.
pub fn hold(kind: ScenarioKind, seeds: impl IntoIterator<Item = u64>, least: u64) {
    let mut halves = [Vec::new(), Vec::new()];
    seeds
        .into_iter()
        .enumerate()
        .for_each(|(number, seed)| halves[number % 2].push(seed));
    let threads = halves.map(|seeds| {
        std::thread::spawn(move || {
            let broken = seeds.into_iter().filter_map(|seed| {
                let report = play(&Script::draw_kind(kind, seed), Options::default());
                let many = report.violation_text.is_some() || report.counts.delivered > least;
                assert!(many, "seed {seed} delivers little");
                report.violation_text
            });
            let broken: Vec<String> = broken.collect();
            assert!(broken.is_empty(), "{broken:#?}");
        })
    });
    threads
        .into_iter()
        .for_each(|thread| thread.join().expect("no rule is broken"));
}

/// Plays the seeds with changed scripts until the invariant is violated, prints the number of seeds, and panics if none
/// violates it.
pub fn seeds_until(
    kind: ScenarioKind,
    rule: &str,
    mut seeds: impl Iterator<Item = u64>,
    options: Options,
    change: fn(&mut Script),
) {
    let broken = |seed: &u64| {
        let mut script = Script::draw_kind(kind, *seed);
        change(&mut script);
        play(&script, options)
            .violation
            .is_some_and(|violation| violation.invariant == rule)
    };
    let found = seeds.find(broken);
    let Some(seed) = found else {
        panic!("{rule}: not caught")
    };
    println!("{rule}: caught with {} seeds", seed + 1);
}

/// Plays each seed twice, and asserts that the digests are equal.
pub fn same_again(kind: ScenarioKind, seeds: std::ops::Range<u64>) {
    let digest = |seed| play(&Script::draw_kind(kind, seed), Options::default()).digest;
    let first: Vec<String> = seeds.clone().map(digest).collect();
    let again: Vec<String> = seeds.map(digest).collect();
    assert_eq!(first, again);
}
