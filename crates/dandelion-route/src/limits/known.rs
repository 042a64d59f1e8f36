//! What one daemon knows of the limits that upstreams name.

use std::collections::BTreeMap;

use dandelion_protocol::ids::Revision;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::incarnations::UpstreamIncarnation;
use dandelion_protocol::limits::LimitReport;
use dandelion_protocol::limits::NamedLimit;
use dandelion_protocol::limits::PermitNumber;
use dandelion_protocol::limits::RateLimit;
use dandelion_protocol::time::Millis;

/// A limit that rises by less than this factor stays as it is, so that one that follows an
/// upstream's load doesn't change with every answer. A lower one always counts.
const RISE_FACTOR: f64 = 1.1;

/// Time for which no permit is asked for after no control leader answered.
const LEADER_PAUSE: Millis = Millis(300);

/// The replicated limits, as this daemon has them.
#[derive(Debug, Clone, Copy)]
pub struct Replicated<'a> {
    /// Limits by upstream.
    pub limits: &'a BTreeMap<UpstreamId, NamedLimit>,
    /// Revision up to which they are complete.
    pub revision: Revision,
}

/// What an answer to this daemon said, until the replicated limits include it.
#[derive(Debug, Clone)]
struct OwnReport {
    report: LimitReport,
    /// Revision of its record; none until it is recorded.
    recorded: Option<Revision>,
}

/// The limits that this daemon has learnt from answers and that others may not know, and when asking
/// for permits is in vain.
#[derive(Debug, Default)]
pub struct KnownLimits {
    own: BTreeMap<UpstreamId, OwnReport>,
    /// When upstreams without a permit left will have one again.
    empty_until: BTreeMap<UpstreamId, Millis>,
    no_leader_until: Millis,
}

impl KnownLimits {
    /// Returns the limit of an upstream, or none if it names none.
    pub fn limit_of(
        &self,
        replicated: Replicated<'_>,
        upstream: &UpstreamIncarnation,
    ) -> Option<NamedLimit> {
        let own = self.own.get(&upstream.id);
        let own = own.filter(|own| own.report.born == upstream.born);
        let is_replicated =
            |own: &&OwnReport| own.recorded.is_some_and(|r| r <= replicated.revision);
        if let Some(own) = own.filter(|own| !is_replicated(own)) {
            return own.report.rate.map(|rate| NamedLimit {
                born: own.report.born,
                rate,
                seen: own.report.seen,
            });
        }
        let known = replicated.limits.get(&upstream.id).copied();
        known.filter(|limit| limit.born == upstream.born)
    }

    /// Takes in what an answer said about the upstream's limit. `permit` is that of the request, if
    /// it had one. Returns whether this changes what the daemon knows.
    ///
    /// Only the answer to a request with a permit ends a limit: an answer without one may have been
    /// made before the limit began.
    pub fn observe(
        &mut self,
        replicated: Replicated<'_>,
        upstream: &UpstreamIncarnation,
        rate: Option<RateLimit>,
        permit: Option<PermitNumber>,
    ) -> bool {
        let known = self.limit_of(replicated, upstream);
        let is_outdated = known.is_some_and(|known| permit.unwrap_or_default() < known.seen);
        let changes = match (known, rate) {
            (None, None) => false,
            (None, Some(_)) => true,
            (Some(_), None) => permit.is_some() && !is_outdated,
            (Some(known), Some(rate)) => !is_outdated && is_other(known.rate, rate),
        };
        if changes {
            let report = LimitReport {
                upstream: upstream.id.clone(),
                born: upstream.born,
                rate,
                seen: permit.unwrap_or_default(),
            };
            let own = OwnReport {
                report,
                recorded: None,
            };
            self.own.insert(upstream.id.clone(), own);
        }
        changes
    }

    /// Returns the reports that are to be recorded.
    pub fn unrecorded(&self) -> Vec<LimitReport> {
        let own = self.own.values().filter(|own| own.recorded.is_none());
        own.map(|own| own.report.clone()).collect()
    }

    /// Takes in that a report was recorded, at this revision.
    pub fn recorded(&mut self, report: &LimitReport, revision: Revision) {
        let own = self.own.get_mut(&report.upstream);
        if let Some(own) = own.filter(|own| own.report == *report) {
            own.recorded = Some(revision);
        }
    }

    /// Forgets what the replicated limits include by now, and what concerns upstreams that are gone.
    pub fn retain<F>(&mut self, revision: Revision, is_known: F)
    where
        F: Fn(&UpstreamId) -> bool,
    {
        let is_pending = |own: &OwnReport| own.recorded.is_none_or(|r| r > revision);
        self.own
            .retain(|id, own| is_pending(own) && (is_known(id) || own.recorded.is_none()));
        self.empty_until.retain(|id, _| is_known(id));
    }

    /// Takes in when an upstream will have a permit again.
    pub fn set_empty(&mut self, upstream: &UpstreamId, until: Millis) {
        self.empty_until.insert(upstream.clone(), until);
    }

    /// Takes in that no control leader answered.
    pub fn set_no_leader(&mut self, now: Millis) {
        self.no_leader_until = now + LEADER_PAUSE;
    }

    /// Returns the time until an upstream may have a permit; zero if it may have one now.
    pub fn wait_for(&self, now: Millis, upstream: &UpstreamId) -> Millis {
        let empty = self.empty_until.get(upstream).copied().unwrap_or_default();
        empty.max(self.no_leader_until).since(now)
    }
}

/// Returns whether a limit differs enough from the known one to replace it.
fn is_other(known: RateLimit, rate: RateLimit) -> bool {
    rate < known || rate.per_second() > known.per_second() * RISE_FACTOR
}
