//! HTTP client for the administration API, over TCP or a Unix socket, with one connection per request.

use std::fmt::Display;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, AUTHORIZATION, CONTENT_TYPE, ETAG, HOST};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::{TcpStream, UnixStream};

use crate::error::CommandError;

/// Media type of request bodies.
pub const JSON: &str = "application/json";
/// Media type of a JSON merge patch (RFC 7396), which changes some fields.
pub const MERGE_PATCH_JSON: &str = "application/merge-patch+json";

/// Maximum length of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// Maximum number of attempts to send a request, the first one included.
const MAX_ATTEMPTS: u32 = 5;
/// Delay between the first and the second attempt; it doubles before each further attempt.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// The `Host` header of requests over a Unix socket.
const UNIX_SOCKET_HOST: &str = "localhost";

/// A successful response.
#[derive(Debug)]
pub struct ApiResponse {
    /// The body; null if it is empty.
    pub body: Value,
    /// The `ETag` header, with its quotes.
    pub entity_tag: Option<String>,
}

/// A body and its media type.
#[derive(Clone, Debug)]
struct RequestBody {
    media_type: &'static str,
    content: Value,
}

/// A request to the API. A request that changes something needs an idempotency key or a precondition, because it may be
/// sent several times.
#[derive(Clone, Debug)]
pub struct ApiRequest {
    method: Method,
    path: String,
    headers: Vec<(&'static str, String)>,
    body: Option<RequestBody>,
}

impl ApiRequest {
    /// Creates a request for a path, which may include a query.
    pub fn new(method: Method, path: impl Into<String>) -> Self {
        ApiRequest {
            method,
            path: path.into(),
            headers: Vec::new(),
            body: None,
        }
    }

    /// Creates a `GET` request.
    pub fn get(path: impl Into<String>) -> Self {
        ApiRequest::new(Method::GET, path)
    }

    /// Creates a `POST` request.
    pub fn post(path: impl Into<String>) -> Self {
        ApiRequest::new(Method::POST, path)
    }

    /// Adds a header. The name must be in lower case.
    pub fn header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    /// Sets the body.
    pub fn body(mut self, media_type: &'static str, content: Value) -> Self {
        self.body = Some(RequestBody {
            media_type,
            content,
        });
        self
    }
}

/// A server and the credentials for it.
pub struct Client {
    server: String,
    token: Option<String>,
    timeout: Duration,
}

impl Client {
    /// Creates a client for the API at `server`: an address and port, or `unix:` and a path. The timeout applies to each
    /// attempt.
    pub fn new(server: String, token: Option<String>, timeout: Duration) -> Self {
        Client {
            server,
            token,
            timeout,
        }
    }

    /// Sends a `GET` request.
    ///
    /// # Errors
    /// Those of [`Client::send`].
    pub async fn get(&self, path: impl Into<String>) -> Result<ApiResponse, CommandError> {
        self.send(ApiRequest::get(path)).await
    }

    /// Sends a request, and retries it while the server is busy or unreachable, up to [`MAX_ATTEMPTS`] attempts.
    ///
    /// # Errors
    /// The error of the last attempt.
    pub async fn send(&self, request: ApiRequest) -> Result<ApiResponse, CommandError> {
        let mut backoff = INITIAL_BACKOFF;
        for attempt in 1.. {
            let result = tokio::time::timeout(self.timeout, self.attempt(&request))
                .await
                .unwrap_or_else(|_| Err(self.unreachable("no response within the timeout")));
            let is_transient = result.as_ref().is_err_and(CommandError::is_transient);
            if !is_transient || attempt == MAX_ATTEMPTS {
                return result;
            }
            tokio::time::sleep(backoff).await;
            backoff *= 2;
        }
        Err(CommandError::UnexpectedResponse(
            "no attempt was made".into(),
        ))
    }

    async fn attempt(&self, request: &ApiRequest) -> Result<ApiResponse, CommandError> {
        if let Some(path) = self.server.strip_prefix("unix:") {
            let connected = UnixStream::connect(path).await;
            let stream = connected.map_err(|e| self.unreachable(e))?;
            return self
                .exchange(TokioIo::new(stream), UNIX_SOCKET_HOST, request)
                .await;
        }
        let connected = TcpStream::connect(&self.server).await;
        let stream = connected.map_err(|e| self.unreachable(e))?;
        self.exchange(TokioIo::new(stream), &self.server, request)
            .await
    }

    /// Sends a request over a new connection and reads the response.
    async fn exchange<T>(
        &self,
        stream: T,
        host: &str,
        request: &ApiRequest,
    ) -> Result<ApiResponse, CommandError>
    where
        T: hyper::rt::Read + hyper::rt::Write + Unpin + 'static,
    {
        let (mut sender, connection) = hyper::client::conn::http1::handshake(stream)
            .await
            .map_err(|e| self.unreachable(e))?;
        let request = self.http_request(host, request)?;
        let response = async {
            let response = sender.send_request(request).await;
            let (parts, body) = response.map_err(|e| self.unreachable(e))?.into_parts();
            let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
            let body = body.map_err(|e| self.unreachable(e))?;
            read_response(parts.status, &parts.headers, &body.to_bytes())
        };
        tokio::select! {
            biased;
            response = response => response,
            // The connection ends only after the response, or with an error that the request reports as well.
            _ = connection => Err(self.unreachable("the connection was closed")),
        }
    }

    fn http_request(
        &self,
        host: &str,
        request: &ApiRequest,
    ) -> Result<Request<Full<Bytes>>, CommandError> {
        let content = request.body.as_ref().map(|body| body.content.to_string());
        let mut http_request = Request::builder()
            .method(request.method.clone())
            .uri(&request.path)
            .body(Full::new(content.unwrap_or_default().into()))
            .map_err(|_| unsendable("the name"))?;
        let headers = http_request.headers_mut();
        headers.insert(HOST, header_value("the server", host)?);
        if let Some(token) = &self.token {
            let credentials = header_value("the token", &format!("Bearer {token}"))?;
            headers.insert(AUTHORIZATION, credentials);
        }
        if let Some(body) = &request.body {
            headers.insert(CONTENT_TYPE, HeaderValue::from_static(body.media_type));
        }
        for (name, value) in &request.headers {
            let value = header_value(name, value)?;
            headers.insert(HeaderName::from_static(name), value);
        }
        Ok(http_request)
    }

    fn unreachable(&self, reason: impl Display) -> CommandError {
        CommandError::Unreachable {
            server: self.server.clone(),
            reason: reason.to_string(),
        }
    }
}

fn header_value(description: &str, text: &str) -> Result<HeaderValue, CommandError> {
    HeaderValue::from_str(text).map_err(|_| unsendable(description))
}

fn unsendable(description: &str) -> CommandError {
    CommandError::InvalidInput(format!(
        "{description} contains characters that cannot be sent"
    ))
}

fn read_response(
    status: StatusCode,
    headers: &HeaderMap,
    body: &[u8],
) -> Result<ApiResponse, CommandError> {
    let entity_tag = headers.get(ETAG).and_then(|value| value.to_str().ok());
    let body = match body {
        [] => Value::Null,
        text => serde_json::from_slice(text)
            .map_err(|e| CommandError::UnexpectedResponse(e.to_string()))?,
    };
    if status.is_success() {
        return Ok(ApiResponse {
            body,
            entity_tag: entity_tag.map(String::from),
        });
    }
    Err(CommandError::Rejected {
        status: status.as_u16(),
        detail: problem_text(status, &body),
    })
}

/// Formats a problem body (RFC 9457) as one text.
fn problem_text(status: StatusCode, body: &Value) -> String {
    let member = |name: &str| body.get(name).and_then(Value::as_str);
    let mut text = member("title")
        .or(status.canonical_reason())
        .unwrap_or("refused")
        .to_string();
    if let Some(detail) = member("detail") {
        text += &format!(": {detail}");
    }
    if let Some(field) = member("field") {
        text += &format!(" (in {field})");
    }
    text
}
