//! Tests of the counts over call logs.

use super::counts::{FleetCounts, Mean};
use super::report::{render, ReportDetail};

const INTERVAL_MS: u64 = 1000;

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

fn counts_of(logs: &[&str]) -> FleetCounts {
    let mut counts = FleetCounts::new(INTERVAL_MS);
    logs.iter()
        .flat_map(|log| log.lines())
        .for_each(|line| counts.record_line(line));
    counts
}

#[test]
fn calls_to_a_leaving_host_are_late_from_its_first_announcement_by_any_relay() {
    let first = "fleet 1000 start\nfleet 1001 list 7 host=3 kind=0 weight=2 Ready name=s-a\n\
        fleet 2000 list 7 host=3 kind=0 weight=2 Draining name=s-a\nfleet 2100 send 7 1 held=1 to=3 closed";
    let second = "fleet 900 start\nfleet 901 list 7 host=1 kind=0 weight=2 Ready name=s-a\n\
        fleet 901 list 7 host=3 kind=0 weight=2 Ready name=s-b\nfleet 1500 send 7 1 held=1 to=1 closed\n\
        fleet 2700 send 7 1 held=1 to=1 closed\nfleet 2800 send 7 1 held=1 to=3 closed\n\
        fleet 2900 start\nfleet 3000 send 7 1 held=1 to=1 closed";
    let counts = counts_of(&[first, second]);
    assert_eq!(counts.departures.late_calls(), [700, 100]);
    assert!(render(&counts, ReportDetail::TotalsOnly)
        .contains("1 hosts announced as leaving; 2 calls to them after that"));
}

#[test]
fn lines_are_counted_by_destination_and_interval_and_other_lines_ignored() {
    let counts = counts_of(&[LOG]);
    let intervals = &counts.destinations[&7];
    assert_eq!(counts.destinations.len(), 1);
    assert_eq!(intervals.len(), 2);
    let (first, second) = (&intervals[&0], &intervals[&1]);
    assert_eq!(
        (
            first.arrived,
            first.calls,
            first.probes,
            first.rejected,
            first.with_retry_after,
            first.connections_opened
        ),
        (1, 1, 0, 1, 1, 1)
    );
    assert_eq!((second.calls, second.probes, second.delivered), (1, 1, 2));
    assert_eq!(
        second.allowance,
        Mean {
            sum: 0.75,
            count: 1
        }
    );
    assert_eq!(
        (
            counts.process_starts,
            counts.host_listings,
            counts.listed_rates[&7]
        ),
        (1, 1, 2.0)
    );
    assert_eq!(counts.recovery_times_ms(7), [1000]);
}

#[test]
fn report_has_a_row_for_each_interval_and_the_totals() {
    let report = render(&counts_of(&[LOG]), ReportDetail::Intervals);
    assert!(
        report.contains("1 refused (1.00 a message; 1 with a wait)"),
        "{report}"
    );
}
