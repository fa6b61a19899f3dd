//! The tenants of one name.

use super::tenant::{State, TenantEntry};

/// The tenants of one name: the current one, and older generations that are draining.
#[derive(Clone, Debug, Default)]
pub(super) struct Generations {
    current: Option<TenantEntry>,
    /// Draining tenants, ordered by generation.
    draining: Vec<TenantEntry>,
}

impl Generations {
    /// The tenant that is not draining.
    pub(super) fn current(&self) -> Option<&TenantEntry> {
        self.current.as_ref()
    }

    /// The tenant that is not draining.
    pub(super) fn current_mut(&mut self) -> Option<&mut TenantEntry> {
        self.current.as_mut()
    }

    /// The draining tenants, ordered by generation.
    pub(super) fn draining(&self) -> &[TenantEntry] {
        &self.draining
    }

    /// The tenant of the newest generation.
    pub(super) fn newest(&self) -> Option<&TenantEntry> {
        self.current.as_ref().or(self.draining.last())
    }

    /// All tenants of the name, ordered by generation.
    pub(super) fn all(&self) -> impl Iterator<Item = &TenantEntry> {
        self.draining.iter().chain(&self.current)
    }

    /// The tenant of a generation.
    pub(super) fn get_mut(&mut self, generation: u32) -> Option<&mut TenantEntry> {
        let mut all = self.draining.iter_mut().chain(&mut self.current);
        all.find(|entry| entry.generation() == generation)
    }

    /// Inserts a tenant as current or draining, according to its state. An earlier entry of its generation must have
    /// been removed.
    pub(super) fn insert(&mut self, entry: TenantEntry) {
        if entry.tenant.state == State::Draining {
            self.draining.push(entry);
            self.draining.sort_by_key(TenantEntry::generation);
        } else {
            self.current = Some(entry);
        }
    }

    /// Removes the tenant of a generation.
    pub(super) fn remove(&mut self, generation: u32) -> Option<TenantEntry> {
        let position = self
            .draining
            .iter()
            .position(|entry| entry.generation() == generation);
        match position {
            Some(position) => Some(self.draining.remove(position)),
            None => self
                .current
                .take_if(|entry| entry.generation() == generation),
        }
    }
}
