//! What an administrator sets of a tenant, and its bounds.

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;

use policy::types::{DestinationId, RateLimit, TenantState, TenantTerms};
use serde::{Deserialize, Serialize};

/// Characters of a tenant's name at most.
pub const MAX_NAME_CHARS: usize = 64;
/// The largest weight.
pub const MAX_WEIGHT: u32 = 10_000;
/// Weight of a tenant that none is set for.
pub const DEFAULT_WEIGHT: u32 = 100;
/// The highest rate, in messages a second.
pub const MAX_RATE_PER_SECOND: f64 = 1e6;
/// The largest burst, in messages.
pub const MAX_BURST: u32 = 1_000_000;
/// Classes and ranges of destinations that a specification names at most.
pub const MAX_LISTED_ITEMS: usize = 256;

/// How much a tenant may hand in; more is refused, and its client told when there is room again.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[cfg_attr(feature = "openapi", derive(utoipa::ToSchema))]
#[serde(deny_unknown_fields)]
pub struct RateSpec {
    /// Messages a second in the long run, above 0 and up to 1,000,000.
    pub per_second: f64,
    /// Messages that may come at once, from 1 to 1,000,000.
    #[cfg_attr(feature = "openapi", schema(minimum = 1, maximum = 1_000_000))]
    pub burst: u32,
}

/// What becomes of a tenant's messages when it is removed. Calls that are out come to their end either way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[cfg_attr(feature = "openapi", derive(utoipa::ToSchema))]
#[serde(rename_all = "lowercase")]
pub enum OnRemoval {
    /// What is held goes on to its end.
    #[default]
    Finish,
    /// What is held ends at once.
    Refuse,
}

/// Destinations from one number to another, both included: `7` or `10-19`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Destinations {
    first: DestinationId,
    last: DestinationId,
}

impl Destinations {
    /// Whether a destination is among them.
    #[must_use]
    pub fn contains(&self, destination: DestinationId) -> bool {
        (self.first..=self.last).contains(&destination)
    }
}

impl FromStr for Destinations {
    type Err = SpecError;

    fn from_str(text: &str) -> Result<Self, SpecError> {
        let bad = || {
            SpecError::new(
                "destinations",
                format!("{text:?} is no number of a destination and no range"),
            )
        };
        let (first, last) = text.split_once('-').unwrap_or((text, text));
        let range = Destinations {
            first: first.parse().map_err(|_| bad())?,
            last: last.parse().map_err(|_| bad())?,
        };
        if range.first <= range.last {
            Ok(range)
        } else {
            Err(bad())
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

/// What an administrator sets of a tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[cfg_attr(feature = "openapi", derive(utoipa::ToSchema))]
#[cfg_attr(feature = "openapi", schema(as = Spec))]
#[serde(deny_unknown_fields, default)]
#[serde(rename = "Spec")]
pub struct TenantSpec {
    /// Its part of the hold, of the slots and of each destination's calls, against those of the other tenants
    /// that use them, from 1 to 10,000. What a tenant leaves unused is lent to the others.
    #[cfg_attr(feature = "openapi", schema(minimum = 1, maximum = 10_000))]
    pub weight: u32,
    /// How much it may hand in; any amount if absent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rate: Option<RateSpec>,
    /// Messages held at most; more are refused. As many as the relay holds if absent.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[cfg_attr(feature = "openapi", schema(minimum = 1))]
    pub max_held: Option<u32>,
    /// Messages out in calls at most; more wait. As many as the relay has slots if absent.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[cfg_attr(feature = "openapi", schema(minimum = 1))]
    pub max_in_flight: Option<u32>,
    /// Classes that it may hand in; all if absent.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[cfg_attr(feature = "openapi", schema(max_items = 256))]
    pub classes: Option<BTreeSet<String>>,
    /// Destinations that its messages may go to; all if absent.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[cfg_attr(feature = "openapi", schema(max_items = 256, value_type = Option<Vec<String>>, example = json!(["7", "10-19"])))]
    pub destinations: Option<Vec<Destinations>>,
    /// What becomes of its messages when it is removed.
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

/// A value that a specification may not have.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {reason}")]
pub struct SpecError {
    /// The field.
    pub field: &'static str,
    /// What is wrong with it.
    pub reason: String,
}

impl SpecError {
    pub(crate) fn new(field: &'static str, why: impl Into<String>) -> Self {
        SpecError {
            field,
            reason: why.into(),
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
    /// Whether all values are within their bounds and the classes are among those known.
    ///
    /// # Errors
    ///
    /// [`SpecError`] names the first value that is out of bounds.
    pub fn check(&self, known_classes: &[String]) -> Result<(), SpecError> {
        if !(1..=MAX_WEIGHT).contains(&self.weight) {
            return Err(SpecError::new(
                "weight",
                format!("{} is not from 1 to {MAX_WEIGHT}", self.weight),
            ));
        }
        if let Some(RateSpec { per_second, burst }) = self.rate {
            if !(per_second > 0.0 && per_second <= MAX_RATE_PER_SECOND) {
                return Err(SpecError::new(
                    "rate",
                    format!("{per_second} a second is not above 0 and up to {MAX_RATE_PER_SECOND}"),
                ));
            }
            if !(1..=MAX_BURST).contains(&burst) {
                return Err(SpecError::new(
                    "rate",
                    format!("a burst of {burst} is not from 1 to {MAX_BURST}"),
                ));
            }
        }
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
        if let Some(classes) = &self.classes {
            if classes.len() > MAX_LISTED_ITEMS {
                return Err(SpecError::new(
                    "classes",
                    format!("more than {MAX_LISTED_ITEMS}"),
                ));
            }
            if let Some(unknown) = classes.iter().find(|class| !known_classes.contains(class)) {
                let unknown: String = unknown.chars().take(MAX_NAME_CHARS).collect();
                return Err(SpecError::new(
                    "classes",
                    format!("there is no class {unknown:?}"),
                ));
            }
        }
        if self
            .destinations
            .as_ref()
            .is_some_and(|ranges| ranges.len() > MAX_LISTED_ITEMS)
        {
            return Err(SpecError::new(
                "destinations",
                format!("more than {MAX_LISTED_ITEMS}"),
            ));
        }
        Ok(())
    }

    /// Whether a message of a class may go to a destination.
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

    /// The terms by which the module treats a tenant that stands so.
    #[must_use]
    pub fn terms(&self, state: TenantState) -> TenantTerms {
        let most = |limit: Option<u32>| limit.map_or(usize::MAX, |limit| limit as usize);
        TenantTerms {
            weight: self.weight,
            rate: self.rate.map(|rate| RateLimit {
                per_second: rate.per_second,
                burst: f64::from(rate.burst),
            }),
            max_queued: most(self.max_held),
            max_in_flight: most(self.max_in_flight),
            state,
        }
    }
}

/// Whether a tenant may be called so: letters, digits, `.`, `_` and `-`, the first a letter or digit.
///
/// # Errors
///
/// [`SpecError`] says what is wrong with the name.
pub fn check_name(name: &str) -> Result<(), SpecError> {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    let first = name
        .bytes()
        .next()
        .is_some_and(|byte| byte.is_ascii_alphanumeric());
    if first && name.len() <= MAX_NAME_CHARS && name.bytes().all(plain) {
        return Ok(());
    }
    let shown: String = name.chars().take(MAX_NAME_CHARS).collect();
    let why = format!(
        "{shown:?} is not 1 to {MAX_NAME_CHARS} letters, digits, '.', '_' and '-', a letter or digit first"
    );
    Err(SpecError::new("name", why))
}

#[cfg(test)]
mod tests;
