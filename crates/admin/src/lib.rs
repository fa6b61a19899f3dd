//! The administration API: HTTP and JSON on a listener of its own.
//!
//! It sends [`relay_events`] requests to the event loop and waits for the responses. [`tenancy`] and the relay
//! implement the changes; the API authenticates, authorizes, and translates between HTTP and those requests.
//!
//! Each resource has a module: [`tenants`], [`secrets`], [`audit`], [`status`] and [`undeliverable`]. They use the
//! shared modules (authentication, preconditions, paging, problems), which depend on none of them; [`router`] combines
//! their routes.

mod audit;
mod auth;
mod entity_tag;
mod headers;
mod paging;
mod precondition;
mod problem;
mod query;
mod refusals;
mod relay_client;
mod request;
mod router;
mod secrets;
mod serve;
mod settings;
mod state;
mod status;
mod tenants;
mod undeliverable;

use std::io;

use relay_events::RelayEvent;
use runtime::{log, Address, Runtime};
use tokio::sync::{mpsc, watch};

pub use auth::Tokens;
pub use settings::{Role, Settings, SettingsError, Token};

/// Why the API cannot be started.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The configured address of the listener cannot be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The listener cannot be opened.
    #[error("cannot listen on {address} for administration: {error}")]
    Listen {
        /// Address of the listener.
        address: Address,
        /// The error of the listening socket.
        error: io::Error,
    },
}

/// Opens the listener, and starts the task that serves the API until it is aborted.
///
/// # Errors
///
/// A [`StartError`] if the address cannot be parsed or bound.
pub async fn start<R: Runtime>(
    runtime: &R,
    settings: &Settings,
    tokens: watch::Receiver<Tokens>,
    events: mpsc::Sender<RelayEvent>,
) -> Result<R::Task, StartError> {
    let address = settings.address()?;
    let listener = match runtime.listen(address.clone()).await {
        Ok(listener) => listener,
        Err(error) => return Err(StartError::Listen { address, error }),
    };
    // Request ids begin with the start time, so that no two processes of a relay generate the same id.
    let request_id_prefix = format!("{:x}", runtime.unix_time().as_millis());
    let state = state::ApiState::new(events, tokens, &request_id_prefix);
    let limits = serve::ServeLimits {
        connections: settings.connections,
        requests_per_second: settings.requests_per_second,
    };
    log!(*runtime, "admin: listening address={address}");
    let router = router::router(state);
    let serving = serve::serve(runtime.clone(), listener, router, limits);
    Ok(runtime.spawn(serving))
}
