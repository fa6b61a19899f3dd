//! The audit log: `/v1/audit`.

use axum::extract::State;
use axum::response::IntoResponse;
use axum::Json;
use relay_events::tenants::{TenantRequest, TenantResponse};
use serde::{Deserialize, Serialize};
use tenancy::audit::Entry;
use utoipa::{IntoParams, ToSchema};
use utoipa_axum::router::OpenApiRouter;
use utoipa_axum::routes;

use crate::auth::Principal;
use crate::paging::{decode_numeric_cursor, encode_cursor, page_size};
use crate::problem::{Problem, ProblemBody};
use crate::query::QueryParameters;
use crate::settings::Role;
use crate::state::{ApiState, HandlerResult};

/// A page of the audit log.
#[derive(Debug, Serialize, ToSchema)]
pub struct AuditPage {
    /// Entries, the newest first.
    pub items: Vec<Entry>,
    /// The cursor of the next page; null on the last page. Older entries may still be in the log's files.
    pub next: Option<String>,
}

/// Query parameters of the audit log.
#[derive(Deserialize, IntoParams)]
#[serde(deny_unknown_fields)]
#[into_params(parameter_in = Query)]
struct AuditParameters {
    /// Page size; 50 if absent.
    #[param(minimum = 1, maximum = 200)]
    limit: Option<usize>,
    /// The `next` of the previous page.
    cursor: Option<String>,
    /// Only changes of this tenant.
    tenant: Option<String>,
}

/// List changes of tenants, the newest first, with actor, state before and state after. Role: operator.
#[utoipa::path(get, path = "/v1/audit", tag = "audit", params(AuditParameters), responses(
    (status = 200, description = "Changes of tenants in the token's scope.", body = AuditPage),
    (status = "4XX", description = "The request was rejected; see type and detail.", body = ProblemBody, content_type = "application/problem+json")))]
async fn audit(
    State(state): State<ApiState>,
    principal: Principal,
    parameters: QueryParameters<AuditParameters>,
) -> HandlerResult {
    principal.require_role(Role::Operator)?;
    let parameters = parameters.parsed()?;
    let request = TenantRequest::Audit {
        before: decode_numeric_cursor(parameters.cursor)?,
        limit: page_size(parameters.limit)?,
        scope: principal.scope,
        tenant: parameters.tenant,
    };
    let TenantResponse::Audit(items, has_more) = state.relay.request_tenants(request).await? else {
        return Err(Problem::unexpected_response());
    };
    let last_of_more = items.last().filter(|_| has_more);
    let next = last_of_more.map(|last| encode_cursor(last.seq));
    Ok(Json(AuditPage { items, next }).into_response())
}

/// The routes of the audit log.
pub fn routes() -> OpenApiRouter<ApiState> {
    OpenApiRouter::new().routes(routes!(audit))
}
