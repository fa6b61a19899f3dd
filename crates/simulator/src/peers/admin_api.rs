//! A client of the administration API, with one request per connection.

use std::io;
use std::time::Duration;

use bytes::BytesMut;
use runtime::Runtime;
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::PeerContext;
use crate::hosted::ADMIN_ADDRESS;

/// Timeout for connecting, sending a request and receiving its response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of a response in bytes.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// The body of a request.
#[derive(Clone)]
pub(super) struct Body {
    pub content_type: &'static str,
    pub text: String,
}

/// A request to the administration API.
pub(super) struct ApiRequest<'a> {
    /// The bearer token.
    pub token: &'a str,
    pub method: &'a str,
    pub path: &'a str,
    /// Additional header lines, each terminated by CRLF.
    pub headers: &'a str,
    pub body: Option<&'a Body>,
}

/// A response of the administration API.
pub(super) struct ApiResponse {
    pub status: u16,
    pub etag: Option<String>,
    /// Whether it is the stored one of an earlier request with the same idempotency key.
    pub is_replayed: bool,
    /// The body; null if it is not valid JSON.
    pub body: Value,
}

impl ApiRequest<'_> {
    /// Sends the request and waits for the response.
    ///
    /// # Errors
    ///
    /// Returns the error of the connection or of the parser, or a timeout.
    pub async fn send<R: Runtime>(&self, context: &PeerContext<R>) -> io::Result<ApiResponse> {
        let text = self.text();
        let exchange = async {
            let mut stream = context.runtime.connect(ADMIN_ADDRESS).await?;
            stream.write_all(text.as_bytes()).await?;
            let mut received = BytesMut::new();
            loop {
                if let Some(response) = parse(&received)? {
                    return Ok(response);
                }
                if received.len() > MAX_RESPONSE_BYTES || stream.read_buf(&mut received).await? == 0
                {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            }
        };
        context.runtime.timeout(RESPONSE_TIMEOUT, exchange).await?
    }

    /// Returns the request as sent on the wire.
    fn text(&self) -> String {
        let ApiRequest {
            token,
            method,
            path,
            headers,
            body,
        } = self;
        let head =
            format!("{method} {path} HTTP/1.1\r\nHost: relay\r\nAuthorization: Bearer {token}\r\n");
        let (body_headers, body) = body.map_or((String::new(), ""), |body| {
            let headers = format!(
                "Content-Type: {}\r\nContent-Length: {}\r\n",
                body.content_type,
                body.text.len()
            );
            (headers, body.text.as_str())
        });
        format!("{head}Connection: close\r\n{headers}{body_headers}\r\n{body}")
    }
}

/// Parses a response; none if it is not complete yet.
fn parse(text: &[u8]) -> io::Result<Option<ApiResponse>> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut parsed = httparse::Response::new(&mut headers);
    let httparse::Status::Complete(head) = parsed.parse(text).map_err(io::Error::other)? else {
        return Ok(None);
    };
    let header = |name: &str| {
        let mut headers = parsed.headers.iter();
        let found = headers.find(|header| header.name.eq_ignore_ascii_case(name));
        found.map(|header| String::from_utf8_lossy(header.value).into_owned())
    };
    let length = header("content-length")
        .and_then(|length| length.parse().ok())
        .unwrap_or(0);
    let Some(body) = text.get(head..head + length) else {
        return Ok(None);
    };
    Ok(Some(ApiResponse {
        status: parsed.code.unwrap_or(0),
        etag: header("etag"),
        is_replayed: header("idempotent-replayed").is_some(),
        body: serde_json::from_slice(body).unwrap_or(Value::Null),
    }))
}
