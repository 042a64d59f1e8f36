//! Reports of upstreams about their own state, and the part of them that is replicated.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::ServiceId;
use crate::ids::UpstreamId;
use crate::ids::ZoneId;
use crate::time::WallMillis;

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
