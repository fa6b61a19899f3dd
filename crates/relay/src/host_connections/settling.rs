//! Observes a connection after a response, until the response is confirmed and the connection may be used again.

use std::cell::Cell;
use std::time::{Duration, Instant};

use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use hyper::Response;
use policy::response_confirmation::{
    confirmed_outcome, connection_rest, ConfirmationTime, ConnectionReuse, Credibility,
    HostResponses, ResponsePosition, SettlingEnd,
};
use policy::types::{AttemptOutcome, HostId, MessageId, Micros};
use relay_events::{CompletedCall, RelayEvent, SurplusResponses};
use runtime::Runtime;
use tokio::sync::mpsc;

use super::attempt::UnreadResponse;
use super::close_reason::CloseReason;
use super::connection::Connection;
use super::connection_pool::UnsolicitedInput;
use super::watched_stream::{StreamEnd, TransferMonitor};
use super::{Call, HostConnections};

/// Time limit for reading the body of a response, after which its connection is closed instead of reused.
const RESPONSE_BODY_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum size of a response body in bytes. The connection of a longer one is closed instead of reused.
pub(super) const RESPONSE_BODY_MAX_BYTES: usize = 64 << 10;

/// Maximum time for which a connection is observed after its first surplus byte.
const SURPLUS_READ_TIMEOUT: Duration = Duration::from_millis(500);

/// Time that bytes which have arrived need to be read, after the process was held up.
const READ_LAG: Duration = Duration::from_millis(1);

/// An answered call.
pub(super) struct AnsweredCall<'a> {
    pub(super) call: &'a Call,
    /// The call as its response reports it.
    pub(super) completed: CompletedCall,
    pub(super) reuse: ConnectionReuse,
    /// The time limit of the call, or the deadline of its message if that is sooner.
    pub(super) deadline: Instant,
}

/// Counts a connection while it exists.
struct CountGuard<'a>(&'a Cell<usize>);

impl<'a> CountGuard<'a> {
    fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        CountGuard(count)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl<R: Runtime> HostConnections<R> {
    /// Reports a call that was answered, and keeps its connection unless a surplus response follows.
    pub(super) async fn finish_call(
        &self,
        answered: AnsweredCall<'_>,
        unread: UnreadResponse<R>,
        inputs: &mpsc::Sender<RelayEvent>,
    ) {
        let UnreadResponse {
            mut connection,
            response,
        } = unread;
        connection.record_outcome(answered.completed.outcome);
        if connection.position() == ResponsePosition::First {
            self.finish_first_call(answered, connection, response, inputs)
                .await;
        } else {
            self.finish_later_call(answered, connection, response, inputs)
                .await;
        }
    }

    /// Reports a call whose response is the first of its connection, and so belongs to it.
    async fn finish_first_call(
        &self,
        answered: AnsweredCall<'_>,
        connection: Connection<R>,
        response: Response<Incoming>,
        inputs: &mpsc::Sender<RelayEvent>,
    ) {
        let call = answered.call;
        let elapsed = self.elapsed(&connection);
        self.record_response(call.host, Credibility::Certain, elapsed);
        self.record_confirmed(call.host, answered.completed.outcome, elapsed);
        let rested_at = self.rest_deadline();
        let completed = RelayEvent::CallCompleted(answered.completed);
        let close_reason = match answered.reuse {
            ConnectionReuse::SingleUse => Some(CloseReason::SingleUse),
            _ if !self.may_rest() => Some(CloseReason::Evicted),
            _ => None,
        };
        if let Some(reason) = close_reason {
            connection.close(reason).await;
            return drop(inputs.send(completed).await);
        }
        let _resting = CountGuard::new(&self.resting);
        drop(inputs.send(completed).await);
        let end = if self.read_body(response).await {
            SettlingEnd::Silent
        } else {
            SettlingEnd::Reset
        };
        self.rest(call, connection, end, rested_at, inputs).await;
    }

    /// Reports a call whose response may belong to an earlier one, and then its outcome once that is confirmed.
    async fn finish_later_call(
        &self,
        answered: AnsweredCall<'_>,
        connection: Connection<R>,
        response: Response<Incoming>,
        inputs: &mpsc::Sender<RelayEvent>,
    ) {
        let AnsweredCall {
            call, completed, ..
        } = answered;
        let _resting = CountGuard::new(&self.resting);
        let rested_at = self.rest_deadline();
        let elapsed = self.elapsed(&connection);
        let credibility = self.credibility(call.host, &connection, completed.outcome, elapsed);
        self.record_response(call.host, credibility, elapsed);
        let confirmed_at = self
            .confirmation_deadline(
                call.host,
                &connection,
                credibility,
                completed.outcome,
                elapsed,
            )
            .unwrap_or(answered.deadline);
        let answered = RelayEvent::CallAnswered {
            call: completed.clone(),
            credibility,
        };
        drop(inputs.send(answered).await);
        let is_doubtful = credibility == Credibility::Doubtful;
        let may_write_end = completed.outcome == AttemptOutcome::Delivered && !is_doubtful;
        let unconfirmed = (!may_write_end).then(|| CountGuard::new(&self.unconfirmed));
        let mut end = if self.read_body(response).await {
            SettlingEnd::Silent
        } else {
            SettlingEnd::Reset
        };
        if end == SettlingEnd::Silent && is_doubtful {
            let doubted_until = self.doubt_deadline(call.host, elapsed).min(confirmed_at);
            end = self.observe(&connection, doubted_until).await;
        }
        if end == SettlingEnd::Silent && connection.progress().surplus.is_empty() {
            if is_doubtful {
                drop(inputs.send(RelayEvent::ResponseLikely(call.id)).await);
            }
            let _unconfirmed = unconfirmed.filter(|_| !is_doubtful);
            end = self.observe(&connection, confirmed_at).await;
        }
        let outcome = confirmed(&connection, completed.outcome, end);
        if end == SettlingEnd::Silent && connection.progress().surplus.is_empty() {
            self.record_confirmed(call.host, outcome, elapsed);
        }
        let reopened = (outcome != completed.outcome).then_some(call.id);
        self.report_surplus(call, &connection, reopened, inputs)
            .await;
        let confirmed = CompletedCall {
            is_final: completed.is_final && reopened.is_none(),
            outcome,
            ..completed
        };
        drop(inputs.send(RelayEvent::CallCompleted(confirmed)).await);
        self.rest(call, connection, end, rested_at, inputs).await;
    }

    /// Until when a connection rests whose response has just arrived.
    fn rest_deadline(&self) -> Instant {
        self.runtime.now() + Duration::from_micros(connection_rest())
    }

    /// Whether one more connection may rest.
    pub(super) fn may_rest(&self) -> bool {
        self.resting.get() < self.max_idle_connections()
    }

    /// Observes a connection until it has rested, and then returns it to the pool unless it has ended or a surplus response
    /// has arrived.
    async fn rest(
        &self,
        call: &Call,
        connection: Connection<R>,
        end: SettlingEnd,
        rested_at: Instant,
        inputs: &mpsc::Sender<RelayEvent>,
    ) {
        let is_reported = UnsolicitedInput::of(&connection).is_some();
        let may_continue = end == SettlingEnd::Silent && !is_reported;
        let end = if may_continue && self.runtime.now() < rested_at {
            self.observe(&connection, rested_at).await
        } else {
            end
        };
        if !is_reported {
            self.report_surplus(call, &connection, None, inputs).await;
        }
        self.keep_or_close(call.host, connection, end).await;
    }

    /// Records that the request of a call is about to be written.
    pub(super) fn record_call(&self, host: HostId) {
        let now = self.micros(self.runtime.now());
        let mut responses = self.responses.borrow_mut();
        responses.entry(host).or_default().record_call(now);
    }

    /// How long ago the current request of a connection began.
    fn elapsed(&self, connection: &Connection<R>) -> Micros {
        (self.runtime.now() - connection.request_began_at()).as_micros() as Micros
    }

    /// Records how long the host took to respond.
    fn record_response(&self, host: HostId, credibility: Credibility, elapsed: Micros) {
        let now = self.micros(self.runtime.now());
        let mut responses = self.responses.borrow_mut();
        let responses = responses.entry(host).or_default();
        responses.record_response(now, credibility, elapsed);
    }

    /// Records how long the host took for a response that certainly belongs to its call.
    fn record_confirmed(&self, host: HostId, outcome: AttemptOutcome, elapsed: Micros) {
        if outcome == AttemptOutcome::Delivered {
            let mut responses = self.responses.borrow_mut();
            let responses = responses.entry(host).or_default();
            responses.record_confirmed_delivery(elapsed);
        }
    }

    /// How far the response on a connection is believed, which came after `elapsed`.
    fn credibility(
        &self,
        host: HostId,
        connection: &Connection<R>,
        outcome: AttemptOutcome,
        elapsed: Micros,
    ) -> Credibility {
        let responses = self.responses_of(host);
        responses.credibility(connection.position(), outcome, elapsed)
    }

    /// Until when a doubtful response has to stay alone to become likely.
    fn doubt_deadline(&self, host: HostId, elapsed: Micros) -> Instant {
        let doubt_time = self.responses_of(host).doubt_time(elapsed);
        self.runtime.now() + Duration::from_micros(doubt_time)
    }

    /// What responses have shown about a host.
    fn responses_of(&self, host: HostId) -> HostResponses {
        let responses = self.responses.borrow();
        responses.get(&host).copied().unwrap_or_default()
    }

    /// Until when the message of a response is kept that has just arrived; `None` for the time limit of its call.
    fn confirmation_deadline(
        &self,
        host: HostId,
        connection: &Connection<R>,
        credibility: Credibility,
        outcome: AttemptOutcome,
        elapsed: Micros,
    ) -> Option<Instant> {
        let responses = self.responses_of(host);
        let position = connection.position();
        match responses.confirmation_time(position, credibility, outcome, elapsed) {
            ConfirmationTime::Lasting(time) => {
                Some(self.runtime.now() + Duration::from_micros(time))
            }
            ConfirmationTime::UntilCallLimit => None,
        }
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
            let is_over = self.is_silent_until(&monitor, observed_until).await;
            if is_over {
                self.runtime.sleep(READ_LAG).await;
            }
            let progress = connection.progress();
            match progress.end {
                Some(StreamEnd::Closed) => return end_of(connection, SettlingEnd::Closed),
                Some(StreamEnd::Failed) => return end_of(connection, SettlingEnd::Reset),
                None => {}
            }
            if !progress.surplus.is_empty() && !has_surplus {
                has_surplus = true;
                observed_until = self.runtime.now() + SURPLUS_READ_TIMEOUT;
            } else if is_over {
                return end_of(connection, SettlingEnd::Silent);
            }
        }
    }

    /// Waits for the next read of a connection; true if there was none until `until`, or until no further calls are made.
    async fn is_silent_until(&self, monitor: &TransferMonitor, until: Instant) -> bool {
        if self.pool.borrow().is_retired() {
            return true;
        }
        tokio::select! {
            biased;
            () = monitor.read_notify.notified() => false,
            () = self.retired.notified() => true,
            () = self.runtime.sleep_until(until) => true,
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
            SettlingEnd::Reset | SettlingEnd::Unreadable => {
                connection.close(CloseReason::ResponseFailed).await;
            }
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
