//! The staleness bound, and the rate at which new versions are published.

use dandelion_protocol::ids::WeightVersion;
use dandelion_protocol::time::Millis;

/// Returns whether a sample whose oldest version is `oldest` may be delivered while `published`
/// is the newest.
pub fn is_fresh(oldest: WeightVersion, published: WeightVersion, bound: u64) -> bool {
    published.0.saturating_sub(oldest.0) <= bound
}

/// Returns the lowest version that is fresh while `published` is the newest.
pub fn lowest_fresh(published: WeightVersion, bound: u64) -> WeightVersion {
    WeightVersion(published.0.saturating_sub(bound))
}

/// Estimates how many versions are published while a sample is generated and queued.
#[derive(Debug, Clone, Default)]
pub struct PublishRate {
    last: Option<Millis>,
    interval: Option<Millis>,
}

impl PublishRate {
    /// Records a publication; the interval is a moving average with weight 1/4 on the last one.
    pub fn record(&mut self, now: Millis) {
        if let Some(last) = self.last {
            let span = now.since(last);
            let average = self.interval.map_or(span.0, |old| (old.0 * 3 + span.0) / 4);
            self.interval = Some(Millis(average.max(1)));
        }
        self.last = Some(now);
    }

    /// Returns the average number of versions published in a span; zero while unknown.
    pub fn during(&self, span: Millis) -> u64 {
        self.interval.map_or(0, |interval| span.0 / interval.0)
    }

    /// Returns the number of versions expected to be published from `now` until `end`.
    pub fn expected(&self, now: Millis, end: Millis) -> u64 {
        let (Some(last), Some(interval)) = (self.last, self.interval) else {
            return 0;
        };
        // An overdue publication is expected now, not in the past.
        let next = (last + interval).max(now);
        if end < next {
            return 0;
        }
        1 + end.since(next).0 / interval.0
    }
}
