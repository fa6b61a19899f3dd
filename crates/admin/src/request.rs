//! Requests for a change: the principal, the precondition, the idempotency key and the body.

use axum::body::Bytes;
use axum::extract::{FromRequest, FromRequestParts, OriginalUri, Request};
use axum::http::header::{CONTENT_TYPE, IF_MATCH, IF_NONE_MATCH};
use axum::http::{HeaderMap, HeaderName, StatusCode};
use serde::de::DeserializeOwned;
use tenancy::registry::{Change, Command, Precondition};
use tenancy::secret::Digest;

use crate::auth::Principal;
use crate::headers;
use crate::precondition;
use crate::problem::Problem;
use crate::state::ApiState;

static REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
static IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Media types of a JSON body.
pub const JSON: &[&str] = &["application/json"];
/// Media types of a JSON merge patch (RFC 7396).
pub const MERGE_PATCH: &[&str] = &["application/merge-patch+json", "application/json"];

/// An authenticated request for a change, with its whole body.
pub struct AuthenticatedRequest {
    /// The sender of the request.
    pub principal: Principal,
    headers: HeaderMap,
    /// Digest of method, target, preconditions and body. Requests with the same idempotency key must have the same
    /// digest.
    digest: Digest,
    id: String,
    body: Bytes,
}

impl FromRequest<ApiState> for AuthenticatedRequest {
    type Rejection = Problem;

    async fn from_request(request: Request, state: &ApiState) -> Result<Self, Problem> {
        let (mut parts, body) = request.into_parts();
        let principal = Principal::from_request_parts(&mut parts, state).await?;
        let uri = OriginalUri::from_request_parts(&mut parts, state).await;
        let OriginalUri(uri) = uri.unwrap_or_else(|never| match never {});
        let method = parts.method.clone();
        let headers = parts.headers.clone();
        let request = Request::from_parts(parts, body);
        let body = Bytes::from_request(request, state)
            .await
            .map_err(|rejection| {
                Problem::new(rejection.status(), "unreadable-body", rejection.body_text())
            })?;
        let header = |name| headers.get(name).map_or(&b""[..], |value| value.as_bytes());
        let target = uri.path_and_query().map_or("", |target| target.as_str());
        let digest = Digest::of_parts([
            method.as_str().as_bytes(),
            target.as_bytes(),
            header(IF_MATCH),
            header(IF_NONE_MATCH),
            &body,
        ]);
        let id = headers::identifier(&headers, &REQUEST_ID)?
            .map_or_else(|| state.generate_request_id(), String::from);
        Ok(AuthenticatedRequest {
            principal,
            headers,
            digest,
            id,
            body,
        })
    }
}

impl AuthenticatedRequest {
    /// Parses the body, a JSON object, as a value of this type.
    ///
    /// # Errors
    ///
    /// A [`Problem`] with status 415 if `Content-Type` is none of these media types, 400 if the body is not a JSON
    /// object, and 422 if the object is not of this type.
    pub fn json_body<T: DeserializeOwned>(&self, media_types: &[&str]) -> Result<T, Problem> {
        self.check_content_type(media_types)?;
        let value: serde_json::Value = serde_json::from_slice(&self.body)
            .map_err(|error| Problem::malformed(format!("the body is no JSON: {error}")))?;
        // Serde would also accept an array, and assign its elements to the fields in order.
        if !value.is_object() {
            return Err(Problem::malformed("the body is no JSON object"));
        }
        serde_json::from_value(value).map_err(|error| Problem::invalid_value(error.to_string()))
    }

    fn check_content_type(&self, media_types: &[&str]) -> Result<(), Problem> {
        let content_type = headers::text(&self.headers, &CONTENT_TYPE)?.unwrap_or("");
        let media_type = content_type
            .split(';')
            .next()
            .unwrap_or("")
            .trim()
            .to_ascii_lowercase();
        if media_types.contains(&media_type.as_str()) {
            return Ok(());
        }
        Err(Problem::new(
            StatusCode::UNSUPPORTED_MEDIA_TYPE,
            "unsupported-media-type",
            format!("the body is to be {}", media_types.join(" or ")),
        ))
    }

    /// The versions of the tenant to which the request may be applied; see [`precondition::if_match`].
    pub fn precondition(&self) -> Result<Precondition, Problem> {
        precondition::if_match(&self.headers)
    }

    /// The version to which the request may be applied, none for any; see [`precondition::if_match_number`].
    pub fn version_number(&self) -> Result<Option<u32>, Problem> {
        precondition::if_match_number(&self.headers)
    }

    /// Whether the request creates the resource; see [`precondition::is_create_only`].
    pub fn is_create_only(&self) -> Result<bool, Problem> {
        precondition::is_create_only(&self.headers)
    }

    /// The registry's command for a change of a tenant.
    ///
    /// # Errors
    ///
    /// A [`Problem`] with status 400 if the idempotency key is malformed.
    pub fn command(
        &self,
        tenant: &str,
        precondition: Precondition,
        change: Change,
    ) -> Result<Command, Problem> {
        let key = headers::identifier(&self.headers, &IDEMPOTENCY_KEY)?;
        Ok(Command {
            actor: self.principal.actor(),
            request: self.id.clone(),
            key: key.map(|key| (key.to_string(), self.digest.clone())),
            name: tenant.into(),
            precondition,
            change,
        })
    }
}
