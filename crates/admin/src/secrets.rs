//! Secrets of tenants: `/v1/tenants/{name}/secrets`.

use axum::extract::{Path, State};
use axum::http::StatusCode;
use serde::{Deserialize, Serialize};
use tenancy::registry::{Change, RegistryError};
use utoipa::ToSchema;
use utoipa_axum::router::OpenApiRouter;
use utoipa_axum::routes;

use crate::problem::{Problem, ProblemBody};
use crate::request::{AuthenticatedRequest, JSON};
use crate::settings::Role;
use crate::state::{ApiState, HandlerResult};
use crate::tenants::{apply_conditional_change, Tenant};

/// A secret to add.
#[derive(Debug, Deserialize, Serialize, ToSchema)]
#[serde(deny_unknown_fields)]
pub struct NewSecret {
    /// Its name, unique within the tenant.
    #[schema(max_length = 64, pattern = "^[A-Za-z0-9][A-Za-z0-9._-]*$")]
    pub id: String,
    /// SHA-256 of the secret, in hexadecimal digits. Secrets should have 128 random bits or more.
    #[schema(pattern = "^[0-9A-Fa-f]{64}$")]
    pub sha256: String,
}

/// Add a secret that the tenant's clients may authenticate with. Role: admin.
#[utoipa::path(post, path = "/v1/tenants/{name}/secrets", tag = "secrets", request_body = NewSecret, params(("name" = String, Path),
    ("If-Match" = String, Header, description = "The tenant's ETag, or * for any version."),
    ("Idempotency-Key" = Option<String>, Header, description = "A repeated request with the same key is performed once.")), responses(
    (status = 201, description = "The tenant after the change.", body = Tenant, headers(("ETag" = String, description = "The version."))),
    (status = "4XX", description = "The request was rejected; see type and detail.", body = ProblemBody, content_type = "application/problem+json"),
    (status = 503, description = "Nothing was changed; the request may be retried.", body = ProblemBody, content_type = "application/problem+json")))]
async fn add_secret(
    State(state): State<ApiState>,
    Path(name): Path<String>,
    request: AuthenticatedRequest,
) -> HandlerResult {
    request.principal.require_role_for(Role::Admin, &name)?;
    let NewSecret { id, sha256 } = request.json_body(JSON)?;
    let sha256 = sha256
        .parse()
        .map_err(|error| Problem::from(RegistryError::Invalid(error)))?;
    let change = Change::AddSecret { id, sha256 };
    apply_conditional_change(&state, &request, &name, change, StatusCode::CREATED).await
}

/// Remove a secret: clients that authenticated with it have to authenticate again. Role: admin.
#[utoipa::path(delete, path = "/v1/tenants/{name}/secrets/{id}", tag = "secrets",
    params(("name" = String, Path), ("id" = String, Path),
    ("If-Match" = String, Header, description = "The tenant's ETag, or * for any version."),
    ("Idempotency-Key" = Option<String>, Header, description = "A repeated request with the same key is performed once.")), responses(
    (status = 200, description = "The tenant after the change.", body = Tenant, headers(("ETag" = String, description = "The version."))),
    (status = "4XX", description = "The request was rejected; see type and detail.", body = ProblemBody, content_type = "application/problem+json"),
    (status = 503, description = "Nothing was changed; the request may be retried.", body = ProblemBody, content_type = "application/problem+json")))]
async fn drop_secret(
    State(state): State<ApiState>,
    Path((name, id)): Path<(String, String)>,
    request: AuthenticatedRequest,
) -> HandlerResult {
    request.principal.require_role_for(Role::Admin, &name)?;
    let change = Change::DropSecret(id);
    apply_conditional_change(&state, &request, &name, change, StatusCode::OK).await
}

/// The routes of secrets.
pub fn routes() -> OpenApiRouter<ApiState> {
    OpenApiRouter::new()
        .routes(routes!(add_secret))
        .routes(routes!(drop_secret))
}
