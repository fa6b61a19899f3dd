//! Error responses: problem details for HTTP APIs (RFC 9457).

use axum::http::header::{CONTENT_TYPE, ETAG, RETRY_AFTER, WWW_AUTHENTICATE};
use axum::http::{HeaderValue, StatusCode};
use axum::response::{IntoResponse, Response};
use serde::Serialize;

use crate::entity_tag::entity_tag_value;

/// Problem details (RFC 9457).
#[derive(Debug, Serialize, utoipa::ToSchema)]
#[schema(as = Problem)]
pub struct ProblemBody {
    /// The kind of problem; does not change between releases.
    #[serde(rename = "type")]
    #[schema(example = "urn:madderpitch:problem:stale-version")]
    kind: String,
    /// The kind in words.
    title: String,
    /// The HTTP status.
    status: u16,
    /// What is wrong with this request.
    detail: String,
    /// The current version, if the request named another.
    #[serde(skip_serializing_if = "Option::is_none")]
    current_version: Option<String>,
    /// The invalid field.
    #[serde(skip_serializing_if = "Option::is_none")]
    field: Option<&'static str>,
}

/// An error response: its HTTP status and the contents of its body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The HTTP status.
    pub status: StatusCode,
    kind: &'static str,
    detail: String,
    current_version: Option<String>,
    field: Option<&'static str>,
    /// Value of `Retry-After`, in seconds.
    retry_after_s: Option<u64>,
}

impl Problem {
    /// A problem of this kind, which becomes the last part of the body's `type`. The detail is for human readers.
    pub fn new(status: StatusCode, kind: &'static str, detail: impl Into<String>) -> Self {
        Problem {
            status,
            kind,
            detail: detail.into(),
            current_version: None,
            field: None,
            retry_after_s: None,
        }
    }

    /// Tells the caller to retry after so many seconds.
    pub fn with_retry_after(self, seconds: u64) -> Self {
        Problem {
            retry_after_s: Some(seconds),
            ..self
        }
    }

    /// 401: the request has no acceptable token.
    pub fn unauthorized(detail: impl Into<String>) -> Self {
        Problem::new(StatusCode::UNAUTHORIZED, "unauthorized", detail)
    }

    /// 403: the token does not permit the request.
    pub fn forbidden(detail: impl Into<String>) -> Self {
        Problem::new(StatusCode::FORBIDDEN, "forbidden", detail)
    }

    /// 400: the request cannot be parsed.
    pub fn malformed(detail: impl Into<String>) -> Self {
        Problem::new(StatusCode::BAD_REQUEST, "malformed-request", detail)
    }

    /// 428: a change needs `If-Match`.
    pub fn precondition_required() -> Self {
        let detail = "a change needs If-Match with the ETag of what it changes, or * for any state";
        Problem::new(
            StatusCode::PRECONDITION_REQUIRED,
            "precondition-required",
            detail,
        )
    }

    /// 429: the rate of requests is over its limit.
    pub fn too_many_requests() -> Self {
        Problem::new(
            StatusCode::TOO_MANY_REQUESTS,
            "too-many-requests",
            "more requests a second than are allowed",
        )
    }

    /// 412: `If-Match` does not name the current version.
    pub fn stale(current_version: String, detail: impl Into<String>) -> Self {
        let problem = Problem::new(StatusCode::PRECONDITION_FAILED, "stale-version", detail);
        Problem {
            current_version: Some(current_version),
            ..problem
        }
    }

    /// 422: a value of the body is out of range or malformed.
    pub fn invalid_value(detail: impl Into<String>) -> Self {
        Problem::new(StatusCode::UNPROCESSABLE_ENTITY, "invalid-value", detail)
    }

    /// 422: the value of this field is out of range or malformed.
    pub fn invalid_field(field: &'static str, detail: impl Into<String>) -> Self {
        Problem {
            field: Some(field),
            ..Problem::invalid_value(detail)
        }
    }

    /// 503: nothing was done; the request may be retried.
    pub fn unavailable(detail: impl Into<String>) -> Self {
        Problem::new(StatusCode::SERVICE_UNAVAILABLE, "unavailable", detail)
    }

    /// 500: the relay's response does not match the request.
    pub fn unexpected_response() -> Self {
        Problem::new(
            StatusCode::INTERNAL_SERVER_ERROR,
            "internal",
            "the relay gave another answer than was asked for",
        )
    }
}

impl IntoResponse for Problem {
    fn into_response(self) -> Response {
        let etag = self.current_version.as_ref().map(entity_tag_value);
        let body = ProblemBody {
            kind: format!("urn:madderpitch:problem:{}", self.kind),
            title: self.kind.replace('-', " "),
            status: self.status.as_u16(),
            detail: self.detail,
            current_version: self.current_version,
            field: self.field,
        };
        // Serializing a struct of strings and numbers cannot fail.
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
        if let Some(seconds) = self.retry_after_s {
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        if let Some(etag) = etag {
            headers.insert(ETAG, etag);
        }
        response
    }
}
