//! Small identifiers of the request path.

use dandelion_protocol::ids::ServiceId;
use dandelion_protocol::ids::TeamId;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;
use xxhash_rust::xxh3::xxh3_64;

/// Prompt bytes that count for prefix affinity.
pub const PREFIX_BYTES: usize = 1024;

/// A request at its owner; unique within one life of the daemon.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Ticket(pub u64);

/// Identity of a request's content: team, service and body.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Digests a request's team, service and body.
    pub fn of(team: Option<&TeamId>, service: &ServiceId, body: &[u8]) -> Self {
        let mut hasher = Xxh3::new();
        for part in [team.map_or("", TeamId::as_str), service.as_str()] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.update(body);
        Self(hasher.digest())
    }
}

/// Digest of the leading bytes of a prompt, for cache affinity.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct PrefixHash(pub u64);

impl PrefixHash {
    /// Digests the first [`PREFIX_BYTES`] of a prompt.
    pub fn of(prompt: &[u8]) -> Self {
        Self(xxh3_64(&prompt[..prompt.len().min(PREFIX_BYTES)]))
    }
}
