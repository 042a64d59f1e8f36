//! Where callers' streams began, so that they can go on at any entry.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::ServiceId;
use crate::incarnations::SoftwareVersion;

/// Name of a stream: its team and the id of the attempt that brought its first event.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StreamKey(pub String);

/// What a stream began at; it may go on only there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// Service of its upstream.
    pub service: ServiceId,
    /// Version of its upstream's software.
    pub software: SoftwareVersion,
    /// Number of the try of the attempt that it was kept for, from 1 on; a later try replaces an earlier
    /// one. 0 from a daemon of an earlier version.
    #[serde(default)]
    pub number: u32,
}

impl StreamOrigin {
    /// Returns whether a stream that began at one of two origins may go on at the other.
    pub fn is_same(&self, other: &Self) -> bool {
        self.service == other.service && self.software == other.software
    }
}

/// A call between daemons about the origin of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OriginCall {
    /// Keeps an origin for a while.
    Keep {
        /// Name of the stream.
        key: StreamKey,
        /// Its origin.
        origin: StreamOrigin,
    },
    /// Asks for an origin.
    Find(StreamKey),
}

/// Reply to an [`OriginCall`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OriginReply {
    /// The origin is kept.
    Kept,
    /// The origin; none if the daemon doesn't know it.
    Found(Option<StreamOrigin>),
}
