//! One attempt at a call: obtains a connection, checks that the call may still start, exchanges request and response,
//! and derives the outcome.

use std::ops::ControlFlow;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response};
use policy::response_confirmation::{ConnectionReuse, ResponsePosition};
use policy::types::AttemptOutcome;
use runtime::Runtime;
use tokio::sync::oneshot;

use super::close_reason::CloseReason;
use super::connection::{response_head_overrun, Connection};
use super::connection_pool::UnsolicitedInput;
use super::request::{self, EncodedRequest};
use super::response::{self, ResponseReport};
use super::{Call, HostConnections};

/// A response with this status means that the message was delivered, even if the rest of the response is malformed.
const DELIVERED_STATUS: u16 = 200;

/// The result of an attempt.
pub(super) struct AttemptResult<R: Runtime> {
    pub(super) report: ResponseReport,
    /// The attempt opened a connection, or tried to, instead of reusing an idle one.
    pub(super) opened_connection: bool,
    /// The response to read before the connection can be reused; `None` if the connection is not kept.
    pub(super) unread_response: Option<UnreadResponse<R>>,
}

/// A response whose head has been read, but not its body.
pub(super) struct UnreadResponse<R: Runtime> {
    pub(super) connection: Connection<R>,
    pub(super) response: Response<Incoming>,
}

/// The origin of an attempt's connection.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ConnectionOrigin {
    /// The connection was idle in the pool. The host may have closed it in the meantime.
    Reused,
    /// The connection was opened for the attempt.
    Opened,
}

/// The result of writing a request and waiting for the head of its response.
enum Exchange {
    Response(Response<Incoming>),
    /// The connection failed before the last byte of the request was written, so the host has not executed the call.
    RequestIncomplete,
    /// The connection failed after that, or the head of the response was malformed, too long or too slow.
    ResponseFailed,
    DeadlineReached,
    Cancelled,
}

/// The conditions that end an attempt early.
pub(super) struct AttemptLimits<'a> {
    pub(super) deadline: Instant,
    /// Completes when the call is cancelled, which includes dropping the sender.
    pub(super) cancel: &'a mut oneshot::Receiver<()>,
}

impl<R: Runtime> HostConnections<R> {
    /// Makes one attempt, on a connection as `reuse` permits.
    ///
    /// The host may have closed an idle connection, in which case the request is written to the next one. Each iteration
    /// consumes one idle connection; the last iteration uses a connection that was opened for the attempt.
    pub(super) async fn attempt(
        &self,
        call: &Call,
        reuse: ConnectionReuse,
        mut limits: AttemptLimits<'_>,
    ) -> AttemptResult<R> {
        loop {
            let (connection, origin) = match self.reuse_idle_connection(call, reuse) {
                Some(connection) => (connection, ConnectionOrigin::Reused),
                None => match self.open_connection(call, &mut limits).await {
                    Ok(connection) => (connection, ConnectionOrigin::Opened),
                    Err(outcome) => {
                        return AttemptResult::without_response(outcome, ConnectionOrigin::Opened);
                    }
                },
            };
            let step = self.attempt_on(call, &mut limits, connection, origin).await;
            if let ControlFlow::Break(result) = step {
                return result;
            }
        }
    }

    /// Opens a connection within the dial timeout, because a host that has disappeared does not answer at all.
    async fn open_connection(
        &self,
        call: &Call,
        limits: &mut AttemptLimits<'_>,
    ) -> Result<Connection<R>, AttemptOutcome> {
        let dial_deadline = limits.deadline.min(self.runtime.now() + self.dial_timeout);
        let open = Connection::open(
            &self.runtime,
            call.address,
            self.dispatches.clone(),
            self.close_counts.clone(),
        );
        tokio::select! {
            biased;
            opened = self.runtime.timeout_at(dial_deadline, open) => match opened {
                Ok(Ok(connection)) => Ok(connection),
                _ => Err(AttemptOutcome::ConnectFailed),
            },
            _ = &mut *limits.cancel => Err(AttemptOutcome::Obsolete),
        }
    }

    /// Makes the attempt on a connection, unless the call may no longer start.
    ///
    /// Returns `Continue` to retry on another connection if this one was lost before the host could execute the call.
    async fn attempt_on(
        &self,
        call: &Call,
        limits: &mut AttemptLimits<'_>,
        mut connection: Connection<R>,
        origin: ConnectionOrigin,
    ) -> ControlFlow<AttemptResult<R>> {
        if let Some(outcome) = self.reason_not_to_start(call) {
            self.return_to_pool(call.host, connection);
            return ControlFlow::Break(AttemptResult::without_response(outcome, origin));
        }
        let remaining = limits
            .deadline
            .saturating_duration_since(self.runtime.now());
        let Some(EncodedRequest { request, size }) = request::build(call, remaining) else {
            let outcome = AttemptOutcome::Obsolete;
            return ControlFlow::Break(AttemptResult::without_response(outcome, origin));
        };
        connection.begin_request(self.runtime.now(), size, call.start.clone());
        self.record_call(call.host);
        match self.exchange(&mut connection, request, limits).await {
            Exchange::Response(response) => {
                ControlFlow::Break(self.accept_response(call, connection, response, origin))
            }
            Exchange::RequestIncomplete => {
                if let Some(input) = UnsolicitedInput::of(&connection) {
                    self.record_unsolicited(call, input);
                }
                connection.close(CloseReason::RequestIncomplete).await;
                if call.start.has_failed() {
                    let outcome = AttemptOutcome::Obsolete;
                    return ControlFlow::Break(AttemptResult::without_response(outcome, origin));
                }
                call.start.retract();
                match origin {
                    ConnectionOrigin::Reused => ControlFlow::Continue(()),
                    // A host whose new connection fails before the request is written counts as unreachable.
                    ConnectionOrigin::Opened => ControlFlow::Break(
                        AttemptResult::without_response(AttemptOutcome::ConnectFailed, origin),
                    ),
                }
            }
            Exchange::ResponseFailed => {
                ControlFlow::Break(self.end_failed_response(call, connection, origin).await)
            }
            Exchange::DeadlineReached => {
                let outcome = if connection.progress().is_request_complete() {
                    AttemptOutcome::Timeout
                } else {
                    AttemptOutcome::ConnectFailed
                };
                let reason = CloseReason::Timeout;
                ControlFlow::Break(
                    close_and_report(call, connection, outcome, origin, reason).await,
                )
            }
            Exchange::Cancelled => {
                let outcome = if connection.progress().is_request_complete() {
                    AttemptOutcome::Cancelled
                } else {
                    AttemptOutcome::Obsolete
                };
                let reason = CloseReason::Cancelled;
                ControlFlow::Break(
                    close_and_report(call, connection, outcome, origin, reason).await,
                )
            }
        }
    }

    /// The outcome of a call that may no longer start; `None` if it may.
    ///
    /// The conditions of the call may have changed while the connection was opened. No byte of the request has been
    /// written yet, so the policy can still choose another host or a later time.
    fn reason_not_to_start(&self, call: &Call) -> Option<AttemptOutcome> {
        let now = self.runtime.now();
        // The host was announced as draining or removed.
        if !self.members.borrow().may_start_call(call.host, now) {
            return Some(AttemptOutcome::NotStarted);
        }
        // The response to another call on the route requested a wait.
        if self.retry_after.borrow().is_waiting(call.route, now) {
            return Some(AttemptOutcome::Obsolete);
        }
        // An earlier attempt may have been executed, and the host may no longer store the idempotency key.
        if call.latest_start.is_some_and(|latest| latest < now) {
            return Some(AttemptOutcome::Obsolete);
        }
        None
    }

    /// Writes a request and waits for the head of the response.
    async fn exchange(
        &self,
        connection: &mut Connection<R>,
        request: Request<Full<Bytes>>,
        limits: &mut AttemptLimits<'_>,
    ) -> Exchange {
        let head_overrun = response_head_overrun(self.runtime.clone(), connection.monitor());
        tokio::select! {
            biased;
            sent = connection.sender.try_send_request(request) => match sent {
                Ok(response) if may_answer(connection, &response) => Exchange::Response(response),
                Ok(_) => Exchange::RequestIncomplete,
                Err(_) if !connection.progress().is_request_complete() => Exchange::RequestIncomplete,
                Err(_) => Exchange::ResponseFailed,
            },
            // Limits the time and the memory that the head of a response may take.
            () = head_overrun => Exchange::ResponseFailed,
            () = self.runtime.sleep_until(limits.deadline) => Exchange::DeadlineReached,
            _ = &mut *limits.cancel => Exchange::Cancelled,
        }
    }

    /// Ends an attempt whose response has a valid head.
    fn accept_response(
        &self,
        call: &Call,
        connection: Connection<R>,
        response: Response<Incoming>,
        origin: ConnectionOrigin,
    ) -> AttemptResult<R> {
        let report = response::interpret(&response);
        if let AttemptOutcome::Rejected {
            retry_after: micros @ 1..,
        } = report.outcome
        {
            let deadline = self.runtime.now() + Duration::from_micros(micros);
            self.retry_after.borrow_mut().extend(call.route, deadline);
        }
        AttemptResult {
            report,
            opened_connection: origin == ConnectionOrigin::Opened,
            unread_response: Some(UnreadResponse {
                connection,
                response,
            }),
        }
    }

    /// Ends an attempt whose response is missing, malformed, or exceeds its size or time limit.
    async fn end_failed_response(
        &self,
        call: &Call,
        connection: Connection<R>,
        origin: ConnectionOrigin,
    ) -> AttemptResult<R> {
        let is_silent = connection.progress().response.bytes_read() == 0;
        let is_connection_lost = is_silent && origin == ConnectionOrigin::Reused;
        let outcome = if is_connection_lost {
            AttemptOutcome::ConnectionLost
        } else {
            AttemptOutcome::Reset
        };
        let reason = CloseReason::ResponseFailed;
        let result = close_and_report(call, connection, outcome, origin, reason).await;
        if is_connection_lost {
            // The other idle connections may be lost as well. The next call opens a new connection, which shows whether
            // the host is up.
            self.close_idle(call.host);
        }
        result
    }
}

impl<R: Runtime> AttemptResult<R> {
    /// The result of an attempt that ended before the head of a response was complete.
    fn without_response(outcome: AttemptOutcome, origin: ConnectionOrigin) -> Self {
        AttemptResult {
            report: ResponseReport {
                outcome,
                is_final: false,
                load_report: None,
            },
            opened_connection: origin == ConnectionOrigin::Opened,
            unread_response: None,
        }
    }
}

/// Whether a response can answer the current request. A host begins a call when its last byte has arrived: before that, it
/// can only reject the call.
fn may_answer<R: Runtime>(connection: &Connection<R>, response: &Response<Incoming>) -> bool {
    let is_rejection = !response::interpret(response).outcome.may_have_executed();
    let may_reject = connection.position() == ResponsePosition::First && is_rejection;
    connection.progress().is_request_complete() || may_reject
}

/// Ends an attempt whose connection can't be reused, and returns once it is closed.
///
/// The outcome is `outcome`, unless the first response of the connection began with status 200. A later response may be
/// the copy of an earlier one, and the connection cannot be observed any longer. A request that was not written
/// completely cannot have been executed, so its start is retracted.
async fn close_and_report<R: Runtime>(
    call: &Call,
    connection: Connection<R>,
    outcome: AttemptOutcome,
    origin: ConnectionOrigin,
    reason: CloseReason,
) -> AttemptResult<R> {
    let mut result = AttemptResult::without_response(outcome, origin);
    let is_complete = connection.progress().is_request_complete();
    let has_success_status = connection.progress().response.status() == Some(DELIVERED_STATUS);
    if has_success_status && is_complete && connection.position() == ResponsePosition::First {
        result.report.outcome = AttemptOutcome::Delivered;
        result.report.is_final = true;
    }
    if !is_complete {
        call.start.retract();
    }
    connection.close(reason).await;
    result
}
