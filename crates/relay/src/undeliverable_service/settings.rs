//! The undeliverable section of the operator file. All of it is checked at the start.

mod error;

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;
use undeliverable::rules::{Rule, RuleTrigger};
use undeliverable::store::StoreLimits;
use undeliverable::{Filter, Micros, Reason};

pub use error::SettingsError;

/// Maximum number of partners.
const MAX_PARTNERS: usize = 10_000;
/// Maximum number of rules.
const MAX_RULES: usize = 100;
/// Maximum length of a partner's path and query, in bytes.
const MAX_PATH_BYTES: usize = 256;
/// Maximum length of a rule's name, in bytes.
const MAX_RULE_NAME_BYTES: usize = 64;
/// Maximum value of the store's size limits, in mebibytes: one tebibyte.
const MAX_STORE_MB: f64 = 1_048_576.0;
const SECONDS_PER_DAY: f64 = 86_400.0;
const SECONDS_PER_YEAR: f64 = 31_536_000.0;
const MICROS_PER_DAY: Micros = 86_400_000_000;

/// The store of undeliverable messages, and how its records may be resent.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The directory of the store, which exists and which no other relay uses.
    pub folder: String,
    /// Whether records survive a crash of the machine, and not only a crash of the process.
    #[serde(default)]
    pub sync: bool,
    #[serde(default = "max_mb")]
    max_mb: u64,
    #[serde(default = "tenant_max_mb")]
    tenant_max_mb: u64,
    #[serde(default = "max_records")]
    max_records: u64,
    #[serde(default = "max_age_days")]
    max_age_days: u64,
    /// Maximum number of resends in flight.
    #[serde(default = "max_concurrent_resends", rename = "at_once")]
    pub max_concurrent_resends: usize,
    /// Maximum number of resends per record.
    #[serde(default = "max_resends")]
    pub max_resends: u32,
    #[serde(default = "settle_s")]
    settle_s: f64,
    #[serde(default = "attestation_validity_s", rename = "word_fresh_s")]
    attestation_validity_s: f64,
    #[serde(default = "key_expiry_margin_s", rename = "key_margin_s")]
    key_expiry_margin_s: f64,
    #[serde(default = "claim_lease_s", rename = "lease_s")]
    claim_lease_s: f64,
    /// Partners that can be queried about whether a message took effect.
    #[serde(default)]
    pub partners: Vec<Partner>,
    #[serde(default)]
    rules: Vec<RuleSettings>,
}

/// How a partner is queried whether a message took effect: an HTTP `GET` request that is answered with JSON. Errors of
/// the parser show the name of this type.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Partner {
    /// The partner's destination.
    pub destination: u16,
    /// The address to connect to.
    pub address: SocketAddr,
    /// Path and query; `{id}` stands for the message's name, `{key}` for its idempotency key.
    pub path: String,
    /// The member of the answer's JSON object that contains the message's state.
    #[serde(default = "field")]
    pub field: String,
    /// Values of [`Partner::field`] that mean that the message took effect.
    pub applied: Vec<String>,
    /// Values of [`Partner::field`] that mean that the message did not take effect and will not.
    #[serde(default)]
    pub not_applied: Vec<String>,
    /// Whether status 404 means that the message did not take effect and will not; if false, status 404 is no answer.
    #[serde(default)]
    pub absent_is_404: bool,
    #[serde(default = "timeout_ms")]
    timeout_ms: u64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RuleSettings {
    name: String,
    destination: Option<u16>,
    class: Option<String>,
    reason: Option<Reason>,
    tenant: Option<String>,
    may_have_run: Option<bool>,
    when: TriggerSettings,
    after_s: Option<f64>,
    #[serde(default = "per_minute")]
    per_minute: u32,
    #[serde(default = "resends")]
    resends: u32,
}

/// What triggers a rule. Errors of the parser show the name in `expecting`.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase", expecting = "enum Moment")]
enum TriggerSettings {
    Recovered,
    After,
}

/// Defines the functions that serde calls for absent keys.
macro_rules! defaults {
    ($($name:ident: $type:ty = $value:expr;)*) => { $(fn $name() -> $type { $value })* };
}

defaults! {
    max_mb: u64 = 1024;
    tenant_max_mb: u64 = 256;
    max_records: u64 = 1_000_000;
    max_age_days: u64 = 30;
    max_concurrent_resends: usize = 2;
    max_resends: u32 = 5;
    settle_s: f64 = 60.0;
    attestation_validity_s: f64 = 60.0;
    key_expiry_margin_s: f64 = 1.0;
    claim_lease_s: f64 = 600.0;
    field: String = "status".into();
    timeout_ms: u64 = 2000;
    per_minute: u32 = 60;
    resends: u32 = 1;
}

impl Settings {
    /// The limits of the store beyond which records are evicted.
    pub fn store_limits(&self) -> StoreLimits {
        StoreLimits {
            bytes: self.max_mb << 20,
            tenant_bytes: self.tenant_max_mb << 20,
            records: self.max_records,
            age: self.max_age_days * MICROS_PER_DAY,
        }
    }

    /// How long after its start an attempt may still be executing.
    pub fn settle_time(&self) -> Micros {
        micros(self.settle_s)
    }

    /// How long a partner's attestation is valid.
    pub fn attestation_validity(&self) -> Micros {
        micros(self.attestation_validity_s)
    }

    /// How long before its expiry an idempotency key counts as expired.
    pub fn key_expiry_margin(&self) -> Micros {
        micros(self.key_expiry_margin_s)
    }

    /// How long an operator's claim on a record is valid.
    pub fn claim_lease(&self) -> Micros {
        micros(self.claim_lease_s)
    }

    /// The rules that resend records without an operator.
    pub fn rules(&self) -> Vec<Rule> {
        self.rules.iter().map(RuleSettings::rule).collect()
    }

    /// Checks all values, in the order of the fields.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] names the first value that cannot be used.
    pub fn check(&self) -> Result<(), SettingsError> {
        if !Path::new(&self.folder).is_absolute() {
            let folder = self.folder.clone();
            return Err(SettingsError::RelativeFolder { folder });
        }
        self.check_store_limits()?;
        self.check_resend_policy()?;
        if self.partners.len() > MAX_PARTNERS || self.rules.len() > MAX_RULES {
            return Err(SettingsError::TooManyEntries {
                max_partners: MAX_PARTNERS,
                max_rules: MAX_RULES,
            });
        }
        for partner in &self.partners {
            partner.check()?;
            self.check_destination_is_unique(partner)?;
        }
        self.rules.iter().try_for_each(RuleSettings::check)
    }

    fn check_store_limits(&self) -> Result<(), SettingsError> {
        check_range("max_mb", self.max_mb as f64, 1.0, MAX_STORE_MB)?;
        check_range(
            "tenant_max_mb",
            self.tenant_max_mb as f64,
            1.0,
            MAX_STORE_MB,
        )?;
        check_range("max_records", self.max_records as f64, 1.0, 1e9)?;
        check_range("max_age_days", self.max_age_days as f64, 1.0, 3650.0)
    }

    fn check_resend_policy(&self) -> Result<(), SettingsError> {
        let concurrent = self.max_concurrent_resends as f64;
        check_range("at_once", concurrent, 1.0, 64.0)?;
        check_range("max_resends", f64::from(self.max_resends), 1.0, 100.0)?;
        check_range("settle_s", self.settle_s, 0.0, SECONDS_PER_DAY)?;
        let validity = self.attestation_validity_s;
        check_range("word_fresh_s", validity, 1.0, SECONDS_PER_DAY)?;
        check_range("key_margin_s", self.key_expiry_margin_s, 0.0, 3600.0)?;
        check_range("lease_s", self.claim_lease_s, 1.0, SECONDS_PER_DAY)
    }

    fn check_destination_is_unique(&self, partner: &Partner) -> Result<(), SettingsError> {
        let destination = partner.destination;
        let same = |other: &&Partner| other.destination == destination;
        if self.partners.iter().filter(same).count() > 1 {
            return Err(SettingsError::DuplicatePartner { destination });
        }
        Ok(())
    }
}

impl Partner {
    /// Maximum time until the whole answer is received.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }

    fn check(&self) -> Result<(), SettingsError> {
        let destination = self.destination;
        if !is_request_path(&self.path) || !self.path.contains("{id}") {
            return Err(SettingsError::InvalidPath { destination });
        }
        let is_shared = |value| self.not_applied.contains(value);
        if self.applied.is_empty() || self.applied.iter().any(is_shared) {
            return Err(SettingsError::AmbiguousAnswers { destination });
        }
        let key = format!("partners: destination {destination}: timeout_ms");
        check_range(&key, self.timeout_ms as f64, 1.0, 60_000.0)
    }
}

impl RuleSettings {
    fn rule(&self) -> Rule {
        Rule {
            name: self.name.clone(),
            filter: Filter {
                destination: self.destination,
                class: self.class.clone(),
                reason: self.reason,
                tenant: self.tenant.clone(),
                may_have_run: self.may_have_run,
                ..Filter::default()
            },
            trigger: match self.when {
                TriggerSettings::Recovered => RuleTrigger::Recovered,
                TriggerSettings::After => {
                    RuleTrigger::After(micros(self.after_s.unwrap_or_default()))
                }
            },
            per_minute: self.per_minute,
            max_resends: self.resends,
        }
    }

    fn check(&self) -> Result<(), SettingsError> {
        if self.name.is_empty() || self.name.len() > MAX_RULE_NAME_BYTES {
            return Err(SettingsError::InvalidRuleName);
        }
        let per_minute = f64::from(self.per_minute);
        check_range(&self.key("per_minute"), per_minute, 1.0, 60_000.0)?;
        let resends = f64::from(self.resends);
        check_range(&self.key("resends"), resends, 1.0, 100.0)?;
        let rule = self.name.clone();
        match (self.when, self.after_s) {
            (TriggerSettings::After, Some(delay)) => {
                check_range(&self.key("after_s"), delay, 1.0, SECONDS_PER_YEAR)
            }
            (TriggerSettings::After, None) => Err(SettingsError::MissingDelay { rule }),
            (TriggerSettings::Recovered, Some(_)) => Err(SettingsError::UnusedDelay { rule }),
            (TriggerSettings::Recovered, None) => Ok(()),
        }
    }

    /// A key of this rule, as errors name it.
    fn key(&self, key: &str) -> String {
        format!("rules: {}: {key}", self.name)
    }
}

fn micros(seconds: f64) -> Micros {
    (seconds * 1e6) as Micros
}

/// Whether text can be sent as a request's path and query.
fn is_request_path(text: &str) -> bool {
    let is_graphic = text.bytes().all(|byte| byte.is_ascii_graphic());
    text.starts_with('/') && text.len() <= MAX_PATH_BYTES && is_graphic
}

/// Checks that a number is within its bounds. NaN is rejected.
fn check_range(key: &str, value: f64, min: f64, max: f64) -> Result<(), SettingsError> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    let key = key.to_owned();
    Err(SettingsError::OutOfRange { key, min, max })
}

#[cfg(test)]
mod tests;
