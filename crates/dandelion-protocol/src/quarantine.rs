//! Contents that are suspected of ending the upstreams that run them, and their trials.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::RequestId;
use crate::ids::UpstreamId;
use crate::time::Millis;
use crate::time::WallMillis;

/// Trials of a content that may end their upstreams before the content is blocked; of trials that
/// were interrupted for another reason, one more.
pub const MAX_FAILED_TRIALS: u32 = 2;

/// Upstreams that may end under a content before its first interrupted trial blocks it.
pub const MAX_ENDED: usize = 3;

/// Time for which a block holds. After it a single trial decides whether it holds that long again.
pub const BLOCK_TIME: Millis = Millis::from_secs(3600);

/// An incarnation of an upstream that ended while it ran a content.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EndedUpstream {
    /// Name of the upstream.
    pub id: UpstreamId,
    /// Start of the incarnation.
    pub born: WallMillis,
}

/// A run of a suspected content. In the whole cell there is at most one at a time of a content, and
/// at most one at a time on an upstream, so that a content isn't blamed for what another did.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trial {
    /// Identity of the trial, chosen by the daemon that runs it.
    pub id: RequestId,
    /// Upstream that runs it.
    pub upstream: UpstreamId,
    /// Time at which it counts as failed if its outcome was not reported.
    pub expires: WallMillis,
}

/// What is known of a suspected content.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspicion {
    /// Upstreams that ended under it, the first [`MAX_ENDED`] of them.
    pub ended: BTreeSet<EndedUpstream>,
    /// Trials whose upstream ended, or whose outcome was never reported.
    pub failed_trials: u32,
    /// Trials that were interrupted although their upstream seemed to go on.
    pub doubtful_trials: u32,
    /// Trial in progress.
    pub trial: Option<Trial>,
    /// When an upstream last ended under it, or a trial failed.
    pub since: WallMillis,
}

impl Suspicion {
    /// Returns the end of the block, or none if the content is not blocked. The content may be
    /// tried again after it.
    pub fn blocked_until(&self) -> Option<WallMillis> {
        let interrupted = self.failed_trials + self.doubtful_trials;
        let certain = self.failed_trials >= MAX_FAILED_TRIALS
            || interrupted > MAX_FAILED_TRIALS
            || (interrupted > 0 && self.ended.len() >= MAX_ENDED);
        certain.then(|| WallMillis(self.since.0.saturating_add(BLOCK_TIME.0)))
    }

    /// Counts a trial without a reported outcome as failed once it has expired.
    pub fn expire(&mut self, now: WallMillis) {
        if self.trial.take_if(|trial| trial.expires <= now).is_some() {
            self.failed_trials += 1;
            self.since = now;
        }
    }
}

/// Whether a content may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Admission {
    /// It is not suspected.
    Clear,
    /// The requested trial may run.
    Granted,
    /// It is suspected, and no trial was requested or another one is in progress.
    Suspected,
    /// It is suspected, and the requested upstream runs a trial of another content.
    Occupied,
    /// It is blocked until this time.
    Blocked(WallMillis),
}
