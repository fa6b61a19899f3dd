//! Handlers of `/v1/undeliverable-batches`.

use axum::extract::{Path, State};
use axum::http::header::{ETAG, LOCATION};
use axum::http::{HeaderValue, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::Json;
use relay_events::undeliverable::{UndeliverableRequest, UndeliverableResponse};
use undeliverable::batch::{Batch, BatchCommand, BatchError, BatchSpec};
use utoipa_axum::router::OpenApiRouter;
use utoipa_axum::routes;

use super::model::{BatchList, NewBatch, ResendBatch};
use crate::auth::Principal;
use crate::entity_tag::entity_tag_value;
use crate::problem::{Problem, ProblemBody};
use crate::request::{AuthenticatedRequest, JSON};
use crate::settings::Role;
use crate::state::{ApiState, HandlerResult};

/// Default limits of a batch, for those that the request does not set.
struct BatchLimits {
    /// Records resent per second.
    per_second: f64,
    /// Resends in flight.
    at_once: u32,
    /// Failures that stop the batch.
    stop_after: u32,
}

/// Low limits, so that a mistaken batch can be stopped before it has resent many records.
const DEFAULT_LIMITS: BatchLimits = BatchLimits {
    per_second: 1.0,
    at_once: 1,
    stop_after: 5,
};

/// Responses to a command that was not carried out.
#[derive(utoipa::IntoResponses)]
#[allow(dead_code, reason = "only the OpenAPI document is made from it")]
enum BatchNotChanged {
    /// The batch has ended.
    #[response(status = 409, content_type = "application/problem+json")]
    Over(ProblemBody),
    /// The batch has another version, given by current_version.
    #[response(status = 412, content_type = "application/problem+json")]
    Stale(ProblemBody),
    /// The request was rejected; see type and detail.
    #[response(status = "4XX", content_type = "application/problem+json")]
    Rejected(ProblemBody),
    /// Nothing was changed; the request may be retried.
    #[response(status = 503, content_type = "application/problem+json")]
    NotPersisted(ProblemBody),
}

/// List batches of resends. Role: viewer.
#[utoipa::path(get, path = "/v1/undeliverable-batches", tag = "undeliverable", responses(
    (status = 200, description = "Batches of the token's tenants.", body = BatchList),
    (status = "4XX", description = "The request was rejected; see type and detail.", body = ProblemBody, content_type = "application/problem+json")))]
async fn list_batches(State(state): State<ApiState>, principal: Principal) -> HandlerResult {
    principal.require_role(Role::Viewer)?;
    let batches = visible_batches(&state, &principal).await?;
    let items = batches.into_iter().map(ResendBatch::from).collect();
    Ok(Json(BatchList { items }).into_response())
}

/// Plan a batch: a dry run that counts the matching records. Nothing is sent before it is run. Role: operator.
#[utoipa::path(post, path = "/v1/undeliverable-batches", tag = "undeliverable", request_body = NewBatch, responses(
    (status = 201, description = "The batch was planned.", body = ResendBatch,
        headers(("ETag" = String, description = "The version."), ("Location" = String, description = "The path of what was created."))),
    (status = 409, description = "The name is taken, or the maximum number exists already.", body = ProblemBody, content_type = "application/problem+json"),
    (status = "4XX", description = "The request was rejected; see type and detail.", body = ProblemBody, content_type = "application/problem+json"),
    (status = 503, description = "Nothing was changed; the request may be retried.", body = ProblemBody, content_type = "application/problem+json")))]
async fn plan_batch(State(state): State<ApiState>, request: AuthenticatedRequest) -> HandlerResult {
    request.principal.require_role(Role::Operator)?;
    let new: NewBatch = request.json_body(JSON)?;
    let spec = BatchSpec {
        name: new.name,
        filter: new.filter.for_principal(&request.principal, None)?,
        per_second: new.per_second.unwrap_or(DEFAULT_LIMITS.per_second),
        at_once: new.at_once.unwrap_or(DEFAULT_LIMITS.at_once),
        stop_after: new.stop_after.unwrap_or(DEFAULT_LIMITS.stop_after),
    };
    let location = format!("/v1/undeliverable-batches/{}", spec.name);
    let operator = request.principal.name.clone();
    let plan = UndeliverableRequest::Plan { spec, operator };
    let UndeliverableResponse::Batch(batch) = state.relay.request_undeliverable(plan).await? else {
        return Err(Problem::unexpected_response());
    };
    let mut response = batch_response(*batch, StatusCode::CREATED);
    if let Ok(location) = HeaderValue::from_str(&location) {
        response.headers_mut().insert(LOCATION, location);
    }
    Ok(response)
}

/// Show a batch. Role: viewer.
#[utoipa::path(get, path = "/v1/undeliverable-batches/{name}", tag = "undeliverable", params(("name" = String, Path)), responses(
    (status = 200, description = "The batch.", body = ResendBatch, headers(("ETag" = String, description = "The version."))),
    (status = "4XX", description = "The request was rejected; see type and detail.", body = ProblemBody, content_type = "application/problem+json")))]
async fn show_batch(
    State(state): State<ApiState>,
    principal: Principal,
    Path(name): Path<String>,
) -> HandlerResult {
    principal.require_role(Role::Viewer)?;
    let batch = visible_batch(&state, &principal, &name).await?;
    Ok(batch_response(batch, StatusCode::OK))
}

/// Run a batch, or resume a paused one. Role: operator.
#[utoipa::path(post, path = "/v1/undeliverable-batches/{name}/run", tag = "undeliverable", params(("name" = String, Path),
    ("If-Match" = String, Header, description = "The batch's ETag, or * for any version.")), responses(
    (status = 200, description = "The batch after the command.", body = ResendBatch, headers(("ETag" = String, description = "The version."))),
    BatchNotChanged))]
async fn run_batch(
    State(state): State<ApiState>,
    Path(name): Path<String>,
    request: AuthenticatedRequest,
) -> HandlerResult {
    execute(&state, &request, name, BatchCommand::Run).await
}

/// Pause a batch: no resend is started until it is run again. Role: operator.
#[utoipa::path(post, path = "/v1/undeliverable-batches/{name}/pause", tag = "undeliverable", params(("name" = String, Path),
    ("If-Match" = String, Header, description = "The batch's ETag, or * for any version.")), responses(
    (status = 200, description = "The batch after the command.", body = ResendBatch, headers(("ETag" = String, description = "The version."))),
    BatchNotChanged))]
async fn pause_batch(
    State(state): State<ApiState>,
    Path(name): Path<String>,
    request: AuthenticatedRequest,
) -> HandlerResult {
    execute(&state, &request, name, BatchCommand::Pause).await
}

/// Cancel a batch: no further resend is started. Role: operator.
#[utoipa::path(post, path = "/v1/undeliverable-batches/{name}/cancel", tag = "undeliverable", params(("name" = String, Path),
    ("If-Match" = String, Header, description = "The batch's ETag, or * for any version.")), responses(
    (status = 200, description = "The batch after the command.", body = ResendBatch, headers(("ETag" = String, description = "The version."))),
    BatchNotChanged))]
async fn cancel_batch(
    State(state): State<ApiState>,
    Path(name): Path<String>,
    request: AuthenticatedRequest,
) -> HandlerResult {
    execute(&state, &request, name, BatchCommand::Cancel).await
}

/// Executes a command on a batch that the principal may see, and responds with the changed batch.
async fn execute(
    state: &ApiState,
    request: &AuthenticatedRequest,
    name: String,
    command: BatchCommand,
) -> HandlerResult {
    request.principal.require_role(Role::Operator)?;
    let version = request.version_number()?;
    visible_batch(state, &request.principal, &name).await?;
    let command_request = UndeliverableRequest::BatchCommand {
        name,
        command,
        version,
    };
    let response = state.relay.request_undeliverable(command_request).await?;
    let UndeliverableResponse::Batch(batch) = response else {
        return Err(Problem::unexpected_response());
    };
    Ok(batch_response(*batch, StatusCode::OK))
}

/// The batch of this name, if the principal may see it; status 404 otherwise.
async fn visible_batch(
    state: &ApiState,
    principal: &Principal,
    name: &str,
) -> Result<Batch, Problem> {
    let batches = visible_batches(state, principal).await?;
    batches
        .into_iter()
        .find(|batch| batch.spec.name == name)
        .ok_or_else(|| BatchError::NotFound.into())
}

/// The batches that the principal may see: all, or those that were planned with exactly the scope of the principal's token.
async fn visible_batches(state: &ApiState, principal: &Principal) -> Result<Vec<Batch>, Problem> {
    let request = UndeliverableRequest::Batches;
    let UndeliverableResponse::Batches(mut batches) =
        state.relay.request_undeliverable(request).await?
    else {
        return Err(Problem::unexpected_response());
    };
    if !principal.scope.covers_all() {
        batches.retain(|batch| batch.spec.filter.scope.as_ref() == Some(&principal.scope));
    }
    Ok(batches)
}

/// A response that shows a batch, with its version as entity tag.
fn batch_response(batch: Batch, status: StatusCode) -> Response {
    let etag = entity_tag_value(batch.version);
    let mut response = (status, Json(ResendBatch::from(batch))).into_response();
    response.headers_mut().insert(ETAG, etag);
    response
}

/// The routes of batches.
pub fn routes() -> OpenApiRouter<ApiState> {
    OpenApiRouter::new()
        .routes(routes!(list_batches, plan_batch))
        .routes(routes!(show_batch))
        .routes(routes!(run_batch))
        .routes(routes!(pause_batch))
        .routes(routes!(cancel_batch))
}
