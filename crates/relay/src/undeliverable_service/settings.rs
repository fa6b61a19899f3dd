//! What an operator sets of undeliverable messages. All of it is checked at the start.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;
use undeliverable::rules::{Rule, RuleTrigger};
use undeliverable::store::StoreLimits;
use undeliverable::{Filter, Reason};

/// Partners and rules that may be set.
const MOST_PARTNERS: usize = 10_000;
const MOST_RULES: usize = 100;
/// The longest path or word of a partner's, in bytes.
const LONGEST: usize = 256;

/// Undeliverable messages.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The folder of the store, which is there and this relay's alone.
    pub folder: String,
    /// What is kept outlasts the machine, not just the process.
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
    /// Messages that are sent again at once at most.
    #[serde(default = "at_once")]
    pub at_once: usize,
    /// Resends of a record at most.
    #[serde(default = "max_resends")]
    pub max_resends: u32,
    #[serde(default = "settle_s")]
    settle_s: f64,
    #[serde(default = "word_fresh_s")]
    word_fresh_s: f64,
    #[serde(default = "key_margin_s")]
    key_margin_s: f64,
    #[serde(default = "lease_s")]
    lease_s: f64,
    /// How partners tell whether a message took effect.
    #[serde(default)]
    pub partners: Vec<Partner>,
    #[serde(default)]
    rules: Vec<RuleSettings>,
}

/// How a partner tells whether a message took effect: `GET` at an address, answered with JSON.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Partner {
    /// The partner's destination.
    pub destination: u16,
    /// Where it is asked.
    pub address: SocketAddr,
    /// The path and query; `{id}` stands for the message's name, `{key}` for its key.
    pub path: String,
    /// The member of the answer's object that tells.
    #[serde(default = "field")]
    pub field: String,
    /// Values that say that it took effect.
    pub applied: Vec<String>,
    /// Values that say that it did not and will not. An answer 404 says nothing unless `absent_is_404` is set.
    #[serde(default)]
    pub not_applied: Vec<String>,
    /// 404 says that it did not and will not.
    #[serde(default)]
    pub absent_is_404: bool,
    #[serde(default = "timeout_ms")]
    timeout_ms: u64,
}

impl Partner {
    /// Longest wait for the whole answer.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }
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
    /// `recovered`, or `after`.
    when: Moment,
    after_s: Option<f64>,
    #[serde(default = "per_minute")]
    per_minute: u32,
    #[serde(default = "resends")]
    resends: u32,
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Moment {
    Recovered,
    After,
}

macro_rules! defaults {
    ($($name:ident: $type:ty = $value:expr;)*) => { $(fn $name() -> $type { $value })* };
}

defaults! {
    max_mb: u64 = 1024;
    tenant_max_mb: u64 = 256;
    max_records: u64 = 1_000_000;
    max_age_days: u64 = 30;
    at_once: usize = 2;
    max_resends: u32 = 5;
    settle_s: f64 = 60.0;
    word_fresh_s: f64 = 60.0;
    key_margin_s: f64 = 1.0;
    lease_s: f64 = 600.0;
    field: String = "status".into();
    timeout_ms: u64 = 2000;
    per_minute: u32 = 60;
    resends: u32 = 1;
}

fn micros(seconds: f64) -> u64 {
    (seconds * 1e6) as u64
}

impl Settings {
    /// What the store holds at most.
    pub fn caps(&self) -> StoreLimits {
        StoreLimits {
            bytes: self.max_mb << 20,
            tenant_bytes: self.tenant_max_mb << 20,
            records: self.max_records,
            age: self.max_age_days * 86_400_000_000,
        }
    }

    /// An attempt may still be running for so long after it was sent.
    pub fn settle(&self) -> u64 {
        micros(self.settle_s)
    }

    /// A partner's word is believed for so long.
    pub fn fresh(&self) -> u64 {
        micros(self.word_fresh_s)
    }

    /// A key is taken for forgotten so long before its time.
    pub fn margin(&self) -> u64 {
        micros(self.key_margin_s)
    }

    /// How long a claim holds.
    pub fn lease(&self) -> u64 {
        micros(self.lease_s)
    }

    /// The rules by which records are sent again by themselves.
    pub fn rules(&self) -> Vec<Rule> {
        let rule = |rule: &RuleSettings| Rule {
            name: rule.name.clone(),
            filter: Filter {
                destination: rule.destination,
                class: rule.class.clone(),
                reason: rule.reason,
                tenant: rule.tenant.clone(),
                may_have_run: rule.may_have_run,
                ..Filter::default()
            },
            when: match rule.when {
                Moment::Recovered => RuleTrigger::Recovered,
                Moment::After => RuleTrigger::After(micros(rule.after_s.unwrap_or_default())),
            },
            per_minute: rule.per_minute,
            resends: rule.resends,
        };
        self.rules.iter().map(rule).collect()
    }

    /// Checks all values; the error is one plain line.
    #[expect(
        clippy::too_many_lines,
        reason = "to be divided with the second part of readable code, see docs/ROADMAP.md"
    )]
    pub fn check(&self) -> Result<(), String> {
        let within = |name: &str, value: f64, least: f64, most: f64| {
            if (least..=most).contains(&value) {
                Ok(())
            } else {
                Err(format!(
                    "undeliverable.{name} is not from {least} to {most}"
                ))
            }
        };
        if !Path::new(&self.folder).is_absolute() {
            return Err(format!(
                "undeliverable.folder: {:?} is no absolute path",
                self.folder
            ));
        }
        within("max_mb", self.max_mb as f64, 1.0, 1_048_576.0)?;
        within("tenant_max_mb", self.tenant_max_mb as f64, 1.0, 1_048_576.0)?;
        within("max_records", self.max_records as f64, 1.0, 1e9)?;
        within("max_age_days", self.max_age_days as f64, 1.0, 3650.0)?;
        within("at_once", self.at_once as f64, 1.0, 64.0)?;
        within("max_resends", f64::from(self.max_resends), 1.0, 100.0)?;
        within("settle_s", self.settle_s, 0.0, 86_400.0)?;
        within("word_fresh_s", self.word_fresh_s, 1.0, 86_400.0)?;
        within("key_margin_s", self.key_margin_s, 0.0, 3600.0)?;
        within("lease_s", self.lease_s, 1.0, 86_400.0)?;
        if self.partners.len() > MOST_PARTNERS || self.rules.len() > MOST_RULES {
            return Err(format!(
                "undeliverable: over {MOST_PARTNERS} partners or {MOST_RULES} rules are too many"
            ));
        }
        for partner in &self.partners {
            let of = format!("partners: destination {}", partner.destination);
            let plain = |text: &str| {
                text.len() <= LONGEST && text.bytes().all(|byte| byte.is_ascii_graphic())
            };
            if !partner.path.starts_with('/')
                || !plain(&partner.path)
                || !partner.path.contains("{id}")
            {
                return Err(format!(
                    "undeliverable.{of}: path is no path with {{id}} in it"
                ));
            }
            if partner.applied.is_empty()
                || partner
                    .applied
                    .iter()
                    .any(|word| partner.not_applied.contains(word))
            {
                return Err(format!(
                    "undeliverable.{of}: applied is empty, or shares a value with not_applied"
                ));
            }
            within(
                &format!("{of}: timeout_ms"),
                partner.timeout_ms as f64,
                1.0,
                60_000.0,
            )?;
            if self
                .partners
                .iter()
                .filter(|other| other.destination == partner.destination)
                .count()
                > 1
            {
                return Err(format!("undeliverable.{of} is named twice"));
            }
        }
        for rule in &self.rules {
            let of = format!("rules: {}", rule.name);
            if rule.name.is_empty() || rule.name.len() > 64 {
                return Err("undeliverable.rules: a name is empty or over 64 bytes".into());
            }
            within(
                &format!("{of}: per_minute"),
                f64::from(rule.per_minute),
                1.0,
                60_000.0,
            )?;
            within(
                &format!("{of}: resends"),
                f64::from(rule.resends),
                1.0,
                100.0,
            )?;
            match (rule.when, rule.after_s) {
                (Moment::After, Some(after)) => {
                    within(&format!("{of}: after_s"), after, 1.0, 31_536_000.0)?
                }
                (Moment::After, None) => {
                    return Err(format!("undeliverable.{of}: after_s is missing"))
                }
                (Moment::Recovered, Some(_)) => {
                    return Err(format!(
                        "undeliverable.{of}: after_s goes with when = \"after\""
                    ));
                }
                (Moment::Recovered, None) => {}
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn read(text: &str) -> Result<Settings, String> {
        let settings: Settings = toml::from_str(text).map_err(|e| e.to_string())?;
        settings.check().map(|()| settings)
    }

    #[test]
    fn what_is_wrong_is_named_and_what_is_absent_has_its_default() {
        let good = read("folder = \"/x\"").expect("good");
        assert_eq!(
            (good.at_once, good.settle(), good.caps().records),
            (2, 60_000_000, 1_000_000)
        );
        let partner = "folder = \"/x\"\n[[partners]]\ndestination = 3\naddress = \"127.0.0.1:9\"\n";
        let rule = "folder = \"/x\"\n[[rules]]\nname = \"r\"\n";
        for (text, named) in [
            ("folder = \"x\"".to_string(), "folder"),
            ("folder = \"/x\"\nmax_mb = 0".into(), "max_mb"),
            ("folder = \"/x\"\nsettle_s = nan".into(), "settle_s"),
            ("folder = \"/x\"\nat_onze = 1".into(), "at_onze"),
            (
                format!("{partner}path = \"/s\"\napplied = [\"done\"]"),
                "{id}",
            ),
            (
                format!("{partner}path = \"/s/{{id}}\"\napplied = []"),
                "applied",
            ),
            (
                format!("{partner}path = \"/s/{{id}}\"\napplied = [\"a\"]\nnot_applied = [\"a\"]"),
                "applied",
            ),
            (format!("{rule}when = \"after\""), "after_s"),
            (
                format!("{rule}when = \"recovered\"\nafter_s = 3.0"),
                "after_s",
            ),
            (format!("{rule}when = \"now\""), "now"),
            (
                format!("{rule}when = \"recovered\"\nper_minute = 0"),
                "per_minute",
            ),
        ] {
            let error = read(&text).expect_err(&text);
            assert!(error.contains(named), "{text}: {error}");
        }
    }
}
