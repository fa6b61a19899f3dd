//! The state of the store: `/v1/undeliverable/status`.

use axum::extract::State;
use axum::response::IntoResponse;
use axum::Json;
use relay_events::undeliverable::{StoreReport, UndeliverableRequest, UndeliverableResponse};
use serde::Serialize;
use utoipa::ToSchema;
use utoipa_axum::router::OpenApiRouter;
use utoipa_axum::routes;

use crate::auth::Principal;
use crate::problem::{Problem, ProblemBody};
use crate::settings::Role;
use crate::state::{ApiState, HandlerResult};

/// Records that were evicted.
#[derive(Debug, Serialize, ToSchema)]
pub struct UndeliverableDropped {
    /// Their tenant.
    pub tenant: String,
    /// The cause: age, bytes, tenant-bytes or records.
    pub cause: String,
    /// Their number since the store was created.
    pub records: u64,
}

/// The state of the store of undeliverable messages.
#[derive(Debug, Serialize, ToSchema)]
pub struct UndeliverableStatus {
    /// Number of records.
    pub records: u64,
    /// Their total size in bytes, as counted for the limits.
    pub bytes: u64,
    /// Records that cannot be read.
    pub unreadable: u64,
    /// Undeliverable messages that could not be stored, since the relay's start.
    #[serde(rename = "lost")]
    pub unstored: u64,
    /// Messages that are being resent now.
    pub sending: usize,
    /// Why the store cannot be written now; null if it can.
    #[serde(rename = "trouble")]
    pub error: Option<String>,
    /// Records that were evicted.
    pub dropped: Vec<UndeliverableDropped>,
}

impl From<StoreReport> for UndeliverableStatus {
    fn from(report: StoreReport) -> Self {
        let dropped = report.totals.evictions.into_iter();
        let dropped = dropped.map(|evicted| UndeliverableDropped {
            tenant: evicted.tenant,
            cause: evicted.cause,
            records: evicted.records,
        });
        UndeliverableStatus {
            records: report.totals.records,
            bytes: report.totals.bytes,
            unreadable: report.totals.unreadable_values,
            unstored: report.unstored_messages,
            sending: report.resends_in_flight,
            error: report.error,
            dropped: dropped.collect(),
        }
    }
}

/// Show the state of the store. Role: viewer of all tenants.
#[utoipa::path(get, path = "/v1/undeliverable/status", tag = "undeliverable", responses(
    (status = 200, description = "The state.", body = UndeliverableStatus),
    (status = "4XX", description = "The request was rejected; see type and detail.", body = ProblemBody, content_type = "application/problem+json"),
    (status = 503, description = "The relay has no store of undeliverable messages.", body = ProblemBody, content_type = "application/problem+json")))]
async fn undeliverable_status(
    State(state): State<ApiState>,
    principal: Principal,
) -> HandlerResult {
    principal.require_role(Role::Viewer)?;
    if !principal.scope.covers_all() {
        return Err(Problem::forbidden(
            "the store is that of all tenants, the token is not",
        ));
    }
    let request = UndeliverableRequest::StoreReport;
    let UndeliverableResponse::StoreReport(report) =
        state.relay.request_undeliverable(request).await?
    else {
        return Err(Problem::unexpected_response());
    };
    Ok(Json(UndeliverableStatus::from(report)).into_response())
}

/// The routes of the store's state.
pub fn routes() -> OpenApiRouter<ApiState> {
    OpenApiRouter::new().routes(routes!(undeliverable_status))
}
