//! A tenant's specification, and the bounds of its values.
//!
//! The doc comments of the fields are the descriptions in the OpenAPI document of the administration API. The
//! descriptions of the types are set by `schema(description)`.

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;

use policy::types::{DestinationId, RateLimit, TenantState, TenantTerms};
use serde::{Deserialize, Serialize};

/// Maximum length of a tenant's name, in characters.
pub const MAX_NAME_CHARS: usize = 64;
/// Maximum weight of a tenant.
pub const MAX_WEIGHT: u32 = 10_000;
/// Weight of a tenant whose specification does not set one.
pub const DEFAULT_WEIGHT: u32 = 100;
/// Maximum rate, in messages per second.
pub const MAX_RATE_PER_SECOND: f64 = 1e6;
/// Maximum burst, in messages.
pub const MAX_BURST: u32 = 1_000_000;
/// Maximum classes, and maximum ranges of destinations, in a specification.
pub const MAX_LISTED_ITEMS: usize = 256;

/// A tenant's rate limit, which is a token bucket. A message beyond it is rejected with a Retry-After.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[cfg_attr(feature = "openapi", derive(utoipa::ToSchema))]
#[cfg_attr(
    feature = "openapi",
    schema(
        description = "A tenant's rate limit. A message beyond it is rejected with the time after which the client may retry."
    )
)]
#[serde(deny_unknown_fields)]
pub struct RateSpec {
    /// Messages a second in the long run, above 0 and up to 1,000,000.
    pub per_second: f64,
    /// Burst size: messages that may arrive at once, from 1 to 1,000,000.
    #[cfg_attr(feature = "openapi", schema(minimum = 1, maximum = 1_000_000))]
    pub burst: u32,
}

/// How a removed tenant's queued messages are handled. Calls in flight are completed in either case.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[cfg_attr(feature = "openapi", derive(utoipa::ToSchema))]
#[cfg_attr(
    feature = "openapi",
    schema(
        description = "How a tenant's queued messages are handled when it is removed. Calls in flight are completed in either case."
    )
)]
#[serde(rename_all = "lowercase")]
pub enum OnRemoval {
    /// The messages are delivered as before.
    #[default]
    Finish,
    /// The messages are rejected immediately.
    Refuse,
}

/// An inclusive range of destinations, written as `7` or `10-19`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Destinations {
    first: DestinationId,
    last: DestinationId,
}

impl Destinations {
    /// Whether the range contains a destination.
    #[must_use]
    pub fn contains(&self, destination: DestinationId) -> bool {
        (self.first..=self.last).contains(&destination)
    }
}

impl FromStr for Destinations {
    type Err = SpecError;

    fn from_str(text: &str) -> Result<Self, SpecError> {
        let invalid = || {
            SpecError::new(
                "destinations",
                format!("{text:?} is no number of a destination and no range"),
            )
        };
        let (first, last) = text.split_once('-').unwrap_or((text, text));
        let range = Destinations {
            first: first.parse().map_err(|_| invalid())?,
            last: last.parse().map_err(|_| invalid())?,
        };
        if range.first <= range.last {
            Ok(range)
        } else {
            Err(invalid())
        }
    }
}

impl TryFrom<String> for Destinations {
    type Error = SpecError;

    fn try_from(text: String) -> Result<Self, SpecError> {
        text.parse()
    }
}

impl fmt::Display for Destinations {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.first == self.last {
            write!(f, "{}", self.first)
        } else {
            write!(f, "{}-{}", self.first, self.last)
        }
    }
}

impl From<Destinations> for String {
    fn from(range: Destinations) -> String {
        range.to_string()
    }
}

/// A tenant's specification, which administrators set.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[cfg_attr(feature = "openapi", derive(utoipa::ToSchema))]
#[cfg_attr(feature = "openapi", schema(as = Spec, description = "A tenant's specification, which administrators set."))]
#[serde(deny_unknown_fields, default)]
#[serde(expecting = "struct Spec")]
pub struct TenantSpec {
    /// Relative share of the queue, of the slots and of each destination's calls among the tenants that use them,
    /// from 1 to 10,000. Capacity that a tenant does not use is available to the others.
    #[cfg_attr(feature = "openapi", schema(minimum = 1, maximum = 10_000))]
    pub weight: u32,
    /// Rate limit for submitted messages; unlimited if absent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rate: Option<RateSpec>,
    /// Maximum messages held; more are rejected. Only the relay's own limit applies if absent.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[cfg_attr(feature = "openapi", schema(minimum = 1))]
    pub max_held: Option<u32>,
    /// Maximum messages in flight; more wait. Only the relay's number of slots applies if absent.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[cfg_attr(feature = "openapi", schema(minimum = 1))]
    pub max_in_flight: Option<u32>,
    /// Classes that the tenant may submit; all if absent.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[cfg_attr(feature = "openapi", schema(max_items = 256))]
    pub classes: Option<BTreeSet<String>>,
    /// Destinations that the tenant may send to; all if absent.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[cfg_attr(feature = "openapi", schema(max_items = 256, value_type = Option<Vec<String>>, example = json!(["7", "10-19"])))]
    pub destinations: Option<Vec<Destinations>>,
    /// How the tenant's queued messages are handled when it is removed.
    pub on_removal: OnRemoval,
}

impl Default for TenantSpec {
    fn default() -> Self {
        TenantSpec {
            weight: DEFAULT_WEIGHT,
            rate: None,
            max_held: None,
            max_in_flight: None,
            classes: None,
            destinations: None,
            on_removal: OnRemoval::Finish,
        }
    }
}

/// A value that is out of bounds or malformed. The text goes to the administrator.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {reason}")]
pub struct SpecError {
    /// Name of the field.
    pub field: &'static str,
    /// Why the field's value is rejected.
    pub reason: String,
}

impl SpecError {
    pub(crate) fn new(field: &'static str, reason: impl Into<String>) -> Self {
        SpecError {
            field,
            reason: reason.into(),
        }
    }
}

/// Why a tenant may not submit a message; the text is the client's reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AdmissionError {
    /// No tenant has this name.
    #[error("unknown tenant")]
    UnknownTenant,
    /// All tenants of this name are draining.
    #[error("the tenant is being removed")]
    TenantDraining,
    /// The tenant's specification does not list the message's class.
    #[error("the tenant may not hand in this class")]
    ClassNotAllowed,
    /// The tenant's specification does not list the message's destination.
    #[error("the tenant may not send to this destination")]
    DestinationNotAllowed,
}

impl TenantSpec {
    /// Checks that all values are within their bounds and that the relay knows the classes.
    ///
    /// # Errors
    ///
    /// [`SpecError`] for the first value that is out of bounds.
    pub fn check(&self, known_classes: &[String]) -> Result<(), SpecError> {
        self.check_weight()?;
        self.check_rate()?;
        self.check_limits()?;
        self.check_classes(known_classes)?;
        self.check_destinations()
    }

    fn check_weight(&self) -> Result<(), SpecError> {
        if (1..=MAX_WEIGHT).contains(&self.weight) {
            return Ok(());
        }
        let reason = format!("{} is not from 1 to {MAX_WEIGHT}", self.weight);
        Err(SpecError::new("weight", reason))
    }

    fn check_rate(&self) -> Result<(), SpecError> {
        let Some(RateSpec { per_second, burst }) = self.rate else {
            return Ok(());
        };
        if !(per_second > 0.0 && per_second <= MAX_RATE_PER_SECOND) {
            let reason =
                format!("{per_second} a second is not above 0 and up to {MAX_RATE_PER_SECOND}");
            return Err(SpecError::new("rate", reason));
        }
        if !(1..=MAX_BURST).contains(&burst) {
            let reason = format!("a burst of {burst} is not from 1 to {MAX_BURST}");
            return Err(SpecError::new("rate", reason));
        }
        Ok(())
    }

    fn check_limits(&self) -> Result<(), SpecError> {
        if self.max_held == Some(0) {
            return Err(SpecError::new(
                "max_held",
                "0 would let nothing be taken on; pause the tenant instead",
            ));
        }
        if self.max_in_flight == Some(0) {
            return Err(SpecError::new(
                "max_in_flight",
                "0 would let nothing be sent; pause the tenant instead",
            ));
        }
        Ok(())
    }

    fn check_classes(&self, known_classes: &[String]) -> Result<(), SpecError> {
        let Some(classes) = &self.classes else {
            return Ok(());
        };
        check_length("classes", classes.len())?;
        match classes.iter().find(|class| !known_classes.contains(class)) {
            None => Ok(()),
            Some(unknown) => {
                let unknown: String = unknown.chars().take(MAX_NAME_CHARS).collect();
                let reason = format!("there is no class {unknown:?}");
                Err(SpecError::new("classes", reason))
            }
        }
    }

    fn check_destinations(&self) -> Result<(), SpecError> {
        check_length(
            "destinations",
            self.destinations.as_ref().map_or(0, Vec::len),
        )
    }

    /// Checks that a message of this class may go to this destination.
    ///
    /// # Errors
    ///
    /// [`AdmissionError::ClassNotAllowed`] or [`AdmissionError::DestinationNotAllowed`].
    pub fn allows(&self, class: &str, destination: DestinationId) -> Result<(), AdmissionError> {
        if self
            .classes
            .as_ref()
            .is_some_and(|classes| !classes.contains(class))
        {
            return Err(AdmissionError::ClassNotAllowed);
        }
        let ranges = self.destinations.as_ref();
        if ranges.is_some_and(|ranges| !ranges.iter().any(|range| range.contains(destination))) {
            return Err(AdmissionError::DestinationNotAllowed);
        }
        Ok(())
    }

    /// The terms of a tenant in this state, for the decision module.
    #[must_use]
    pub fn terms(&self, state: TenantState) -> TenantTerms {
        let limit = |limit: Option<u32>| limit.map_or(usize::MAX, |limit| limit as usize);
        TenantTerms {
            weight: self.weight,
            rate: self.rate.map(|rate| RateLimit {
                per_second: rate.per_second,
                burst: f64::from(rate.burst),
            }),
            max_queued: limit(self.max_held),
            max_in_flight: limit(self.max_in_flight),
            state,
        }
    }
}

fn check_length(field: &'static str, length: usize) -> Result<(), SpecError> {
    if length > MAX_LISTED_ITEMS {
        return Err(SpecError::new(
            field,
            format!("more than {MAX_LISTED_ITEMS}"),
        ));
    }
    Ok(())
}

/// Checks a name: up to [`MAX_NAME_CHARS`] letters, digits, `.`, `_` and `-`, the first a letter or digit.
///
/// # Errors
///
/// [`SpecError`] if the name is invalid.
pub fn check_name(name: &str) -> Result<(), SpecError> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    let starts_well = name
        .bytes()
        .next()
        .is_some_and(|byte| byte.is_ascii_alphanumeric());
    if starts_well && name.len() <= MAX_NAME_CHARS && name.bytes().all(is_allowed) {
        return Ok(());
    }
    let excerpt: String = name.chars().take(MAX_NAME_CHARS).collect();
    let reason = format!(
        "{excerpt:?} is not 1 to {MAX_NAME_CHARS} letters, digits, '.', '_' and '-', a letter or digit first"
    );
    Err(SpecError::new("name", reason))
}

#[cfg(test)]
mod tests;
