//! Chooses the upstream of a request on a planned route.
//!
//! Meant for short interactive requests that every entry sends directly to a few upstreams. These
//! upstreams do not report their load, so an entry goes by its own requests in flight and by the
//! latencies that it has measured.

use std::collections::BTreeMap;

use dandelion_protocol::ids::ServiceId;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::ids::ZoneId;
use dandelion_protocol::incarnations::UpstreamIncarnation;
use dandelion_protocol::time::Millis;
use dandelion_protocol::time::WallMillis;

/// Backoff after the first of several failures in a row; doubles with each further one.
const INITIAL_BACKOFF: Millis = Millis(300);

/// Longest backoff after failures.
const MAX_BACKOFF: Millis = Millis(4_000);

/// Backoff after a refusal by an upstream that is full or leaving.
const FULL_BACKOFF: Millis = Millis(100);

/// Latency, in milliseconds, assumed for an upstream without an answer so far.
const INITIAL_LATENCY_MS: f64 = 20.0;

/// Cost added to an upstream of another zone: it must be faster by this many milliseconds to be
/// preferred.
const REMOTE_PENALTY_MS: f64 = 15.0;

/// Cost added to a cold upstream, in milliseconds. It costs a permit from the control leader, one call
/// over the mesh, and runs its first requests slower; a warm upstream of another zone is preferred.
const COLD_PENALTY_MS: f64 = 60.0;

/// Weight of the newest answer in the exponentially weighted mean latency.
const LATENCY_WEIGHT: f64 = 0.2;

/// How a request at an upstream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// With an answer of the upstream, after this time.
    Answered(Millis),
    /// The upstream did not run it, because it is full or leaving.
    Refused,
    /// The connection failed, the answer was invalid, or it was a server error.
    Failed,
    /// The caller disconnected before the end.
    Abandoned,
}

#[derive(Debug, Clone)]
struct UpstreamStats {
    born: WallMillis,
    running: u32,
    failures: u32,
    backoff_until: Millis,
    latency: f64,
}

/// Requests in flight, latencies and backoffs of the upstreams that one entry sends to.
#[derive(Debug, Default)]
pub struct Picker {
    upstreams: BTreeMap<UpstreamId, UpstreamStats>,
}

impl Picker {
    /// Returns the upstreams that may get a request, the one that is expected to answer soonest
    /// first and those in backoff last. Upstreams in `tried` are not among them.
    pub fn rank<'a, L, F>(
        &self,
        now: Millis,
        candidates: L,
        service: &ServiceId,
        zone: &ZoneId,
        tried: &[UpstreamId],
        is_cold: F,
    ) -> Vec<&'a UpstreamIncarnation>
    where
        L: Iterator<Item = &'a UpstreamIncarnation>,
        F: Fn(&UpstreamIncarnation) -> bool,
    {
        let fits =
            |l: &&UpstreamIncarnation| l.ready && l.service == *service && !tried.contains(&l.id);
        let mut ranked: Vec<&UpstreamIncarnation> = candidates.filter(fits).collect();
        let cost = |upstream: &UpstreamIncarnation| {
            let (backoff, cost) = self.cost(now, upstream, zone);
            let cold = if is_cold(upstream) {
                COLD_PENALTY_MS
            } else {
                0.0
            };
            (backoff, cost + cold)
        };
        ranked.sort_by(|a, b| {
            let (a, b) = (cost(a), cost(b));
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
        });
        ranked
    }

    /// Counts a request as running at an upstream until its [`Self::end`].
    pub fn begin(&mut self, upstream: &UpstreamIncarnation) {
        self.stats(upstream).running += 1;
    }

    /// Counts the end of a request and updates the upstream's latency and backoff.
    pub fn end(&mut self, now: Millis, upstream: &UpstreamIncarnation, ending: Ending) {
        let stats = self.stats(upstream);
        stats.running = stats.running.saturating_sub(1);
        match ending {
            Ending::Answered(latency) => {
                stats.failures = 0;
                stats.latency += LATENCY_WEIGHT * (latency.0 as f64 - stats.latency);
            }
            Ending::Refused => stats.backoff_until = stats.backoff_until.max(now + FULL_BACKOFF),
            Ending::Failed => {
                let backoff = Millis(INITIAL_BACKOFF.0 << stats.failures.min(8));
                stats.failures += 1;
                stats.backoff_until = now + backoff.min(MAX_BACKOFF);
            }
            Ending::Abandoned => (),
        }
    }

    /// Drops the upstreams that are no longer known and have no request in flight.
    pub fn retain_known<F>(&mut self, is_known: F)
    where
        F: Fn(&UpstreamId) -> bool,
    {
        self.upstreams
            .retain(|id, stats| stats.running > 0 || is_known(id));
    }

    /// Returns the sort key of an upstream: the end of its backoff (zero if there is none), then
    /// the expected time to an answer in milliseconds.
    fn cost(&self, now: Millis, upstream: &UpstreamIncarnation, zone: &ZoneId) -> (Millis, f64) {
        let stats = self
            .upstreams
            .get(&upstream.id)
            .filter(|s| s.born == upstream.born);
        let running = stats.map_or(0, |s| s.running);
        let latency = stats.map_or(INITIAL_LATENCY_MS, |s| s.latency);
        let rounds = f64::from(running / upstream.slots.max(1));
        let share = f64::from(running) / f64::from(upstream.slots.max(1));
        let penalty = if upstream.zone == *zone {
            0.0
        } else {
            REMOTE_PENALTY_MS
        };
        let backoff_until = stats.map(|s| s.backoff_until).filter(|until| now < *until);
        let cost = latency * (1.0 + rounds) + INITIAL_LATENCY_MS * share + penalty;
        (backoff_until.unwrap_or(Millis::ZERO), cost)
    }

    fn stats(&mut self, upstream: &UpstreamIncarnation) -> &mut UpstreamStats {
        let initial = UpstreamStats {
            born: upstream.born,
            running: 0,
            failures: 0,
            backoff_until: Millis::ZERO,
            latency: INITIAL_LATENCY_MS,
        };
        let stats = self.upstreams.entry(upstream.id.clone());
        let stats = stats.or_insert_with(|| initial.clone());
        if stats.born < upstream.born {
            *stats = initial;
        }
        stats
    }
}
