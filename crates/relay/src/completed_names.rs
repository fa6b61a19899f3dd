//! Names of messages that have ended, by which a message that comes again is recognized.
//!
//! A name is kept as a hash, for as long as it may come again. The names of messages that must not be repeated outlast the
//! process and are never dropped early: if there is no space for another one, no such message is accepted. Other names
//! make room for them.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use policy::types::{Idempotency, Micros};
use sha2::{Digest, Sha256};

/// Memory of a name, with what the tables reserve for growth.
pub const COMPLETED_NAME_BYTES: usize = 64;
/// Size of a stored name: the hashes of the name and of its tenant, and the time of completion.
pub const STORED_NAME_BYTES: usize = NAME_HASH_BYTES + TENANT_HASH_BYTES + TIME_BYTES;
const NAME_HASH_BYTES: usize = 7;
const TENANT_HASH_BYTES: usize = 3;
const TIME_BYTES: usize = 3;
/// Times are stored in seconds, modulo this.
const TIME_MODULUS: u32 = 1 << (8 * TIME_BYTES);
/// The shortest time for which a name is kept: as long as a client may submit its message again.
const MIN_WINDOW: Micros = 30 * MICROS_PER_SECOND;
/// The longest time for which a name is kept; it fits into a stored time.
const MAX_WINDOW: Micros = 86_400 * MICROS_PER_SECOND;
const MICROS_PER_SECOND: Micros = 1_000_000;
/// Number of names in a stored block.
const BLOCK_LENGTH: usize = 4096;

/// Whether a message may be delivered again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeatability {
    /// Another delivery does no harm.
    Repeatable,
    /// Another delivery may have an effect of its own: a host recognizes an idempotency key for a limited time only.
    NotRepeatable,
}

impl From<&Idempotency> for Repeatability {
    fn from(idempotency: &Idempotency) -> Self {
        match idempotency {
            Idempotency::Idempotent => Repeatability::Repeatable,
            Idempotency::Keyed { .. } | Idempotency::NonIdempotent => Repeatability::NotRepeatable,
        }
    }
}

/// Maximum numbers of names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NameLimits {
    /// Names of all messages.
    pub all: usize,
    /// Names of messages that must not be repeated.
    pub not_repeatable: usize,
}

impl Default for NameLimits {
    fn default() -> Self {
        NameLimits {
            all: BLOCK_LENGTH,
            not_repeatable: BLOCK_LENGTH,
        }
    }
}

/// Who used a name before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NameOwner {
    /// A message of the same tenant.
    SameTenant,
    /// A message of another tenant.
    OtherTenant,
}

/// The hashes of a name and of its tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct NameHash {
    name: u64,
    tenant: u32,
}

/// A name in the order of completion.
#[derive(Clone, Copy, Debug)]
struct Completion {
    name: u64,
    /// By the relay's clock, in seconds modulo [`TIME_MODULUS`].
    second: u32,
}

/// The names of messages that have ended.
#[derive(Default)]
pub struct CompletedNames {
    /// Part of each hash, so that nobody can choose names whose hashes are equal.
    seed: u64,
    limits: NameLimits,
    window: Micros,
    /// The tenants' hashes by the names' hashes.
    tenants: BTreeMap<u64, u32>,
    /// Names of messages that must not be repeated, oldest first.
    not_repeatable: VecDeque<Completion>,
    /// All other names, oldest first.
    repeatable: VecDeque<Completion>,
}

impl CompletedNames {
    /// Creates an empty table. `longest_life` is the longest time from a message's submission to its deadline.
    pub fn new(seed: u64, limits: NameLimits, longest_life: Micros) -> Self {
        CompletedNames {
            seed,
            limits,
            window: longest_life.clamp(MIN_WINDOW, MAX_WINDOW),
            ..CompletedNames::default()
        }
    }

    /// Number of names.
    pub fn len(&self) -> usize {
        self.tenants.len()
    }

    /// Maximum number of names.
    pub fn capacity(&self) -> usize {
        self.limits.all
    }

    /// Whether there is no space for the name of another message that must not be repeated.
    pub fn is_full(&mut self, now: Micros) -> bool {
        self.drop_expired(now);
        self.not_repeatable.len() >= self.limits.not_repeatable
    }

    /// Adds a name; does nothing if it is known.
    pub fn insert(&mut self, now: Micros, tenant: &str, name: &str, message: Repeatability) {
        self.drop_expired(now);
        let hash = self.hash(tenant, name);
        self.insert_hash(hash, seconds(now), message);
    }

    fn insert_hash(&mut self, hash: NameHash, second: u32, message: Repeatability) {
        if self.tenants.contains_key(&hash.name) {
            return;
        }
        if self.tenants.len() >= self.limits.all {
            self.drop_oldest_repeatable();
        }
        if message == Repeatability::Repeatable && self.tenants.len() >= self.limits.all {
            return;
        }
        self.tenants.insert(hash.name, hash.tenant);
        let completion = Completion {
            name: hash.name,
            second,
        };
        match message {
            Repeatability::Repeatable => self.repeatable.push_back(completion),
            Repeatability::NotRepeatable => self.not_repeatable.push_back(completion),
        }
    }

    /// Who used a name before; `None` if the name is not known.
    pub fn owner(&self, tenant: &str, name: &str) -> Option<NameOwner> {
        let hash = self.hash(tenant, name);
        let known = self.tenants.get(&hash.name)?;
        Some(if *known == hash.tenant {
            NameOwner::SameTenant
        } else {
            NameOwner::OtherTenant
        })
    }

    /// The seed of the hashes, which is stored with them.
    pub fn seed(&self) -> u64 {
        self.seed
    }

    /// The names of messages that must not be repeated, in blocks of [`STORED_NAME_BYTES`] a name.
    pub fn to_stored(&self) -> Vec<Bytes> {
        let names: Vec<&Completion> = self.not_repeatable.iter().collect();
        names
            .chunks(BLOCK_LENGTH)
            .map(|block| block.iter().flat_map(|name| self.encode(name)).collect())
            .collect()
    }

    /// Restores stored names. All names that are hashed later get their seed.
    pub fn restore(&mut self, now: Micros, seed: u64, block: &[u8]) {
        self.seed = seed;
        for stored in block.chunks_exact(STORED_NAME_BYTES) {
            let (hash, second) = decode(stored);
            if !self.is_expired(now, second) {
                self.insert_hash(hash, second, Repeatability::NotRepeatable);
            }
        }
    }

    fn encode(&self, completion: &Completion) -> [u8; STORED_NAME_BYTES] {
        let tenant = self.tenants.get(&completion.name).copied();
        let mut stored = [0; STORED_NAME_BYTES];
        let (name, rest) = stored.split_at_mut(NAME_HASH_BYTES);
        let (tenant_hash, time) = rest.split_at_mut(TENANT_HASH_BYTES);
        name.copy_from_slice(&completion.name.to_le_bytes()[..NAME_HASH_BYTES]);
        tenant_hash.copy_from_slice(&tenant.unwrap_or(0).to_le_bytes()[..TENANT_HASH_BYTES]);
        time.copy_from_slice(&completion.second.to_le_bytes()[..TIME_BYTES]);
        stored
    }

    fn hash(&self, tenant: &str, name: &str) -> NameHash {
        NameHash {
            name: self.hash_text(name, NAME_HASH_BYTES),
            tenant: self.hash_text(tenant, TENANT_HASH_BYTES) as u32,
        }
    }

    /// The first bytes of a text's hash.
    fn hash_text(&self, text: &str, bytes: usize) -> u64 {
        let digest = Sha256::new()
            .chain_update(self.seed.to_le_bytes())
            .chain_update(text.as_bytes())
            .finalize();
        number(&digest[..bytes])
    }

    fn is_expired(&self, now: Micros, second: u32) -> bool {
        let age = (seconds(now) + TIME_MODULUS - second) % TIME_MODULUS;
        // A time in the future is of a clock that was set back.
        let age = if age > TIME_MODULUS / 2 { 0 } else { age };
        Micros::from(age) * MICROS_PER_SECOND > self.window
    }

    fn drop_expired(&mut self, now: Micros) {
        while let Some(oldest) = self.not_repeatable.front().copied() {
            if !self.is_expired(now, oldest.second) {
                break;
            }
            self.not_repeatable.pop_front();
            self.tenants.remove(&oldest.name);
        }
        while let Some(oldest) = self.repeatable.front().copied() {
            if !self.is_expired(now, oldest.second) {
                break;
            }
            self.drop_oldest_repeatable();
        }
    }

    fn drop_oldest_repeatable(&mut self) {
        if let Some(oldest) = self.repeatable.pop_front() {
            self.tenants.remove(&oldest.name);
        }
    }
}

/// The time as it is stored.
fn seconds(now: Micros) -> u32 {
    (now / MICROS_PER_SECOND % Micros::from(TIME_MODULUS)) as u32
}

/// The little-endian number of up to eight bytes.
fn number(bytes: &[u8]) -> u64 {
    bytes
        .iter()
        .rev()
        .fold(0, |value, byte| value << 8 | u64::from(*byte))
}

fn decode(stored: &[u8]) -> (NameHash, u32) {
    let (name, rest) = stored.split_at(NAME_HASH_BYTES);
    let (tenant, time) = rest.split_at(TENANT_HASH_BYTES);
    let hash = NameHash {
        name: number(name),
        tenant: number(tenant) as u32,
    };
    (hash, number(time) as u32)
}
