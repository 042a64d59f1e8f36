//! Announcements of upstreams about themselves.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Incarnation;
use crate::ids::ServiceId;
use crate::ids::UpstreamId;
use crate::ids::WeightVersion;
use crate::ids::ZoneId;
use crate::incarnations::SoftwareVersion;

/// Kind of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamKind {
    /// A model engine with continuous batching.
    Engine,
    /// A service that is not a model engine.
    Plain,
}

/// How an upstream is paid for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PriceKind {
    /// Full price, not reclaimed.
    Regular,
    /// Cheaper; the platform can reclaim all of them in a zone at a few seconds' notice.
    Cheap,
}

/// Load as an engine reports it; it lags behind the actual load.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedLoad {
    /// Requests running in the engine's batch.
    pub running: u32,
    /// Requests waiting inside the engine.
    pub waiting: u32,
    /// Used share of the KV-cache blocks, in thousandths.
    pub cache_permille: u16,
}

/// One announcement, posted by an upstream to any daemon of its zone about once a second.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Name of the upstream, the same after a restart.
    pub upstream: UpstreamId,
    /// Incarnation of the upstream; a later start has a greater number.
    pub boot: Incarnation,
    /// Number of the announcement within the incarnation, from 1.
    pub sequence: u64,
    /// Availability zone that it runs in.
    pub zone: ZoneId,
    /// Address for requests, as `ip:port`.
    pub address: String,
    /// Service that it serves.
    pub service: ServiceId,
    /// Kind of the upstream.
    pub kind: UpstreamKind,
    /// Price at which it runs.
    pub price: PriceKind,
    /// Requests that it can run concurrently.
    pub capacity: u32,
    /// Weight version that is loaded; none for a plain service.
    pub version: Option<WeightVersion>,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// Whether it can cancel a stream and resume it later.
    pub resumes: bool,
    /// Whether it is leaving; never unset within one incarnation.
    pub leaving: bool,
    /// Version of its software; unknown if it names none. Its answers name it too, which decides
    /// whether a stream goes on; this one only helps to find an upstream.
    #[serde(default)]
    pub software: SoftwareVersion,
    /// Load at the time of the announcement.
    pub load: ReportedLoad,
}
