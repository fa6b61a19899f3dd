//! State that all handlers share.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use axum::extract::FromRequestParts;
use axum::http::header::AUTHORIZATION;
use axum::http::request::Parts;
use axum::response::Response;
use relay_events::RelayEvent;
use tokio::sync::{mpsc, watch};

use crate::auth::{Principal, Tokens};
use crate::problem::Problem;
use crate::relay_client::RelayClient;

/// What a handler returns.
pub type HandlerResult = Result<Response, Problem>;

/// The state of the API. Cloning is cheap.
#[derive(Clone)]
pub struct ApiState {
    /// The event loop.
    pub relay: RelayClient,
    tokens: watch::Receiver<Tokens>,
    next_request_number: Arc<AtomicU64>,
    request_id_prefix: Arc<str>,
}

impl ApiState {
    /// Creates the state of an API that sends its requests to `events`. A request is authenticated with the value of
    /// `tokens` at that time.
    ///
    /// The prefix of request ids has to differ from the prefixes of earlier processes.
    pub fn new(
        events: mpsc::Sender<RelayEvent>,
        tokens: watch::Receiver<Tokens>,
        request_id_prefix: &str,
    ) -> Self {
        ApiState {
            relay: RelayClient::new(events),
            tokens,
            next_request_number: Arc::default(),
            request_id_prefix: request_id_prefix.into(),
        }
    }

    /// Generates an id for a request that has none.
    pub fn generate_request_id(&self) -> String {
        let number = self.next_request_number.fetch_add(1, Ordering::Relaxed);
        format!("{}-{number}", self.request_id_prefix)
    }
}

impl FromRequestParts<ApiState> for Principal {
    type Rejection = Problem;

    async fn from_request_parts(parts: &mut Parts, state: &ApiState) -> Result<Self, Problem> {
        let header = parts
            .headers
            .get(AUTHORIZATION)
            .map(|value| value.to_str().unwrap_or(""));
        state.tokens.borrow().authenticate(header)
    }
}
