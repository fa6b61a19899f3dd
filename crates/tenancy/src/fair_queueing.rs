//! Who comes before whom: weighted shares of the hold, of the slots and of each destination's calls.
//!
//! Slots and destinations are shared by start-time fair queueing (Goyal, Vin, Cheng 1996): each tenant has a tag
//! that grows by what it takes, divided by its weight; virtual time follows the least tag of those who ask.
//! How far a tag lies ahead of virtual time is what its tenant has had beyond its share while others asked. A
//! tenant that is less than a quantum ahead is not held back, so that within a quantum worth decides. Where
//! nobody is left waiting virtual time catches up with all tags: what was borrowed from nobody is not owed.

use std::collections::{BTreeMap, BTreeSet};

use policy::scheduler::{Candidate, Capacity, TenantScheduler, TenantUsage};
use policy::types::{DestinationId, Message, Micros, Settings, TenantId, TenantState, TenantTerms};

use crate::meter::Meter;

const SECOND: f64 = 1_000_000.0;
/// How far ahead of its share of the slots a tenant may be before others go first, in seconds.
const SLOTS_QUANTUM: f64 = 0.25;
/// The same at a destination, in calls of all tenants there.
const CALLS_QUANTUM: f64 = 4.0;
/// A tenant that had all to itself is behind the others for so many quanta at most.
const MOST_LEAD: f64 = 16.0;
/// Destinations whose tags are kept at most; the one that was used longest ago is forgotten first, which forgives what
/// tenants are ahead there.
pub const MAX_DESTINATION_CLOCKS: usize = 4096;
/// A tenant counts among those who share the hold for so long after it had a message taken on, and its time is
/// told anew once half of it has passed.
const RECENT: Micros = 10_000_000;
/// Weight of a whole share in the settings, where shares are fractions.
const WHOLE: f64 = 1000.0;
/// The largest weight.
const MOST_WEIGHT: f64 = 1e6;

/// A tenant as the scheduler knows it.
struct Account {
    terms: TenantTerms,
    /// To be forgotten once it holds nothing.
    gone: bool,
    meter: Meter,
    held: usize,
    bytes: usize,
    in_flight: usize,
    /// It had a message taken on so recently that it counts until then, whatever it holds.
    counts_until: Micros,
}

impl Account {
    /// Whether it is among those who share the hold.
    fn counts(&self) -> bool {
        self.counts_until > 0
    }
}

/// The tags of the tenants that use one resource.
#[derive(Default)]
struct Clock {
    virtual_time: f64,
    /// Tags ahead of virtual time.
    tags: BTreeMap<TenantId, f64>,
    /// How far ahead a tag may be before another charge.
    most: f64,
    /// Offers of the last round that were not sent.
    left: usize,
    used: Micros,
}

impl Clock {
    fn lead(&self, tenant: TenantId) -> f64 {
        self.tags
            .get(&tenant)
            .map_or(0.0, |tag| tag - self.virtual_time)
    }

    /// Virtual time comes up to the least tag of those who ask.
    fn advance(&mut self, asking: impl Iterator<Item = TenantId>) {
        let least = asking
            .map(|tenant| self.lead(tenant))
            .fold(f64::INFINITY, f64::min);
        self.virtual_time += if least.is_finite() { least } else { 0.0 };
        let now = self.virtual_time;
        self.tags.retain(|_, tag| *tag > now);
    }

    /// A tenant takes something; what it was ahead by before counts up to a bound.
    fn charge(&mut self, tenant: TenantId, by: f64) {
        let lead = self.lead(tenant).min(self.most) + by;
        if lead > 0.0 {
            self.tags.insert(tenant, self.virtual_time + lead);
        } else {
            self.tags.remove(&tenant);
        }
    }

    /// Nobody waits any more.
    fn catch_up(&mut self) {
        (self.virtual_time, self.tags) = (0.0, BTreeMap::new());
    }
}

/// The shares of a relay's tenants.
pub struct FairQueueScheduler {
    accounts: BTreeMap<TenantId, Account>,
    places: f64,
    slots: Clock,
    destinations: BTreeMap<DestinationId, Clock>,
    /// Weights of the tenants that hold something, or did until lately, together.
    holding: u64,
    /// Tenants by when they stop counting if they hold nothing.
    recent: BTreeSet<(Micros, TenantId)>,
    now: Micros,
}

impl FairQueueScheduler {
    /// No tenants yet, for a relay with so many slots.
    #[must_use]
    pub fn new(slots: usize) -> Self {
        FairQueueScheduler {
            accounts: BTreeMap::new(),
            places: slots.max(1) as f64,
            slots: Clock::default(),
            destinations: BTreeMap::new(),
            holding: 0,
            recent: BTreeSet::new(),
            now: 0,
        }
    }

    /// The tenants of the settings, each with its share as its weight.
    #[must_use]
    pub fn from_settings(set: &Settings) -> Self {
        let mut shares = FairQueueScheduler::new(set.max_calls);
        for (number, tenant) in (0..).zip(&set.tenants) {
            let weight = (tenant.share * WHOLE).clamp(1.0, MOST_WEIGHT) as u32;
            shares.update_tenant(
                0,
                number,
                Some(TenantTerms {
                    weight,
                    ..TenantTerms::default()
                }),
            );
        }
        shares
    }

    /// Destinations whose tags are kept, [`MAX_DESTINATION_CLOCKS`] at most.
    #[must_use]
    pub fn destinations(&self) -> usize {
        self.destinations.len()
    }

    /// A tenant is gone, and holds nothing.
    fn forget(&mut self, tenant: TenantId) {
        let Some(account) = self.accounts.remove(&tenant) else {
            return;
        };
        if account.counts_until > 0 {
            self.holding -= u64::from(account.terms.weight);
            self.recent.remove(&(account.counts_until, tenant));
        }
    }

    /// Those who hold nothing, and asked last too long ago, share the hold no more.
    fn expire(&mut self, now: Micros) {
        while let Some((until, tenant)) = self
            .recent
            .first()
            .copied()
            .filter(|(until, _)| *until <= now)
        {
            self.recent.pop_first();
            let Some(account) = self.accounts.get_mut(&tenant) else {
                continue;
            };
            if account.held > 0 {
                account.counts_until = now + RECENT;
                self.recent.insert((account.counts_until, tenant));
            } else if account.counts_until == until {
                account.counts_until = 0;
                self.holding -= u64::from(account.terms.weight);
            }
        }
    }

    fn weight(&self, tenant: TenantId) -> f64 {
        self.accounts
            .get(&tenant)
            .map_or(1.0, |account| f64::from(account.terms.weight))
    }

    fn clock(&mut self, destination: DestinationId) -> &mut Clock {
        if self.destinations.len() >= MAX_DESTINATION_CLOCKS
            && !self.destinations.contains_key(&destination)
        {
            let oldest = self
                .destinations
                .iter()
                .min_by_key(|(_, clock)| clock.used)
                .map(|(at, _)| *at);
            oldest.and_then(|at| self.destinations.remove(&at));
        }
        let clock = self.destinations.entry(destination).or_default();
        clock.used = self.now;
        clock
    }
}

impl TenantScheduler for FairQueueScheduler {
    fn update_tenant(&mut self, now: Micros, tenant: TenantId, terms: Option<TenantTerms>) {
        self.now = now;
        let Some(terms) = terms else {
            if let Some(account) = self.accounts.get_mut(&tenant) {
                account.gone = true;
                account.terms.state = TenantState::Terminating;
                if account.held == 0 {
                    self.forget(tenant);
                }
            }
            return;
        };
        let terms = TenantTerms {
            weight: terms.weight.max(1),
            ..terms
        };
        let fresh = Account {
            terms,
            gone: false,
            meter: Meter::default(),
            held: 0,
            bytes: 0,
            in_flight: 0,
            counts_until: 0,
        };
        let account = self.accounts.entry(tenant).or_insert(fresh);
        if account.counts() {
            self.holding = self.holding - u64::from(account.terms.weight) + u64::from(terms.weight);
        }
        if let Some(rate) = terms.rate.filter(|rate| account.terms.rate != Some(*rate)) {
            account.meter.change_rate(now, rate);
        }
        (account.terms, account.gone) = (terms, false);
    }

    fn admit(&self, now: Micros, tenant: TenantId) -> Result<(), Micros> {
        let Some(account) = self.accounts.get(&tenant) else {
            return Ok(());
        };
        let terms = account.terms;
        if terms.state != TenantState::Active || account.held >= terms.max_queued {
            return Err(0);
        }
        terms
            .rate
            .map_or(Ok(()), |rate| account.meter.check(now, rate))
    }

    fn message_queued(&mut self, now: Micros, message: &Message) {
        let Some(account) = self.accounts.get_mut(&message.tenant) else {
            return;
        };
        if let Some(rate) = account.terms.rate {
            account.meter.consume(now, rate);
        }
        if !account.counts() {
            self.holding += u64::from(account.terms.weight);
        }
        account.held += 1;
        if account.counts_until < now + RECENT / 2 {
            self.recent.remove(&(account.counts_until, message.tenant));
            account.counts_until = now + RECENT;
            self.recent.insert((account.counts_until, message.tenant));
        }
        account.bytes += message.size;
    }

    fn message_removed(&mut self, message: &Message) {
        // One that was held before its tenant's terms were told counts for nobody.
        let account = self
            .accounts
            .get_mut(&message.tenant)
            .filter(|account| account.held > 0);
        let Some(account) = account else { return };
        account.held -= 1;
        account.bytes = account.bytes.saturating_sub(message.size);
        if account.held == 0 && account.gone {
            self.forget(message.tenant);
        }
    }

    fn exceeds_share(&self, tenant: TenantId, room: Capacity) -> bool {
        let Some(account) = self.accounts.get(&tenant) else {
            return true;
        };
        let weight = u64::from(account.terms.weight);
        let all = self.holding + if account.counts() { 0 } else { weight };
        let over = |has: usize, most: usize| has as f64 * all as f64 > most as f64 * weight as f64;
        over(account.held, room.messages) || over(account.bytes, room.bytes)
    }

    fn must_yield(&mut self, now: Micros, tenant: TenantId, room: Capacity) -> bool {
        self.expire(now);
        let Some(account) = self.accounts.get(&tenant) else {
            return false;
        };
        let own = if account.counts() {
            u64::from(account.terms.weight)
        } else {
            0
        };
        self.holding > own && self.exceeds_share(tenant, room)
    }

    fn order_candidates(&mut self, now: Micros, offers: &mut Vec<Candidate>) {
        self.now = now;
        offers.retain(|offer| self.may_start_call(offer.tenant));
        if self.accounts.len() < 2 || offers.is_empty() {
            return;
        }
        let mut asking: BTreeMap<DestinationId, BTreeMap<TenantId, f64>> = BTreeMap::new();
        let mut all: BTreeMap<TenantId, f64> = BTreeMap::new();
        for offer in offers.iter() {
            asking
                .entry(offer.destination)
                .or_default()
                .insert(offer.tenant, 0.0);
            all.insert(offer.tenant, 0.0);
        }
        let sum = |tenants: &BTreeMap<TenantId, f64>| {
            tenants.keys().map(|t| self.weight(*t)).sum::<f64>()
        };
        let whole = sum(&all);
        let wholes: BTreeMap<DestinationId, f64> =
            asking.iter().map(|(d, t)| (*d, sum(t))).collect();
        // Seconds of all slots, and calls of a destination, that a tenant has had beyond its share.
        let scale = whole / self.places;
        self.slots.advance(all.keys().copied());
        self.slots.most = MOST_LEAD * SLOTS_QUANTUM / scale;
        all.iter_mut()
            .for_each(|(tenant, lead)| *lead = self.slots.lead(*tenant) * scale);
        for (destination, tenants) in &mut asking {
            let scale = wholes[destination];
            let clock = self.clock(*destination);
            clock.left = 0;
            clock.advance(tenants.keys().copied());
            clock.most = MOST_LEAD * CALLS_QUANTUM / scale;
            tenants
                .iter_mut()
                .for_each(|(tenant, lead)| *lead = clock.lead(*tenant) * scale);
        }
        let mut turns: Vec<(u32, Candidate)> = Vec::with_capacity(offers.len());
        for offer in offers.drain(..) {
            let weight = self.weight(offer.tenant);
            let mut turn = 0.0;
            if let Some(lead) = all.get_mut(&offer.tenant) {
                turn = *lead / SLOTS_QUANTUM;
                *lead += offer.expected_duration as f64 / SECOND / weight * scale;
            }
            let there = asking
                .get_mut(&offer.destination)
                .and_then(|t| t.get_mut(&offer.tenant));
            if let Some(lead) = there {
                turn = turn.max(*lead / CALLS_QUANTUM);
                *lead += wholes[&offer.destination] / weight;
            }
            if let Some(clock) = self.destinations.get_mut(&offer.destination) {
                clock.left += 1;
            }
            turns.push((turn as u32, offer));
        }
        turns.sort_by_key(|(turn, _)| *turn);
        offers.extend(turns.into_iter().map(|(_, offer)| offer));
    }

    fn may_start_call(&self, tenant: TenantId) -> bool {
        self.accounts.get(&tenant).is_none_or(|account| {
            let stands = matches!(
                account.terms.state,
                TenantState::Active | TenantState::Draining
            );
            stands && account.in_flight < account.terms.max_in_flight
        })
    }

    fn call_started(&mut self, message: &Message, cost: Micros) {
        let weight = self.weight(message.tenant);
        if let Some(account) = self.accounts.get_mut(&message.tenant) {
            account.in_flight += 1;
        }
        if self.accounts.len() < 2 {
            return;
        }
        self.slots
            .charge(message.tenant, cost as f64 / SECOND / weight);
        let clock = self.clock(message.destination);
        clock.charge(message.tenant, 1.0 / weight);
        clock.left = clock.left.saturating_sub(1);
    }

    fn call_ended(&mut self, message: &Message, cost: Micros, elapsed: Micros) {
        let weight = self.weight(message.tenant);
        if let Some(account) = self.accounts.get_mut(&message.tenant) {
            account.in_flight = account.in_flight.saturating_sub(1);
        }
        if cost > 0 && self.accounts.len() > 1 {
            self.slots.charge(
                message.tenant,
                (elapsed as f64 - cost as f64) / SECOND / weight,
            );
        }
    }

    fn round_ended(&mut self, short_of_slots: bool) {
        if !short_of_slots {
            self.slots.catch_up();
        }
        let now = self.now;
        for clock in self
            .destinations
            .values_mut()
            .filter(|clock| clock.used == now && clock.left == 0)
        {
            clock.catch_up();
        }
    }

    fn abandons_messages(&self, tenant: TenantId) -> bool {
        self.accounts
            .get(&tenant)
            .is_some_and(|account| account.terms.state == TenantState::Terminating)
    }

    fn usage(&self, tenant: TenantId) -> TenantUsage {
        let account = self.accounts.get(&tenant);
        account.map_or(TenantUsage::default(), |account| TenantUsage {
            queued: account.held,
            in_flight: account.in_flight,
        })
    }

    fn rate_used_until(&self, tenant: TenantId) -> Micros {
        self.accounts
            .get(&tenant)
            .map_or(0, |account| account.meter.full_at())
    }

    fn restore_rate_used_until(&mut self, tenant: TenantId, until: Micros) {
        if let Some(account) = self.accounts.get_mut(&tenant) {
            account.meter.restore(until);
        }
    }
}
