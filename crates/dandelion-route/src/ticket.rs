//! Identifiers and sizes of requests on their way to an upstream.

use dandelion_protocol::ids::TeamId;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;
use xxhash_rust::xxh3::xxh3_64;

/// Leading prompt bytes that prefix affinity takes into account.
pub const PREFIX_BYTES: usize = 1024;

/// Number of a request at its owner, unique within one incarnation of the daemon.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Ticket(pub u64);

/// Hash of a request's content: team, service or host, method, target and body.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Hashes a request, its body piece by piece, for `receiver`, which is the service or the host that it is sent to. Method
    /// and target are included because requests without a body would otherwise all have the same
    /// fingerprint.
    pub fn of<'a, B>(
        team: Option<&TeamId>,
        receiver: &str,
        method: &str,
        target: &str,
        body: B,
    ) -> Self
    where
        B: IntoIterator<Item = &'a [u8]>,
    {
        let mut hasher = Xxh3::new();
        let team = team.map_or("", TeamId::as_str);
        for part in [team, receiver, method, target] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        for piece in body {
            hasher.update(piece);
        }
        Self(hasher.digest())
    }
}

/// Hash of the leading bytes of a prompt, for cache affinity.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct PrefixHash(pub u64);

impl PrefixHash {
    /// Hashes the first [`PREFIX_BYTES`] of a prompt.
    pub fn of(prompt: &[u8]) -> Self {
        Self(xxh3_64(&prompt[..prompt.len().min(PREFIX_BYTES)]))
    }
}

/// Prompt tokens that cost an engine as much as one generated token.
pub const PROMPT_PER_OUTPUT: u64 = 16;

/// Token counts are capped at this number, so that sums cannot overflow.
pub const MAX_TOKENS: u64 = 10_000_000;

/// Work of a request in tokens, predicted or done.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// Prompt tokens.
    pub prompt: u64,
    /// Generated tokens.
    pub output: u64,
}

impl Work {
    /// Returns the work with each count capped at [`MAX_TOKENS`].
    #[must_use]
    pub fn bounded(self) -> Self {
        Self {
            prompt: self.prompt.min(MAX_TOKENS),
            output: self.output.min(MAX_TOKENS),
        }
    }

    /// Returns the work in units of generated tokens; work without tokens, such as that done by a
    /// plain service, counts as 1.
    pub fn cost(&self) -> u64 {
        (self.prompt / PROMPT_PER_OUTPUT + self.output).max(1)
    }
}
