//! Discovery: an agent that serves the host list to polls and watches, and the platform's endpoint for notices.

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

use super::{discard_until_closed, read_request, PeerContext};
use crate::history::Observation;

/// Time after which a watch without changes receives an empty line.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum wait of a poll for its response; a poll that would wait longer is rejected.
const MAX_POLL_WAIT: Duration = Duration::from_secs(2);
/// Time after which a discovery server that has been stopped closes its open connections.
const CLOSE_DELAY: Duration = Duration::from_millis(1500);

/// An entry of the host list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostEntry {
    /// The host's id.
    pub host: String,
    /// Address at which it accepts connections.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its destination.
    pub destination: u16,
    /// `up`, `draining` or `removed`.
    pub health: &'static str,
    /// Calls per second that the host can serve.
    pub calls_per_second: u32,
}

impl HostEntry {
    /// Returns the entry as discovery sends it.
    #[must_use]
    pub fn json(&self) -> Value {
        json!({"host": self.host, "dial": self.address, "site": self.zone, "class": "partner",
            "block": self.destination, "health": self.health, "share": f64::from(self.calls_per_second), "born_ms": 0})
    }
}

/// A queue that the agents of all relays share: discovery answers one poll at a time.
pub struct PollQueue {
    /// Time that each poll takes.
    time_per_poll: Duration,
    busy_until: Cell<Duration>,
}

impl PollQueue {
    /// Creates a queue in which each poll takes `time_per_poll`.
    #[must_use]
    pub fn new(time_per_poll: Duration) -> Rc<Self> {
        Rc::new(PollQueue {
            time_per_poll,
            busy_until: Cell::default(),
        })
    }

    /// Returns how long a poll that arrives at `at` waits for its response; none if longer than [`MAX_POLL_WAIT`].
    fn admit(&self, at: Duration) -> Option<Duration> {
        let done = self.busy_until.get().max(at) + self.time_per_poll;
        if done > at + MAX_POLL_WAIT {
            return None;
        }
        self.busy_until.set(done);
        Some(done - at)
    }
}

/// A change of the host list.
#[derive(Clone)]
struct Change {
    version: u64,
    /// Time from which it may be sent.
    published_at: Duration,
    entry: HostEntry,
}

/// A discovery agent.
#[derive(Default)]
pub struct Discovery {
    /// The current list, by host id.
    entries: RefCell<BTreeMap<String, HostEntry>>,
    /// All changes, ordered by version.
    changes: RefCell<Vec<Change>>,
    version: Cell<u64>,
    /// While set, nothing of the list is sent; connections stay open.
    pub silent: Cell<bool>,
    /// Delay with which changes are sent.
    pub publication_delay: Cell<Duration>,
    /// The queue shared with the other relays' agents, if any.
    pub poll_queue: RefCell<Option<Rc<PollQueue>>>,
    changed: Notify,
}

impl Discovery {
    /// Creates an agent with an initial list.
    #[must_use]
    pub fn new(entries: Vec<HostEntry>) -> Rc<Self> {
        let discovery = Discovery::default();
        discovery.version.set(1);
        discovery
            .entries
            .borrow_mut()
            .extend(entries.into_iter().map(|entry| (entry.host.clone(), entry)));
        Rc::new(discovery)
    }

    /// Changes an entry and increases the version by `jump`, at least 1. Returns the time from which the change is sent.
    pub fn update(&self, at: Duration, entry: HostEntry, jump: u64) -> Duration {
        self.version.set(self.version.get() + jump.max(1));
        match entry.health {
            "removed" => drop(self.entries.borrow_mut().remove(&entry.host)),
            _ => drop(
                self.entries
                    .borrow_mut()
                    .insert(entry.host.clone(), entry.clone()),
            ),
        }
        let mut changes = self.changes.borrow_mut();
        // Changes are published in the order of their versions, even if the delay has been shortened.
        let earlier = changes
            .last()
            .map_or(Duration::ZERO, |change| change.published_at);
        let published_at = earlier.max(at + self.publication_delay.get());
        changes.push(Change {
            version: self.version.get(),
            published_at,
            entry,
        });
        drop(changes);
        self.changed.notify_waiters();
        published_at
    }

    /// Wakes watches after a change of `silent`.
    pub fn wake(&self) {
        self.changed.notify_waiters();
    }

    /// Returns the full list in discovery's format.
    pub fn full_snapshot(&self) -> Value {
        let hosts: Vec<Value> = self
            .entries
            .borrow()
            .values()
            .map(HostEntry::json)
            .collect();
        json!({"seq": self.version.get(), "whole": true, "hosts": hosts})
    }

    /// Serves at an address until `end` is set; then accepts no new connections and closes the open ones.
    ///
    /// # Errors
    ///
    /// Returns the listener's error if the address cannot be bound.
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
            let (discovery, peer_context, mut end) = (self.clone(), context.clone(), end.clone());
            context.runtime.spawn(async move {
                tokio::select! {
                    biased;
                    _ = end.wait_for(|end| *end) => peer_context.runtime.sleep(CLOSE_DELAY).await,
                    _ = discovery.connection(&peer_context, stream) => {}
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
                let is_valid = self.receive_notices(context, &request.body);
                let line = if is_valid {
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
                discard_until_closed(&mut stream).await;
                context.observe(&Observation::DiscoveryPollPending(false));
                return Ok(());
            }
            context.observe(&Observation::DiscoveryPolled);
            let queue = self.poll_queue.borrow().clone();
            if let Some(queue) = queue {
                let Some(wait) = queue.admit(context.elapsed()) else {
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

    fn report_sent<R: Runtime>(&self, context: &PeerContext<R>, entry: &HostEntry) {
        context.observe(&Observation::HostStatusSent {
            host: &entry.host,
            is_up: entry.health == "up",
        });
    }

    fn report_full_snapshot<R: Runtime>(&self, context: &PeerContext<R>) {
        let entries: Vec<HostEntry> = self.entries.borrow().values().cloned().collect();
        entries
            .iter()
            .for_each(|entry| self.report_sent(context, entry));
        // A host that is absent from the full list is removed.
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
        let mut keepalive_at = context.elapsed() + KEEPALIVE_INTERVAL;
        loop {
            if self.silent.get() {
                // A watch that became silent stays silent; only a new watch receives changes again.
                discard_until_closed(stream).await;
                return Ok(());
            }
            let changed = self.changed.notified();
            let now = context.elapsed();
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
                () = discard_until_closed(stream) => return Ok(()),
            }
        }
    }

    /// Returns the changes to versions after `since`, in order.
    fn changes_after(&self, since: u64) -> Vec<Change> {
        let changes = self.changes.borrow();
        let after = changes.iter().filter(|change| change.version > since);
        after.cloned().collect()
    }
}

/// Returns the line that a watch receives for changes up to a version.
fn changes_line(version: u64, changes: &[&Change]) -> String {
    let hosts: Vec<Value> = changes.iter().map(|change| change.entry.json()).collect();
    let line = json!({"seq": version, "whole": false, "hosts": hosts});
    format!("{line}\n")
}
