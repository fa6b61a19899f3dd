//! Virtual time and start tags of one resource (start-time fair queueing).

use std::collections::BTreeMap;

use policy::types::{DestinationId, Micros, TenantId};

/// How far ahead of its share a tenant can get while no other tenant uses the resource, in quanta.
const MAX_LEAD_QUANTA: f64 = 16.0;

/// The tenants that contend for one resource in a round.
#[derive(Default)]
pub(super) struct Contention {
    /// Converts a lead in virtual time, which is divided by weight, to the unit of the resource's quantum.
    pub(super) scale: f64,
    /// How far each tenant is ahead of its share, in the unit of the quantum, assuming that all candidates ranked so
    /// far are sent.
    pub(super) leads: BTreeMap<TenantId, f64>,
}

impl Contention {
    /// Adds a tenant that has a candidate.
    pub(super) fn add(&mut self, tenant: TenantId) {
        self.leads.insert(tenant, 0.0);
    }

    /// The rank of a tenant's next candidate: the number of quanta by which the tenant is ahead. Adds the candidate's
    /// cost to the tenant's lead.
    pub(super) fn next_rank(&mut self, tenant: TenantId, quantum: f64, cost: f64) -> f64 {
        self.leads.get_mut(&tenant).map_or(0.0, |lead| {
            let rank = *lead / quantum;
            *lead += cost;
            rank
        })
    }
}

/// The contention for all resources in a round.
#[derive(Default)]
pub(super) struct Round {
    /// Contention for the relay's slots, in seconds of all slots.
    pub(super) slots: Contention,
    /// Contention for each destination, in calls of all tenants to it.
    pub(super) destinations: BTreeMap<DestinationId, Contention>,
}

/// The start tags of the tenants that use one resource.
#[derive(Default)]
pub(super) struct VirtualClock {
    virtual_time: f64,
    /// The tags ahead of virtual time. All other tags equal virtual time.
    start_tags: BTreeMap<TenantId, f64>,
    /// The largest lead that counts at the next charge.
    max_lead: f64,
    /// Candidates of the last round that were not sent.
    pub(super) unsent_candidates: usize,
    /// When the resource was last used.
    pub(super) last_used: Micros,
}

impl VirtualClock {
    /// Advances virtual time for a round, and sets the leads of the tenants that contend in it.
    pub(super) fn start_round(&mut self, contention: &mut Contention, quantum: f64) {
        let scale = contention.scale;
        self.advance(contention.leads.keys().copied());
        self.max_lead = MAX_LEAD_QUANTA * quantum / scale;
        for (tenant, lead) in &mut contention.leads {
            *lead = self.lead(*tenant) * scale;
        }
    }

    /// How far a tenant's tag is ahead of virtual time.
    fn lead(&self, tenant: TenantId) -> f64 {
        self.start_tags
            .get(&tenant)
            .map_or(0.0, |tag| tag - self.virtual_time)
    }

    /// Advances virtual time to the least tag of the tenants that contend.
    fn advance(&mut self, contending: impl Iterator<Item = TenantId>) {
        let least = contending
            .map(|tenant| self.lead(tenant))
            .fold(f64::INFINITY, f64::min);
        self.virtual_time += if least.is_finite() { least } else { 0.0 };
        let now = self.virtual_time;
        self.start_tags.retain(|_, tag| *tag > now);
    }

    /// Charges a tenant for its usage, divided by its weight; a correction may be negative. At most [`MAX_LEAD_QUANTA`]
    /// of the tenant's earlier lead are kept.
    pub(super) fn charge(&mut self, tenant: TenantId, amount: f64) {
        let lead = self.lead(tenant).min(self.max_lead) + amount;
        if lead > 0.0 {
            self.start_tags.insert(tenant, self.virtual_time + lead);
        } else {
            self.start_tags.remove(&tenant);
        }
    }

    /// Resets all leads because no tenant is left waiting, so the usage was not at the expense of another tenant.
    pub(super) fn catch_up(&mut self) {
        self.virtual_time = 0.0;
        self.start_tags = BTreeMap::new();
    }
}
