//! Discovery, and the platform that takes notices.

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

use super::{read_request, until_closed, Stage};
use crate::history::Observation;

/// An empty line comes so often.
const BEAT: Duration = Duration::from_secs(2);

/// A call that would wait longer is turned away.
const OVERBOOKED: Duration = Duration::from_secs(2);

/// An entry of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    /// The host's id.
    pub host: String,
    /// Where it takes connections.
    pub dial: SocketAddr,
    /// Its zone.
    pub site: String,
    /// Its destination.
    pub block: u16,
    /// `up`, `draining` or `removed`.
    pub health: &'static str,
    /// Calls a second that its route takes.
    pub share: u32,
}

impl Line {
    /// The entry as discovery writes it.
    #[must_use]
    pub fn json(&self) -> Value {
        json!({"host": self.host, "dial": self.dial, "site": self.site, "class": "partner",
            "block": self.block, "health": self.health, "share": f64::from(self.share), "born_ms": 0})
    }
}

/// What the agents of all relays share: it answers one call for a list after the other.
pub struct Gate {
    /// What each call takes.
    pub each: Duration,
    busy: Cell<Duration>,
}

impl Gate {
    /// One that takes so long for each call.
    #[must_use]
    pub fn new(each: Duration) -> Rc<Self> {
        Rc::new(Gate {
            each,
            busy: Cell::default(),
        })
    }

    /// How long a call that comes now waits for its answer; none if that would be too long.
    fn take(&self, at: Duration) -> Option<Duration> {
        let done = self.busy.get().max(at) + self.each;
        if done > at + OVERBOOKED {
            return None;
        }
        self.busy.set(done);
        Some(done - at)
    }
}

/// Discovery.
#[derive(Default)]
pub struct Discovery {
    /// The list as it is.
    lines: RefCell<BTreeMap<String, Line>>,
    /// What changed, with its version and when it may be told.
    changes: RefCell<Vec<(u64, Duration, Line)>>,
    version: Cell<u64>,
    /// Says nothing on the list while set; connections stay open.
    pub silent: Cell<bool>,
    /// Changes are told so much later.
    pub lag: Cell<Duration>,
    /// What it shares with the other relays' agents, if it does.
    pub gate: RefCell<Option<Rc<Gate>>>,
    news: Notify,
}

impl Discovery {
    /// Discovery with a first list.
    #[must_use]
    pub fn new(lines: Vec<Line>) -> Rc<Self> {
        let discovery = Discovery::default();
        discovery.version.set(1);
        discovery
            .lines
            .borrow_mut()
            .extend(lines.into_iter().map(|line| (line.host.clone(), line)));
        Rc::new(discovery)
    }

    /// Changes an entry; the version grows by `jump`. Gives the moment from which it is told.
    pub fn change(&self, at: Duration, line: Line, jump: u64) -> Duration {
        self.version.set(self.version.get() + jump.max(1));
        match line.health {
            "removed" => drop(self.lines.borrow_mut().remove(&line.host)),
            _ => drop(
                self.lines
                    .borrow_mut()
                    .insert(line.host.clone(), line.clone()),
            ),
        }
        let mut changes = self.changes.borrow_mut();
        // In the order of their versions, whatever the lag is now.
        let before = changes.last().map_or(Duration::ZERO, |(_, told, _)| *told);
        let told = before.max(at + self.lag.get());
        changes.push((self.version.get(), told, line));
        drop(changes);
        self.news.notify_waiters();
        told
    }

    /// Wakes watches after a change of `silent`.
    pub fn wake(&self) {
        self.news.notify_waiters();
    }

    /// The whole list, in discovery's form.
    pub fn whole(&self) -> Value {
        let hosts: Vec<Value> = self.lines.borrow().values().map(Line::json).collect();
        json!({"seq": self.version.get(), "whole": true, "hosts": hosts})
    }

    /// Answers at an address for good; told to end, it takes no new connection and closes the open ones.
    ///
    /// # Errors
    ///
    /// The listener's error if the address cannot be bound.
    pub async fn serve<R: Runtime>(
        self: Rc<Self>,
        stage: Stage<R>,
        at: SocketAddr,
        end: tokio::sync::watch::Receiver<bool>,
    ) -> io::Result<()> {
        let listener = stage.runtime.listen(at).await?;
        let mut ends = end.clone();
        loop {
            let stream = tokio::select! {
                biased;
                _ = ends.wait_for(|end| *end) => return Ok(()),
                stream = listener.accept() => stream?,
            };
            let (own, place, mut end) = (self.clone(), stage.clone(), end.clone());
            stage.runtime.spawn(async move {
                tokio::select! {
                    biased;
                    _ = end.wait_for(|end| *end) => place.runtime.sleep(Duration::from_millis(1500)).await,
                    _ = own.connection(&place, stream) => {}
                }
            });
        }
    }

    async fn connection<R: Runtime>(
        &self,
        stage: &Stage<R>,
        mut stream: R::Stream,
    ) -> io::Result<()> {
        stream.set_nodelay()?;
        let mut text = BytesMut::new();
        while let Some(request) = read_request(stage, &mut stream, &mut text).await? {
            if request.line == "POST /v1/notices" {
                let good = self.notices(stage, &request.body);
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
                stage.observe(&Observation::DiscoveryPollPending(true));
                until_closed(&mut stream).await;
                stage.observe(&Observation::DiscoveryPollPending(false));
                return Ok(());
            }
            stage.observe(&Observation::DiscoveryPolled);
            let gate = self.gate.borrow().clone();
            if let Some(gate) = gate {
                let Some(wait) = gate.take(stage.at()) else {
                    let text = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
                    stream.write_all(text.as_bytes()).await?;
                    continue;
                };
                stage.runtime.sleep(wait).await;
            }
            match request.line.split_once("since=") {
                Some((_, since)) => {
                    return self
                        .watch(stage, &mut stream, since.parse().unwrap_or(0))
                        .await
                }
                None => {
                    let text = format!("{}\n", self.whole());
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
                    stream.write_all((head + &text).as_bytes()).await?;
                    self.tell_whole(stage);
                }
            }
        }
        Ok(())
    }

    fn notices<R: Runtime>(&self, stage: &Stage<R>, body: &[u8]) -> bool {
        let lines: Result<Vec<Value>, _> = body
            .split(|byte| *byte == b'\n')
            .filter(|line| !line.is_empty())
            .map(serde_json::from_slice)
            .collect();
        let Ok(lines) = lines else { return false };
        for line in lines {
            let text = |name: &str| line.get(name).and_then(Value::as_str).unwrap_or("");
            stage.observe(&Observation::NoticeReceived {
                id: text("id"),
                status: text("status"),
            });
            (stage.news)(format_args!("notice: {} {}", text("id"), text("status")));
        }
        true
    }

    fn tell<R: Runtime>(&self, stage: &Stage<R>, line: &Line) {
        stage.observe(&Observation::HostStatusSent {
            host: &line.host,
            is_up: line.health == "up",
        });
    }

    fn tell_whole<R: Runtime>(&self, stage: &Stage<R>) {
        let lines: Vec<Line> = self.lines.borrow().values().cloned().collect();
        lines.iter().for_each(|line| self.tell(stage, line));
        // What has gone is told by its absence.
        let changes = self.changes.borrow();
        let gone = changes
            .iter()
            .filter(|(_, _, line)| !self.lines.borrow().contains_key(&line.host));
        gone.for_each(|(_, _, line)| {
            stage.observe(&Observation::HostStatusSent {
                host: &line.host,
                is_up: false,
            })
        });
    }

    async fn watch<R: Runtime>(
        &self,
        stage: &Stage<R>,
        stream: &mut R::Stream,
        mut since: u64,
    ) -> io::Result<()> {
        stream
            .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            .await?;
        let mut beat = stage.at() + BEAT;
        loop {
            if self.silent.get() {
                // A watch that fell silent stays so: only a new one is told more.
                until_closed(stream).await;
                return Ok(());
            }
            let news = self.news.notified();
            let now = stage.at();
            let changes: Vec<_> = self
                .changes
                .borrow()
                .iter()
                .filter(|(v, _, _)| *v > since)
                .cloned()
                .collect();
            let due: Vec<_> = changes.iter().take_while(|(_, at, _)| *at <= now).collect();
            let mut text = String::new();
            if let Some((version, _, _)) = due.last() {
                since = *version;
                let hosts: Vec<Value> = due.iter().map(|(_, _, line)| line.json()).collect();
                text = format!(
                    "{}\n",
                    json!({"seq": version, "whole": false, "hosts": hosts})
                );
            } else if beat <= now {
                text = "\n".into();
            }
            if !text.is_empty() {
                beat = now + BEAT;
                stream
                    .write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
                    .await?;
                due.iter().for_each(|(_, _, line)| self.tell(stage, line));
                continue;
            }
            let next = changes
                .iter()
                .map(|(_, at, _)| *at)
                .min()
                .unwrap_or(beat)
                .min(beat);
            tokio::select! {
                biased;
                () = news => {}
                () = stage.runtime.sleep_until(stage.instant(next)) => {}
                () = until_closed(stream) => return Ok(()),
            }
        }
    }
}
