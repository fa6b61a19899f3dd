//! Parses lines in the form of earlier versions: `fleet`, the time in milliseconds, a word that names the event, and the
//! event's values.

use super::{value_of, AttemptOutcome, HostListing, LogEvent, LogLine, TrafficEvent};

/// Parses a line; `None` if it is not of this form.
pub(super) fn parse(line: &str) -> Option<LogLine<'_>> {
    let mut words = words(line);
    let time_ms = words.next()?.parse().ok()?;
    let word = words.next()?;
    Some(LogLine {
        time_ms,
        event: parse_event(word, words),
    })
}

/// The time of a line, in milliseconds. The rest of the line may be missing.
pub(super) fn parse_time_ms(line: &str) -> Option<u64> {
    words(line).next()?.parse().ok()
}

/// The words after the first `fleet` of a line, which marks a line of the call log; none if the line has no such word.
fn words(line: &str) -> impl Iterator<Item = &str> {
    line.split_ascii_whitespace()
        .skip_while(|word| *word != "fleet")
        .skip(1)
}

fn parse_event<'a>(word: &str, mut words: impl Iterator<Item = &'a str>) -> LogEvent<'a> {
    if word == "start" {
        return LogEvent::ProcessStarted;
    }
    let Some(destination) = words.next().and_then(|number| number.parse().ok()) else {
        return LogEvent::Unrecognized;
    };
    let fields: Vec<&str> = words.collect();
    match word {
        "list" => LogEvent::HostListed(parse_listing(destination, &fields)),
        _ => LogEvent::Traffic {
            destination,
            event: parse_traffic(word, &fields),
        },
    }
}

fn parse_listing<'a>(destination: u16, fields: &[&'a str]) -> HostListing<'a> {
    HostListing {
        destination,
        number: value_of("host=", fields),
        name: value_of("name=", fields).filter(|name| !name.is_empty()),
        weight: fields
            .iter()
            .find_map(|field| field.strip_prefix("weight=")?.parse().ok()),
        is_leaving: fields.contains(&"Draining") || fields.contains(&"Gone"),
    }
}

fn parse_traffic<'a>(word: &str, fields: &[&'a str]) -> TrafficEvent<'a> {
    match word {
        "arrived" => TrafficEvent::MessageArrived,
        "restored" => TrafficEvent::MessageRestored,
        "refuse" | "fail" => TrafficEvent::MessageAbandoned,
        "opened" => TrafficEvent::ConnectionOpened,
        "send" => TrafficEvent::AttemptSent {
            host: value_of("to=", fields),
            is_probe: fields.contains(&"half"),
        },
        "ended" => TrafficEvent::AttemptEnded {
            outcome: parse_outcome(fields),
            allowance: parse_allowance(fields),
        },
        _ => TrafficEvent::Other,
    }
}

/// Parses the outcome, which follows the message's number.
fn parse_outcome(fields: &[&str]) -> AttemptOutcome {
    match fields.get(1) {
        Some(&"Ok") => AttemptOutcome::Delivered,
        Some(&"Full") => AttemptOutcome::Rejected {
            has_retry_after: !fields.contains(&"wait=0"),
        },
        _ => AttemptOutcome::Failed,
    }
}

/// The first number of the host's load report; `None` if the list is empty.
fn parse_allowance(fields: &[&str]) -> Option<f64> {
    value_of("report=[", fields)?
        .trim_end_matches([',', ']'])
        .parse()
        .ok()
}
