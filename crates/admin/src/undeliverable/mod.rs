//! Undeliverable messages: records, batches of resends, and the state of the store.
//!
//! The relay's undeliverable service decides what may be resent; these modules do not. A token sees only the records of
//! its tenants.

mod batches;
mod counts;
mod filter;
mod records;
mod status;
mod timestamp;

use utoipa_axum::router::OpenApiRouter;

use crate::state::ApiState;

/// The routes of undeliverable messages.
pub fn routes() -> OpenApiRouter<ApiState> {
    OpenApiRouter::new()
        .merge(records::routes())
        .merge(counts::routes())
        .merge(status::routes())
        .merge(batches::routes())
}
