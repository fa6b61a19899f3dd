//! Handlers of `/v1/tenants`.

use axum::extract::{Path, State};
use axum::http::header::ETAG;
use axum::http::{HeaderMap, StatusCode};
use axum::response::IntoResponse;
use axum::Json;
use relay_events::tenants::{TenantRequest, TenantResponse};
use serde::Deserialize;
use tenancy::registry::{Change, Precondition};
use tenancy::spec::OnRemoval;
use utoipa::IntoParams;
use utoipa_axum::router::OpenApiRouter;
use utoipa_axum::routes;

use super::change::{apply_change, apply_conditional_change, tenant_response};
use super::model::{NewTenant, Patch, Replacement, Tenant, TenantPage, TenantUsage};
use crate::auth::Principal;
use crate::entity_tag::entity_tag_value;
use crate::paging::{decode_cursor, encode_cursor, page_size};
use crate::precondition;
use crate::problem::{Problem, ProblemBody};
use crate::query::QueryParameters;
use crate::request::{AuthenticatedRequest, JSON, MERGE_PATCH};
use crate::settings::Role;
use crate::state::{ApiState, HandlerResult};

/// Query parameters of a list of tenants.
#[derive(Deserialize, IntoParams)]
#[serde(deny_unknown_fields)]
#[into_params(parameter_in = Query)]
struct PageParameters {
    /// Page size; 50 if absent.
    #[param(minimum = 1, maximum = 200)]
    limit: Option<usize>,
    /// The `next` of the previous page.
    cursor: Option<String>,
}

/// Query parameters of the removal of a tenant.
#[derive(Deserialize, IntoParams)]
#[serde(deny_unknown_fields)]
#[into_params(parameter_in = Query)]
struct RemovalParameters {
    /// What happens to its messages; overrides on_removal of its specification.
    on_removal: Option<OnRemoval>,
}

/// List tenants by name. Role: viewer.
#[utoipa::path(get, path = "/v1/tenants", tag = "tenants", params(PageParameters), responses(
    (status = 200, description = "Some of the tenants in the token's scope.", body = TenantPage),
    (status = "4XX", description = "The request was rejected; see type and detail.", body = ProblemBody, content_type = "application/problem+json")))]
async fn list(
    State(state): State<ApiState>,
    principal: Principal,
    parameters: QueryParameters<PageParameters>,
) -> HandlerResult {
    principal.require_role(Role::Viewer)?;
    let parameters = parameters.parsed()?;
    let request = TenantRequest::Page {
        after: decode_cursor(parameters.cursor)?,
        limit: page_size(parameters.limit)?,
        scope: principal.scope,
    };
    let TenantResponse::Page(tenants, has_more) = state.relay.request_tenants(request).await?
    else {
        return Err(Problem::unexpected_response());
    };
    let items: Vec<Tenant> = tenants.into_iter().map(Tenant::from).collect();
    let last_of_more = items.last().filter(|_| has_more);
    let next = last_of_more.map(|last| encode_cursor(&last.name));
    Ok(Json(TenantPage { items, next }).into_response())
}

/// Create a tenant. Role: admin.
#[utoipa::path(post, path = "/v1/tenants", tag = "tenants", request_body = NewTenant,
    params(("Idempotency-Key" = Option<String>, Header, description = "A repeated request with the same key is performed once.")),
    responses(
    (status = 201, description = "Created.", body = Tenant,
        headers(("ETag" = String, description = "The version."), ("Location" = String, description = "The path of what was created."))),
    (status = 409, description = "The name is taken, or the maximum number exists already.", body = ProblemBody, content_type = "application/problem+json"),
    (status = "4XX", description = "The request was rejected; see type and detail.", body = ProblemBody, content_type = "application/problem+json"),
    (status = 503, description = "Nothing was changed; the request may be retried.", body = ProblemBody, content_type = "application/problem+json")))]
async fn create(State(state): State<ApiState>, request: AuthenticatedRequest) -> HandlerResult {
    request.principal.require_role(Role::Admin)?;
    let NewTenant { name, spec } = request.json_body(JSON)?;
    request.principal.require_role_for(Role::Admin, &name)?;
    let command = request.command(&name, Precondition::Any, Change::Create(spec))?;
    apply_change(&state, command, StatusCode::CREATED).await
}

/// Show a tenant. Role: viewer.
#[utoipa::path(get, path = "/v1/tenants/{name}", tag = "tenants", params(("name" = String, Path),
    ("If-None-Match" = Option<String>, Header, description = "The response is 304 if the tenant still has this version.")), responses(
    (status = 200, description = "The tenant.", body = Tenant, headers(("ETag" = String, description = "The version."))),
    (status = 304, description = "The tenant still has that version."),
    (status = 404, description = "There is no tenant of this name, and none is known to have been removed.", body = ProblemBody, content_type = "application/problem+json"),
    (status = 410, description = "The tenant was removed and has drained.", body = ProblemBody, content_type = "application/problem+json"),
    (status = "4XX", description = "The request was rejected; see type and detail.", body = ProblemBody, content_type = "application/problem+json")))]
async fn show(
    State(state): State<ApiState>,
    principal: Principal,
    Path(name): Path<String>,
    headers: HeaderMap,
) -> HandlerResult {
    principal.require_role_for(Role::Viewer, &name)?;
    let known_versions = precondition::if_none_match(&headers)?;
    let request = TenantRequest::Find(name);
    let TenantResponse::Found(view) = state.relay.request_tenants(request).await? else {
        return Err(Problem::unexpected_response());
    };
    let version = view.tenant.version;
    if known_versions.is_some_and(|known| known.matches(version)) {
        let headers = [(ETAG, entity_tag_value(version))];
        return Ok((StatusCode::NOT_MODIFIED, headers).into_response());
    }
    Ok(tenant_response(*view, StatusCode::OK))
}

/// Replace a tenant's specification, or create the tenant with `If-None-Match: *`. Role: operator,
/// admin to create one.
#[utoipa::path(put, path = "/v1/tenants/{name}", tag = "tenants", request_body = Replacement, params(("name" = String, Path),
    ("If-Match" = Option<String>, Header, description = "The tenant's ETag, or * for any version. Required unless the tenant is to be created."),
    ("If-None-Match" = Option<String>, Header, description = "*: create the tenant; no tenant of this name may exist."),
    ("Idempotency-Key" = Option<String>, Header, description = "A repeated request with the same key is performed once.")), responses(
    (status = 200, description = "The tenant after the change.", body = Tenant, headers(("ETag" = String, description = "The version."))),
    (status = 201, description = "Created.", body = Tenant, headers(("ETag" = String, description = "The version."))),
    (status = 412, description = "The tenant has another version, given by current_version.", body = ProblemBody, content_type = "application/problem+json"),
    (status = 428, description = "If-Match is missing.", body = ProblemBody, content_type = "application/problem+json"),
    (status = "4XX", description = "The request was rejected; see type and detail.", body = ProblemBody, content_type = "application/problem+json"),
    (status = 503, description = "Nothing was changed; the request may be retried.", body = ProblemBody, content_type = "application/problem+json")))]
async fn replace(
    State(state): State<ApiState>,
    Path(name): Path<String>,
    request: AuthenticatedRequest,
) -> HandlerResult {
    let creates = request.is_create_only()?;
    let role = if creates { Role::Admin } else { Role::Operator };
    request.principal.require_role_for(role, &name)?;
    let Replacement { spec } = request.json_body(JSON)?;
    if creates {
        let command = request.command(&name, Precondition::Any, Change::Create(spec))?;
        return apply_change(&state, command, StatusCode::CREATED).await;
    }
    let change = Change::Replace(spec);
    apply_conditional_change(&state, &request, &name, change, StatusCode::OK).await
}

/// Change parts of a tenant's specification. Role: operator.
#[utoipa::path(patch, path = "/v1/tenants/{name}", tag = "tenants",
    request_body(content = Patch, content_type = "application/merge-patch+json"), params(("name" = String, Path),
    ("If-Match" = String, Header, description = "The tenant's ETag, or * for any version."),
    ("Idempotency-Key" = Option<String>, Header, description = "A repeated request with the same key is performed once.")), responses(
    (status = 200, description = "The tenant after the change.", body = Tenant, headers(("ETag" = String, description = "The version."))),
    (status = 412, description = "The tenant has another version, given by current_version.", body = ProblemBody, content_type = "application/problem+json"),
    (status = 428, description = "If-Match is missing.", body = ProblemBody, content_type = "application/problem+json"),
    (status = "4XX", description = "The request was rejected; see type and detail.", body = ProblemBody, content_type = "application/problem+json"),
    (status = 503, description = "Nothing was changed; the request may be retried.", body = ProblemBody, content_type = "application/problem+json")))]
async fn merge(
    State(state): State<ApiState>,
    Path(name): Path<String>,
    request: AuthenticatedRequest,
) -> HandlerResult {
    request.principal.require_role_for(Role::Operator, &name)?;
    let Patch { spec } = request.json_body(MERGE_PATCH)?;
    let change = Change::Merge(spec);
    apply_conditional_change(&state, &request, &name, change, StatusCode::OK).await
}

/// Remove a tenant: new messages are not accepted, those in the relay are handled according to on_removal.
/// Role: admin.
#[utoipa::path(delete, path = "/v1/tenants/{name}", tag = "tenants", params(("name" = String, Path), RemovalParameters,
    ("If-Match" = String, Header, description = "The tenant's ETag, or * for any version."),
    ("Idempotency-Key" = Option<String>, Header, description = "A repeated request with the same key is performed once.")), responses(
    (status = 202, description = "The tenant is draining.", body = Tenant, headers(("ETag" = String, description = "The version."))),
    (status = 412, description = "The tenant has another version, given by current_version.", body = ProblemBody, content_type = "application/problem+json"),
    (status = 428, description = "If-Match is missing.", body = ProblemBody, content_type = "application/problem+json"),
    (status = "4XX", description = "The request was rejected; see type and detail.", body = ProblemBody, content_type = "application/problem+json"),
    (status = 503, description = "Nothing was changed; the request may be retried.", body = ProblemBody, content_type = "application/problem+json")))]
async fn remove(
    State(state): State<ApiState>,
    Path(name): Path<String>,
    parameters: QueryParameters<RemovalParameters>,
    request: AuthenticatedRequest,
) -> HandlerResult {
    request.principal.require_role_for(Role::Admin, &name)?;
    let change = Change::Remove(parameters.parsed()?.on_removal);
    apply_conditional_change(&state, &request, &name, change, StatusCode::ACCEPTED).await
}

/// Pause a tenant: new messages are not accepted, and no attempt is started. Role: operator.
#[utoipa::path(post, path = "/v1/tenants/{name}/pause", tag = "tenants", params(("name" = String, Path),
    ("If-Match" = String, Header, description = "The tenant's ETag, or * for any version."),
    ("Idempotency-Key" = Option<String>, Header, description = "A repeated request with the same key is performed once.")), responses(
    (status = 200, description = "The tenant after the change.", body = Tenant, headers(("ETag" = String, description = "The version."))),
    (status = "4XX", description = "The request was rejected; see type and detail.", body = ProblemBody, content_type = "application/problem+json"),
    (status = 503, description = "Nothing was changed; the request may be retried.", body = ProblemBody, content_type = "application/problem+json")))]
async fn pause(
    State(state): State<ApiState>,
    Path(name): Path<String>,
    request: AuthenticatedRequest,
) -> HandlerResult {
    request.principal.require_role_for(Role::Operator, &name)?;
    apply_conditional_change(&state, &request, &name, Change::Pause, StatusCode::OK).await
}

/// Resume a paused tenant. Role: operator.
#[utoipa::path(post, path = "/v1/tenants/{name}/resume", tag = "tenants", params(("name" = String, Path),
    ("If-Match" = String, Header, description = "The tenant's ETag, or * for any version."),
    ("Idempotency-Key" = Option<String>, Header, description = "A repeated request with the same key is performed once.")), responses(
    (status = 200, description = "The tenant after the change.", body = Tenant, headers(("ETag" = String, description = "The version."))),
    (status = "4XX", description = "The request was rejected; see type and detail.", body = ProblemBody, content_type = "application/problem+json"),
    (status = 503, description = "Nothing was changed; the request may be retried.", body = ProblemBody, content_type = "application/problem+json")))]
async fn resume(
    State(state): State<ApiState>,
    Path(name): Path<String>,
    request: AuthenticatedRequest,
) -> HandlerResult {
    request.principal.require_role_for(Role::Operator, &name)?;
    apply_conditional_change(&state, &request, &name, Change::Resume, StatusCode::OK).await
}

/// Show a tenant's current load, and its counters since the relay's start. Role: viewer.
#[utoipa::path(get, path = "/v1/tenants/{name}/usage", tag = "tenants", params(("name" = String, Path)), responses(
    (status = 200, description = "The tenant's usage.", body = TenantUsage),
    (status = "4XX", description = "The request was rejected; see type and detail.", body = ProblemBody, content_type = "application/problem+json")))]
async fn usage(
    State(state): State<ApiState>,
    principal: Principal,
    Path(name): Path<String>,
) -> HandlerResult {
    principal.require_role_for(Role::Viewer, &name)?;
    let request = TenantRequest::UsageReport(name);
    let TenantResponse::UsageReport(reports, since_ms) =
        state.relay.request_tenants(request).await?
    else {
        return Err(Problem::unexpected_response());
    };
    let mut usages = reports
        .into_iter()
        .map(|report| TenantUsage::new(report, since_ms));
    // The first report is that of the tenant itself; those of the draining tenants of its name follow.
    let mut usage = usages.next().ok_or_else(Problem::unexpected_response)?;
    usage.draining = usages.collect();
    Ok(Json(usage).into_response())
}

/// The routes of tenants.
pub fn routes() -> OpenApiRouter<ApiState> {
    OpenApiRouter::new()
        .routes(routes!(list, create))
        .routes(routes!(show, replace, merge, remove))
        .routes(routes!(pause))
        .routes(routes!(resume))
        .routes(routes!(usage))
}
