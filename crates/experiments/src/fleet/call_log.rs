//! Parses a relay's call log, which `log_calls` in the operator file enables. Relays write it in the form of events; the
//! form of earlier versions is also supported, so that their logs can be counted.

mod event_form;
mod legacy_form;

/// A line of the call log.
#[derive(Debug, PartialEq)]
pub(super) struct LogLine<'a> {
    /// Time at which the line was written, in milliseconds.
    pub(super) time_ms: u64,
    pub(super) event: LogEvent<'a>,
}

/// The event that a line reports.
#[derive(Debug, PartialEq)]
pub(super) enum LogEvent<'a> {
    /// The relay's process has started.
    ProcessStarted,
    /// Discovery has listed a host to the relay.
    HostListed(HostListing<'a>),
    /// An event at a destination.
    Traffic {
        destination: u16,
        event: TrafficEvent<'a>,
    },
    /// Any other event without a destination.
    Unrecognized,
}

/// A host as discovery lists it.
#[derive(Debug, PartialEq)]
pub(super) struct HostListing<'a> {
    pub(super) destination: u16,
    /// The host's number, which is valid only within one process.
    pub(super) number: Option<&'a str>,
    /// The host's name, if the line has it.
    pub(super) name: Option<&'a str>,
    /// Calls per second that the host accepts.
    pub(super) weight: Option<f64>,
    /// Whether the host is announced as draining or removed.
    pub(super) is_leaving: bool,
}

/// An event at a destination.
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
        /// Whether a half-open circuit breaker let the attempt through.
        is_probe: bool,
    },
    AttemptEnded {
        outcome: AttemptOutcome,
        /// The remaining allowance that the host reported.
        allowance: Option<f64>,
    },
    /// Any other event.
    Other,
}

/// The outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum AttemptOutcome {
    Delivered,
    Rejected { has_retry_after: bool },
    Failed,
}

impl<'a> LogLine<'a> {
    /// Parses a line of either form; `None` if it is not a line of the call log.
    pub(super) fn parse(line: &'a str) -> Option<Self> {
        event_form::parse(line).or_else(|| legacy_form::parse(line))
    }
}

/// The time of a line of the call log, in milliseconds. The rest of the line may be missing.
pub(super) fn parse_time_ms(line: &str) -> Option<u64> {
    event_form::parse_time_ms(line).or_else(|| legacy_form::parse_time_ms(line))
}

/// The text that follows a prefix in the first field that starts with it.
fn value_of<'a>(prefix: &str, fields: &[&'a str]) -> Option<&'a str> {
    fields.iter().find_map(|field| field.strip_prefix(prefix))
}
