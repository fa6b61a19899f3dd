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

/// Which page.
#[derive(Deserialize, IntoParams)]
#[serde(deny_unknown_fields)]
#[into_params(parameter_in = Query)]
struct PageParameters {
    /// Items at most; 50 if absent.
    #[param(minimum = 1, maximum = 200)]
    limit: Option<usize>,
    /// The `next` of the page before.
    cursor: Option<String>,
}

/// How a tenant is removed.
#[derive(Deserialize, IntoParams)]
#[serde(deny_unknown_fields)]
#[into_params(parameter_in = Query)]
struct RemovalParameters {
    /// What becomes of its messages, in place of what its specification says.
    on_removal: Option<OnRemoval>,
}

/// List tenants by name. Role: viewer.
#[utoipa::path(get, path = "/v1/tenants", tag = "tenants", params(PageParameters), responses(
    (status = 200, description = "Some of the tenants in the token's scope.", body = TenantPage),
    (status = "4XX", description = "Not as asked.", body = ProblemBody, content_type = "application/problem+json")))]
async fn list(
    State(state): State<ApiState>,
    principal: Principal,
    parameters: QueryParameters<PageParameters>,
) -> HandlerResult {
    principal.require_role(Role::Viewer)?;
    let parameters = parameters.parsed()?;
    let request = TenantRequest::Page {
        after: decode_cursor(parameters.cursor)?,
        most: page_size(parameters.limit)?,
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

/// Make a tenant. Role: admin.
#[utoipa::path(post, path = "/v1/tenants", tag = "tenants", request_body = NewTenant,
    params(("Idempotency-Key" = Option<String>, Header, description = "The same request with the same key is done once.")),
    responses(
    (status = 201, description = "Made.", body = Tenant,
        headers(("ETag" = String, description = "Its version."), ("Location" = String, description = "Where it is."))),
    (status = 409, description = "There is one of this name, or there are as many as may be.", body = ProblemBody, content_type = "application/problem+json"),
    (status = "4XX", description = "Not as asked.", body = ProblemBody, content_type = "application/problem+json"),
    (status = 503, description = "Not kept; harmless to ask again.", body = ProblemBody, content_type = "application/problem+json")))]
async fn create(State(state): State<ApiState>, request: AuthenticatedRequest) -> HandlerResult {
    request.principal.require_role(Role::Admin)?;
    let NewTenant { name, spec } = request.json_body(JSON)?;
    request.principal.require_role_for(Role::Admin, &name)?;
    let command = request.command(&name, Precondition::Any, Change::Create(spec))?;
    apply_change(&state, command, StatusCode::CREATED).await
}

/// Show a tenant. Role: viewer.
#[utoipa::path(get, path = "/v1/tenants/{name}", tag = "tenants", params(("name" = String, Path),
    ("If-None-Match" = Option<String>, Header, description = "Answered 304 if the tenant is still in this state.")), responses(
    (status = 200, description = "The tenant.", body = Tenant, headers(("ETag" = String, description = "Its version."))),
    (status = 304, description = "It is in the state that was named."),
    (status = 404, description = "There is none, and was none that is remembered.", body = ProblemBody, content_type = "application/problem+json"),
    (status = 410, description = "It was removed and has drained.", body = ProblemBody, content_type = "application/problem+json"),
    (status = "4XX", description = "Not as asked.", body = ProblemBody, content_type = "application/problem+json")))]
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

/// Put another specification in place of a tenant's, or make the tenant with `If-None-Match: *`. Role: operator,
/// admin to make one.
#[utoipa::path(put, path = "/v1/tenants/{name}", tag = "tenants", request_body = Replacement, params(("name" = String, Path),
    ("If-Match" = Option<String>, Header, description = "The tenant's ETag, or * for any state. Needed unless it is to be made."),
    ("If-None-Match" = Option<String>, Header, description = "*: make it; there must be none of this name."),
    ("Idempotency-Key" = Option<String>, Header, description = "The same request with the same key is done once.")), responses(
    (status = 200, description = "The tenant after.", body = Tenant, headers(("ETag" = String, description = "Its version."))),
    (status = 201, description = "Made.", body = Tenant, headers(("ETag" = String, description = "Its version."))),
    (status = 412, description = "It is in another state, which current_version tells.", body = ProblemBody, content_type = "application/problem+json"),
    (status = 428, description = "No state is named.", body = ProblemBody, content_type = "application/problem+json"),
    (status = "4XX", description = "Not as asked.", body = ProblemBody, content_type = "application/problem+json"),
    (status = 503, description = "Not kept; harmless to ask again.", body = ProblemBody, content_type = "application/problem+json")))]
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
    ("If-Match" = String, Header, description = "The tenant's ETag, or * for any state."),
    ("Idempotency-Key" = Option<String>, Header, description = "The same request with the same key is done once.")), responses(
    (status = 200, description = "The tenant after.", body = Tenant, headers(("ETag" = String, description = "Its version."))),
    (status = 412, description = "It is in another state, which current_version tells.", body = ProblemBody, content_type = "application/problem+json"),
    (status = 428, description = "No state is named.", body = ProblemBody, content_type = "application/problem+json"),
    (status = "4XX", description = "Not as asked.", body = ProblemBody, content_type = "application/problem+json"),
    (status = 503, description = "Not kept; harmless to ask again.", body = ProblemBody, content_type = "application/problem+json")))]
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

/// Remove a tenant: nothing more is taken on, what is held ends as its specification says, then it is gone.
/// Role: admin.
#[utoipa::path(delete, path = "/v1/tenants/{name}", tag = "tenants", params(("name" = String, Path), RemovalParameters,
    ("If-Match" = String, Header, description = "The tenant's ETag, or * for any state."),
    ("Idempotency-Key" = Option<String>, Header, description = "The same request with the same key is done once.")), responses(
    (status = 202, description = "It drains.", body = Tenant, headers(("ETag" = String, description = "Its version."))),
    (status = 412, description = "It is in another state, which current_version tells.", body = ProblemBody, content_type = "application/problem+json"),
    (status = 428, description = "No state is named.", body = ProblemBody, content_type = "application/problem+json"),
    (status = "4XX", description = "Not as asked.", body = ProblemBody, content_type = "application/problem+json"),
    (status = 503, description = "Not kept; harmless to ask again.", body = ProblemBody, content_type = "application/problem+json")))]
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

/// Pause a tenant: nothing is taken on and nothing new is sent. Role: operator.
#[utoipa::path(post, path = "/v1/tenants/{name}/pause", tag = "tenants", params(("name" = String, Path),
    ("If-Match" = String, Header, description = "The tenant's ETag, or * for any state."),
    ("Idempotency-Key" = Option<String>, Header, description = "The same request with the same key is done once.")), responses(
    (status = 200, description = "The tenant after.", body = Tenant, headers(("ETag" = String, description = "Its version."))),
    (status = "4XX", description = "Not as asked.", body = ProblemBody, content_type = "application/problem+json"),
    (status = 503, description = "Not kept; harmless to ask again.", body = ProblemBody, content_type = "application/problem+json")))]
async fn pause(
    State(state): State<ApiState>,
    Path(name): Path<String>,
    request: AuthenticatedRequest,
) -> HandlerResult {
    request.principal.require_role_for(Role::Operator, &name)?;
    apply_conditional_change(&state, &request, &name, Change::Pause, StatusCode::OK).await
}

/// Let a paused tenant go on. Role: operator.
#[utoipa::path(post, path = "/v1/tenants/{name}/resume", tag = "tenants", params(("name" = String, Path),
    ("If-Match" = String, Header, description = "The tenant's ETag, or * for any state."),
    ("Idempotency-Key" = Option<String>, Header, description = "The same request with the same key is done once.")), responses(
    (status = 200, description = "The tenant after.", body = Tenant, headers(("ETag" = String, description = "Its version."))),
    (status = "4XX", description = "Not as asked.", body = ProblemBody, content_type = "application/problem+json"),
    (status = 503, description = "Not kept; harmless to ask again.", body = ProblemBody, content_type = "application/problem+json")))]
async fn resume(
    State(state): State<ApiState>,
    Path(name): Path<String>,
    request: AuthenticatedRequest,
) -> HandlerResult {
    request.principal.require_role_for(Role::Operator, &name)?;
    apply_conditional_change(&state, &request, &name, Change::Resume, StatusCode::OK).await
}

/// Show what a tenant has in the relay, and what passed since the relay's start. Role: viewer.
#[utoipa::path(get, path = "/v1/tenants/{name}/usage", tag = "tenants", params(("name" = String, Path)), responses(
    (status = 200, description = "Its usage.", body = TenantUsage),
    (status = "4XX", description = "Not as asked.", body = ProblemBody, content_type = "application/problem+json")))]
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
    // The tenant itself comes first, then the draining ones of its name.
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
