//! The outcome of a command.

/// The outcome of a command that could be carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandOutcome {
    /// No invariant was violated, and no bound exceeded.
    Passed,
    /// An invariant was violated or a bound exceeded. The command has printed which.
    Failed,
}

impl CommandOutcome {
    /// Passed if the condition holds.
    pub(super) fn passed_if(condition: bool) -> Self {
        if condition {
            CommandOutcome::Passed
        } else {
            CommandOutcome::Failed
        }
    }
}
