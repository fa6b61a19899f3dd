//! The operator file: what goes beyond the platform's configuration. Without it, nothing of that is switched on.

mod error;

use std::path::Path;

use admin::Tokens;
use runtime::{log, Runtime};
use serde::Deserialize;
use tokio::sync::watch;

use error::InvalidValue;
pub use error::OperatorFileError;

/// Bounds of the size of each registry file, in megabytes.
const MIN_STORE_MB: u64 = 1;
const MAX_STORE_MB: u64 = 4096;
/// Bounds of the size of one file of the audit log, in megabytes.
const MIN_AUDIT_MB: u64 = 1;
const MAX_AUDIT_MB: u64 = 4096;
/// Bounds of the number of older files of the audit log.
const MIN_AUDIT_FILES: u64 = 1;
const MAX_AUDIT_FILES: u64 = 1000;

/// What an operator sets.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Tenants that administrators change.
    pub tenants: Option<Tenants>,
    /// Messages that were given up: kept, looked through, sent again.
    pub undeliverable: Option<crate::undeliverable_service::Settings>,
    /// The administration API.
    pub admin: Option<admin::Settings>,
    /// A line in the log for each message taken, call made and answer, for counts over a fleet.
    #[serde(default)]
    pub log_calls: bool,
}

/// Tenants that administrators change.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenants {
    /// The folder of the registry and the audit log, which is there and this relay's alone.
    pub folder: String,
    /// Clients have to name themselves with `AUTH`, and hand in for their tenant alone.
    #[serde(default)]
    pub auth: bool,
    /// A new registry begins with the tenants of the settings.
    #[serde(default = "yes")]
    pub import: bool,
    /// Megabytes of each of the registry's two files at most.
    #[serde(default = "store_mb")]
    store_mb: u64,
    /// Megabytes of one file of the audit log.
    #[serde(default = "audit_mb")]
    audit_mb: u64,
    /// Older files of the audit log that are kept.
    #[serde(default = "audit_files")]
    audit_files: u32,
}

fn yes() -> bool {
    true
}

fn store_mb() -> u64 {
    64
}

fn audit_mb() -> u64 {
    16
}

fn audit_files() -> u32 {
    16
}

impl Tenants {
    /// Bytes of each of the registry's files at most.
    pub fn store_bytes(&self) -> u64 {
        self.store_mb << 20
    }

    /// Bytes of one file of the audit log, and older files that are kept.
    pub fn audit(&self) -> (u64, u32) {
        (self.audit_mb << 20, self.audit_files)
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

impl Operator {
    /// Reads the file and checks it as a whole. Without a file, nothing is switched on.
    ///
    /// # Errors
    ///
    /// [`OperatorFileError`] says what is wrong with the file.
    pub fn load(runtime: &impl Runtime, path: Option<&Path>) -> Result<Self, OperatorFileError> {
        let Some(path) = path else {
            return Ok(Operator::default());
        };
        let shown = path.display().to_string();
        let bytes = match runtime.read(path) {
            Ok(bytes) => bytes,
            Err(source) => {
                return Err(OperatorFileError::Unreadable {
                    path: shown,
                    source,
                })
            }
        };
        let Ok(text) = std::str::from_utf8(&bytes) else {
            return Err(OperatorFileError::NotText { path: shown });
        };
        let operator: Operator = match toml::from_str(text) {
            Ok(operator) => operator,
            Err(source) => {
                return Err(OperatorFileError::Malformed {
                    path: shown,
                    source,
                })
            }
        };
        match operator.check() {
            Ok(()) => Ok(operator),
            Err(source) => Err(OperatorFileError::Invalid {
                path: shown,
                source,
            }),
        }
    }

    /// Who may use the administration API.
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
                return Err(InvalidValue::NothingToAdministrate);
            }
        }
        Ok(())
    }
}

/// Reads the file again, for its tokens; one that is not usable changes nothing.
pub fn read_again(runtime: &impl Runtime, path: Option<&Path>, tokens: &watch::Sender<Tokens>) {
    if path.is_none() {
        return;
    }
    match Operator::load(runtime, path) {
        Ok(new) => {
            log!(
                *runtime,
                "operator file: read again; all but tokens counts from the next start on"
            );
            tokens.send_replace(new.tokens());
        }
        Err(error) => log!(
            *runtime,
            "operator file: the old one stays in force: {error}"
        ),
    }
}
