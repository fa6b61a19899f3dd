//! Handlers that read records.

use axum::extract::{Path, State};
use axum::http::header::CONTENT_TYPE;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::Json;
use relay_events::undeliverable::{UndeliverableRequest, UndeliverableResponse};
use serde::Deserialize;
use utoipa::IntoParams;
use utoipa_axum::router::OpenApiRouter;
use utoipa_axum::routes;

use super::model::{UndeliverablePage, UndeliverableRecord};
use super::view::{record_response, visible_record};
use crate::auth::Principal;
use crate::paging::{decode_numeric_cursor, encode_cursor, page_size};
use crate::problem::{Problem, ProblemBody};
use crate::query::QueryParameters;
use crate::settings::Role;
use crate::state::{ApiState, HandlerResult};
use crate::undeliverable::filter::RecordFilter;

/// Query parameters of a list of records.
#[derive(Deserialize, IntoParams)]
#[serde(deny_unknown_fields)]
#[into_params(parameter_in = Query)]
struct RecordListParameters {
    /// Page size; 50 if absent.
    #[param(minimum = 1, maximum = 200)]
    limit: Option<usize>,
    /// The `next` of the previous page.
    cursor: Option<String>,
    /// Only records of this destination.
    destination: Option<u16>,
    /// Only records of this class.
    class: Option<String>,
    /// Only records of messages that were given up for this reason.
    reason: Option<String>,
    /// Only records of this tenant.
    tenant: Option<String>,
    /// Only messages given up at this time or later, such as 2026-12-01T08:00:00Z.
    since: Option<String>,
    /// Only messages given up before this time.
    until: Option<String>,
    /// Only messages of which an attempt may have executed, or only those of which none may.
    may_have_run: Option<bool>,
    /// Only records in this state.
    state: Option<String>,
}

/// List undeliverable messages, the newest first. Role: viewer.
#[utoipa::path(get, path = "/v1/undeliverable", tag = "undeliverable", params(RecordListParameters), responses(
    (status = 200, description = "Records of tenants in the token's scope.", body = UndeliverablePage),
    (status = "4XX", description = "The request was rejected; see type and detail.", body = ProblemBody, content_type = "application/problem+json"),
    (status = 503, description = "The store cannot be read now, or the relay has none.", body = ProblemBody, content_type = "application/problem+json")))]
async fn list_undeliverable(
    State(state): State<ApiState>,
    principal: Principal,
    parameters: QueryParameters<RecordListParameters>,
) -> HandlerResult {
    principal.require_role(Role::Viewer)?;
    let RecordListParameters {
        limit,
        cursor,
        destination,
        class,
        reason,
        tenant,
        since,
        until,
        may_have_run,
        state: record_state,
    } = parameters.parsed()?;
    let before = decode_numeric_cursor(cursor)?;
    let filter = RecordFilter {
        destination,
        class,
        reason,
        tenant,
        since,
        until,
        may_have_run,
    };
    let request = UndeliverableRequest::Page {
        filter: filter.for_principal(&principal, record_state)?,
        before,
        limit: page_size(limit)?,
    };
    let UndeliverableResponse::Page(page) = state.relay.request_undeliverable(request).await?
    else {
        return Err(Problem::unexpected_response());
    };
    let items = page
        .records
        .iter()
        .map(|(id, record)| UndeliverableRecord::in_list(*id, record))
        .collect();
    let next = page.next.map(encode_cursor);
    Ok(Json(UndeliverablePage { items, next }).into_response())
}

/// Show a record with its attempts and attestations. Role: viewer.
#[utoipa::path(get, path = "/v1/undeliverable/{id}", tag = "undeliverable", params(("id" = u64, Path)), responses(
    (status = 200, description = "The record.", body = UndeliverableRecord, headers(("ETag" = String, description = "The version."))),
    (status = 404, description = "There is no such record; it may have been evicted.", body = ProblemBody, content_type = "application/problem+json"),
    (status = "4XX", description = "The request was rejected; see type and detail.", body = ProblemBody, content_type = "application/problem+json")))]
async fn show_undeliverable(
    State(state): State<ApiState>,
    principal: Principal,
    Path(id): Path<u64>,
) -> HandlerResult {
    principal.require_role(Role::Viewer)?;
    let view = visible_record(&state, &principal, id).await?;
    Ok(record_response(&view, StatusCode::OK))
}

/// Show the body of a record's message. Role: operator.
#[utoipa::path(get, path = "/v1/undeliverable/{id}/body", tag = "undeliverable", params(("id" = u64, Path)), responses(
    (status = 200, description = "The body, as it was submitted.", body = Vec<u8>, content_type = "application/octet-stream"),
    (status = "4XX", description = "The request was rejected; see type and detail.", body = ProblemBody, content_type = "application/problem+json")))]
async fn undeliverable_body(
    State(state): State<ApiState>,
    principal: Principal,
    Path(id): Path<u64>,
) -> HandlerResult {
    principal.require_role(Role::Operator)?;
    visible_record(&state, &principal, id).await?;
    let request = UndeliverableRequest::Body(id);
    let UndeliverableResponse::Body(body) = state.relay.request_undeliverable(request).await?
    else {
        return Err(Problem::unexpected_response());
    };
    Ok(([(CONTENT_TYPE, "application/octet-stream")], body).into_response())
}

/// The routes that read records.
pub fn routes() -> OpenApiRouter<ApiState> {
    OpenApiRouter::new()
        .routes(routes!(list_undeliverable))
        .routes(routes!(show_undeliverable))
        .routes(routes!(undeliverable_body))
}
