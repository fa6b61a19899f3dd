//! The tenants of one name.

use super::tenant::{State, TenantEntry};

/// The tenants of one name: the one that accepts messages, and older generations that drain.
#[derive(Clone, Debug, Default)]
pub(super) struct Generations {
    current: Option<TenantEntry>,
    /// By generation.
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

    /// The tenants that drain, by generation.
    pub(super) fn draining(&self) -> &[TenantEntry] {
        &self.draining
    }

    /// The newest generation.
    pub(super) fn newest(&self) -> Option<&TenantEntry> {
        self.current.as_ref().or(self.draining.last())
    }

    /// All tenants of the name, by generation.
    pub(super) fn all(&self) -> impl Iterator<Item = &TenantEntry> {
        self.draining.iter().chain(&self.current)
    }

    /// The tenant of a generation.
    pub(super) fn get_mut(&mut self, generation: u32) -> Option<&mut TenantEntry> {
        let mut all = self.draining.iter_mut().chain(&mut self.current);
        all.find(|entry| entry.generation() == generation)
    }

    /// Inserts a tenant where its state belongs; its generation must have been removed before.
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
