//! Where a process stands between its start and its end, and what that means for the front, for new connections and for
//! those that are open. SIGTERM, `drain`, `resume` and an upgrade are inputs of this one machine.

use std::time::Duration;

/// A drain: the front asks ten times a second and stops new connections 0.2 s after a no. Until then connections stay
/// open; from then on they are closed between requests.
pub const DRAIN_CLOSES: Duration = Duration::from_millis(500);
/// From here on, new messages in a drain are refused: 4 s after the call none may be younger than 2 s.
pub const DRAIN_REFUSES: Duration = Duration::from_millis(1500);
/// After SIGTERM new connections may come for so long; before that, a process that has nothing to do stays.
pub const STOP_FRONT: Duration = Duration::from_millis(500);
/// After SIGTERM clients go on using what they have; the last call has ended by then, and connections are closed.
pub const STOP_CLOSES: Duration = Duration::from_millis(3300);
/// The process is gone by then; SIGKILL comes 3.7 s after SIGTERM.
pub const STOP_ENDS: Duration = Duration::from_millis(3550);

/// An upgrade: requests that have begun may come whole for so long; then what is left is refused, and all is handed over.
pub const HAND_OVER: Duration = Duration::from_millis(300);

/// Where a process stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecycleState {
    /// It takes no clients yet.
    Starting,
    /// It takes clients.
    Serving,
    /// It is being emptied and will be back.
    Draining,
    /// Another process has what it had; it brings its calls to their end.
    HandingOver,
    /// It was told to stop.
    Stopping,
}

/// What a process is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecycleEvent {
    /// All is in place.
    Started,
    /// An operator empties it.
    Drain,
    /// An operator puts it back to work.
    Resume,
    /// Another process takes over.
    HandOver,
    /// That process is gone, and this one has everything again.
    TakenBack,
    /// SIGTERM.
    Stop,
    /// A process that was told to stop has nothing left to do.
    Idle,
}

/// What connections are to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectionStage {
    /// Stay open.
    Open,
    /// Close between requests; those that have come are served.
    Closing,
    /// The same, and new messages are refused.
    Refusing,
}

/// The machine. Moments are spans since any fixed start.
#[derive(Clone, Copy, Debug)]
pub struct Lifecycle {
    state: LifecycleState,
    since: Duration,
    /// An operator has it drained; whoever takes over learns it.
    drained: bool,
    /// Another process takes over, or has.
    handed: bool,
    /// It stops and has nothing left to do: what the port still holds is served, and no more comes.
    idle: bool,
}

impl Default for Lifecycle {
    fn default() -> Self {
        Lifecycle {
            state: LifecycleState::Starting,
            since: Duration::ZERO,
            drained: false,
            handed: false,
            idle: false,
        }
    }
}

impl Lifecycle {
    /// Where it stands.
    pub fn state(&self) -> LifecycleState {
        self.state
    }

    /// Takes an input. False if it changes nothing where the process stands: it is that already, or is past it.
    ///
    /// Stopping is never left. A drain survives being handed over: whoever takes over is drained too.
    pub fn handle(&mut self, told: LifecycleEvent, now: Duration) -> bool {
        let next = match (self.state, told) {
            (LifecycleState::Starting, LifecycleEvent::Started) if self.drained => {
                LifecycleState::Draining
            }
            (LifecycleState::Starting, LifecycleEvent::Started) => LifecycleState::Serving,
            (LifecycleState::Serving, LifecycleEvent::Drain) => LifecycleState::Draining,
            (LifecycleState::Draining, LifecycleEvent::Resume) => LifecycleState::Serving,
            (LifecycleState::Serving | LifecycleState::Draining, LifecycleEvent::HandOver) => {
                LifecycleState::HandingOver
            }
            (LifecycleState::HandingOver, LifecycleEvent::TakenBack) if self.drained => {
                LifecycleState::Draining
            }
            (LifecycleState::HandingOver, LifecycleEvent::TakenBack) => LifecycleState::Serving,
            (LifecycleState::Stopping, LifecycleEvent::Stop) => return false,
            (LifecycleState::Stopping, LifecycleEvent::Idle) => {
                return !std::mem::replace(&mut self.idle, true)
            }
            (_, LifecycleEvent::Stop) => LifecycleState::Stopping,
            _ => return false,
        };
        self.drained = match told {
            LifecycleEvent::Drain => true,
            LifecycleEvent::Resume => false,
            _ => self.drained,
        };
        self.handed = match told {
            LifecycleEvent::HandOver => true,
            LifecycleEvent::TakenBack => false,
            _ => self.handed,
        };
        (self.state, self.since) = (next, now);
        true
    }

    /// It takes over from a process that was drained, or not.
    pub fn restore_drained(&mut self, drained: bool) {
        self.drained = drained;
    }

    /// Whether another process is to have everything now: it was told so, and clients are gone or have had their time.
    pub fn should_hand_over(&self, now: Duration, clients: usize) -> bool {
        self.handed
            && (clients == 0
                || self.state == LifecycleState::Stopping
                || self.past(now) >= HAND_OVER)
    }

    /// Whether an operator has it drained.
    pub fn is_drained(&self) -> bool {
        self.drained
    }

    /// Whether the process takes clients: the answer to `ready`, and to `PING` yes or no.
    pub fn is_ready(&self) -> bool {
        self.state == LifecycleState::Serving
    }

    /// Whether new connections are accepted. A drained process goes on, as it answers the front's question with no.
    pub fn accepts_connections(&self, now: Duration) -> bool {
        match self.state {
            _ if self.handed => false,
            LifecycleState::Starting | LifecycleState::HandingOver => false,
            LifecycleState::Serving | LifecycleState::Draining => true,
            LifecycleState::Stopping => !self.idle && self.past(now) < STOP_CLOSES,
        }
    }

    /// What open connections are to do.
    pub fn stage(&self, now: Duration) -> ConnectionStage {
        let past = self.past(now);
        match self.state {
            LifecycleState::Starting | LifecycleState::Serving => ConnectionStage::Open,
            LifecycleState::Draining if past >= DRAIN_REFUSES => ConnectionStage::Refusing,
            LifecycleState::Draining if past >= DRAIN_CLOSES => ConnectionStage::Closing,
            LifecycleState::Draining => ConnectionStage::Open,
            LifecycleState::HandingOver if past < HAND_OVER => ConnectionStage::Closing,
            LifecycleState::HandingOver => ConnectionStage::Refusing,
            LifecycleState::Stopping if self.handed => ConnectionStage::Refusing,
            LifecycleState::Stopping if past >= STOP_CLOSES => ConnectionStage::Closing,
            LifecycleState::Stopping => ConnectionStage::Open,
        }
    }

    /// Whether the process ends; `quiet` tells that it has no calls out, no clients and nothing left to do.
    pub fn should_exit(&self, now: Duration, quiet: bool) -> bool {
        let past = self.past(now);
        let front = if self.handed {
            Duration::ZERO
        } else {
            STOP_FRONT
        };
        self.state == LifecycleState::Stopping && (past >= STOP_ENDS || quiet && past >= front)
    }

    /// Whether its time is up, whatever is left.
    pub fn must_exit(&self, now: Duration) -> bool {
        self.state == LifecycleState::Stopping && self.past(now) >= STOP_ENDS
    }

    /// When the last call has to have ended, once the process was told to stop.
    pub fn time_left_for_calls(&self) -> Option<Duration> {
        (self.state == LifecycleState::Stopping).then_some(self.since + STOP_CLOSES)
    }

    /// Whether time alone changes what is said, so that it has to be asked again soon.
    pub fn is_in_transition(&self) -> bool {
        matches!(
            self.state,
            LifecycleState::Draining | LifecycleState::HandingOver | LifecycleState::Stopping
        )
    }

    fn past(&self, now: Duration) -> Duration {
        now.saturating_sub(self.since)
    }
}
