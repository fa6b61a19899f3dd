//! The state of the tenant registry: `/v1/status`.

use axum::extract::State;
use axum::response::IntoResponse;
use axum::Json;
use relay_events::tenants::{RegistryReport, TenantRequest, TenantResponse};
use serde::Serialize;
use tenancy::audit::rfc3339;
use utoipa::ToSchema;
use utoipa_axum::router::OpenApiRouter;
use utoipa_axum::routes;

use crate::auth::Principal;
use crate::problem::{Problem, ProblemBody};
use crate::settings::Role;
use crate::state::{ApiState, HandlerResult};

/// The state of the tenant registry.
#[derive(Debug, Serialize, ToSchema)]
pub struct RegistryStatus {
    /// Number of tenants, including draining ones.
    pub tenants: usize,
    /// Sequence number of the last change.
    pub changes: u64,
    /// Changes that were lost to damage of the registry's files; a tenant may be in the state before such a change.
    pub lost_changes: u64,
    /// Changes that are not in the audit log yet.
    pub unwritten_audit_entries: usize,
    /// When the relay started.
    #[schema(format = DateTime)]
    pub since: String,
}

impl From<RegistryReport> for RegistryStatus {
    fn from(report: RegistryReport) -> Self {
        RegistryStatus {
            tenants: report.tenants,
            changes: report.seq,
            lost_changes: report.lost_changes,
            unwritten_audit_entries: report.unlogged_changes,
            since: rfc3339(report.since_ms),
        }
    }
}

/// Show the state of the tenant registry. Role: viewer.
#[utoipa::path(get, path = "/v1/status", tag = "status", responses(
    (status = 200, description = "The state.", body = RegistryStatus),
    (status = "4XX", description = "The request was rejected; see type and detail.", body = ProblemBody, content_type = "application/problem+json")))]
async fn status(State(state): State<ApiState>, principal: Principal) -> HandlerResult {
    principal.require_role(Role::Viewer)?;
    let request = TenantRequest::RegistryReport;
    let TenantResponse::RegistryReport(report) = state.relay.request_tenants(request).await? else {
        return Err(Problem::unexpected_response());
    };
    Ok(Json(RegistryStatus::from(report)).into_response())
}

/// The routes of the registry's state.
pub fn routes() -> OpenApiRouter<ApiState> {
    OpenApiRouter::new().routes(routes!(status))
}
