//! The administration API: HTTP and JSON on a listener of its own.
//!
//! It talks to the relay in [`relay_events`]'s terms alone, and only by questions and answers: what is
//! decided of tenants is decided in [`tenancy`], what is kept is kept by the relay.

mod api;
mod auth;
mod model;
mod problem;
mod request;
mod serve;
mod settings;
mod undeliverable;

use relay_events::RelayEvent;
use runtime::{log, Runtime};
use tokio::sync::{mpsc, watch};

pub use api::{document, LONGEST_BODY};
pub use auth::Tokens;
pub use settings::{Role, Settings, Token};

/// Listens, and serves the API from then on, until the task is ended. The error is one plain line.
///
/// # Errors
///
/// One plain line if the address cannot be parsed or bound.
pub async fn start<R: Runtime>(
    runtime: &R,
    settings: &Settings,
    tokens: watch::Receiver<Tokens>,
    driver: mpsc::Sender<RelayEvent>,
) -> Result<R::Task, String> {
    let address = settings.address()?;
    let listener = runtime.listen(address.clone()).await;
    let listener =
        listener.map_err(|e| format!("cannot listen on {address} for administration: {e}"))?;
    let prefix = format!("{:x}", runtime.unix_time().as_millis());
    let router = api::router(api::Api::new(driver, tokens, &prefix));
    let (connections, pace) = (settings.connections, settings.requests_per_second);
    log!(*runtime, "admin: listening address={address}");
    Ok(runtime.spawn(serve::serve(
        runtime.clone(),
        listener,
        router,
        connections,
        pace,
    )))
}
