//! The state of the policy. Nothing here decides what is sent: the deciding modules add the methods that do.

use std::collections::BTreeMap;

use crate::call::Call;
use crate::host_record::HostRecord;
use crate::queued_message::{OrderedKey, QueuedMessage};
use crate::random::RandomFractions;
use crate::route::Route;
use crate::scheduler::{NoTenants, TenantScheduler};
use crate::tuning::{initial_latency, MIN_POLL_BACKOFF};
use crate::types::{HostId, MessageId, Micros, RouteKey, Settings};

/// The decisions of one relay. It does no I/O and reads no clock: its caller passes events and the time.
pub struct DeliveryPolicy {
    pub(crate) settings: Settings,
    /// Shares queue, slots and rate among tenants.
    pub(crate) scheduler: Box<dyn TenantScheduler>,
    /// Replicas of the relay, this one included.
    pub(crate) replicas: f64,
    pub(crate) random: RandomFractions,
    /// The time of this round.
    pub(crate) now: Micros,
    /// Messages that wait or are in flight.
    pub(crate) queue: BTreeMap<MessageId, QueuedMessage>,
    /// Bytes of these messages.
    pub(crate) queued_bytes: usize,
    /// Messages that a restart found without an attempt, or a hand-over.
    pub(crate) recovered_count: usize,
    /// Those of them that were rejected to make room.
    pub(crate) recovered_shed: usize,
    pub(crate) hosts: BTreeMap<HostId, HostRecord>,
    /// Hosts that left the list and are not yet forgotten.
    pub(crate) removed_hosts: Vec<HostId>,
    pub(crate) routes: BTreeMap<RouteKey, Route>,
    /// Calls in flight by number.
    pub(crate) calls: BTreeMap<u64, Call>,
    /// Number of the latest call.
    pub(crate) latest_call: u64,
    /// Ordering keys with queued messages, or with an attempt that may still be running.
    pub(crate) ordered_keys: BTreeMap<u64, OrderedKey>,
    /// Mean duration of the calls of each class in microseconds, at a route whose relative latency is 1.
    pub(crate) class_latency: Vec<f64>,
    /// Discovery's list is watched, and need not be polled.
    pub(crate) is_subscribed: bool,
    /// The list of hosts is still to be confirmed, and no call starts.
    pub(crate) hosts_unconfirmed: bool,
    /// When discovery is polled next, while it is not watched.
    pub(crate) poll_at: Micros,
    /// Pause after the next failure of discovery.
    pub(crate) poll_backoff: Micros,
    /// When the latest timer is due.
    pub(crate) timer_at: Option<Micros>,
    /// When the process ends.
    pub(crate) shutdown_at: Micros,
}

impl DeliveryPolicy {
    /// A relay with an empty queue, for which tenants make no difference.
    #[must_use]
    pub fn new(settings: Settings, seed: u64) -> Self {
        DeliveryPolicy::with_scheduler(settings, seed, Box::new(NoTenants))
    }

    /// A relay with an empty queue, shared among tenants.
    pub fn with_scheduler(
        settings: Settings,
        seed: u64,
        scheduler: Box<dyn TenantScheduler>,
    ) -> Self {
        DeliveryPolicy {
            scheduler,
            replicas: settings.replicas as f64,
            random: RandomFractions::new(seed),
            now: 0,
            queue: BTreeMap::new(),
            queued_bytes: 0,
            recovered_count: 0,
            recovered_shed: 0,
            hosts: BTreeMap::new(),
            removed_hosts: Vec::new(),
            routes: BTreeMap::new(),
            calls: BTreeMap::new(),
            latest_call: 0,
            ordered_keys: BTreeMap::new(),
            class_latency: settings.classes.iter().map(initial_latency).collect(),
            is_subscribed: !settings.polls_discovery,
            hosts_unconfirmed: false,
            poll_at: 0,
            poll_backoff: MIN_POLL_BACKOFF,
            timer_at: None,
            shutdown_at: Micros::MAX,
            settings,
        }
    }

    /// Takes over settings. What is known of a class holds on while the class stays the same.
    pub(crate) fn change_settings(&mut self, settings: Settings) {
        let old = std::mem::replace(&mut self.settings, settings);
        self.class_latency.resize(self.settings.classes.len(), 0.0);
        for (index, class) in self.settings.classes.iter().enumerate() {
            if old.classes.get(index) != Some(class) {
                self.class_latency[index] = initial_latency(class);
            }
        }
    }

    /// What tenants have in the relay, and have used of their rates.
    pub fn scheduler(&mut self) -> &mut dyn TenantScheduler {
        &mut *self.scheduler
    }
}
