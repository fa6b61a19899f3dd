//! Observes a connection after a response, until the response is confirmed and the connection may be used again.

use std::cell::Cell;
use std::time::{Duration, Instant};

use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use hyper::Response;
use policy::response_confirmation::{
    confirmed_outcome, ConnectionReuse, ResponsePosition, SettlingEnd,
};
use policy::types::{AttemptOutcome, HostId, MessageId, Micros};
use relay_events::{CompletedCall, RelayEvent, SurplusResponses};
use runtime::Runtime;
use tokio::sync::mpsc;

use super::attempt::UnreadResponse;
use super::close_reason::CloseReason;
use super::connection::Connection;
use super::connection_pool::UnsolicitedInput;
use super::watched_stream::StreamEnd;
use super::{Call, HostConnections};

/// Time limit for reading the body of a response, after which its connection is closed instead of reused.
const RESPONSE_BODY_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum time for which reporting the outcome of a call is delayed until its connection is idle, so that the next call
/// can reuse the connection.
const OUTCOME_DELAY_MAX: Duration = Duration::from_millis(5);

/// Maximum size of a response body in bytes. The connection of a longer one is closed instead of reused.
pub(super) const RESPONSE_BODY_MAX_BYTES: usize = 64 << 10;

/// Maximum time for which a connection is observed after its first surplus byte.
const SURPLUS_READ_TIMEOUT: Duration = Duration::from_millis(500);

/// Time that bytes which have arrived need to be read, after the process was held up.
const READ_LAG: Duration = Duration::from_millis(1);

/// Counts a resting connection while it exists.
struct SettlingGuard<'a>(&'a Cell<usize>);

impl<'a> SettlingGuard<'a> {
    fn new(settling: &'a Cell<usize>) -> Self {
        settling.set(settling.get() + 1);
        SettlingGuard(settling)
    }
}

impl Drop for SettlingGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl<R: Runtime> HostConnections<R> {
    /// Reports a call that was answered, and keeps its connection unless a surplus response follows.
    pub(super) async fn finish_call(
        &self,
        call: &Call,
        reuse: ConnectionReuse,
        completed: CompletedCall,
        unread: UnreadResponse<R>,
        inputs: &mpsc::Sender<RelayEvent>,
    ) {
        let UnreadResponse {
            mut connection,
            response,
        } = unread;
        connection.record_outcome(completed.outcome);
        if connection.position() == ResponsePosition::First {
            return self
                .finish_first_call(call, reuse, completed, connection, response, inputs)
                .await;
        }
        let answered = RelayEvent::CallAnswered(completed.clone());
        drop(inputs.send(answered).await);
        let end = self.settle(call.host, &connection, response).await;
        let outcome = confirmed(&connection, completed.outcome, end);
        let reopened = (outcome != completed.outcome).then_some(call.id);
        self.report_surplus(call, &connection, reopened, inputs)
            .await;
        self.keep_or_close(call.host, connection, end).await;
        let confirmed = CompletedCall {
            is_final: completed.is_final && reopened.is_none(),
            outcome,
            ..completed
        };
        drop(inputs.send(RelayEvent::CallCompleted(confirmed)).await);
    }

    /// Reports a call whose response is the first of its connection, and so belongs to it.
    async fn finish_first_call(
        &self,
        call: &Call,
        reuse: ConnectionReuse,
        completed: CompletedCall,
        connection: Connection<R>,
        response: Response<Incoming>,
        inputs: &mpsc::Sender<RelayEvent>,
    ) {
        let completed = RelayEvent::CallCompleted(completed);
        self.record_response(call.host, &connection);
        if reuse == ConnectionReuse::SingleUse {
            connection.close(CloseReason::SingleUse).await;
            return drop(inputs.send(completed).await);
        }
        let finish = async {
            let mut connection = connection;
            let end = self.finish_response(&mut connection, response).await;
            self.report_surplus(call, &connection, None, inputs).await;
            self.keep_or_close(call.host, connection, end).await;
        };
        let mut finish = std::pin::pin!(finish);
        let finished = self.runtime.timeout(OUTCOME_DELAY_MAX, &mut finish).await;
        drop(inputs.send(completed).await);
        if finished.is_err() {
            finish.await;
        }
    }

    /// Reads the rest of a response, and waits until its connection accepts another request.
    async fn finish_response(
        &self,
        connection: &mut Connection<R>,
        response: Response<Incoming>,
    ) -> SettlingEnd {
        if !self.read_body(response).await {
            return SettlingEnd::Unreadable;
        }
        let ready = connection.sender.ready();
        match self.runtime.timeout(RESPONSE_BODY_TIMEOUT, ready).await {
            Ok(Ok(())) => SettlingEnd::Silent,
            _ => SettlingEnd::Closed,
        }
    }

    /// Reads the rest of a response, and then observes its connection for the settling time.
    async fn settle(
        &self,
        host: HostId,
        connection: &Connection<R>,
        response: Response<Incoming>,
    ) -> SettlingEnd {
        let _guard = SettlingGuard::new(&self.settling);
        let elapsed = self.record_response(host, connection);
        let quiet_until = self.settling_deadline(host, connection, elapsed);
        if !self.read_body(response).await {
            return SettlingEnd::Unreadable;
        }
        self.observe(connection, quiet_until).await
    }

    /// Records how long the host took to respond to the current request of a connection, and returns it.
    fn record_response(&self, host: HostId, connection: &Connection<R>) -> Micros {
        let now = self.runtime.now();
        let elapsed = (now - connection.request_began_at()).as_micros() as Micros;
        let mut responses = self.responses.borrow_mut();
        let responses = responses.entry(host).or_default();
        responses.record_response(self.micros(now), elapsed);
        elapsed
    }

    /// Until when a connection must stay silent that has just received the head of a response.
    fn settling_deadline(
        &self,
        host: HostId,
        connection: &Connection<R>,
        elapsed: Micros,
    ) -> Instant {
        let responses = self.responses.borrow();
        let responses = responses.get(&host).copied().unwrap_or_default();
        let settling_time = responses.settling_time(connection.position(), elapsed);
        self.runtime.now() + Duration::from_micros(settling_time)
    }

    /// Reads the body of a response; false if that fails.
    async fn read_body(&self, response: Response<Incoming>) -> bool {
        let body = response.into_body();
        if body.is_end_stream() {
            return true;
        }
        let rest = Limited::new(body, RESPONSE_BODY_MAX_BYTES).collect();
        let collected = self.runtime.timeout(RESPONSE_BODY_TIMEOUT, rest).await;
        matches!(collected, Ok(Ok(_)))
    }

    /// Observes a connection until it has been silent until `quiet_until`, or has ended.
    async fn observe(&self, connection: &Connection<R>, quiet_until: Instant) -> SettlingEnd {
        let monitor = connection.monitor();
        let mut observed_until = quiet_until;
        let mut has_surplus = false;
        loop {
            let read = monitor.read_notify.notified();
            let is_over = self.runtime.timeout_at(observed_until, read).await.is_err();
            if is_over {
                self.runtime.sleep(READ_LAG).await;
            }
            let progress = connection.progress();
            match progress.end {
                Some(StreamEnd::Closed) => return end_of(connection, SettlingEnd::Closed),
                Some(StreamEnd::Failed) => return SettlingEnd::Unreadable,
                None => {}
            }
            if !progress.surplus.is_empty() && !has_surplus {
                has_surplus = true;
                let latest = self.runtime.now() + SURPLUS_READ_TIMEOUT;
                observed_until = observed_until.max(latest);
            } else if is_over {
                return end_of(connection, SettlingEnd::Silent);
            }
        }
    }

    /// Reports the responses that followed the response to the last request of a connection, and honours the waits that
    /// they request.
    async fn report_surplus(
        &self,
        call: &Call,
        connection: &Connection<R>,
        reopened: Option<MessageId>,
        inputs: &mpsc::Sender<RelayEvent>,
    ) {
        let input = UnsolicitedInput::of(connection);
        let Some(input) = input.or(reopened.map(|_| UnsolicitedInput::default())) else {
            return;
        };
        self.record_unsolicited(call, input);
        self.send_surplus_report(call.host, input, reopened, inputs)
            .await;
    }

    /// Records that a host has sent bytes that belong to no request. Its idle connections are closed, as they may carry
    /// more of them.
    pub(super) fn record_unsolicited(&self, call: &Call, input: UnsolicitedInput) {
        let now = self.runtime.now();
        if input.retry_after > 0 {
            let deadline = now + Duration::from_micros(input.retry_after);
            self.retry_after.borrow_mut().extend(call.route, deadline);
        }
        if input.responses == 0 {
            return;
        }
        let now = self.micros(now);
        let mut responses = self.responses.borrow_mut();
        let host = responses.entry(call.host).or_default();
        host.record_surplus(now, input.responses);
        self.pool
            .borrow_mut()
            .close_host(call.host, CloseReason::SingleUse);
    }

    /// Reports surplus responses of a host to the event loop.
    pub(super) async fn send_surplus_report(
        &self,
        host: HostId,
        input: UnsolicitedInput,
        reopened: Option<MessageId>,
        inputs: &mpsc::Sender<RelayEvent>,
    ) {
        let total = self
            .responses
            .borrow()
            .get(&host)
            .map_or(0, |responses| responses.surplus_count());
        let report = SurplusResponses {
            host,
            count: input.responses,
            total,
            retry_after: input.retry_after,
            reopened,
        };
        drop(inputs.send(RelayEvent::SurplusResponses(report)).await);
    }

    async fn keep_or_close(&self, host: HostId, connection: Connection<R>, end: SettlingEnd) {
        let has_surplus = UnsolicitedInput::of(&connection).is_some();
        match end {
            _ if has_surplus => connection.close(CloseReason::SurplusResponse).await,
            SettlingEnd::Closed => connection.close(CloseReason::HostClosed).await,
            SettlingEnd::Unreadable => connection.close(CloseReason::ResponseFailed).await,
            SettlingEnd::Silent if connection.sender.is_closed() => {
                connection.close(CloseReason::HostClosed).await;
            }
            SettlingEnd::Silent => self.return_to_pool(host, connection),
        }
    }
}

/// `end`, unless a surplus response is incomplete.
fn end_of<R: Runtime>(connection: &Connection<R>, end: SettlingEnd) -> SettlingEnd {
    if connection.progress().surplus.is_incomplete() {
        SettlingEnd::Unreadable
    } else {
        end
    }
}

/// The outcome of a call with the `reported` outcome, after its connection was observed.
fn confirmed<R: Runtime>(
    connection: &Connection<R>,
    reported: AttemptOutcome,
    end: SettlingEnd,
) -> AttemptOutcome {
    let progress = connection.progress();
    confirmed_outcome(
        connection.position(),
        reported,
        progress.surplus.outcomes(),
        end,
    )
}
