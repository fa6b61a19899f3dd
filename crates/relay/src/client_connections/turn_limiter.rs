//! Limits the processor time of clients that send many or long requests at once.
//!
//! All tasks of the process share one thread. If many connections handled as much as they have received in each of their
//! turns, a turn of the event loop, and of clients that send one short request, would come only after all of theirs.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use runtime::Runtime;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Number of turns in a row after which a connection's further turns are delayed.
const MAX_UNDELAYED_TURNS: usize = 32;
/// Time between two turns of connections that have had more.
const TURN_INTERVAL: Duration = Duration::from_millis(1);
/// Number of connections waiting for their turn from which on no other has to wait that may be closed instead.
const CROWDED_QUEUE_LENGTH: usize = 32;
/// Number of connections that may read and handle a long request while each other task gets one turn.
const MAX_LONG_REQUESTS: usize = 1;

/// What a connection has taken from others.
#[derive(Clone, Copy, Debug)]
pub(super) enum TurnCost {
    /// Many requests, in this number of turns without a pause.
    ManyRequests {
        /// Number of turns.
        turns: usize,
    },
    /// A long request that was an error.
    LongError,
}

impl TurnCost {
    fn is_delayed(self) -> bool {
        match self {
            TurnCost::ManyRequests { turns } => turns > MAX_UNDELAYED_TURNS,
            TurnCost::LongError => true,
        }
    }
}

/// The order of turns of connections that send many or long requests.
pub(super) struct TurnLimiter {
    /// Held by the connection with many requests whose turn is next.
    next: Semaphore,
    /// Number of connections that wait for `next`.
    waiting: Cell<usize>,
    long_requests: Arc<Semaphore>,
}

/// The turn of a connection to read and handle a long request, which ends when this is dropped.
pub(super) struct LongRequestTurn {
    _permit: OwnedSemaphorePermit,
}

/// Counts a connection as waiting until it is dropped.
struct WaitingTurn<'a>(&'a Cell<usize>);

impl<'a> WaitingTurn<'a> {
    fn begin(waiting: &'a Cell<usize>) -> Self {
        waiting.set(waiting.get() + 1);
        WaitingTurn(waiting)
    }
}

impl Drop for WaitingTurn<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl TurnLimiter {
    pub(super) fn new() -> Rc<Self> {
        Rc::new(TurnLimiter {
            next: Semaphore::new(1),
            waiting: Cell::default(),
            long_requests: Arc::new(Semaphore::new(MAX_LONG_REQUESTS)),
        })
    }

    /// Waits until a connection that has taken more than its share may have other requests handled. Every other task gets a
    /// turn between those of two such connections.
    pub(super) async fn wait_for_turn(&self, runtime: &impl Runtime, last: TurnCost) {
        let _waiting = WaitingTurn::begin(&self.waiting);
        let Ok(_turn) = self.next.acquire().await else {
            return;
        };
        if last.is_delayed() {
            runtime.sleep(TURN_INTERVAL).await;
        } else {
            tokio::task::yield_now().await;
        }
    }

    /// Whether so many connections wait for their turn that those that may be closed should be.
    pub(super) fn is_crowded(&self) -> bool {
        self.waiting.get() >= CROWDED_QUEUE_LENGTH
    }

    /// Waits until a connection may read and handle a long request. `None` if the process is ending.
    pub(super) async fn wait_for_long_request(&self) -> Option<LongRequestTurn> {
        let permit = self.long_requests.clone().acquire_owned().await;
        permit
            .ok()
            .map(|permit| LongRequestTurn { _permit: permit })
    }
}
