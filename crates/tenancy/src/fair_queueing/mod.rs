//! Fair queueing among tenants: weighted shares of the queue, of the slots and of each destination's calls.
//!
//! Slots and destinations are shared by start-time fair queueing (Goyal, Vin, Cheng 1996). Each tenant has a start tag
//! for each resource, which increases by the tenant's usage divided by its weight. Virtual time follows the least tag
//! of the contending tenants, which are those with candidates. The lead of a tag over virtual time is the usage of its
//! tenant beyond its share while others contended. Within one quantum of lead, the candidates' cost of delay alone
//! decides. If no tenant is left waiting, virtual time catches up with all tags, so that using spare capacity costs
//! nothing later.
//!
//! The queue is shared by the tenants that have queued messages or had a message accepted recently; see
//! `QUEUE_SHARE_RETENTION`.

mod account;
mod virtual_clock;

use std::collections::{BTreeMap, BTreeSet};

use policy::scheduler::{Candidate, Capacity, TenantScheduler, TenantUsage};
use policy::types::{DestinationId, Message, Micros, Settings, TenantId, TenantState, TenantTerms};

use crate::meter::MICROS_PER_SECOND;
use account::Account;
use virtual_clock::{Contention, Round, VirtualClock};

/// The lead in slot usage within which the cost of delay decides, in seconds of all slots.
const SLOT_QUANTUM_SECONDS: f64 = 0.25;
/// The lead at a destination within which the cost of delay decides, in calls of all tenants to it.
const CALL_QUANTUM: f64 = 4.0;
/// Maximum destinations with a virtual clock. Beyond that, the least recently used clock is evicted together with the
/// leads of tenants at its destination.
pub const MAX_DESTINATION_CLOCKS: usize = 4096;
/// How long a tenant shares the queue after a message of it was accepted, in microseconds. The expiry is extended only
/// once half of this time has passed.
const QUEUE_SHARE_RETENTION: Micros = 10_000_000;
/// The weight that corresponds to a share of 1 in the settings, where shares are fractions.
const WEIGHT_PER_SHARE: f64 = 1000.0;
/// The largest weight to which a share in the settings is converted.
const MAX_SHARE_WEIGHT: f64 = 1e6;

/// The tenant scheduler of a relay.
pub struct FairQueueScheduler {
    accounts: BTreeMap<TenantId, Account>,
    /// Number of the relay's slots, at least 1.
    slot_count: f64,
    slots: VirtualClock,
    destinations: BTreeMap<DestinationId, VirtualClock>,
    /// Sum of the weights of all tenants that share the queue.
    queue_weight: u64,
    /// The tenants that share the queue, ordered by the earliest time at which their share expires.
    queue_share_expiry: BTreeSet<(Micros, TenantId)>,
    now: Micros,
}

impl FairQueueScheduler {
    /// Creates a scheduler without tenants, for a relay with this many slots.
    #[must_use]
    pub fn new(slots: usize) -> Self {
        FairQueueScheduler {
            accounts: BTreeMap::new(),
            slot_count: slots.max(1) as f64,
            slots: VirtualClock::default(),
            destinations: BTreeMap::new(),
            queue_weight: 0,
            queue_share_expiry: BTreeSet::new(),
            now: 0,
        }
    }

    /// Creates a scheduler with the tenants of the settings, weighted by their shares.
    #[must_use]
    pub fn from_settings(settings: &Settings) -> Self {
        let mut scheduler = FairQueueScheduler::new(settings.max_calls);
        for (number, tenant) in (0..).zip(&settings.tenants) {
            let weight = (tenant.share * WEIGHT_PER_SHARE).clamp(1.0, MAX_SHARE_WEIGHT) as u32;
            let terms = TenantTerms {
                weight,
                ..TenantTerms::default()
            };
            scheduler.update_tenant(0, number, Some(terms));
        }
        scheduler
    }

    /// Number of destinations with a virtual clock, at most [`MAX_DESTINATION_CLOCKS`].
    #[must_use]
    pub fn destinations(&self) -> usize {
        self.destinations.len()
    }

    /// Terminates a tenant, and removes its account once no message is queued.
    fn remove_tenant(&mut self, tenant: TenantId) {
        let Some(account) = self.accounts.get_mut(&tenant) else {
            return;
        };
        account.is_removed = true;
        account.terms.state = TenantState::Terminating;
        if account.queued == 0 {
            self.remove_account(tenant);
        }
    }

    fn remove_account(&mut self, tenant: TenantId) {
        let Some(account) = self.accounts.remove(&tenant) else {
            return;
        };
        if account.shares_queue() {
            self.queue_weight -= account.weight();
            self.queue_share_expiry
                .remove(&(account.shares_queue_until, tenant));
        }
    }

    /// Ends the queue shares that have expired, except for those of tenants with queued messages.
    fn expire_queue_shares(&mut self, now: Micros) {
        while let Some((until, tenant)) = self.next_expired_queue_share(now) {
            self.queue_share_expiry.pop_first();
            let Some(account) = self.accounts.get_mut(&tenant) else {
                continue;
            };
            if account.queued > 0 {
                account.shares_queue_until = now + QUEUE_SHARE_RETENTION;
                self.queue_share_expiry
                    .insert((account.shares_queue_until, tenant));
            } else if account.shares_queue_until == until {
                account.shares_queue_until = 0;
                self.queue_weight -= account.weight();
            }
        }
    }

    fn next_expired_queue_share(&self, now: Micros) -> Option<(Micros, TenantId)> {
        self.queue_share_expiry
            .first()
            .copied()
            .filter(|(until, _)| *until <= now)
    }

    fn weight(&self, tenant: TenantId) -> f64 {
        self.accounts
            .get(&tenant)
            .map_or(1.0, |account| f64::from(account.terms.weight))
    }

    fn total_weight(&self, contention: &Contention) -> f64 {
        contention
            .leads
            .keys()
            .map(|tenant| self.weight(*tenant))
            .sum()
    }

    /// The virtual clock of a destination, marked as used now.
    fn destination_clock(&mut self, destination: DestinationId) -> &mut VirtualClock {
        if self.destinations.len() >= MAX_DESTINATION_CLOCKS
            && !self.destinations.contains_key(&destination)
        {
            self.evict_destination_clock();
        }
        let clock = self.destinations.entry(destination).or_default();
        clock.last_used = self.now;
        clock
    }

    fn evict_destination_clock(&mut self) {
        let least_recently_used = self
            .destinations
            .iter()
            .min_by_key(|(_, clock)| clock.last_used)
            .map(|(destination, _)| *destination);
        least_recently_used.and_then(|destination| self.destinations.remove(&destination));
    }

    /// The tenants that contend for each resource, without their leads.
    fn contention(&self, candidates: &[Candidate]) -> Round {
        let mut round = Round::default();
        for candidate in candidates {
            round.slots.add(candidate.tenant);
            round
                .destinations
                .entry(candidate.destination)
                .or_default()
                .add(candidate.tenant);
        }
        round.slots.scale = self.total_weight(&round.slots) / self.slot_count;
        for contention in round.destinations.values_mut() {
            contention.scale = self.total_weight(contention);
        }
        round
    }

    /// Advances the virtual clocks of all contended resources.
    fn start_round(&mut self, round: &mut Round) {
        self.slots
            .start_round(&mut round.slots, SLOT_QUANTUM_SECONDS);
        for (destination, contention) in &mut round.destinations {
            let clock = self.destination_clock(*destination);
            clock.unsent_candidates = 0;
            clock.start_round(contention, CALL_QUANTUM);
        }
    }

    /// The rank of a candidate: the number of quanta by which its tenant is ahead of its share, of slots or of the
    /// destination's calls, whichever is larger. Lower ranks go first.
    fn next_rank(&mut self, round: &mut Round, candidate: &Candidate) -> u32 {
        let weight = self.weight(candidate.tenant);
        let slot_cost =
            candidate.expected_duration as f64 / MICROS_PER_SECOND / weight * round.slots.scale;
        let mut rank = round
            .slots
            .next_rank(candidate.tenant, SLOT_QUANTUM_SECONDS, slot_cost);
        if let Some(contention) = round.destinations.get_mut(&candidate.destination) {
            let call_cost = contention.scale / weight;
            rank = rank.max(contention.next_rank(candidate.tenant, CALL_QUANTUM, call_cost));
        }
        if let Some(clock) = self.destinations.get_mut(&candidate.destination) {
            clock.unsent_candidates += 1;
        }
        rank as u32
    }
}

impl TenantScheduler for FairQueueScheduler {
    fn update_tenant(&mut self, now: Micros, tenant: TenantId, terms: Option<TenantTerms>) {
        self.now = now;
        let Some(terms) = terms else {
            self.remove_tenant(tenant);
            return;
        };
        let terms = TenantTerms {
            weight: terms.weight.max(1),
            ..terms
        };
        let account = self
            .accounts
            .entry(tenant)
            .or_insert_with(|| Account::new(terms));
        if account.shares_queue() {
            self.queue_weight = self.queue_weight - account.weight() + u64::from(terms.weight);
        }
        if let Some(rate) = terms.rate.filter(|rate| account.terms.rate != Some(*rate)) {
            account.meter.change_rate(now, rate);
        }
        account.terms = terms;
        account.is_removed = false;
    }

    fn admit(&self, now: Micros, tenant: TenantId) -> Result<(), Micros> {
        let Some(account) = self.accounts.get(&tenant) else {
            return Ok(());
        };
        let terms = account.terms;
        if terms.state != TenantState::Active || account.queued >= terms.max_queued {
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
        if !account.shares_queue() {
            self.queue_weight += account.weight();
        }
        account.queued += 1;
        account.queued_bytes += message.size;
        if account.shares_queue_until < now + QUEUE_SHARE_RETENTION / 2 {
            self.queue_share_expiry
                .remove(&(account.shares_queue_until, message.tenant));
            account.shares_queue_until = now + QUEUE_SHARE_RETENTION;
            self.queue_share_expiry
                .insert((account.shares_queue_until, message.tenant));
        }
    }

    fn message_removed(&mut self, message: &Message) {
        // A message that was queued before its tenant had terms is not counted.
        let account = self
            .accounts
            .get_mut(&message.tenant)
            .filter(|account| account.queued > 0);
        let Some(account) = account else { return };
        account.queued -= 1;
        account.queued_bytes = account.queued_bytes.saturating_sub(message.size);
        if account.queued == 0 && account.is_removed {
            self.remove_account(message.tenant);
        }
    }

    fn exceeds_share(&self, tenant: TenantId, capacity: Capacity) -> bool {
        let Some(account) = self.accounts.get(&tenant) else {
            return true;
        };
        let weight = account.weight();
        let own_weight = if account.shares_queue() { 0 } else { weight };
        let total_weight = self.queue_weight + own_weight;
        let exceeds = |used: usize, capacity: usize| {
            used as f64 * total_weight as f64 > capacity as f64 * weight as f64
        };
        exceeds(account.queued, capacity.messages) || exceeds(account.queued_bytes, capacity.bytes)
    }

    fn must_yield(&mut self, now: Micros, tenant: TenantId, capacity: Capacity) -> bool {
        self.expire_queue_shares(now);
        let Some(account) = self.accounts.get(&tenant) else {
            return false;
        };
        let own_weight = if account.shares_queue() {
            account.weight()
        } else {
            0
        };
        self.queue_weight > own_weight && self.exceeds_share(tenant, capacity)
    }

    fn order_candidates(&mut self, now: Micros, candidates: &mut Vec<Candidate>) {
        self.now = now;
        candidates.retain(|candidate| self.may_start_call(candidate.tenant));
        if self.accounts.len() < 2 || candidates.is_empty() {
            return;
        }
        let mut round = self.contention(candidates);
        self.start_round(&mut round);
        let mut ranked: Vec<(u32, Candidate)> = Vec::with_capacity(candidates.len());
        for candidate in candidates.drain(..) {
            ranked.push((self.next_rank(&mut round, &candidate), candidate));
        }
        // The sort is stable: candidates of one rank keep their order by cost of delay.
        ranked.sort_by_key(|(rank, _)| *rank);
        candidates.extend(ranked.into_iter().map(|(_, candidate)| candidate));
    }

    fn may_start_call(&self, tenant: TenantId) -> bool {
        self.accounts.get(&tenant).is_none_or(|account| {
            let sends = matches!(
                account.terms.state,
                TenantState::Active | TenantState::Draining
            );
            sends && account.in_flight < account.terms.max_in_flight
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
            .charge(message.tenant, cost as f64 / MICROS_PER_SECOND / weight);
        let clock = self.destination_clock(message.destination);
        clock.charge(message.tenant, 1.0 / weight);
        clock.unsent_candidates = clock.unsent_candidates.saturating_sub(1);
    }

    fn call_ended(&mut self, message: &Message, cost: Micros, elapsed: Micros) {
        let weight = self.weight(message.tenant);
        if let Some(account) = self.accounts.get_mut(&message.tenant) {
            account.in_flight = account.in_flight.saturating_sub(1);
        }
        if cost > 0 && self.accounts.len() > 1 {
            let correction = (elapsed as f64 - cost as f64) / MICROS_PER_SECOND / weight;
            self.slots.charge(message.tenant, correction);
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
            .filter(|clock| clock.last_used == now && clock.unsent_candidates == 0)
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
        self.accounts
            .get(&tenant)
            .map_or(TenantUsage::default(), |account| TenantUsage {
                queued: account.queued,
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
