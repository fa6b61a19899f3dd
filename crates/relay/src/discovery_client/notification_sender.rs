//! Sends notifications of undelivered messages to the platform.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, StatusCode};
use relay_events::RelayEvent;
use runtime::{log, Runtime};
use tokio::sync::{mpsc, watch};

use super::error::DiscoveryError;
use super::notifications::{NotificationBatch, Notifications};
use super::request_channel::{collect_body, RequestChannel};

const NOTIFICATIONS_PATH: &str = "/v1/notices";

/// Timeout of each of: opening a connection, receiving the head of the response, and receiving its body.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum size of a response body in bytes; a longer one is an error.
const RESPONSE_MAX_BYTES: usize = 64 << 10;

/// Backoff after the first failure to send notifications.
const RETRY_BACKOFF_MIN: Duration = Duration::from_millis(50);

/// Maximum backoff.
const RETRY_BACKOFF_MAX: Duration = Duration::from_secs(1);

/// Sends notifications to the current address until the event loop ends. Each is retried until it is answered with status
/// 204.
pub async fn send_notifications<R: Runtime>(
    runtime: R,
    mut current_address: watch::Receiver<SocketAddr>,
    notifications: Rc<Notifications>,
    inputs: mpsc::Sender<RelayEvent>,
) {
    let mut backoff = RETRY_BACKOFF_MIN;
    loop {
        let batch = notifications.next_batch();
        if batch.ids.is_empty() {
            notifications.wait_until_added().await;
            continue;
        }
        let address = *current_address.borrow_and_update();
        // If the address changes while the platform processes a batch, the batch goes to the new address as well.
        // Notifications are idempotent.
        let sent = tokio::select! {
            biased;
            sent = send_batch(&runtime, address, &batch, backoff) => sent,
            changed = current_address.changed() => match changed {
                Ok(()) => Err(DiscoveryError::AddressChanged),
                Err(_) => return,
            },
        };
        if sent.is_err() {
            backoff = (backoff * 2).min(RETRY_BACKOFF_MAX);
            continue;
        }
        backoff = RETRY_BACKOFF_MIN;
        notifications.remove(&batch.ids);
        let accepted = RelayEvent::NotificationsAccepted(batch.ids);
        if inputs.send(accepted).await.is_err() {
            return;
        }
    }
}

/// Sends a batch. After a failure, waits for the backoff before returning the error.
async fn send_batch<R: Runtime>(
    runtime: &R,
    address: SocketAddr,
    batch: &NotificationBatch,
    backoff: Duration,
) -> Result<(), DiscoveryError> {
    let posted = post(runtime, address, batch.body.clone()).await;
    if let Err(error) = &posted {
        log!(
            *runtime,
            "discovery: notifications_not_accepted count={} retry_after_ms={} error={error}",
            batch.ids.len(),
            backoff.as_millis()
        );
        runtime.sleep(backoff).await;
    }
    posted
}

/// Posts notifications on a new connection: a response on a reused one could be a copy of the response to an earlier
/// request, as responses carry no identifier.
async fn post<R: Runtime>(
    runtime: &R,
    address: SocketAddr,
    body: Bytes,
) -> Result<(), DiscoveryError> {
    let mut channel = RequestChannel::open(runtime, address, RESPONSE_TIMEOUT).await?;
    let response = channel
        .send(Method::POST, NOTIFICATIONS_PATH, body, RESPONSE_TIMEOUT)
        .await?;
    let status = response.status();
    let body = collect_body(response.into_body(), RESPONSE_MAX_BYTES);
    runtime.timeout(RESPONSE_TIMEOUT, body).await??;
    match status {
        StatusCode::NO_CONTENT => Ok(()),
        status => Err(DiscoveryError::UnexpectedStatus(status)),
    }
}
