//! Tenants: their model, and the handlers of `/v1/tenants`.

mod change;
mod handlers;
mod model;

pub use change::apply_conditional_change;
pub use handlers::routes;
pub use model::Tenant;
