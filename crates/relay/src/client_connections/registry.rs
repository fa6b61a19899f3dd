//! The open client connections: admission of new connections, and eviction of idle ones when capacity runs out.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use runtime::Runtime;
use tokio::sync::futures::Notified;
use tokio::sync::Notify;

use super::request::Authentication;
use super::request_memory::{RequestMemory, RequestMemoryLimits};
use super::turn_limiter::TurnLimiter;
use crate::control_socket::Control;

/// Minimum idle time of an evicted connection while slots are free. A request of a connection that has been idle for a
/// shorter time may be on its way.
const EVICTION_MIN_IDLE_TIME: Duration = Duration::from_millis(250);
/// Minimum idle time of an evicted connection once no slot is free.
const EVICTION_MIN_IDLE_TIME_WHEN_FULL: Duration = Duration::from_millis(20);
/// Idle connections are closed at their next check once this many thirds of the slots are taken.
const PRESSURE_THIRDS: usize = 1;
/// Idle connections are evicted once this many thirds of the slots are taken.
const EVICTION_THIRDS: usize = 2;
/// How often a connection to evict is selected while no slot is free: the one selected before may have received a
/// request in the meantime.
const EVICTION_RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// The open client connections, with the state that decides which of them may be closed to free a slot.
pub struct ClientConnections<R> {
    pub(super) runtime: R,
    pub(super) control: Rc<Control<R>>,
    pub(super) authentication: Authentication,
    /// The memory that the requests of all connections share.
    pub(super) request_memory: Rc<RequestMemory>,
    /// The order in which connections with many requests are served.
    pub(super) turns: Rc<TurnLimiter>,
    max_connections: usize,
    open: RefCell<BTreeMap<u64, OpenConnection>>,
    next_id: Cell<u64>,
    slot_released: Notify,
    is_accepting: Cell<bool>,
}

struct OpenConnection {
    /// Since when no request has been open; `None` while a request is open.
    idle_since: Option<Instant>,
    /// Whether the connection was selected for closing.
    is_evicted: bool,
    eviction: Rc<Notify>,
}

/// The slot of an open connection; dropping it releases the slot.
pub(super) struct ConnectionSlot<R> {
    /// The registry that the slot belongs to.
    pub(super) clients: Rc<ClientConnections<R>>,
    id: u64,
    eviction: Rc<Notify>,
}

impl<R: Runtime> ConnectionSlot<R> {
    /// Records that the connection has no open request.
    pub(super) fn mark_idle(&self) {
        if let Some(connection) = self.clients.open.borrow_mut().get_mut(&self.id) {
            let now = || self.clients.runtime.now();
            connection.idle_since.get_or_insert_with(now);
        }
    }

    /// Records that the connection has an open request, which revokes an eviction.
    pub(super) fn mark_busy(&self) {
        if let Some(connection) = self.clients.open.borrow_mut().get_mut(&self.id) {
            connection.idle_since = None;
            connection.is_evicted = false;
        }
    }

    /// Whether the connection is to be closed to free its slot.
    pub(super) fn is_evicted(&self) -> bool {
        self.clients
            .open
            .borrow()
            .get(&self.id)
            .is_none_or(|connection| connection.is_evicted)
    }

    /// Completes once the connection was selected for eviction. The eviction may have been revoked since.
    pub(super) fn eviction_notified(&self) -> Notified<'_> {
        self.eviction.notified()
    }
}

impl<R> Drop for ConnectionSlot<R> {
    fn drop(&mut self) {
        self.clients.open.borrow_mut().remove(&self.id);
        self.clients.slot_released.notify_one();
    }
}

impl<R: Runtime> ClientConnections<R> {
    /// Creates an empty registry for at most `max_connections` open connections.
    pub fn new(
        runtime: R,
        control: Rc<Control<R>>,
        max_connections: usize,
        request_memory: RequestMemoryLimits,
        authentication: Authentication,
    ) -> Rc<Self> {
        Rc::new(ClientConnections {
            runtime,
            control,
            authentication,
            max_connections,
            request_memory: RequestMemory::new(request_memory),
            turns: TurnLimiter::new(),
            open: RefCell::default(),
            next_id: Cell::default(),
            slot_released: Notify::new(),
            is_accepting: Cell::default(),
        })
    }

    /// Whether the accept loop is running, including its final phase that accepts the connections queued on the port.
    pub fn is_accepting(&self) -> bool {
        self.is_accepting.get()
    }

    /// Records whether connections are being accepted.
    pub(super) fn set_accepting(&self, is_accepting: bool) {
        self.is_accepting.set(is_accepting);
    }

    /// The number of open connections.
    pub fn count(&self) -> usize {
        self.open.borrow().len()
    }

    /// Whether idle connections occupy slots that clients need: a client that is itself limited to this many connections
    /// has none left to send requests on.
    pub(super) fn is_under_pressure(&self) -> bool {
        self.count() >= self.max_connections / 3 * PRESSURE_THIRDS
    }

    /// Waits until a slot is free, and evicts idle connections to free one. Eviction begins when [`EVICTION_THIRDS`]
    /// thirds of the slots are taken.
    pub(super) async fn wait_for_free_slot(&self) {
        if self.count() >= self.max_connections / 3 * EVICTION_THIRDS {
            self.evict_longest_idle(EVICTION_MIN_IDLE_TIME);
        }
        while self.count() >= self.max_connections {
            self.evict_longest_idle(EVICTION_MIN_IDLE_TIME_WHEN_FULL);
            let released = self.slot_released.notified();
            let _ = self
                .runtime
                .timeout(EVICTION_RETRY_INTERVAL, released)
                .await;
        }
    }

    /// Evicts the connection that has been idle for longest, and for at least `min_idle_time`. At most one connection is
    /// under eviction at a time, and none with an open request is selected.
    ///
    /// Otherwise clients that hold connections without using them would lock out all others. A connection counts as idle
    /// whether or not it has sent a request before.
    fn evict_longest_idle(&self, min_idle_time: Duration) {
        let now = self.runtime.now();
        let mut open = self.open.borrow_mut();
        if open.values().any(|connection| connection.is_evicted) {
            return;
        }
        let longest_idle = open
            .values_mut()
            .filter_map(|connection| Some((connection.idle_since?, connection)))
            .filter(|(idle_since, _)| now - *idle_since >= min_idle_time)
            .min_by_key(|(idle_since, _)| *idle_since);
        if let Some((_, connection)) = longest_idle {
            connection.is_evicted = true;
            connection.eviction.notify_one();
        }
    }

    /// Acquires a slot for a connection that was just accepted.
    pub(super) fn acquire_slot(self: &Rc<Self>) -> ConnectionSlot<R> {
        let id = self.next_id.replace(self.next_id.get() + 1);
        let eviction = Rc::new(Notify::new());
        let connection = OpenConnection {
            idle_since: Some(self.runtime.now()),
            is_evicted: false,
            eviction: eviction.clone(),
        };
        self.open.borrow_mut().insert(id, connection);
        ConnectionSlot {
            clients: self.clone(),
            id,
            eviction,
        }
    }
}
