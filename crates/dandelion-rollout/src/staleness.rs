//! The staleness bound, and what can still be fresh when it is handed out.

use dandelion_protocol::ids::WeightVersion;
use dandelion_protocol::time::Millis;

/// Returns whether a sample with `oldest` may be handed out while `published` is the newest.
pub fn is_fresh(oldest: WeightVersion, published: WeightVersion, bound: u64) -> bool {
    published.0.saturating_sub(oldest.0) <= bound
}

/// Returns the lowest version that is fresh while `published` is the newest.
pub fn lowest_fresh(published: WeightVersion, bound: u64) -> WeightVersion {
    WeightVersion(published.0.saturating_sub(bound))
}

/// Estimates how many versions are published while a sample is generated and waits.
#[derive(Debug, Clone, Default)]
pub struct PublishPace {
    last: Option<Millis>,
    interval: Option<Millis>,
}

impl PublishPace {
    /// Records a publication.
    pub fn record(&mut self, now: Millis) {
        if let Some(last) = self.last {
            let span = now.since(last);
            let blended = self.interval.map_or(span.0, |old| (old.0 * 3 + span.0) / 4);
            self.interval = Some(Millis(blended.max(1)));
        }
        self.last = Some(now);
    }

    /// Returns the versions that are published in a span, on the whole.
    pub fn during(&self, span: Millis) -> u64 {
        self.interval.map_or(0, |interval| span.0 / interval.0)
    }

    /// Returns the versions expected to be published from `now` until `end`.
    pub fn expected(&self, now: Millis, end: Millis) -> u64 {
        let (Some(last), Some(interval)) = (self.last, self.interval) else {
            return 0;
        };
        // A publication that is overdue is expected now, not in the past.
        let next = (last + interval).max(now);
        if end < next {
            return 0;
        }
        1 + end.since(next).0 / interval.0
    }
}
