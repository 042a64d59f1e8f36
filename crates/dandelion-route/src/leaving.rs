//! Upstreams that have said in an answer that they leave.
//!
//! Meant for upstreams whose reports don't reach the control daemons, or arrive late: what they say to
//! one daemon holds for that daemon, whatever the replicated table says of them.

use std::collections::BTreeMap;

use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::incarnations::UpstreamIncarnation;
use dandelion_protocol::time::WallMillis;

/// Most upstreams that are remembered. The one that answered earliest is forgotten first: it has
/// ended long ago.
const MAX_MARKS: usize = 4_096;

/// The incarnations of one upstream that leave or have left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Mark {
    /// Start of the incarnation that the request was meant for; earlier ones have ended.
    born: WallMillis,
    /// When it answered. The answer may be that of the next incarnation, if the view didn't have it
    /// yet, so incarnations that had started by then leave too.
    answered: WallMillis,
}

/// The upstreams that this daemon knows to leave from their answers.
#[derive(Debug, Default)]
pub struct KnownLeaving {
    marks: BTreeMap<UpstreamId, Mark>,
}

impl KnownLeaving {
    /// Records an answer at `now` which says that its upstream leaves. Returns false if that was
    /// known.
    pub fn observe(&mut self, now: WallMillis, upstream: &UpstreamIncarnation) -> bool {
        if self.leaves(upstream) {
            return false;
        }
        let mark = Mark {
            born: upstream.born,
            answered: now,
        };
        self.marks.insert(upstream.id.clone(), mark);
        if self.marks.len() > MAX_MARKS {
            let oldest = self.marks.iter().min_by_key(|(_, mark)| mark.answered);
            if let Some(id) = oldest.map(|(id, _)| id.clone()) {
                self.marks.remove(&id);
            }
        }
        true
    }

    /// Returns whether an incarnation has said that it leaves.
    pub fn leaves(&self, upstream: &UpstreamIncarnation) -> bool {
        let mark = self.marks.get(&upstream.id);
        mark.is_some_and(|mark| upstream.born <= mark.born || upstream.born <= mark.answered)
    }
}
