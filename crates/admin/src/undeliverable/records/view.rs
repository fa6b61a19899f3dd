//! A single record: the check that the principal may see it, and the response that shows it.

use axum::http::header::ETAG;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::Json;
use relay_events::undeliverable::{RecordView, UndeliverableRequest, UndeliverableResponse};
use undeliverable::record::RecordError;
use undeliverable::RecordId;

use super::model::UndeliverableRecord;
use crate::auth::Principal;
use crate::entity_tag::entity_tag_value;
use crate::problem::Problem;
use crate::state::ApiState;

/// A record that the principal may see.
///
/// # Errors
///
/// A [`Problem`] with status 404 if there is none, or if it is out of the token's scope.
pub async fn visible_record(
    state: &ApiState,
    principal: &Principal,
    id: RecordId,
) -> Result<RecordView, Problem> {
    let request = UndeliverableRequest::Find(id);
    let UndeliverableResponse::Found(view) = state.relay.request_undeliverable(request).await?
    else {
        return Err(Problem::unexpected_response());
    };
    if principal.scope.covers(view.record.origin.tenant_name()) {
        Ok(*view)
    } else {
        Err(RecordError::NoRecord.into())
    }
}

/// A response that shows a record, with its version as entity tag.
pub fn record_response(view: &RecordView, status: StatusCode) -> Response {
    let body = Json(UndeliverableRecord::from(view));
    let mut response = (status, body).into_response();
    let etag = entity_tag_value(view.record.version);
    response.headers_mut().insert(ETAG, etag);
    response
}
