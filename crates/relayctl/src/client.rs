//! Requests to the API, over TCP or a Unix socket.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, AUTHORIZATION, CONTENT_TYPE, HOST};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::{TcpStream, UnixStream};

/// The longest answer that is read, in bytes.
const LONGEST: usize = 64 << 20;
/// A request that could not be made, or was answered 429 or 503, is made so often at most.
const TRIES: u32 = 5;
/// The rest before the second try, in milliseconds; twice as long before each further one.
const REST: u64 = 100;

/// Why a request came to nothing.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// No answer came.
    #[error("{0} cannot be reached: {1}")]
    Unreachable(String, String),
    /// The answer is an error.
    #[error("{detail}")]
    Refused {
        /// Its status.
        status: u16,
        /// What it says.
        detail: String,
    },
    /// The answer is none of the API's.
    #[error("the answer is none of the administration API's: {0}")]
    Strange(String),
    /// What was asked for can't be asked.
    #[error("{0}")]
    Usage(String),
}

impl Failure {
    /// The exit code that scripts can tell it by.
    pub fn code(&self) -> u8 {
        match self {
            Failure::Usage(_) => 2,
            Failure::Refused {
                status: 404 | 410, ..
            } => 3,
            Failure::Refused {
                status: 409 | 412 | 423,
                ..
            } => 4,
            Failure::Refused {
                status: 401 | 403, ..
            } => 5,
            Failure::Unreachable(..) => 6,
            Failure::Refused {
                status: 429 | 503, ..
            } => 7,
            Failure::Refused {
                status: 400..=499, ..
            } => 8,
            Failure::Refused { .. } | Failure::Strange(_) => 1,
        }
    }
}

/// An answer.
#[derive(Debug)]
pub struct Answer {
    /// Its body; null if there is none.
    pub body: Value,
    /// The entity tag, in its quotes.
    pub etag: Option<String>,
}

/// A request.
#[derive(Clone, Debug)]
pub struct Ask {
    method: Method,
    path: String,
    headers: Vec<(&'static str, String)>,
    body: Option<(&'static str, Value)>,
}

impl Ask {
    /// A request for a path.
    pub fn new(method: Method, path: impl Into<String>) -> Self {
        Ask {
            method,
            path: path.into(),
            headers: Vec::new(),
            body: None,
        }
    }

    /// The same with a header.
    pub fn header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    /// The same with a body of a type.
    pub fn body(mut self, kind: &'static str, body: Value) -> Self {
        self.body = Some((kind, body));
        self
    }
}

/// Where the API is, and as whom it is asked.
pub struct Client {
    server: String,
    token: Option<String>,
    timeout: Duration,
}

impl Client {
    /// An API at an address and port, or at `unix:` and a path.
    pub fn new(server: String, token: Option<String>, timeout: Duration) -> Self {
        Client {
            server,
            token,
            timeout,
        }
    }

    /// Makes a request, again where that is harmless: a change has to carry an idempotency key.
    pub async fn ask(&self, ask: Ask) -> Result<Answer, Failure> {
        let mut rest = Duration::from_millis(REST);
        for tried in 1.. {
            let answer = match tokio::time::timeout(self.timeout, self.once(&ask)).await {
                Ok(answer) => answer,
                Err(_) => Err(Failure::Unreachable(
                    self.server.clone(),
                    "no answer in time".into(),
                )),
            };
            let again = matches!(
                &answer,
                Err(Failure::Unreachable(..)
                    | Failure::Refused {
                        status: 429 | 503,
                        ..
                    })
            );
            if !again || tried == TRIES {
                return answer;
            }
            tokio::time::sleep(rest).await;
            rest *= 2;
        }
        Err(Failure::Strange("no try was made".into()))
    }

    async fn once(&self, ask: &Ask) -> Result<Answer, Failure> {
        let unreachable =
            |e: &dyn std::fmt::Display| Failure::Unreachable(self.server.clone(), e.to_string());
        match self.server.strip_prefix("unix:") {
            Some(path) => {
                let stream = UnixStream::connect(path)
                    .await
                    .map_err(|e| unreachable(&e))?;
                self.on(TokioIo::new(stream), "localhost", ask).await
            }
            None => {
                let stream = TcpStream::connect(&self.server)
                    .await
                    .map_err(|e| unreachable(&e))?;
                self.on(TokioIo::new(stream), &self.server, ask).await
            }
        }
    }

    async fn on<T>(&self, stream: T, host: &str, ask: &Ask) -> Result<Answer, Failure>
    where
        T: hyper::rt::Read + hyper::rt::Write + Unpin + 'static,
    {
        let unreachable =
            |e: hyper::Error| Failure::Unreachable(self.server.clone(), e.to_string());
        let (mut sender, connection) = hyper::client::conn::http1::handshake(stream)
            .await
            .map_err(unreachable)?;
        let request = self.request(host, ask)?;
        let answered = async {
            let response = sender.send_request(request).await.map_err(unreachable)?;
            let (parts, body) = response.into_parts();
            let body = Limited::new(body, LONGEST).collect().await;
            let body =
                body.map_err(|e| Failure::Unreachable(self.server.clone(), e.to_string()))?;
            read(parts.status, &parts.headers, &body.to_bytes())
        };
        tokio::select! {
            biased;
            answer = answered => answer,
            // The connection ends only after the answer, or with an error that the request tells.
            _ = connection => Err(Failure::Unreachable(self.server.clone(), "the connection ended".into())),
        }
    }

    fn request(&self, host: &str, ask: &Ask) -> Result<Request<Full<Bytes>>, Failure> {
        let bad = |what: &str| Failure::Usage(format!("{what} has characters that can't be sent"));
        let text = ask
            .body
            .as_ref()
            .map_or(Vec::new(), |(_, body)| body.to_string().into_bytes());
        let request = Request::builder().method(ask.method.clone()).uri(&ask.path);
        let mut request = request
            .body(Full::new(text.into()))
            .map_err(|_| bad("the name"))?;
        let headers = request.headers_mut();
        headers.insert(
            HOST,
            HeaderValue::from_str(host).map_err(|_| bad("the server"))?,
        );
        if let Some(token) = &self.token {
            let value =
                HeaderValue::from_str(&format!("Bearer {token}")).map_err(|_| bad("the token"))?;
            headers.insert(AUTHORIZATION, value);
        }
        if let Some((kind, _)) = &ask.body {
            headers.insert(CONTENT_TYPE, HeaderValue::from_static(kind));
        }
        for (name, value) in &ask.headers {
            let value = HeaderValue::from_str(value).map_err(|_| bad(name))?;
            headers.insert(HeaderName::from_static(name), value);
        }
        Ok(request)
    }
}

fn read(status: StatusCode, headers: &HeaderMap, body: &[u8]) -> Result<Answer, Failure> {
    let etag = headers
        .get("etag")
        .and_then(|value| value.to_str().ok())
        .map(String::from);
    let body = match body {
        [] => Value::Null,
        text => serde_json::from_slice(text).map_err(|e| Failure::Strange(e.to_string()))?,
    };
    if status.is_success() {
        return Ok(Answer { body, etag });
    }
    let said = |name: &str| body.get(name).and_then(Value::as_str);
    let title = said("title").unwrap_or(status.canonical_reason().unwrap_or("refused"));
    let mut detail = match said("detail") {
        Some(detail) => format!("{title}: {detail}"),
        None => title.to_string(),
    };
    if let Some(field) = said("field") {
        detail += &format!(" (in {field})");
    }
    Err(Failure::Refused {
        status: status.as_u16(),
        detail,
    })
}
