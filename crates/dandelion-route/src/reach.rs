//! Decides from connections that fail whether a daemon has lost its links to all upstreams.
//!
//! Meant for entries that are cut off from the upstreams while callers and the other daemons still
//! reach them. The replicated table of upstreams shows what the control daemons see; whether this
//! daemon reaches an upstream, only its own connections show. One that fails may as well mean that
//! the upstream has just ended, so it is only the reason to try connections to others.

use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::ids::ZoneId;
use dandelion_protocol::incarnations::UpstreamIncarnation;
use dandelion_protocol::time::Millis;
use rand::Rng;
use rand::seq::SliceRandom;

/// Shortest time from a check that reached an upstream to the next one.
const WHOLE_INTERVAL: Millis = Millis(500);

/// Time from a check that reached no upstream to the next one, and so about the time for which
/// restored links stay unused.
pub const LOST_INTERVAL: Millis = Millis(100);

/// Most upstreams to which a check connects.
const MAX_TARGETS: usize = 3;

/// Fewest upstreams that a check must have failed to reach to count as a loss of all links.
const MIN_TARGETS: usize = 2;

/// What a check has changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The links are lost.
    Lost,
    /// The links work again, after this time.
    Restored(Millis),
}

/// Whether a daemon reaches the upstreams.
#[derive(Debug, Default)]
pub struct Reach {
    /// Since when no upstream is reached; none while some are.
    lost: Option<Millis>,
    /// Whether a check is in progress.
    checking: bool,
    /// End of the last check.
    checked: Option<Millis>,
}

impl Reach {
    /// Returns whether no upstream is reached.
    pub fn is_lost(&self) -> bool {
        self.lost.is_some()
    }

    /// Records that a connection to an upstream could not be made; returns whether a check must begin.
    pub fn connection_failed(&mut self, now: Millis) -> bool {
        let is_due = self
            .checked
            .is_none_or(|at| now.since(at) >= WHOLE_INTERVAL);
        if self.checking || !is_due {
            return false;
        }
        self.checking = true;
        true
    }

    /// Records a check that connected to `reached` of `tried` upstreams. While the links are lost,
    /// further checks follow.
    pub fn checked(&mut self, now: Millis, reached: usize, tried: usize) -> Option<Change> {
        self.checked = Some(now);
        let change = match self.lost {
            None if reached == 0 && tried >= MIN_TARGETS => {
                self.lost = Some(now);
                Some(Change::Lost)
            }
            // Without upstreams to try, there is nothing that a request could need the links for.
            Some(since) if reached > 0 || tried == 0 => {
                self.lost = None;
                Some(Change::Restored(now.since(since)))
            }
            _ => None,
        };
        self.checking = self.is_lost();
        change
    }
}

/// Returns the upstreams to which a check connects, drawn from those that serve. Those in `failed`
/// come last: they may have ended. One of the daemon's own `zone` comes first, as a zone that is cut
/// off from the others still reaches its own.
pub fn targets<'a, R>(
    upstreams: &'a [UpstreamIncarnation],
    zone: &ZoneId,
    failed: &[UpstreamId],
    rng: &mut R,
) -> Vec<&'a UpstreamIncarnation>
where
    R: Rng,
{
    let serving = upstreams.iter().filter(|u| u.ready);
    let mut targets: Vec<&UpstreamIncarnation> = serving.collect();
    targets.shuffle(rng);
    targets.sort_by_key(|u| failed.contains(&u.id));
    let is_near = |u: &&UpstreamIncarnation| u.zone == *zone && !failed.contains(&u.id);
    if let Some(near) = targets.iter().position(is_near) {
        targets.swap(0, near);
    }
    targets.truncate(MAX_TARGETS);
    targets
}
