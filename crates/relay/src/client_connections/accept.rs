//! The accept loop of the client port.

use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use relay_events::{Clock, RelayEvent};
use runtime::{log, Listener, Runtime};
use tokio::sync::{mpsc, watch};

use super::connection::Connection;
use super::registry::ClientConnections;
use super::ConnectionPolicy;

/// A shared port queues connections while no process accepts. Connections accepted within this time after the start of
/// the loop may have been queued.
const STARTUP_QUEUE_WINDOW: Duration = Duration::from_millis(50);
/// Assumed queueing time of such a connection: the deadlines of its first requests are computed from this much earlier.
/// A deadline that is too early does no harm, whereas one that is too late would promise hosts and clients time that is
/// not left. A client that was queued for longer has already given up.
const MAX_QUEUE_DELAY: Duration = Duration::from_secs(1);
/// After the process stops accepting, the port closes once no connection has arrived for this long.
const FINAL_ACCEPT_IDLE_TIMEOUT: Duration = Duration::from_millis(5);
/// Upper bound of the time for which the port stays open after the process stops accepting.
const FINAL_ACCEPT_TIMEOUT: Duration = Duration::from_millis(50);
/// Delay before the next accept after a failed one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Whether the port stays open after this process ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PortSharing {
    /// The process opened the port, which closes when the process ends.
    Exclusive,
    /// The process inherited the port; connections that are queued there when it ends are left to the next process.
    Shared,
}

/// Accepts and serves connections until the process stops accepting. Connections that are queued on an exclusive port
/// at that time are accepted too, because closing the port would reset them and lose their requests.
pub async fn accept_connections<R: Runtime>(
    listener: R::Listener,
    clients: Rc<ClientConnections<R>>,
    clock: Clock<R>,
    events: mpsc::Sender<RelayEvent>,
    port_sharing: PortSharing,
) {
    let started_at = clients.runtime.now();
    let policy = clients.control.connection_policy();
    let accept_loop = AcceptLoop {
        started_at,
        closing: policy.clone(),
        policy,
        final_deadline: None,
        port_sharing,
        events,
        clock,
        clients,
        listener,
    };
    accept_loop.run().await;
}

struct AcceptLoop<R: Runtime> {
    started_at: Instant,
    /// Ends a wait as soon as the process stops accepting.
    policy: watch::Receiver<ConnectionPolicy>,
    /// A second receiver, for the wait that ends only once no more connections arrive.
    closing: watch::Receiver<ConnectionPolicy>,
    /// Latest end of the loop; `None` while the process accepts.
    final_deadline: Option<Instant>,
    port_sharing: PortSharing,
    events: mpsc::Sender<RelayEvent>,
    clock: Clock<R>,
    clients: Rc<ClientConnections<R>>,
    listener: R::Listener,
}

enum AcceptOutcome<S> {
    Accepted(S),
    Failed(io::Error),
    Finished,
}

impl<R: Runtime> AcceptLoop<R> {
    async fn run(mut self) {
        self.clients.set_accepting(true);
        while !self.is_finished() {
            match self.accept().await {
                AcceptOutcome::Accepted(stream) => {
                    self.wait_for_free_slot().await;
                    self.spawn_connection(stream);
                }
                AcceptOutcome::Failed(error) => {
                    let runtime = &self.clients.runtime;
                    log!(*runtime, "clients: accept_failed error={error}");
                    runtime.sleep(ACCEPT_RETRY_DELAY).await;
                }
                AcceptOutcome::Finished => break,
            }
        }
        self.clients.set_accepting(false);
    }

    fn is_finished(&mut self) -> bool {
        if self.policy.borrow_and_update().accepts {
            return false;
        }
        let runtime = &self.clients.runtime;
        let deadline = *self
            .final_deadline
            .get_or_insert_with(|| runtime.now() + FINAL_ACCEPT_TIMEOUT);
        self.port_sharing == PortSharing::Shared || runtime.now() >= deadline
    }

    async fn accept(&mut self) -> AcceptOutcome<R::Stream> {
        let is_shared = self.port_sharing == PortSharing::Shared;
        let runtime = &self.clients.runtime;
        let closing = &mut self.closing;
        tokio::select! {
            biased;
            _ = self.policy.wait_for(|policy| !policy.accepts), if is_shared => AcceptOutcome::Finished,
            accepted = self.listener.accept() => match accepted {
                Ok(stream) => AcceptOutcome::Accepted(stream),
                Err(error) => AcceptOutcome::Failed(error),
            },
            () = async {
                drop(closing.wait_for(|policy| !policy.accepts).await);
                runtime.sleep(FINAL_ACCEPT_IDLE_TIMEOUT).await;
            } => AcceptOutcome::Finished,
        }
    }

    /// Waits for a free slot for an accepted connection; further connections queue on the port meanwhile. If the process
    /// stops accepting first, the connection is served without a free slot.
    async fn wait_for_free_slot(&mut self) {
        tokio::select! {
            biased;
            _ = self.policy.wait_for(|policy| !policy.accepts) => {}
            () = self.clients.wait_for_free_slot() => {}
        }
    }

    fn spawn_connection(&self, stream: R::Stream) {
        let clock = self.clock.clone();
        let events = self.events.clone();
        let slot = self.clients.acquire_slot();
        let queue_delay = self.queue_delay();
        self.clients.runtime.spawn(async move {
            let connection = Connection::open(stream, &slot, &clock, events, queue_delay);
            // A client that disconnects is not an error of the relay.
            drop(connection.serve().await);
        });
    }

    /// Upper bound of the time for which a connection that was just accepted may have been queued.
    fn queue_delay(&self) -> Duration {
        let is_shared = self.port_sharing == PortSharing::Shared;
        if is_shared && self.clients.runtime.now() < self.started_at + STARTUP_QUEUE_WINDOW {
            MAX_QUEUE_DELAY
        } else {
            Duration::ZERO
        }
    }
}
