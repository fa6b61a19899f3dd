//! Tests of the statistics from call logs.

use super::counts::{FleetCounts, Mean};
use super::report::{render, ReportDetail};

const INTERVAL_MS: u64 = 1000;

/// The events of [`LEGACY_LOG`] in the form that relays write.
const LOG: &str = "\
0.000 call_log: process_started time_ms=1000 replicas=100 max_calls=5 max_queued=32 warm_up_ms=10000 discovery=push
0.000 call_log: host_listed time_ms=1000 destination=7 host=1 kind=0 weight=2 state=ready name=s-a
discovery: watch_ended address=127.0.0.1:1 error=a line that is no call
0.1 call_log: message_arrived time_ms=1100 destination=7 message=1 class=0 time_left_ms=11999 resubmitted=0
0.1 call_log: attempt_sent time_ms=1100 destination=7 message=1 queued=1 host=1 breaker=closed pace=23.33 backoff_ms=0
0.2 call_log: connection_opened time_ms=1150 destination=7 message=1
0.2 call_log: attempt_ended time_ms=1150 destination=7 message=1 outcome=rejected retry_after_ms=300 elapsed_ms=50 report=0.25,2
0.9 call_log: attempt_sent time_ms=2600 destination=7 message=1 queued=1 host=1 breaker=half_open pace=23.33 backoff_ms=0
0.9 call_log: attempt_ended time_ms=2700 destination=7 message=1 outcome=delivered retry_after_ms=0 elapsed_ms=50 report=0.75,2
1.0 call_log: attempt_ended time_ms=2800 destination=7 message=2 outcome=delivered retry_after_ms=0 elapsed_ms=50 report=-
1.0 call_log: attempt_ended time_ms=x destination=7 message=2 outcome=delivered
1.0 call_log: attempt_ended time_ms=2900
";

/// A log in the legacy form: `fleet`, the time and a word.
const LEGACY_LOG: &str = "\
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
    assert_late_calls(&counts_of(&[first, second]));
}

#[test]
fn calls_to_a_leaving_host_are_late_in_the_form_of_events_as_well() {
    let first = "call_log: process_started time_ms=1000\n\
        call_log: host_listed time_ms=1001 destination=7 host=3 kind=0 weight=2 state=ready name=s-a\n\
        call_log: host_listed time_ms=2000 destination=7 host=3 kind=0 weight=2 state=draining name=s-a\n\
        call_log: attempt_sent time_ms=2100 destination=7 message=1 queued=1 host=3 breaker=closed";
    let second = "call_log: process_started time_ms=900\n\
        call_log: host_listed time_ms=901 destination=7 host=1 kind=0 weight=2 state=ready name=s-a\n\
        call_log: host_listed time_ms=901 destination=7 host=3 kind=0 weight=2 state=ready name=s-b\n\
        call_log: attempt_sent time_ms=1500 destination=7 message=1 queued=1 host=1 breaker=closed\n\
        call_log: attempt_sent time_ms=2700 destination=7 message=1 queued=1 host=1 breaker=closed\n\
        call_log: attempt_sent time_ms=2800 destination=7 message=1 queued=1 host=3 breaker=closed\n\
        call_log: process_started time_ms=2900\n\
        call_log: attempt_sent time_ms=3000 destination=7 message=1 queued=1 host=1 breaker=closed";
    assert_late_calls(&counts_of(&[first, second]));
}

fn assert_late_calls(counts: &FleetCounts) {
    assert_eq!(counts.departures.late_calls(), [700, 100]);
    assert!(render(counts, ReportDetail::TotalsOnly)
        .contains("1 hosts announced as leaving; 2 calls to them after that"));
}

#[test]
fn lines_are_counted_by_destination_and_interval_and_other_lines_ignored() {
    assert_counted(&counts_of(&[LOG]));
}

#[test]
fn lines_of_earlier_versions_are_counted_alike() {
    assert_counted(&counts_of(&[LEGACY_LOG]));
}

fn assert_counted(counts: &FleetCounts) {
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
