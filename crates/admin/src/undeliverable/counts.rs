//! Counts of records by one of their fields: `/v1/undeliverable/counts`.

use axum::extract::State;
use axum::response::IntoResponse;
use axum::Json;
use relay_events::undeliverable::{UndeliverableRequest, UndeliverableResponse};
use serde::{Deserialize, Serialize};
use undeliverable::store::GroupBy;
use utoipa::{IntoParams, ToSchema};
use utoipa_axum::router::OpenApiRouter;
use utoipa_axum::routes;

use crate::auth::Principal;
use crate::problem::{Problem, ProblemBody};
use crate::query::QueryParameters;
use crate::settings::Role;
use crate::state::{ApiState, HandlerResult};

/// The number of records that have a value.
#[derive(Debug, Serialize, ToSchema)]
pub struct UndeliverableCount {
    /// The value.
    pub value: String,
    /// Number of records.
    pub records: u64,
}

/// The numbers of records, grouped by the values of a field.
#[derive(Debug, Serialize, ToSchema)]
pub struct UndeliverableCounts {
    /// A count for each value.
    pub items: Vec<UndeliverableCount>,
}

/// Query parameters of the counts.
#[derive(Deserialize, IntoParams)]
#[serde(deny_unknown_fields)]
#[into_params(parameter_in = Query)]
struct CountParameters {
    /// destination, class, reason, tenant or state.
    by: String,
}

/// Count undeliverable messages by a field. Role: viewer; fields other than tenant need a token for all tenants.
#[utoipa::path(get, path = "/v1/undeliverable/counts", tag = "undeliverable", params(CountParameters), responses(
    (status = 200, description = "The counts.", body = UndeliverableCounts),
    (status = "4XX", description = "The request was rejected; see type and detail.", body = ProblemBody, content_type = "application/problem+json"),
    (status = 503, description = "The store cannot be read now, or the relay has none.", body = ProblemBody, content_type = "application/problem+json")))]
async fn count_undeliverable(
    State(state): State<ApiState>,
    principal: Principal,
    parameters: QueryParameters<CountParameters>,
) -> HandlerResult {
    principal.require_role(Role::Viewer)?;
    let group_by = parse_group_by(&parameters.parsed()?.by)?;
    if group_by != GroupBy::Tenant && !principal.scope.covers_all() {
        return Err(Problem::forbidden(
            "these counts are of all tenants, the token is not",
        ));
    }
    let request = UndeliverableRequest::Counts(group_by);
    let UndeliverableResponse::Counts(counts) = state.relay.request_undeliverable(request).await?
    else {
        return Err(Problem::unexpected_response());
    };
    let items = counts
        .into_iter()
        .filter(|(value, _)| group_by != GroupBy::Tenant || principal.scope.covers(value))
        .map(|(value, records)| UndeliverableCount {
            value: displayed_value(group_by, value),
            records,
        })
        .collect();
    Ok(Json(UndeliverableCounts { items }).into_response())
}

fn parse_group_by(field: &str) -> Result<GroupBy, Problem> {
    match field {
        "destination" => Ok(GroupBy::Destination),
        "class" => Ok(GroupBy::Class),
        "reason" => Ok(GroupBy::Reason),
        "tenant" => Ok(GroupBy::Tenant),
        "state" => Ok(GroupBy::State),
        _ => Err(Problem::malformed(
            "by is none of destination, class, reason, tenant and state",
        )),
    }
}

/// A value as the API shows it. The store pads destinations with zeros so that they sort by number.
fn displayed_value(group_by: GroupBy, value: String) -> String {
    match group_by {
        GroupBy::Destination => value
            .parse::<u16>()
            .map_or(value, |number| number.to_string()),
        _ => value,
    }
}

/// The routes of counts.
pub fn routes() -> OpenApiRouter<ApiState> {
    OpenApiRouter::new().routes(routes!(count_undeliverable))
}
