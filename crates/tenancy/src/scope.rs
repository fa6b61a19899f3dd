//! Which tenants somebody may see.

use serde::{Deserialize, Serialize};

/// Which tenants somebody may see: names, or beginnings of names followed by `*`. One with none sees none.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Scope(pub Vec<String>);

impl Scope {
    /// Whether a tenant of this name is among them.
    #[must_use]
    pub fn covers(&self, name: &str) -> bool {
        self.0
            .iter()
            .any(|pattern| match pattern.strip_suffix('*') {
                Some(beginning) => name.starts_with(beginning),
                None => name == pattern,
            })
    }

    /// Whether every tenant is.
    #[must_use]
    pub fn covers_all(&self) -> bool {
        self.0.iter().any(|pattern| pattern == "*")
    }
}
