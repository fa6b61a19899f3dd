//! Clients: they hand messages in, come again after a refusal, and some of them misbehave.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use runtime::{Runtime, Stream};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use super::Stage;
use crate::history::{Idempotency, Observation, SubmittedRequest};

/// A client waits so long for an answer.
const PATIENCE: Duration = Duration::from_millis(400);
/// A message is handed in so often at most.
const TRIES: u32 = 4;

/// What a client does besides handing its message in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Habit {
    /// Nothing.
    Plain,
    /// Sends the same request on another connection at once.
    Resends,
    /// Closes the connection once it has asked.
    Vanishes,
    /// Sends half a request and stalls; then asks on a new connection.
    Stalls,
    /// Sends something that can't be read first, and wants an error and a close.
    Garbles,
    /// Asks for another tenant than the one that it names itself as.
    Impostor,
}

/// A message that a client is to hand in.
#[derive(Clone, Debug)]
pub struct Plan {
    /// When.
    pub at: Duration,
    /// Its name; each try adds its number.
    pub name: String,
    /// Its tenant.
    pub tenant: String,
    /// Name of its class.
    pub class: &'static str,
    /// Its class's repeat rule.
    pub idempotency: Idempotency,
    /// Key of its order, 0 for none.
    pub order: u64,
    /// Its class keeps that order.
    pub in_order: bool,
    /// From then on its class may not be repeated.
    pub non_idempotent_from: Option<Duration>,
    /// Its destination.
    pub destination: u16,
    /// Milliseconds until its time is up.
    pub left: u64,
    /// Bytes of its body.
    pub size: usize,
    /// What else its client does.
    pub habit: Habit,
}

/// A RESP2 array of bulk strings.
#[must_use]
pub fn frame(parts: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", parts.len()).into_bytes();
    for part in parts {
        out.extend(format!("${}\r\n", part.len()).bytes());
        out.extend(*part);
        out.extend(b"\r\n");
    }
    out
}

enum Heard {
    Line(String),
    /// The connection ended without an answer.
    Ended,
    Nothing,
}

pub(super) struct Connection<T> {
    pub stream: T,
    text: BytesMut,
    used: bool,
}

impl<T: Stream> Connection<T> {
    /// A new one.
    pub async fn to<R: Runtime<Stream = T>>(stage: &Stage<R>, at: SocketAddr) -> io::Result<Self> {
        let stream = stage.runtime.connect(at).await?;
        Ok(Connection {
            stream,
            text: BytesMut::new(),
            used: false,
        })
    }

    pub async fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.text.iter().position(|byte| *byte == b'\n') {
                let line = self.text.split_to(end + 1);
                return Ok(Some(
                    String::from_utf8_lossy(line.trim_ascii_end()).into_owned(),
                ));
            }
            if self.stream.read_buf(&mut self.text).await? == 0 {
                return Ok(None);
            }
        }
    }
}

/// A client with its own connection and its own list of messages.
pub struct Client<R: Runtime> {
    stage: Stage<R>,
    /// The relays that it knows, and the one that it uses now.
    relays: Vec<SocketAddr>,
    at: usize,
    open: Option<Connection<R::Stream>>,
    /// What is to be handed in, by when, with the number of the try and when its time is up.
    plans: BTreeMap<(Duration, u64), (Plan, u32, Duration)>,
    next: u64,
    /// What it names itself with, if it has to: the tenant and its secret.
    login: Option<(String, String)>,
    /// The front has seen a relay say no: no new connection is opened.
    shut: Rc<Cell<bool>>,
}

impl<R: Runtime> Client<R> {
    /// A client of the relays at some addresses, which begins with the one of a number. Where that does not answer
    /// it goes on with the next.
    pub fn new(
        stage: Stage<R>,
        relays: Vec<SocketAddr>,
        first: usize,
        plans: Vec<Plan>,
        login: Option<(String, String)>,
    ) -> Self {
        let stage = Stage {
            relay: first,
            ..stage
        };
        let mut client = Client {
            stage,
            relays,
            at: first,
            open: None,
            plans: BTreeMap::new(),
            next: 0,
            login,
            shut: Rc::default(),
        };
        for plan in plans {
            let due = plan.at + Duration::from_millis(plan.left);
            client.add(plan.at, plan, 0, due);
        }
        client
    }

    /// The same behind a front, which sets what is given while no new connection is to be opened.
    pub fn behind(self, shut: Rc<Cell<bool>>) -> Self {
        Client { shut, ..self }
    }

    fn relay(&self) -> SocketAddr {
        self.relays[self.at]
    }

    /// The relay has not answered: the next one is asked from now on.
    fn fail_over(&mut self) {
        self.open = None;
        self.at = (self.at + 1) % self.relays.len();
        self.stage.relay = self.at;
    }

    fn add(&mut self, at: Duration, plan: Plan, tries: u32, due: Duration) {
        self.next += 1;
        self.plans.insert((at, self.next), (plan, tries, due));
    }

    /// Hands all in, each at its time.
    pub async fn run(mut self) {
        while let Some(((at, _), (plan, tries, due))) = self.plans.pop_first() {
            self.stage.runtime.sleep_until(self.stage.instant(at)).await;
            // Only a request on a connection that is open goes past a front that is shut.
            while self.shut.get() && (self.open.is_none() || plan.habit != Habit::Plain) {
                self.open = None;
                self.stage.runtime.sleep(Duration::from_millis(50)).await;
            }
            if self.stage.at() + Duration::from_millis(20) > due {
                continue;
            }
            let id = format!("{}.{tries}", plan.name);
            let after = self.hand_in(&plan, &id, tries, due).await;
            if let Some(after) = after.filter(|_| tries + 1 < TRIES) {
                self.add(self.stage.at() + after, plan, tries + 1, due);
            }
        }
    }

    async fn connect(&mut self) -> io::Result<()> {
        if self.open.is_none() {
            let stream = self
                .stage
                .runtime
                .timeout(PATIENCE, self.stage.runtime.connect(self.relay()))
                .await??;
            stream.set_nodelay()?;
            let mut open = Connection {
                stream,
                text: BytesMut::new(),
                used: false,
            };
            if let Some((tenant, secret)) = &self.login {
                open.stream
                    .write_all(&frame(&[b"AUTH", tenant.as_bytes(), secret.as_bytes()]))
                    .await?;
                let line = self.stage.runtime.timeout(PATIENCE, open.line()).await??;
                // One that is wrong now may be right on another connection.
                if line.as_deref() != Some("+OK") {
                    return Err(io::ErrorKind::PermissionDenied.into());
                }
            }
            self.open = Some(open);
        }
        Ok(())
    }

    /// Hands a message in; tells after what time it is to be handed in again.
    async fn hand_in(
        &mut self,
        plan: &Plan,
        id: &str,
        tries: u32,
        due: Duration,
    ) -> Option<Duration> {
        let soon = Duration::from_millis(50);
        match plan.habit {
            Habit::Garbles if tries == 0 => self.garble().await,
            Habit::Stalls if tries == 0 => {
                let text = self.request(plan, id, tries, due);
                self.stall(&text[..text.len() / 2]).await;
            }
            _ => {}
        }
        // On a kept connection that was closed meanwhile the request was not read; it goes once more.
        for _ in 0..2 {
            if self.open.is_none() && self.shut.get() {
                return Some(soon);
            }
            if self.connect().await.is_err() {
                self.fail_over();
                return Some(Duration::from_millis(100));
            }
            let text = self.request(plan, id, tries, due);
            let Some(open) = &mut self.open else {
                return Some(soon);
            };
            let used = std::mem::replace(&mut open.used, true);
            if open.stream.write_all(&text).await.is_err() {
                self.open = None;
                if used {
                    continue;
                }
                return Some(soon);
            }
            self.report(plan, id, due);
            if plan.habit == Habit::Vanishes {
                self.open = None;
                self.stage.observe(&Observation::RequestAbandoned(id));
                return None;
            }
            if plan.habit == Habit::Resends {
                let (stage, relay, text, id) = (
                    self.stage.clone(),
                    self.relay(),
                    text.clone(),
                    id.to_string(),
                );
                self.stage
                    .runtime
                    .spawn(async move { drop(resend(stage, relay, text, id).await) });
            }
            let Some(open) = &mut self.open else {
                return Some(soon);
            };
            let heard = match self.stage.runtime.timeout(PATIENCE, open.line()).await {
                Ok(Ok(Some(line))) => Heard::Line(line),
                Ok(_) => Heard::Ended,
                Err(_) => Heard::Nothing,
            };
            match heard {
                Heard::Line(line) => {
                    self.stage
                        .observe(&Observation::ReplyReceived { id, reply: &line });
                    (self.stage.news)(format_args!("{id} is answered {line}"));
                    let busy = line.strip_prefix("-BUSY")?;
                    let after = busy.trim().parse().unwrap_or(200);
                    return Some(Duration::from_millis(after));
                }
                Heard::Ended if used => self.open = None,
                Heard::Ended | Heard::Nothing => {
                    self.stage.observe(&Observation::RequestAbandoned(id));
                    self.fail_over();
                    return Some(soon);
                }
            }
        }
        self.stage.observe(&Observation::RequestAbandoned(id));
        Some(soon)
    }

    fn request(&self, plan: &Plan, id: &str, tries: u32, due: Duration) -> Vec<u8> {
        let left = due.saturating_sub(self.stage.at()).as_millis();
        let key = self
            .key(plan)
            .map_or(String::new(), |key| format!("k={key},"));
        let again = if tries > 0 { "r=1," } else { "" };
        let tenant = self.tenant(plan);
        let list = format!(
            "c={},t={tenant},d={left},{key}{again}dest={}",
            plan.class, plan.destination
        );
        let order = format!("{:016x}", plan.order);
        frame(&[
            b"ENQUEUE",
            order.as_bytes(),
            id.as_bytes(),
            list.as_bytes(),
            &body(plan),
        ])
    }

    /// The tenant that a message is handed in for.
    fn tenant(&self, plan: &Plan) -> String {
        match plan.habit {
            Habit::Impostor => format!("tenant-{}", u8::from(plan.tenant == "tenant-0")),
            _ => plan.tenant.clone(),
        }
    }

    fn key(&self, plan: &Plan) -> Option<String> {
        matches!(plan.idempotency, Idempotency::Keyed { .. }).then(|| format!("k-{}", plan.name))
    }

    fn report(&self, plan: &Plan, id: &str, due: Duration) {
        let hardened = plan
            .non_idempotent_from
            .is_some_and(|from| self.stage.at() >= from);
        let request = SubmittedRequest {
            id: id.into(),
            class: plan.class.into(),
            tenant: self.tenant(plan),
            is_impersonated: plan.habit == Habit::Impostor,
            idempotency: if hardened {
                Idempotency::NonIdempotent
            } else {
                plan.idempotency
            },
            ordering_key: Some(plan.order).filter(|order| plan.in_order && *order > 0),
            destination: plan.destination,
            idempotency_key: self.key(plan),
            body: body(plan),
            deadline: due,
        };
        self.stage.observe(&Observation::RequestSent(&request));
    }

    /// Sends what can't be read and waits for an error and a close.
    async fn garble(&mut self) {
        let asked = async {
            let mut stream = self.stage.runtime.connect(self.relay()).await?;
            stream.write_all(b"*3\r\n$-7\r\nrubbish\r\n").await?;
            let mut open = Connection {
                stream,
                text: BytesMut::new(),
                used: true,
            };
            let line = open.line().await?;
            Ok::<_, io::Error>((line, open.line().await?))
        };
        let since = self.stage.at();
        let heard = self
            .stage
            .runtime
            .timeout(Duration::from_secs(3), asked)
            .await;
        let good = match heard {
            Ok(Ok((Some(line), second))) => line.starts_with("-ERR") && second.is_none(),
            // Closed or reset at once.
            Ok(_) => true,
            Err(_) => false,
        };
        self.stage.observe(&Observation::MalformedInputChecked {
            sent_at: since,
            was_rejected: good,
        });
    }

    /// Sends half a request and says no more.
    async fn stall(&mut self, half: &[u8]) {
        let stalled = async {
            let mut stream = self.stage.runtime.connect(self.relay()).await?;
            stream.write_all(half).await?;
            self.stage.runtime.sleep(Duration::from_millis(700)).await;
            Ok::<_, io::Error>(())
        };
        let _ = self
            .stage
            .runtime
            .timeout(Duration::from_secs(2), stalled)
            .await;
    }
}

async fn resend<R: Runtime>(
    stage: Stage<R>,
    relay: SocketAddr,
    text: Vec<u8>,
    id: String,
) -> io::Result<()> {
    let stream = stage
        .runtime
        .timeout(PATIENCE, stage.runtime.connect(relay))
        .await??;
    let mut open = Connection {
        stream,
        text: BytesMut::new(),
        used: false,
    };
    open.stream.write_all(&text).await?;
    if let Some(line) = stage.runtime.timeout(PATIENCE, open.line()).await?? {
        stage.observe(&Observation::ReplyReceived {
            id: &id,
            reply: &line,
        });
    }
    Ok(())
}

/// A message's body, which names it.
fn body(plan: &Plan) -> Vec<u8> {
    let mut body = plan.name.clone().into_bytes();
    let filler = plan
        .name
        .bytes()
        .fold(7u8, |sum, byte| sum.wrapping_mul(31).wrapping_add(byte));
    body.resize(plan.size.max(body.len()), filler);
    body
}

/// Asks with `PING` until the relay answers.
pub async fn until_ready<R: Runtime>(stage: &Stage<R>, relay: SocketAddr) {
    loop {
        let asked = async {
            let mut open = Connection::to(stage, relay).await?;
            open.stream.write_all(&frame(&[b"PING"])).await?;
            open.line().await
        };
        let answer = stage.runtime.timeout(PATIENCE, asked).await;
        if matches!(answer, Ok(Ok(Some(line))) if line == "+PONG") {
            return;
        }
        stage.runtime.sleep(Duration::from_millis(20)).await;
    }
}

/// Ready once a process's door says that it takes clients.
pub async fn until_yes<R: Runtime>(stage: &Stage<R>, door: SocketAddr) {
    loop {
        let asked = async {
            let mut open = Connection::to(stage, door).await?;
            open.stream.write_all(b"ready\n").await?;
            let mut text = [0; 2];
            open.stream.read_exact(&mut text).await?;
            std::io::Result::Ok(&text == b"ok")
        };
        if matches!(stage.runtime.timeout(PATIENCE, asked).await, Ok(Ok(true))) {
            return;
        }
        stage.runtime.sleep(Duration::from_millis(10)).await;
    }
}
