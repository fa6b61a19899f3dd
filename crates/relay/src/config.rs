//! What the relay is told at its start: the environment's variables and the configuration file.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use adapter as wire;
use policy::types::Settings;
use relay_events::HostList;
use runtime::{log, Runtime};
use serde::Deserialize;
use serde_json::Value;

/// What the protocol leaves a host that drains where the settings say nothing.
const DRAIN_GRACE: Duration = Duration::from_secs(2);

/// Limits of the machine that the relay runs on.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
pub struct Limits {
    /// File descriptors, sockets among them.
    pub sockets: usize,
    /// Megabytes in the folder that lasts.
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

/// All that the relay is told.
pub struct Config {
    /// Paths of all keys, but for what stands in lists.
    pub keys: BTreeSet<String>,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// The folder that lasts.
    pub state: PathBuf,
    /// Where operators call; nowhere if none.
    pub control: Option<SocketAddr>,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Limits of the machine.
    pub limits: Limits,
    /// The list of hosts as this relay last had it.
    pub known: HostList,
    /// The module's settings.
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
    /// A connection that is not up by then has failed.
    pub dial_timeout: Duration,
    /// Hosts close connections that were idle for this long.
    pub idle_close: Duration,
    /// A host that drains, or is gone, gets nothing new so long after that was told.
    pub drain_grace: Duration,
}

impl Config {
    /// Reads the variables and the file; the error is one plain line.
    ///
    /// Variables win over the file, but for discovery: the file is replaced while the process runs, and the
    /// variables, which are not, would send it, or the next one, back to an address that was left.
    pub fn load(runtime: &impl Runtime) -> Result<Self, String> {
        let variable = |name: &str| runtime.env_var(name);
        let path = variable("BALANCER_CONFIG").ok_or("BALANCER_CONFIG is not set")?;
        let text = runtime
            .read(Path::new(&path))
            .map_err(|e| format!("cannot read {path}: {e}"))?;
        let unusable = |e: serde_json::Error| format!("{path} is no usable configuration: {e}");
        let whole: Value = serde_json::from_slice(&text).map_err(unusable)?;
        let mut found = BTreeSet::new();
        keys(&whole, "", &mut found);
        let file = File::deserialize(&whole).map_err(unusable)?;
        let told = |name: &str, in_file: Option<String>| {
            variable(name)
                .or(in_file)
                .ok_or_else(|| format!("{name} is not set"))
        };
        let from_variable = variable("BALANCER_DISCOVERY");
        if let (Some(given), Some(holds)) = (&from_variable, &file.discovery) {
            if given != holds {
                log!(
                    *runtime,
                    "configuration: discovery is at {holds} by the file, which holds, not at {given}"
                );
            }
        }
        let discovery = file
            .discovery
            .or(from_variable)
            .ok_or("discovery is not set")?;
        let settings =
            wire::settings(file.settings.to_string().as_bytes()).map_err(|e| e.to_string())?;
        let root = &file.settings;
        let classes = names(root, "/services")?;
        if settings.max_retry_after > 3_600_000_000 || settings.tick > 1_000_000 {
            return Err("settings hold a span that is out of range".into());
        }
        Ok(Config {
            keys: found,
            listen: address(&told("BALANCER_LISTEN", file.listen)?)?,
            discovery: address(&discovery)?,
            state: PathBuf::from(told("BALANCER_STATE", file.state)?),
            control: variable("BALANCER_CONTROL")
                .or(file.control)
                .map(|at| address(&at))
                .transpose()?,
            seed: u64::from_str_radix(&file.seed, 16)
                .map_err(|_| format!("seed {:?} is no hexadecimal number", file.seed))?,
            limits: checked(file.limits)?,
            known: file.known,
            classes,
            tenants: names(root, "/tenants")?,
            kinds: names(root, "/skus")?,
            zones: names(root, "/dcs")?,
            report: names(root, "/stats/fields")?,
            dial_timeout: span(root, "/limits/dialTimeout")?,
            idle_close: span(root, "/limits/idleClose")?,
            drain_grace: match root.pointer("/rules/drainGrace") {
                Some(_) => span(root, "/rules/drainGrace")?,
                None => DRAIN_GRACE,
            },
            settings,
        })
    }
}

impl Config {
    /// What this configuration lacks against the one in force: a file that was cut or half written reads as one that
    /// sets much to nothing.
    pub fn lacks(&self, in_force: &Config) -> Option<String> {
        in_force.keys.difference(&self.keys).next().cloned()
    }

    /// Keys whose new values count from the next start on only.
    pub fn fixed(&self, in_force: &Config) -> Vec<&'static str> {
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

    /// Takes over what may change while the process runs.
    pub fn retune(&mut self, new: Config) {
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

/// Collects the paths of a value's keys; what stands in lists comes and goes, and so do the hosts.
fn keys(value: &Value, at: &str, found: &mut BTreeSet<String>) {
    for (key, value) in value.as_object().into_iter().flatten() {
        let path = if at.is_empty() {
            key.clone()
        } else {
            format!("{at}.{key}")
        };
        keys(value, &path, found);
        found.insert(path);
    }
}

fn address(text: &str) -> Result<SocketAddr, String> {
    text.parse()
        .map_err(|_| format!("{text:?} is no address and port"))
}

fn checked(limits: Limits) -> Result<Limits, String> {
    // Under these figures the relay could not hold a call and a client at once.
    if limits.sockets < 64 || !limits.disk_mb.is_finite() || limits.disk_mb < 0.25 {
        return Err(format!(
            "limits are too small: {} sockets, {} MB",
            limits.sockets, limits.disk_mb
        ));
    }
    Ok(limits)
}

/// The names in a list of strings or of objects that have one; an absent list is empty.
fn names(root: &Value, path: &str) -> Result<Vec<String>, String> {
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
    let bad = || format!("settings lack a name at {path}");
    list.iter()
        .map(|entry| name(entry).ok_or_else(bad))
        .collect()
}

fn span(root: &Value, path: &str) -> Result<Duration, String> {
    let micros = root
        .pointer(path)
        .and_then(Value::as_f64)
        .filter(|v| (1.0..1e12).contains(v));
    micros
        .map(|v| Duration::from_micros(v as u64))
        .ok_or_else(|| format!("settings lack a span at {path}"))
}
