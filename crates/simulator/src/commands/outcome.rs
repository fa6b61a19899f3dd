//! How a command ended.

/// How a command that was carried out ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandOutcome {
    /// Nothing was broken.
    Passed,
    /// A rule was broken, or a bound exceeded; it was printed which.
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
