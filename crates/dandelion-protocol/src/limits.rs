//! Limits that upstreams name on the requests that they take, and permits to send under them.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Term;
use crate::ids::UpstreamId;
use crate::incarnations::UpstreamIncarnation;
use crate::time::Millis;
use crate::time::WallMillis;

/// Time after it was asked for in which a permit may be used.
pub const PERMIT_TIME: Millis = Millis(300);

/// Requests that an upstream takes from all daemons together, in thousandths a second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RateLimit(pub u64);

impl RateLimit {
    /// Converts a number of requests a second; returns none if it is negative or no number.
    pub fn from_per_second(requests: f64) -> Option<Self> {
        let is_valid = requests.is_finite() && requests >= 0.0;
        is_valid.then_some(Self((requests * 1000.0) as u64))
    }

    /// Returns the requests a second.
    pub fn per_second(self) -> f64 {
        self.0 as f64 / 1000.0
    }
}

/// Place of a permit in the order in which all permits of the cell are granted. The default one
/// precedes all permits.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct PermitNumber {
    /// Term of the control leader that granted it.
    pub term: Term,
    /// Number within the term.
    pub number: u64,
}

impl fmt::Display for PermitNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.term, self.number)
    }
}

/// Permit for one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RatePermit {
    /// Its number.
    pub number: PermitNumber,
    /// Time on the boot-time clock of this process until which the request may be sent.
    pub until: Millis,
}

/// A limit that an incarnation of an upstream has named.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedLimit {
    /// Start of the incarnation.
    pub born: WallMillis,
    /// The limit.
    pub rate: RateLimit,
    /// Permit of the request whose answer named it; the default one if the request had none.
    pub seen: PermitNumber,
}

/// What an answer of an upstream said about its limit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Name of the upstream.
    pub upstream: UpstreamId,
    /// Start of its incarnation.
    pub born: WallMillis,
    /// The limit, or none if the answer named none.
    pub rate: Option<RateLimit>,
    /// Permit of the request; the default one if it had none.
    pub seen: PermitNumber,
}

/// An upstream to which a request is to be sent under a limit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitedUpstream {
    /// Name of the upstream.
    pub id: UpstreamId,
    /// Newest limit that the sender knows; one at the rate of `cold` if the upstream names none.
    pub limit: NamedLimit,
    /// Limit while the upstream is cold; none if the sender knows it as warm.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold: Option<ColdLimit>,
}

/// Limit of a cold upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdLimit {
    /// Requests that it tolerates.
    pub rate: RateLimit,
    /// Whether it names no limit itself.
    pub alone: bool,
}

impl LimitedUpstream {
    /// Combines the limit that an incarnation names and the rate that it tolerates while it is cold;
    /// returns none if there is neither.
    pub fn of(
        upstream: &UpstreamIncarnation,
        named: Option<NamedLimit>,
        cold: Option<RateLimit>,
    ) -> Option<Self> {
        let cold_limit = |rate| NamedLimit {
            born: upstream.born,
            rate,
            seen: PermitNumber::default(),
        };
        Some(Self {
            id: upstream.id.clone(),
            limit: named.or_else(|| cold.map(cold_limit))?,
            cold: cold.map(|rate| ColdLimit {
                rate,
                alone: named.is_none(),
            }),
        })
    }

    /// Returns the limit that the upstream names, if any.
    pub fn named(&self) -> Option<NamedLimit> {
        let is_named = self.cold.is_none_or(|cold| !cold.alone);
        is_named.then_some(self.limit)
    }

    /// Returns the lowest rate that applies.
    pub fn rate(&self) -> RateLimit {
        let cold = self.cold.map_or(self.limit.rate, |cold| cold.rate);
        cold.min(self.limit.rate)
    }
}

/// Asks the control leader for permits of one upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitCall {
    /// Upstreams in the order of preference; the first one with a permit left is chosen.
    pub upstreams: Vec<LimitedUpstream>,
    /// Most permits that the sender can use within [`PERMIT_TIME`].
    pub count: u32,
}

/// Permits of one upstream. Each allows one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Name of the upstream.
    pub upstream: UpstreamId,
    /// Number of the first permit; the others follow it.
    pub first: PermitNumber,
    /// Number of permits, at least one.
    pub count: u32,
    /// Time until the upstream has another permit.
    pub next: Millis,
}

/// Reply to a [`PermitCall`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PermitReply {
    /// The permits.
    Granted(Grant),
    /// No upstream has a permit left; for each, the time until it has one.
    Denied(Vec<Millis>),
    /// The daemon does not hold the lease of the control leader for long enough.
    NotLeader,
}
