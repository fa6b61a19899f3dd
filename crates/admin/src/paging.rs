//! Pages of lists: their size, and the opaque cursors with which a client requests the next page.

use std::fmt::Display;
use std::str::FromStr;

use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;

use crate::problem::Problem;

/// Items per page if the request sets no limit.
const DEFAULT_PAGE_ITEMS: usize = 50;
/// Maximum number of items per page.
const MAX_PAGE_ITEMS: usize = 200;
/// Prefix of the position in a decoded cursor.
const CURSOR_VERSION: &str = "v1:";

/// The number of items per page for the query parameter `limit`.
///
/// # Errors
///
/// A [`Problem`] with status 400 if the limit is out of range.
pub fn page_size(limit: Option<usize>) -> Result<usize, Problem> {
    match limit {
        None => Ok(DEFAULT_PAGE_ITEMS),
        Some(limit) if (1..=MAX_PAGE_ITEMS).contains(&limit) => Ok(limit),
        Some(_) => {
            let detail = format!("limit is not from 1 to {MAX_PAGE_ITEMS}");
            Err(Problem::malformed(detail))
        }
    }
}

/// The cursor for a position in a list.
pub fn encode_cursor(position: impl Display) -> String {
    URL_SAFE_NO_PAD.encode(format!("{CURSOR_VERSION}{position}"))
}

/// The position of a cursor, as text; none if there is no cursor.
///
/// # Errors
///
/// A [`Problem`] with status 400 if the cursor was not made by the API.
pub fn decode_cursor(cursor: Option<String>) -> Result<Option<String>, Problem> {
    let Some(cursor) = cursor else {
        return Ok(None);
    };
    decoded(&cursor)
        .map(Some)
        .ok_or_else(|| Problem::malformed("the cursor is none of this API's"))
}

/// The position of a cursor of a list whose positions are numbers; none if there is no cursor.
///
/// # Errors
///
/// A [`Problem`] with status 400 if the cursor was not made by the API for such a list.
pub fn decode_numeric_cursor<N: FromStr>(cursor: Option<String>) -> Result<Option<N>, Problem> {
    decode_cursor(cursor)?
        .map(|position| position.parse())
        .transpose()
        .map_err(|_| Problem::malformed("the cursor is none of this list's"))
}

fn decoded(cursor: &str) -> Option<String> {
    let bytes = URL_SAFE_NO_PAD.decode(cursor).ok()?;
    let text = String::from_utf8(bytes).ok()?;
    text.strip_prefix(CURSOR_VERSION).map(String::from)
}
