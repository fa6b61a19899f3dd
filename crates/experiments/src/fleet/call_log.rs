//! Parsing of a relay's call log, which the operator file's `log_calls` writes: in the form of events that relays write now, and
//! in the form of earlier versions, whose logs are still counted.

mod event_form;
mod legacy_form;

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
    /// Parses a line of either form; none if it is no line of the call log.
    pub(super) fn parse(line: &'a str) -> Option<Self> {
        event_form::parse(line).or_else(|| legacy_form::parse(line))
    }
}

/// When a line of the call log was written, also if the rest of the line is missing.
pub(super) fn parse_time_ms(line: &str) -> Option<u64> {
    event_form::parse_time_ms(line).or_else(|| legacy_form::parse_time_ms(line))
}

/// What follows a prefix in the first field that has it.
fn value_of<'a>(prefix: &str, fields: &[&'a str]) -> Option<&'a str> {
    fields.iter().find_map(|field| field.strip_prefix(prefix))
}
