//! Key secrets, their digests and the lookup by digest.

use std::collections::BTreeMap;
use std::fmt;

use dandelion_protocol::config::Config;
use dandelion_protocol::config::Key;
use dandelion_protocol::ids::KeyId;
use dandelion_protocol::ids::ServiceId;
use dandelion_protocol::time::WallMillis;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;
use zeroize::Zeroize;
use zeroize::Zeroizing;

/// Random bytes of a secret.
pub const SECRET_BYTES: usize = 32;

/// Bytes of a digest.
pub const DIGEST_BYTES: usize = 32;

/// Start of every secret's text, so that scanners find leaked ones.
pub const SECRET_PREFIX: &str = "dnd_";

/// SHA-256 digest of a secret's text.
pub type SecretDigest = [u8; DIGEST_BYTES];

/// A key's secret, shown once at its grant and then forgotten.
pub struct Secret(Zeroizing<String>);

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

impl Secret {
    /// Makes a secret of random bytes, which are wiped.
    pub fn generate(mut random: [u8; SECRET_BYTES]) -> Self {
        let hex = Zeroizing::new(hex::encode(random));
        random.zeroize();
        Self(Zeroizing::new(format!("{SECRET_PREFIX}{}", hex.as_str())))
    }

    /// Borrows the text that a caller presents.
    pub fn text(&self) -> &str {
        &self.0
    }

    /// Returns the digest that is stored.
    pub fn digest(&self) -> SecretDigest {
        digest(self.text())
    }
}

/// Returns the digest of a presented secret. A secret has 256 random bits, so that a plain hash
/// can't be searched.
pub fn digest(secret: &str) -> SecretDigest {
    Sha256::digest(secret.as_bytes()).into()
}

/// Why a presented secret opens nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// No key in force has it.
    #[error("the key is unknown or withdrawn; ask the operator for a new one")]
    Unknown,
    /// The key has expired.
    #[error("the key has expired; ask the operator for a new one")]
    Expired,
    /// The key does not open the service.
    #[error("the key does not open this service; ask the operator for its scope")]
    Scope,
}

/// Finds keys by the digest of a presented secret.
#[derive(Debug, Clone, Default)]
pub struct KeyIndex {
    by_digest: BTreeMap<SecretDigest, KeyId>,
}

impl KeyIndex {
    /// Indexes the keys in force.
    pub fn open(config: &Config) -> Self {
        let entries = config.keys.values().filter_map(|key| {
            let digest = SecretDigest::try_from(key.digest.as_slice()).ok()?;
            Some((digest, key.id.clone()))
        });
        Self {
            by_digest: entries.collect(),
        }
    }

    /// Returns the key that a presented secret stands for, if it is in force at `now`.
    ///
    /// The search runs over digests, whose order tells nothing of the secrets; the final
    /// comparison takes constant time.
    pub fn find<'a>(
        &self,
        config: &'a Config,
        secret: &str,
        now: WallMillis,
    ) -> Result<&'a Key, KeyError> {
        let presented = digest(secret);
        let id = self.by_digest.get(&presented).ok_or(KeyError::Unknown)?;
        let key = config.keys.get(id).ok_or(KeyError::Unknown)?;
        let same = bool::from(key.digest.as_slice().ct_eq(&presented));
        if !same {
            return Err(KeyError::Unknown);
        }
        check_expiry(key, now)?;
        Ok(key)
    }
}

/// Checks that a key has not expired.
pub fn check_expiry(key: &Key, now: WallMillis) -> Result<(), KeyError> {
    let expired = key.expires.is_some_and(|expires| expires <= now);
    if expired {
        return Err(KeyError::Expired);
    }
    Ok(())
}

/// Checks that a key opens a service; a key without scopes opens all.
pub fn check_scope(key: &Key, service: &ServiceId) -> Result<(), KeyError> {
    let opens = key.scopes.is_empty() || key.scopes.contains(service);
    opens.then_some(()).ok_or(KeyError::Scope)
}
