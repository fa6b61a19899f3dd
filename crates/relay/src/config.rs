//! The relay's configuration: the environment's variables and the configuration file.

mod error;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use adapter::parse_settings;
use policy::types::{Micros, Settings};
use relay_events::HostList;
use runtime::{log, Runtime};
use serde::Deserialize;
use serde_json::Value;

pub use error::ConfigError;

/// How long a host that drains may still get calls, where the settings do not say.
const DEFAULT_DRAIN_GRACE: Duration = Duration::from_secs(2);
/// The largest Retry-After for clients, in microseconds.
const LONGEST_RETRY_AFTER: Micros = 3_600_000_000;
/// The longest tick, in microseconds.
const LONGEST_TICK: Micros = 1_000_000;
/// No span of the settings is as long as this, in microseconds.
const LONGEST_SPAN: f64 = 1e12;
/// With fewer file descriptors the relay could not hold a call and a client at once.
const MIN_SOCKETS: usize = 64;
/// With less disk space the journal could not hold a message.
const MIN_DISK_MB: f64 = 0.25;

/// Limits of the machine that the relay runs on.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
pub struct Limits {
    /// File descriptors, sockets among them.
    pub sockets: usize,
    /// Megabytes in the state directory.
    pub disk_mb: f64,
}

#[derive(Deserialize)]
struct File {
    listen: Option<String>,
    discovery: Option<String>,
    state: Option<String>,
    control: Option<String>,
    seed: String,
    limits: Limits,
    #[serde(default)]
    known: HostList,
    settings: Value,
}

/// The configuration, checked as a whole.
pub struct Config {
    /// Paths of all keys of the file, except those within lists.
    pub keys: BTreeSet<String>,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// The state directory, which outlasts the process.
    pub state: PathBuf,
    /// Where the control socket listens, if there is one.
    pub control: Option<SocketAddr>,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Limits of the machine.
    pub limits: Limits,
    /// The list of hosts as this relay last had it.
    pub known: HostList,
    /// The policy's settings.
    pub settings: Settings,
    /// Names of the classes, by index.
    pub classes: Vec<String>,
    /// Names of the tenants, by index.
    pub tenants: Vec<String>,
    /// Names of the kinds of destination, by index.
    pub kinds: Vec<String>,
    /// Names of the zones, by index.
    pub zones: Vec<String>,
    /// Names of the values in load reports, by index.
    pub report: Vec<String>,
    /// How long a connection may take to be established.
    pub dial_timeout: Duration,
    /// Hosts close connections that have been idle for this long.
    pub idle_close: Duration,
    /// How long after it was announced as draining or removed a host may still get calls.
    pub drain_grace: Duration,
}

impl Config {
    /// Reads the environment's variables and the configuration file.
    ///
    /// Variables take precedence over the file, except for discovery: the file is replaced while the process runs, and the
    /// variables, which are not, would send it, or the next process, back to an address that is out of use.
    ///
    /// # Errors
    ///
    /// [`ConfigError`] names the first value that is missing or cannot be used.
    pub fn load(runtime: &impl Runtime) -> Result<Self, ConfigError> {
        let (keys, file) = read_file(runtime)?;
        let variable = |name: &str| runtime.env_var(name);
        let required = |name: &'static str, in_file: Option<String>| {
            variable(name)
                .or(in_file)
                .ok_or(ConfigError::NotSet { name })
        };
        let discovery = discovery_address(runtime, file.discovery)?;
        let settings = parse_settings(file.settings.to_string().as_bytes())?;
        let root = &file.settings;
        let classes = names(root, "/services")?;
        check_spans(&settings)?;
        Ok(Config {
            keys,
            listen: parse_address(&required("BALANCER_LISTEN", file.listen)?)?,
            discovery: parse_address(&discovery)?,
            state: PathBuf::from(required("BALANCER_STATE", file.state)?),
            control: variable("BALANCER_CONTROL")
                .or(file.control)
                .map(|text| parse_address(&text))
                .transpose()?,
            seed: parse_seed(file.seed)?,
            limits: check_limits(file.limits)?,
            known: file.known,
            classes,
            tenants: names(root, "/tenants")?,
            kinds: names(root, "/skus")?,
            zones: names(root, "/dcs")?,
            report: names(root, "/stats/fields")?,
            dial_timeout: span(root, "/limits/dialTimeout")?,
            idle_close: span(root, "/limits/idleClose")?,
            drain_grace: drain_grace(root)?,
            settings,
        })
    }

    /// A key of the configuration in force that this one lacks: a file that was cut, or written by half, would silently set
    /// its missing keys to nothing.
    pub fn missing_key(&self, in_force: &Config) -> Option<String> {
        in_force.keys.difference(&self.keys).next().cloned()
    }

    /// Keys whose new values count from the next start on only.
    pub fn changes_for_next_start(&self, in_force: &Config) -> Vec<&'static str> {
        let (old, new) = (in_force, self);
        let (before, after) = (&old.settings, &new.settings);
        let changes = [
            ("listen", old.listen != new.listen),
            ("state", old.state != new.state),
            ("control", old.control != new.control),
            ("limits", old.limits != new.limits),
            ("settings.tenants", old.tenants != new.tenants),
            ("settings.skus", old.kinds != new.kinds),
            (
                "settings.dcs",
                old.zones != new.zones || before.zone != after.zone,
            ),
            ("settings.stats", old.report != new.report),
            ("settings.siblings", before.replicas != after.replicas),
            ("settings.tick", before.tick != after.tick),
            (
                "settings.familyInfo.callsOut",
                before.max_calls != after.max_calls,
            ),
            (
                "settings.limits.dialTimeout",
                old.dial_timeout != new.dial_timeout,
            ),
            (
                "settings.limits.idleClose",
                old.idle_close != new.idle_close,
            ),
            (
                "settings.rules.drainGrace",
                old.drain_grace != new.drain_grace,
            ),
        ];
        changes
            .into_iter()
            .filter(|(_, changed)| *changed)
            .map(|(key, _)| key)
            .collect()
    }

    /// Applies what may change while the process runs.
    pub fn apply(&mut self, new: Config) {
        let old = std::mem::take(&mut self.settings);
        self.settings = Settings {
            kinds: old.kinds,
            tenants: old.tenants,
            max_calls: old.max_calls,
            max_queued_bytes: old.max_queued_bytes,
            polls_discovery: old.polls_discovery,
            replicas: old.replicas,
            zone: old.zone,
            weight_source: old.weight_source,
            report_fields: old.report_fields,
            tick: old.tick,
            ..new.settings
        };
        (self.classes, self.keys) = (new.classes, new.keys);
        self.discovery = new.discovery;
    }
}

/// Reads the file that `BALANCER_CONFIG` names, with the paths of all its keys.
fn read_file(runtime: &impl Runtime) -> Result<(BTreeSet<String>, File), ConfigError> {
    let name = "BALANCER_CONFIG";
    let path = runtime.env_var(name).ok_or(ConfigError::NotSet { name })?;
    let text = match runtime.read(Path::new(&path)) {
        Ok(text) => text,
        Err(source) => return Err(ConfigError::Unreadable { path, source }),
    };
    let mut keys = BTreeSet::new();
    let parsed = serde_json::from_slice(&text).and_then(|value: Value| {
        collect_keys(&value, "", &mut keys);
        File::deserialize(&value)
    });
    match parsed {
        Ok(file) => Ok((keys, file)),
        Err(source) => Err(ConfigError::Malformed { path, source }),
    }
}

/// Collects the paths of a value's keys. Entries of lists come and go, and so do hosts: they do not count.
fn collect_keys(value: &Value, parent: &str, found: &mut BTreeSet<String>) {
    for (key, value) in value.as_object().into_iter().flatten() {
        let path = if parent.is_empty() {
            key.clone()
        } else {
            format!("{parent}.{key}")
        };
        collect_keys(value, &path, found);
        found.insert(path);
    }
}

fn discovery_address(
    runtime: &impl Runtime,
    in_file: Option<String>,
) -> Result<String, ConfigError> {
    let from_variable = runtime.env_var("BALANCER_DISCOVERY");
    if let (Some(variable), Some(file)) = (&from_variable, &in_file) {
        if variable != file {
            log!(
                *runtime,
                "configuration: discovery_variable_ignored file={file} variable={variable}"
            );
        }
    }
    in_file
        .or(from_variable)
        .ok_or(ConfigError::NotSet { name: "discovery" })
}

fn check_spans(settings: &Settings) -> Result<(), ConfigError> {
    if settings.max_retry_after > LONGEST_RETRY_AFTER || settings.tick > LONGEST_TICK {
        return Err(ConfigError::SpanOutOfRange);
    }
    Ok(())
}

fn parse_address(text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse()
        .map_err(|_| ConfigError::InvalidAddress { text: text.into() })
}

fn parse_seed(text: String) -> Result<u64, ConfigError> {
    u64::from_str_radix(&text, 16).map_err(|_| ConfigError::InvalidSeed { text })
}

fn check_limits(limits: Limits) -> Result<Limits, ConfigError> {
    let Limits { sockets, disk_mb } = limits;
    if sockets < MIN_SOCKETS || !disk_mb.is_finite() || disk_mb < MIN_DISK_MB {
        return Err(ConfigError::LimitsTooSmall { sockets, disk_mb });
    }
    Ok(limits)
}

/// The names in a list of strings, or of objects with a name; an absent list is empty.
fn names(root: &Value, path: &'static str) -> Result<Vec<String>, ConfigError> {
    let list = root
        .pointer(path)
        .and_then(Value::as_array)
        .map_or(&[][..], Vec::as_slice);
    let name = |entry: &Value| {
        entry
            .as_str()
            .or_else(|| entry.get("name")?.as_str())
            .map(String::from)
    };
    list.iter()
        .map(|entry| name(entry).ok_or(ConfigError::MissingName { path }))
        .collect()
}

fn span(root: &Value, path: &'static str) -> Result<Duration, ConfigError> {
    let micros = root
        .pointer(path)
        .and_then(Value::as_f64)
        .filter(|micros| (1.0..LONGEST_SPAN).contains(micros));
    micros
        .map(|micros| Duration::from_micros(micros as u64))
        .ok_or(ConfigError::MissingSpan { path })
}

fn drain_grace(root: &Value) -> Result<Duration, ConfigError> {
    let path = "/rules/drainGrace";
    match root.pointer(path) {
        Some(_) => span(root, path),
        None => Ok(DEFAULT_DRAIN_GRACE),
    }
}
