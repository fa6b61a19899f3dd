//! The resources. Each handler says who may, asks the relay, and tells its answer.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use axum::extract::{DefaultBodyLimit, Path, Query, State};
use axum::http::header::{ETAG, IF_NONE_MATCH, LOCATION};
use axum::http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::{Json, Router};
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use relay_events::tenants::{TenantCall, TenantRequest, TenantResponse, TenantView};
use relay_events::{undeliverable, RelayEvent};
use serde::Deserialize;
use tenancy::registry::{Change, Command};
use tenancy::spec::{OnRemoval, TenantSpec};
use tokio::sync::{mpsc, oneshot, watch};
use utoipa::openapi::security::{HttpAuthScheme, HttpBuilder, SecurityScheme};
use utoipa::openapi::OpenApi;
use utoipa::{IntoParams, Modify, OpenApi as _};
use utoipa_axum::router::OpenApiRouter;
use utoipa_axum::routes;

use crate::auth::{Caller, Tokens};
use crate::model::{
    AuditPage, NewSecret, NewTenant, Patch, RegistryStatus, Replacement, Tenant, TenantPage,
    TenantUsage,
};
use crate::problem::{Problem, ProblemBody};
use crate::request::{tags, Asked, Tags};
use crate::settings::Role;

/// The longest body of a request, in bytes.
pub const LONGEST_BODY: usize = 64 << 10;
/// Tenants and audit entries of a page: where no limit is given, and at most.
const PAGE: (usize, usize) = (50, 200);
pub(crate) const JSON: &[&str] = &["application/json"];
const PATCH: &[&str] = &["application/merge-patch+json", "application/json"];

/// What the handlers share.
#[derive(Clone)]
pub struct Api {
    driver: mpsc::Sender<RelayEvent>,
    tokens: watch::Receiver<Tokens>,
    requests: Arc<AtomicU64>,
    /// Names of requests begin so; no other process of this relay's had the same.
    prefix: Arc<str>,
}

impl Api {
    /// An API that asks a driver, for the tokens that are in force.
    pub fn new(
        driver: mpsc::Sender<RelayEvent>,
        tokens: watch::Receiver<Tokens>,
        prefix: &str,
    ) -> Self {
        Api {
            driver,
            tokens,
            requests: Arc::default(),
            prefix: prefix.into(),
        }
    }

    /// Whose token a header bears.
    pub fn who(&self, header: Option<&str>) -> Result<Caller, Problem> {
        self.tokens.borrow().who(header)
    }

    /// A name for a request that has none.
    pub fn request_id(&self) -> String {
        format!(
            "{}-{}",
            self.prefix,
            self.requests.fetch_add(1, Ordering::Relaxed)
        )
    }

    /// Asks about undeliverable messages.
    pub(crate) async fn ask_undeliverable(
        &self,
        ask: undeliverable::UndeliverableRequest,
    ) -> Result<undeliverable::UndeliverableResponse, Problem> {
        let (reply, answer) = oneshot::channel();
        let call = undeliverable::UndeliverableEvent::UndeliverableCall(
            undeliverable::UndeliverableCall {
                request: ask,
                reply,
            },
        );
        let gone = || Problem::unavailable("the relay is coming to its end");
        self.driver
            .send(RelayEvent::Undeliverable(call))
            .await
            .map_err(|_| gone())?;
        answer.await.map_err(|_| gone())
    }

    async fn ask(&self, ask: TenantRequest) -> Result<TenantResponse, Problem> {
        let (reply, answer) = oneshot::channel();
        let call = RelayEvent::Tenants(TenantCall {
            request: ask,
            reply,
        });
        let gone = || Problem::unavailable("the relay is coming to its end");
        self.driver.send(call).await.map_err(|_| gone())?;
        match answer.await.map_err(|_| gone())? {
            TenantResponse::Refused(why) => Err(why.into()),
            TenantResponse::NotPersisted(why) => Err(Problem::unavailable(why)),
            told => Ok(told),
        }
    }

    /// Makes a change, and answers with the tenant as it is after.
    async fn change(&self, command: Command, done: StatusCode) -> Result<Response, Problem> {
        let (shown, status, again) =
            match self.ask(TenantRequest::Change(Box::new(command))).await? {
                TenantResponse::Changed {
                    view: shown,
                    is_replay: again,
                    ..
                } => (shown, done, again),
                TenantResponse::Unchanged(shown) => (
                    shown,
                    if done == StatusCode::ACCEPTED {
                        done
                    } else {
                        StatusCode::OK
                    },
                    false,
                ),
                _ => return Err(unexpected()),
            };
        let location =
            (done == StatusCode::CREATED).then(|| format!("/v1/tenants/{}", shown.tenant.name));
        let mut response = tenant(*shown, status);
        let headers = response.headers_mut();
        if let Some(location) = location.and_then(|location| HeaderValue::from_str(&location).ok())
        {
            headers.insert(LOCATION, location);
        }
        if again {
            headers.insert(
                HeaderName::from_static("idempotent-replayed"),
                HeaderValue::from_static("true"),
            );
        }
        Ok(response)
    }
}

pub(crate) fn unexpected() -> Problem {
    Problem::new(
        StatusCode::INTERNAL_SERVER_ERROR,
        "internal",
        "the relay gave another answer than was asked for",
    )
}

fn etag(shown: &TenantView) -> HeaderValue {
    // Digits and a point.
    HeaderValue::from_str(&format!("\"{}\"", shown.tenant.version))
        .unwrap_or(HeaderValue::from_static("\"\""))
}

fn tenant(shown: TenantView, status: StatusCode) -> Response {
    let etag = etag(&shown);
    let mut response = (status, Json(Tenant::from(shown))).into_response();
    response.headers_mut().insert(ETAG, etag);
    response
}

pub(crate) fn cursor(text: Option<String>) -> Result<Option<String>, Problem> {
    let Some(text) = text else { return Ok(None) };
    let bad = || Problem::malformed("the cursor is none of this API's");
    let bytes = URL_SAFE_NO_PAD.decode(text).map_err(|_| bad())?;
    let text = String::from_utf8(bytes).map_err(|_| bad())?;
    text.strip_prefix("v1:")
        .map(|text| Some(text.into()))
        .ok_or_else(bad)
}

pub(crate) fn to_cursor(text: impl std::fmt::Display) -> String {
    URL_SAFE_NO_PAD.encode(format!("v1:{text}"))
}

pub(crate) fn page(limit: Option<usize>) -> Result<usize, Problem> {
    match limit {
        None => Ok(PAGE.0),
        Some(limit) if (1..=PAGE.1).contains(&limit) => Ok(limit),
        Some(_) => Err(Problem::malformed(format!(
            "limit is not from 1 to {}",
            PAGE.1
        ))),
    }
}

pub(crate) type Answer = Result<Response, Problem>;

/// Which page.
#[derive(Deserialize, IntoParams)]
#[serde(deny_unknown_fields)]
#[into_params(parameter_in = Query)]
pub(crate) struct Paging {
    /// Items at most; 50 if absent.
    #[param(minimum = 1, maximum = 200)]
    limit: Option<usize>,
    /// The `next` of the page before.
    cursor: Option<String>,
}

/// Which entries.
#[derive(Deserialize, IntoParams)]
#[serde(deny_unknown_fields)]
#[into_params(parameter_in = Query)]
struct Entries {
    /// Entries at most; 50 if absent.
    #[param(minimum = 1, maximum = 200)]
    limit: Option<usize>,
    /// The `next` of the page before.
    cursor: Option<String>,
    /// Changes of this tenant alone.
    tenant: Option<String>,
}

/// How a tenant is removed.
#[derive(Deserialize, IntoParams)]
#[serde(deny_unknown_fields)]
#[into_params(parameter_in = Query)]
struct Removal {
    /// What becomes of its messages, in place of what its specification says.
    on_removal: Option<OnRemoval>,
}

pub(crate) fn query<T>(
    query: Result<Query<T>, axum::extract::rejection::QueryRejection>,
) -> Result<T, Problem> {
    query
        .map(|Query(query)| query)
        .map_err(|e| Problem::malformed(e.body_text()))
}

pub(crate) type Queried<T> = Result<Query<T>, axum::extract::rejection::QueryRejection>;

/// List tenants by name. Role: viewer.
#[utoipa::path(get, path = "/v1/tenants", tag = "tenants", params(Paging), responses(
    (status = 200, description = "Some of the tenants in the token's scope.", body = TenantPage),
    (status = "4XX", description = "Not as asked.", body = ProblemBody, content_type = "application/problem+json")))]
async fn list(State(api): State<Api>, caller: Caller, asked: Queried<Paging>) -> Answer {
    caller.may(Role::Viewer)?;
    let asked = query(asked)?;
    let (after, most) = (cursor(asked.cursor)?, page(asked.limit)?);
    let TenantResponse::Page(tenants, more) = api
        .ask(TenantRequest::Page {
            after,
            most,
            scope: caller.scope,
        })
        .await?
    else {
        return Err(unexpected());
    };
    let items: Vec<Tenant> = tenants.into_iter().map(Tenant::from).collect();
    let next = items
        .last()
        .filter(|_| more)
        .map(|last| to_cursor(&last.name));
    Ok(Json(TenantPage { items, next }).into_response())
}

/// Make a tenant. Role: admin.
#[utoipa::path(post, path = "/v1/tenants", tag = "tenants", request_body = NewTenant,
    params(("Idempotency-Key" = Option<String>, Header, description = "The same request with the same key is done once.")),
    responses(
    (status = 201, description = "Made.", body = Tenant,
        headers(("ETag" = String, description = "Its version."), ("Location" = String, description = "Where it is."))),
    (status = 409, description = "There is one of this name, or there are as many as may be.", body = ProblemBody, content_type = "application/problem+json"),
    (status = "4XX", description = "Not as asked.", body = ProblemBody, content_type = "application/problem+json"),
    (status = 503, description = "Not kept; harmless to ask again.", body = ProblemBody, content_type = "application/problem+json")))]
async fn create(State(api): State<Api>, asked: Asked) -> Answer {
    asked.caller.may(Role::Admin)?;
    let NewTenant { name, spec } = asked.json(JSON)?;
    asked.caller.may_for(Role::Admin, &name)?;
    let command = asked.command(
        &name,
        tenancy::registry::Precondition::Any,
        Change::Create(spec),
    )?;
    api.change(command, StatusCode::CREATED).await
}

/// Show a tenant. Role: viewer.
#[utoipa::path(get, path = "/v1/tenants/{name}", tag = "tenants", params(("name" = String, Path),
    ("If-None-Match" = Option<String>, Header, description = "Answered 304 if the tenant is still in this state.")), responses(
    (status = 200, description = "The tenant.", body = Tenant, headers(("ETag" = String, description = "Its version."))),
    (status = 304, description = "It is in the state that was named."),
    (status = 404, description = "There is none, and was none that is remembered.", body = ProblemBody, content_type = "application/problem+json"),
    (status = 410, description = "It was removed and has drained.", body = ProblemBody, content_type = "application/problem+json"),
    (status = "4XX", description = "Not as asked.", body = ProblemBody, content_type = "application/problem+json")))]
async fn show(
    State(api): State<Api>,
    caller: Caller,
    Path(name): Path<String>,
    headers: HeaderMap,
) -> Answer {
    caller.may_for(Role::Viewer, &name)?;
    let none = tags(&headers, IF_NONE_MATCH.as_str())?;
    let TenantResponse::Found(shown) = api.ask(TenantRequest::Find(name)).await? else {
        return Err(unexpected());
    };
    let same = match none {
        Some(Tags::Any) => true,
        Some(Tags::These(versions)) => versions.contains(&shown.tenant.version),
        None => false,
    };
    if same {
        return Ok((StatusCode::NOT_MODIFIED, [(ETAG, etag(&shown))]).into_response());
    }
    Ok(tenant(*shown, StatusCode::OK))
}

/// Put another specification in place of a tenant's, or make the tenant with `If-None-Match: *`. Role: operator,
/// admin to make one.
#[utoipa::path(put, path = "/v1/tenants/{name}", tag = "tenants", request_body = Replacement, params(("name" = String, Path),
    ("If-Match" = Option<String>, Header, description = "The tenant's ETag, or * for any state. Needed unless it is to be made."),
    ("If-None-Match" = Option<String>, Header, description = "*: make it; there must be none of this name."),
    ("Idempotency-Key" = Option<String>, Header, description = "The same request with the same key is done once.")), responses(
    (status = 200, description = "The tenant after.", body = Tenant, headers(("ETag" = String, description = "Its version."))),
    (status = 201, description = "Made.", body = Tenant, headers(("ETag" = String, description = "Its version."))),
    (status = 412, description = "It is in another state, which current_version tells.", body = ProblemBody, content_type = "application/problem+json"),
    (status = 428, description = "No state is named.", body = ProblemBody, content_type = "application/problem+json"),
    (status = "4XX", description = "Not as asked.", body = ProblemBody, content_type = "application/problem+json"),
    (status = 503, description = "Not kept; harmless to ask again.", body = ProblemBody, content_type = "application/problem+json")))]
async fn replace(State(api): State<Api>, Path(name): Path<String>, asked: Asked) -> Answer {
    let makes = asked.makes()?;
    asked
        .caller
        .may_for(if makes { Role::Admin } else { Role::Operator }, &name)?;
    let Replacement { spec } = asked.json(JSON)?;
    if makes {
        let any = tenancy::registry::Precondition::Any;
        return api
            .change(
                asked.command(&name, any, Change::Create(spec))?,
                StatusCode::CREATED,
            )
            .await;
    }
    let command = asked.command(&name, asked.expect()?, Change::Replace(spec))?;
    api.change(command, StatusCode::OK).await
}

/// Change parts of a tenant's specification. Role: operator.
#[utoipa::path(patch, path = "/v1/tenants/{name}", tag = "tenants",
    request_body(content = Patch, content_type = "application/merge-patch+json"), params(("name" = String, Path),
    ("If-Match" = String, Header, description = "The tenant's ETag, or * for any state."),
    ("Idempotency-Key" = Option<String>, Header, description = "The same request with the same key is done once.")), responses(
    (status = 200, description = "The tenant after.", body = Tenant, headers(("ETag" = String, description = "Its version."))),
    (status = 412, description = "It is in another state, which current_version tells.", body = ProblemBody, content_type = "application/problem+json"),
    (status = 428, description = "No state is named.", body = ProblemBody, content_type = "application/problem+json"),
    (status = "4XX", description = "Not as asked.", body = ProblemBody, content_type = "application/problem+json"),
    (status = 503, description = "Not kept; harmless to ask again.", body = ProblemBody, content_type = "application/problem+json")))]
async fn merge(State(api): State<Api>, Path(name): Path<String>, asked: Asked) -> Answer {
    asked.caller.may_for(Role::Operator, &name)?;
    let Patch { spec } = asked.json(PATCH)?;
    let command = asked.command(&name, asked.expect()?, Change::Merge(spec))?;
    api.change(command, StatusCode::OK).await
}

/// Remove a tenant: nothing more is taken on, what is held ends as its specification says, then it is gone.
/// Role: admin.
#[utoipa::path(delete, path = "/v1/tenants/{name}", tag = "tenants", params(("name" = String, Path), Removal,
    ("If-Match" = String, Header, description = "The tenant's ETag, or * for any state."),
    ("Idempotency-Key" = Option<String>, Header, description = "The same request with the same key is done once.")), responses(
    (status = 202, description = "It drains.", body = Tenant, headers(("ETag" = String, description = "Its version."))),
    (status = 412, description = "It is in another state, which current_version tells.", body = ProblemBody, content_type = "application/problem+json"),
    (status = 428, description = "No state is named.", body = ProblemBody, content_type = "application/problem+json"),
    (status = "4XX", description = "Not as asked.", body = ProblemBody, content_type = "application/problem+json"),
    (status = 503, description = "Not kept; harmless to ask again.", body = ProblemBody, content_type = "application/problem+json")))]
async fn remove(
    State(api): State<Api>,
    Path(name): Path<String>,
    how: Queried<Removal>,
    asked: Asked,
) -> Answer {
    asked.caller.may_for(Role::Admin, &name)?;
    let how = query(how)?.on_removal;
    let command = asked.command(&name, asked.expect()?, Change::Remove(how))?;
    api.change(command, StatusCode::ACCEPTED).await
}

/// Pause a tenant: nothing is taken on and nothing new is sent. Role: operator.
#[utoipa::path(post, path = "/v1/tenants/{name}/pause", tag = "tenants", params(("name" = String, Path),
    ("If-Match" = String, Header, description = "The tenant's ETag, or * for any state."),
    ("Idempotency-Key" = Option<String>, Header, description = "The same request with the same key is done once.")), responses(
    (status = 200, description = "The tenant after.", body = Tenant, headers(("ETag" = String, description = "Its version."))),
    (status = "4XX", description = "Not as asked.", body = ProblemBody, content_type = "application/problem+json"),
    (status = 503, description = "Not kept; harmless to ask again.", body = ProblemBody, content_type = "application/problem+json")))]
async fn pause(State(api): State<Api>, Path(name): Path<String>, asked: Asked) -> Answer {
    asked.caller.may_for(Role::Operator, &name)?;
    api.change(
        asked.command(&name, asked.expect()?, Change::Pause)?,
        StatusCode::OK,
    )
    .await
}

/// Let a paused tenant go on. Role: operator.
#[utoipa::path(post, path = "/v1/tenants/{name}/resume", tag = "tenants", params(("name" = String, Path),
    ("If-Match" = String, Header, description = "The tenant's ETag, or * for any state."),
    ("Idempotency-Key" = Option<String>, Header, description = "The same request with the same key is done once.")), responses(
    (status = 200, description = "The tenant after.", body = Tenant, headers(("ETag" = String, description = "Its version."))),
    (status = "4XX", description = "Not as asked.", body = ProblemBody, content_type = "application/problem+json"),
    (status = 503, description = "Not kept; harmless to ask again.", body = ProblemBody, content_type = "application/problem+json")))]
async fn resume(State(api): State<Api>, Path(name): Path<String>, asked: Asked) -> Answer {
    asked.caller.may_for(Role::Operator, &name)?;
    api.change(
        asked.command(&name, asked.expect()?, Change::Resume)?,
        StatusCode::OK,
    )
    .await
}

/// Show what a tenant has in the relay, and what passed since the relay's start. Role: viewer.
#[utoipa::path(get, path = "/v1/tenants/{name}/usage", tag = "tenants", params(("name" = String, Path)), responses(
    (status = 200, description = "Its usage.", body = TenantUsage),
    (status = "4XX", description = "Not as asked.", body = ProblemBody, content_type = "application/problem+json")))]
async fn usage(State(api): State<Api>, caller: Caller, Path(name): Path<String>) -> Answer {
    caller.may_for(Role::Viewer, &name)?;
    let TenantResponse::UsageReport(all, since_ms) =
        api.ask(TenantRequest::UsageReport(name)).await?
    else {
        return Err(unexpected());
    };
    let mut all = all
        .into_iter()
        .map(|usage| TenantUsage::new(usage, since_ms));
    let mut first = all.next().ok_or_else(unexpected)?;
    first.draining = all.collect();
    Ok(Json(first).into_response())
}

/// Add a secret that the tenant's clients may name themselves with. Role: admin.
#[utoipa::path(post, path = "/v1/tenants/{name}/secrets", tag = "secrets", request_body = NewSecret, params(("name" = String, Path),
    ("If-Match" = String, Header, description = "The tenant's ETag, or * for any state."),
    ("Idempotency-Key" = Option<String>, Header, description = "The same request with the same key is done once.")), responses(
    (status = 201, description = "The tenant after.", body = Tenant, headers(("ETag" = String, description = "Its version."))),
    (status = "4XX", description = "Not as asked.", body = ProblemBody, content_type = "application/problem+json"),
    (status = 503, description = "Not kept; harmless to ask again.", body = ProblemBody, content_type = "application/problem+json")))]
async fn add_secret(State(api): State<Api>, Path(name): Path<String>, asked: Asked) -> Answer {
    asked.caller.may_for(Role::Admin, &name)?;
    let NewSecret { id, sha256 } = asked.json(JSON)?;
    let sha256 = sha256
        .parse()
        .map_err(|e| Problem::from(tenancy::registry::RegistryError::Invalid(e)))?;
    let command = asked.command(&name, asked.expect()?, Change::AddSecret { id, sha256 })?;
    api.change(command, StatusCode::CREATED).await
}

/// Take a secret away: clients that named themselves with it have to do so anew. Role: admin.
#[utoipa::path(delete, path = "/v1/tenants/{name}/secrets/{id}", tag = "secrets",
    params(("name" = String, Path), ("id" = String, Path),
    ("If-Match" = String, Header, description = "The tenant's ETag, or * for any state."),
    ("Idempotency-Key" = Option<String>, Header, description = "The same request with the same key is done once.")), responses(
    (status = 200, description = "The tenant after.", body = Tenant, headers(("ETag" = String, description = "Its version."))),
    (status = "4XX", description = "Not as asked.", body = ProblemBody, content_type = "application/problem+json"),
    (status = 503, description = "Not kept; harmless to ask again.", body = ProblemBody, content_type = "application/problem+json")))]
async fn drop_secret(
    State(api): State<Api>,
    Path((name, id)): Path<(String, String)>,
    asked: Asked,
) -> Answer {
    asked.caller.may_for(Role::Admin, &name)?;
    let command = asked.command(&name, asked.expect()?, Change::DropSecret(id))?;
    api.change(command, StatusCode::OK).await
}

/// Show the newest changes, each with who made it, from what and to what. Role: operator.
#[utoipa::path(get, path = "/v1/audit", tag = "audit", params(Entries), responses(
    (status = 200, description = "Changes of tenants in the token's scope.", body = AuditPage),
    (status = "4XX", description = "Not as asked.", body = ProblemBody, content_type = "application/problem+json")))]
async fn audit(State(api): State<Api>, caller: Caller, asked: Queried<Entries>) -> Answer {
    caller.may(Role::Operator)?;
    let asked = query(asked)?;
    let before = cursor(asked.cursor)?.map(|text| text.parse::<u64>());
    let before = before
        .transpose()
        .map_err(|_| Problem::malformed("the cursor is none of this list's"))?;
    let ask = TenantRequest::Audit {
        before,
        most: page(asked.limit)?,
        scope: caller.scope,
        tenant: asked.tenant,
    };
    let TenantResponse::Audit(items, more) = api.ask(ask).await? else {
        return Err(unexpected());
    };
    let next = items
        .last()
        .filter(|_| more)
        .map(|last| to_cursor(last.seq));
    Ok(Json(AuditPage { items, next }).into_response())
}

/// Show how the registry does. Role: viewer.
#[utoipa::path(get, path = "/v1/status", tag = "status", responses(
    (status = 200, description = "Its figures.", body = RegistryStatus),
    (status = "4XX", description = "Not as asked.", body = ProblemBody, content_type = "application/problem+json")))]
async fn status(State(api): State<Api>, caller: Caller) -> Answer {
    caller.may(Role::Viewer)?;
    let TenantResponse::RegistryReport(status) = api.ask(TenantRequest::RegistryReport).await?
    else {
        return Err(unexpected());
    };
    Ok(Json(RegistryStatus::from(status)).into_response())
}

#[derive(utoipa::OpenApi)]
#[openapi(
    info(title = "madderpitch administration",
        description = "Tenants of a relay: made, changed, paused and removed while traffic flows. Undeliverable messages: \
            looked through, claimed and sent again. A change names the state that it is meant for by If-Match; of two \
            who change the same state, one wins. What was answered with 2xx holds over any end of the process.",
        license(name = "MIT", identifier = "MIT")),
    components(schemas(TenantSpec)),
    security(("bearer" = [])),
    modifiers(&Bearer)
)]
struct Document;

struct Bearer;

impl Modify for Bearer {
    fn modify(&self, document: &mut OpenApi) {
        let bearer = HttpBuilder::new().scheme(HttpAuthScheme::Bearer).build();
        let components = document.components.get_or_insert_with(Default::default);
        components.add_security_scheme("bearer", SecurityScheme::Http(bearer));
    }
}

fn routes() -> OpenApiRouter<Api> {
    OpenApiRouter::with_openapi(Document::openapi())
        .routes(routes!(list, create))
        .routes(routes!(show, replace, merge, remove))
        .routes(routes!(pause))
        .routes(routes!(resume))
        .routes(routes!(usage))
        .routes(routes!(add_secret))
        .routes(routes!(drop_secret))
        .routes(routes!(audit))
        .routes(routes!(status))
        .merge(crate::undeliverable::routes())
}

/// The API's document, from the code.
#[must_use]
pub fn document() -> OpenApi {
    routes().split_for_parts().1
}

/// The routes with their document at `/v1/openapi.json`.
pub fn router(api: Api) -> Router {
    let (router, document) = routes().split_for_parts();
    let text = serde_json::to_string(&document).unwrap_or_default();
    let document = move || async move { ([("content-type", "application/json")], text.clone()) };
    let no_path = || async {
        Problem::new(
            StatusCode::NOT_FOUND,
            "no-such-path",
            "there is nothing at this path",
        )
    };
    let no_method = || async {
        Problem::new(
            StatusCode::METHOD_NOT_ALLOWED,
            "no-such-method",
            "the path has no such method",
        )
    };
    router
        .route("/v1/openapi.json", axum::routing::get(document))
        .fallback(no_path)
        .method_not_allowed_fallback(no_method)
        .layer(DefaultBodyLimit::max(LONGEST_BODY))
        .with_state(api)
}
