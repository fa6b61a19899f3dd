//! The open client connections: admission of new ones, and eviction of quiet ones when capacity runs out.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use runtime::Runtime;
use tokio::sync::futures::Notified;
use tokio::sync::Notify;

use super::request::Authentication;
use crate::control_socket::Control;

/// While some slots are free, only a connection that has been quiet for this long is evicted: the request of a more
/// recent one may be on its way.
const EVICTION_MIN_QUIET: Duration = Duration::from_millis(250);
/// The same once no slot is free.
const EVICTION_MIN_QUIET_WHEN_FULL: Duration = Duration::from_millis(20);
/// Thirds of the slots from which on quiet connections are closed sooner.
const PRESSURE_THIRDS: usize = 1;
/// Thirds of the slots from which on quiet connections are evicted.
const EVICTION_THIRDS: usize = 2;
/// How often another connection is looked for while no slot is free: the one chosen may turn out to have a request.
const EVICTION_RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// The client connections that are open, and which of them may be closed to free a slot.
pub struct ClientConnections<R> {
    pub(super) runtime: R,
    pub(super) control: Rc<Control<R>>,
    pub(super) authentication: Authentication,
    max_connections: usize,
    open: RefCell<BTreeMap<u64, OpenConnection>>,
    next_id: Cell<u64>,
    slot_released: Notify,
    is_accepting: Cell<bool>,
}

struct OpenConnection {
    /// Since when no request has been open; none while one is.
    quiet_since: Option<Instant>,
    /// Whether it was chosen to be closed.
    is_evicted: bool,
    eviction: Rc<Notify>,
}

/// An open connection's slot, which is released when this is dropped.
pub(super) struct ConnectionSlot<R> {
    /// The registry that the slot belongs to.
    pub(super) clients: Rc<ClientConnections<R>>,
    id: u64,
    eviction: Rc<Notify>,
}

impl<R: Runtime> ConnectionSlot<R> {
    /// Records that the connection has no open request.
    pub(super) fn mark_quiet(&self) {
        if let Some(connection) = self.clients.open.borrow_mut().get_mut(&self.id) {
            let now = || self.clients.runtime.now();
            connection.quiet_since.get_or_insert_with(now);
        }
    }

    /// Records that the connection has an open request, which revokes an eviction.
    pub(super) fn mark_busy(&self) {
        if let Some(connection) = self.clients.open.borrow_mut().get_mut(&self.id) {
            connection.quiet_since = None;
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

    /// Ready once the connection was chosen for eviction, which may have been revoked since.
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
    /// A registry without connections, for at most `max_connections` at once.
    pub fn new(
        runtime: R,
        control: Rc<Control<R>>,
        max_connections: usize,
        authentication: Authentication,
    ) -> Rc<Self> {
        Rc::new(ClientConnections {
            runtime,
            control,
            authentication,
            max_connections,
            open: RefCell::default(),
            next_id: Cell::default(),
            slot_released: Notify::new(),
            is_accepting: Cell::default(),
        })
    }

    /// Whether the port is open, or connections that had queued there are still being accepted.
    pub fn is_accepting(&self) -> bool {
        self.is_accepting.get()
    }

    /// Records whether connections are being accepted.
    pub(super) fn set_accepting(&self, is_accepting: bool) {
        self.is_accepting.set(is_accepting);
    }

    /// The number of connections that are open.
    pub fn count(&self) -> usize {
        self.open.borrow().len()
    }

    /// Whether quiet connections take up slots that clients need: a client that is limited to this many connections
    /// itself has none left to send requests on.
    pub(super) fn is_under_pressure(&self) -> bool {
        self.count() >= self.max_connections / 3 * PRESSURE_THIRDS
    }

    /// Waits until there is a free slot, and evicts quiet connections to free one. Eviction begins when
    /// [`EVICTION_THIRDS`] of the slots are taken.
    pub(super) async fn wait_for_free_slot(&self) {
        if self.count() >= self.max_connections / 3 * EVICTION_THIRDS {
            self.evict_quietest(EVICTION_MIN_QUIET);
        }
        while self.count() >= self.max_connections {
            self.evict_quietest(EVICTION_MIN_QUIET_WHEN_FULL);
            let released = self.slot_released.notified();
            let _ = self
                .runtime
                .timeout(EVICTION_RETRY_INTERVAL, released)
                .await;
        }
    }

    /// Evicts the connection that has been quiet for longest, and for at least `min_quiet`; at most one at a time, and
    /// none with an open request.
    ///
    /// Clients that keep connections without using them would keep all others out otherwise. A connection counts as
    /// quiet whether or not it has sent a request before.
    fn evict_quietest(&self, min_quiet: Duration) {
        let now = self.runtime.now();
        let mut open = self.open.borrow_mut();
        if open.values().any(|connection| connection.is_evicted) {
            return;
        }
        let quietest = open
            .values_mut()
            .filter_map(|connection| Some((connection.quiet_since?, connection)))
            .filter(|(quiet_since, _)| now - *quiet_since >= min_quiet)
            .min_by_key(|(quiet_since, _)| *quiet_since);
        if let Some((_, connection)) = quietest {
            connection.is_evicted = true;
            connection.eviction.notify_one();
        }
    }

    /// Takes a slot for a connection that was just accepted.
    pub(super) fn take_slot(self: &Rc<Self>) -> ConnectionSlot<R> {
        let id = self.next_id.replace(self.next_id.get() + 1);
        let eviction = Rc::new(Notify::new());
        let connection = OpenConnection {
            quiet_since: Some(self.runtime.now()),
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
