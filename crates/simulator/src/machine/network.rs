//! The network between the processes: listening ports, connections, and faults of addresses.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::task::Waker;
use std::time::Duration;

use runtime::Address;

use super::connection::{Arrival, Connection, ConnectionId, PlannedReset, Side, WriteOutcome};
use super::process::{NodeIndex, ProcessId};

/// The TCP port on which hosts accept calls.
const HOST_PORT: u16 = 8080;

/// The network fault of an address; the default is none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AddressFault {
    /// New connections are refused.
    pub refuses: bool,
    /// All data is lost in both directions without either side being notified.
    pub silent: bool,
    /// Percentage of new connections that are reset after some bytes.
    pub reset_percent: u64,
    /// Percentage of new connections that come up late.
    pub late_percent: u64,
    /// Maximum additional time that a late connection takes, in milliseconds.
    pub max_lateness_ms: u64,
}

impl AddressFault {
    /// Whether no new connection to the address can be established.
    #[must_use]
    pub fn is_unreachable(&self) -> bool {
        self.refuses || self.silent
    }
}

/// A listening port.
pub(super) struct Port {
    /// The process that opened it.
    pub process: ProcessId,
    /// Connections that have not been accepted yet.
    pub backlog: VecDeque<ConnectionId>,
    /// Wakers of the processes that wait for a connection; more than one where the port is shared.
    pub acceptors: BTreeMap<ProcessId, Waker>,
}

impl Port {
    pub fn new(process: ProcessId) -> Self {
        Port {
            process,
            backlog: VecDeque::new(),
            acceptors: BTreeMap::new(),
        }
    }
}

#[derive(Default)]
pub(super) struct Network {
    pub connections: BTreeMap<ConnectionId, Connection>,
    pub ports: BTreeMap<Address, Port>,
    faults: BTreeMap<Address, AddressFault>,
    /// Nodes and the addresses that they are partitioned from.
    partitions: BTreeSet<(NodeIndex, Address)>,
    last_id: ConnectionId,
}

impl Network {
    /// Returns the network fault of an address.
    pub fn fault(&self, address: &Address) -> AddressFault {
        self.faults.get(address).copied().unwrap_or_default()
    }

    /// Sets the network fault of an address and returns the previous one.
    pub fn set_fault(&mut self, address: Address, fault: AddressFault) -> AddressFault {
        self.faults.insert(address, fault).unwrap_or_default()
    }

    /// Whether a node is partitioned from an address.
    pub fn is_partitioned(&self, node: NodeIndex, to: &Address) -> bool {
        self.partitions.contains(&(node, to.clone()))
    }

    /// Sets whether a node is partitioned from an address. Returns false if this was already the case.
    pub fn set_partitioned(&mut self, node: NodeIndex, to: Address, partitioned: bool) -> bool {
        if partitioned {
            self.partitions.insert((node, to))
        } else {
            self.partitions.remove(&(node, to))
        }
    }

    /// Opens a connection to a port and queues it for acceptance. None if the address refuses connections or has no
    /// listener.
    pub fn open(
        &mut self,
        to: &Address,
        initiator: ProcessId,
        delay: Duration,
        planned_reset: Option<PlannedReset>,
    ) -> Option<ConnectionId> {
        if self.fault(to).refuses {
            return None;
        }
        let port = self.ports.get_mut(to)?;
        self.last_id += 1;
        let id = self.last_id;
        let connection = Connection::new(to.clone(), initiator, port.process, delay, planned_reset);
        self.connections.insert(id, connection);
        port.backlog.push_back(id);
        std::mem::take(&mut port.acceptors)
            .into_values()
            .for_each(Waker::wake);
        Some(id)
    }

    /// Writes bytes from a side. Returns the result and the arrivals to schedule.
    pub fn write(
        &mut self,
        id: ConnectionId,
        side: Side,
        bytes: &[u8],
        now: Duration,
        jitter: Duration,
    ) -> (WriteOutcome, Vec<Arrival>) {
        match self.connections.get_mut(&id) {
            Some(connection) => connection.write(side, bytes, now, jitter),
            None => (WriteOutcome::Reset, Vec::new()),
        }
    }

    /// Shuts down the sending direction of a side.
    pub fn shut_down(&mut self, id: ConnectionId, side: Side, now: Duration) -> Option<Arrival> {
        self.connections.get_mut(&id)?.shut_down(side, now)
    }

    /// Closes a side of a connection; the connection is removed once both sides are closed.
    pub fn close(&mut self, id: ConnectionId, side: Side, now: Duration) -> Option<Arrival> {
        let connection = self.connections.get_mut(&id)?;
        connection.endpoint_mut(side).is_open = false;
        if !connection.endpoint(side.peer()).is_open {
            self.connections.remove(&id);
            return None;
        }
        connection.notify_peer_of_close(side, now)
    }

    /// Silences a connection: all data on it is lost from now on.
    pub fn silence(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.silence();
        }
    }

    /// Resets both sides of a connection.
    pub fn reset(&mut self, id: ConnectionId, now: Duration) -> Vec<Arrival> {
        self.connections
            .get_mut(&id)
            .map_or_else(Vec::new, |connection| connection.reset(now).into())
    }

    /// Returns the accepted connections to a port that both sides hold open.
    pub fn accepted(&self, port: &Address) -> Vec<ConnectionId> {
        let is_in_backlog = |id: &ConnectionId| {
            self.ports
                .get(port)
                .is_some_and(|port| port.backlog.contains(id))
        };
        self.connections
            .iter()
            .filter(|(id, connection)| {
                connection.to == *port && connection.is_open() && !is_in_backlog(id)
            })
            .map(|(id, _)| *id)
            .collect()
    }

    /// Whether the side that opened a connection still holds it open.
    pub fn is_held_by_initiator(&self, id: ConnectionId) -> bool {
        self.connections
            .get(&id)
            .is_some_and(|connection| connection.initiator.is_open)
    }

    /// Returns the process at the other side of a connection.
    pub fn peer(&self, id: ConnectionId, side: Side) -> Option<ProcessId> {
        self.connections
            .get(&id)
            .map(|connection| connection.endpoint(side.peer()).process)
    }

    /// Returns another listening address with the same port number, or `address` itself if there is none.
    pub fn neighbour(&self, address: Address) -> Address {
        let has_same_port = |other: &&Address| port_number(other) == port_number(&address);
        let next = self
            .ports
            .keys()
            .find(|other| has_same_port(other) && **other > address);
        next.or(self.ports.keys().find(has_same_port))
            .cloned()
            .unwrap_or(address)
    }

    /// Whether a connection was opened to a host, and therefore carries calls.
    pub fn leads_to_host(&self, id: ConnectionId) -> bool {
        self.connections
            .get(&id)
            .is_some_and(|connection| port_number(&connection.to) == Some(HOST_PORT))
    }
}

fn port_number(address: &Address) -> Option<u16> {
    match address {
        Address::Tcp(address) => Some(address.port()),
        Address::Unix(_) => None,
    }
}
