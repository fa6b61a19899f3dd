//! What an operator sets of the API.

use relay_events::tenants::Scope;
use runtime::Address;
use serde::Deserialize;
use tenancy::secret::Digest;
use tenancy::spec::check_name;

/// Tokens at most.
pub const MOST_TOKENS: usize = 256;
/// Patterns of one token's scope at most.
const MOST_PATTERNS: usize = 64;
/// Connections and requests a second that may be set at most.
const MOST: (usize, f64) = (1024, 10_000.0);

/// What somebody may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Look at tenants and their usage.
    Viewer,
    /// Also change specifications, pause, resume, and read the audit log.
    Operator,
    /// Also make and remove tenants, and change their secrets.
    Admin,
}

impl Role {
    /// Its name.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Role::Viewer => "viewer",
            Role::Operator => "operator",
            Role::Admin => "admin",
        }
    }
}

/// A bearer token, of which only the digest is kept.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Token {
    /// Its name in the audit log.
    pub name: String,
    /// What its bearer may do.
    pub role: Role,
    /// SHA-256 of the token, in hexadecimal digits.
    pub sha256: Digest,
    /// Tenants that its bearer may see and change: names, or beginnings of names followed by `*`.
    pub tenants: Vec<String>,
}

impl Token {
    /// The tenants of the token.
    #[must_use]
    pub fn scope(&self) -> Scope {
        Scope(self.tenants.clone())
    }
}

fn connections() -> usize {
    32
}

fn requests_per_second() -> f64 {
    50.0
}

/// What an operator sets of the API.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Where it listens: a loopback address and port, or `unix:` and a path.
    pub listen: String,
    /// Connections at once at most; past that a new one is closed.
    #[serde(default = "connections")]
    pub connections: usize,
    /// Requests a second at most, twice as many at once; past that they are answered 429.
    #[serde(default = "requests_per_second")]
    pub requests_per_second: f64,
    /// Who may use it.
    #[serde(default)]
    pub tokens: Vec<Token>,
}

impl Settings {
    /// Whether all is within bounds; the error is one plain line.
    ///
    /// # Errors
    ///
    /// One plain line that names the first value out of bounds.
    pub fn check(&self) -> Result<(), String> {
        self.address()?;
        if !(1..=MOST.0).contains(&self.connections) {
            return Err(format!("admin.connections is not from 1 to {}", MOST.0));
        }
        if !(self.requests_per_second >= 1.0 && self.requests_per_second <= MOST.1) {
            return Err(format!(
                "admin.requests_per_second is not from 1 to {}",
                MOST.1
            ));
        }
        if self.tokens.len() > MOST_TOKENS {
            return Err(format!("admin.tokens are more than {MOST_TOKENS}"));
        }
        for (at, token) in self.tokens.iter().enumerate() {
            check_name(&token.name).map_err(|e| format!("admin.tokens: {e}"))?;
            if self.tokens[..at]
                .iter()
                .any(|other| other.name == token.name)
            {
                return Err(format!("admin.tokens: {:?} is there twice", token.name));
            }
            if self.tokens[..at]
                .iter()
                .any(|other| other.sha256 == token.sha256)
            {
                return Err(format!(
                    "admin.tokens: {:?} has the digest of another",
                    token.name
                ));
            }
            let named = |pattern: &String| {
                let name = pattern.strip_suffix('*').unwrap_or(pattern);
                name.is_empty() && pattern == "*" || check_name(name).is_ok()
            };
            if token.tenants.len() > MOST_PATTERNS || !token.tenants.iter().all(named) {
                return Err(format!(
                    "admin.tokens: the tenants of {:?} are not up to {MOST_PATTERNS} names or beginnings with *",
                    token.name
                ));
            }
        }
        Ok(())
    }

    /// Where it listens.
    ///
    /// # Errors
    ///
    /// One plain line if the text is no address.
    pub fn address(&self) -> Result<Address, String> {
        let address: Address = self
            .listen
            .parse()
            .map_err(|e| format!("admin.listen: {e}"))?;
        if address.is_local() {
            Ok(address)
        } else {
            Err(format!("admin.listen: {address} is no loopback address"))
        }
    }
}
