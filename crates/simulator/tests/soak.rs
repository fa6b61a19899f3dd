//! A long run in which the same faults recur: no table of the relay grows with the time that it runs.

use std::collections::BTreeMap;

use simulator::script::Script;
use simulator::world::{play, Options, Report};

/// Number of repetitions of a scenario of 16 seconds: half an hour.
const TIMES: u64 = 115;

/// By table: its size and its bound in each log line.
fn levels(report: &Report) -> BTreeMap<String, Vec<(usize, usize)>> {
    let mut levels: BTreeMap<String, Vec<(usize, usize)>> = BTreeMap::new();
    for line in &report.trace {
        let Some((_, text)) = line.split_once("call_log: table_levels ") else {
            continue;
        };
        for pair in text.split(' ').skip(1) {
            let (name, level) = pair.split_once('=').expect("a name and a level");
            let (has, most) = level.split_once('/').expect("a level and a bound");
            let number = |text: &str| text.parse().expect("a number");
            levels
                .entry(name.into())
                .or_default()
                .push((number(has), number(most)));
        }
    }
    levels
}

fn most(looks: &[(usize, usize)]) -> usize {
    looks.iter().map(|(has, _)| *has).max().unwrap_or(0)
}

fn holds(seed: u64) {
    let script = Script::draw_long(seed, TIMES);
    let report = play(
        &script,
        Options {
            traced: true,
            ..Options::default()
        },
    );
    assert!(
        report.violation_text.is_none(),
        "{:?}",
        report.violation_text
    );
    assert!(report.counts.delivered > 50 * TIMES, "{:?}", report.counts);
    let levels = levels(&report);
    let names = [
        "calls", "classes", "held", "idle", "journal", "names", "notices", "turns",
    ];
    assert_eq!(levels.keys().collect::<Vec<_>>(), names);
    for (name, looks) in &levels {
        assert!(looks.len() as u64 > TIMES, "{name}: {} looks", looks.len());
        let past: Vec<_> = looks.iter().filter(|(has, most)| has > most).collect();
        assert!(past.is_empty(), "{name} is past its bound: {past:?}");
        // The maximum of the last third may exceed that of the first third by half, and by 8 entries.
        let third = looks.len() / 3;
        let (first, last) = (most(&looks[..third]), most(&looks[2 * third..]));
        println!("{name}: {first} at most in the first third, {last} in the last");
        assert!(
            last <= first + first / 2 + 8,
            "{name} grows: {first}, then {last}"
        );
    }
}

#[test]
fn tables_do_not_grow_over_half_an_hour() {
    let threads = [1, 4].map(|seed| std::thread::spawn(move || holds(seed)));
    threads
        .into_iter()
        .for_each(|thread| thread.join().expect("all assertions hold"));
}
