//! The memory that clients' requests may take, shared by all connections.
//!
//! A short request needs no permission to be read: each connection has a small buffer. These parts are limited:
//!
//! - Requests that are complete and not answered yet. They are answered within a round of the event loop, so waiting for
//!   this memory is short and in turn. Short requests have their own, so that they never wait for long ones.
//! - Long requests that arrive in pieces. Whoever holds this memory may stop sending, so nobody waits in turn for it: if
//!   it is used up, the slowest request gives way.

#[cfg(test)]
mod tests;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};

use super::framing::{MAX_REQUEST_BYTES, MAX_SHORT_REQUEST_BYTES};

/// Memory of a request beside its bytes, until it is answered: its parsed parts, its reply and its place in queues.
const REQUEST_OVERHEAD_BYTES: usize = 1024;
/// Time that a long request has to arrive before it can be made to give way to others.
const MIN_ARRIVAL_TIME: Duration = Duration::from_millis(100);

/// Limits of the memory for requests, in bytes. Each admits at least one request of the maximum length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestMemoryLimits {
    /// For complete short requests that are not answered yet.
    pub short: usize,
    /// For complete long requests that are not answered yet.
    pub long: usize,
    /// For long requests that arrive in pieces.
    pub arriving: usize,
}

impl RequestMemoryLimits {
    /// The smallest useful limit of either part, in bytes.
    pub const MIN_BYTES: usize = MAX_REQUEST_BYTES + REQUEST_OVERHEAD_BYTES;
}

/// The use of the memory for requests since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct RequestMemoryUse {
    /// The most bytes that complete short requests took before they were answered.
    pub(super) peak_short: usize,
    /// The most bytes that complete long requests took before they were answered.
    pub(super) peak_long: usize,
    /// The most bytes that were reserved for long requests that arrived in pieces.
    pub(super) peak_arriving: usize,
    /// Complete requests that had to wait for memory.
    pub(super) waited: u64,
    /// Long requests that gave way because they arrived more slowly than others.
    pub(super) too_slow: u64,
    /// Requests that did not arrive completely in time.
    pub(super) incomplete: u64,
}

/// The memory that clients' requests may take.
pub(super) struct RequestMemory {
    limits: RequestMemoryLimits,
    short: Arc<Semaphore>,
    long: Arc<Semaphore>,
    arriving: RefCell<BTreeMap<u64, Rc<ArrivingRequest>>>,
    next_id: Cell<u64>,
    usage: Cell<RequestMemoryUse>,
}

/// The memory of a complete request; dropping it frees the memory.
pub(super) struct UnansweredRequest {
    _permit: OwnedSemaphorePermit,
}

/// A long request that arrives in pieces.
struct ArrivingRequest {
    began_at: Instant,
    length: usize,
    arrived: Cell<usize>,
    is_evicted: Cell<bool>,
    eviction: Notify,
}

impl ArrivingRequest {
    /// Bytes per second that have arrived since the memory was reserved.
    fn rate(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.began_at);
        self.arrived.get() as f64 / elapsed.as_secs_f64().max(f64::MIN_POSITIVE)
    }
}

/// The memory of a long request that arrives in pieces; dropping it frees the memory.
pub(super) struct ArrivalReservation {
    memory: Rc<RequestMemory>,
    id: u64,
    request: Rc<ArrivingRequest>,
}

impl ArrivalReservation {
    /// Records that more bytes of the request have arrived.
    pub(super) fn record_arrival(&self, count: usize) {
        let arrived = &self.request.arrived;
        arrived.set(arrived.get() + count);
    }

    /// Completes once the request has to give way to others.
    pub(super) async fn evicted(&self) {
        self.request.eviction.notified().await;
    }
}

impl Drop for ArrivalReservation {
    fn drop(&mut self) {
        self.memory.arriving.borrow_mut().remove(&self.id);
    }
}

impl RequestMemory {
    pub(super) fn new(limits: RequestMemoryLimits) -> Rc<Self> {
        let at_least_one = |bytes: usize| bytes.max(RequestMemoryLimits::MIN_BYTES);
        let limits = RequestMemoryLimits {
            short: at_least_one(limits.short),
            long: at_least_one(limits.long),
            arriving: at_least_one(limits.arriving),
        };
        Rc::new(RequestMemory {
            limits,
            short: Arc::new(Semaphore::new(limits.short)),
            long: Arc::new(Semaphore::new(limits.long)),
            arriving: RefCell::default(),
            next_id: Cell::default(),
            usage: Cell::default(),
        })
    }

    /// Reserves the memory of a complete request of `length` bytes, if it is free now.
    pub(super) fn try_reserve(&self, length: usize) -> Option<UnansweredRequest> {
        let permits = permits_for(length);
        let permit = self.semaphore_for(length).try_acquire_many_owned(permits);
        Some(self.admit(permit.ok()?))
    }

    /// Reserves the memory of a complete request of `length` bytes, in turn with other connections. `None` if the process
    /// is ending.
    pub(super) async fn reserve(&self, length: usize) -> Option<UnansweredRequest> {
        if let Some(reserved) = self.try_reserve(length) {
            return Some(reserved);
        }
        self.update_usage(|usage| usage.waited += 1);
        let permits = permits_for(length);
        let permit = self.semaphore_for(length).acquire_many_owned(permits);
        Some(self.admit(permit.await.ok()?))
    }

    fn semaphore_for(&self, length: usize) -> Arc<Semaphore> {
        if length <= MAX_SHORT_REQUEST_BYTES {
            self.short.clone()
        } else {
            self.long.clone()
        }
    }

    fn admit(&self, permit: OwnedSemaphorePermit) -> UnansweredRequest {
        let short = self.limits.short - self.short.available_permits();
        let long = self.limits.long - self.long.available_permits();
        self.update_usage(|usage| {
            usage.peak_short = usage.peak_short.max(short);
            usage.peak_long = usage.peak_long.max(long);
        });
        UnansweredRequest { _permit: permit }
    }

    /// Reserves the memory of a long request that arrives in pieces. If there is none, returns `None` and makes the slowest
    /// request give way.
    pub(super) fn reserve_arrival(
        self: &Rc<Self>,
        now: Instant,
        length: usize,
    ) -> Option<ArrivalReservation> {
        if self.arriving_bytes() + length > self.limits.arriving {
            self.evict_slowest(now);
            return None;
        }
        let id = self.next_id.replace(self.next_id.get() + 1);
        let request = Rc::new(ArrivingRequest {
            began_at: now,
            length,
            arrived: Cell::new(0),
            is_evicted: Cell::new(false),
            eviction: Notify::new(),
        });
        self.arriving.borrow_mut().insert(id, request.clone());
        let held = self.arriving_bytes();
        self.update_usage(|usage| usage.peak_arriving = usage.peak_arriving.max(held));
        Some(ArrivalReservation {
            memory: self.clone(),
            id,
            request,
        })
    }

    /// Records a request that did not arrive completely in time.
    pub(super) fn record_incomplete(&self) {
        self.update_usage(|usage| usage.incomplete += 1);
    }

    /// The limits.
    pub(super) fn limits(&self) -> RequestMemoryLimits {
        self.limits
    }

    /// The use since the process started.
    pub(super) fn usage(&self) -> RequestMemoryUse {
        self.usage.get()
    }

    fn update_usage(&self, change: impl FnOnce(&mut RequestMemoryUse)) {
        let mut usage = self.usage.get();
        change(&mut usage);
        self.usage.set(usage);
    }

    fn arriving_bytes(&self) -> usize {
        let arriving = self.arriving.borrow();
        arriving.values().map(|request| request.length).sum()
    }

    /// Makes the request give way that arrives at the lowest rate. One at a time gives way for each reservation that
    /// fails, and none before it had [`MIN_ARRIVAL_TIME`].
    fn evict_slowest(&self, now: Instant) {
        let arriving = self.arriving.borrow();
        let slowest = arriving
            .values()
            .filter(|request| !request.is_evicted.get())
            .filter(|request| now.saturating_duration_since(request.began_at) >= MIN_ARRIVAL_TIME)
            .min_by(|a, b| a.rate(now).total_cmp(&b.rate(now)));
        if let Some(request) = slowest {
            request.is_evicted.set(true);
            request.eviction.notify_one();
            self.update_usage(|usage| usage.too_slow += 1);
        }
    }
}

/// The number of semaphore permits of a request: one for each byte that it takes.
fn permits_for(length: usize) -> u32 {
    let bytes = length.min(MAX_REQUEST_BYTES) + REQUEST_OVERHEAD_BYTES;
    u32::try_from(bytes).unwrap_or(u32::MAX)
}
