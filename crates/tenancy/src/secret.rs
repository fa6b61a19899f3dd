//! Digests of secrets. The secrets themselves are not stored.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use subtle::ConstantTimeEq;

use crate::spec::SpecError;

/// Maximum number of secrets of a tenant: one in use, its successor during a rotation, and some for individual clients.
pub const MAX_SECRETS: usize = 8;
/// Maximum length of a secret, in bytes.
pub const MAX_SECRET_BYTES: usize = 256;

/// SHA-256 of a secret. The digest is unsalted and fast to compute, so a secret needs at least 128 random bits.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Digest([u8; 32]);

impl Digest {
    /// The digest of bytes.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        Digest(Sha256::digest(bytes).into())
    }

    /// The digest of a sequence of parts. Each part is preceded by its length, so that the digest depends on how the
    /// bytes are split.
    pub fn of_parts<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Self {
        let mut hasher = Sha256::new();
        for part in parts {
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Digest(hasher.finalize().into())
    }

    /// Compares two digests in a time that does not depend on where they differ.
    #[must_use]
    pub fn constant_time_eq(&self, other: &Digest) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Digest({self})")
    }
}

impl FromStr for Digest {
    type Err = SpecError;

    fn from_str(text: &str) -> Result<Self, SpecError> {
        let invalid = || SpecError::new("sha256", "is not 64 hexadecimal digits");
        if text.len() != 64 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(invalid());
        }
        let mut digest = [0; 32];
        for (index, byte) in digest.iter_mut().enumerate() {
            *byte =
                u8::from_str_radix(&text[2 * index..2 * index + 2], 16).map_err(|_| invalid())?;
        }
        Ok(Digest(digest))
    }
}

impl TryFrom<String> for Digest {
    type Error = SpecError;

    fn try_from(text: String) -> Result<Self, SpecError> {
        text.parse()
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> String {
        digest.to_string()
    }
}

#[cfg(test)]
mod tests;
