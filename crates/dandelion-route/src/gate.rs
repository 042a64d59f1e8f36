//! Decides immediately before a request is written whether its upstream may still get it.
//!
//! Meant for requests and batch items that wait after their upstream was chosen: for a permit, for a
//! connection, for a second try on a fresh connection, or because the process was suspended.

use std::collections::BTreeSet;
use std::fmt;

use dandelion_protocol::ids::ZoneId;
use dandelion_protocol::incarnations::UpstreamIncarnation;
use dandelion_protocol::time::Millis;

use crate::leaving::KnownLeaving;

/// Remaining lease that writing a request requires: the longest time from the check until the
/// request has reached its upstream, on a VM whose processor is withheld for up to a tenth of a
/// second. A lease lasts as long as an upstream that leaves may still get requests, so the request
/// arrives within that time.
pub const SEND_MARGIN: Millis = Millis(100);

/// Why a request must not be written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Withheld {
    /// The daemon's lease has ended or is about to, so its view may be too old.
    NoLease,
    /// The upstream leaves, has ended or was replaced by its next incarnation.
    Left,
    /// The zone of the upstream is evacuated.
    Evacuated,
}

impl Withheld {
    /// Returns the name of the reason in events.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoLease => "no_lease",
            Self::Left => "upstream_left",
            Self::Evacuated => "zone_evacuated",
        }
    }
}

impl fmt::Display for Withheld {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// What a daemon knows at the moment at which it would write a request.
#[derive(Debug, Clone, Copy)]
pub struct Knowledge<'a> {
    /// Time until the daemon's lease ends, read before `incarnations`.
    pub lease_left: Millis,
    /// Upstreams of the newest view.
    pub incarnations: &'a [UpstreamIncarnation],
    /// Upstreams that have told this daemon that they leave.
    pub leaving: &'a KnownLeaving,
    /// Evacuated zones of the newest view.
    pub evacuated: &'a BTreeSet<ZoneId>,
}

impl Knowledge<'_> {
    /// Checks that a request may be written to an incarnation now.
    pub fn check(&self, upstream: &UpstreamIncarnation) -> Result<(), Withheld> {
        if self.lease_left < SEND_MARGIN {
            return Err(Withheld::NoLease);
        }
        let same =
            |known: &&UpstreamIncarnation| known.id == upstream.id && known.born == upstream.born;
        match self.incarnations.iter().find(same) {
            Some(known) if self.evacuated.contains(&known.zone) => Err(Withheld::Evacuated),
            Some(known) if known.ready && !self.leaving.leaves(known) => Ok(()),
            _ => Err(Withheld::Left),
        }
    }
}
