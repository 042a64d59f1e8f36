//! Decides immediately before a request is written whether its upstream may still get it.
//!
//! Meant for requests and batch items that wait after their upstream was chosen: for a permit, for a
//! connection, for a second try on a fresh connection, or because the process was suspended.

use std::fmt;

use dandelion_protocol::incarnations::UpstreamIncarnation;
use dandelion_protocol::time::Millis;

/// Remaining lease that writing a request requires: the longest time from the check until the
/// request has reached its upstream. With a lease of the time within which an upstream that leaves
/// must get no more requests, the request then arrives within that time.
pub const SEND_MARGIN: Millis = Millis(200);

/// Why a request must not be written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Withheld {
    /// The daemon's lease has ended or is about to, so its view may be too old.
    NoLease,
    /// The upstream leaves, has ended or was replaced by its next incarnation.
    Left,
}

impl fmt::Display for Withheld {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NoLease => "no_lease",
            Self::Left => "upstream_left",
        })
    }
}

/// What a daemon knows at the moment at which it would write a request.
#[derive(Debug, Clone, Copy)]
pub struct Knowledge<'a> {
    /// Time until the daemon's lease ends, read before `incarnations`.
    pub lease_left: Millis,
    /// Upstreams of the newest view.
    pub incarnations: &'a [UpstreamIncarnation],
}

impl Knowledge<'_> {
    /// Returns whether the view is new enough to choose upstreams by it.
    pub fn is_current(&self) -> bool {
        self.lease_left >= SEND_MARGIN
    }

    /// Checks that a request may be written to an incarnation now.
    pub fn check(&self, upstream: &UpstreamIncarnation) -> Result<(), Withheld> {
        if !self.is_current() {
            return Err(Withheld::NoLease);
        }
        let same =
            |known: &&UpstreamIncarnation| known.id == upstream.id && known.born == upstream.born;
        match self.incarnations.iter().find(same) {
            Some(known) if known.ready => Ok(()),
            _ => Err(Withheld::Left),
        }
    }
}
