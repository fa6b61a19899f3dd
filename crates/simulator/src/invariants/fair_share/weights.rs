//! The tenants' weights, as the administration API last reported them.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::history::TenantSnapshot;

/// Maximum time for which a draining tenant takes part in the sharing while a newer one has its name: the longest time to a
/// deadline, and the time for which a submission counts.
const DRAINING_TENANT_TIME: Duration = Duration::from_secs(25);

/// A tenant's claim to a share.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
struct Claim {
    weight: u64,
    /// Whether it may be below its share, as it has caps, may not send, or its state is not known.
    is_limited: bool,
}

/// A tenant that may still drain while a newer one has its name.
struct DrainingTenant {
    until: Duration,
    weight: u64,
}

#[derive(Default)]
pub(super) struct Weights {
    claims: BTreeMap<String, Claim>,
    /// The newest generation of each name.
    generations: BTreeMap<String, u64>,
    draining: Vec<DrainingTenant>,
}

impl Weights {
    /// The tenants at the start, with their weights.
    pub fn new(tenants: &[(String, u64)]) -> Self {
        let claims = tenants.iter().map(|(name, weight)| {
            let claim = Claim {
                weight: *weight,
                is_limited: false,
            };
            (name.clone(), claim)
        });
        Weights {
            claims: claims.collect(),
            ..Weights::default()
        }
    }

    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Names of all tenants.
    pub fn names(&self) -> impl Iterator<Item = &String> {
        self.claims.keys()
    }

    /// Records a change without a response: the tenant's state is not known until it is read.
    pub fn record_timeout(&mut self, tenant: &str) {
        self.claims.entry(tenant.into()).or_default().is_limited = true;
    }

    /// Records a reported state of a tenant. Returns whether its claim has changed.
    pub fn record_snapshot(
        &mut self,
        now: Duration,
        tenant: &str,
        snapshot: &TenantSnapshot,
    ) -> bool {
        let earlier = self.claims.get(tenant).copied();
        let generation = self.generations.entry(tenant.into()).or_insert(1);
        if snapshot.version.generation > *generation {
            *generation = snapshot.version.generation;
            self.draining.push(DrainingTenant {
                until: now + DRAINING_TENANT_TIME,
                weight: earlier.map_or(0, |claim| claim.weight),
            });
        }
        let claim = Claim {
            weight: snapshot.weight,
            is_limited: snapshot.has_caps || snapshot.state != "active",
        };
        self.claims.insert(tenant.into(), claim);
        earlier != Some(claim)
    }

    /// Whether a tenant may be below its share; true for an unknown tenant.
    pub fn is_limited(&self, tenant: &str) -> bool {
        self.claims.get(tenant).is_none_or(|claim| claim.is_limited)
    }

    /// A tenant's share among all tenants, from 0 to 1.
    pub fn share(&self, tenant: &str, now: Duration) -> f64 {
        let all: u64 = self.claims.values().map(|claim| claim.weight).sum();
        self.share_of(tenant, all + self.draining_weight(now))
    }

    /// A tenant's share among itself and the tenants that `names` selects, from 0 to 1.
    pub fn share_among(&self, tenant: &str, now: Duration, names: impl Fn(&String) -> bool) -> f64 {
        let among = self.claims.iter().filter(|(name, _)| names(name));
        let all: u64 = among.map(|(_, claim)| claim.weight).sum();
        let own = self.claims.get(tenant).map_or(0, |claim| claim.weight);
        self.share_of(tenant, (all + self.draining_weight(now)).max(own))
    }

    fn share_of(&self, tenant: &str, all: u64) -> f64 {
        let claim = self.claims.get(tenant);
        claim.map_or(0.0, |claim| claim.weight as f64 / all as f64)
    }

    /// Sum of the weights of tenants that may still drain.
    fn draining_weight(&self, now: Duration) -> u64 {
        let draining = self.draining.iter().filter(|tenant| tenant.until > now);
        draining.map(|tenant| tenant.weight).sum()
    }
}
