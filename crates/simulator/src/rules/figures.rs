//! Figures: what the door shows is what passed on sockets.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::facts::{Facts, Message, Notice, Seen, Verdict};
use super::{Broken, Rule};

/// Figures may be so late.
const LATE: Duration = Duration::from_millis(500);
/// A platform that could not be told something is told so long after it can be.
const TOLD: Duration = Duration::from_secs(1);
/// What a figure may be off by: so many, or so many of a hundred.
const OFF: u64 = 3;

/// What a figure may be, by what was seen.
#[derive(Clone, Copy, Default)]
struct Bounds {
    least: u64,
    most: u64,
}

impl Bounds {
    fn surely(&mut self, certain: bool) {
        self.least += u64::from(certain);
        self.most += 1;
    }

    fn perhaps(&mut self, many: u64) {
        self.most += many;
    }

    fn holds(self, value: u64, percent: u64) -> bool {
        let off = |bound: u64| OFF.max(bound * percent / 100);
        value + off(self.least) >= self.least && value <= self.most + off(self.most)
    }
}

#[derive(Default)]
pub struct Figures {
    /// When the process was ready.
    ready: Option<Duration>,
    /// Processes that took part in an upgrade.
    mixed: BTreeSet<u32>,
    /// When files were read that were whole, and that were not.
    files: [Vec<Duration>; 2],
}

impl Rule for Figures {
    fn see(&mut self, facts: &Facts, seen: &Seen<'_>, broken: &mut Broken) {
        match seen {
            Seen::Started(_) => {
                *self = Figures {
                    mixed: std::mem::take(&mut self.mixed),
                    ..Figures::default()
                }
            }
            Seen::Ready => self.ready = Some(facts.now),
            Seen::Upgrades(processes) => self.mixed.extend(processes),
            Seen::Retuned(whole) => self.files[usize::from(!whole)].push(facts.now),
            Seen::Figures(process, asked, text) if *process == facts.process => {
                let settled = self.ready.is_some_and(|ready| ready + 2 * LATE < *asked);
                if settled && !self.mixed.contains(process) && !facts.disk_full {
                    broken.extend(
                        self.wrong(facts, *asked, text)
                            .map(|what| ("figures", what)),
                    );
                }
            }
            _ => {}
        }
    }
}

/// Figures by name; what can't be read is left out, and missed.
fn read(text: &str) -> BTreeMap<&str, u64> {
    let pairs = text
        .lines()
        .filter_map(|line| line.strip_prefix("relay.")?.split_once('='));
    pairs
        .filter_map(|(name, value)| Some((name, value.parse().ok()?)))
        .collect()
}

impl Figures {
    /// The first figure that can't be.
    fn wrong(&self, facts: &Facts, asked: Duration, text: &str) -> Option<String> {
        let edge = asked.saturating_sub(LATE);
        let shown = read(text);
        let deaf = facts
            .deaf
            .iter()
            .any(|(from, until)| *from <= facts.now && edge < *until + TOLD);
        let mut classes: BTreeMap<&str, [Bounds; 3]> = BTreeMap::new();
        let (mut concurrent, mut dispatches) = (Bounds::default(), Bounds::default());
        for message in facts.messages.values() {
            let counts = classes.entry(&message.handed.class).or_default();
            ends(facts, message, &self.mixed, edge, deaf, counts);
            held(facts, message, edge, deaf, &mut concurrent);
            let ours = message
                .calls
                .iter()
                .filter(|call| call.process == facts.process);
            ours.for_each(|call| dispatches.surely(call.whole < edge));
        }
        if facts.rules.eaten {
            dispatches.most = u64::MAX / 200;
        }
        let names = ["success", "overload", "error"];
        let by_class = classes.iter().flat_map(|(class, counts)| {
            names
                .iter()
                .zip(counts)
                .map(move |(name, bounds)| (format!("{name}.{class}"), *bounds, 1))
        });
        let plain = [
            ("concurrent", concurrent, 10),
            ("dispatches", dispatches, 2),
        ];
        let plain = plain.map(|(name, bounds, percent)| (name.to_string(), bounds, percent));
        for (name, bounds, percent) in by_class.chain(plain) {
            match shown.get(name.as_str()) {
                Some(value) if bounds.holds(*value, percent) => {}
                // A process that never had the class in its settings does not count it.
                None if name
                    .split_once('.')
                    .is_some_and(|(_, class)| Some(class) == facts.rules.passing) => {}
                other => {
                    let Bounds { least, most } = bounds;
                    return Some(format!(
                        "{name} is {other:?}, and by what was seen {least} to {most}"
                    ));
                }
            }
        }
        for (name, files) in ["reload_success", "reload_failure"]
            .into_iter()
            .zip(&self.files)
        {
            let least = files.iter().filter(|at| **at < edge).count() as u64;
            let value = shown.get(name).copied();
            if value.is_none_or(|value| value < least || value > files.len() as u64) {
                return Some(format!(
                    "{name} is {value:?}, and {least} to {} files were read",
                    files.len()
                ));
            }
        }
        None
    }
}

/// Whether an answer to a message may not have reached the relay as it was sent.
fn garbled(facts: &Facts, message: &Message) -> bool {
    let late = |from: Duration| message.calls.iter().any(|call| call.begun + TOLD > from);
    facts
        .rules
        .garbled
        .iter()
        .any(|(block, from)| *block == message.handed.destination && late(*from))
}

/// Success, overload and error, as far as a message counts for them in the process that runs.
fn ends(
    facts: &Facts,
    message: &Message,
    mixed: &BTreeSet<u32>,
    edge: Duration,
    deaf: bool,
    counts: &mut [Bounds; 3],
) {
    let Message {
        taken,
        abandoned,
        turned_away,
        delivered,
        notice,
        ..
    } = message;
    let ours = message.by == facts.process;
    let unheard = *abandoned || taken.is_none() && turned_away.iter().all(Vec::is_empty);
    // By the process that runs from its first word on, and its client heard all.
    let certain = ours && !unheard && taken.is_none_or(|taken| taken >= facts.born);
    for (bounds, heard) in counts[1..].iter_mut().zip(turned_away) {
        // Hand-ins again that wait together are turned away once; the first may have come to an earlier process.
        let heard: Vec<Duration> = heard
            .iter()
            .filter(|at| **at >= facts.born)
            .copied()
            .collect();
        if let [first, rest @ ..] = &heard[..] {
            bounds.surely(certain && *first < edge);
            bounds.perhaps(rest.len() as u64);
        }
        if unheard && (ours || taken.is_none()) {
            bounds.perhaps(2);
        }
    }
    if let Some(at) = delivered.filter(|at| *at >= facts.born) {
        let here = message.calls.iter().any(|call| {
            call.process == facts.process && matches!(call.verdict, Some((_, Verdict::Delivered)))
        });
        // An answer that crosses the relay's own end of the call is none that it has read.
        let once = message.calls.iter().filter(|call| {
            call.verdict
                .is_none_or(|(_, how)| how == Verdict::Delivered)
        });
        let plain = !garbled(facts, message);
        let certain =
            !unheard && taken.is_some() && here && plain && notice.is_none() && once.count() == 1;
        counts[0].surely(certain && at < edge);
    } else if delivered.is_some()
        && message
            .calls
            .iter()
            .any(|call| mixed.contains(&call.process))
    {
        // What one of two processes did as it ended, the next one finds in the folder, and counts.
        counts[0].perhaps(1);
    }
    if let Some((at, how)) = notice {
        let which = if *how == Notice::Deferred { 1 } else { 2 };
        if *at >= facts.born {
            counts[which].surely(certain && *at < edge);
        }
    } else if deaf && delivered.is_none() {
        counts[1].perhaps(1);
        counts[2].perhaps(1);
    }
}

/// Messages that are taken and not ended.
fn held(facts: &Facts, message: &Message, edge: Duration, deaf: bool, concurrent: &mut Bounds) {
    let over = [message.delivered, message.notice.map(|(at, _)| at)]
        .into_iter()
        .flatten()
        .min();
    // An answer that came spoilt, or still comes, has ended nothing.
    let gone =
        over.is_some_and(|at| at < edge) && (message.notice.is_some() || !garbled(facts, message));
    let refused = message.refused && message.taken.is_none() && !message.abandoned;
    if gone || refused {
        return;
    }
    let late = message.handed.due + 2 * TOLD < edge && message.taken.is_none();
    if late {
        return;
    }
    let sure = message.taken.is_some_and(|taken| taken < edge)
        && over.is_none()
        && !message.abandoned
        && !deaf;
    // One that is about to be ended may be on its way to the platform.
    concurrent.surely(sure && message.handed.due > facts.now);
}
