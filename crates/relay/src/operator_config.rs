//! The operator file: settings beyond the platform's configuration. Without the file, all these functions are disabled.

mod error;

use std::path::Path;

use admin::Tokens;
use runtime::{log, Runtime};
use serde::Deserialize;
use tokio::sync::watch;

use error::InvalidValue;
pub use error::OperatorFileError;

/// Smallest configurable limit on the size of a registry replica, in MiB.
const MIN_STORE_MB: u64 = 1;
/// Largest configurable limit on the size of a registry replica, in MiB.
const MAX_STORE_MB: u64 = 4096;
/// Smallest configurable limit on the size of an audit log file, in MiB.
const MIN_AUDIT_MB: u64 = 1;
/// Largest configurable limit on the size of an audit log file, in MiB.
const MAX_AUDIT_MB: u64 = 4096;
/// Smallest configurable number of rotated audit log files.
const MIN_AUDIT_FILES: u64 = 1;
/// Largest configurable number of rotated audit log files.
const MAX_AUDIT_FILES: u64 = 1000;
/// Bytes per MiB, the unit of the sizes in the file.
const MIB: u64 = 1 << 20;

/// The settings of the operator file.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorConfig {
    /// The tenant registry, which administrators can change; disabled if absent.
    pub tenants: Option<Tenants>,
    /// The store of undeliverable messages and their resends; disabled if absent.
    pub undeliverable: Option<crate::undeliverable_service::Settings>,
    /// The administration API; disabled if absent.
    pub admin: Option<admin::Settings>,
    /// Whether to log a line for each accepted message, call and response, for statistics over a fleet of relays.
    #[serde(default)]
    pub log_calls: bool,
}

/// Settings of the tenant registry, which administrators can change.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenants {
    /// Folder of the registry and the audit log: the absolute path of an existing folder that no other relay uses.
    pub folder: String,
    /// Whether clients have to authenticate with `AUTH`, and may only submit messages of their own tenant.
    #[serde(default)]
    pub auth: bool,
    /// Whether a new registry is initialized with the tenants of the settings.
    #[serde(default = "default_import")]
    pub import: bool,
    /// Maximum size of each of the registry's two replicas, in MiB.
    #[serde(default = "default_store_mb")]
    store_mb: u64,
    /// Maximum size of an audit log file, in MiB.
    #[serde(default = "default_audit_mb")]
    audit_mb: u64,
    /// Number of rotated audit log files to keep.
    #[serde(default = "default_audit_files")]
    audit_files: u32,
}

/// The limits of the audit log.
#[derive(Clone, Copy, Debug)]
pub struct AuditLogLimits {
    /// Maximum size of a file, in bytes.
    pub max_file_bytes: u64,
    /// Number of rotated files to keep in addition to the current one.
    pub max_rotated_files: u32,
}

fn default_import() -> bool {
    true
}

fn default_store_mb() -> u64 {
    64
}

fn default_audit_mb() -> u64 {
    16
}

fn default_audit_files() -> u32 {
    16
}

impl Tenants {
    /// Maximum size of each of the registry's two replicas, in bytes.
    pub fn max_replica_bytes(&self) -> u64 {
        self.store_mb * MIB
    }

    /// The limits of the audit log.
    pub fn audit_log_limits(&self) -> AuditLogLimits {
        AuditLogLimits {
            max_file_bytes: self.audit_mb * MIB,
            max_rotated_files: self.audit_files,
        }
    }

    fn check(&self) -> Result<(), InvalidValue> {
        if !Path::new(&self.folder).is_absolute() {
            let folder = self.folder.clone();
            return Err(InvalidValue::RelativeFolder { folder });
        }
        check_range("store_mb", self.store_mb, MIN_STORE_MB, MAX_STORE_MB)?;
        check_range("audit_mb", self.audit_mb, MIN_AUDIT_MB, MAX_AUDIT_MB)?;
        let audit_files = u64::from(self.audit_files);
        check_range("audit_files", audit_files, MIN_AUDIT_FILES, MAX_AUDIT_FILES)
    }
}

fn check_range(key: &'static str, value: u64, min: u64, max: u64) -> Result<(), InvalidValue> {
    if (min..=max).contains(&value) {
        Ok(())
    } else {
        Err(InvalidValue::OutOfRange { key, min, max })
    }
}

impl OperatorConfig {
    /// Reads and checks the file. Without a path, returns the default settings, which disable all functions.
    ///
    /// # Errors
    ///
    /// [`OperatorFileError`] if the file cannot be read or is invalid.
    pub fn load(runtime: &impl Runtime, path: Option<&Path>) -> Result<Self, OperatorFileError> {
        let Some(path) = path else {
            return Ok(OperatorConfig::default());
        };
        let file_name = || path.display().to_string();
        let bytes = runtime
            .read(path)
            .map_err(|source| OperatorFileError::Unreadable {
                path: file_name(),
                source,
            })?;
        let text = String::from_utf8(bytes)
            .map_err(|_| OperatorFileError::NotText { path: file_name() })?;
        let operator: OperatorConfig =
            toml::from_str(&text).map_err(|source| OperatorFileError::Malformed {
                path: file_name(),
                source,
            })?;
        operator
            .check()
            .map_err(|source| OperatorFileError::Invalid {
                path: file_name(),
                source,
            })?;
        Ok(operator)
    }

    /// The tokens of the administration API; empty if the API is disabled.
    pub fn tokens(&self) -> Tokens {
        Tokens::new(self.admin.as_ref().map_or(&[], |admin| &admin.tokens))
    }

    fn check(&self) -> Result<(), InvalidValue> {
        if let Some(tenants) = &self.tenants {
            tenants.check()?;
        }
        if let Some(undeliverable) = &self.undeliverable {
            undeliverable.check().map_err(InvalidValue::Undeliverable)?;
        }
        if let Some(admin) = &self.admin {
            admin.check().map_err(InvalidValue::Administration)?;
            if self.tenants.is_none() && self.undeliverable.is_none() {
                return Err(InvalidValue::NothingToAdminister);
            }
        }
        Ok(())
    }
}

/// Reads the operator file again and applies its tokens. An invalid file changes nothing. All other settings take effect
/// at the next start.
pub fn reload_tokens(runtime: &impl Runtime, path: Option<&Path>, tokens: &watch::Sender<Tokens>) {
    if path.is_none() {
        return;
    }
    match OperatorConfig::load(runtime, path) {
        Ok(new) => {
            log!(
                *runtime,
                "operator_file: tokens_reloaded other_settings=from_next_start"
            );
            tokens.send_replace(new.tokens());
        }
        Err(error) => log!(*runtime, "operator_file: reload_rejected error={error}"),
    }
}
