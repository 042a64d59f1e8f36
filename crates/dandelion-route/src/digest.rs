//! Compact load digests that owners send to entries, and the schedule and recipients of them.

use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::ids::ServiceId;
use dandelion_protocol::time::Millis;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::ownership::rendezvous_top;
use crate::poison::SuspectNote;
use crate::queue::OwnerQueue;

/// Digests that a daemon sends per second to the peers of its zone, round-robin.
pub const DIGESTS_PER_SECOND: usize = 5;

/// Number of daemons of each other zone that send their zone's digest to an entry.
pub const REMOTE_SENDERS: usize = 2;

/// Interval between two digests from one sender of a zone to an entry of another zone.
pub const REMOTE_INTERVAL: Millis = Millis::from_secs(10);

/// 32-bit hash that stands for a service's name on the wire.
///
/// Entries treat two services of a cell with the same tag as one; the owner refuses requests for a
/// service that it does not serve.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServiceTag(pub u32);

impl ServiceTag {
    /// Hashes a service's name.
    pub fn of(service: &ServiceId) -> Self {
        Self(xxh3_64(service.as_str().as_bytes()) as u32)
    }
}

/// Load of one service at one owner, or summed over a zone. On the wire it is an array of integers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "[u32; 5]", into = "[u32; 5]")]
pub struct ServiceDigest {
    /// Hash of the service's name.
    pub tag: ServiceTag,
    /// Requests that may run at once; entries choose no owner with zero.
    pub slots: u32,
    /// Requests at upstreams.
    pub inflight: u32,
    /// Requests waiting for an upstream.
    pub queued: u32,
    /// Upstreams of the service, unavailable ones included.
    pub upstreams: u32,
}

impl From<[u32; 5]> for ServiceDigest {
    fn from([tag, slots, inflight, queued, upstreams]: [u32; 5]) -> Self {
        Self {
            tag: ServiceTag(tag),
            slots,
            inflight,
            queued,
            upstreams,
        }
    }
}

impl From<ServiceDigest> for [u32; 5] {
    fn from(digest: ServiceDigest) -> Self {
        [
            digest.tag.0,
            digest.slots,
            digest.inflight,
            digest.queued,
            digest.upstreams,
        ]
    }
}

impl ServiceDigest {
    /// Summarizes the queue of `service`.
    pub fn of(service: &ServiceId, queue: &OwnerQueue) -> Self {
        Self {
            tag: ServiceTag::of(service),
            slots: u32::try_from(queue.pool().shared_capacity()).unwrap_or(u32::MAX),
            inflight: queue.inflight() as u32,
            queued: queue.waiting() as u32,
            upstreams: queue.pool().len() as u32,
        }
    }
}

/// Load of all services at one owner. The owner's name is known from the connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerDigest {
    /// Incarnation of the owner.
    #[serde(rename = "b")]
    pub boot: Incarnation,
    /// Increases with each digest of one incarnation.
    #[serde(rename = "n")]
    pub sequence: u64,
    /// Whether the owner is shutting down; entries then send it no more requests.
    #[serde(rename = "l")]
    pub leaving: bool,
    /// Load of each service.
    #[serde(rename = "s")]
    pub services: Vec<ServiceDigest>,
}

/// Body of `MeshMessage::Digest`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ZoneMessage {
    /// Load of the sender, or of the sender's zone for an entry of another zone.
    #[serde(rename = "d")]
    Digest(OwnerDigest),
    /// Status of requests suspected of crashing upstreams, at most `poison::MAX_NOTES`.
    #[serde(rename = "n")]
    Notes(Vec<SuspectNote>),
}

/// Round-robin schedule of the peers that receive the digest.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DigestSchedule {
    cursor: usize,
    last_sent: Option<Millis>,
}

impl DigestSchedule {
    /// Returns the positions, out of `peers`, of the peers that receive a digest now. To be called
    /// at least once a second; a peer receives at most one digest a second.
    pub fn due(&mut self, now: Millis, peers: usize) -> Vec<usize> {
        let second = Millis::from_secs(1);
        if peers == 0 || self.last_sent.is_some_and(|at| now.since(at) < second) {
            return Vec::new();
        }
        self.last_sent = Some(now);
        let count = peers.min(DIGESTS_PER_SECOND);
        let first = self.cursor % peers;
        self.cursor = (first + count) % peers;
        (first..first + count).map(|n| n % peers).collect()
    }
}

/// Returns the daemons among `members`, those of one zone, that send the zone's digest to
/// `receiver` in another zone. Every daemon computes the same result, so nobody has to request it.
pub fn remote_senders<'a, I>(receiver: &DaemonId, members: I) -> Vec<&'a DaemonId>
where
    I: IntoIterator<Item = &'a DaemonId>,
{
    rendezvous_top(receiver.as_str().as_bytes(), members, REMOTE_SENDERS)
}
