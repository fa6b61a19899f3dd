//! The decision module's numbers of tenants.

use policy::types::TenantId;

/// Assigns numbers, each to one tenant at a time. Released numbers are assigned again, the last released first.
#[derive(Default)]
pub(super) struct TenantNumbers {
    assigned: usize,
    next: TenantId,
    released: Vec<TenantId>,
}

impl TenantNumbers {
    /// How many numbers are assigned.
    pub(super) fn assigned(&self) -> usize {
        self.assigned
    }

    /// A number that no other tenant has. The caller bounds the tenants, so that the numbers suffice.
    pub(super) fn assign(&mut self) -> TenantId {
        self.assigned += 1;
        self.released.pop().unwrap_or_else(|| {
            self.next += 1;
            self.next - 1
        })
    }

    /// The tenant of this number is gone.
    pub(super) fn release(&mut self, number: TenantId) {
        self.assigned -= 1;
        self.released.push(number);
    }
}
