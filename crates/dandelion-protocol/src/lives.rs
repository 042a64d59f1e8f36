//! Reports in which upstreams say that they live, and what is kept of them.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::ServiceId;
use crate::ids::UpstreamId;
use crate::ids::ZoneId;
use crate::time::WallMillis;

/// One life of an upstream, from its start to its end.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamLife {
    /// Name; a later life may bear it again.
    pub id: UpstreamId,
    /// Start of this life; a later one is greater.
    pub born: WallMillis,
    /// Service.
    pub service: ServiceId,
    /// Address for requests.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new requests; otherwise it is leaving.
    pub ready: bool,
}

/// One report of an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamReport {
    /// What is kept.
    pub life: UpstreamLife,
    /// Number of the report in this life.
    pub sequence: u64,
    /// Versions of the weights by model.
    pub versions: BTreeMap<String, u64>,
}

/// Ends one life of an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamEnd {
    /// Name.
    pub id: UpstreamId,
    /// Life that ends; every known one if absent.
    pub born: Option<WallMillis>,
}
