//! The priority classes that share the processor.

use serde::{Deserialize, Serialize};

/// A priority class. Classes share processor time by weight; none has strict precedence over another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PriorityClass {
    /// Maintenance that keeps the relay within its resource limits, such as rewriting the journal.
    Upkeep,
    /// Work that a user waits for, such as resends.
    Prompt,
    /// Large work, such as exports.
    Bulk,
    /// Work without urgency, such as sweeps.
    Idle,
}

impl PriorityClass {
    /// Number of classes.
    pub const COUNT: usize = 4;

    /// All classes, in the order of their declaration.
    pub const ALL: [PriorityClass; Self::COUNT] = [
        PriorityClass::Upkeep,
        PriorityClass::Prompt,
        PriorityClass::Bulk,
        PriorityClass::Idle,
    ];

    /// The position in [`PriorityClass::ALL`].
    pub(crate) fn index(self) -> usize {
        self as usize
    }
}
