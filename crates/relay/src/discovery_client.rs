//! Discovery: the list of hosts, the watch on its changes, and the notices to the platform.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HOST;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use membership::poll_schedule::WATCH_SILENCE_TIMEOUT;
use membership::{HostMembership, ListFreshness};
use policy::types::{HostState, MessageId};
use relay_events::{DeliveryFailure, HostList, RelayEvent};
use runtime::{log, Runtime, Stream, Task};
use serde::Serialize;
use tokio::sync::{mpsc, watch, Notify};

use crate::list_decoder::{Item, ListDecoder, LONGEST};

/// A new watch on which nothing comes for so long has nothing to tell that is not known.
const LINGER: Duration = Duration::from_millis(100);
/// Longest wait for a connection that is to take notices, or for the answer to them.
const PATIENCE: Duration = Duration::from_secs(1);
/// Bounds of the rest between two tries to send notices.
const REST: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));
/// More of the answer to notices is not read.
const LONGEST_ANSWER: usize = 64 << 10;
/// Notices in one request.
const NOTICES: usize = 200;
type Failure = Box<dyn std::error::Error + Send + Sync>;

/// A connection to discovery, which is closed when this is dropped.
struct Channel<R: Runtime> {
    runtime: R,
    sender: SendRequest<Full<Bytes>>,
    task: R::Task,
}

impl<R: Runtime> Channel<R> {
    async fn open(runtime: &R, address: SocketAddr, patience: Duration) -> Result<Self, Failure> {
        let stream = runtime
            .timeout(patience, runtime.connect(address))
            .await??;
        stream.set_nodelay()?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let task = runtime.spawn(async move { drop(connection.await) });
        Ok(Channel {
            runtime: runtime.clone(),
            sender,
            task,
        })
    }

    async fn ask(
        &mut self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: String,
        patience: Duration,
    ) -> Result<Response<Incoming>, Failure> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, address.to_string());
        let answer = self
            .sender
            .send_request(request.body(Full::new(body.into()))?);
        Ok(self.runtime.timeout(patience, answer).await??)
    }
}

impl<R: Runtime> Drop for Channel<R> {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Follows the list for ever, from a version on, at the address that is in force; every connection to the
/// same address starts where the last one ended.
pub async fn follow<R: Runtime>(
    runtime: R,
    mut at: watch::Receiver<SocketAddr>,
    version: u64,
    members: Rc<RefCell<HostMembership>>,
    inputs: mpsc::Sender<RelayEvent>,
) {
    let start = members.borrow_mut().poll_schedule.initial_delay();
    runtime.sleep(start).await;
    // An agent beside the relay confirms a list at once where it is asked for it whole; a watch may say nothing for 2 s.
    let whole = members.borrow().poll_schedule.is_push();
    let address = *at.borrow();
    let taken = None;
    let mut follower = DiscoveryWatch {
        runtime,
        address,
        version,
        whole,
        silent: true,
        taken,
        members,
        inputs,
    };
    loop {
        follower.address = *at.borrow_and_update();
        tokio::select! {
            biased;
            // Guards against a watch on an address that the configuration has left: it tells nothing more.
            changed = at.changed() => if changed.is_err() {
                return;
            },
            () = follower.follow() => return,
        }
        // What the old one told counts, also where it moved before that was handed on. The new one is asked for the whole
        // list first.
        follower.whole = true;
        if follower.hand_on().await.is_err() {
            return;
        }
    }
}

/// What ended a watch.
enum Cut {
    /// It broke, or said nothing, or is not to be had.
    Ended(Failure),
    /// What it said can't be used, and counts as told.
    Spoilt(Failure),
}

impl<E: Into<Failure>> From<E> for Cut {
    fn from(error: E) -> Self {
        Cut::Ended(error.into())
    }
}

/// Follows the list at one address.
struct DiscoveryWatch<R: Runtime> {
    runtime: R,
    address: SocketAddr,
    version: u64,
    /// The whole list is wanted, as what has come since the one in force is not known.
    whole: bool,
    /// This process has not heard from discovery.
    silent: bool,
    /// A list that is in force and has to be handed on.
    taken: Option<HostList>,
    members: Rc<RefCell<HostMembership>>,
    inputs: mpsc::Sender<RelayEvent>,
}

impl<R: Runtime> DiscoveryWatch<R> {
    async fn follow(&mut self) {
        let mut logged = false;
        loop {
            let (mut heard, began) = (false, self.runtime.now());
            let Err(cut) = self.listen(&mut heard).await;
            let spoilt = matches!(cut, Cut::Spoilt(_));
            let rest = {
                let pace = &mut self.members.borrow_mut().poll_schedule;
                // Guards a discovery whose whole list is sound and whose watch is not: what it said between is no news.
                if heard && (!spoilt || self.runtime.now() >= began + WATCH_SILENCE_TIMEOUT) {
                    pace.record_success();
                }
                if spoilt {
                    pace.next_delay_after_bad_list()
                } else {
                    pace.next_delay()
                }
            };
            self.whole |= spoilt;
            if !logged || heard {
                let (address, runtime) = (self.address, &self.runtime);
                match cut {
                    Cut::Ended(error) => {
                        log!(*runtime, "discovery: the watch at {address} ended: {error}")
                    }
                    Cut::Spoilt(error) => {
                        log!(
                            *runtime,
                            "discovery: what {address} told cannot be used: {error}"
                        )
                    }
                }
            }
            logged = true;
            if self.inputs.is_closed() {
                return;
            }
            self.runtime.sleep(rest).await;
        }
    }

    /// Asks for what is wanted and reads what comes, until it ends.
    async fn listen(&mut self, heard: &mut bool) -> Result<Infallible, Cut> {
        if self.whole {
            let list = self.whole_list().await?;
            self.take(list).await?;
            (*heard, self.whole) = (true, false);
        }
        let path = format!("/catalog/members?follow=1&since={}", self.version);
        let (_channel, mut body) = self.ask(&path).await?;
        let mut feed = ListDecoder::default();
        let mut began = None;
        loop {
            let now = self.runtime.now();
            // Guards against a discovery that falls silent with its connections open: nothing else would tell.
            let mut until = now + WATCH_SILENCE_TIMEOUT;
            if feed.is_open() {
                until = until.min(
                    *began.get_or_insert(now)
                        + self.members.borrow().poll_schedule.transfer_timeout(),
                );
            } else {
                began = None;
            }
            if self.silent {
                // What has changed comes at once.
                until = until.min(now + LINGER);
            }
            let frame = match self.runtime.timeout_at(until, body.frame()).await {
                Ok(frame) => frame.ok_or("it was closed")??,
                Err(_) if self.silent && !feed.is_open() => {
                    self.confirm(RelayEvent::HostListConfirmed).await?;
                    continue;
                }
                Err(_) if feed.is_open() => return Err(Cut::Spoilt("half of a list came".into())),
                Err(late) => return Err(Cut::Ended(late.into())),
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            feed.extend(&data);
            while let Some(item) = feed.next().map_err(|error| Cut::Spoilt(error.into()))? {
                // Where relays ask, the next process is to know when this one last heard.
                let tells = self.silent || !self.members.borrow().poll_schedule.is_push();
                match item {
                    Item::List(list) => self.take(list).await?,
                    Item::Beat if tells => self.confirm(RelayEvent::HostListConfirmed).await?,
                    Item::Beat => {}
                }
                *heard = true;
            }
        }
    }

    /// Passes a list on, or what may be used of one that is older than the one in force.
    async fn take(&mut self, list: HostList) -> Result<(), Cut> {
        let (version, now) = (list.version, self.runtime.now());
        let word = self
            .members
            .borrow_mut()
            .judge_list(version, self.version, list.is_full, now);
        if word == ListFreshness::Current {
            (self.version, self.silent, self.taken) = (version, false, Some(list));
            return Ok(self.hand_on().await?);
        }
        let hosts = list
            .hosts
            .into_iter()
            .filter(|line| line.state != HostState::Ready)
            .collect();
        (self.silent, self.taken) = (
            false,
            Some(HostList {
                version: self.version,
                is_full: false,
                hosts,
            }),
        );
        self.hand_on().await?;
        Err(Cut::Spoilt(
            format!("its list {version} is older than {}", self.version).into(),
        ))
    }

    /// Hands on what was taken. Guards a list against being dropped with this call, where discovery moves while it waits.
    async fn hand_on(&mut self) -> Result<(), Failure> {
        if self.taken.is_some() {
            let room = self.inputs.reserve().await?;
            if let Some(list) = self.taken.take() {
                room.send(RelayEvent::HostListReceived(list));
            }
        }
        Ok(())
    }

    async fn confirm(&mut self, news: RelayEvent) -> Result<(), Failure> {
        self.silent = false;
        Ok(self.inputs.send(news).await?)
    }

    /// Makes a call for a list; its answer's body comes with what holds its connection.
    async fn ask(&self, path: &str) -> Result<(Channel<R>, Incoming), Failure> {
        let patience = {
            let mut members = self.members.borrow_mut();
            members.poll_started(self.runtime.now());
            members.poll_schedule.response_timeout()
        };
        // One span for the connection and the answer: a connection that does not come up is as silent as its agent.
        let until = self.runtime.now() + patience;
        let mut channel = Channel::open(&self.runtime, self.address, patience).await?;
        let left = until.saturating_duration_since(self.runtime.now());
        let answer = channel
            .ask(self.address, Method::GET, path, String::new(), left)
            .await?;
        if answer.status() != StatusCode::OK {
            return Err(format!("answered {}", answer.status()).into());
        }
        Ok((channel, answer.into_body()))
    }

    async fn whole_list(&self) -> Result<HostList, Cut> {
        let (_channel, body) = self.ask("/catalog/members").await?;
        let body = http_body_util::Limited::new(body, LONGEST);
        let whole = self.members.borrow().poll_schedule.transfer_timeout();
        let text = self
            .runtime
            .timeout(whole, body.collect())
            .await??
            .to_bytes();
        let mut list: HostList =
            serde_json::from_slice(&text).map_err(|error| Cut::Spoilt(error.into()))?;
        list.is_full = true;
        Ok(list)
    }
}

/// Notices that the platform has not answered yet. Each is owed in the journal too, which bounds them.
#[derive(Default)]
pub struct Notifications {
    pending: RefCell<BTreeMap<MessageId, (String, DeliveryFailure)>>,
    more: Notify,
}

#[derive(Serialize)]
struct Notice<'a> {
    id: &'a str,
    status: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    again_ms: Option<u64>,
}

impl Notifications {
    /// Tells the platform how a message ended.
    pub fn add(&self, id: MessageId, name: String, verdict: DeliveryFailure) {
        self.pending.borrow_mut().insert(id, (name, verdict));
        self.more.notify_one();
    }

    /// Ends of which the platform has yet to hear.
    pub fn len(&self) -> usize {
        self.pending.borrow().len()
    }

    fn batch(&self) -> (Vec<MessageId>, String) {
        let (mut ids, mut text) = (Vec::new(), String::new());
        for (id, (name, verdict)) in self.pending.borrow().iter().take(NOTICES) {
            let (status, again_ms) = match verdict {
                DeliveryFailure::Undeliverable => ("undeliverable", None),
                DeliveryFailure::Deferred(after) => {
                    ("deferred", Some(*after).filter(|after| *after > 0))
                }
            };
            let notice = Notice {
                id: name,
                status,
                again_ms,
            };
            text += &serde_json::to_string(&notice).unwrap_or_default();
            text.push('\n');
            ids.push(*id);
        }
        (ids, text)
    }
}

/// Sends notices for ever, each until it is answered 204, to the address that is in force.
pub async fn notify<R: Runtime>(
    runtime: R,
    mut at: watch::Receiver<SocketAddr>,
    notices: Rc<Notifications>,
    inputs: mpsc::Sender<RelayEvent>,
) {
    let mut channel = None;
    let mut rest = REST.0;
    loop {
        let (ids, text) = notices.batch();
        if ids.is_empty() {
            notices.more.notified().await;
            continue;
        }
        let address = *at.borrow_and_update();
        let sent = async {
            let posted = post(&runtime, &mut channel, address, text).await;
            if let Err(error) = &posted {
                log!(
                    runtime,
                    "discovery: {} notices not taken, to be sent again: {error}",
                    ids.len()
                );
                runtime.sleep(rest).await;
            }
            posted
        };
        // A notice that an old address may have taken is sent to the new one too, which does no harm.
        let sent = tokio::select! {
            biased;
            sent = sent => sent,
            changed = at.changed() => if changed.is_ok() { Err("it moved".into()) } else { return },
        };
        if sent.is_ok() {
            rest = REST.0;
            notices
                .pending
                .borrow_mut()
                .retain(|id, _| !ids.contains(id));
            if inputs
                .send(RelayEvent::NotificationsAccepted(ids))
                .await
                .is_err()
            {
                return;
            }
        } else {
            channel = None;
            rest = (rest * 2).min(REST.1);
        }
    }
}

async fn post<R: Runtime>(
    runtime: &R,
    channel: &mut Option<(SocketAddr, Channel<R>)>,
    address: SocketAddr,
    text: String,
) -> Result<(), Failure> {
    let usable = match channel {
        Some((at, open)) => {
            *at == address
                && matches!(
                    runtime.timeout(PATIENCE, open.sender.ready()).await,
                    Ok(Ok(()))
                )
        }
        None => false,
    };
    if !usable {
        *channel = Some((address, Channel::open(runtime, address, PATIENCE).await?));
    }
    let Some((_, open)) = channel else {
        return Err("no connection".into());
    };
    let answer = open
        .ask(address, Method::POST, "/v1/notices", text, PATIENCE)
        .await?;
    let status = answer.status();
    runtime
        .timeout(
            PATIENCE,
            http_body_util::Limited::new(answer.into_body(), LONGEST_ANSWER).collect(),
        )
        .await??;
    match status {
        StatusCode::NO_CONTENT => Ok(()),
        status => Err(format!("answered {status}").into()),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use membership::{DiscoveryMode, DiscoverySettings};
    use runtime::OsRuntime;

    /// SIGHUP moves discovery while a list waits for room among the inputs: a drain in it is heard all the same, also in a
    /// list that is older than the one in force.
    #[test]
    fn a_list_that_waits_as_discovery_moves_is_handed_on() {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime");
        runtime.block_on(async {
            for (version, older) in [(2, false), (1, true)] {
                let drain_grace = Duration::from_secs(2);
                let terms = DiscoverySettings { mode: DiscoveryMode::Push, replicas: 1, drain_grace, seed: 1 };
                let (inputs, mut driver) = mpsc::channel(1);
                inputs.try_send(RelayEvent::HostListConfirmed).expect("room for one");
                let mut follower = DiscoveryWatch {
                    runtime: OsRuntime,
                    address: SocketAddr::from(([127, 0, 0, 1], 1)),
                    version: if older { 5 } else { 1 },
                    whole: false,
                    silent: true,
                    taken: None,
                    members: Rc::new(RefCell::new(HostMembership::new(&terms, None))),
                    inputs,
                };
                let list = serde_json::json!({"seq": version, "whole": false, "hosts": [
                    {"host": "a", "dial": "127.0.0.1:2", "site": "dc", "class": "partner", "block": 1,
                        "health": "draining", "share": 1.0, "born_ms": 0}]});
                let list = serde_json::from_value(list).expect("a list");
                // Dropped where it waits, as `follow` does where the address changes.
                let waits = tokio::time::timeout(Duration::ZERO, follower.take(list)).await;
                assert!(waits.is_err(), "there is no room");
                assert!(matches!(driver.try_recv(), Ok(RelayEvent::HostListConfirmed)));
                follower.hand_on().await.expect("the driver is there");
                let Ok(RelayEvent::HostListReceived(heard)) = driver.try_recv() else { panic!("the list is gone") };
                assert_eq!(heard.hosts[0].state, HostState::Draining, "older: {older}");
            }
        });
    }
}
