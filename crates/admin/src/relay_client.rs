//! Sends requests to the event loop, and converts its refusals to problems.

use axum::http::StatusCode;
use relay_events::tenants::{TenantCall, TenantRequest, TenantResponse};
use relay_events::undeliverable::{
    UndeliverableCall, UndeliverableEvent, UndeliverableRequest, UndeliverableResponse,
};
use relay_events::RelayEvent;
use tokio::sync::{mpsc, oneshot};

use crate::problem::Problem;

/// Sends requests to the event loop and waits for its responses.
#[derive(Clone)]
pub struct RelayClient {
    events: mpsc::Sender<RelayEvent>,
}

impl RelayClient {
    /// Creates a client of the event loop that receives from `events`.
    pub fn new(events: mpsc::Sender<RelayEvent>) -> Self {
        RelayClient { events }
    }

    /// Sends a request about tenants. A refusal, and a change that was not persisted, is returned as an error.
    ///
    /// # Errors
    ///
    /// A [`Problem`] for a refusal, and with status 503 if the relay is stopping or could not persist the change.
    pub async fn request_tenants(&self, request: TenantRequest) -> Result<TenantResponse, Problem> {
        let (reply, response) = oneshot::channel();
        self.send(RelayEvent::Tenants(TenantCall { request, reply }))
            .await?;
        match response.await.map_err(|_| stopping())? {
            TenantResponse::Refused(error) => Err(error.into()),
            TenantResponse::NotPersisted(reason) => Err(Problem::unavailable(reason)),
            response => Ok(response),
        }
    }

    /// Sends a request about undeliverable messages. A refusal of any kind is returned as an error.
    ///
    /// # Errors
    ///
    /// A [`Problem`] for a refusal, with status 429 if too many resends are in progress, and with status 503 if the
    /// relay is stopping or its store cannot be used.
    pub async fn request_undeliverable(
        &self,
        request: UndeliverableRequest,
    ) -> Result<UndeliverableResponse, Problem> {
        let (reply, response) = oneshot::channel();
        let call = UndeliverableCall { request, reply };
        let event = UndeliverableEvent::UndeliverableCall(call);
        self.send(RelayEvent::Undeliverable(event)).await?;
        match response.await.map_err(|_| stopping())? {
            UndeliverableResponse::Refused(error) => Err(error.into()),
            UndeliverableResponse::BatchRefused(error) => Err(error.into()),
            UndeliverableResponse::Unavailable(reason) => Err(Problem::unavailable(reason)),
            UndeliverableResponse::Busy(_) => Err(Problem::new(
                StatusCode::TOO_MANY_REQUESTS,
                "too-much-under-way",
                "as much is sent again as may be beside live messages; nothing was done",
            )),
            response => Ok(response),
        }
    }

    async fn send(&self, event: RelayEvent) -> Result<(), Problem> {
        self.events.send(event).await.map_err(|_| stopping())
    }
}

fn stopping() -> Problem {
    Problem::unavailable("the relay is coming to its end")
}
