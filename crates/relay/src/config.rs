//! The relay's configuration: environment variables and the configuration file.

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

/// Default time for which a draining host may still receive calls.
const DEFAULT_DRAIN_GRACE: Duration = Duration::from_secs(2);
/// Upper bound of the maximum Retry-After for clients, in microseconds.
const MAX_RETRY_AFTER: Micros = 3_600_000_000;
/// Upper bound of the tick, in microseconds.
const MAX_TICK: Micros = 1_000_000;
/// Exclusive upper bound of the durations in the settings, in microseconds.
const DURATION_LIMIT: f64 = 1e12;
/// Minimum number of file descriptors. With fewer, the relay could not serve a client and a call at the same time.
const MIN_SOCKETS: usize = 64;
/// Minimum disk space in megabytes. With less, the journal could not store a message.
const MIN_DISK_MB: f64 = 0.25;

/// Memory in megabytes if the file names no limit.
const DEFAULT_MEMORY_MB: f64 = 192.0;

/// Limits of the machine that the relay runs on.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
pub struct Limits {
    /// Number of file descriptors, including sockets.
    pub sockets: usize,
    /// Disk space of the state directory, in megabytes.
    pub disk_mb: f64,
    /// Memory of all processes and of the files in the state directory, in megabytes.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: f64,
}

fn default_memory_mb() -> f64 {
    DEFAULT_MEMORY_MB
}

/// The contents of the configuration file.
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

/// A complete and valid configuration.
pub struct Config {
    /// Paths of all keys of the file, except those inside lists.
    pub keys: BTreeSet<String>,
    /// Address that clients connect to.
    pub listen: SocketAddr,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// The state directory, which persists across processes.
    pub state: PathBuf,
    /// Address of the control socket; `None` if there is none.
    pub control: Option<SocketAddr>,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Limits of the machine that the relay runs on.
    pub limits: Limits,
    /// The last known host list; empty if the file has none.
    pub known_hosts: HostList,
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
    /// Names of the values in hosts' load reports, by index.
    pub load_report_fields: Vec<String>,
    /// Time limit for opening a connection to a host.
    pub dial_timeout: Duration,
    /// Time after which hosts close idle connections.
    pub host_idle_timeout: Duration,
    /// Time for which a host may still receive calls after it was announced as draining or removed.
    pub drain_grace: Duration,
}

impl Config {
    /// Reads the environment variables and the configuration file.
    ///
    /// Variables take precedence over the file, except for the address of discovery. The file may be replaced while the
    /// process runs but the variables may not, so the variable would direct this process or the next one to an address
    /// that is no longer in use.
    ///
    /// # Errors
    ///
    /// [`ConfigError`] for the first value that is missing or invalid.
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
        let classes = parse_names(root, "/services")?;
        check_durations(&settings)?;
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
            known_hosts: file.known,
            classes,
            tenants: parse_names(root, "/tenants")?,
            kinds: parse_names(root, "/skus")?,
            zones: parse_names(root, "/dcs")?,
            load_report_fields: parse_names(root, "/stats/fields")?,
            dial_timeout: parse_duration(root, "/limits/dialTimeout")?,
            host_idle_timeout: parse_duration(root, "/limits/idleClose")?,
            drain_grace: parse_drain_grace(root)?,
            settings,
        })
    }

    /// A key of the configuration in force that this one lacks, if any. The missing keys of a truncated or partially
    /// written file would otherwise silently be treated as unset.
    pub fn missing_key(&self, in_force: &Config) -> Option<String> {
        in_force.keys.difference(&self.keys).next().cloned()
    }

    /// Keys whose values have changed but only take effect at the next start.
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
            (
                "settings.stats",
                old.load_report_fields != new.load_report_fields,
            ),
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
                old.host_idle_timeout != new.host_idle_timeout,
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

    /// Applies the settings that may change while the process runs.
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

/// Reads the file that `BALANCER_CONFIG` points to. Returns the paths of its keys, and its contents.
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

/// Collects the paths of a value's keys. Keys inside lists are omitted, because entries of lists, such as hosts, may be
/// removed at any time.
fn collect_keys(value: &Value, parent: &str, paths: &mut BTreeSet<String>) {
    for (key, value) in value.as_object().into_iter().flatten() {
        let path = if parent.is_empty() {
            key.clone()
        } else {
            format!("{parent}.{key}")
        };
        collect_keys(value, &path, paths);
        paths.insert(path);
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

fn check_durations(settings: &Settings) -> Result<(), ConfigError> {
    if settings.max_retry_after > MAX_RETRY_AFTER || settings.tick > MAX_TICK {
        return Err(ConfigError::DurationOutOfRange);
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
    let Limits {
        sockets,
        disk_mb,
        memory_mb,
    } = limits;
    if sockets < MIN_SOCKETS || !disk_mb.is_finite() || disk_mb < MIN_DISK_MB {
        return Err(ConfigError::LimitsTooSmall { sockets, disk_mb });
    }
    if !memory_mb.is_finite() {
        return Err(ConfigError::InvalidMemoryLimit);
    }
    Ok(limits)
}

/// Parses the names in a list of strings or of objects with a `name`. A missing list is empty.
fn parse_names(root: &Value, path: &'static str) -> Result<Vec<String>, ConfigError> {
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

fn parse_duration(root: &Value, path: &'static str) -> Result<Duration, ConfigError> {
    let micros = root
        .pointer(path)
        .and_then(Value::as_f64)
        .filter(|micros| (1.0..DURATION_LIMIT).contains(micros));
    micros
        .map(|micros| Duration::from_micros(micros as u64))
        .ok_or(ConfigError::MissingDuration { path })
}

fn parse_drain_grace(root: &Value) -> Result<Duration, ConfigError> {
    let path = "/rules/drainGrace";
    match root.pointer(path) {
        Some(_) => parse_duration(root, path),
        None => Ok(DEFAULT_DRAIN_GRACE),
    }
}
