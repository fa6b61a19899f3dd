//! Reads request headers as text.

use axum::http::{HeaderMap, HeaderName};

use crate::problem::Problem;

/// Maximum length of an idempotency key or a request id, in characters.
const MAX_IDENTIFIER_CHARS: usize = 128;

/// A header's value; none if the header is absent.
///
/// # Errors
///
/// A [`Problem`] with status 400 if the value contains other than visible ASCII characters.
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, Problem> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    value
        .to_str()
        .map(Some)
        .map_err(|_| Problem::malformed(format!("{name} is no text")))
}

/// The value of a header with an identifier that the client chooses; none if the header is absent.
///
/// # Errors
///
/// A [`Problem`] with status 400 if the value is not text, is empty or is too long.
pub fn identifier<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
) -> Result<Option<&'a str>, Problem> {
    match text(headers, name)? {
        Some(value) if value.is_empty() || value.len() > MAX_IDENTIFIER_CHARS => {
            let detail = format!("{name} is not 1 to {MAX_IDENTIFIER_CHARS} characters");
            Err(Problem::malformed(detail))
        }
        value => Ok(value),
    }
}
