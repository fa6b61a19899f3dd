//! A tenant's version, and the versions that a command may name as its precondition.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::spec::SpecError;

/// A tenant's generation and revision: the entity tag of the administration API. Its text is `generation.revision`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Version {
    /// Starts at 1 and increases with each tenant that is created under the name after the previous one was removed.
    pub generation: u32,
    /// Starts at 1 when the tenant is created and increases with each change.
    pub revision: u64,
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.generation, self.revision)
    }
}

impl FromStr for Version {
    type Err = SpecError;

    fn from_str(text: &str) -> Result<Self, SpecError> {
        let version = text.split_once('.').and_then(|(generation, revision)| {
            Some(Version {
                generation: generation.parse().ok()?,
                revision: revision.parse().ok()?,
            })
        });
        version
            .ok_or_else(|| SpecError::new("version", "is not a generation, a point and a revision"))
    }
}

/// The versions of a tenant that a command may be applied to (optimistic concurrency control).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Precondition {
    /// Any version.
    Any,
    /// One of these versions.
    OneOf(Vec<Version>),
}

impl Precondition {
    /// Whether the command may be applied to a tenant of this version.
    pub(super) fn is_met_by(&self, version: Version) -> bool {
        match self {
            Precondition::Any => true,
            Precondition::OneOf(versions) => versions.contains(&version),
        }
    }
}
