//! The router of the API, and its OpenAPI document.

use axum::extract::DefaultBodyLimit;
use axum::http::header::CONTENT_TYPE;
use axum::http::StatusCode;
use axum::Router;
use tenancy::spec::TenantSpec;
use utoipa::openapi::security::{HttpAuthScheme, HttpBuilder, SecurityScheme};
use utoipa::openapi::OpenApi;
use utoipa::{Modify, OpenApi as _};
use utoipa_axum::router::OpenApiRouter;

use crate::problem::Problem;
use crate::state::ApiState;
use crate::{audit, secrets, status, tenants, undeliverable};

/// Maximum size of a request's body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 10;

#[derive(utoipa::OpenApi)]
#[openapi(
    info(title = "madderpitch administration",
        description = "Tenants of a relay: created, changed, paused and removed while traffic flows. Undeliverable \
            messages: listed, claimed and resent. A change names the version that it applies to by If-Match; of two \
            changes of one version, one succeeds. A change that was answered with 2xx survives any end of the process.",
        license(name = "MIT", identifier = "MIT")),
    components(schemas(TenantSpec)),
    security(("bearer" = [])),
    modifiers(&Bearer)
)]
struct Document;

/// Adds the security scheme of bearer tokens to the document.
struct Bearer;

impl Modify for Bearer {
    fn modify(&self, document: &mut OpenApi) {
        let bearer = HttpBuilder::new().scheme(HttpAuthScheme::Bearer).build();
        let components = document.components.get_or_insert_with(Default::default);
        components.add_security_scheme("bearer", SecurityScheme::Http(bearer));
    }
}

fn routes() -> OpenApiRouter<ApiState> {
    OpenApiRouter::with_openapi(Document::openapi())
        .merge(tenants::routes())
        .merge(secrets::routes())
        .merge(audit::routes())
        .merge(status::routes())
        .merge(undeliverable::routes())
}

/// The routes of the API, with the document at `/v1/openapi.json`.
pub fn router(state: ApiState) -> Router {
    let (router, document) = routes().split_for_parts();
    let text = serde_json::to_string(&document).unwrap_or_default();
    let document = move || async move { ([(CONTENT_TYPE, "application/json")], text.clone()) };
    router
        .route("/v1/openapi.json", axum::routing::get(document))
        .fallback(unknown_path)
        .method_not_allowed_fallback(unknown_method)
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .with_state(state)
}

async fn unknown_path() -> Problem {
    Problem::new(
        StatusCode::NOT_FOUND,
        "no-such-path",
        "there is nothing at this path",
    )
}

async fn unknown_method() -> Problem {
    Problem::new(
        StatusCode::METHOD_NOT_ALLOWED,
        "no-such-method",
        "the path has no such method",
    )
}
