//! Errors of the undeliverable section of an operator file.

use thiserror::Error;

/// A value of the undeliverable section that cannot be used. Each message is a single line for the operator.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// A number is out of its range, or NaN.
    #[error("undeliverable.{key} must be from {min} to {max}")]
    OutOfRange {
        /// The key, preceded by the entry that contains it.
        key: String,
        /// The smallest permitted value.
        min: f64,
        /// The largest permitted value.
        max: f64,
    },
    /// The store's directory is not named by an absolute path.
    #[error("undeliverable.folder: {folder:?} is not an absolute path")]
    RelativeFolder {
        /// The value.
        folder: String,
    },
    /// There are too many partners or rules.
    #[error("undeliverable: more than {max_partners} partners or {max_rules} rules")]
    TooManyEntries {
        /// Maximum number of partners.
        max_partners: usize,
        /// Maximum number of rules.
        max_rules: usize,
    },
    /// A partner's path is not valid in a request, or does not contain the message's name.
    #[error(
        "undeliverable.partners: destination {destination}: path is not a request path that contains {{id}}"
    )]
    InvalidPath {
        /// The partner's destination.
        destination: u16,
    },
    /// No value means that a message took effect, or a value has both meanings.
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
    /// A rule with a delay does not set its length.
    #[error("undeliverable.rules: {rule}: after_s is missing")]
    MissingDelay {
        /// The rule's name.
        rule: String,
    },
    /// A rule without a delay sets its length.
    #[error("undeliverable.rules: {rule}: after_s is only valid with when = \"after\"")]
    UnusedDelay {
        /// The rule's name.
        rule: String,
    },
}
