//! Where callers' streams began, so that they can go on at any entry.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::DaemonId;
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

/// What an attempt has made daemons keep as the origin of its stream.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptOrigin {
    /// Origin of the latest try.
    pub origin: Option<StreamOrigin>,
    /// Daemons that may have it, or that of an earlier try.
    pub holders: Vec<DaemonId>,
}

impl KeptOrigin {
    /// Adds a try. Returns its origin with the number of the try, the daemons to keep it, and whether
    /// it replaces another origin.
    pub fn begin_try(
        &mut self,
        mut origin: StreamOrigin,
        holders: Vec<DaemonId>,
    ) -> (StreamOrigin, Vec<DaemonId>, bool) {
        let last = self.origin.as_ref();
        let replaces = last.is_some_and(|last| !last.is_same(&origin));
        origin.number = last.map_or(origin.number, |last| last.number) + 1;
        self.add_holders(holders);
        self.origin = Some(origin.clone());
        (origin, self.holders.clone(), replaces)
    }

    /// Adds daemons that may have the origin.
    pub fn add_holders(&mut self, holders: Vec<DaemonId>) {
        for holder in holders {
            if !self.holders.contains(&holder) {
                self.holders.push(holder);
            }
        }
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
