//! The state of the policy. This module makes no decisions; the decision modules add methods to [`DeliveryPolicy`].

use std::collections::BTreeMap;

use crate::call::Call;
use crate::host_record::HostRecord;
use crate::queued_message::{OrderedKey, QueuedMessage};
use crate::random::RandomFractions;
use crate::route::Route;
use crate::scheduler::{Capacity, NoTenants, TenantScheduler};
use crate::tuning::{initial_latency, MIN_POLL_BACKOFF};
use crate::types::{HostId, MessageId, Micros, RouteKey, Settings};

/// The delivery decisions of one relay. It does no I/O and reads no clock: the caller passes events and the time.
pub struct DeliveryPolicy {
    pub(crate) settings: Settings,
    /// Shares the queue, the slots and the rate among tenants.
    pub(crate) scheduler: Box<dyn TenantScheduler>,
    /// Number of replicas of the relay, including this one.
    pub(crate) replicas: f64,
    pub(crate) random: RandomFractions,
    /// Time of the current round.
    pub(crate) now: Micros,
    /// Messages that wait or are in flight.
    pub(crate) queue: BTreeMap<MessageId, QueuedMessage>,
    /// Number and bytes of the messages in `queue` that count against its capacity.
    pub(crate) queue_size: Capacity,
    /// Number of messages without an attempt that a restart or a hand-over recovered.
    pub(crate) recovered_count: usize,
    /// How many of the recovered messages were rejected to free capacity.
    pub(crate) recovered_shed: usize,
    pub(crate) hosts: BTreeMap<HostId, HostRecord>,
    /// Hosts that are no longer listed but still known, as calls or state of their routes must be kept.
    pub(crate) removed_hosts: Vec<HostId>,
    pub(crate) routes: BTreeMap<RouteKey, Route>,
    /// Calls in flight, by number.
    pub(crate) calls: BTreeMap<u64, Call>,
    /// Number of the last started call.
    pub(crate) latest_call: u64,
    /// Ordering keys with queued messages, or with an attempt that may still be running.
    pub(crate) ordered_keys: BTreeMap<u64, OrderedKey>,
    /// Mean duration of the calls of each class in microseconds, on a route with a relative latency of 1.
    pub(crate) class_latency: Vec<f64>,
    /// Discovery's host list is watched and is not polled.
    pub(crate) is_subscribed: bool,
    /// The host list is not confirmed yet; until then no call starts.
    pub(crate) hosts_unconfirmed: bool,
    /// Time of the next poll of discovery while its list is not watched.
    pub(crate) poll_at: Micros,
    /// Pause after the next failure of discovery.
    pub(crate) poll_backoff: Micros,
    /// When the last timer that was set is due; `None` once it has fired.
    pub(crate) timer_at: Option<Micros>,
    /// When the process ends; `Micros::MAX` until a shutdown is announced.
    pub(crate) shutdown_at: Micros,
}

impl DeliveryPolicy {
    /// Creates the policy of a relay with an empty queue that does not distinguish tenants.
    #[must_use]
    pub fn new(settings: Settings, seed: u64) -> Self {
        DeliveryPolicy::with_scheduler(settings, seed, Box::new(NoTenants))
    }

    /// Creates the policy of a relay with an empty queue that `scheduler` shares among tenants.
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
            queue_size: Capacity::default(),
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

    /// Replaces the settings. The learned latency of a class is kept if the class is unchanged.
    pub(crate) fn change_settings(&mut self, settings: Settings) {
        let old = std::mem::replace(&mut self.settings, settings);
        self.class_latency.resize(self.settings.classes.len(), 0.0);
        for (index, class) in self.settings.classes.iter().enumerate() {
            if old.classes.get(index) != Some(class) {
                self.class_latency[index] = initial_latency(class);
            }
        }
    }

    /// Access to the tenant scheduler, which reports the usage and the rate limiters of tenants.
    pub fn scheduler(&mut self) -> &mut dyn TenantScheduler {
        &mut *self.scheduler
    }
}
