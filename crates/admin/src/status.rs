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

/// How the registry does.
#[derive(Debug, Serialize, ToSchema)]
pub struct RegistryStatus {
    /// Tenants there are, those that drain among them.
    pub tenants: usize,
    /// Number of the last change.
    pub changes: u64,
    /// Changes that were lost to damage of the registry's files; a tenant may stand as it did before one.
    pub lost_changes: u64,
    /// Changes that could not be written to the audit log yet.
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

/// Show how the registry does. Role: viewer.
#[utoipa::path(get, path = "/v1/status", tag = "status", responses(
    (status = 200, description = "Its figures.", body = RegistryStatus),
    (status = "4XX", description = "Not as asked.", body = ProblemBody, content_type = "application/problem+json")))]
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
