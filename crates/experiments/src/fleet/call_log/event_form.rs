//! Parses lines in the form of events: `call_log: event time_ms=T key=value`, with the keys in any order.

use super::{value_of, AttemptOutcome, HostListing, LogEvent, LogLine, TrafficEvent};

/// The component that marks a line of the call log.
const COMPONENT: &str = "call_log:";

/// Parses a line; `None` if it is not of this form.
pub(super) fn parse(line: &str) -> Option<LogLine<'_>> {
    let (event, fields) = event_and_fields(line)?;
    let time_ms = number("time_ms=", &fields)?;
    Some(LogLine {
        time_ms,
        event: parse_event(event, &fields),
    })
}

/// The time of a line, in milliseconds. The rest of the line may be missing.
pub(super) fn parse_time_ms(line: &str) -> Option<u64> {
    let (_, fields) = event_and_fields(line)?;
    number("time_ms=", &fields)
}

fn event_and_fields(line: &str) -> Option<(&str, Vec<&str>)> {
    let mut words = line
        .split_ascii_whitespace()
        .skip_while(|word| *word != COMPONENT)
        .skip(1);
    let event = words.next()?;
    Some((event, words.collect()))
}

fn parse_event<'a>(event: &str, fields: &[&'a str]) -> LogEvent<'a> {
    if event == "process_started" {
        return LogEvent::ProcessStarted;
    }
    let Some(destination) = number("destination=", fields) else {
        return LogEvent::Unrecognized;
    };
    match event {
        "host_listed" => LogEvent::HostListed(parse_listing(destination, fields)),
        _ => LogEvent::Traffic {
            destination,
            event: parse_traffic(event, fields),
        },
    }
}

fn parse_listing<'a>(destination: u16, fields: &[&'a str]) -> HostListing<'a> {
    HostListing {
        destination,
        number: value_of("host=", fields),
        name: value_of("name=", fields).filter(|name| !name.is_empty()),
        weight: number("weight=", fields),
        is_leaving: matches!(value_of("state=", fields), Some("draining" | "removed")),
    }
}

fn parse_traffic<'a>(event: &str, fields: &[&'a str]) -> TrafficEvent<'a> {
    match event {
        "message_arrived" => TrafficEvent::MessageArrived,
        "message_restored" => TrafficEvent::MessageRestored,
        "message_rejected" | "message_failed" => TrafficEvent::MessageAbandoned,
        "connection_opened" => TrafficEvent::ConnectionOpened,
        "attempt_sent" => TrafficEvent::AttemptSent {
            host: value_of("host=", fields),
            is_probe: fields.contains(&"breaker=half_open"),
        },
        "attempt_ended" => TrafficEvent::AttemptEnded {
            outcome: parse_outcome(fields),
            allowance: parse_allowance(fields),
        },
        _ => TrafficEvent::Other,
    }
}

fn parse_outcome(fields: &[&str]) -> AttemptOutcome {
    match value_of("outcome=", fields) {
        Some("delivered") => AttemptOutcome::Delivered,
        Some("rejected") => AttemptOutcome::Rejected {
            has_retry_after: value_of("retry_after_ms=", fields) != Some("0"),
        },
        _ => AttemptOutcome::Failed,
    }
}

/// The first value of the host's load report; `None` if there is no report.
fn parse_allowance(fields: &[&str]) -> Option<f64> {
    let report = value_of("report=", fields)?;
    report.split(',').next()?.parse().ok()
}

fn number<N: std::str::FromStr>(prefix: &str, fields: &[&str]) -> Option<N> {
    value_of(prefix, fields)?.parse().ok()
}
