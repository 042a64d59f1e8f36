//! Orders to the platform.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::RequestId;
use crate::ids::ServiceId;
use crate::ids::Term;
use crate::ids::UpstreamId;
use crate::ids::ZoneId;
use crate::upstream::PriceKind;

/// What the platform is asked to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "order")]
pub enum OrderBody {
    /// Start one upstream of `service`.
    Start {
        /// Service to run.
        service: ServiceId,
        /// Availability zone.
        zone: ZoneId,
        /// Price kind.
        price: PriceKind,
    },
    /// Stop one upstream gracefully.
    Stop {
        /// The upstream to stop; it has been drained.
        upstream: UpstreamId,
    },
}

/// One order; idempotent by `id`, fenced by `term`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Identity, kept over resends.
    pub id: RequestId,
    /// Fencing number: the issuer's leadership term.
    pub term: Term,
    /// What to do.
    pub body: OrderBody,
}
