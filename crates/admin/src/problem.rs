//! Problem bodies (RFC 9457).

use axum::http::header::{CONTENT_TYPE, ETAG, RETRY_AFTER, WWW_AUTHENTICATE};
use axum::http::{HeaderValue, StatusCode};
use axum::response::{IntoResponse, Response};
use serde::Serialize;
use tenancy::registry::RegistryError;

/// What went wrong, as RFC 9457 has it.
#[derive(Debug, Serialize, utoipa::ToSchema)]
#[schema(as = Problem)]
pub struct ProblemBody {
    /// What kind of problem it is; stays the same over versions.
    #[serde(rename = "type")]
    #[schema(example = "urn:madderpitch:problem:stale-version")]
    kind: String,
    /// The kind in words.
    title: String,
    /// The HTTP status.
    status: u16,
    /// What is wrong this time.
    detail: String,
    /// The version as it is now, where another was meant.
    #[serde(skip_serializing_if = "Option::is_none")]
    current_version: Option<String>,
    /// The field that is wrong.
    #[serde(skip_serializing_if = "Option::is_none")]
    field: Option<&'static str>,
}

/// What more there is to say of a problem.
#[derive(Clone, Debug, PartialEq, Eq)]
enum More {
    Nothing,
    /// The version as it is now.
    Current(String),
    /// The field that is wrong.
    Field(&'static str),
}

/// What went wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The HTTP status.
    pub status: StatusCode,
    kind: &'static str,
    detail: String,
    more: More,
}

impl Problem {
    /// A problem of a kind.
    pub fn new(status: StatusCode, kind: &'static str, detail: impl Into<String>) -> Self {
        Problem {
            status,
            kind,
            detail: detail.into(),
            more: More::Nothing,
        }
    }

    /// 401.
    pub fn unauthorized(detail: impl Into<String>) -> Self {
        Problem::new(StatusCode::UNAUTHORIZED, "unauthorized", detail)
    }

    /// 403.
    pub fn forbidden(detail: impl Into<String>) -> Self {
        Problem::new(StatusCode::FORBIDDEN, "forbidden", detail)
    }

    /// 400.
    pub fn malformed(detail: impl Into<String>) -> Self {
        Problem::new(StatusCode::BAD_REQUEST, "malformed-request", detail)
    }

    /// 428: a change has to say which state it is meant for.
    pub fn precondition_required() -> Self {
        let detail = "a change needs If-Match with the ETag of what it changes, or * for any state";
        Problem::new(
            StatusCode::PRECONDITION_REQUIRED,
            "precondition-required",
            detail,
        )
    }

    /// 429.
    pub fn too_many_requests() -> Self {
        Problem::new(
            StatusCode::TOO_MANY_REQUESTS,
            "too-many-requests",
            "more requests a second than are allowed",
        )
    }

    /// 412: another version was meant.
    pub fn stale(current: String, detail: impl Into<String>) -> Self {
        let problem = Problem::new(StatusCode::PRECONDITION_FAILED, "stale-version", detail);
        Problem {
            more: More::Current(current),
            ..problem
        }
    }

    /// 503: not done, and harmless to ask again.
    pub fn unavailable(detail: impl Into<String>) -> Self {
        Problem::new(StatusCode::SERVICE_UNAVAILABLE, "unavailable", detail)
    }
}

impl From<RegistryError> for Problem {
    fn from(refusal: RegistryError) -> Self {
        let detail = refusal.to_string();
        let problem = |status, kind| Problem::new(status, kind, detail.clone());
        match refusal {
            RegistryError::Unknown(_) => problem(StatusCode::NOT_FOUND, "no-such-tenant"),
            RegistryError::Gone(_) => problem(StatusCode::GONE, "tenant-removed"),
            RegistryError::Exists(_) => problem(StatusCode::CONFLICT, "tenant-exists"),
            RegistryError::Draining(_) => problem(StatusCode::CONFLICT, "tenant-draining"),
            RegistryError::Stale(current) => Problem::stale(current.to_string(), detail.clone()),
            RegistryError::Invalid(invalid) => {
                let problem = problem(StatusCode::UNPROCESSABLE_ENTITY, "invalid-value");
                Problem {
                    more: More::Field(invalid.field),
                    ..problem
                }
            }
            RegistryError::TooMany { .. } => problem(StatusCode::CONFLICT, "too-many"),
            RegistryError::SecretExists(_) | RegistryError::UnknownSecret(_) => {
                problem(StatusCode::CONFLICT, "secret")
            }
            RegistryError::KeyReused => {
                problem(StatusCode::UNPROCESSABLE_ENTITY, "idempotency-key-reused")
            }
        }
    }
}

impl IntoResponse for Problem {
    fn into_response(self) -> Response {
        let (current, field) = match self.more {
            More::Nothing => (None, None),
            More::Current(version) => (Some(version), None),
            More::Field(field) => (None, Some(field)),
        };
        let etag = current
            .as_ref()
            .and_then(|v| HeaderValue::from_str(&format!("\"{v}\"")).ok());
        let body = ProblemBody {
            kind: format!("urn:madderpitch:problem:{}", self.kind),
            title: self.kind.replace('-', " "),
            status: self.status.as_u16(),
            detail: self.detail,
            current_version: current,
            field,
        };
        // A struct of texts and numbers, which does not fail to be written.
        let text = serde_json::to_vec(&body).unwrap_or_default();
        let mut response = (self.status, text).into_response();
        let headers = response.headers_mut();
        headers.insert(
            CONTENT_TYPE,
            HeaderValue::from_static("application/problem+json"),
        );
        match self.status {
            StatusCode::UNAUTHORIZED => {
                headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
            }
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                headers.insert(RETRY_AFTER, HeaderValue::from_static("1"));
            }
            _ => {}
        }
        etag.into_iter()
            .for_each(|etag| drop(headers.insert(ETAG, etag)));
        response
    }
}
