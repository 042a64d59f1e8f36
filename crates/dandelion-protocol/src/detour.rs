//! Requests of callers that another daemon forwards in the place of the entry that received them.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::UpstreamId;
use crate::streams::KeptOrigin;
use crate::streams::StreamKey;
use crate::streams::StreamOrigin;
use crate::time::Millis;

/// What a daemon needs to forward a caller's request in the place of its entry. It chooses the
/// upstream itself, under the same checks as for a request of its own, tries one, and passes the
/// request on to no other daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Detour {
    /// Requested host.
    pub host: String,
    /// Id of the caller's attempt.
    pub attempt: String,
    /// Version of the route plan that admitted the request; a daemon with an older one declines.
    pub plan: u64,
    /// Upstreams that must not get the request again.
    pub tried: Vec<UpstreamId>,
    /// The stream that the request opens or takes up, if it can go on elsewhere.
    pub stream: Option<StreamDetour>,
}

/// A stream that is opened or taken up by a request which another daemon forwards.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamDetour {
    /// Name of the stream.
    pub key: StreamKey,
    /// Where it began; none if the request opens it.
    pub origin: Option<StreamOrigin>,
    /// What earlier tries of the request have made daemons keep.
    pub kept: KeptOrigin,
}

/// Why a daemon doesn't forward a request of another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Decline {
    /// It has lost its own links to the upstreams.
    LinksLost,
    /// It forwards as many requests as it can.
    Full,
    /// It stops.
    Stopping,
    /// Its lease has ended or is about to.
    NoLease,
    /// Its route plan is older than the one that admitted the request.
    Outdated,
    /// It gave another reason, or doesn't know this kind of request.
    #[serde(other)]
    Unknown,
}

impl fmt::Display for Decline {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::LinksLost => "links_lost",
            Self::Full => "full",
            Self::Stopping => "stopping",
            Self::NoLease => "no_lease",
            Self::Outdated => "outdated",
            Self::Unknown => "unknown",
        })
    }
}

/// How a request ended that another daemon was to forward and that got no answer of an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DetourEnd {
    /// The daemon did not take it; nothing was sent to an upstream.
    Declined(Decline),
    /// It may not run now, at whichever daemon.
    Held {
        /// Reason, as the log shows it.
        reason: String,
        /// Delay after which the caller may retry.
        retry: Millis,
    },
    /// There is no upstream that was not tried.
    NoUpstream,
    /// The upstream did not run it.
    NotRun {
        /// Upstream that was tried.
        upstream: UpstreamId,
        /// Whether no connection to it could be made.
        unreached: bool,
        /// What this and earlier tries have made daemons keep.
        kept: KeptOrigin,
    },
    /// The upstream may have run it, but there is no answer that can be trusted.
    Failed {
        /// Upstream that was tried.
        upstream: UpstreamId,
    },
}
