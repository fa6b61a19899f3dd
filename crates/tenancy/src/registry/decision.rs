//! The outcome of a command.

use super::command::ChangeRecord;
use super::idempotency::IdempotentResponse;
use super::tenant::Tenant;

/// The registry's decision on a command that it does not reject.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// The caller persists this record, then commits it.
    Commit(Box<ChangeRecord>),
    /// The tenant is already in the requested state.
    Unchanged(Box<Tenant>),
    /// The command was committed before, with this response.
    Replay(Box<IdempotentResponse>),
}
