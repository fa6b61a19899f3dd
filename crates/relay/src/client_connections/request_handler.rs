//! Handles one connection's requests: authenticates the client and forwards its messages to the event loop.

use std::time::Duration;

use bytes::Bytes;
use relay_events::tenants::LoginRequest;
use relay_events::{Clock, EnqueueRequest, RelayEvent, Reply};
use runtime::Runtime;
use tenancy::registry::Session;
use tokio::sync::{mpsc, oneshot};

use super::request::{parse_request, Authentication, Credentials, Request, RequestError};
use super::request_memory::UnansweredRequest;
use crate::control_socket::Control;

/// A connection is closed after this many failed authentications, which slows down the guessing of secrets.
const MAX_FAILED_AUTHENTICATIONS: u32 = 3;

/// The reply to a request, which is either known at once or pending in the event loop.
pub(super) enum Answer {
    /// The reply is known.
    Immediate(Reply),
    /// The event loop will send the reply. It answers every request while the process runs.
    Pending {
        reply: oneshot::Receiver<Reply>,
        /// The memory of the request, which is free once it is answered.
        memory: UnansweredRequest,
    },
}

impl Answer {
    /// Creates an error reply with the error's message.
    pub(super) fn from_error(error: &impl std::error::Error) -> Self {
        Answer::Immediate(Reply::Error(error.to_string()))
    }
}

/// The authentication state of a connection.
struct AuthenticatedSession {
    authentication: Authentication,
    login: Option<Session>,
    failed_authentications: u32,
}

/// Handles the requests of one connection in their order.
pub(super) struct RequestHandler<'a, R: Runtime> {
    control: &'a Control<R>,
    clock: &'a Clock<R>,
    events: mpsc::Sender<RelayEvent>,
    session: AuthenticatedSession,
}

impl<'a, R: Runtime> RequestHandler<'a, R> {
    /// Creates the handler of a connection that has not authenticated.
    pub(super) fn new(
        control: &'a Control<R>,
        clock: &'a Clock<R>,
        events: mpsc::Sender<RelayEvent>,
        authentication: Authentication,
    ) -> Self {
        RequestHandler {
            control,
            clock,
            events,
            session: AuthenticatedSession {
                authentication,
                login: None,
                failed_authentications: 0,
            },
        }
    }

    /// Handles a request given as its parts. It may have been queued for up to `queue_delay` before the relay could read
    /// it. The parts are dropped before the request is forwarded, as `memory` covers one copy of the request.
    pub(super) async fn handle(
        &mut self,
        parts: Vec<Bytes>,
        memory: UnansweredRequest,
        queue_delay: Duration,
    ) -> Answer {
        let sent_at = self
            .clock
            .now()
            .saturating_sub(queue_delay.as_micros() as u64);
        if self.has_exhausted_authentication() {
            return Answer::from_error(&RequestError::AuthenticationExhausted);
        }
        let request = parse_request(&parts, sent_at, self.session.authentication);
        drop(parts);
        match request {
            Ok(Request::Ping) if self.control.is_ready() => Answer::Immediate(Reply::Pong),
            Ok(Request::Ping) => Answer::from_error(&RequestError::NotReady),
            Ok(Request::Enqueue(request)) => self.enqueue(*request, memory).await,
            Ok(Request::Authenticate(credentials)) => {
                Answer::Immediate(self.authenticate(credentials).await)
            }
            Err(error) => Answer::from_error(&error),
        }
    }

    /// Whether the client has failed to authenticate [`MAX_FAILED_AUTHENTICATIONS`] times, which closes its connection.
    pub(super) fn has_exhausted_authentication(&self) -> bool {
        self.session.failed_authentications >= MAX_FAILED_AUTHENTICATIONS
    }

    async fn enqueue(&self, mut request: EnqueueRequest, memory: UnansweredRequest) -> Answer {
        let (reply, pending_reply) = oneshot::channel();
        request.reply = Some(reply);
        request.login = self.session.login.clone();
        match self.events.send(RelayEvent::EnqueueRequest(request)).await {
            Ok(()) => Answer::Pending {
                reply: pending_reply,
                memory,
            },
            Err(_) => Answer::Immediate(Reply::Busy(0)),
        }
    }

    /// Authenticates the client for the requests that follow. A failure also ends an earlier authentication.
    async fn authenticate(&mut self, credentials: Option<Credentials>) -> Reply {
        self.session.login = None;
        if let Some(credentials) = credentials {
            let (reply, pending_login) = oneshot::channel();
            let request = LoginRequest {
                name: credentials.name,
                secret: credentials.secret,
                reply,
            };
            if self.events.send(RelayEvent::Login(request)).await.is_err() {
                return Reply::Busy(0);
            }
            self.session.login = pending_login.await.unwrap_or_default();
        }
        if self.session.login.is_some() {
            return Reply::Ok;
        }
        self.session.failed_authentications += 1;
        Reply::WrongPass
    }
}
