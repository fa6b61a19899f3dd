//! The idle connections to hosts that are kept for reuse.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use policy::types::HostId;
use runtime::Runtime;

use super::connection::Connection;

/// Idle connections by host. Those of one host are ordered from the longest idle to the most recently used.
pub(super) struct ConnectionPool<R: Runtime> {
    idle: BTreeMap<HostId, Vec<Connection<R>>>,
    idle_timeout: Duration,
    max_idle: usize,
    is_retired: bool,
}

impl<R: Runtime> ConnectionPool<R> {
    /// Creates an empty pool of at most `max_idle` connections. A connection expires after being idle for `idle_timeout`.
    pub(super) fn new(idle_timeout: Duration, max_idle: usize) -> Self {
        ConnectionPool {
            idle: BTreeMap::new(),
            idle_timeout,
            max_idle,
            is_retired: false,
        }
    }

    /// The number of idle connections.
    pub(super) fn len(&self) -> usize {
        self.idle.values().map(Vec::len).sum()
    }

    /// The upper bound of [`Self::len`].
    pub(super) fn max_idle(&self) -> usize {
        self.max_idle
    }

    /// Whether the pool accepts no more connections.
    pub(super) fn is_retired(&self) -> bool {
        self.is_retired
    }

    /// Closes all connections. The pool must not be given any more connections.
    pub(super) fn retire(&mut self) {
        self.is_retired = true;
        self.idle.clear();
    }

    /// Closes the idle connections to a host.
    pub(super) fn close_host(&mut self, host: HostId) {
        self.idle.remove(&host);
    }

    /// Closes the connections that have been idle for the idle timeout, or were closed by their host.
    pub(super) fn close_expired(&mut self, now: Instant) {
        let idle_timeout = self.idle_timeout;
        self.idle.retain(|_, connections| {
            connections.retain(|connection| {
                !connection.sender.is_closed() && now - connection.idle_since < idle_timeout
            });
            !connections.is_empty()
        });
    }

    /// Removes and returns the most recently used connection to a host that is usable and connected to `address`. More
    /// recently used ones that do not qualify are closed.
    pub(super) fn take(
        &mut self,
        host: HostId,
        address: SocketAddr,
        now: Instant,
    ) -> Option<Connection<R>> {
        let connections = self.idle.get_mut(&host)?;
        while let Some(connection) = connections.pop() {
            let has_expired = now - connection.idle_since >= self.idle_timeout;
            let is_current = !has_expired && connection.address == address;
            if is_current && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// Adds a connection that has just become idle. If that exceeds the limit, the longest idle connection is closed.
    pub(super) fn put(&mut self, host: HostId, mut connection: Connection<R>, now: Instant) {
        connection.idle_since = now;
        self.idle.entry(host).or_default().push(connection);
        if self.len() > self.max_idle {
            self.close_longest_idle();
        }
    }

    fn close_longest_idle(&mut self) {
        let host = host_of_longest_idle(&self.idle, |connection| connection.idle_since);
        if let Some(connections) = host.and_then(|host| self.idle.get_mut(&host)) {
            connections.remove(0);
            self.idle.retain(|_, connections| !connections.is_empty());
        }
    }
}

/// The host whose first connection has been idle longest. Hosts with an empty list, whose last connection was just
/// taken, are ignored.
fn host_of_longest_idle<T>(
    idle: &BTreeMap<HostId, Vec<T>>,
    idle_since: impl Fn(&T) -> Instant,
) -> Option<HostId> {
    idle.iter()
        .filter_map(|(host, connections)| Some((idle_since(connections.first()?), *host)))
        .min()
        .map(|(_, host)| host)
}
