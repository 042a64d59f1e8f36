//! Reports of upstreams about their own state, and the part of them that is replicated.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::ids::ServiceId;
use crate::ids::UpstreamId;
use crate::ids::ZoneId;
use crate::time::Millis;
use crate::time::WallMillis;

/// Most milliseconds by which an upstream's clock may be ahead of the cell's.
pub const MAX_CLOCK_SKEW_MS: u64 = 3_600_000;

/// Most requests that an upstream may run concurrently; the slots of 10,000 upstreams fit 32 bits.
pub const MAX_SLOTS: u32 = 65_536;

/// Longest name of a software version or model, in bytes.
pub const MAX_LABEL_BYTES: usize = 256;

/// Most models that a report may name.
pub const MAX_MODELS: usize = 1_024;

/// Greatest number of a version of weights.
pub const MAX_VERSION: u64 = 1 << 53;

/// Why a report names no upstream that can be used. What it says would outlast all later reports, or is
/// nothing that can be sent to.
#[derive(Debug, Clone, Copy, Error, PartialEq, Eq)]
pub enum ReportError {
    /// It says that it starts in the future.
    #[error("the start is more than an hour ahead; correct the upstream's clock")]
    Start,
    /// It has made more reports than milliseconds have passed since its start.
    #[error(
        "the report's number is too large for the time since the start; count from 1 at each start"
    )]
    Sequence,
    /// It says that it runs too many requests.
    #[error("an upstream has at most {MAX_SLOTS} slots; correct their number")]
    Slots,
    /// Nothing can listen at its address.
    #[error("nothing can be sent to the address; name a port and the address of one host")]
    Address,
    /// The name of a version or model is too long.
    #[error("a name has more than {MAX_LABEL_BYTES} bytes; shorten it")]
    Label,
    /// It names too many models.
    #[error("a report has at most {MAX_MODELS} models; leave some out")]
    Models,
    /// The number of a version of weights is too large.
    #[error("a version is at most {MAX_VERSION}; correct it")]
    Version,
}

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

/// Returns whether an upstream can have started at `born` if it is `now`.
pub fn is_start(born: WallMillis, now: WallMillis) -> bool {
    born.0 <= now.0.saturating_add(MAX_CLOCK_SKEW_MS)
}

impl UpstreamIncarnation {
    /// Checks that it can be an upstream if it is `now`; `sequence` is the number of the report.
    pub fn check(&self, sequence: u64, now: WallMillis) -> Result<(), ReportError> {
        let elapsed = now.0.saturating_sub(self.born.0);
        let ip = self.address.ip();
        if !is_start(self.born, now) {
            Err(ReportError::Start)
        } else if sequence > elapsed.saturating_add(MAX_CLOCK_SKEW_MS) {
            Err(ReportError::Sequence)
        } else if self.slots > MAX_SLOTS {
            Err(ReportError::Slots)
        } else if self.address.port() == 0 || ip.is_unspecified() || ip.is_multicast() {
            Err(ReportError::Address)
        } else if self.software.0.len() > MAX_LABEL_BYTES {
            Err(ReportError::Label)
        } else {
            Ok(())
        }
    }
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
    /// Time until it is warm, zero if it is; none if it reports nothing about that.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold_left: Option<Millis>,
}

impl IncarnationReport {
    /// Checks that the report can be an upstream's if it is `now`.
    pub fn check(&self, now: WallMillis) -> Result<(), ReportError> {
        if self.versions.len() > MAX_MODELS {
            return Err(ReportError::Models);
        }
        if self
            .versions
            .keys()
            .any(|name| name.len() > MAX_LABEL_BYTES)
        {
            return Err(ReportError::Label);
        }
        if self.versions.values().any(|version| *version > MAX_VERSION) {
            return Err(ReportError::Version);
        }
        self.life.check(self.sequence, now)
    }
}

/// An upstream's notice that it ends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamEnd {
    /// Name of the upstream.
    pub id: UpstreamId,
    /// Incarnation that ends, together with all earlier ones; the recorded one if absent.
    pub born: Option<WallMillis>,
}
