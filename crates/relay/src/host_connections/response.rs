//! Derives the outcome of an attempt from the head of the host's response, without I/O.

#[cfg(test)]
mod tests;

use hyper::Response;
use policy::types::{AttemptOutcome, Micros};

/// The host's current load, as free text.
const LOAD_REPORT_HEADER: &str = "endpoint-load-metrics";

/// With status 429: milliseconds to wait before the next request.
const RETRY_AFTER_HEADER: &str = "x-backoff-ms";

/// With status 503 and the value 1: the host's own egress is at capacity.
const EGRESS_FULL_HEADER: &str = "x-egress-full";

/// Maximum length of a load report; a longer one is truncated.
const LOAD_REPORT_MAX_CHARS: usize = 256;

/// Maximum wait (one day); a longer one is reduced to this.
const RETRY_AFTER_MAX_MILLIS: u64 = 86_400_000;

/// The result of an attempt as reported by its response.
#[derive(Debug, PartialEq)]
pub(super) struct ResponseReport {
    pub(super) outcome: AttemptOutcome,
    /// The message needs no further attempt, regardless of the outcome.
    pub(super) is_final: bool,
    /// The host's load report as sent, up to [`LOAD_REPORT_MAX_CHARS`] characters; `None` if there is none.
    pub(super) load_report: Option<String>,
}

/// Interprets a response's status and headers according to the table in the protocol's description.
///
/// After a response that the table does not list, it is unknown whether the message was executed.
pub(super) fn interpret<B>(response: &Response<B>) -> ResponseReport {
    let load_report = header(response, LOAD_REPORT_HEADER)
        .map(|text| text.chars().take(LOAD_REPORT_MAX_CHARS).collect());
    let (outcome, is_final) = match response.status().as_u16() {
        200 => (AttemptOutcome::Delivered, true),
        410 => (AttemptOutcome::Obsolete, true),
        429 => (too_many_requests(response), false),
        503 => (service_unavailable(response), false),
        504 => (AttemptOutcome::Obsolete, false),
        _ => (AttemptOutcome::Error, false),
    };
    ResponseReport {
        outcome,
        is_final,
        load_report,
    }
}

fn too_many_requests<B>(response: &Response<B>) -> AttemptOutcome {
    let wait = header(response, RETRY_AFTER_HEADER).and_then(|text| text.trim().parse().ok());
    match wait {
        Some(millis) => AttemptOutcome::Rejected {
            retry_after: micros_to_wait(millis),
        },
        None => AttemptOutcome::Error,
    }
}

fn service_unavailable<B>(response: &Response<B>) -> AttemptOutcome {
    if header(response, EGRESS_FULL_HEADER).map(str::trim) == Some("1") {
        AttemptOutcome::Obsolete
    } else {
        AttemptOutcome::Rejected { retry_after: 0 }
    }
}

fn micros_to_wait(millis: u64) -> Micros {
    millis.min(RETRY_AFTER_MAX_MILLIS) * 1000
}

/// The value of a header; `None` if the header is missing or not visible ASCII.
fn header<'a, B>(response: &'a Response<B>, name: &str) -> Option<&'a str> {
    response
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok())
}
