//! Parsing of a relay's call log, which the operator file's `log_calls` writes.

/// A line of the call log.
#[derive(Debug, PartialEq)]
pub(super) struct LogLine<'a> {
    /// When it was written, in milliseconds.
    pub(super) time_ms: u64,
    pub(super) event: LogEvent<'a>,
}

/// What a line is about.
#[derive(Debug, PartialEq)]
pub(super) enum LogEvent<'a> {
    /// The relay's process has started.
    ProcessStarted,
    /// Discovery has listed a host.
    HostListed(HostListing<'a>),
    /// Something happened at a destination.
    Traffic {
        destination: u16,
        event: TrafficEvent<'a>,
    },
    /// Anything else.
    Unrecognized,
}

/// A host as discovery lists it.
#[derive(Debug, PartialEq)]
pub(super) struct HostListing<'a> {
    pub(super) destination: u16,
    /// The host's number, which is valid in one process only.
    pub(super) number: Option<&'a str>,
    /// The host's name, if it is known.
    pub(super) name: Option<&'a str>,
    /// Calls per second that the host takes.
    pub(super) weight: Option<f64>,
    /// Whether the host is announced as draining or removed.
    pub(super) is_leaving: bool,
}

/// What happened at a destination.
#[derive(Debug, PartialEq)]
pub(super) enum TrafficEvent<'a> {
    MessageArrived,
    /// A message was restored from the journal.
    MessageRestored,
    /// A message was rejected or failed for good.
    MessageAbandoned,
    ConnectionOpened,
    AttemptSent {
        /// The number of the host.
        host: Option<&'a str>,
        /// Whether a circuit breaker that is not closed let the attempt through.
        is_probe: bool,
    },
    AttemptEnded {
        outcome: AttemptOutcome,
        /// The remaining allowance that the host reported.
        allowance: Option<f64>,
    },
    /// Anything else.
    Other,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum AttemptOutcome {
    Delivered,
    Rejected { has_retry_after: bool },
    Failed,
}

impl<'a> LogLine<'a> {
    /// Parses a line; none if it is no line of the call log.
    pub(super) fn parse(line: &'a str) -> Option<Self> {
        let mut words = words(line);
        let time_ms = words.next()?.parse().ok()?;
        let word = words.next()?;
        Some(LogLine {
            time_ms,
            event: parse_event(word, words),
        })
    }
}

/// When a line of the call log was written, also if the rest of the line is missing.
pub(super) fn parse_time_ms(line: &str) -> Option<u64> {
    words(line).next()?.parse().ok()
}

/// The words after the mark of a call log's line; none in another line.
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

/// The outcome follows the message's number.
fn parse_outcome(fields: &[&str]) -> AttemptOutcome {
    match fields.get(1) {
        Some(&"Ok") => AttemptOutcome::Delivered,
        Some(&"Full") => AttemptOutcome::Rejected {
            has_retry_after: !fields.contains(&"wait=0"),
        },
        _ => AttemptOutcome::Failed,
    }
}

/// The first number of the host's load report, a list that may be empty.
fn parse_allowance(fields: &[&str]) -> Option<f64> {
    value_of("report=[", fields)?
        .trim_end_matches([',', ']'])
        .parse()
        .ok()
}

/// What follows a prefix in the first field that has it.
fn value_of<'a>(prefix: &str, fields: &[&'a str]) -> Option<&'a str> {
    fields.iter().find_map(|field| field.strip_prefix(prefix))
}
