//! Errors of the registry.

use super::version::Version;
use crate::spec::SpecError;

/// Why a command is rejected. A rejected command changes nothing. The text goes to the administrator.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RegistryError {
    /// No tenant and no tombstone has this name.
    #[error("there is no tenant {0:?}")]
    Unknown(String),
    /// The tenant was removed and has drained.
    #[error("the tenant {0:?} was removed")]
    Gone(String),
    /// A tenant of this name exists.
    #[error("there is a tenant {0:?} already")]
    Exists(String),
    /// The tenant is draining and can't be changed.
    #[error("the tenant {0:?} is being removed")]
    Draining(String),
    /// The precondition does not include the tenant's current version, which this is.
    #[error("the tenant is at version {0} now")]
    Stale(Version),
    /// A value is out of bounds.
    #[error(transparent)]
    Invalid(#[from] SpecError),
    /// A table is full.
    #[error("there are {most} {what}, which is the most")]
    TooMany {
        /// The items in the table, in the plural.
        what: &'static str,
        /// The table's capacity.
        most: usize,
    },
    /// The tenant has a secret of this name.
    #[error("there is a secret {0:?} already")]
    SecretExists(String),
    /// The tenant has no secret of this name.
    #[error("there is no secret {0:?}")]
    UnknownSecret(String),
    /// The idempotency key was used for another request.
    #[error("the idempotency key was used for another request")]
    KeyReused,
}
