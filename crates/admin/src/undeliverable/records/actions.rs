//! Handlers of operators' actions on records.

use axum::extract::{Path, State};
use axum::http::StatusCode;
use relay_events::undeliverable::{RecordAction, UndeliverableRequest, UndeliverableResponse};
use undeliverable::RecordId;
use utoipa_axum::router::OpenApiRouter;
use utoipa_axum::routes;

use super::model::{Attestation, UndeliverableRecord};
use super::view::{record_response, visible_record};
use crate::problem::{Problem, ProblemBody};
use crate::request::{AuthenticatedRequest, JSON};
use crate::settings::Role;
use crate::state::{ApiState, HandlerResult};

/// Responses to an action that was not performed.
#[derive(utoipa::IntoResponses)]
#[allow(dead_code, reason = "only the OpenAPI document is made from it")]
enum RecordNotChanged {
    /// The record is being resent, is closed, or may not be resent; see type.
    #[response(status = 409, content_type = "application/problem+json")]
    Conflict(ProblemBody),
    /// The record has another version, given by current_version.
    #[response(status = 412, content_type = "application/problem+json")]
    Stale(ProblemBody),
    /// Another operator has claimed the record.
    #[response(status = 423, content_type = "application/problem+json")]
    Claimed(ProblemBody),
    /// The request was rejected; see type and detail.
    #[response(status = "4XX", content_type = "application/problem+json")]
    Rejected(ProblemBody),
    /// Nothing was changed; the request may be retried.
    #[response(status = 503, content_type = "application/problem+json")]
    NotPersisted(ProblemBody),
}

/// Claim a record: until the claim expires or is released, nobody else may change it. Role: operator.
#[utoipa::path(post, path = "/v1/undeliverable/{id}/claim", tag = "undeliverable", params(("id" = u64, Path),
    ("If-Match" = String, Header, description = "The record's ETag, or * for any version.")), responses(
    (status = 200, description = "The record after the action.", body = UndeliverableRecord, headers(("ETag" = String, description = "The version."))),
    RecordNotChanged))]
async fn claim_undeliverable(
    State(state): State<ApiState>,
    Path(id): Path<u64>,
    request: AuthenticatedRequest,
) -> HandlerResult {
    perform(&state, &request, id, RecordAction::Claim).await
}

/// Release a claim. Role: operator.
#[utoipa::path(post, path = "/v1/undeliverable/{id}/release", tag = "undeliverable", params(("id" = u64, Path),
    ("If-Match" = String, Header, description = "The record's ETag, or * for any version.")), responses(
    (status = 200, description = "The record after the action.", body = UndeliverableRecord, headers(("ETag" = String, description = "The version."))),
    RecordNotChanged))]
async fn release_undeliverable(
    State(state): State<ApiState>,
    Path(id): Path<u64>,
    request: AuthenticatedRequest,
) -> HandlerResult {
    perform(&state, &request, id, RecordAction::Release).await
}

/// Resend a message, if the resend policy permits it now. Role: operator.
#[utoipa::path(post, path = "/v1/undeliverable/{id}/resend", tag = "undeliverable", params(("id" = u64, Path),
    ("If-Match" = String, Header, description = "The record's ETag, or * for any version.")), responses(
    (status = 202, description = "The record after the action.", body = UndeliverableRecord, headers(("ETag" = String, description = "The version."))),
    (status = 429, description = "Too many resends are in progress, or live messages need the capacity; nothing was done.", body = ProblemBody, content_type = "application/problem+json"),
    RecordNotChanged))]
async fn resend_undeliverable(
    State(state): State<ApiState>,
    Path(id): Path<u64>,
    request: AuthenticatedRequest,
) -> HandlerResult {
    perform(&state, &request, id, RecordAction::Resend).await
}

/// Ask the partner whether a message took effect. Its answer is added to the statements. Role: operator.
#[utoipa::path(post, path = "/v1/undeliverable/{id}/ask", tag = "undeliverable", params(("id" = u64, Path),
    ("If-Match" = String, Header, description = "The record's ETag, or * for any version.")), responses(
    (status = 202, description = "The record after the action.", body = UndeliverableRecord, headers(("ETag" = String, description = "The version."))),
    RecordNotChanged))]
async fn ask_undeliverable(
    State(state): State<ApiState>,
    Path(id): Path<u64>,
    request: AuthenticatedRequest,
) -> HandlerResult {
    perform(&state, &request, id, RecordAction::QueryPartner).await
}

/// Close a record without another attempt. Role: operator.
#[utoipa::path(post, path = "/v1/undeliverable/{id}/discard", tag = "undeliverable", params(("id" = u64, Path),
    ("If-Match" = String, Header, description = "The record's ETag, or * for any version.")), responses(
    (status = 200, description = "The record after the action.", body = UndeliverableRecord, headers(("ETag" = String, description = "The version."))),
    RecordNotChanged))]
async fn discard_undeliverable(
    State(state): State<ApiState>,
    Path(id): Path<u64>,
    request: AuthenticatedRequest,
) -> HandlerResult {
    perform(&state, &request, id, RecordAction::Discard).await
}

/// Attest whether a message took effect. Matching statements of two operators count as the partner's answer. Role: operator.
#[utoipa::path(post, path = "/v1/undeliverable/{id}/attest", tag = "undeliverable", request_body = Attestation,
    params(("id" = u64, Path), ("If-Match" = String, Header, description = "The record's ETag, or * for any version.")), responses(
    (status = 200, description = "The record after the action.", body = UndeliverableRecord, headers(("ETag" = String, description = "The version."))),
    (status = 412, description = "The record has another version, given by current_version.", body = ProblemBody, content_type = "application/problem+json"),
    (status = "4XX", description = "The request was rejected; see type and detail.", body = ProblemBody, content_type = "application/problem+json"),
    (status = 503, description = "Nothing was changed; the request may be retried.", body = ProblemBody, content_type = "application/problem+json")))]
async fn attest_undeliverable(
    State(state): State<ApiState>,
    Path(id): Path<u64>,
    request: AuthenticatedRequest,
) -> HandlerResult {
    let Attestation { claim } = request.json_body(JSON)?;
    perform(&state, &request, id, RecordAction::Attest(claim)).await
}

/// Performs an action on a record that the principal may see, and responds with the changed record.
async fn perform(
    state: &ApiState,
    request: &AuthenticatedRequest,
    id: RecordId,
    action: RecordAction,
) -> HandlerResult {
    request.principal.require_role(Role::Operator)?;
    let version = request.version_number()?;
    visible_record(state, &request.principal, id).await?;
    let action_request = UndeliverableRequest::RecordAction {
        id,
        action,
        operator: request.principal.name.clone(),
        version,
    };
    let response = state.relay.request_undeliverable(action_request).await?;
    let UndeliverableResponse::Found(view) = response else {
        return Err(Problem::unexpected_response());
    };
    Ok(record_response(&view, success_status(action)))
}

/// The status of the response if the action succeeds: 202 if the action continues after the response.
fn success_status(action: RecordAction) -> StatusCode {
    match action {
        RecordAction::Resend | RecordAction::QueryPartner => StatusCode::ACCEPTED,
        RecordAction::Claim
        | RecordAction::Release
        | RecordAction::Attest(_)
        | RecordAction::Discard => StatusCode::OK,
    }
}

/// The routes of actions on records.
pub fn routes() -> OpenApiRouter<ApiState> {
    OpenApiRouter::new()
        .routes(routes!(claim_undeliverable))
        .routes(routes!(release_undeliverable))
        .routes(routes!(resend_undeliverable))
        .routes(routes!(ask_undeliverable))
        .routes(routes!(discard_undeliverable))
        .routes(routes!(attest_undeliverable))
}
