//! Batches of resends: their model, and the handlers of `/v1/undeliverable-batches`.

mod handlers;
mod model;

pub use handlers::routes;
