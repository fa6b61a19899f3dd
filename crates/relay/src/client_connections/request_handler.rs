//! Handling of one connection's requests: which of them reach the event loop, and as whom.

use std::time::Duration;

use bytes::Bytes;
use relay_events::tenants::LoginRequest;
use relay_events::{Clock, EnqueueRequest, RelayEvent, Reply};
use runtime::Runtime;
use tenancy::registry::Session;
use tokio::sync::{mpsc, oneshot};

use super::request::{parse_request, Authentication, Credentials, Request, RequestError};
use crate::control_socket::Control;

/// A connection with this many failed authentications is closed, so that secrets cannot be guessed at full speed.
const MAX_FAILED_AUTHENTICATIONS: u32 = 3;

/// The reply to a request, now or once the event loop has decided.
pub(super) enum Answer {
    /// A reply that is known at once.
    Immediate(Reply),
    /// The reply of the event loop, which drops no request as long as the process lives.
    Pending(oneshot::Receiver<Reply>),
}

impl Answer {
    /// An error reply with the error's message.
    pub(super) fn from_error(error: &impl std::error::Error) -> Self {
        Answer::Immediate(Reply::Error(error.to_string()))
    }
}

/// Whom a connection has authenticated as.
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
    /// A handler for a connection that has not authenticated.
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

    /// Handles the request with these parts, which may have waited for `queue_delay` before the relay could read it.
    pub(super) async fn handle(&mut self, parts: &[Bytes], queue_delay: Duration) -> Answer {
        let sent_at = self
            .clock
            .now()
            .saturating_sub(queue_delay.as_micros() as u64);
        if self.has_exhausted_authentication() {
            return Answer::from_error(&RequestError::AuthenticationExhausted);
        }
        match parse_request(parts, sent_at, self.session.authentication) {
            Ok(Request::Ping) if self.control.is_ready() => Answer::Immediate(Reply::Pong),
            Ok(Request::Ping) => Answer::from_error(&RequestError::NotReady),
            Ok(Request::Enqueue(request)) => self.enqueue(*request).await,
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

    async fn enqueue(&self, mut request: EnqueueRequest) -> Answer {
        let (reply, pending_reply) = oneshot::channel();
        request.reply = Some(reply);
        request.login = self.session.login.clone();
        match self.events.send(RelayEvent::EnqueueRequest(request)).await {
            Ok(()) => Answer::Pending(pending_reply),
            Err(_) => Answer::Immediate(Reply::Busy(0)),
        }
    }

    /// Authenticates the client for the requests that follow. After a failure it is not authenticated at all, whoever
    /// it was before.
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
