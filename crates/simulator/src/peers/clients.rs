//! Clients, which submit messages and submit them again after a rejection. Some of them misbehave.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use runtime::{Runtime, Stream};
use tokio::io::AsyncWriteExt;

use super::connection::{frame, Connection, RESPONSE_TIMEOUT};
use super::PeerContext;
use crate::history::{Idempotency, Observation, SubmittedRequest};

/// Maximum number of submissions of a message.
const MAX_SUBMISSIONS: u32 = 4;
/// Delay of the next submission after a connection failed while in use.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Delay of the next submission after a failure to connect.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// Delay of the next submission after a `-BUSY` that states no wait, in milliseconds.
const DEFAULT_BUSY_DELAY_MS: u64 = 200;
/// A message with less time than this until its deadline is not submitted.
const MIN_REMAINING_TIME: Duration = Duration::from_millis(20);
/// Time within which the relay must respond to malformed input with an error and a close.
const MALFORMED_INPUT_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for which a client that stalls keeps its connection open.
const STALL_TIME: Duration = Duration::from_millis(700);
/// Timeout for the whole stalled exchange, including connecting.
const STALL_TIMEOUT: Duration = Duration::from_secs(2);

/// A client's behaviour besides submitting its message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientBehavior {
    /// Only submits the message.
    Regular,
    /// Sends the same request on another connection at once.
    Duplicates,
    /// Closes the connection once it has sent the request.
    Disconnects,
    /// Sends half of the request and stalls; then sends the whole request on a new connection.
    Stalls,
    /// Sends malformed input first, and expects an error and a close.
    SendsMalformed,
    /// Submits for a tenant other than the one that it authenticates as.
    Impersonates,
}

/// A message that a client is to submit.
#[derive(Clone, Debug)]
pub struct PlannedMessage {
    /// When it is first submitted.
    pub at: Duration,
    /// Its name; the id of each submission is the name and the submission's number.
    pub name: String,
    /// Its tenant.
    pub tenant: String,
    /// Name of its class.
    pub class: &'static str,
    /// Whether messages of its class may be executed more than once.
    pub idempotency: Idempotency,
    /// Its ordering key, 0 for none.
    pub ordering_key: u64,
    /// Whether its class is ordered.
    pub is_ordered: bool,
    /// Time from which messages of its class must not be executed twice, if any.
    pub non_idempotent_from: Option<Duration>,
    /// Its destination.
    pub destination: u16,
    /// Milliseconds from its first submission to its deadline.
    pub time_to_live_ms: u64,
    /// Minimum size of its body; the body always contains the name.
    pub body_bytes: usize,
    /// How its client behaves.
    pub behavior: ClientBehavior,
}

/// A pending submission of a message, the first or a repeated one.
struct Submission {
    message: PlannedMessage,
    /// Number of the submission, from 0.
    number: u32,
    deadline: Duration,
}

impl Submission {
    /// Returns the message's id, which differs for each submission.
    fn id(&self) -> String {
        format!("{}.{}", self.message.name, self.number)
    }
}

/// The outcome of sending a request.
enum Outcome {
    /// The message needs no further submission.
    Done,
    /// The message is to be submitted again after this time.
    RetryAfter(Duration),
    /// A reused connection failed before the request had a reply; the request is sent again on a new connection.
    StaleConnection,
}

/// A client with its own connection and its own messages.
pub struct Client<R: Runtime> {
    context: PeerContext<R>,
    /// Addresses of the relays that it can use.
    relays: Vec<SocketAddr>,
    /// Index of the relay in use.
    current: usize,
    connection: Option<Connection<R::Stream>>,
    /// Pending submissions, ordered by time and entry number.
    submissions: BTreeMap<(Duration, u64), Submission>,
    next_entry: u64,
    /// The tenant and secret with which it authenticates, if required.
    credentials: Option<(String, String)>,
    /// Set while the load balancer has the relay out of rotation: no new connection is opened.
    is_out_of_rotation: Rc<Cell<bool>>,
}

impl<R: Runtime> Client<R> {
    /// Creates a client of the relays at `relays`. It starts with the one at index `first` and fails over to the next
    /// if a relay does not reply.
    pub fn new(
        context: PeerContext<R>,
        relays: Vec<SocketAddr>,
        first: usize,
        messages: Vec<PlannedMessage>,
        credentials: Option<(String, String)>,
    ) -> Self {
        let context = PeerContext {
            relay: first,
            ..context
        };
        let mut client = Client {
            context,
            relays,
            current: first,
            connection: None,
            submissions: BTreeMap::new(),
            next_entry: 0,
            credentials,
            is_out_of_rotation: Rc::default(),
        };
        for message in messages {
            let submission = Submission {
                number: 0,
                deadline: message.at + Duration::from_millis(message.time_to_live_ms),
                message,
            };
            client.schedule(submission.message.at, submission);
        }
        client
    }

    /// Puts the client behind a load balancer, which sets `is_out_of_rotation` while no new connection may be opened.
    pub fn behind_load_balancer(self, is_out_of_rotation: Rc<Cell<bool>>) -> Self {
        Client {
            is_out_of_rotation,
            ..self
        }
    }

    fn relay(&self) -> SocketAddr {
        self.relays[self.current]
    }

    /// Switches to the next relay.
    fn fail_over(&mut self) {
        self.connection = None;
        self.current = (self.current + 1) % self.relays.len();
        self.context.relay = self.current;
    }

    fn schedule(&mut self, at: Duration, submission: Submission) {
        self.next_entry += 1;
        self.submissions.insert((at, self.next_entry), submission);
    }

    /// Submits all messages, each at its time.
    pub async fn run(mut self) {
        while let Some(((at, _), submission)) = self.submissions.pop_first() {
            self.context
                .runtime
                .sleep_until(self.context.instant(at))
                .await;
            self.wait_until_open(&submission.message).await;
            if self.context.elapsed() + MIN_REMAINING_TIME > submission.deadline {
                continue;
            }
            let delay = self.submit(&submission).await;
            if let Some(delay) = delay.filter(|_| submission.number + 1 < MAX_SUBMISSIONS) {
                let next = Submission {
                    number: submission.number + 1,
                    ..submission
                };
                self.schedule(self.context.elapsed() + delay, next);
            }
        }
    }

    /// Waits while the relay is out of rotation, unless the message needs only the connection that is already open.
    async fn wait_until_open(&mut self, message: &PlannedMessage) {
        while self.is_out_of_rotation.get()
            && (self.connection.is_none() || message.behavior != ClientBehavior::Regular)
        {
            self.connection = None;
            self.context.runtime.sleep(RETRY_DELAY).await;
        }
    }

    async fn connect(&mut self) -> io::Result<()> {
        if self.connection.is_some() {
            return Ok(());
        }
        let stream = self
            .context
            .runtime
            .timeout(RESPONSE_TIMEOUT, self.context.runtime.connect(self.relay()))
            .await??;
        stream.set_nodelay()?;
        let mut connection = Connection::new(stream);
        if let Some((tenant, secret)) = &self.credentials {
            let request = frame(&[b"AUTH", tenant.as_bytes(), secret.as_bytes()]);
            connection.stream.write_all(&request).await?;
            let reply = self
                .context
                .runtime
                .timeout(RESPONSE_TIMEOUT, connection.line())
                .await??;
            // The credentials may be accepted on a later connection.
            if reply.as_deref() != Some("+OK") {
                return Err(io::ErrorKind::PermissionDenied.into());
            }
        }
        self.connection = Some(connection);
        Ok(())
    }

    /// Submits a message. Returns the delay after which it is to be submitted again, if it is.
    async fn submit(&mut self, submission: &Submission) -> Option<Duration> {
        let behavior = submission.message.behavior;
        match behavior {
            ClientBehavior::SendsMalformed if submission.number == 0 => {
                self.send_malformed().await;
            }
            ClientBehavior::Stalls if submission.number == 0 => {
                let request = self.request(submission);
                self.stall(&request[..request.len() / 2]).await;
            }
            _ => {}
        }
        // If a kept connection was closed in the meantime, the request was not read and is sent once more.
        for _ in 0..2 {
            match self.send(submission).await {
                Outcome::Done => return None,
                Outcome::RetryAfter(delay) => return Some(delay),
                Outcome::StaleConnection => {}
            }
        }
        let id = submission.id();
        self.context.observe(&Observation::RequestAbandoned(&id));
        Some(RETRY_DELAY)
    }

    /// Sends a request, on a new connection if there is none, and waits for the reply.
    async fn send(&mut self, submission: &Submission) -> Outcome {
        if self.connection.is_none() && self.is_out_of_rotation.get() {
            return Outcome::RetryAfter(RETRY_DELAY);
        }
        if self.connect().await.is_err() {
            self.fail_over();
            return Outcome::RetryAfter(RECONNECT_DELAY);
        }
        let id = submission.id();
        let request = self.request(submission);
        let Some(connection) = &mut self.connection else {
            return Outcome::RetryAfter(RETRY_DELAY);
        };
        let was_used = std::mem::replace(&mut connection.used, true);
        if connection.stream.write_all(&request).await.is_err() {
            self.connection = None;
            return if was_used {
                Outcome::StaleConnection
            } else {
                Outcome::RetryAfter(RETRY_DELAY)
            };
        }
        self.report_sent(submission, &id);
        match submission.message.behavior {
            ClientBehavior::Disconnects => {
                self.connection = None;
                self.context.observe(&Observation::RequestAbandoned(&id));
                return Outcome::Done;
            }
            ClientBehavior::Duplicates => {
                let duplicate =
                    send_duplicate(self.context.clone(), self.relay(), request, id.clone());
                self.context
                    .runtime
                    .spawn(async move { drop(duplicate.await) });
            }
            _ => {}
        }
        self.receive(&id, was_used).await
    }

    /// Waits for the reply to a request that was sent.
    async fn receive(&mut self, id: &str, was_used: bool) -> Outcome {
        let Some(connection) = &mut self.connection else {
            return Outcome::RetryAfter(RETRY_DELAY);
        };
        let received = self
            .context
            .runtime
            .timeout(RESPONSE_TIMEOUT, connection.line())
            .await;
        match received {
            Ok(Ok(Some(reply))) => {
                self.context
                    .observe(&Observation::ReplyReceived { id, reply: &reply });
                (self.context.trace)(format_args!("{id} is answered {reply}"));
                let Some(delay) = reply.strip_prefix("-BUSY") else {
                    return Outcome::Done;
                };
                let delay_ms = delay.trim().parse().unwrap_or(DEFAULT_BUSY_DELAY_MS);
                Outcome::RetryAfter(Duration::from_millis(delay_ms))
            }
            // The connection ended without a reply.
            Ok(_) if was_used => {
                self.connection = None;
                Outcome::StaleConnection
            }
            Ok(_) | Err(_) => {
                self.context.observe(&Observation::RequestAbandoned(id));
                self.fail_over();
                Outcome::RetryAfter(RETRY_DELAY)
            }
        }
    }

    fn request(&self, submission: &Submission) -> Vec<u8> {
        let message = &submission.message;
        let remaining = submission.deadline.saturating_sub(self.context.elapsed());
        let key = idempotency_key(message).map_or(String::new(), |key| format!("k={key},"));
        let again = if submission.number > 0 { "r=1," } else { "" };
        let fields = format!(
            "c={},t={},d={},{key}{again}dest={}",
            message.class,
            submitted_tenant(message),
            remaining.as_millis(),
            message.destination
        );
        let ordering_key = format!("{:016x}", message.ordering_key);
        frame(&[
            b"ENQUEUE",
            ordering_key.as_bytes(),
            submission.id().as_bytes(),
            fields.as_bytes(),
            &body(message),
        ])
    }

    /// Reports a request whose last byte was sent.
    fn report_sent(&self, submission: &Submission, id: &str) {
        let message = &submission.message;
        let is_non_idempotent = message
            .non_idempotent_from
            .is_some_and(|from| self.context.elapsed() >= from);
        let request = SubmittedRequest {
            id: id.into(),
            class: message.class.into(),
            tenant: submitted_tenant(message),
            is_impersonated: message.behavior == ClientBehavior::Impersonates,
            idempotency: if is_non_idempotent {
                Idempotency::NonIdempotent
            } else {
                message.idempotency
            },
            ordering_key: Some(message.ordering_key).filter(|key| message.is_ordered && *key > 0),
            destination: message.destination,
            idempotency_key: idempotency_key(message),
            body: body(message),
            deadline: submission.deadline,
        };
        self.context.observe(&Observation::RequestSent(&request));
    }

    /// Sends malformed input, waits for an error and a close, and reports whether they arrived in time.
    async fn send_malformed(&mut self) {
        let exchange = async {
            let mut connection = Connection::open(&self.context, self.relay()).await?;
            connection
                .stream
                .write_all(b"*3\r\n$-7\r\nrubbish\r\n")
                .await?;
            let reply = connection.line().await?;
            Ok::<_, io::Error>((reply, connection.line().await?))
        };
        let sent_at = self.context.elapsed();
        let received = self
            .context
            .runtime
            .timeout(MALFORMED_INPUT_TIMEOUT, exchange)
            .await;
        let was_rejected = match received {
            Ok(Ok((Some(reply), second))) => reply.starts_with("-ERR") && second.is_none(),
            // Closed or reset at once.
            Ok(_) => true,
            Err(_) => false,
        };
        self.context.observe(&Observation::MalformedInputChecked {
            sent_at,
            was_rejected,
        });
    }

    /// Sends part of a request and then nothing, keeping the connection open.
    async fn stall(&mut self, half: &[u8]) {
        let stalled = async {
            let mut stream = self.context.runtime.connect(self.relay()).await?;
            stream.write_all(half).await?;
            self.context.runtime.sleep(STALL_TIME).await;
            Ok::<_, io::Error>(())
        };
        let _ = self.context.runtime.timeout(STALL_TIMEOUT, stalled).await;
    }
}

/// Sends a request again on a separate connection, and reports the reply.
async fn send_duplicate<R: Runtime>(
    context: PeerContext<R>,
    relay: SocketAddr,
    request: Vec<u8>,
    id: String,
) -> io::Result<()> {
    let stream = context
        .runtime
        .timeout(RESPONSE_TIMEOUT, context.runtime.connect(relay))
        .await??;
    let mut connection = Connection::new(stream);
    connection.stream.write_all(&request).await?;
    let reply = context
        .runtime
        .timeout(RESPONSE_TIMEOUT, connection.line())
        .await??;
    if let Some(reply) = reply {
        context.observe(&Observation::ReplyReceived {
            id: &id,
            reply: &reply,
        });
    }
    Ok(())
}

/// Returns the tenant for which a message is submitted.
fn submitted_tenant(message: &PlannedMessage) -> String {
    match message.behavior {
        ClientBehavior::Impersonates => {
            format!("tenant-{}", u8::from(message.tenant == "tenant-0"))
        }
        _ => message.tenant.clone(),
    }
}

fn idempotency_key(message: &PlannedMessage) -> Option<String> {
    let has_key = matches!(message.idempotency, Idempotency::Keyed { .. });
    has_key.then(|| format!("k-{}", message.name))
}

/// Returns a message's body: its name, filled up to the planned size.
fn body(message: &PlannedMessage) -> Vec<u8> {
    let mut body = message.name.clone().into_bytes();
    let filler = message
        .name
        .bytes()
        .fold(7u8, |sum, byte| sum.wrapping_mul(31).wrapping_add(byte));
    body.resize(message.body_bytes.max(body.len()), filler);
    body
}
