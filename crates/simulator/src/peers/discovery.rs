//! Discovery: each relay's agent with its list of hosts, its polls and watches, and the endpoint for notices.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use runtime::{Listener, Runtime, Stream};
use serde_json::{json, Value};
use tokio::io::AsyncWriteExt;
use tokio::sync::Notify;

use super::{read_request, until_closed, PeerContext};
use crate::history::Observation;

/// A watch without changes gets an empty line after this.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// A poll that would wait longer is rejected.
const MAX_POLL_WAIT: Duration = Duration::from_secs(2);
/// Discovery that moves away ends its open connections after this.
const CLOSE_DELAY: Duration = Duration::from_millis(1500);

/// An entry of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostEntry {
    /// The host's id.
    pub host: String,
    /// Where it takes connections.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its destination.
    pub destination: u16,
    /// `up`, `draining` or `removed`.
    pub health: &'static str,
    /// Calls a second that its route takes.
    pub calls_per_second: u32,
}

impl HostEntry {
    /// The entry as discovery writes it.
    #[must_use]
    pub fn json(&self) -> Value {
        json!({"host": self.host, "dial": self.address, "site": self.zone, "class": "partner",
            "block": self.destination, "health": self.health, "share": f64::from(self.calls_per_second), "born_ms": 0})
    }
}

/// A queue that the agents of all relays share: discovery responds to one poll after the other.
pub struct PollQueue {
    /// What each poll takes.
    time_per_poll: Duration,
    busy_until: Cell<Duration>,
}

impl PollQueue {
    /// A queue in which each poll takes this time.
    #[must_use]
    pub fn new(time_per_poll: Duration) -> Rc<Self> {
        Rc::new(PollQueue {
            time_per_poll,
            busy_until: Cell::default(),
        })
    }

    /// How long a poll that comes now waits for its response; none if that would be too long.
    fn admit(&self, at: Duration) -> Option<Duration> {
        let done = self.busy_until.get().max(at) + self.time_per_poll;
        if done > at + MAX_POLL_WAIT {
            return None;
        }
        self.busy_until.set(done);
        Some(done - at)
    }
}

/// A change of the list.
#[derive(Clone)]
struct Change {
    version: u64,
    /// When it may be sent.
    published_at: Duration,
    entry: HostEntry,
}

/// Discovery.
#[derive(Default)]
pub struct Discovery {
    /// The list as it is.
    entries: RefCell<BTreeMap<String, HostEntry>>,
    /// What changed, in the order of the versions.
    changes: RefCell<Vec<Change>>,
    version: Cell<u64>,
    /// Sends nothing of the list while set; connections stay open.
    pub silent: Cell<bool>,
    /// Changes are sent later by this.
    pub publication_delay: Cell<Duration>,
    /// The queue that it shares with the other relays' agents, if it does.
    pub poll_queue: RefCell<Option<Rc<PollQueue>>>,
    changed: Notify,
}

impl Discovery {
    /// Discovery with a first list.
    #[must_use]
    pub fn new(lines: Vec<HostEntry>) -> Rc<Self> {
        let discovery = Discovery::default();
        discovery.version.set(1);
        discovery
            .entries
            .borrow_mut()
            .extend(lines.into_iter().map(|line| (line.host.clone(), line)));
        Rc::new(discovery)
    }

    /// Changes an entry; the version grows by `jump`. Gives the moment from which on the change is sent.
    pub fn update(&self, at: Duration, line: HostEntry, jump: u64) -> Duration {
        self.version.set(self.version.get() + jump.max(1));
        match line.health {
            "removed" => drop(self.entries.borrow_mut().remove(&line.host)),
            _ => drop(
                self.entries
                    .borrow_mut()
                    .insert(line.host.clone(), line.clone()),
            ),
        }
        let mut changes = self.changes.borrow_mut();
        // In the order of their versions, whatever the lag is now.
        let earlier = changes
            .last()
            .map_or(Duration::ZERO, |change| change.published_at);
        let published_at = earlier.max(at + self.publication_delay.get());
        changes.push(Change {
            version: self.version.get(),
            published_at,
            entry: line,
        });
        drop(changes);
        self.changed.notify_waiters();
        published_at
    }

    /// Wakes watches after a change of `silent`.
    pub fn wake(&self) {
        self.changed.notify_waiters();
    }

    /// The full list, in discovery's form.
    pub fn full_snapshot(&self) -> Value {
        let hosts: Vec<Value> = self
            .entries
            .borrow()
            .values()
            .map(HostEntry::json)
            .collect();
        json!({"seq": self.version.get(), "whole": true, "hosts": hosts})
    }

    /// Serves at an address until `end` is set; it then accepts no new connection and closes the open ones.
    ///
    /// # Errors
    ///
    /// The listener's error if the address cannot be bound.
    pub async fn serve<R: Runtime>(
        self: Rc<Self>,
        context: PeerContext<R>,
        at: SocketAddr,
        end: tokio::sync::watch::Receiver<bool>,
    ) -> io::Result<()> {
        let listener = context.runtime.listen(at).await?;
        let mut ends = end.clone();
        loop {
            let stream = tokio::select! {
                biased;
                _ = ends.wait_for(|end| *end) => return Ok(()),
                stream = listener.accept() => stream?,
            };
            let (own, place, mut end) = (self.clone(), context.clone(), end.clone());
            context.runtime.spawn(async move {
                tokio::select! {
                    biased;
                    _ = end.wait_for(|end| *end) => place.runtime.sleep(CLOSE_DELAY).await,
                    _ = own.connection(&place, stream) => {}
                }
            });
        }
    }

    async fn connection<R: Runtime>(
        &self,
        context: &PeerContext<R>,
        mut stream: R::Stream,
    ) -> io::Result<()> {
        stream.set_nodelay()?;
        let mut text = BytesMut::new();
        while let Some(request) = read_request(context, &mut stream, &mut text).await? {
            if request.line == "POST /v1/notices" {
                let good = self.receive_notices(context, &request.body);
                let line = if good {
                    "204 No Content"
                } else {
                    "400 Bad Request"
                };
                stream
                    .write_all(format!("HTTP/1.1 {line}\r\n\r\n").as_bytes())
                    .await?;
                continue;
            }
            if self.silent.get() {
                context.observe(&Observation::DiscoveryPollPending(true));
                until_closed(&mut stream).await;
                context.observe(&Observation::DiscoveryPollPending(false));
                return Ok(());
            }
            context.observe(&Observation::DiscoveryPolled);
            let queue = self.poll_queue.borrow().clone();
            if let Some(queue) = queue {
                let Some(wait) = queue.admit(context.at()) else {
                    let text = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
                    stream.write_all(text.as_bytes()).await?;
                    continue;
                };
                context.runtime.sleep(wait).await;
            }
            match request.line.split_once("since=") {
                Some((_, since)) => {
                    return self
                        .watch(context, &mut stream, since.parse().unwrap_or(0))
                        .await
                }
                None => {
                    let text = format!("{}\n", self.full_snapshot());
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
                    stream.write_all((head + &text).as_bytes()).await?;
                    self.report_full_snapshot(context);
                }
            }
        }
        Ok(())
    }

    fn receive_notices<R: Runtime>(&self, context: &PeerContext<R>, body: &[u8]) -> bool {
        let lines: Result<Vec<Value>, _> = body
            .split(|byte| *byte == b'\n')
            .filter(|line| !line.is_empty())
            .map(serde_json::from_slice)
            .collect();
        let Ok(lines) = lines else { return false };
        for line in lines {
            let text = |name: &str| line.get(name).and_then(Value::as_str).unwrap_or("");
            context.observe(&Observation::NoticeReceived {
                id: text("id"),
                status: text("status"),
            });
            (context.trace)(format_args!("notice: {} {}", text("id"), text("status")));
        }
        true
    }

    fn report_sent<R: Runtime>(&self, context: &PeerContext<R>, line: &HostEntry) {
        context.observe(&Observation::HostStatusSent {
            host: &line.host,
            is_up: line.health == "up",
        });
    }

    fn report_full_snapshot<R: Runtime>(&self, context: &PeerContext<R>) {
        let entries: Vec<HostEntry> = self.entries.borrow().values().cloned().collect();
        entries
            .iter()
            .for_each(|entry| self.report_sent(context, entry));
        // The absence of a host says that it is gone.
        let changes = self.changes.borrow();
        let gone = changes
            .iter()
            .filter(|change| !self.entries.borrow().contains_key(&change.entry.host));
        gone.for_each(|change| {
            context.observe(&Observation::HostStatusSent {
                host: &change.entry.host,
                is_up: false,
            });
        });
    }

    async fn watch<R: Runtime>(
        &self,
        context: &PeerContext<R>,
        stream: &mut R::Stream,
        mut since: u64,
    ) -> io::Result<()> {
        stream
            .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            .await?;
        let mut keepalive_at = context.at() + KEEPALIVE_INTERVAL;
        loop {
            if self.silent.get() {
                // A watch that fell silent stays so: only a new one gets more.
                until_closed(stream).await;
                return Ok(());
            }
            let changed = self.changed.notified();
            let now = context.at();
            let changes = self.changes_after(since);
            let due: Vec<&Change> = changes
                .iter()
                .take_while(|change| change.published_at <= now)
                .collect();
            let line = match due.last() {
                Some(last) => {
                    since = last.version;
                    Some(changes_line(since, &due))
                }
                None => (keepalive_at <= now).then(|| "\n".into()),
            };
            if let Some(line) = line {
                keepalive_at = now + KEEPALIVE_INTERVAL;
                stream
                    .write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes())
                    .await?;
                due.iter()
                    .for_each(|change| self.report_sent(context, &change.entry));
                continue;
            }
            let next = changes
                .iter()
                .map(|change| change.published_at)
                .min()
                .unwrap_or(keepalive_at)
                .min(keepalive_at);
            tokio::select! {
                biased;
                () = changed => {}
                () = context.runtime.sleep_until(context.instant(next)) => {}
                () = until_closed(stream) => return Ok(()),
            }
        }
    }

    /// Changes to versions after one, in order.
    fn changes_after(&self, since: u64) -> Vec<Change> {
        let changes = self.changes.borrow();
        let after = changes.iter().filter(|change| change.version > since);
        after.cloned().collect()
    }
}

/// The line of a watch with changes up to a version.
fn changes_line(version: u64, changes: &[&Change]) -> String {
    let hosts: Vec<Value> = changes.iter().map(|change| change.entry.json()).collect();
    let line = json!({"seq": version, "whole": false, "hosts": hosts});
    format!("{line}\n")
}
