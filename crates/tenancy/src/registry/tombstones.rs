//! Names of tenants that were removed and have drained.

use std::collections::{BTreeMap, VecDeque};

/// Maximum tombstones; the oldest is evicted first.
pub const MAX_TOMBSTONES: usize = 1024;

/// The last generation of each removed tenant, so that the API responds with 410 for its name and generations are not
/// reused.
#[derive(Default)]
pub(super) struct Tombstones {
    generations: BTreeMap<String, u32>,
    /// The names, least recently removed first.
    order: VecDeque<String>,
}

impl Tombstones {
    /// The last generation of a name that has a tombstone.
    pub(super) fn generation(&self, name: &str) -> Option<u32> {
        self.generations.get(name).copied()
    }

    /// Names and generations, oldest first.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&String, u32)> {
        self.order
            .iter()
            .filter_map(|name| Some((name, self.generation(name)?)))
    }

    /// Records that a generation is gone, and evicts the oldest name beyond [`MAX_TOMBSTONES`].
    pub(super) fn insert(&mut self, name: String, generation: u32) {
        let newest = self.generation(&name).unwrap_or(0).max(generation);
        if self.generations.insert(name.clone(), newest).is_some() {
            self.order.retain(|other| *other != name);
        }
        self.order.push_back(name);
        if self.order.len() > MAX_TOMBSTONES {
            let oldest = self.order.pop_front();
            oldest.and_then(|name| self.generations.remove(&name));
        }
    }
}
