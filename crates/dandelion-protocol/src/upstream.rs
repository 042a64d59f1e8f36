//! What upstreams announce of themselves.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Incarnation;
use crate::ids::ServiceId;
use crate::ids::UpstreamId;
use crate::ids::WeightVersion;
use crate::ids::ZoneId;

/// What an upstream is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamKind {
    /// A model engine with continuous batching.
    Engine,
    /// A plain service.
    Plain,
}

/// How an upstream is paid for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PriceKind {
    /// Full price, not reclaimed.
    Regular,
    /// Cheaper; a whole zone of them can be reclaimed at seconds' notice.
    Cheap,
}

/// Load as an engine reports it, with a lag.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedLoad {
    /// Requests running in the engine's batch.
    pub running: u32,
    /// Requests waiting inside the engine.
    pub waiting: u32,
    /// Share of KV-cache blocks in use, in thousandths.
    pub cache_permille: u16,
}

/// One announcement, posted by an upstream to any daemon of its zone about once a second.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Name of the upstream, stable over restarts.
    pub upstream: UpstreamId,
    /// Life of the upstream; a later start has a greater number.
    pub boot: Incarnation,
    /// Counts announcements within one boot, from 1.
    pub sequence: u64,
    /// Availability zone.
    pub zone: ZoneId,
    /// Address as `ip:port`.
    pub address: String,
    /// Service it serves.
    pub service: ServiceId,
    /// Engine or plain service.
    pub kind: UpstreamKind,
    /// Price kind.
    pub price: PriceKind,
    /// Requests it can run at once.
    pub capacity: u32,
    /// Weight version now loaded, if an engine.
    pub version: Option<WeightVersion>,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// Whether it can cancel and resume a stream.
    pub resumes: bool,
    /// Set once it is leaving; never unset within one boot.
    pub leaving: bool,
    /// Load at the time of the announcement.
    pub load: ReportedLoad,
}
