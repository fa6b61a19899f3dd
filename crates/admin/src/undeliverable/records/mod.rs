//! Records of undeliverable messages: their model, and the handlers of `/v1/undeliverable`.

mod actions;
mod model;
mod read;
#[cfg(test)]
mod tests;
mod view;

use utoipa_axum::router::OpenApiRouter;

use crate::state::ApiState;

/// The routes of records.
pub fn routes() -> OpenApiRouter<ApiState> {
    OpenApiRouter::new()
        .merge(read::routes())
        .merge(actions::routes())
}
