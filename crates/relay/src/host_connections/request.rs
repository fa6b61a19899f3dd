//! The HTTP request of a call.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_LENGTH, HOST};
use hyper::Request;

use super::Call;

const REQUEST_LINE: &str = "POST /hook HTTP/1.1\r\n";
const REQUEST_PATH: &str = "/hook";
const NAME_HEADER: HeaderName = HeaderName::from_static("x-trace-id");
const IDEMPOTENCY_KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");
const REMAINING_TIME_HEADER: HeaderName = HeaderName::from_static("x-expires-in-ms");

/// Length of `: ` and the line end of each header.
const HEADER_SEPARATORS_LEN: usize = 4;

/// Length of the empty line after the headers.
const HEAD_END_LEN: usize = 2;

/// A request and the number of bytes that the HTTP library writes for it.
pub(super) struct EncodedRequest {
    pub(super) request: Request<Full<Bytes>>,
    /// Size of the encoded request in bytes. If fewer bytes were written, the host cannot have executed the call.
    pub(super) size: u64,
}

/// Builds the request of a call that expires after `remaining`.
///
/// Returns `None` if the message's name or idempotency key can't be sent as a header.
pub(super) fn build(call: &Call, remaining: Duration) -> Option<EncodedRequest> {
    let headers = headers(call, remaining)?;
    let header_lines: usize = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + HEADER_SEPARATORS_LEN)
        .sum();
    let size = (REQUEST_LINE.len() + header_lines + HEAD_END_LEN + call.body.len()) as u64;
    let mut request = Request::post(REQUEST_PATH)
        .body(Full::new(call.body.clone()))
        .ok()?;
    *request.headers_mut() = headers;
    Some(EncodedRequest { request, size })
}

fn headers(call: &Call, remaining: Duration) -> Option<HeaderMap> {
    // Zero would mean that the message has already expired.
    let remaining_millis = remaining.as_millis().max(1);
    let mut headers = HeaderMap::new();
    headers.insert(HOST, header_value(&call.address.to_string())?);
    headers.insert(NAME_HEADER, header_value(&call.name)?);
    if let Some(key) = &call.key {
        headers.insert(IDEMPOTENCY_KEY_HEADER, header_value(key)?);
    }
    headers.insert(
        REMAINING_TIME_HEADER,
        header_value(&remaining_millis.to_string())?,
    );
    headers.insert(CONTENT_LENGTH, HeaderValue::from(call.body.len()));
    Some(headers)
}

fn header_value(text: &str) -> Option<HeaderValue> {
    HeaderValue::from_str(text).ok()
}
