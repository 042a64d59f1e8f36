//! The table of contents that are suspected of ending the upstreams that run them.
//!
//! Copies of a request arrive at any entry, so what is known of a content is counted here, once for
//! the cell: the count outlives each daemon, and every entry with a lease has it.

use std::collections::BTreeMap;

use dandelion_kernel::ApplyContext;
use dandelion_kernel::TABLES;
use dandelion_kernel::Table;
use dandelion_kernel::TableEntry;
use dandelion_protocol::control::Rejection;
use dandelion_protocol::ids::RequestId;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::quarantine::Admission;
use dandelion_protocol::quarantine::EndedUpstream;
use dandelion_protocol::quarantine::MAX_ENDED;
use dandelion_protocol::quarantine::Suspicion;
use dandelion_protocol::quarantine::Trial;
use dandelion_protocol::time::Millis;
use dandelion_protocol::time::WallMillis;
use linkme::distributed_slice;
use serde::Deserialize;
use serde::Serialize;

/// Most suspected contents. Beyond it the one that is forgotten is not blocked, if there is such
/// one, and was changed least recently.
const MAX_CONTENTS: usize = 1_024;

/// Suspected contents by fingerprint.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct QuarantineTable {
    contents: BTreeMap<u64, Suspicion>,
}

/// A change of what is known of one content. Each may be applied again without a further effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum QuarantineCommand {
    /// An upstream ended while it ran the content.
    Ended {
        /// Fingerprint of the content.
        content: u64,
        /// Upstream that ended.
        upstream: EndedUpstream,
        /// Trial in which it ran; none if the content was not known to be suspected.
        trial: Option<RequestId>,
    },
    /// Asks for a trial of a suspected content.
    Begin {
        /// Fingerprint of the content.
        content: u64,
        /// Identity of the trial.
        trial: RequestId,
        /// Upstream that is to run it.
        upstream: UpstreamId,
        /// Time within which its outcome is reported.
        limit: Millis,
    },
    /// A trial ended, and its upstream was neither seen to answer nor to end.
    Release {
        /// Fingerprint of the content.
        content: u64,
        /// Identity of the trial.
        trial: RequestId,
        /// Whether the upstream may have run it.
        interrupted: bool,
    },
    /// An upstream answered the content: it is no longer suspected.
    Pass {
        /// Fingerprint of the content.
        content: u64,
    },
}

impl QuarantineTable {
    /// Borrows the suspected contents by fingerprint.
    pub fn contents(&self) -> &BTreeMap<u64, Suspicion> {
        &self.contents
    }

    fn end(
        &mut self,
        now: WallMillis,
        content: u64,
        upstream: EndedUpstream,
        trial: Option<RequestId>,
    ) -> Admission {
        let known = self.contents.entry(content).or_default();
        known.expire(now);
        if known.ended.len() < MAX_ENDED {
            known.ended.insert(upstream);
        }
        known.since = now;
        let tried = known.trial.take_if(|current| Some(current.id) == trial);
        known.failed_trials += u32::from(tried.is_some());
        let admission = admission_of(known);
        self.forget_surplus(content);
        admission
    }

    fn begin(
        &mut self,
        now: WallMillis,
        content: u64,
        trial: RequestId,
        upstream: UpstreamId,
        limit: Millis,
    ) -> Admission {
        let occupied = self.contents.iter().any(|(other, suspicion)| {
            let trial = suspicion.trial.as_ref();
            *other != content && trial.is_some_and(|t| t.upstream == upstream && now < t.expires)
        });
        let Some(known) = self.contents.get_mut(&content) else {
            return Admission::Clear;
        };
        known.expire(now);
        if known.trial.as_ref().is_some_and(|t| t.id == trial) {
            return Admission::Granted;
        }
        let blocked = known.blocked_until().filter(|until| now < *until);
        if let Some(until) = blocked {
            return Admission::Blocked(until);
        }
        if known.trial.is_some() {
            return Admission::Suspected;
        }
        if occupied {
            return Admission::Occupied;
        }
        known.trial = Some(Trial {
            id: trial,
            upstream,
            expires: WallMillis(now.0.saturating_add(limit.0)),
        });
        Admission::Granted
    }

    fn release(
        &mut self,
        now: WallMillis,
        content: u64,
        trial: RequestId,
        interrupted: bool,
    ) -> Admission {
        let Some(known) = self.contents.get_mut(&content) else {
            return Admission::Clear;
        };
        known.expire(now);
        let released = known.trial.take_if(|current| current.id == trial);
        if released.is_some() && interrupted {
            known.doubtful_trials += 1;
            known.since = now;
        }
        admission_of(known)
    }

    /// Forgets a content other than `kept` if there are too many.
    fn forget_surplus(&mut self, kept: u64) {
        if self.contents.len() <= MAX_CONTENTS {
            return;
        }
        let others = self
            .contents
            .iter()
            .filter(|(content, _)| **content != kept);
        let surplus = others.min_by_key(|(_, s)| (s.blocked_until().is_some(), s.since));
        if let Some(content) = surplus.map(|(content, _)| *content) {
            self.contents.remove(&content);
        }
    }
}

fn admission_of(known: &Suspicion) -> Admission {
    let blocked = known.blocked_until();
    blocked.map_or(Admission::Suspected, Admission::Blocked)
}

impl Table for QuarantineTable {
    const NAME: &'static str = "quarantine";
    const DISTRIBUTED: bool = true;
    const DEDUPLICATED: bool = false;
    type Command = QuarantineCommand;
    type Reply = Admission;

    fn apply(
        &mut self,
        context: &ApplyContext<'_>,
        command: QuarantineCommand,
    ) -> Result<Admission, Rejection> {
        let now = context.at;
        Ok(match command {
            QuarantineCommand::Ended {
                content,
                upstream,
                trial,
            } => self.end(now, content, upstream, trial),
            QuarantineCommand::Begin {
                content,
                trial,
                upstream,
                limit,
            } => self.begin(now, content, trial, upstream, limit),
            QuarantineCommand::Release {
                content,
                trial,
                interrupted,
            } => self.release(now, content, trial, interrupted),
            QuarantineCommand::Pass { content } => {
                self.contents.remove(&content);
                Admission::Clear
            }
        })
    }
}

#[distributed_slice(TABLES)]
static QUARANTINE: TableEntry = TableEntry::of::<QuarantineTable>();
