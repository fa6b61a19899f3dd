//! The numbers that identify tenants in the decision module.

use policy::types::TenantId;

/// Assigns each number to one tenant at a time. Released numbers are reused, the most recently released first.
#[derive(Default)]
pub(super) struct TenantNumbers {
    assigned: usize,
    next: TenantId,
    released: Vec<TenantId>,
}

impl TenantNumbers {
    /// Count of assigned numbers.
    pub(super) fn assigned(&self) -> usize {
        self.assigned
    }

    /// Assigns a number that no other tenant has. The caller limits the number of tenants, so numbers do not run out.
    pub(super) fn assign(&mut self) -> TenantId {
        self.assigned += 1;
        self.released.pop().unwrap_or_else(|| {
            self.next += 1;
            self.next - 1
        })
    }

    /// Releases the number of a tenant that is gone.
    pub(super) fn release(&mut self, number: TenantId) {
        self.assigned -= 1;
        self.released.push(number);
    }
}
