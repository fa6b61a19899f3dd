//! The state machine that joins the decisions: events in, actions out.

use std::collections::{BTreeMap, BTreeSet};

use crate::scheduler::{NoTenants, TenantScheduler};
use crate::state::{Call, HostRecord, OrderedKey, QueuedMessage, Rng, Route, RouteKey};
use crate::tuning::SECOND;
use crate::types::{
    Action, Class, DestinationId, Event, HostEntry, HostId, HostState, Message, MessageId, Micros, Settings,
    WeightSource,
};

/// The decisions of one relay.
pub struct DeliveryPolicy {
    pub(crate) set: Settings,
    /// Who comes before whom among tenants.
    pub(crate) scheduler: Box<dyn TenantScheduler>,
    pub(crate) siblings: f64,
    pub(crate) dice: Rng,
    pub(crate) now: Micros,
    pub(crate) held: BTreeMap<MessageId, QueuedMessage>,
    /// Bytes that are held.
    pub(crate) bytes: usize,
    /// How many a restart found untried, and how many of them made room for others.
    pub(crate) found: (usize, usize),
    pub(crate) hosts: BTreeMap<HostId, HostRecord>,
    /// Hosts that are gone and not yet forgotten.
    pub(crate) leaving: Vec<HostId>,
    pub(crate) routes: BTreeMap<RouteKey, Route>,
    pub(crate) calls: BTreeMap<u64, Call>,
    pub(crate) next_call: u64,
    pub(crate) keys: BTreeMap<u64, OrderedKey>,
    /// Mean length of a class's calls at a route of usual pace.
    pub(crate) class_usual: Vec<f64>,
    pub(crate) subscribed: bool,
    /// The list is still to be confirmed.
    pub(crate) doubted: bool,
    pub(crate) ask_at: Micros,
    pub(crate) ask_rest: Micros,
    pub(crate) armed: Option<Micros>,
    /// When the process ends.
    pub(crate) stops_at: Micros,
}
impl DeliveryPolicy {
    /// A relay with nothing in hand, for which tenants make no difference.
    pub fn new(set: Settings, seed: u64) -> Self {
        DeliveryPolicy::with_scheduler(set, seed, Box::new(NoTenants))
    }

    /// A relay with nothing in hand, shared among tenants.
    pub fn with_scheduler(set: Settings, seed: u64, scheduler: Box<dyn TenantScheduler>) -> Self {
        DeliveryPolicy {
            scheduler,
            siblings: set.replicas as f64,
            dice: Rng(seed),
            now: 0,
            held: BTreeMap::new(),
            bytes: 0,
            found: (0, 0),
            hosts: BTreeMap::new(),
            leaving: Vec::new(),
            routes: BTreeMap::new(),
            calls: BTreeMap::new(),
            next_call: 0,
            keys: BTreeMap::new(),
            class_usual: set.classes.iter().map(|c| c.latency_objective as f64 / 6.0).collect(),
            subscribed: !set.polls_discovery,
            doubted: false,
            ask_at: 0,
            ask_rest: SECOND / 2,
            armed: None,
            stops_at: Micros::MAX,
            set,
        }
    }

    /// What tenants have in the relay, and have used of their rates.
    pub fn scheduler(&mut self) -> &mut dyn TenantScheduler {
        &mut *self.scheduler
    }

    /// Takes the events of one round and says what is to be done.
    pub fn handle(&mut self, now: Micros, events: impl IntoIterator<Item = Event>, out: &mut Vec<Action>) {
        self.now = now;
        for event in events {
            match event {
                Event::HostsUpdated { is_full, cached, entries } => self.list(is_full, cached, entries),
                Event::DiscoveryFailed => self.list_failed(),
                Event::HostsUnconfirmed(doubted) => self.doubted = doubted,
                Event::MessageReceived(message) => self.at_the_door(message, out),
                Event::MessageRestored { message, attempts } => self.restored(message, &attempts),
                Event::MessageResent { message, attempts } => self.again(message, &attempts),
                Event::MessageAdopted { message, attempts, out } => self.adopted(message, &attempts, out),
                Event::OutageRestored(outage) => self.remembered(outage),
                Event::SettingsChanged(set) => self.retune(*set),
                Event::ShuttingDown { at } => self.stops_at = at,
                Event::ResponseStarted { id } => {
                    self.held.get_mut(&id).into_iter().for_each(|h| h.started = true)
                }
                Event::AttemptEnded(ended) => self.ended(ended),
                Event::MessageWithdrawn(id) => self.close(id),
                Event::TenantChanged(tenant, terms) => self.scheduler.update_tenant(now, tenant, terms),
                Event::TimerFired(token) => self.armed = self.armed.filter(|at| *at != token),
                Event::ProbeEnded { host, outcome, elapsed, load_report } => {
                    self.report(host, &load_report);
                    if let Some(route) = self.route_of(host) {
                        self.judge(route, host, outcome, elapsed, false, None);
                    }
                }
                Event::PeerMessage { .. } => {}
            }
        }
        self.overdue();
        self.deadlines(out);
        self.dispatch(out);
        self.make_room(0, out);
        self.free_slots(out);
        if !self.subscribed && self.ask_at <= now {
            out.push(Action::Subscribe(true));
            self.ask_at = now + (self.set.rules.max_poll_interval / 2).max(SECOND);
        }
        self.arm(out);
    }

    pub(crate) fn retune(&mut self, set: Settings) {
        let old = std::mem::replace(&mut self.set, set);
        self.class_usual.resize(self.set.classes.len(), 0.0);
        for (at, class) in self.set.classes.iter().enumerate() {
            if old.classes.get(at) != Some(class) {
                self.class_usual[at] = class.latency_objective as f64 / 6.0;
            }
        }
    }

    pub(crate) fn class(&self, message: &Message) -> &Class {
        &self.set.classes[usize::from(message.class).min(self.set.classes.len() - 1)]
    }

    /// Takes over the list or what changed of it; a host that is gone is forgotten once nothing is out there,
    /// its route once no outage, wait or rest of it binds.
    pub(crate) fn list(&mut self, whole: bool, cached: bool, mut entries: Vec<HostEntry>) {
        if whole {
            let named: BTreeSet<HostId> = entries.iter().map(|entry| entry.host).collect();
            let left = self.hosts.values().map(|h| h.entry).filter(|e| !named.contains(&e.host));
            entries.extend(left.map(|e| HostEntry { state: HostState::Removed, ..e }).collect::<Vec<_>>());
        }
        for entry in entries {
            if let Some(route) = self.route_of(entry.host).and_then(|key| self.routes.get_mut(&key)) {
                route.hosts.retain(|host| *host != entry.host);
            }
            let fresh = HostRecord { entry, run: 0, avoid_until: 0, in_flight: 0 };
            self.hosts.entry(entry.host).and_modify(|h| h.entry = entry).or_insert(fresh);
            let Some(key) = self.route_of(entry.host).filter(|_| entry.state != HostState::Draining) else {
                continue;
            };
            if entry.state == HostState::Removed {
                self.leaving.push(entry.host);
                continue;
            }
            let route = self.routes.entry(key).or_insert_with(Route::fresh);
            route.hosts.push(entry.host);
            route.hosts.sort_unstable();
            if self.set.weight_source != WeightSource::Absent {
                Self::tell(route, f64::from(entry.weight), 1.0, self.siblings);
            }
        }
        for id in std::mem::take(&mut self.leaving) {
            let Some(host) = self.hosts.get(&id).filter(|h| h.entry.state == HostState::Removed) else {
                continue;
            };
            let key = self.route_of(id);
            let route = key.and_then(|key| self.routes.get(&key));
            if host.in_flight > 0 || route.is_some_and(|r| r.hosts.is_empty() && r.binds(self.now)) {
                self.leaving.push(id);
                continue;
            }
            if let Some(key) = key.filter(|_| route.is_some_and(|r| r.hosts.is_empty())) {
                self.routes.remove(&key);
            }
            self.hosts.remove(&id);
        }
        if !cached {
            (self.subscribed, self.ask_rest) = (true, SECOND / 2);
        }
    }

    pub(crate) fn list_failed(&mut self) {
        (self.subscribed, self.ask_at) = (false, self.now + self.ask_rest);
        self.ask_rest = (self.ask_rest * 2).min((self.set.rules.max_poll_interval / 4).max(SECOND / 2));
    }

    /// One timer, for the next moment at which something can change by itself.
    pub(crate) fn arm(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        let mut wake = if self.subscribed { Micros::MAX } else { self.ask_at };
        let mut destinations: Vec<DestinationId> = Vec::new();
        for held in self.held.values().filter(|h| !h.over && !h.started) {
            wake = wake.min(held.message.deadline.saturating_sub(2 * self.set.tick));
            if !held.is_out() {
                destinations.push(held.message.destination);
                let turn =
                    held.message.ordering_key.and_then(|key| self.keys.get(&key)).map_or(0, |t| t.rest_until);
                let later = [held.not_before, turn].into_iter().filter(|at| *at > now);
                wake = later.fold(wake, Micros::min);
            }
        }
        wake = self.calls.values().filter(|c| !c.overdue).fold(wake, |wake, call| wake.min(call.overdue_at));
        destinations.sort_unstable();
        destinations.dedup();
        for key in destinations.into_iter().flat_map(|d| self.routes_to(d)).collect::<Vec<_>>() {
            let pressing = self.routes.get(&key).is_some_and(|route| route.pressing > 0.0);
            wake = wake.min(self.opening(key, pressing).err().unwrap_or(now + SECOND / 2));
        }
        let wake = wake.max(now + self.set.tick.max(1));
        if wake < Micros::MAX && self.armed.is_none_or(|at| at > wake || at <= now) {
            self.armed = Some(wake);
            out.push(Action::SetTimer { delay: wake - now, token: wake });
        }
    }
}
