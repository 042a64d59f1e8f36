//! What an owner tells the entries of its zone, in few bytes, and to whom and when.

use dandelion_protocol::ids::DaemonId;
use dandelion_protocol::ids::Incarnation;
use dandelion_protocol::ids::ServiceId;
use dandelion_protocol::time::Millis;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::ownership::top;
use crate::poison::SuspectNote;
use crate::queue::OwnerQueue;

/// Digests sent a second, each to another peer in turn.
pub const DIGESTS_PER_SECOND: usize = 5;

/// Daemons of each other zone that tell an entry of their zone.
pub const FAR_SENDERS: usize = 2;

/// Time between two digests of a zone to an entry of another zone.
pub const FAR_EVERY: Millis = Millis::from_secs(10);

/// Short name of a service on the wire; two services of one cell with the same tag are treated
/// as one by entries, and the owner refuses what it does not serve.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServiceTag(pub u32);

impl ServiceTag {
    /// Digests a service's name.
    pub fn of(service: &ServiceId) -> Self {
        Self(xxh3_64(service.as_str().as_bytes()) as u32)
    }
}

/// State of one service at one owner. On the wire it is an array of integers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "[u32; 5]", into = "[u32; 5]")]
pub struct ServiceDigest {
    /// Service.
    pub tag: ServiceTag,
    /// Requests that may run at once; zero takes the owner out of the choice.
    pub slots: u32,
    /// Requests running.
    pub inflight: u32,
    /// Requests waiting.
    pub queued: u32,
    /// Upstreams.
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
    /// Describes a queue.
    pub fn of(service: &ServiceId, queue: &OwnerQueue) -> Self {
        Self {
            tag: ServiceTag::of(service),
            slots: u32::try_from(queue.pool().limits()).unwrap_or(u32::MAX),
            inflight: queue.inflight() as u32,
            queued: queue.waiting() as u32,
            upstreams: queue.pool().len() as u32,
        }
    }
}

/// State of an owner. The owner's name is known from the connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerDigest {
    /// Life of the owner.
    #[serde(rename = "b")]
    pub boot: Incarnation,
    /// Counts the owner's digests.
    #[serde(rename = "n")]
    pub sequence: u64,
    /// Whether it is handing over before it stops.
    #[serde(rename = "l")]
    pub leaving: bool,
    /// Services.
    #[serde(rename = "s")]
    pub services: Vec<ServiceDigest>,
}

/// Body of `MeshMessage::Digest`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ZoneMessage {
    /// Load of the sender.
    #[serde(rename = "d")]
    Digest(OwnerDigest),
    /// Marks on requests that crash upstreams, at most `poison::MAX_NOTES`.
    #[serde(rename = "n")]
    Notes(Vec<SuspectNote>),
}

/// Whose turn it is to get the digest.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DigestSchedule {
    turn: usize,
    sent: Option<Millis>,
}

impl DigestSchedule {
    /// Returns the positions of the peers, out of `peers`, that get a digest now. Fed at least
    /// once a second; each peer is served at most once a second.
    pub fn due(&mut self, now: Millis, peers: usize) -> Vec<usize> {
        let second = Millis::from_secs(1);
        if peers == 0 || self.sent.is_some_and(|at| now.since(at) < second) {
            return Vec::new();
        }
        self.sent = Some(now);
        let count = peers.min(DIGESTS_PER_SECOND);
        let first = self.turn % peers;
        self.turn = (first + count) % peers;
        (first..first + count).map(|n| n % peers).collect()
    }
}

/// Returns the daemons of another zone that send their zone's digest to `receiver`. Every daemon
/// finds the same, so no one asks for it.
pub fn far_senders<'a, I>(receiver: &DaemonId, members: I) -> Vec<&'a DaemonId>
where
    I: IntoIterator<Item = &'a DaemonId>,
{
    top(receiver.as_str().as_bytes(), members, FAR_SENDERS)
}
