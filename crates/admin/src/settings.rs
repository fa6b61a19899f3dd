//! Settings of the administration API: the section `[admin]` of the operator file.

use relay_events::tenants::Scope;
use runtime::{Address, AddressError};
use serde::Deserialize;
use tenancy::secret::Digest;
use tenancy::spec::{check_name, SpecError};

/// Maximum number of tokens.
const MAX_TOKENS: usize = 256;
/// Maximum number of patterns in the scope of a token.
const MAX_SCOPE_PATTERNS: usize = 64;
/// Largest permitted value of [`Settings::connections`].
const MAX_CONNECTIONS: usize = 1024;
/// Largest permitted value of [`Settings::requests_per_second`].
const MAX_REQUESTS_PER_SECOND: f64 = 10_000.0;
/// Value of [`Settings::connections`] if the key is absent.
const DEFAULT_CONNECTIONS: usize = 32;
/// Value of [`Settings::requests_per_second`] if the key is absent.
const DEFAULT_REQUESTS_PER_SECOND: f64 = 50.0;

/// What the bearer of a token may do. Each role includes those before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Read tenants, their usage, and undeliverable messages.
    Viewer,
    /// Also change specifications, pause and resume tenants, read the audit log, and act on undeliverable messages.
    Operator,
    /// Also create and remove tenants, and change their secrets.
    Admin,
}

impl Role {
    /// The role's name, as in the operator file and the audit log.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Role::Viewer => "viewer",
            Role::Operator => "operator",
            Role::Admin => "admin",
        }
    }
}

/// A bearer token. Only its digest is stored.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Token {
    /// The bearer's name in the audit log.
    pub name: String,
    /// What the bearer may do.
    pub role: Role,
    /// SHA-256 of the token, in hexadecimal digits.
    pub sha256: Digest,
    /// Tenants that the bearer may see and change: names, or prefixes of names followed by `*`.
    pub tenants: Vec<String>,
}

impl Token {
    /// The tenants that the bearer may see and change.
    #[must_use]
    pub fn scope(&self) -> Scope {
        Scope(self.tenants.clone())
    }

    fn check(&self, earlier: &[Token]) -> Result<(), SettingsError> {
        check_name(&self.name).map_err(SettingsError::TokenName)?;
        if earlier.iter().any(|other| other.name == self.name) {
            return Err(SettingsError::DuplicateTokenName(self.name.clone()));
        }
        if earlier.iter().any(|other| other.sha256 == self.sha256) {
            return Err(SettingsError::DuplicateTokenDigest(self.name.clone()));
        }
        let valid = |pattern: &String| is_scope_pattern(pattern);
        if self.tenants.len() > MAX_SCOPE_PATTERNS || !self.tenants.iter().all(valid) {
            return Err(SettingsError::TokenScope(self.name.clone()));
        }
        Ok(())
    }
}

/// Whether a pattern is a tenant's name, a prefix of one followed by `*`, or `*` alone.
fn is_scope_pattern(pattern: &str) -> bool {
    let prefix = pattern.strip_suffix('*').unwrap_or(pattern);
    pattern == "*" || check_name(prefix).is_ok()
}

fn default_connections() -> usize {
    DEFAULT_CONNECTIONS
}

fn default_requests_per_second() -> f64 {
    DEFAULT_REQUESTS_PER_SECOND
}

/// Settings of the API.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Address of the listener: a loopback address and port, or `unix:` and an absolute path.
    pub listen: String,
    /// Maximum number of open connections; a further one is closed immediately.
    #[serde(default = "default_connections")]
    pub connections: usize,
    /// Maximum sustained rate of requests. A burst may use up to two seconds of this rate. Requests beyond the limit
    /// are answered with status 429.
    #[serde(default = "default_requests_per_second")]
    pub requests_per_second: f64,
    /// The bearer tokens that are accepted.
    #[serde(default)]
    pub tokens: Vec<Token>,
}

/// A setting that cannot be used. The text names the key in the operator file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// `listen` is not an address.
    #[error("admin.listen: {0}")]
    ListenAddress(AddressError),
    /// `listen` can be reached from other machines.
    #[error("admin.listen: {0} is not a loopback address")]
    NotLoopback(Address),
    /// `connections` is out of range.
    #[error("admin.connections must be from 1 to {MAX_CONNECTIONS}")]
    Connections,
    /// `requests_per_second` is out of range.
    #[error("admin.requests_per_second must be from 1 to {MAX_REQUESTS_PER_SECOND}")]
    RequestsPerSecond,
    /// There are too many tokens.
    #[error("admin.tokens: more than {MAX_TOKENS} tokens")]
    TooManyTokens,
    /// A token's name is malformed.
    #[error("admin.tokens: {0}")]
    TokenName(SpecError),
    /// Two tokens have this name.
    #[error("admin.tokens: the name {0:?} is used twice")]
    DuplicateTokenName(String),
    /// The token of this name has the same digest as an earlier one.
    #[error("admin.tokens: {0:?} has the same sha256 as another token")]
    DuplicateTokenDigest(String),
    /// The token of this name has too many scope patterns, or a malformed one.
    #[error("admin.tokens: the tenants of {0:?} must be at most {MAX_SCOPE_PATTERNS} names or prefixes followed by *")]
    TokenScope(String),
}

impl Settings {
    /// Checks that every value is in range.
    ///
    /// # Errors
    ///
    /// A [`SettingsError`] that names the first value out of range.
    pub fn check(&self) -> Result<(), SettingsError> {
        self.address()?;
        if !(1..=MAX_CONNECTIONS).contains(&self.connections) {
            return Err(SettingsError::Connections);
        }
        if !(1.0..=MAX_REQUESTS_PER_SECOND).contains(&self.requests_per_second) {
            return Err(SettingsError::RequestsPerSecond);
        }
        if self.tokens.len() > MAX_TOKENS {
            return Err(SettingsError::TooManyTokens);
        }
        for (index, token) in self.tokens.iter().enumerate() {
            token.check(&self.tokens[..index])?;
        }
        Ok(())
    }

    /// The address of the listener.
    ///
    /// # Errors
    ///
    /// [`SettingsError::ListenAddress`] or [`SettingsError::NotLoopback`].
    pub fn address(&self) -> Result<Address, SettingsError> {
        let address: Address = self.listen.parse().map_err(SettingsError::ListenAddress)?;
        if address.is_local() {
            Ok(address)
        } else {
            Err(SettingsError::NotLoopback(address))
        }
    }
}
