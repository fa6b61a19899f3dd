//! Times of undeliverable messages as text (RFC 3339).

use std::time::UNIX_EPOCH;

use tenancy::audit::rfc3339;
use undeliverable::Micros;

use crate::problem::Problem;

const MICROS_PER_MILLI: Micros = 1000;

/// Formats a time with millisecond precision.
pub fn format(time: Micros) -> String {
    rfc3339(time / MICROS_PER_MILLI)
}

/// Parses the time in the parameter of this name.
///
/// # Errors
///
/// A [`Problem`] with status 400 if the text is not a time in UTC since 1970.
pub fn parse(parameter: &str, text: &str) -> Result<Micros, Problem> {
    humantime::parse_rfc3339(text)
        .ok()
        .and_then(|time| time.duration_since(UNIX_EPOCH).ok())
        .map(|since_epoch| since_epoch.as_micros() as Micros)
        .ok_or_else(|| {
            let detail = format!("{parameter} is no time such as 2026-12-01T08:00:00Z");
            Problem::malformed(detail)
        })
}
