//! The set of tenants that an administrator may see.

use serde::{Deserialize, Serialize};

/// The tenants that an administrator may see: names, or prefixes of names followed by `*`. An empty scope covers none.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Scope(pub Vec<String>);

impl Scope {
    /// Whether the scope covers a tenant of this name.
    #[must_use]
    pub fn covers(&self, name: &str) -> bool {
        self.0
            .iter()
            .any(|pattern| match pattern.strip_suffix('*') {
                Some(prefix) => name.starts_with(prefix),
                None => name == pattern,
            })
    }

    /// Whether the scope covers every tenant.
    #[must_use]
    pub fn covers_all(&self) -> bool {
        self.0.iter().any(|pattern| pattern == "*")
    }
}
