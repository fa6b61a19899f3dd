//! Tenants as the administration API returns them.

use std::fmt;

/// A change that an administrator requests for a tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TenantChange {
    /// Creates the tenant.
    Create,
    /// Changes its specification or its secrets.
    Update,
    /// Pauses it.
    Pause,
    /// Resumes it.
    Resume,
    /// Removes it.
    Remove {
        /// Whether its queued messages are rejected at once instead of being finished.
        reject_queued: bool,
    },
}

/// A tenant's version. A later generation of a name orders after all revisions of earlier generations.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct TenantVersion {
    /// Counts the tenants that were created under the same name.
    pub generation: u64,
    /// Counts the changes of this tenant.
    pub revision: u64,
}

/// Prints `(generation, revision)`, the form that violations and traces use.
impl fmt::Debug for TenantVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        (self.generation, self.revision).fmt(f)
    }
}

/// A tenant as a response of the administration API represents it.
#[derive(Clone, PartialEq, Eq)]
pub struct TenantSnapshot {
    /// Its version.
    pub version: TenantVersion,
    /// Its state's name.
    pub state: String,
    /// Its weight.
    pub weight: u64,
    /// Whether it has a rate or limits of its own.
    pub has_caps: bool,
    /// Its complete specification, as JSON text.
    pub spec: String,
}

/// The text is part of the trace and therefore of the run's digest, so it must not change.
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
