//! Secrets of keys: 256 random bits as 64 hexadecimal digits, stored only as a SHA-256 digest.

use std::fmt;

use sha2::Digest;
use sha2::Sha256;
use zeroize::Zeroizing;

use crate::error::RpcError;
use crate::generated::GrantKeyAnswer;

/// Secret text. Its debug output does not show it, and its memory is cleared when it is dropped.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(Zeroizing<String>);

impl Secret {
    /// Returns the secret text.
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

impl From<String> for Secret {
    fn from(text: String) -> Self {
        Self(Zeroizing::new(text))
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// Number of random bytes in a secret.
pub const SECRET_BYTES: usize = 32;

/// Formats random bytes as the secret that callers send.
pub fn format_secret(random: &[u8; SECRET_BYTES]) -> String {
    hex::encode(random)
}

/// Returns the SHA-256 digest of a secret, which is stored in its place.
pub fn digest_secret(secret: &str) -> [u8; 32] {
    Sha256::digest(secret.as_bytes()).into()
}

/// Returns the SHA-256 digest of data as hexadecimal digits.
pub fn digest_hex(data: &[u8]) -> String {
    hex::encode(Sha256::digest(data))
}

/// Parses a digest of 64 hexadecimal digits.
pub fn parse_digest(text: &str) -> Result<[u8; 32], RpcError> {
    let mut digest = [0; 32];
    match hex::decode_to_slice(text, &mut digest) {
        Ok(()) => Ok(digest),
        Err(error) => Err(RpcError::invalid(
            "secret_digest",
            &error.to_string(),
            "send the SHA-256 digest of the secret as 64 hexadecimal digits",
        )),
    }
}

/// Omits the secret.
impl fmt::Debug for GrantKeyAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("GrantKeyAnswer")
            .field("change", &self.change)
            .finish_non_exhaustive()
    }
}
