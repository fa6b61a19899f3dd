//! The lifecycle and the metrics of this process, shared by the control socket, the event loop and the clients'
//! connections. Nobody waits in a queue for them.

use std::cell::{Cell, RefCell, RefMut};
use std::rc::Rc;
use std::time::{Duration, Instant};

use control::{
    ConnectionStage, HostCounts, Lifecycle, LifecycleEvent, LifecycleState, MessageEnd, Metrics,
};
use relay_events::{DeliveryFailure, Reply};
use runtime::{log, Runtime};
use tokio::sync::{watch, Notify};

/// Longest age of the host counts in the metrics; counting them takes a pass over all hosts.
const HOST_COUNT_INTERVAL: Duration = Duration::from_millis(100);
/// How often the connection policy is computed again while time alone may change it.
const TRANSITION_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// What the accept loop and the clients' connections do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionPolicy {
    /// New connections are accepted.
    pub accepts: bool,
    /// What open connections do.
    pub stage: ConnectionStage,
}

/// The lifecycle and the metrics of this process.
pub struct Control<R> {
    pub(super) runtime: R,
    started_at: Instant,
    lifecycle: RefCell<Lifecycle>,
    metrics: RefCell<Metrics>,
    /// Messages written completely to hosts, counted by the host connections.
    dispatches: Rc<Cell<u64>>,
    host_counts: Cell<HostCounts>,
    /// When the host counts are due, if there is a control socket to show them.
    next_host_count_at: Cell<Option<Instant>>,
    connection_policy: watch::Sender<ConnectionPolicy>,
    /// Wakes the event loop after a change of the lifecycle.
    state_changed: Notify,
}

impl<R: Runtime> Control<R> {
    /// The state of a process that starts, with the classes of the settings.
    pub fn new(runtime: &R, classes: &[String], has_control_socket: bool) -> Rc<Self> {
        let (connection_policy, _) = watch::channel(ConnectionPolicy {
            accepts: true,
            stage: ConnectionStage::Open,
        });
        let now = runtime.now();
        Rc::new(Control {
            runtime: runtime.clone(),
            started_at: now,
            lifecycle: RefCell::default(),
            metrics: RefCell::new(Metrics::new(classes)),
            dispatches: Rc::default(),
            host_counts: Cell::default(),
            next_host_count_at: Cell::new(has_control_socket.then_some(now)),
            connection_policy,
            state_changed: Notify::new(),
        })
    }

    /// The metrics, to record in. The borrow must not be held across an `await`.
    pub fn metrics(&self) -> RefMut<'_, Metrics> {
        self.metrics.borrow_mut()
    }

    /// The counter of dispatches.
    pub fn dispatches(&self) -> Rc<Cell<u64>> {
        self.dispatches.clone()
    }

    /// The current connection policy, and its changes.
    pub fn connection_policy(&self) -> watch::Receiver<ConnectionPolicy> {
        self.connection_policy.subscribe()
    }

    fn uptime(&self) -> Duration {
        self.runtime.now() - self.started_at
    }

    /// The state of the lifecycle.
    pub fn state(&self) -> LifecycleState {
        self.lifecycle.borrow().state()
    }

    /// Whether the process accepts clients.
    pub fn is_ready(&self) -> bool {
        self.lifecycle.borrow().is_ready()
    }

    /// Whether new messages are rejected, as clients are to go to another relay.
    pub fn rejects_messages(&self) -> bool {
        self.lifecycle
            .borrow()
            .stage(self.uptime())
            .rejects_messages()
    }

    /// Handles an event of the lifecycle; false if it changes nothing.
    pub fn handle_event(&self, event: LifecycleEvent) -> bool {
        let has_changed = self.lifecycle.borrow_mut().handle(event, self.uptime());
        if has_changed {
            log!(
                self.runtime,
                "control: state_changed event={} state={}",
                event.as_str(),
                self.state().as_str()
            );
            self.publish_stage();
            self.state_changed.notify_one();
        }
        has_changed
    }

    /// Completes once an event has changed the lifecycle.
    pub async fn state_changed(&self) {
        self.state_changed.notified().await;
    }

    /// Publishes the connection policy that holds now. Returns how soon to do so again, if time alone may change it.
    pub fn publish_stage(&self) -> Option<Duration> {
        let (lifecycle, now) = (self.lifecycle.borrow(), self.uptime());
        let policy = ConnectionPolicy {
            accepts: lifecycle.accepts_connections(now),
            stage: lifecycle.stage(now),
        };
        self.connection_policy
            .send_if_modified(|current| std::mem::replace(current, policy) != policy);
        lifecycle
            .is_in_transition()
            .then_some(TRANSITION_POLL_INTERVAL)
    }

    /// Whether the process exits now. `is_idle` is evaluated only if that matters.
    pub fn should_exit(&self, is_idle: impl FnOnce() -> bool) -> bool {
        let lifecycle = *self.lifecycle.borrow();
        lifecycle.state() == LifecycleState::Stopping
            && lifecycle.should_exit(self.uptime(), is_idle())
    }

    /// The same while the port is open: an idle process first accepts the connections that wait there, and stays until
    /// the port is closed or its time to stop has run out.
    pub fn should_exit_listening(&self, is_idle: impl FnOnce() -> bool) -> bool {
        if !self.should_exit(is_idle) {
            return false;
        }
        let must_exit = self.lifecycle.borrow().must_exit(self.uptime());
        if !must_exit {
            self.handle_event(LifecycleEvent::Idle);
        }
        must_exit
    }

    /// Whether everything is to be handed over to another process now.
    pub fn should_start_handover(&self, clients: usize) -> bool {
        self.lifecycle
            .borrow()
            .should_start_handover(self.uptime(), clients)
    }

    /// Whether an operator has drained the relay.
    pub fn is_drained(&self) -> bool {
        self.lifecycle.borrow().is_drained()
    }

    /// Sets whether the previous process was drained.
    pub fn restore_drained(&self, is_drained: bool) {
        self.lifecycle.borrow_mut().restore_drained(is_drained);
    }

    /// The time until the last call must have ended, if the process stops.
    pub fn time_left_for_calls(&self) -> Option<Duration> {
        let deadline = self.lifecycle.borrow().time_left_for_calls()?;
        Some(deadline.saturating_sub(self.uptime()))
    }

    /// When the host counts are due next, if ever.
    pub fn next_host_count_at(&self) -> Option<Instant> {
        self.next_host_count_at.get()
    }

    /// Sets the host counts.
    pub fn set_host_counts(&self, host_counts: HostCounts) {
        self.host_counts.set(host_counts);
        self.next_host_count_at
            .set(Some(self.runtime.now() + HOST_COUNT_INTERVAL));
    }

    /// The metrics as text.
    pub(super) fn render_metrics(&self) -> String {
        self.metrics
            .borrow()
            .render(self.dispatches.get(), self.host_counts.get())
    }
}

/// How the metrics count a message that got this reply instead of being accepted.
pub fn end_of_reply(reply: &Reply) -> MessageEnd {
    match reply {
        Reply::Busy(_) => MessageEnd::Overload,
        Reply::Error(_) | Reply::NoAuth | Reply::WrongPass => MessageEnd::Error,
        Reply::Ok | Reply::Pong => MessageEnd::Other,
    }
}

/// How the metrics count an accepted message that failed.
pub fn end_of_failure(failure: DeliveryFailure) -> MessageEnd {
    match failure {
        DeliveryFailure::Undeliverable => MessageEnd::Error,
        DeliveryFailure::Deferred(_) => MessageEnd::Overload,
    }
}
