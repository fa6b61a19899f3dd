//! Bearer tokens, tenants' secrets and idempotency keys: random text and its digest.

use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use rand::rngs::SysRng;
use rand::TryRng;
use sha2::{Digest, Sha256};

use crate::error::CommandError;

/// Number of random bytes in a credential: 256 bits, which make 43 characters of text.
const CREDENTIAL_BYTES: usize = 32;

/// Generates a random text of 256 bits from the system's generator.
///
/// # Errors
/// The system cannot provide random numbers.
pub fn random_text() -> Result<String, CommandError> {
    let mut bytes = [0; CREDENTIAL_BYTES];
    SysRng.try_fill_bytes(&mut bytes).map_err(|e| {
        CommandError::InvalidInput(format!("cannot get random numbers from the system: {e}"))
    })?;
    Ok(URL_SAFE_NO_PAD.encode(bytes))
}

/// The SHA-256 digest of a text in hexadecimal digits.
pub fn sha256_hex(text: &str) -> String {
    Sha256::digest(text.as_bytes())
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}
