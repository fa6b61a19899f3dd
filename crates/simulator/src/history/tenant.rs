//! Tenants as the administration API shows them.

use std::fmt;

/// What an administrator requests for a tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TenantChange {
    /// To create it.
    Create,
    /// Another specification, or other secrets.
    Update,
    /// To pause it.
    Pause,
    /// To resume it.
    Resume,
    /// To remove it.
    Remove {
        /// Reject its queued messages at once instead of finishing them.
        reject_queued: bool,
    },
}

/// A tenant's version: later generations of a name come after all revisions of earlier ones.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct TenantVersion {
    /// Counts the tenants of a name.
    pub generation: u64,
    /// Counts the changes of one tenant.
    pub revision: u64,
}

/// Reads `(generation, revision)`, as violations and traces print it.
impl fmt::Debug for TenantVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        (self.generation, self.revision).fmt(f)
    }
}

/// A tenant as a response of the administration API shows it.
#[derive(Clone, PartialEq, Eq)]
pub struct TenantSnapshot {
    /// Its version.
    pub version: TenantVersion,
    /// Its state's name.
    pub state: String,
    /// Its weight.
    pub weight: u64,
    /// Whether it has a rate or bounds of its own.
    pub has_caps: bool,
    /// All of its specification.
    pub spec: String,
}

/// The text is a part of the trace, and so of the run's digest; it stays as it is.
impl fmt::Debug for TenantSnapshot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Standing")
            .field("version", &self.version)
            .field("state", &self.state)
            .field("weight", &self.weight)
            .field("capped", &self.has_caps)
            .field("spec", &self.spec)
            .finish()
    }
}
