//! The idle connections to hosts that are kept for reuse.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use policy::types::{HostId, Micros};
use runtime::Runtime;

use super::close_reason::CloseReason;
use super::connection::Connection;

/// Bytes that a host sent although it owed no response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct UnsolicitedInput {
    /// Number of responses, including an incomplete one.
    pub(super) responses: u64,
    /// The longest wait that they request; zero if none.
    pub(super) retry_after: Micros,
}

impl UnsolicitedInput {
    /// The unsolicited input on a connection; `None` if there was none.
    pub(super) fn of<R: Runtime>(connection: &Connection<R>) -> Option<Self> {
        let progress = connection.progress();
        let responses = progress.surplus.count();
        let is_unsolicited = responses > 0 || progress.has_unsolicited_input();
        is_unsolicited.then(|| UnsolicitedInput {
            responses: responses.max(1),
            retry_after: progress.surplus.retry_after(),
        })
    }

    /// Adds further input of the same host.
    pub(super) fn add(&mut self, other: UnsolicitedInput) {
        self.responses += other.responses;
        self.retry_after = self.retry_after.max(other.retry_after);
    }
}

/// Idle connections by host. Those of one host are ordered from the longest idle to the most recently used.
pub(super) struct ConnectionPool<R: Runtime> {
    idle: BTreeMap<HostId, Vec<Connection<R>>>,
    idle_timeout: Duration,
    max_idle: usize,
    is_retired: bool,
    /// Input that arrived on idle connections, by host, until it is taken out.
    unsolicited: BTreeMap<HostId, UnsolicitedInput>,
}

impl<R: Runtime> ConnectionPool<R> {
    /// Creates an empty pool of at most `max_idle` connections. A connection expires after being idle for `idle_timeout`.
    pub(super) fn new(idle_timeout: Duration, max_idle: usize) -> Self {
        ConnectionPool {
            idle: BTreeMap::new(),
            idle_timeout,
            max_idle,
            is_retired: false,
            unsolicited: BTreeMap::new(),
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
        let hosts: Vec<_> = self.idle.keys().copied().collect();
        for host in hosts {
            self.close_host(host, CloseReason::NotNeeded);
        }
    }

    /// Closes the idle connections to a host.
    pub(super) fn close_host(&mut self, host: HostId, reason: CloseReason) {
        for mut connection in self.idle.remove(&host).unwrap_or_default() {
            connection.set_close_reason(reason);
        }
    }

    /// Closes the longest idle connection to a host, if there is one.
    pub(super) fn close_one(&mut self, host: HostId, reason: CloseReason) {
        let Some(connections) = self.idle.get_mut(&host) else {
            return;
        };
        if !connections.is_empty() {
            connections.remove(0).set_close_reason(reason);
        }
    }

    /// Closes the connections that have been idle for the idle timeout, or were closed by their host.
    pub(super) fn close_expired(&mut self, now: Instant) {
        let idle_timeout = self.idle_timeout;
        let unsolicited = &mut self.unsolicited;
        self.idle.retain(|host, connections| {
            connections.retain_mut(|connection| {
                let has_expired = now - connection.idle_since >= idle_timeout;
                if has_expired {
                    connection.set_close_reason(CloseReason::IdleTimeout);
                }
                let is_kept = !has_expired && !connection.sender.is_closed();
                if !is_kept {
                    record_input(unsolicited, *host, connection);
                }
                is_kept
            });
            !connections.is_empty()
        });
    }

    /// Removes and returns the most recently used connection to a host that is usable, connected to `address`, and
    /// accepted by `accepts`. More recently used ones that are not usable are closed.
    pub(super) fn take(
        &mut self,
        host: HostId,
        address: SocketAddr,
        now: Instant,
        accepts: impl Fn(&Connection<R>) -> bool,
    ) -> Option<Connection<R>> {
        let connections = self.idle.get_mut(&host)?;
        let mut index = connections.len();
        while index > 0 {
            index -= 1;
            let connection = &mut connections[index];
            let has_expired = now - connection.idle_since >= self.idle_timeout;
            if has_expired {
                connection.set_close_reason(CloseReason::IdleTimeout);
            } else if connection.address != address {
                connection.set_close_reason(CloseReason::Evicted);
            } else if connection.sender.is_ready() {
                if accepts(connection) {
                    return Some(connections.remove(index));
                }
                continue;
            }
            record_input(&mut self.unsolicited, host, connection);
            connections.remove(index);
        }
        None
    }

    /// Adds a connection that has just become idle. If that exceeds the limit, the longest idle connection is closed.
    pub(super) fn put(&mut self, host: HostId, mut connection: Connection<R>, now: Instant) {
        connection.set_idle(now);
        self.idle.entry(host).or_default().push(connection);
        if self.len() > self.max_idle {
            self.close_longest_idle();
        }
    }

    /// Takes out the unsolicited input that arrived on idle connections to a host.
    pub(super) fn take_unsolicited(&mut self, host: HostId) -> Option<UnsolicitedInput> {
        self.unsolicited.remove(&host)
    }

    fn close_longest_idle(&mut self) {
        let host = host_of_longest_idle(&self.idle, |connection| connection.idle_since);
        if let Some(connections) = host.and_then(|host| self.idle.get_mut(&host)) {
            connections.remove(0).set_close_reason(CloseReason::Evicted);
            self.idle.retain(|_, connections| !connections.is_empty());
        }
    }
}

/// Adds the unsolicited input on a connection, if there was any.
fn record_input<R: Runtime>(
    unsolicited: &mut BTreeMap<HostId, UnsolicitedInput>,
    host: HostId,
    connection: &Connection<R>,
) {
    if let Some(input) = UnsolicitedInput::of(connection) {
        unsolicited.entry(host).or_default().add(input);
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
