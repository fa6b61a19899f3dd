//! Slots of the control socket's connections. When all are taken, a new connection evicts the oldest one that has not
//! sent its command, so that silent connections cannot lock operators out.

#[cfg(test)]
mod tests;

use std::collections::VecDeque;
use std::rc::Rc;

use tokio::sync::Notify;

/// Maximum number of concurrent connections. Operators and the load balancer hold a connection for one command only.
pub(super) const MAX_CONNECTIONS: usize = 16;

/// The slot of one connection.
#[derive(Clone, Debug)]
pub(super) struct ConnectionSlot {
    number: u64,
    evicted: Rc<Notify>,
}

impl ConnectionSlot {
    /// Completes once the connection is evicted for a newer one.
    pub(super) async fn evicted(&self) {
        self.evicted.notified().await;
    }
}

/// The slots of all open connections.
#[derive(Debug, Default)]
pub(super) struct ConnectionSlots {
    /// Connections that have not sent their command yet, oldest first.
    silent: VecDeque<ConnectionSlot>,
    open: usize,
    last_number: u64,
}

impl ConnectionSlots {
    /// Acquires a slot for a new connection. If none is free, the oldest silent connection is evicted. If no connection is
    /// silent, [`MAX_CONNECTIONS`] is exceeded until one of the connections has received its reply.
    pub(super) fn acquire(&mut self) -> ConnectionSlot {
        while self.open >= MAX_CONNECTIONS {
            let Some(oldest) = self.silent.pop_front() else {
                break;
            };
            oldest.evicted.notify_one();
            self.open -= 1;
        }
        self.open += 1;
        self.last_number += 1;
        let slot = ConnectionSlot {
            number: self.last_number,
            evicted: Rc::default(),
        };
        self.silent.push_back(slot.clone());
        slot
    }

    /// Protects a connection that has sent its command from eviction. Returns false if it was already evicted, and thus
    /// holds no slot to release.
    pub(super) fn protect(&mut self, slot: &ConnectionSlot) -> bool {
        let silent_before = self.silent.len();
        self.silent.retain(|other| other.number != slot.number);
        self.silent.len() < silent_before
    }

    /// Releases the slot of a protected connection.
    pub(super) fn release(&mut self) {
        self.open -= 1;
    }
}
