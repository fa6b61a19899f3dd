//! Why the undeliverable section of an operator file cannot be used.

use thiserror::Error;

/// A value of the undeliverable section that cannot be used. Each message is one plain line for the operator.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// A number is out of its range, or not a number at all.
    #[error("undeliverable.{key} is not from {min} to {max}")]
    OutOfRange {
        /// The key, after the entry that it belongs to.
        key: String,
        /// The least value.
        min: f64,
        /// The largest value.
        max: f64,
    },
    /// The store's directory is not named by an absolute path.
    #[error("undeliverable.folder: {folder:?} is no absolute path")]
    RelativeFolder {
        /// The value.
        folder: String,
    },
    /// There are too many partners or rules.
    #[error("undeliverable: over {max_partners} partners or {max_rules} rules are too many")]
    TooManyEntries {
        /// The most partners.
        max_partners: usize,
        /// The most rules.
        max_rules: usize,
    },
    /// A partner's path cannot be requested, or does not name the message.
    #[error(
        "undeliverable.partners: destination {destination}: path is no path with {{id}} in it"
    )]
    InvalidPath {
        /// The partner's destination.
        destination: u16,
    },
    /// A partner's answers have no meaning, or two.
    #[error(
        "undeliverable.partners: destination {destination}: applied is empty, or shares a value with not_applied"
    )]
    AmbiguousAnswers {
        /// The partner's destination.
        destination: u16,
    },
    /// Two partners have the same destination.
    #[error("undeliverable.partners: destination {destination} is named twice")]
    DuplicatePartner {
        /// The partners' destination.
        destination: u16,
    },
    /// A rule's name is empty or too long.
    #[error("undeliverable.rules: a name is empty or over 64 bytes")]
    InvalidRuleName,
    /// A rule that waits does not say how long.
    #[error("undeliverable.rules: {rule}: after_s is missing")]
    MissingDelay {
        /// The rule's name.
        rule: String,
    },
    /// A rule that does not wait says how long.
    #[error("undeliverable.rules: {rule}: after_s goes with when = \"after\"")]
    UnusedDelay {
        /// The rule's name.
        rule: String,
    },
}
