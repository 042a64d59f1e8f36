//! Secrets of keys, their digests, and the lookup of keys by digest.

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

/// Number of random bytes in a secret.
pub const SECRET_BYTES: usize = 32;

/// Size of a digest, in bytes.
pub const DIGEST_BYTES: usize = 32;

/// Prefix of every secret, so that secret scanners find leaked ones.
pub const SECRET_PREFIX: &str = "dnd_";

/// SHA-256 digest of a secret's text, prefix included.
pub type SecretDigest = [u8; DIGEST_BYTES];

/// Secret of a key. It is shown once, when the key is granted, and only its digest is stored.
pub struct Secret(Zeroizing<String>);

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

impl Secret {
    /// Makes a secret from random bytes and wipes its copy of them.
    pub fn generate(mut random: [u8; SECRET_BYTES]) -> Self {
        let hex = Zeroizing::new(hex::encode(random));
        random.zeroize();
        Self(Zeroizing::new(format!("{SECRET_PREFIX}{}", hex.as_str())))
    }

    /// Borrows the text that callers send.
    pub fn text(&self) -> &str {
        &self.0
    }

    /// Returns the digest that is stored in the key.
    pub fn digest(&self) -> SecretDigest {
        digest(self.text())
    }
}

/// Returns the digest of a presented secret. An unsalted hash is enough: a secret has 256 random
/// bits, which cannot be found by search.
pub fn digest(secret: &str) -> SecretDigest {
    Sha256::digest(secret.as_bytes()).into()
}

/// Why a presented secret is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// No key has this secret: it was never granted, or the key was withdrawn.
    #[error("the key is unknown or withdrawn; ask the operator for a new one")]
    Unknown,
    /// The expiry time of the key has passed.
    #[error("the key has expired; ask the operator for a new one")]
    Expired,
    /// The scopes of the key do not include the service.
    #[error("the key does not open this service; ask the operator for its scope")]
    Scope,
}

/// Index of the keys by the digest of their secret.
#[derive(Debug, Clone, Default)]
pub struct KeyIndex {
    by_digest: BTreeMap<SecretDigest, KeyId>,
}

impl KeyIndex {
    /// Indexes the keys of a configuration; one with a digest of the wrong length is skipped.
    pub fn open(config: &Config) -> Self {
        let entries = config.keys.values().filter_map(|key| {
            let digest = SecretDigest::try_from(key.digest.as_slice()).ok()?;
            Some((digest, key.id.clone()))
        });
        Self {
            by_digest: entries.collect(),
        }
    }

    /// Returns the key of a presented secret, if `config` still has it and it is valid at `now`.
    ///
    /// The lookup orders digests, which reveals nothing about the secrets; the final comparison
    /// takes constant time.
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

/// Checks that a key has not expired at `now`.
pub fn check_expiry(key: &Key, now: WallMillis) -> Result<(), KeyError> {
    let expired = key.expires.is_some_and(|expires| expires <= now);
    if expired {
        return Err(KeyError::Expired);
    }
    Ok(())
}

/// Checks that a key gives access to a service; a key without scopes gives access to all.
pub fn check_scope(key: &Key, service: &ServiceId) -> Result<(), KeyError> {
    let opens = key.scopes.is_empty() || key.scopes.contains(service);
    opens.then_some(()).ok_or(KeyError::Scope)
}
