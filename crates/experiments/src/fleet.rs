//! What all relays of a fleet did together, counted from their logs.

use std::collections::BTreeMap;
use std::path::Path;

use comfy_table::{presets, Table};

use crate::Error;

/// Counts of a span at a destination, over all relays.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Span {
    arrived: u64,
    calls: u64,
    /// Calls that a fuse which is not closed let through.
    trials: u64,
    good: u64,
    refused: u64,
    /// Of those, with a told wait.
    waits: u64,
    failed: u64,
    opened: u64,
    given_up: u64,
    restored: u64,
    left: (f64, u64),
}

/// All counts of a fleet.
#[derive(Debug, Default)]
pub struct Counts {
    /// By destination and span.
    spans: BTreeMap<(u16, u64), Span>,
    /// Calls a second that a destination takes, as listed first.
    told: BTreeMap<u16, f64>,
    /// Lines of the list that relays were told.
    list_lines: u64,
    starts: u64,
    first: Option<u64>,
    leaving: Leaving,
}

/// Hosts that were announced as leaving, and calls to them.
#[derive(Debug, Default)]
struct Leaving {
    /// When a host was first announced by any relay's log, by its name.
    announced: BTreeMap<String, u64>,
    /// The process at hand: its hosts' names by number.
    names: BTreeMap<String, String>,
    /// Calls: when, and to which host.
    calls: Vec<(u64, String)>,
}

impl Leaving {
    /// Books a line of the list.
    fn listed(&mut self, at: u64, rest: &[&str]) {
        let value = |key: &str| rest.iter().find_map(|word| word.strip_prefix(key));
        let (Some(number), Some(name)) = (
            value("host="),
            value("name=").filter(|name| !name.is_empty()),
        ) else {
            return;
        };
        self.names.insert(number.into(), name.into());
        if rest.contains(&"Draining") || rest.contains(&"Gone") {
            let first = self.announced.entry(name.into()).or_insert(at);
            *first = at.min(*first);
        }
    }

    fn sent(&mut self, at: u64, rest: &[&str]) {
        let to = rest.iter().find_map(|word| word.strip_prefix("to="));
        let name = to.and_then(|number| self.names.get(number));
        self.calls.extend(name.map(|name| (at, name.clone())));
    }

    /// How long after its host was first announced each call that came after went out, in milliseconds, longest first.
    fn late(&self) -> Vec<u64> {
        let after = |(at, name): &(u64, String)| at.checked_sub(*self.announced.get(name)?);
        let mut late: Vec<u64> = self.calls.iter().filter_map(after).collect();
        late.sort_unstable_by(|a, b| b.cmp(a));
        late
    }
}

impl Counts {
    /// Books a line; any other than one of a call is passed over.
    pub fn line(&mut self, line: &str, step: u64) {
        let mut words = line
            .split_ascii_whitespace()
            .skip_while(|word| *word != "fleet")
            .skip(1);
        let (Some(at), Some(word)) = (
            words.next().and_then(|at| at.parse::<u64>().ok()),
            words.next(),
        ) else {
            return;
        };
        let first = *self.first.get_or_insert(at);
        if word == "start" {
            self.starts += 1;
            // Numbers are each process's own.
            self.leaving.names.clear();
            return;
        }
        let Some(destination) = words.next().and_then(|number| number.parse::<u16>().ok()) else {
            return;
        };
        let rest: Vec<&str> = words.collect();
        if word == "list" {
            self.list_lines += 1;
            self.leaving.listed(at, &rest);
            let weight = rest
                .iter()
                .find_map(|word| word.strip_prefix("weight=")?.parse().ok());
            if let Some(weight) = weight {
                self.told.entry(destination).or_insert(weight);
            }
            return;
        }
        let span = self
            .spans
            .entry((destination, at.saturating_sub(first) / step))
            .or_default();
        match word {
            "arrived" => span.arrived += 1,
            "restored" => span.restored += 1,
            "opened" => span.opened += 1,
            "refuse" | "fail" => span.given_up += 1,
            "send" => {
                span.calls += 1;
                span.trials += u64::from(rest.contains(&"half"));
                self.leaving.sent(at, &rest);
            }
            "ended" => {
                match rest.get(1) {
                    Some(&"Ok") => span.good += 1,
                    Some(&"Full") => {
                        span.refused += 1;
                        span.waits += u64::from(!rest.contains(&"wait=0"));
                    }
                    _ => span.failed += 1,
                }
                let left = rest.iter().find_map(|word| word.strip_prefix("report=["));
                let left =
                    left.and_then(|text| text.trim_end_matches([',', ']']).parse::<f64>().ok());
                if let Some(left) = left {
                    span.left = (span.left.0 + left, span.left.1 + 1);
                }
            }
            _ => {}
        }
    }

    fn sum(&self) -> Span {
        let mut all = Span::default();
        for span in self.spans.values() {
            all.arrived += span.arrived;
            all.calls += span.calls;
            all.trials += span.trials;
            all.good += span.good;
            all.refused += span.refused;
            all.waits += span.waits;
            all.failed += span.failed;
            all.opened += span.opened;
            all.given_up += span.given_up;
            all.restored += span.restored;
        }
        all
    }

    /// Spans, after one without a good call, until the destination serves nine tenths of what it is listed with.
    fn returns(&self, destination: u16, step: u64) -> Vec<u64> {
        let told = self.told.get(&destination).copied().unwrap_or(0.0) * step as f64 / 1000.0;
        let (mut since, mut all) = (None, Vec::new());
        for ((_, at), span) in self.spans.range((destination, 0)..=(destination, u64::MAX)) {
            if span.good == 0 && span.calls > 0 {
                since = Some(*at);
            } else if let Some(from) =
                since.filter(|_| told > 0.0 && span.good as f64 >= 0.9 * told)
            {
                all.push((at - from) * step);
                since = None;
            }
        }
        all
    }
}

/// Reads the logs in a folder and writes the tables.
pub fn run(logs: &Path, step: u64, brief: bool) -> Result<String, Error> {
    let bad = |e| Error::File(logs.into(), e);
    let mut texts = Vec::new();
    for entry in std::fs::read_dir(logs).map_err(bad)? {
        let path = entry.map_err(bad)?.path();
        if path.extension().is_some_and(|end| end == "log") {
            let text = std::fs::read(&path).map_err(|e| Error::File(path.clone(), e))?;
            texts.push(String::from_utf8_lossy(&text).into_owned());
        }
    }
    // All moments count from the first line of all.
    let mut counts = Counts::default();
    let moments = texts
        .iter()
        .flat_map(|text| text.lines())
        .filter_map(|line| {
            line.split_ascii_whitespace()
                .skip_while(|word| *word != "fleet")
                .nth(1)?
                .parse::<u64>()
                .ok()
        });
    counts.first = moments.min();
    texts
        .iter()
        .flat_map(|text| text.lines())
        .for_each(|line| counts.line(line, step));
    if counts.spans.is_empty() {
        return Err(Error::NoLines(logs.into()));
    }
    Ok(shown(&counts, step, brief))
}

fn shown(counts: &Counts, step: u64, brief: bool) -> String {
    let mut text = String::new();
    let destinations: Vec<u16> = counts.told.keys().copied().collect();
    for destination in destinations.iter().filter(|_| !brief) {
        let told = counts.told[destination];
        text += &format!(
            "destination {destination}, takes {told} calls a second; each row {step} ms\n"
        );
        let mut table = Table::new();
        table.load_preset(presets::NOTHING).set_header([
            "at s", "arrived", "calls", "trials", "good", "refused", "waits", "failed", "opened",
            "given up", "left",
        ]);
        for ((_, at), span) in counts
            .spans
            .range((*destination, 0)..=(*destination, u64::MAX))
        {
            let left = if span.left.1 > 0 {
                span.left.0 / span.left.1 as f64
            } else {
                0.0
            };
            let mut row = vec![format!("{:.1}", (at * step) as f64 / 1000.0)];
            let numbers = [
                span.arrived,
                span.calls,
                span.trials,
                span.good,
                span.refused,
                span.waits,
                span.failed,
                span.opened,
                span.given_up,
            ];
            row.extend(numbers.iter().map(u64::to_string));
            row.push(format!("{left:.2}"));
            table.add_row(row);
        }
        text += &format!("{table}\n\n");
    }
    let (all, late) = (counts.sum(), counts.leaving.late());
    let arrived = all.arrived.max(1) as f64;
    let returns: Vec<u64> = destinations
        .iter()
        .flat_map(|d| counts.returns(*d, step))
        .collect();
    let mean = returns.iter().sum::<u64>() as f64 / returns.len().max(1) as f64 / 1000.0;
    text += &format!(
        "{} starts, {} messages came ({} from journals), {} given up\n\
         {} calls ({} trials): {} good, {} refused ({:.2} a message; {} with a wait), {} failed\n\
         {} connections opened ({:.2} a call), {} lines of lists\n\
         {} spells without a good call; {mean:.1} s in the mean from their end to nine tenths of the limit\n\
         {} hosts announced as leaving; {} calls to them after that, the last ones {:?} ms after",
        counts.starts,
        all.arrived,
        all.restored,
        all.given_up,
        all.calls,
        all.trials,
        all.good,
        all.refused,
        all.refused as f64 / arrived,
        all.waits,
        all.failed,
        all.opened,
        all.opened as f64 / all.calls.max(1) as f64,
        counts.list_lines,
        returns.len(),
        counts.leaving.announced.len(),
        late.len(),
        &late[..late.len().min(5)],
    );
    text
}

#[cfg(test)]
mod tests {
    use super::*;

    const LOG: &str = "\
0.000 fleet 1000 start siblings=100 slots=5 held=32 cold=10000
0.000 fleet 1000 list 7 host=1 kind=0 weight=2 Ready
discovery: a line that is no call
0.1 fleet 1100 arrived 7 1 class=0 left=11999 again=0
0.1 fleet 1100 send 7 1 held=1 closed pace=23.33 gap=0
0.2 fleet 1150 opened 7 1
0.2 fleet 1150 ended 7 1 Full wait=300 took=50 report=[0.25, 2.0]
0.9 fleet 2600 send 7 1 held=1 half pace=23.33 gap=0
0.9 fleet 2700 ended 7 1 Ok wait=0 took=50 report=[0.75, 2.0]
1.0 fleet 2800 ended 7 2 Ok wait=0 took=50 report=[]
1.0 fleet x ended 7 2 Ok
1.0 fleet 2900 ended
";

    #[test]
    fn calls_to_a_host_are_counted_from_its_first_announcement_by_any_relay() {
        let mut counts = Counts::default();
        let one = "fleet 1000 start\nfleet 1001 list 7 host=3 kind=0 weight=2 Ready name=s-a\n\
            fleet 2000 list 7 host=3 kind=0 weight=2 Draining name=s-a\nfleet 2100 send 7 1 held=1 to=3 closed";
        let two = "fleet 900 start\nfleet 901 list 7 host=1 kind=0 weight=2 Ready name=s-a\n\
            fleet 901 list 7 host=3 kind=0 weight=2 Ready name=s-b\nfleet 1500 send 7 1 held=1 to=1 closed\n\
            fleet 2700 send 7 1 held=1 to=1 closed\nfleet 2800 send 7 1 held=1 to=3 closed\n\
            fleet 2900 start\nfleet 3000 send 7 1 held=1 to=1 closed";
        [one, two]
            .iter()
            .flat_map(|log| log.lines())
            .for_each(|line| counts.line(line, 1000));
        assert_eq!(counts.leaving.late(), [700, 100]);
        assert!(shown(&counts, 1000, true)
            .contains("1 hosts announced as leaving; 2 calls to them after that"));
    }

    #[test]
    fn lines_are_counted_by_destination_and_span_and_others_passed_over() {
        let mut counts = Counts::default();
        LOG.lines().for_each(|line| counts.line(line, 1000));
        let (first, second) = (&counts.spans[&(7, 0)], &counts.spans[&(7, 1)]);
        assert_eq!(
            (
                first.arrived,
                first.calls,
                first.trials,
                first.refused,
                first.waits,
                first.opened
            ),
            (1, 1, 0, 1, 1, 1)
        );
        assert_eq!(
            (second.calls, second.trials, second.good, second.left),
            (1, 1, 2, (0.75, 1))
        );
        assert_eq!(
            (counts.starts, counts.list_lines, counts.told[&7]),
            (1, 1, 2.0)
        );
        assert_eq!(counts.spans.len(), 2);
        assert_eq!(counts.returns(7, 1000), [1000]);
        let text = shown(&counts, 1000, false);
        assert!(
            text.contains("1 refused (1.00 a message; 1 with a wait)"),
            "{text}"
        );
    }
}
