//! Parses the platform's settings, a JSON document, into the policy's settings. Unknown keys are ignored.

use policy::types::{
    Class, DestinationKind, Idempotency, Micros, PlatformRules, ReportField, Settings, Tenant,
    ValueDecay, WeightSource,
};
use serde_json::Value;
use thiserror::Error;

/// An error in the settings. Paths are JSON pointers.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The text is not valid JSON.
    #[error("settings are not JSON ({0}) at the settings text")]
    NotJson(#[from] serde_json::Error),
    /// The document is not a JSON object.
    #[error("settings are not an object at the settings text")]
    NotAnObject,
    /// There are no message classes.
    #[error("settings name no class at /services")]
    NoClasses,
    /// A required number is missing, negative or not finite.
    #[error("settings lack a number at {path}")]
    MissingNumber {
        /// Path of the number.
        path: String,
    },
    /// A number is less than 1.
    #[error("settings want a number of 1 or more at {path}")]
    NumberBelowOne {
        /// Path of the number.
        path: String,
    },
    /// A class does not specify whether its messages may be repeated, or has an unknown value for it.
    #[error("settings lack a known effect at {path}")]
    UnknownEffect {
        /// Path of the class's effect.
        path: String,
    },
    /// The number of replicas is 0, or the relay's own number is not below it.
    #[error("settings count fewer relays than there are at /siblings")]
    TooFewReplicas,
}

/// Parses the settings from their JSON text.
///
/// # Errors
///
/// The first required value that is missing or out of range. Classes are checked first.
pub fn parse_settings(text: &[u8]) -> Result<Settings, SettingsError> {
    let document: Value = serde_json::from_slice(text)?;
    if !document.is_object() {
        return Err(SettingsError::NotAnObject);
    }
    let root = Section {
        value: &document,
        path: String::new(),
    };
    let classes = parse_classes(&root)?;
    let replicas = parse_replicas(&root)?;
    Ok(Settings {
        classes,
        kinds: parse_destination_kinds(&root),
        tenants: root.list("/tenants").iter().map(parse_tenant).collect(),
        over_quota_value: root.number("/overShareWorth").unwrap_or(1.0),
        decay: match root.text("/familyInfo/late") {
            "halving" => ValueDecay::Halving,
            _ => ValueDecay::Linear,
        },
        zone_fees: root
            .list("/familyInfo/toll")
            .iter()
            .map(|fee| fee.as_f64().unwrap_or(0.0))
            .collect(),
        cross_zone_fee: root.number_or_zero("/fees/crossZone"),
        max_calls: root.required_number("/familyInfo/callsOut")? as usize,
        max_queued: root.required_number("/limits/mostHeld")? as usize,
        max_queued_bytes: 0,
        max_attempts: root.required_positive("/limits/maxAttempts")? as usize,
        max_retry_after: if root.flag("/limits/retryAfter") {
            root.number_or_zero("/limits/maxRetryAfter") as Micros
        } else {
            0
        },
        can_cancel: root.flag("/limits/cancelling"),
        can_probe: root.flag("/limits/probes"),
        polls_discovery: root.text("/discovery") == "ask",
        replicas,
        zone: root.number_or_zero("/myZone") as u8,
        weight_source: parse_weight_source(&root),
        report_fields: root
            .list("/stats/fields")
            .iter()
            .map(parse_report_field)
            .collect(),
        rules: parse_rules(&root)?,
        tick: root.number_or_zero("/tick") as Micros,
    })
}

fn parse_classes(root: &Section<'_>) -> Result<Vec<Class>, SettingsError> {
    let services = root.list("/services");
    if services.is_empty() {
        return Err(SettingsError::NoClasses);
    }
    let classes = services.iter().enumerate().map(|(index, value)| {
        parse_class(&Section {
            value,
            path: format!("/services/{index}"),
        })
    });
    classes.collect()
}

fn parse_class(class: &Section<'_>) -> Result<Class, SettingsError> {
    let idempotency = parse_idempotency(class)?;
    Ok(Class {
        latency_objective: class.required_number("/aim")? as Micros,
        objective_stretch: class.number_or_zero("/aimStretch"),
        time_to_live: class.required_positive("/giveUp")? as Micros,
        idempotency,
        value: class.number("/worth").unwrap_or(1.0),
        late_value: class.number_or_zero("/lateWorth"),
        is_ordered: class.flag("/fifoByKey"),
    })
}

fn parse_idempotency(class: &Section<'_>) -> Result<Idempotency, SettingsError> {
    match class.text("/effect") {
        "retryable" => Ok(Idempotency::Idempotent),
        "dedup" => Ok(Idempotency::Keyed {
            window: class.required_number("/window")? as Micros,
            zone_only: class.text("/keyScope") != "all",
        }),
        "fragile" => Ok(Idempotency::NonIdempotent),
        _ => Err(SettingsError::UnknownEffect {
            path: class.path_of("/effect"),
        }),
    }
}

/// The number of replicas, including this relay.
fn parse_replicas(root: &Section<'_>) -> Result<usize, SettingsError> {
    let replicas = root.required_number("/siblings")? as usize;
    let own_number = root.number_or_zero("/ordinal") as usize;
    if replicas == 0 || own_number >= replicas {
        return Err(SettingsError::TooFewReplicas);
    }
    Ok(replicas)
}

/// The kinds of destinations. Their properties are given in two lists, which may differ in length.
fn parse_destination_kinds(root: &Section<'_>) -> Vec<DestinationKind> {
    let host_routes = root.list("/familyInfo/kindApart");
    let messages_per_call = root.list("/familyInfo/perCall");
    let count = host_routes.len().max(messages_per_call.len());
    let kinds = (0..count).map(|kind| DestinationKind {
        has_host_routes: host_routes
            .get(kind)
            .and_then(Value::as_bool)
            .unwrap_or(false),
        max_messages_per_call: messages_per_call
            .get(kind)
            .and_then(Value::as_u64)
            .unwrap_or(1)
            .max(1) as usize,
    });
    kinds.collect()
}

fn parse_tenant(tenant: &Value) -> Tenant {
    Tenant {
        quota_per_second: number_at(tenant, "/quotaPerS").unwrap_or(f64::INFINITY),
        share: number_at(tenant, "/share").unwrap_or(1.0),
    }
}

fn parse_weight_source(root: &Section<'_>) -> WeightSource {
    match root.text("/weightSource") {
        "nominal" => WeightSource::Nominal,
        "rough" => WeightSource::Rough,
        _ => WeightSource::Absent,
    }
}

fn parse_report_field(name: &Value) -> ReportField {
    match name.as_str() {
        Some("x0") => ReportField::AllowanceLeft,
        Some("x1") => ReportField::LimitPerSecond,
        _ => ReportField::Other,
    }
}

fn parse_rules(root: &Section<'_>) -> Result<PlatformRules, SettingsError> {
    Ok(PlatformRules {
        max_poll_interval: root.number_or_zero("/rules/askWithin") as Micros,
        initial_capacity_share: root.required_number("/rules/coldFrom")?,
        warm_up: root.required_number("/rules/cold")? as Micros,
        overload_factor: root.required_number("/rules/overloadFactor")?,
        overload_duration: root.required_number("/rules/overloadFor")? as Micros,
        ordering_delay: root.number_or_zero("/rules/turnGap") as Micros,
    })
}

/// A part of the settings, with typed access to the values below it. Pointers are relative to the section.
struct Section<'a> {
    value: &'a Value,
    /// The pointer to the section from the root, for error messages.
    path: String,
}

impl<'a> Section<'a> {
    fn path_of(&self, pointer: &str) -> String {
        format!("{}{pointer}", self.path)
    }

    /// A number; `None` if it is missing, negative or not finite.
    fn number(&self, pointer: &str) -> Option<f64> {
        number_at(self.value, pointer)
    }

    fn number_or_zero(&self, pointer: &str) -> f64 {
        self.number(pointer).unwrap_or(0.0)
    }

    fn required_number(&self, pointer: &str) -> Result<f64, SettingsError> {
        self.number(pointer)
            .ok_or_else(|| SettingsError::MissingNumber {
                path: self.path_of(pointer),
            })
    }

    /// A required number of at least 1.
    fn required_positive(&self, pointer: &str) -> Result<f64, SettingsError> {
        let number = self.required_number(pointer)?;
        if number < 1.0 {
            return Err(SettingsError::NumberBelowOne {
                path: self.path_of(pointer),
            });
        }
        Ok(number)
    }

    fn flag(&self, pointer: &str) -> bool {
        self.value
            .pointer(pointer)
            .and_then(Value::as_bool)
            .unwrap_or(false)
    }

    /// A string; empty if it is missing.
    fn text(&self, pointer: &str) -> &'a str {
        self.value
            .pointer(pointer)
            .and_then(Value::as_str)
            .unwrap_or_default()
    }

    /// The elements of a list; empty if it is missing.
    fn list(&self, pointer: &str) -> &'a [Value] {
        self.value
            .pointer(pointer)
            .and_then(Value::as_array)
            .map(Vec::as_slice)
            .unwrap_or_default()
    }
}

fn number_at(value: &Value, pointer: &str) -> Option<f64> {
    value
        .pointer(pointer)
        .and_then(Value::as_f64)
        .filter(|number| number.is_finite() && *number >= 0.0)
}
