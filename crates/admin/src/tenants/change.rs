//! Changes of tenants, and the responses that show a tenant.

use axum::http::header::{ETAG, LOCATION};
use axum::http::{HeaderName, HeaderValue, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::Json;
use relay_events::tenants::{TenantRequest, TenantResponse, TenantView};
use tenancy::registry::{Change, Command};

use super::model::Tenant;
use crate::entity_tag::entity_tag_value;
use crate::problem::Problem;
use crate::request::AuthenticatedRequest;
use crate::state::{ApiState, HandlerResult};

static IDEMPOTENT_REPLAYED: HeaderName = HeaderName::from_static("idempotent-replayed");

/// A response that shows a tenant, with its version as entity tag.
pub fn tenant_response(view: TenantView, status: StatusCode) -> Response {
    let etag = entity_tag_value(view.tenant.version);
    let mut response = (status, Json(Tenant::from(view))).into_response();
    response.headers_mut().insert(ETAG, etag);
    response
}

/// Changes a tenant on the condition of the request's `If-Match`, and responds with the changed tenant.
///
/// # Errors
///
/// A [`Problem`] if the request's headers are malformed, or the relay refuses the change.
pub async fn apply_conditional_change(
    state: &ApiState,
    request: &AuthenticatedRequest,
    tenant: &str,
    change: Change,
    success: StatusCode,
) -> HandlerResult {
    let command = request.command(tenant, request.precondition()?, change)?;
    apply_change(state, command, success).await
}

/// Changes a tenant, and responds with the changed tenant.
///
/// # Errors
///
/// A [`Problem`] if the relay refuses the change.
pub async fn apply_change(
    state: &ApiState,
    command: Command,
    success: StatusCode,
) -> HandlerResult {
    let request = TenantRequest::Change(Box::new(command));
    let (view, status, is_replay) = match state.relay.request_tenants(request).await? {
        TenantResponse::Changed {
            view, is_replay, ..
        } => (view, success, is_replay),
        TenantResponse::Unchanged(view) => (view, status_if_unchanged(success), false),
        _ => return Err(Problem::unexpected_response()),
    };
    let location = format!("/v1/tenants/{}", view.tenant.name);
    let mut response = tenant_response(*view, status);
    let headers = response.headers_mut();
    if success == StatusCode::CREATED {
        if let Ok(location) = HeaderValue::from_str(&location) {
            headers.insert(LOCATION, location);
        }
    }
    if is_replay {
        headers.insert(&IDEMPOTENT_REPLAYED, HeaderValue::from_static("true"));
    }
    Ok(response)
}

/// The status if the tenant already is in the requested state: nothing was created, but a removal may still be in
/// progress.
fn status_if_unchanged(success: StatusCode) -> StatusCode {
    match success {
        StatusCode::ACCEPTED => StatusCode::ACCEPTED,
        _ => StatusCode::OK,
    }
}
