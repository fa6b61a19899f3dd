//! Sends notifications to the platform.

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

/// Upper bound of each wait: for a connection, for the head of the response and for its body.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// A longer response is an error.
const RESPONSE_MAX_BYTES: usize = 64 << 10;

/// Backoff after the first failure to send notifications.
const RETRY_BACKOFF_MIN: Duration = Duration::from_millis(50);

/// Upper bound of the backoff.
const RETRY_BACKOFF_MAX: Duration = Duration::from_secs(1);

/// Sends notifications to the current address until the event loop ends, each until it was answered with status 204.
pub async fn notify<R: Runtime>(
    runtime: R,
    mut current_address: watch::Receiver<SocketAddr>,
    notifications: Rc<Notifications>,
    inputs: mpsc::Sender<RelayEvent>,
) {
    let mut channel = None;
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
            sent = send_batch(&runtime, &mut channel, address, &batch, backoff) => sent,
            changed = current_address.changed() => match changed {
                Ok(()) => Err(DiscoveryError::AddressChanged),
                Err(_) => return,
            },
        };
        if sent.is_err() {
            channel = None;
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

/// Sends a batch, and after a failure waits for the backoff.
async fn send_batch<R: Runtime>(
    runtime: &R,
    channel: &mut Option<RequestChannel<R>>,
    address: SocketAddr,
    batch: &NotificationBatch,
    backoff: Duration,
) -> Result<(), DiscoveryError> {
    let posted = post(runtime, channel, address, batch.body.clone()).await;
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

/// Posts notifications on the channel, or on a new one if there is none that can be used.
async fn post<R: Runtime>(
    runtime: &R,
    channel: &mut Option<RequestChannel<R>>,
    address: SocketAddr,
    body: Bytes,
) -> Result<(), DiscoveryError> {
    let is_usable = match channel {
        Some(open) => open.address() == address && open.becomes_ready(RESPONSE_TIMEOUT).await,
        None => false,
    };
    let channel = match channel {
        Some(open) if is_usable => open,
        _ => channel.insert(RequestChannel::open(runtime, address, RESPONSE_TIMEOUT).await?),
    };
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
