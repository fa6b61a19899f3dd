//! The lifecycle of a process, and what each of its states means for readiness, for new connections and for open ones.
//! SIGTERM, the commands `drain` and `resume`, and a hand-over are events of this one state machine.

use std::time::Duration;

/// Time after `drain` at which open connections begin to close between requests. The load balancer checks readiness
/// ten times a second and opens no new connections from 0.2 s after a negative reply; until then connections stay open.
pub const DRAIN_CLOSE_DELAY: Duration = Duration::from_millis(500);
/// Time after `drain` at which new messages are rejected. Requirement: 4 s after the command, no message may be younger
/// than 2 s.
pub const DRAIN_REJECT_DELAY: Duration = Duration::from_millis(1500);
/// Shortest time from SIGTERM to the exit of an idle process, because new connections may still arrive.
pub const STOP_MIN_DURATION: Duration = Duration::from_millis(500);
/// Time after SIGTERM at which new messages are rejected, and by which the last call has ended. From then on, a
/// connection closes after the reply to its next request, when its client has no request in flight that could be cut
/// off.
pub const STOP_REJECT_DELAY: Duration = Duration::from_millis(3300);
/// Time after SIGTERM at which the remaining connections close, which have received no request since
/// [`STOP_REJECT_DELAY`].
pub const STOP_CLOSE_DELAY: Duration = Duration::from_millis(3500);
/// Longest time from SIGTERM to the exit. SIGKILL follows 3.7 s after SIGTERM, and a process may be delayed by 0.15 s.
pub const STOP_MAX_DURATION: Duration = Duration::from_millis(3550);
/// Time from the start of a hand-over during which requests that have begun may be completed. After that time, the
/// remaining requests are rejected and everything is handed over.
pub const HANDOVER_GRACE: Duration = Duration::from_millis(300);

/// The lifecycle state of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecycleState {
    /// The process does not accept clients yet.
    Starting,
    /// The process accepts clients.
    Serving,
    /// An operator has drained the process and is expected to resume it.
    Draining,
    /// Another process is taking over, and this one finishes its calls.
    HandingOver,
    /// The process has received SIGTERM.
    Stopping,
}

impl LifecycleState {
    /// The name of the state in replies on the control socket.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            LifecycleState::Starting => "starting",
            LifecycleState::Serving => "serving",
            LifecycleState::Draining => "draining",
            LifecycleState::HandingOver => "handingover",
            LifecycleState::Stopping => "stopping",
        }
    }
}

/// An event of the lifecycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecycleEvent {
    /// The process is ready to accept clients.
    Started,
    /// An operator drains the relay.
    Drain,
    /// An operator ends the drain.
    Resume,
    /// Another process requests the state directory.
    HandoverRequested,
    /// The requesting process has exited, or the hand-over failed: this process owns everything again.
    Reclaimed,
    /// SIGTERM.
    Stop,
    /// A stopping process has nothing left to do.
    Idle,
}

impl LifecycleEvent {
    /// The name of the event in the log.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            LifecycleEvent::Started => "started",
            LifecycleEvent::Drain => "drain",
            LifecycleEvent::Resume => "resume",
            LifecycleEvent::HandoverRequested => "handover_requested",
            LifecycleEvent::Reclaimed => "reclaimed",
            LifecycleEvent::Stop => "stop",
            LifecycleEvent::Idle => "idle",
        }
    }
}

/// How open connections are treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionStage {
    /// They stay open.
    Open,
    /// They stay open for one more request, which is rejected, and close after the reply to it.
    LastRequest,
    /// They close between requests; requests that have arrived are served.
    Closing,
    /// As [`Closing`](Self::Closing), and new messages are rejected.
    Refusing,
}

impl ConnectionStage {
    /// Whether connections without an open request are closed.
    #[must_use]
    pub fn closes_idle_connections(self) -> bool {
        matches!(self, ConnectionStage::Closing | ConnectionStage::Refusing)
    }

    /// Whether new messages are rejected.
    #[must_use]
    pub fn rejects_messages(self) -> bool {
        matches!(
            self,
            ConnectionStage::LastRequest | ConnectionStage::Refusing
        )
    }
}

/// The state machine of the lifecycle. Times are durations since an arbitrary fixed origin.
#[derive(Clone, Copy, Debug)]
pub struct Lifecycle {
    state: LifecycleState,
    /// Time at which the state was entered.
    since: Duration,
    /// An operator has drained the relay. A successor inherits this.
    is_drained: bool,
    /// Another process is taking over or has taken over.
    has_successor: bool,
    /// The process is stopping and has nothing left to do: connections that are already waiting at the port are served,
    /// and no further ones are accepted.
    is_idle: bool,
}

impl Default for Lifecycle {
    fn default() -> Self {
        Lifecycle {
            state: LifecycleState::Starting,
            since: Duration::ZERO,
            is_drained: false,
            has_successor: false,
            is_idle: false,
        }
    }
}

impl Lifecycle {
    /// The current state.
    #[must_use]
    pub fn state(&self) -> LifecycleState {
        self.state
    }

    /// Handles an event. Returns false if the event changes nothing because the process is already in the resulting
    /// state or past it.
    ///
    /// Stopping is final. A drain outlasts a hand-over: the successor is drained too.
    pub fn handle(&mut self, event: LifecycleEvent, now: Duration) -> bool {
        if (self.state, event) == (LifecycleState::Stopping, LifecycleEvent::Idle) {
            return !std::mem::replace(&mut self.is_idle, true);
        }
        let Some(next) = self.next_state(event) else {
            return false;
        };
        match event {
            LifecycleEvent::Drain => self.is_drained = true,
            LifecycleEvent::Resume => self.is_drained = false,
            LifecycleEvent::HandoverRequested => self.has_successor = true,
            LifecycleEvent::Reclaimed => self.has_successor = false,
            LifecycleEvent::Started | LifecycleEvent::Stop | LifecycleEvent::Idle => {}
        }
        self.state = next;
        self.since = now;
        true
    }

    /// The state that results from an event; `None` if the event changes nothing.
    fn next_state(&self, event: LifecycleEvent) -> Option<LifecycleState> {
        match (self.state, event) {
            (LifecycleState::Starting, LifecycleEvent::Started)
            | (LifecycleState::HandingOver, LifecycleEvent::Reclaimed) => {
                Some(self.serving_or_draining())
            }
            (LifecycleState::Serving, LifecycleEvent::Drain) => Some(LifecycleState::Draining),
            (LifecycleState::Draining, LifecycleEvent::Resume) => Some(LifecycleState::Serving),
            (
                LifecycleState::Serving | LifecycleState::Draining,
                LifecycleEvent::HandoverRequested,
            ) => Some(LifecycleState::HandingOver),
            (LifecycleState::Stopping, _) => None,
            (_, LifecycleEvent::Stop) => Some(LifecycleState::Stopping),
            _ => None,
        }
    }

    fn serving_or_draining(&self) -> LifecycleState {
        if self.is_drained {
            LifecycleState::Draining
        } else {
            LifecycleState::Serving
        }
    }

    /// Sets whether the process starts as the successor of a drained one.
    pub fn restore_drained(&mut self, is_drained: bool) {
        self.is_drained = is_drained;
    }

    /// Whether another process is taking over.
    #[must_use]
    pub fn has_successor(&self) -> bool {
        self.has_successor
    }

    /// Whether everything is to be handed over now: another process is taking over, and the clients have disconnected and
    /// all responses of hosts are confirmed, [`HANDOVER_GRACE`] has passed, or this process is stopping.
    #[must_use]
    pub fn should_start_handover(
        &self,
        now: Duration,
        clients: usize,
        unconfirmed_calls: usize,
    ) -> bool {
        let is_grace_over =
            self.state == LifecycleState::Stopping || self.time_in_state(now) >= HANDOVER_GRACE;
        self.has_successor && (clients == 0 && unconfirmed_calls == 0 || is_grace_over)
    }

    /// Whether an operator has drained the relay.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        self.is_drained
    }

    /// Whether the process accepts clients. This determines the replies to `ready` and to `PING`.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.state == LifecycleState::Serving
    }

    /// Whether new connections are accepted. A drained process continues to accept them, so that it can reply to the
    /// load balancer's readiness checks that it is not ready.
    #[must_use]
    pub fn accepts_connections(&self, now: Duration) -> bool {
        if self.has_successor {
            return false;
        }
        match self.state {
            LifecycleState::Starting | LifecycleState::HandingOver => false,
            LifecycleState::Serving | LifecycleState::Draining => true,
            LifecycleState::Stopping => {
                !self.is_idle && self.time_in_state(now) < STOP_REJECT_DELAY
            }
        }
    }

    /// How open connections are treated now.
    #[must_use]
    pub fn stage(&self, now: Duration) -> ConnectionStage {
        let elapsed = self.time_in_state(now);
        match self.state {
            LifecycleState::Starting | LifecycleState::Serving => ConnectionStage::Open,
            LifecycleState::Draining if elapsed >= DRAIN_REJECT_DELAY => ConnectionStage::Refusing,
            LifecycleState::Draining if elapsed >= DRAIN_CLOSE_DELAY => ConnectionStage::Closing,
            LifecycleState::Draining => ConnectionStage::Open,
            LifecycleState::HandingOver if elapsed < HANDOVER_GRACE => ConnectionStage::Closing,
            LifecycleState::HandingOver => ConnectionStage::Refusing,
            LifecycleState::Stopping if self.has_successor || self.is_drained => {
                ConnectionStage::Refusing
            }
            LifecycleState::Stopping if elapsed >= STOP_CLOSE_DELAY => ConnectionStage::Refusing,
            LifecycleState::Stopping if elapsed >= STOP_REJECT_DELAY => {
                ConnectionStage::LastRequest
            }
            LifecycleState::Stopping => ConnectionStage::Open,
        }
    }

    /// Whether the process exits now. `is_idle` means that the process has no open calls, no clients and nothing left
    /// to do.
    #[must_use]
    pub fn should_exit(&self, now: Duration, is_idle: bool) -> bool {
        let min_duration = if self.has_successor {
            Duration::ZERO
        } else {
            STOP_MIN_DURATION
        };
        let may_exit = self.state == LifecycleState::Stopping
            && is_idle
            && self.time_in_state(now) >= min_duration;
        may_exit || self.must_exit(now)
    }

    /// Whether the process exits now even if it has work left to do.
    #[must_use]
    pub fn must_exit(&self, now: Duration) -> bool {
        self.state == LifecycleState::Stopping && self.time_in_state(now) >= STOP_MAX_DURATION
    }

    /// The time by which the last call must have ended; `None` unless the process is stopping.
    #[must_use]
    pub fn call_deadline(&self) -> Option<Duration> {
        (self.state == LifecycleState::Stopping).then_some(self.since + STOP_REJECT_DELAY)
    }

    /// Whether the results of the other methods may change without an event, as time passes, so that the caller has to
    /// query them again.
    #[must_use]
    pub fn is_in_transition(&self) -> bool {
        matches!(
            self.state,
            LifecycleState::Draining | LifecycleState::HandingOver | LifecycleState::Stopping
        )
    }

    fn time_in_state(&self, now: Duration) -> Duration {
        now.saturating_sub(self.since)
    }
}
