//! The lifecycle and the metrics of this process, shared by the control socket, the event loop and the client
//! connections, which access them directly and not through the event queue.

use std::cell::{Cell, RefCell, RefMut};
use std::rc::Rc;
use std::time::{Duration, Instant};

use control::{
    ConnectionStage, HostCounts, Lifecycle, LifecycleEvent, LifecycleState, MessageEnd, Metrics,
};
use relay_events::{DeliveryFailure, Reply};
use runtime::{log, Runtime};
use tokio::sync::{watch, Notify};

/// Maximum age of the host counts in the metrics. Counting requires a pass over all hosts.
const HOST_COUNT_INTERVAL: Duration = Duration::from_millis(100);
/// How often the connection policy is recomputed while the passage of time alone may change it.
const TRANSITION_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The behaviour required of the accept loop and the client connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionPolicy {
    /// Whether new connections are accepted.
    pub accepts: bool,
    /// How open connections behave.
    pub stage: ConnectionStage,
}

/// The lifecycle and the metrics of this process.
pub struct Control<R> {
    pub(super) runtime: R,
    started_at: Instant,
    lifecycle: RefCell<Lifecycle>,
    metrics: RefCell<Metrics>,
    /// Number of requests written completely to hosts, counted by the host connections.
    dispatches: Rc<Cell<u64>>,
    host_counts: Cell<HostCounts>,
    /// When the host counts are due; `None` if there is no control socket to report them.
    next_host_count_at: Cell<Option<Instant>>,
    connection_policy: watch::Sender<ConnectionPolicy>,
    /// Wakes the event loop after a change of the lifecycle.
    state_changed: Notify,
}

impl<R: Runtime> Control<R> {
    /// Creates the state of a starting process. `classes` are the names of the classes in the settings.
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

    /// The metrics, for recording. The borrow must not be held across an `await`.
    pub fn metrics(&self) -> RefMut<'_, Metrics> {
        self.metrics.borrow_mut()
    }

    /// The shared counter of requests written completely to hosts.
    pub fn dispatches(&self) -> Rc<Cell<u64>> {
        self.dispatches.clone()
    }

    /// Subscribes to the connection policy.
    pub fn connection_policy(&self) -> watch::Receiver<ConnectionPolicy> {
        self.connection_policy.subscribe()
    }

    fn uptime(&self) -> Duration {
        self.runtime.now() - self.started_at
    }

    /// The current state of the lifecycle.
    pub fn state(&self) -> LifecycleState {
        self.lifecycle.borrow().state()
    }

    /// Whether the process accepts clients.
    pub fn is_ready(&self) -> bool {
        self.lifecycle.borrow().is_ready()
    }

    /// Whether new messages are rejected so that clients go to another relay.
    pub fn rejects_messages(&self) -> bool {
        self.lifecycle
            .borrow()
            .stage(self.uptime())
            .rejects_messages()
    }

    /// Handles an event of the lifecycle. Returns false if it has no effect.
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

    /// Publishes the current connection policy. Returns the delay after which to call this again, if the passage of time
    /// alone may change the policy.
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

    /// Whether the process exits now. `is_idle` is evaluated only in state [`LifecycleState::Stopping`].
    pub fn should_exit(&self, is_idle: impl FnOnce() -> bool) -> bool {
        let lifecycle = *self.lifecycle.borrow();
        lifecycle.state() == LifecycleState::Stopping
            && lifecycle.should_exit(self.uptime(), is_idle())
    }

    /// Like [`Self::should_exit`], for use while the port is open: an idle process first accepts the connections that are
    /// queued on the port, and exits once the port is closed or its time to stop has run out.
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

    /// Whether another process is taking over.
    pub fn has_successor(&self) -> bool {
        self.lifecycle.borrow().has_successor()
    }

    /// Whether the hand-over to another process is to start now, given the numbers of open client connections and of calls
    /// whose responses are not confirmed.
    pub fn should_start_handover(&self, clients: usize, unconfirmed_calls: usize) -> bool {
        self.lifecycle
            .borrow()
            .should_start_handover(self.uptime(), clients, unconfirmed_calls)
    }

    /// Whether an operator has drained the relay.
    pub fn is_drained(&self) -> bool {
        self.lifecycle.borrow().is_drained()
    }

    /// Adopts from the previous process whether an operator has drained the relay.
    pub fn restore_drained(&self, is_drained: bool) {
        self.lifecycle.borrow_mut().restore_drained(is_drained);
    }

    /// The time left until the last call must have ended; `None` if the process is not stopping.
    pub fn time_left_for_calls(&self) -> Option<Duration> {
        let deadline = self.lifecycle.borrow().call_deadline()?;
        Some(deadline.saturating_sub(self.uptime()))
    }

    /// When the host counts are due next; `None` if there is no control socket to report them.
    pub fn next_host_count_at(&self) -> Option<Instant> {
        self.next_host_count_at.get()
    }

    /// Sets the host counts, and schedules the next count.
    pub fn set_host_counts(&self, host_counts: HostCounts) {
        self.host_counts.set(host_counts);
        self.next_host_count_at
            .set(Some(self.runtime.now() + HOST_COUNT_INTERVAL));
    }

    /// Renders the metrics as text.
    pub(super) fn render_metrics(&self) -> String {
        self.metrics
            .borrow()
            .render(self.dispatches.get(), self.host_counts.get())
    }
}

/// The metrics category of a message that was answered with this reply instead of being accepted.
pub fn message_end_for_reply(reply: &Reply) -> MessageEnd {
    match reply {
        Reply::Busy(_) => MessageEnd::Overload,
        Reply::Error(_) | Reply::NoAuth | Reply::WrongPass => MessageEnd::Error,
        Reply::Ok | Reply::Pong => MessageEnd::Other,
    }
}

/// The metrics category of an accepted message that failed.
pub fn message_end_for_failure(failure: DeliveryFailure) -> MessageEnd {
    match failure {
        DeliveryFailure::Undeliverable => MessageEnd::Error,
        DeliveryFailure::Deferred(_) => MessageEnd::Overload,
    }
}
