//! Every decision; its types, events and actions are in `interface.rs`.
//!
//! Each route (a destination, or one host of it where kinds are apart) has a fuse over a rolling error
//! tally, as the README tells. In order: constants, message, route, tally, dispatcher, timers, guards.

use std::collections::{BTreeMap, BTreeSet};

use crate::scheduler::{Candidate, Capacity, NoTenants, TenantScheduler};
use crate::state::*;
use crate::types::*;

const SECOND: Micros = 1_000_000;
/// Span of the rolling error tally; the article's ten seconds.
const TALLY_WINDOW: Micros = 10 * SECOND;
/// Calls of a tally that a process which takes over is told of; all of a busy one's would be too much to write.
const TALLY_TOLD: usize = 64;
/// Calls in the tally before its share of errors counts; the article's 20 never fills at a call a second.
const VOLUME_FLOOR: usize = 4;
/// Share of errors that trips; the article's 50 percent.
const ERROR_SHARE: f64 = 0.5;
/// So many failures with no success between trip below the floor, where they are a fair share of the last calls.
const RUN_TRIP: u32 = 2;
/// So many are an outage, whatever their share: where one call in ten fails by itself, one run in a thousand.
const RUN_OUTAGE: u32 = 3;
/// Rest before a trial: short against deadlines of many seconds, long against one call.
const SLEEP_WINDOW: Micros = 3 * SECOND / 2;
/// A host that failed is avoided so long where another serves.
const AVOID: Micros = 3 * SECOND;
/// Trust in a reported limit: so many times its distance from what was told, as a share of that.
const TRUST: f64 = 2.0;
/// Bounds of the first gap after a refusal; between them it is that of an even part of the limit.
const FIRST_GAP: (f64, f64) = (0.25, 2.0);
/// A refusal makes the gap so many times longer ...
const GAP_GROWS: Micros = 3;
/// ... and a success so many times shorter: with both, one call in three is refused where many crowd.
const GAP_SHRINKS: Micros = 2;
/// The longest rest after refusals.
const REST_MOST: Micros = 20 * SECOND;
/// A refusal with less than this share of the allowance left is due to the limit; reports are noisy.
const ALLOWANCE_SPENT: f64 = 0.1;
/// With more than this share left, it is not.
const ALLOWANCE_UNUSED: f64 = 0.9;
/// Refusals alone for this long, a trial after the sleep window among them, mean shut, not throttled.
const SHUT_AFTER: Micros = 13 * SECOND / 10;
/// A call out this many times its usual length counts as a pending error: slow calls are seldom so slow.
const OVERDUE: f64 = 5.0;
/// An attempt that may be repeated is given up after this many times its usual length, at the earliest.
const PATIENCE: f64 = 10.0;
/// A call that may be repeated is started if it ends before the process even at this many times its usual length.
const CUT_SHORT: f64 = 2.0;
/// Cut of cap and pace by a refusal; gentle, as a second one soon cuts again.
const CAP_CUT: f64 = 0.8;
/// No gap need be longer than so many times that of an even part: all together then ask for 0.7 of the limit.
const GAP_EVEN: f64 = 1.4;
/// What a relay asks for of its even part of a limit where nothing is left of the allowance, where little is, at most.
const PART: (f64, f64, f64) = (0.7, 0.95, 4.0);
/// Less than this share of the allowance is little.
const ALLOWANCE_LITTLE: f64 = 0.3;
/// Rise of the part with each report, for all of the allowance above that.
const PART_RISE: f64 = 0.1;
/// So many relays are few: their trials alone harm nobody.
const FEW: f64 = 6.0;
/// So many relays at most are taken to be busy with one destination at a time.
const SHARERS: f64 = 3.0;
/// Rise of the pace with each success, as a share of the fair part.
const PACE_RISE: f64 = 0.06;
/// Lowest limit that is believed, in calls a second, so that a route is never given up.
const PACE_LEAST: f64 = 0.3;
/// Highest limit that is believed.
const PACE_MOST: f64 = 1e6;
/// Fading of the best rate seen, with each success.
const BEST_FADE: f64 = 0.99;
/// Calls a route may have out before it has shown more.
const FIRST_CAP: f64 = 4.0;
/// The most share of slots for one healthy route; the design's three quarters.
const HEALTHY_SHARE: f64 = 0.75;
/// The share of slots for all doubtful routes together; half would let a hang take the other half's work.
const DOUBTFUL_SHARE: f64 = 0.25;
/// Share of failures in the tally above which unsafe messages wait.
const UNSAFE_DOUBT: f64 = 0.2;
/// Unsafe messages wait no longer once this share of their whole time is left.
const UNSAFE_RESERVE: f64 = 0.25;
/// One part in so many of the hold is kept free for what comes in one round.
const HOLD_ROOM: usize = 10;
/// Between two good calls no further apart nothing was away, whatever was refused or failed between them.
const GLITCH: Micros = 3 * SECOND / 2;
/// An outage counts as at least so long, also what is left of it: most relays see its start late.
const OUTAGE_LEAST: Micros = 5 * SECOND;
/// An outage fails most calls: of so many last ones, this share at least, and two.
const OUTAGE_LAST: usize = 12;
const OUTAGE_SHARE: f64 = 0.4;
/// How far ahead the regret of waiting is judged.
const HORIZON: Micros = 3 * SECOND;
/// Weight of a new sample in the running means.
const SMOOTH: f64 = 0.15;

impl Route {
    fn fresh() -> Self {
        let (pace, cap, usual) = (f64::INFINITY, FIRST_CAP, 1.0);
        Route { harmless: true, part: PART.2, pace, tokens: 1.0, cap, usual, ..Route::default() }
    }

    fn count(&self, verdict: Verdict) -> usize {
        self.tally.iter().filter(|(_, v)| *v == verdict).count()
    }

    fn push(&mut self, now: Micros, verdict: Verdict) {
        self.tally.push_back((now, verdict));
        while self.tally.front().is_some_and(|(at, _)| at + TALLY_WINDOW < now) {
            self.tally.pop_front();
        }
    }

    /// Guards a healthy destination with a few broken answers: only where most late calls failed was there an outage.
    fn failing(&self) -> bool {
        let last = self.tally.iter().rev().take(OUTAGE_LAST);
        let (failed, all) = last.fold((0, 0), |(failed, all), (_, verdict)| {
            (failed + usize::from(*verdict == Verdict::Failed), all + 1)
        });
        failed > 1 && failed as f64 >= OUTAGE_SHARE * f64::from(all)
    }

    /// Guards a destination that few calls met while it was away: one that fails on behind a fuse that it has
    /// tripped, or fails several calls with no success between, had an outage, whatever came before.
    fn out_of_order(&self) -> bool {
        self.failing() || self.fuse != Fuse::Closed || self.run >= RUN_OUTAGE
    }

    fn own_rate(&self, now: Micros) -> f64 {
        let good = self.tally.iter().filter(|(at, v)| at + 3 * SECOND >= now && *v == Verdict::Good).count();
        good as f64 / 3.0
    }

    /// What this relay may surely take, in calls a second: its part of what is told, or its own best yet.
    fn fair(&self, siblings: f64) -> f64 {
        let part = |told: f64| (told / siblings.min(SHARERS)).max(self.best.min(told / 2.0));
        self.told.map_or(self.best, part).max(PACE_LEAST)
    }

    /// Calls a second that this relay may ask for where the destination tells of its limit.
    fn ration(&self, siblings: f64) -> f64 {
        match (self.told, self.left) {
            (Some(told), Some(_)) => told / siblings * self.part,
            _ => f64::INFINITY,
        }
    }

    /// A report told what is left of the allowance. Guards a limit that refused calls use up too against a fleet in which
    /// no relay sees much of it: asked for more than it gives, it serves none. What is left is old news to a thin sender,
    /// so the part falls at once and to a fixed share, and rises slowly.
    fn reported(&mut self, left: f64) {
        self.left = Some(left);
        self.part = match left {
            _ if left < ALLOWANCE_SPENT => PART.0,
            _ if left < ALLOWANCE_LITTLE => self.part.min(PART.1),
            _ => (self.part.max(PART.1) * (1.0 + PART_RISE * (left - ALLOWANCE_LITTLE))).min(PART.2),
        };
    }

    /// The gap, in seconds, at which all relays together ask for what is told.
    fn even_gap(&self, siblings: f64) -> f64 {
        siblings / self.told.unwrap_or(siblings)
    }

    /// The rest before the next trial, by `chance` of 0 to 1. Guards a destination that comes back against the trials of a
    /// large fleet, which alone are more than it takes while cold: all together they ask for no more than that, and those
    /// that failed together don't come together. It hurts where few of the relays have anything for it.
    fn sleep_window(&self, siblings: f64, rules: &PlatformRules, chance: f64) -> Micros {
        if siblings <= FEW {
            return (SLEEP_WINDOW as f64 * (0.9 + 0.2 * chance)) as Micros;
        }
        let cold = (rules.overload_factor * rules.initial_capacity_share).max(0.1);
        let even = self.even_gap(siblings) / cold * SECOND as f64;
        (even.clamp(SLEEP_WINDOW as f64, OUTAGE_LEAST as f64) * (0.5 + chance)) as Micros
    }

    fn doubtful(&self) -> bool {
        self.run > 0 || self.fuse != Fuse::Closed
    }

    fn risky(&self) -> bool {
        let failed = self.count(Verdict::Failed) as f64;
        !self.harmless && (self.doubtful() || failed > 1.0 && failed > UNSAFE_DOUBT * self.tally.len() as f64)
    }

    fn trip(&mut self, until: Micros) {
        self.fuse = Fuse::Open(until);
    }

    /// Whether the route must be remembered: an outage is, for a minute after the last call.
    fn binds(&self, now: Micros) -> bool {
        let told = self.witness && self.tally.back().is_some_and(|(at, _)| at + 6 * TALLY_WINDOW > now);
        self.in_flight > 0 || told || self.wait_until.max(self.rest_until) > now
    }

    /// `chance` of 0 to 1 sets when its turn comes: all who saw the outage would call at once otherwise.
    fn saw_outage(&mut self, since: Micros, chance: f64) {
        if !self.witness {
            (self.down, self.tokens) = (since, self.tokens.min(chance));
        }
        (self.witness, self.back) = (true, None);
    }
}

/// The decisions of one relay.
pub struct DeliveryPolicy {
    set: Settings,
    /// Who comes before whom among tenants.
    scheduler: Box<dyn TenantScheduler>,
    siblings: f64,
    dice: Rng,
    now: Micros,
    held: BTreeMap<MessageId, QueuedMessage>,
    /// Bytes that are held.
    bytes: usize,
    /// How many a restart found untried, and how many of them made room for others.
    found: (usize, usize),
    hosts: BTreeMap<HostId, HostRecord>,
    /// Hosts that are gone and not yet forgotten.
    leaving: Vec<HostId>,
    routes: BTreeMap<RouteKey, Route>,
    calls: BTreeMap<u64, Call>,
    next_call: u64,
    keys: BTreeMap<u64, OrderedKey>,
    /// Mean length of a class's calls at a route of usual pace.
    class_usual: Vec<f64>,
    subscribed: bool,
    /// The list is still to be confirmed.
    doubted: bool,
    ask_at: Micros,
    ask_rest: Micros,
    armed: Option<Micros>,
    /// When the process ends.
    stops_at: Micros,
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

    /// How the relay stands towards a destination, as `name=value` for the log.
    pub fn describe_destination(&self, destination: DestinationId) -> String {
        let routes = self.routes_to(destination);
        let text = routes.iter().filter_map(|key| self.routes.get(key)).map(|r| {
            let fuse = ["closed", "half", "open"][usize::from(r.fuse != Fuse::Closed) + usize::from(matches!(r.fuse, Fuse::Open(_)))];
            let rest = r.rest_until.max(r.wait_until).saturating_sub(self.now) / 1000;
            let (pace, gap, out) = (r.pace, r.gap / 1000, r.in_flight);
            let (told, left) = (r.told.unwrap_or(0.0), r.left.unwrap_or(-1.0));
            format!("{fuse} pace={pace:.2} gap={gap} rest={rest} out={out} cap={:.1} told={told:.1} left={left:.2} cold={}", r.cap, u8::from(r.witness))
        });
        text.collect::<Vec<_>>().join(" | ")
    }

    /// Listed hosts that get nothing now: they drain, failed a moment ago, were told a wait, or their fuse is not whole.
    pub fn ejected_hosts(&self, now: Micros) -> usize {
        let route = |id| self.route_of(id).and_then(|key| self.routes.get(&key));
        let shut = |id| route(id).is_some_and(|r| r.fuse != Fuse::Closed || r.wait_until > now);
        let listed = self.hosts.iter().filter(|(_, h)| h.entry.state != HostState::Removed);
        let rests = |h: &HostRecord| h.entry.state == HostState::Draining || h.avoid_until > now;
        listed.filter(|(id, h)| rests(h) || shut(**id)).count()
    }

    /// From 0.9 to 1.1, so that relays which saw the same do not act in step.
    fn jitter(&mut self) -> f64 {
        0.9 + 0.2 * self.dice.roll()
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

    fn retune(&mut self, set: Settings) {
        let old = std::mem::replace(&mut self.set, set);
        self.class_usual.resize(self.set.classes.len(), 0.0);
        for (at, class) in self.set.classes.iter().enumerate() {
            if old.classes.get(at) != Some(class) {
                self.class_usual[at] = class.latency_objective as f64 / 6.0;
            }
        }
    }

    fn class(&self, message: &Message) -> &Class {
        &self.set.classes[usize::from(message.class).min(self.set.classes.len() - 1)]
    }

    fn kind(&self, entry: &HostEntry) -> DestinationKind {
        self.set
            .kinds
            .get(usize::from(entry.kind))
            .copied()
            .unwrap_or(DestinationKind { has_host_routes: false, max_messages_per_call: 1 })
    }

    fn route_of(&self, host: HostId) -> Option<RouteKey> {
        let entry = &self.hosts.get(&host)?.entry;
        Some((entry.destination, self.kind(entry).has_host_routes.then_some(host)))
    }

    fn routes_to(&self, destination: DestinationId) -> Vec<RouteKey> {
        let range = (destination, None)..=(destination, Some(HostId::MAX));
        self.routes.range(range).map(|(key, _)| *key).collect()
    }

    /// Takes over the list or what changed of it; a host that is gone is forgotten once nothing is out there,
    /// its route once no outage, wait or rest of it binds.
    fn list(&mut self, whole: bool, cached: bool, mut entries: Vec<HostEntry>) {
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

    fn list_failed(&mut self) {
        (self.subscribed, self.ask_at) = (false, self.now + self.ask_rest);
        self.ask_rest = (self.ask_rest * 2).min((self.set.rules.max_poll_interval / 4).max(SECOND / 2));
    }

    /// A limit for all relays was told: the first sets the pace, later ones move it by `trust`.
    fn tell(route: &mut Route, limit: f64, trust: f64, siblings: f64) {
        // Guards against reports that are wildly wrong; it hurts a destination slower than the least pace.
        if (PACE_LEAST..=PACE_MOST).contains(&limit) {
            if route.told.is_none() {
                route.pace = route.pace.min(limit / siblings.min(SHARERS));
            }
            let told = route.told.unwrap_or(limit);
            route.told = Some(told + trust * (limit.clamp(told / 2.0, told * 2.0) - told));
        }
    }

    fn report(&mut self, host: HostId, values: &[f32]) {
        let at =
            |field| self.set.report_fields.iter().position(|f| *f == field).and_then(|at| values.get(at));
        let (left, limit) = (at(ReportField::AllowanceLeft), at(ReportField::LimitPerSecond));
        let (left, limit) = (left.map(|v| f64::from(*v)), limit.map_or(0.0, |v| f64::from(*v)));
        if let Some(route) = self.route_of(host).and_then(|key| self.routes.get_mut(&key)) {
            // A limit that is far from what was told has changed; noise is small.
            let told = route.told.unwrap_or(limit).max(PACE_LEAST);
            let trust = (TRUST * (limit - told).abs() / told).clamp(SMOOTH, 1.0);
            Self::tell(route, limit, trust, self.siblings);
            match left.filter(|_| limit > 0.0) {
                Some(left) => route.reported(left),
                None => route.left = None,
            }
        }
    }

    /// Takes a message on if its tenant may have one more and there is room, or its tenant holds no more than its part.
    fn at_the_door(&mut self, message: Message, out: &mut Vec<Action>) {
        if let Err(after) = self.scheduler.admit(self.now, message.tenant) {
            let after = if after > 0 { after } else { self.advice() };
            return out.push(Action::Reject { id: message.id, retry_after: after });
        }
        let most = self.hold(0);
        let full = |relay: &DeliveryPolicy| {
            relay.held.len() >= most.messages || relay.bytes + message.size > most.bytes
        };
        if full(self) && !self.scheduler.exceeds_share(message.tenant, most) {
            self.make_room(message.size, out);
        }
        // Guards the hold where nothing in it may be refused to make room.
        if full(self) {
            let after = self.advice();
            return out.push(Action::Reject { id: message.id, retry_after: after });
        }
        self.arrived(message);
    }

    fn arrived(&mut self, message: Message) {
        let class = self.class(&message);
        let stretch = message.expected_work.map_or(0.0, |w| w as f64 * class.objective_stretch) as Micros;
        let aim_at =
            (message.deadline.saturating_sub(class.time_to_live) + class.latency_objective + stretch)
                .min(message.deadline);
        let (worth, in_order, attempts) = (class.value, class.is_ordered, Vec::new());
        self.scheduler.message_queued(self.now, &message);
        self.bytes += message.size;
        if let (true, Some(key)) = (in_order, message.ordering_key) {
            self.keys.entry(key).or_default().line.push_back(message.id);
        }
        let (not_before, over, started, owed) = (0, false, false, false);
        let held = QueuedMessage { message, aim_at, attempts, not_before, over, started, worth, owed };
        self.held.insert(message.id, held);
    }

    /// Takes a message on with what its attempts from before allow.
    fn again(&mut self, message: Message, attempts: &[PastAttempt]) {
        self.arrived(message);
        let Some(held) = self.held.get_mut(&message.id) else { return };
        held.attempts.extend(attempts.iter().map(|past| {
            let fate = if past.may_have_executed { AttemptState::MayHaveRun } else { AttemptState::NeverRan };
            Attempt { sent: past.sent_at, zone: past.zone, call: 0, fate, called_off: false, booked: 0 }
        }));
    }

    /// Takes back a message from before a restart.
    fn restored(&mut self, message: Message, attempts: &[PastAttempt]) {
        self.again(message, attempts);
        self.held.get_mut(&message.id).into_iter().for_each(|held| held.owed = attempts.is_empty());
        self.found.0 += usize::from(attempts.is_empty());
        // A call that the end of a process cut off may run on at its host.
        let cut = message.ordering_key.filter(|_| attempts.last().is_some_and(|past| past.may_have_executed));
        let turn = cut.and_then(|key| self.keys.get_mut(&key));
        turn.into_iter().for_each(|turn| turn.rest_until = self.now + self.set.rules.ordering_delay);
        // Guards against a destination that returned while this relay was down, of whose outage the last process saw
        // too little: those that it owes something are taken for cold, or what was held would come at once.
        let (now, destination) = (self.now, message.destination);
        for key in self.routes_to(destination) {
            let Some(route) = self.routes.get_mut(&key).filter(|route| !route.witness) else { continue };
            route.saw_outage(now.saturating_sub(OUTAGE_LEAST), 1.0);
            route.back = Some(now);
        }
    }

    /// For the process that takes over; calls that are out are told with their messages.
    pub fn handover_snapshot(&self) -> HandoverSnapshot {
        let turns = self.keys.iter().map(|(key, turn)| (*key, turn.rest_until)).collect();
        let mut routes = self.routes.clone();
        routes.values_mut().for_each(|r| drop(r.tally.drain(..r.tally.len().saturating_sub(TALLY_TOLD))));
        HandoverSnapshot { routes, ordered_keys: turns, usual: self.class_usual.clone() }
    }

    /// Takes over from a process with the same list and numbers of hosts and classes.
    pub fn restore_handover(&mut self, heritage: HandoverSnapshot) {
        for (key, known) in heritage.routes {
            let Some(route) = self.routes.get_mut(&key) else { continue };
            // The trial, if it is out still, comes with its message.
            let fuse = if known.fuse == Fuse::HalfOpen { Fuse::Open(0) } else { known.fuse };
            *route = Route { hosts: std::mem::take(&mut route.hosts), in_flight: 0, fuse, ..known };
        }
        let turn = |(key, rest_until)| (key, OrderedKey { rest_until, ..OrderedKey::default() });
        self.keys.extend(heritage.ordered_keys.into_iter().map(turn));
        self.class_usual.iter_mut().zip(heritage.usual).for_each(|(mine, known)| *mine = known);
    }

    /// Takes over a message, of which a call may be out; that holds its slot until its end is told.
    fn adopted(&mut self, message: Message, attempts: &[PastAttempt], out: Option<HostId>) {
        self.again(message, attempts);
        let (Some(host), id) = (out, message.id) else { return };
        self.next_call += 1;
        let call = self.next_call;
        let last = self.held.get_mut(&id).and_then(|held| held.attempts.last_mut());
        last.into_iter().for_each(|last| (last.call, last.fate) = (call, AttemptState::Out));
        let Some(route) = self.route_of(host) else { return };
        let Some(known) = self.routes.get(&route) else { return };
        let overdue_at = self.now + self.overdue_after(&self.held[&id], known);
        self.calls.insert(call, Call { route, host, overdue_at, overdue: false, left: 1 });
        self.hosts.get_mut(&host).into_iter().for_each(|host| host.in_flight += 1);
        if let Some(route) = self.routes.get_mut(&route) {
            route.in_flight += 1;
            route.fuse = if route.fuse == Fuse::Closed { Fuse::Closed } else { Fuse::HalfOpen };
        }
    }

    /// The outages that bind this relay still; they must outlast its process.
    pub fn outages(&self) -> impl Iterator<Item = Outage> + '_ {
        let told = self.routes.iter().filter(|(_, route)| route.witness);
        told.map(|(key, route)| Outage {
            destination: key.0,
            started_at: route.down,
            recovered_at: route.back,
        })
    }

    /// Guards a returning destination against a relay that a restart made forget its outage: its fuse
    /// would be whole, and its backlog would come at once. A destination that is still down gets a trial.
    fn remembered(&mut self, outage: Outage) {
        let (now, chance) = (self.now, self.dice.roll());
        for key in self.routes_to(outage.destination) {
            let Some(route) = self.routes.get_mut(&key) else { continue };
            route.saw_outage(outage.started_at.min(now), chance);
            route.back = outage.recovered_at.map(|back| back.min(now));
            if route.back.is_none() {
                // Most of a large fleet may have started just now.
                let rest = route.sleep_window(self.siblings, &self.set.rules, chance);
                route.trip(if self.siblings > FEW { now + rest } else { now });
            }
        }
    }

    /// How long a refused client is told to stay away.
    fn advice(&mut self) -> Micros {
        (self.set.max_retry_after as f64 * 0.75 * self.jitter()) as Micros
    }

    /// No answer is owed any more; the message stays only while attempts are out.
    fn close(&mut self, id: MessageId) {
        let Some(held) = self.held.get_mut(&id) else { return };
        held.over = true;
        if held.is_out() {
            return;
        }
        if let Some(turn) = held.message.ordering_key.and_then(|key| self.keys.get_mut(&key)) {
            turn.line.retain(|other| *other != id);
            if self.keys.len() > 2 * self.held.len() + self.set.max_queued {
                self.keys.retain(|_, turn| !turn.line.is_empty() || turn.rest_until > self.now);
            }
        }
        let Some(held) = self.held.remove(&id) else { return };
        self.scheduler.message_removed(&held.message);
        self.bytes -= held.message.size;
    }

    /// The final answer when there will be no delivery: a refusal only where nothing may have run.
    fn end(&mut self, id: MessageId, after: Micros, out: &mut Vec<Action>) {
        let Some(held) = self.held.get(&id).filter(|h| !h.over) else { return };
        let harmless = held.tainted().is_none();
        out.push(if harmless { Action::Reject { id, retry_after: after } } else { Action::Fail(id) });
        self.close(id);
    }

    fn ended(&mut self, end: AttemptEnd) {
        let now = self.now;
        let Some(held) = self.held.get_mut(&end.id) else { return };
        held.over |= end.is_final;
        let tries = held.attempts.len() as u64;
        let attempt = held.attempts.get_mut(usize::from(end.attempt)).filter(|a| a.fate == AttemptState::Out);
        let Some(attempt) = attempt else { return };
        attempt.fate =
            if end.outcome.may_have_executed() { AttemptState::MayHaveRun } else { AttemptState::NeverRan };
        let call_id = attempt.call;
        self.scheduler.call_ended(&held.message, attempt.booked, end.elapsed);
        held.attempts.truncate(tries as usize - usize::from(end.outcome == AttemptOutcome::NotStarted));
        held.owed &= matches!(
            end.outcome,
            AttemptOutcome::ConnectFailed | AttemptOutcome::Obsolete | AttemptOutcome::NotStarted
        );
        // Guards against a class that always fails somewhere, and against calls that can't be made, following at once.
        held.not_before = match end.outcome {
            AttemptOutcome::Error | AttemptOutcome::Reset | AttemptOutcome::Obsolete => {
                now + SECOND / 5 * tries
            }
            _ => now,
        };
        let (order_key, over) = (held.message.ordering_key, held.over);
        let class = usize::from(held.message.class).min(self.class_usual.len() - 1);
        let may_run_on = matches!(
            end.outcome,
            AttemptOutcome::Timeout
                | AttemptOutcome::Reset
                | AttemptOutcome::ConnectionLost
                | AttemptOutcome::Cancelled
        );
        if let (true, Some(turn)) = (may_run_on, order_key.and_then(|k| self.keys.get_mut(&k))) {
            turn.rest_until = turn.rest_until.max(now + self.set.rules.ordering_delay);
        }
        if over {
            self.close(end.id);
        }
        let chance = self.dice.roll();
        let Some(call) = self.calls.get_mut(&call_id) else { return };
        call.left -= 1;
        let (key, overdue, last) = (call.route, call.overdue, call.left == 0);
        if let Some(route) = self.routes.get_mut(&key) {
            route.in_flight -= usize::from(last);
            // A told wait binds from any message of a call, whatever became of the others.
            if let AttemptOutcome::Rejected { retry_after: wait @ 1.. } = end.outcome {
                route.wait_until = route.wait_until.max(now.saturating_add(wait + self.set.tick));
                if wait > SHUT_AFTER {
                    route.saw_outage(now, chance);
                }
            }
        }
        if !last {
            return;
        }
        self.calls.remove(&call_id);
        if let Some(host) = self.hosts.get_mut(&end.host) {
            host.in_flight = host.in_flight.saturating_sub(1);
        }
        self.report(end.host, &end.load_report);
        self.judge(key, end.host, end.outcome, end.elapsed, overdue, Some(class));
    }

    /// Books an outcome; `counted` tells that the call was booked as a pending error already.
    fn judge(
        &mut self, key: RouteKey, host: HostId, outcome: AttemptOutcome, elapsed: Micros, counted: bool,
        class: Option<usize>,
    ) {
        let (now, chance) = (self.now, self.dice.roll());
        match outcome {
            AttemptOutcome::Delivered => {
                // The pending error was a false alarm.
                if let (true, Some(route)) = (counted, self.routes.get_mut(&key)) {
                    let last = route.tally.iter().rposition(|(_, v)| *v == Verdict::Failed);
                    last.and_then(|at| route.tally.remove(at));
                }
                self.succeeded(key, host, elapsed, chance, class);
            }
            AttemptOutcome::Rejected { .. } => self.refused(key),
            // Guards healthy hosts: a kept connection that breaks is no news of its host; the next call asks on a new one.
            AttemptOutcome::ConnectionLost
            | AttemptOutcome::Cancelled
            | AttemptOutcome::Obsolete
            | AttemptOutcome::NotStarted
                if !counted =>
            {
                if let Some(route) = self.routes.get_mut(&key).filter(|r| r.fuse == Fuse::HalfOpen) {
                    route.trip(now);
                }
            }
            _ if counted => {
                // Told at last that the calls failed: only now is the outage witnessed.
                let route = self.routes.get_mut(&key).filter(|r| !r.witness && r.out_of_order());
                route.into_iter().for_each(|route| route.saw_outage(now, chance));
            }
            _ => self.failed(key, host, outcome == AttemptOutcome::ConnectFailed, true),
        }
    }

    fn succeeded(&mut self, key: RouteKey, host: HostId, elapsed: Micros, chance: f64, class: Option<usize>) {
        let now = self.now;
        if let Some(host) = self.hosts.get_mut(&host) {
            (host.run, host.avoid_until) = (0, 0);
        }
        let Some(route) = self.routes.get_mut(&key) else { return };
        // Guards a destination whose outage few calls met, as the relay rested after a refusal or waited for two
        // that hung: what was away from then until now, as far as this relay can tell, is back from an outage.
        let shut = route.refused_run > 0 && !route.limited && now >= route.shut_since + SHUT_AFTER;
        let hung = route.run > 1 && now >= route.failing_since + SHUT_AFTER;
        if shut || hung {
            route.saw_outage(if shut { route.shut_since } else { route.failing_since }, chance);
        }
        let good = route.tally.iter().rfind(|(_, v)| *v == Verdict::Good).map_or(0, |(at, _)| *at);
        route.push(now, Verdict::Good);
        (route.run, route.refused_run) = (0, 0);
        let longest = (route.even_gap(self.siblings) * GAP_EVEN * SECOND as f64) as Micros;
        route.gap = (route.gap / GAP_SHRINKS).min(longest);
        route.rest_until = now + route.gap;
        if route.fuse != Fuse::Closed {
            // Rest fills no bucket: what has waited must not come at once.
            (route.fuse, route.tokens) = (Fuse::Closed, route.tokens.min(0.0));
        }
        // Guards against the good end of a call from before the outage: the destination would count as warm too soon.
        let since = now.saturating_sub(elapsed);
        if route.witness && route.back.is_none() && since >= route.down && now >= route.wait_until {
            // Guards a busy destination whose queue was full for a moment against the ramp of one that was away.
            route.witness = route.down < good || now >= good + GLITCH;
            route.back = Some(now).filter(|_| route.witness);
        }
        route.cap += 1.0 / route.cap;
        let doubt = if self.set.weight_source == WeightSource::Rough { 1.5 } else { 1.1 };
        let ceiling = route.told.map_or(f64::INFINITY, |told| told * doubt);
        route.pace = (route.pace + PACE_RISE * route.fair(self.siblings).max(1.0)).min(ceiling);
        route.best = (route.best * BEST_FADE).max(route.own_rate(now));
        if let Some(mean) = class.and_then(|c| self.class_usual.get_mut(c)) {
            let ratio = elapsed as f64 / *mean;
            *mean += SMOOTH * 0.3 * (elapsed as f64 / route.usual - *mean);
            route.usual = (route.usual + SMOOTH * (ratio - route.usual)).clamp(0.2, 50.0);
        }
    }

    fn refused(&mut self, key: RouteKey) {
        let (now, chance, siblings) = (self.now, self.dice.roll(), self.siblings);
        let Some(route) = self.routes.get_mut(&key) else { return };
        route.push(now, Verdict::Refused);
        route.refused_run += 1;
        let limited = route.left.is_some_and(|left| left < ALLOWANCE_SPENT);
        // Where this relay's even part of what is told is in use, the limit is the likelier cause.
        let busy = route.own_rate(now) * siblings.min(SHARERS) * 2.0 > route.told.unwrap_or(0.0);
        route.limited = limited || busy;
        route.shut_since = if route.refused_run == 1 || limited { now } else { route.shut_since };
        // Refused with the allowance hardly touched, a destination is shut.
        let shut = route.left.is_some_and(|left| left > ALLOWANCE_UNUSED);
        if limited {
            // The part says how soon; not all who were refused may come again at once.
            route.tokens = route.tokens.min(chance);
            route.rest_until = route.rest_until.max(route.wait_until);
        } else if route.rest_until <= now {
            // Of calls that were out together the first refusal counts.
            let (fair, even) = (route.fair(siblings), route.even_gap(siblings));
            let first = (even.clamp(FIRST_GAP.0, FIRST_GAP.1) * SECOND as f64) as Micros;
            let most = ((even * GAP_EVEN * SECOND as f64) as Micros).clamp(SLEEP_WINDOW, REST_MOST);
            route.gap = (route.gap * GAP_GROWS).clamp(first, most.max(first));
            let from = route.pace.min(route.own_rate(now).max(fair));
            route.pace = (from * CAP_CUT).max(fair / GAP_EVEN);
            route.cap = (route.cap * CAP_CUT).max(1.0);
            // Not all who were told the same end of a wait may come at once: within a gap, by chance.
            let told = route.wait_until > now;
            let share = if told { chance } else { 0.9 + 0.2 * chance };
            route.rest_until = now.max(route.wait_until) + (route.gap as f64 * share) as Micros;
        }
        // Refusals alone for long are a shut destination, an outage; a few are its limit.
        let alone = route.refused_run > RUN_TRIP || route.fuse != Fuse::Closed;
        if shut || alone && now >= route.shut_since + SHUT_AFTER {
            route.saw_outage(route.shut_since, chance);
        }
        if alone {
            route.harmless = true;
            route.trip(now + route.sleep_window(siblings, &self.set.rules, chance));
        }
    }

    /// A call failed, or is out so long that it counts as failed.
    fn failed(&mut self, key: RouteKey, host: HostId, harmless: bool, told: bool) {
        let (now, chance, siblings) = (self.now, self.dice.roll(), self.siblings);
        if let Some(host) = self.hosts.get_mut(&host) {
            host.run += 1;
            host.avoid_until = now + (AVOID as f64 * (0.9 + 0.2 * chance)) as Micros;
        }
        let Some(route) = self.routes.get_mut(&key) else { return };
        // An outage of one endpoint must not close the rest: while one is in good standing, use that.
        let elsewhere = route.hosts.iter().any(|h| self.hosts.get(h).is_some_and(|h| h.avoid_until <= now));
        route.push(now, Verdict::Failed);
        route.run += 1;
        route.failing_since = if route.run == 1 { now } else { route.failing_since };
        route.harmless = harmless;
        let failures = route.count(Verdict::Failed);
        if told && route.out_of_order() {
            route.saw_outage(now, chance);
        }
        let share = (failures + route.count(Verdict::Refused)) as f64 / route.tally.len() as f64;
        // Where many calls are good, two failures in a row are no rarity and no outage.
        let row = route.run >= RUN_TRIP && route.failing();
        let trips = row || route.tally.len() >= VOLUME_FLOOR && share > ERROR_SHARE;
        if route.fuse != Fuse::Closed || trips && !elsewhere {
            route.trip(now + route.sleep_window(siblings, &self.set.rules, chance));
        }
    }

    /// Guards against hangs and silence: what is out far too long is an error before its time-out, any stall.
    fn overdue(&mut self) {
        let now = self.now;
        let late = self.calls.values_mut().filter(|c| !c.overdue && c.overdue_at <= now);
        let late: Vec<_> = late.map(|c| (std::mem::replace(&mut c.overdue, true), c.route, c.host)).collect();
        for (_, route, host) in late {
            self.failed(route, host, false, false);
        }
    }

    /// Ends in time what is not delivered, and at once what may not be sent any more.
    fn deadlines(&mut self, out: &mut Vec<Action>) {
        let limit = self.now + 2 * self.set.tick;
        let done = self.held.iter().filter(|(_, h)| {
            let spent = || !self.may_send(h) || self.scheduler.abandons_messages(h.message.tenant);
            !h.over && !h.started && (h.message.deadline <= limit || !h.is_out() && spent())
        });
        for (id, due) in done.map(|(id, held)| (*id, held.message.deadline)).collect::<Vec<_>>() {
            // One that ends before its time has spent its attempts: its client may come again.
            let after = if due <= limit { 0 } else { self.advice() };
            self.end(id, after, out);
        }
    }

    /// Whether the effect rule and the attempt limit allow another attempt.
    fn may_send(&self, held: &QueuedMessage) -> bool {
        let allowed = match (self.class(&held.message).idempotency, held.tainted()) {
            (_, None) | (Idempotency::Idempotent, _) => true,
            (Idempotency::NonIdempotent, _) => false,
            (Idempotency::Keyed { window, .. }, Some(first)) => {
                self.now + 2 * self.set.tick < first.sent + window
            }
        };
        allowed && held.attempts.len() < self.set.max_attempts && self.set.max_calls > 0
    }

    fn worth_at(&self, held: &QueuedMessage, at: Micros) -> f64 {
        let (class, due) = (self.class(&held.message), held.message.deadline);
        if at >= due {
            return 0.0;
        }
        let late = at.saturating_sub(held.aim_at) as f64;
        let share = match self.set.decay {
            ValueDecay::Linear => 1.0 - (1.0 - class.late_value) * late / (due - held.aim_at).max(1) as f64,
            ValueDecay::Halving => {
                0.5f64.powf(late / class.latency_objective.max(1) as f64).max(class.late_value)
            }
        };
        held.worth * share
    }

    /// What a route back from an outage that this relay saw may get from it, in calls a second. Guards against pushing a
    /// cold destination over, whatever laid it low: its capacity grows from the told least share to all of it, and each
    /// relay takes its part. It hurts when the failures were no outage, for as long as a destination may be cold.
    fn ramp(&self, route: &Route) -> f64 {
        if !route.witness {
            return f64::INFINITY;
        }
        let rules = &self.set.rules;
        // All relays together hold no more than came while it was down: a message's part is one in all that.
        let down = route.back.unwrap_or(self.now).saturating_sub(route.down).max(OUTAGE_LEAST);
        let queue = route.waiting as f64 * SECOND as f64 / down as f64;
        let all = route.told.unwrap_or(route.best * self.siblings).max(1.0);
        let part = (all / self.siblings).max(queue.min(all));
        let warm = route.back.map_or(0.0, |b| (self.now - b) as f64 / rules.warm_up.max(1) as f64).min(1.0);
        let share = rules.initial_capacity_share + (1.0 - rules.initial_capacity_share) * warm;
        rules.overload_factor * part * share
    }

    /// Fills the route's bucket and gives the rate at which it fills.
    fn refill(&mut self, key: RouteKey) -> f64 {
        let (now, cold) = (self.now, self.set.rules.warm_up);
        let ramp = self.routes.get(&key).map_or(0.0, |route| self.ramp(route));
        let Some(route) = self.routes.get_mut(&key) else { return 0.0 };
        if route.back.is_some_and(|back| back + cold <= now) {
            (route.witness, route.back) = (false, None);
        }
        // A wait fills no bucket: all who were told of its end would come at once.
        let passed = (now - route.tokens_at.max(route.wait_until.min(now))) as f64 / SECOND as f64;
        let rate = route.pace.min(ramp).min(route.ration(self.siblings)).max(route.pressing);
        let depth = if ramp.is_finite() { 1.0 } else { (rate * 0.6).max(1.0) };
        route.tokens = if rate.is_finite() { (route.tokens + rate * passed).min(depth) } else { depth };
        route.tokens_at = now;
        rate
    }

    /// Whether the route takes a call now; if not, when to look again.
    fn opening(&mut self, key: RouteKey, pressing: bool) -> Result<(), Micros> {
        let now = self.now;
        let rate = self.refill(key);
        let slots = self.set.max_calls as f64;
        let Some(route) = self.routes.get(&key) else { return Err(Micros::MAX) };
        // Guards what a restart found untried against its end behind a fuse or a rest; a told wait binds it.
        let rest = if pressing { route.wait_until } else { route.wait_until.max(route.rest_until) };
        if rest > now {
            return Err(rest);
        }
        let (share, less) = if route.doubtful() { (DOUBTFUL_SHARE, 0.0) } else { (HEALTHY_SHARE, 0.01) };
        let most = (slots * share - less).floor();
        let in_flight = route.in_flight as f64;
        let barred = match route.fuse {
            Fuse::Open(until) if until > now && !pressing => return Err(until),
            Fuse::Open(_) => in_flight >= most.max(2.0),
            Fuse::HalfOpen => !pressing || in_flight >= most.max(2.0),
            Fuse::Closed => in_flight >= most.min(route.cap).max(1.0),
        };
        if barred {
            return Err(Micros::MAX);
        }
        if route.tokens < 1.0 {
            return Err((((1.0 - route.tokens) / rate * SECOND as f64) as Micros).saturating_add(now + 1));
        }
        Ok(())
    }

    /// Offers the waiting messages, worst regret first, to the routes that take calls.
    fn dispatch(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        let mut waiting: BTreeMap<DestinationId, Vec<MessageId>> = BTreeMap::new();
        for (id, held) in &self.held {
            if !self.doubted && held.waits() && held.not_before <= now && self.in_turn(held) {
                waiting.entry(held.message.destination).or_default().push(*id);
            }
        }
        let mut offers: Vec<Candidate> = Vec::new();
        for (destination, ids) in &waiting {
            let pressing = self.pressing(ids);
            for key in self.routes_to(*destination) {
                let Some(route) = self.routes.get_mut(&key) else { continue };
                (route.waiting, route.pressing) = (ids.len(), pressing.min(route.told.unwrap_or(pressing)));
            }
            if !self.routes_to(*destination).into_iter().any(|key| self.opening(key, pressing > 0.0).is_ok())
            {
                continue;
            }
            for id in ids {
                let held = &self.held[id];
                let soon = self.worth_at(held, now);
                let left = held.aim_at.saturating_sub(now) as f64 / SECOND as f64;
                let regret = soon - self.worth_at(held, now + HORIZON) + 0.02 * soon / (1.0 + left);
                let (tenant, destination) = (held.message.tenant, *destination);
                let usual = self.routes_to(destination).first().and_then(|key| self.routes.get(key));
                let cost = usual.map_or(0, |route| self.usual(held, route) as Micros);
                offers.push(Candidate {
                    id: *id,
                    tenant,
                    destination,
                    cost_of_delay: regret,
                    expected_duration: cost,
                });
            }
        }
        offers.sort_by(|a, b| b.cost_of_delay.total_cmp(&a.cost_of_delay).then(a.id.cmp(&b.id)));
        offers.sort_by_key(|offer| self.held[&offer.id].first_by());
        self.scheduler.order_candidates(now, &mut offers);
        let (keep, mut stuck, mut short) = (self.hold(HOLD_ROOM), self.stuck(), false);
        for i in 0..offers.len() {
            short = self.calls.len() >= self.set.max_calls;
            if short {
                break;
            }
            let Candidate { mut id, tenant, destination, .. } = offers[i];
            // Guards those who hold less than their part against a hold full of calls that are out.
            let full = stuck.messages >= keep.messages || stuck.bytes >= keep.bytes;
            if full && self.scheduler.must_yield(now, tenant, keep) {
                continue;
            }
            let Some((key, host)) = self.choose(id) else { continue };
            // The trial risks its message: of those that may go there, take the one that risks least.
            if self.routes.get(&key).is_some_and(|r| r.fuse != Fuse::Closed && !r.harmless) {
                let mates = offers.iter().filter(|o| o.destination == destination);
                let mut mates: Vec<_> = mates.map(|o| o.id).collect();
                mates.sort_by_key(|mate| (self.held[mate].first_by(), self.risk(*mate)));
                id = mates.into_iter().find(|m| self.choose(*m) == Some((key, host))).unwrap_or(id);
                let unsafe_only = self.set.can_probe && self.risk(id) > 2;
                if let Some(route) = self.routes.get_mut(&key).filter(|_| unsafe_only) {
                    (route.tokens, route.fuse) = (route.tokens - 1.0, Fuse::HalfOpen);
                    out.push(Action::Probe(host));
                    continue;
                }
            }
            self.send(id, key, host, None, out);
            let bytes = stuck.bytes + self.held.get(&id).map_or(0, |held| held.message.size);
            stuck = Capacity { messages: stuck.messages + 1, bytes };
            let per_call = self.hosts.get(&host).map_or(1, |h| self.kind(&h.entry).max_messages_per_call);
            let mates = offers[i..].iter().filter(|o| o.destination == destination);
            let mut mates = mates.filter(|o| self.held.get(&o.id).is_some_and(|h| self.fits(h, host)));
            let joining: Vec<_> = (1..per_call).map_while(|_| mates.next()).map(|o| o.id).collect();
            for mate in joining {
                self.send(mate, key, host, Some(self.next_call), out);
            }
        }
        self.scheduler.round_ended(short);
    }

    /// Calls a second by which what a restart found untried among these is tried before its time is up; a relay may stall.
    fn pressing(&self, ids: &[MessageId]) -> f64 {
        let untried = ids.iter().map(|id| &self.held[id]).filter(|held| held.presses());
        let left =
            untried.map(|h| h.message.deadline.saturating_sub(self.now + SECOND / 4).max(self.set.tick));
        let (count, sum) = left.fold((0.0, 0.0), |(n, sum), left| (n + 1.0, sum + left as f64));
        count * count / f64::max(sum, 1.0) * SECOND as f64
    }

    /// What is held and may not be refused.
    fn stuck(&self) -> Capacity {
        let stuck = self.held.values().filter(|held| !held.waits() || held.tainted().is_some());
        let (places, bytes) = stuck.fold((0, 0), |(n, sum), held| (n + 1, sum + held.message.size));
        Capacity { messages: places, bytes }
    }

    fn risk(&self, id: MessageId) -> u8 {
        let Some(held) = self.held.get(&id) else { return u8::MAX };
        match self.class(&held.message).idempotency {
            Idempotency::Idempotent => 0,
            Idempotency::Keyed { .. } => 1 + u8::from(held.tainted().is_none()),
            Idempotency::NonIdempotent => 3,
        }
    }

    fn in_turn(&self, held: &QueuedMessage) -> bool {
        let turn = held.message.ordering_key.filter(|_| self.class(&held.message).is_ordered);
        let Some(turn) = turn.and_then(|key| self.keys.get(&key)) else { return true };
        let own_rest = held.attempts.iter().any(|a| a.fate == AttemptState::MayHaveRun);
        turn.line.front() == Some(&held.message.id) && (turn.rest_until <= self.now || own_rest)
    }

    /// Whether the message waits and may go to this host: listed ready, and the key's memory reaches it.
    fn fits(&self, held: &QueuedMessage, host: HostId) -> bool {
        let Some(host) = self.hosts.get(&host) else { return false };
        let zone_kept = match (self.class(&held.message).idempotency, held.tainted()) {
            (Idempotency::Keyed { zone_only: true, .. }, Some(first)) => first.zone == host.entry.zone,
            _ => true,
        };
        let theirs = self.scheduler.may_start_call(held.message.tenant);
        host.entry.state == HostState::Ready && zone_kept && theirs && held.waits() && self.may_send(held)
    }

    fn choose(&mut self, id: MessageId) -> Option<(RouteKey, HostId)> {
        let now = self.now;
        let (destination, presses) = self.held.get(&id).map(|h| (h.message.destination, h.presses()))?;
        let mut best: Option<(f64, RouteKey, HostId)> = None;
        for key in self.routes_to(destination) {
            if self.opening(key, presses).is_err() {
                continue;
            }
            let (held, route) = (self.held.get(&id)?, self.routes.get(&key)?);
            let class = self.class(&held.message);
            // Guards against calls cut off by the end of the process, which count as run: only repeatable ones risk that.
            let needs = match class.idempotency {
                Idempotency::NonIdempotent => self.overdue_after(held, route),
                _ => (CUT_SHORT * self.usual(held, route)) as Micros,
            };
            if now.saturating_add(needs) > self.stops_at {
                continue;
            }
            // Guards unsafe messages against a route where calls fail after they may have run: they
            // wait, while time is left. Hurts when the doubt is false and nothing else goes there.
            let reserve = (class.time_to_live as f64 * UNSAFE_RESERVE) as Micros;
            if class.idempotency == Idempotency::NonIdempotent
                && route.risky()
                && held.message.deadline > now + reserve
            {
                continue;
            }
            for host_id in route.hosts.iter().filter(|h| self.fits(held, **h)) {
                let host = &self.hosts[host_id];
                let toll = self.set.zone_fees.get(usize::from(host.entry.zone)).filter(|_| key.1.is_some());
                let away = if host.entry.zone == self.set.zone { 0.0 } else { self.set.cross_zone_fee };
                let cost = if host.avoid_until > now { 100.0 } else { 0.0 }
                    + f64::from(host.run.min(5)) * 5.0
                    + host.in_flight as f64 * route.usual
                    + (away + toll.copied().unwrap_or(0.0)) * 10.0;
                if best.is_none_or(|(least, _, _)| cost < least) {
                    best = Some((cost, key, *host_id));
                }
            }
        }
        best.map(|(_, key, host)| (key, host))
    }

    /// Usual length of a call with this message at the route.
    fn usual(&self, held: &QueuedMessage, route: &Route) -> f64 {
        let class = usize::from(held.message.class);
        self.class_usual.get(class).unwrap_or(&self.class_usual[0]) * route.usual
    }

    fn overdue_after(&self, held: &QueuedMessage, route: &Route) -> Micros {
        (OVERDUE * self.usual(held, route)) as Micros + SECOND / 4
    }

    fn send(&mut self, id: MessageId, key: RouteKey, to: HostId, join: Option<u64>, out: &mut Vec<Action>) {
        let now = self.now;
        let (Some(held), Some(route)) = (self.held.get(&id), self.routes.get(&key)) else { return };
        let class = self.class(&held.message);
        let usual = self.usual(held, route);
        let overdue_at = now + self.overdue_after(held, route);
        let left = held.message.deadline.saturating_sub(now);
        let patience = PATIENCE * usual * (held.attempts.len() as f64 + 1.0);
        let patience = (patience.max(class.latency_objective as f64) as Micros).max(left / 3).min(left);
        let timeout = match (class.idempotency, held.tainted()) {
            (Idempotency::NonIdempotent, _) => left,
            // Leaves room for another attempt while the key is remembered.
            (Idempotency::Keyed { window, .. }, None) if window < left => patience.min(window / 2),
            _ => patience,
        };
        if join.is_none() {
            self.next_call += 1;
            let call = Call { route: key, host: to, overdue_at, overdue: false, left: 0 };
            self.calls.insert(self.next_call, call);
            if let Some(route) = self.routes.get_mut(&key) {
                (route.in_flight, route.tokens) = (route.in_flight + 1, route.tokens - 1.0);
                route.fuse = if route.fuse == Fuse::Closed { Fuse::Closed } else { Fuse::HalfOpen };
            }
        }
        let call = join.unwrap_or(self.next_call);
        self.calls.get_mut(&call).into_iter().for_each(|call| call.left += 1);
        let (Some(host), Some(held)) = (self.hosts.get_mut(&to), self.held.get_mut(&id)) else { return };
        host.in_flight += usize::from(join.is_none());
        let (zone, fate) = (host.entry.zone, AttemptState::Out);
        let booked = if join.is_none() { usual as Micros } else { 0 };
        self.scheduler.call_started(&held.message, booked);
        held.attempts.push(Attempt { sent: now, zone, call, fate, called_off: false, booked });
        out.push(Action::Send { id, host: to, timeout: timeout.max(1) });
    }

    /// One timer, for the next moment at which something can change by itself.
    fn arm(&mut self, out: &mut Vec<Action>) {
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

    /// What the hold has room for, but for one part in so many; all if none.
    fn hold(&self, spared: usize) -> Capacity {
        let less = |most: usize| most - most.checked_div(spared).map_or(0, |part| part.max(1).min(most));
        let bytes = if self.set.max_queued_bytes == 0 { usize::MAX } else { less(self.set.max_queued_bytes) };
        Capacity { messages: less(self.set.max_queued), bytes }
    }

    /// Guards against a hold filled by messages for dead or swamped destinations: the door would turn away good ones.
    /// Refuses those worth least when their turn may come; a client that comes again is a wider hold than ours. Of what a
    /// restart found untried a fourth at most, those with the least time left: most is tried also after two restarts.
    fn make_room(&mut self, wanted: usize, out: &mut Vec<Action>) {
        let keep = self.hold(HOLD_ROOM);
        let enough =
            |relay: &DeliveryPolicy| relay.held.len() <= keep.messages && relay.bytes + wanted <= keep.bytes;
        if enough(self) {
            return;
        }
        let mut ahead: BTreeMap<DestinationId, (f64, f64)> = BTreeMap::new();
        let mut ranked: Vec<(bool, f64, MessageId)> = Vec::new();
        for (id, held) in self.held.iter().filter(|(_, held)| held.waits()) {
            let destination = held.message.destination;
            let line = ahead.entry(destination).or_insert_with(|| self.outlook(destination));
            line.0 += line.1;
            if held.tainted().is_none() {
                let turn = self.now + (line.0.min(60.0) * SECOND as f64) as Micros;
                let worth =
                    if held.untried() { held.message.deadline as f64 } else { self.worth_at(held, turn) };
                ranked.push((held.untried(), worth, *id));
            }
        }
        ranked.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(b.2.cmp(&a.2)));
        for (untried, _, id) in ranked {
            if enough(self) {
                break;
            }
            let kept = untried && 4 * (self.found.1 + 1) > self.found.0;
            if !kept && self.scheduler.exceeds_share(self.held[&id].message.tenant, keep) {
                self.found.1 += usize::from(untried);
                let after = self.advice();
                self.end(id, after, out);
            }
        }
    }

    /// Seconds until a destination takes calls again, and between one call and the next.
    fn outlook(&self, destination: DestinationId) -> (f64, f64) {
        let (mut pace, mut shut) = (0.0, true);
        for route in self.routes_to(destination).iter().filter_map(|key| self.routes.get(key)) {
            pace += route.pace.min(self.ramp(route)).min(SECOND as f64 / route.gap.max(SECOND / 20) as f64);
            shut &= route.fuse != Fuse::Closed;
        }
        (if shut { OUTAGE_LEAST as f64 / SECOND as f64 } else { 0.0 }, 1.0 / pace.max(0.1))
    }

    /// Guards against calls that hang, run away or crawl holding the slots that others could use: once few are free, the
    /// overdue one that is out longest is called off. It might still be answered, so only while slots are short.
    fn free_slots(&mut self, out: &mut Vec<Action>) {
        let slots = self.set.max_calls;
        if !self.set.can_cancel || self.calls.len() + 1 < slots {
            return;
        }
        let last = |held: &QueuedMessage| {
            held.attempts.last().map_or((0, false), |a| {
                let overdue = self.calls.get(&a.call).is_some_and(|c| c.overdue);
                (a.sent, overdue && a.fate == AttemptState::Out && !a.called_off)
            })
        };
        let hung = self.held.iter().filter(|(_, held)| last(held).1);
        let Some(id) = hung.min_by_key(|(_, held)| last(held).0).map(|(id, _)| *id) else { return };
        let Some(held) = self.held.get_mut(&id) else { return };
        let attempt = (held.attempts.len() - 1) as u8;
        out.push(Action::Cancel { id, attempt });
        held.attempts[usize::from(attempt)].called_off = true;
    }
}
