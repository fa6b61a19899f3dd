//! Decides when a connection closes: its client has left, it is idle, or its slot is needed.

use std::io;
use std::time::Duration;

use runtime::{PeerState, PendingInput, Runtime, Stream};

use super::{Connection, NextStep, Wait};
use crate::client_connections::framing::ProtocolError;
use crate::client_connections::lingering_close::close_lingering;

/// Time for which the reply to a client that sends nothing more may be answered by a reset, which shows that the client has
/// left.
const RESET_TIMEOUT: Duration = Duration::from_millis(50);
/// How often it is checked whether a client has left whose connection waits for its turn.
const QUEUED_PEER_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// How often it is checked whether the client has closed the connection.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// A connection that has sent a request is closed after being idle for this long, even while few are open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

impl<R: Runtime> Connection<'_, R> {
    /// Closes the connection without losing its last reply, unless another connection needs its slot meanwhile.
    pub(super) async fn close_lingering(self) -> io::Result<()> {
        self.slot.mark_idle();
        let evicted = async {
            while !self.slot.is_evicted() {
                self.slot.eviction_notified().await;
            }
        };
        tokio::select! {
            biased;
            closed = close_lingering(self.runtime, self.stream) => closed,
            () = evicted => Ok(()),
        }
    }

    /// Completes once the client has closed the connection. A client that sends nothing more may still read replies; it
    /// counts as having left only if `ends_with_input`.
    pub(super) async fn client_left(&self, ends_with_input: bool) {
        loop {
            match self.stream.peer_state() {
                PeerState::Gone => return,
                PeerState::SendingEnded if ends_with_input => return,
                PeerState::SendingEnded | PeerState::Open => {}
            }
            self.runtime.sleep(QUEUED_PEER_CHECK_INTERVAL).await;
        }
    }

    /// Waits until a client that sends nothing more has received its replies, if it has sent other requests. A client that
    /// has closed the connection answers the replies with a reset, and these requests are not handled.
    pub(super) async fn wait_for_reset(&self) {
        let deadline = self.runtime.now() + RESET_TIMEOUT;
        while self.stream.peer_state() == PeerState::SendingEnded
            && self.has_unhandled_input()
            && self.runtime.now() < deadline
        {
            self.runtime.sleep(PEER_CHECK_INTERVAL).await;
        }
    }

    pub(super) fn has_unhandled_input(&self) -> bool {
        !self.input.is_empty()
            || self.deferred.is_some()
            || self.stream.pending_input() == PendingInput::Bytes
    }

    /// Whether the client sent its requests while no process accepted connections, and has closed the connection since.
    /// Such requests are not answered.
    pub(super) fn has_client_disconnected(&self) -> bool {
        !self.queue_delay.is_zero() && self.stream.pending_input() == PendingInput::Closed
    }

    /// Closes the connection when all idle connections are to close, unless input has arrived that would be left unread.
    pub(super) async fn close_if_idle(&self, wait: &Wait) -> NextStep {
        if wait.awaits_first_request {
            // The grace period has passed, and does not apply to the next wait.
            return NextStep::Continue;
        }
        if self.stream.pending_input() != PendingInput::Bytes {
            return NextStep::Close;
        }
        // The runtime has not yet reported those bytes as readable.
        tokio::task::yield_now().await;
        NextStep::Continue
    }

    /// Closes the connection to free its slot, unless a request has arrived meanwhile.
    pub(super) fn close_if_evicted(&self) -> NextStep {
        if self.slot.is_evicted() && self.stream.pending_input() != PendingInput::Bytes {
            NextStep::Close
        } else {
            NextStep::Continue
        }
    }

    /// Closes a connection that has been idle for too long, or whose request did not arrive completely in time, as it
    /// would otherwise hold its slot forever. An idle connection is closed without further reads: a request that arrives
    /// while it closes stays unread, so that its client sends the request again.
    pub(super) async fn handle_deadline(&mut self, wait: &Wait) -> io::Result<NextStep> {
        if !wait.is_idle {
            return self.reject_incomplete(ProtocolError::RequestTimeout).await;
        }
        if self.may_stay_idle(wait) || self.stream.pending_input() == PendingInput::Bytes {
            return Ok(NextStep::Continue);
        }
        Ok(NextStep::Close)
    }

    fn may_stay_idle(&self, wait: &Wait) -> bool {
        self.has_requested
            && !self.slot.clients.is_under_pressure()
            && self.runtime.now() - wait.since < IDLE_TIMEOUT
    }
}
