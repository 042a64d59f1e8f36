//! Reports of upstreams about their own state, and the part of them that is replicated.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::ServiceId;
use crate::ids::UpstreamId;
use crate::ids::ZoneId;
use crate::time::WallMillis;

/// Version of an upstream's software, as it reports it; not of the weights that it has loaded. What
/// two versions write doesn't fit together.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SoftwareVersion(pub String);

impl SoftwareVersion {
    /// Returns whether it is known; an upstream, or a daemon of an earlier version, may name none.
    pub fn is_known(&self) -> bool {
        !self.0.is_empty()
    }

    /// Returns whether a stream of this version may go on at an upstream of `other`. Of two unknown
    /// versions nobody can tell.
    pub fn may_continue_at(&self, other: &Self) -> bool {
        self.is_known() && self == other
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(if self.is_known() { &self.0 } else { "unknown" })
    }
}

/// One incarnation of an upstream, as its latest report describes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamIncarnation {
    /// Name of the upstream; a later incarnation may have the same one.
    pub id: UpstreamId,
    /// When the upstream started, as it reports; a later incarnation has a greater value.
    pub born: WallMillis,
    /// Service that it serves.
    pub service: ServiceId,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Availability zone that it runs in.
    pub zone: ZoneId,
    /// Requests that it can run concurrently.
    pub slots: u32,
    /// Whether it accepts new requests; false while it drains.
    pub ready: bool,
    /// Version of its software; unknown if a daemon of an earlier version recorded it.
    #[serde(default)]
    pub software: SoftwareVersion,
}

/// A periodic report of an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct IncarnationReport {
    /// State that is recorded in the replicated table.
    pub life: UpstreamIncarnation,
    /// Number of the report within the incarnation; lower ones than the recorded one are outdated.
    pub sequence: u64,
    /// Version of the loaded weights of each model; empty if it reports no models.
    pub versions: BTreeMap<String, u64>,
}

/// An upstream's notice that it ends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamEnd {
    /// Name of the upstream.
    pub id: UpstreamId,
    /// Incarnation that ends, together with all earlier ones; the recorded one if absent.
    pub born: Option<WallMillis>,
}
