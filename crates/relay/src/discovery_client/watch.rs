//! Watches the host list of discovery for changes.

#[cfg(test)]
mod tests;

use std::cell::RefCell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, StatusCode};
use membership::poll_schedule::WATCH_SILENCE_TIMEOUT;
use membership::{HostMembership, ListFreshness, ReceivedList};
use policy::types::HostState;
use relay_events::{HostList, RelayEvent};
use runtime::{log, Elapsed, Runtime};
use tokio::sync::{mpsc, watch};

use super::error::{DiscoveryError, InvalidListError};
use super::list_decoder::{ListDecoder, StreamItem};
use super::request_channel::{collect_body, RequestChannel};

const LIST_PATH: &str = "/catalog/members";

/// A new watch that delivers nothing for this long confirms the current list, because discovery sends pending changes
/// at once.
const CONFIRMATION_DELAY: Duration = Duration::from_millis(100);

/// Watches the host list at the current address until the event loop ends.
///
/// The first watch starts at `version`. Each further watch of the same address continues at the version that the
/// previous one reached.
pub async fn watch_host_list<R: Runtime>(
    runtime: R,
    mut current_address: watch::Receiver<SocketAddr>,
    version: u64,
    members: Rc<RefCell<HostMembership>>,
    inputs: mpsc::Sender<RelayEvent>,
    max_list_bytes: usize,
) {
    let initial_delay = members.borrow_mut().poll_schedule.initial_delay();
    runtime.sleep(initial_delay).await;
    let address = *current_address.borrow();
    let mut watch = DiscoveryWatch::new(runtime, address, version, members, inputs, max_list_bytes);
    loop {
        watch.address = *current_address.borrow_and_update();
        tokio::select! {
            biased;
            // A watch must not deliver anything after its address was removed from the configuration.
            changed = current_address.changed() => if changed.is_err() {
                return;
            },
            () = watch.run() => return,
        }
        // Lists from the old address remain valid, but the new address may number its versions differently.
        watch.needs_full_snapshot = true;
        if watch.deliver_list().await.is_err() {
            return;
        }
    }
}

/// The watch of one address at a time.
struct DiscoveryWatch<R: Runtime> {
    runtime: R,
    address: SocketAddr,
    /// Version of the current list.
    version: u64,
    /// Whether the changes since the current list are unknown, so that a full snapshot has to be requested.
    needs_full_snapshot: bool,
    /// Whether discovery has neither confirmed nor sent a list to this process.
    is_unconfirmed: bool,
    /// Whether the running watch has delivered a list or a heartbeat.
    has_received: bool,
    /// A list that was applied here but not yet sent to the event loop.
    undelivered_list: Option<HostList>,
    members: Rc<RefCell<HostMembership>>,
    inputs: mpsc::Sender<RelayEvent>,
    /// Maximum size of a list in bytes.
    max_list_bytes: usize,
}

/// A response whose body has not been read yet.
struct OpenResponse<R: Runtime> {
    body: Incoming,
    /// Keeps the connection of the body open.
    channel: RequestChannel<R>,
}

impl<R: Runtime> DiscoveryWatch<R> {
    fn new(
        runtime: R,
        address: SocketAddr,
        version: u64,
        members: Rc<RefCell<HostMembership>>,
        inputs: mpsc::Sender<RelayEvent>,
        max_list_bytes: usize,
    ) -> Self {
        // In push mode, the agent runs on the same machine and answers a request for a full snapshot at once, whereas a
        // watch may stay silent until its first heartbeat after 2 s.
        let needs_full_snapshot = members.borrow().poll_schedule.is_push();
        DiscoveryWatch {
            runtime,
            address,
            version,
            needs_full_snapshot,
            is_unconfirmed: true,
            has_received: false,
            undelivered_list: None,
            members,
            inputs,
            max_list_bytes,
        }
    }

    /// Watches the address until the event loop ends, with a delay after each watch that has failed.
    async fn run(&mut self) {
        let mut is_failure_logged = false;
        loop {
            self.has_received = false;
            let started = self.runtime.now();
            let Err(error) = self.watch_once().await;
            let delay = self.next_delay(&error, started);
            self.needs_full_snapshot |= error.is_invalid_list();
            // Logs only the first of a series of failures.
            if !is_failure_logged || self.has_received {
                self.log_failure(&error);
            }
            is_failure_logged = true;
            if self.inputs.is_closed() {
                return;
            }
            self.runtime.sleep(delay).await;
        }
    }

    /// The delay before the next watch, after one that began at `started` has failed.
    fn next_delay(&self, error: &DiscoveryError, started: Instant) -> Duration {
        let schedule = &mut self.members.borrow_mut().poll_schedule;
        let is_invalid_list = error.is_invalid_list();
        // A valid full snapshot that is followed at once by an invalid list does not count as a success: discovery may
        // repeat this on each request.
        let was_long = || self.runtime.now() >= started + WATCH_SILENCE_TIMEOUT;
        if self.has_received && (!is_invalid_list || was_long()) {
            schedule.record_success();
        }
        if is_invalid_list {
            schedule.next_delay_after_bad_list()
        } else {
            schedule.next_delay()
        }
    }

    fn log_failure(&self, error: &DiscoveryError) {
        let address = self.address;
        if error.is_invalid_list() {
            log!(
                self.runtime,
                "discovery: list_rejected address={address} error={error}"
            );
        } else {
            log!(
                self.runtime,
                "discovery: watch_ended address={address} error={error}"
            );
        }
    }

    /// Requests a full snapshot if one is needed, and then reads changes until the watch fails.
    async fn watch_once(&mut self) -> Result<Infallible, DiscoveryError> {
        if self.needs_full_snapshot {
            let list = self.request_full_snapshot().await?;
            self.apply_list(list).await?;
            self.has_received = true;
            self.needs_full_snapshot = false;
        }
        let path = format!("{LIST_PATH}?follow=1&since={}", self.version);
        // Dropped in reverse order: the body before its connection.
        let OpenResponse {
            channel: _channel,
            mut body,
        } = self.send_list_request(&path).await?;
        let mut decoder = ListDecoder::new(self.max_list_bytes);
        let mut transfer_started = None;
        loop {
            let deadline = self.read_deadline(decoder.is_in_list(), &mut transfer_started);
            let frame = match self.runtime.timeout_at(deadline, body.frame()).await {
                Ok(frame) => frame.ok_or(DiscoveryError::WatchClosed)??,
                Err(elapsed) => {
                    self.handle_read_timeout(decoder.is_in_list(), elapsed)
                        .await?;
                    continue;
                }
            };
            if let Ok(data) = frame.into_data() {
                decoder.extend(&data);
                self.handle_items(&mut decoder).await?;
            }
        }
    }

    /// The deadline for the next bytes of a watch. `transfer_started` is the time since which a list has been incomplete.
    fn read_deadline(&self, is_in_list: bool, transfer_started: &mut Option<Instant>) -> Instant {
        let now = self.runtime.now();
        // Discovery may stop responding while its connections stay open, which causes no error.
        let mut deadline = now + WATCH_SILENCE_TIMEOUT;
        if is_in_list {
            let transfer_timeout = self.members.borrow().poll_schedule.transfer_timeout();
            let started = *transfer_started.get_or_insert(now);
            deadline = deadline.min(started + transfer_timeout);
        } else {
            *transfer_started = None;
        }
        if self.is_unconfirmed {
            deadline = deadline.min(now + CONFIRMATION_DELAY);
        }
        deadline
    }

    /// Handles a watch that delivered no bytes before its deadline.
    async fn handle_read_timeout(
        &mut self,
        is_in_list: bool,
        elapsed: Elapsed,
    ) -> Result<(), DiscoveryError> {
        if is_in_list {
            Err(InvalidListError::Incomplete.into())
        } else if self.is_unconfirmed {
            self.deliver_confirmation().await
        } else {
            Err(elapsed.into())
        }
    }

    /// Handles the complete items in the decoder.
    async fn handle_items(&mut self, decoder: &mut ListDecoder) -> Result<(), DiscoveryError> {
        while let Some(item) = decoder.next_item()? {
            match item {
                StreamItem::List(list) => self.apply_list(list).await?,
                StreamItem::Heartbeat => self.handle_heartbeat().await?,
            }
            self.has_received = true;
        }
        Ok(())
    }

    async fn handle_heartbeat(&mut self) -> Result<(), DiscoveryError> {
        // In poll mode, the time of each confirmation is cached for the next process.
        let is_poll = !self.members.borrow().poll_schedule.is_push();
        if self.is_unconfirmed || is_poll {
            self.deliver_confirmation().await?;
        }
        Ok(())
    }

    /// Applies a list. From a list that is older than the current one, applies only the hosts that are draining or removed,
    /// and then fails.
    async fn apply_list(&mut self, list: HostList) -> Result<(), DiscoveryError> {
        let received = ReceivedList {
            version: list.version,
            is_full: list.is_full,
        };
        let now = self.runtime.now();
        let freshness = self
            .members
            .borrow_mut()
            .check_freshness(received, self.version, now);
        self.is_unconfirmed = false;
        if freshness == ListFreshness::Current {
            self.version = list.version;
            self.undelivered_list = Some(list);
            return self.deliver_list().await;
        }
        let received = list.version;
        self.undelivered_list = Some(HostList {
            version: self.version,
            is_full: false,
            hosts: list
                .hosts
                .into_iter()
                .filter(|host| host.state != HostState::Ready)
                .collect(),
        });
        self.deliver_list().await?;
        Err(InvalidListError::Stale {
            received,
            current: self.version,
        }
        .into())
    }

    /// Sends the undelivered list, if there is one, to the event loop.
    ///
    /// The list stays in place until the event loop has capacity for it. If the address changes in the meantime, the
    /// future of the watch is dropped, and [`watch_host_list`] delivers the list.
    async fn deliver_list(&mut self) -> Result<(), DiscoveryError> {
        if self.undelivered_list.is_some() {
            let permit = self
                .inputs
                .reserve()
                .await
                .map_err(|_| DiscoveryError::EventLoopStopped)?;
            if let Some(list) = self.undelivered_list.take() {
                permit.send(RelayEvent::HostListReceived(list));
            }
        }
        Ok(())
    }

    /// Reports to the event loop that the current list is up to date.
    async fn deliver_confirmation(&mut self) -> Result<(), DiscoveryError> {
        self.is_unconfirmed = false;
        self.inputs
            .send(RelayEvent::HostListConfirmed)
            .await
            .map_err(|_| DiscoveryError::EventLoopStopped)
    }

    async fn request_full_snapshot(&self) -> Result<HostList, DiscoveryError> {
        let OpenResponse {
            channel: _channel,
            body,
        } = self.send_list_request(LIST_PATH).await?;
        let transfer_timeout = self.members.borrow().poll_schedule.transfer_timeout();
        let body = collect_body(body, self.max_list_bytes);
        let text = self.runtime.timeout(transfer_timeout, body).await??;
        let mut list: HostList =
            serde_json::from_slice(&text).map_err(InvalidListError::Malformed)?;
        list.is_full = true;
        Ok(list)
    }

    /// Sends a request on a new connection, and returns once the head of the response has arrived.
    async fn send_list_request(&self, path: &str) -> Result<OpenResponse<R>, DiscoveryError> {
        let timeout = {
            let mut members = self.members.borrow_mut();
            members.poll_started(self.runtime.now());
            members.poll_schedule.response_timeout()
        };
        // One timeout covers both steps, as failing to connect and failing to answer have the same cause: an unresponsive
        // agent.
        let deadline = self.runtime.now() + timeout;
        let mut channel = RequestChannel::open(&self.runtime, self.address, timeout).await?;
        let remaining = deadline.saturating_duration_since(self.runtime.now());
        let response = channel
            .send(Method::GET, path, Bytes::new(), remaining)
            .await?;
        if response.status() != StatusCode::OK {
            return Err(DiscoveryError::UnexpectedStatus(response.status()));
        }
        Ok(OpenResponse {
            body: response.into_body(),
            channel,
        })
    }
}
