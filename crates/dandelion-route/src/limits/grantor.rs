//! Grants permits at the control leader.

use std::collections::BTreeMap;

use dandelion_protocol::ids::Term;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::limits::Grant;
use dandelion_protocol::limits::LimitedUpstream;
use dandelion_protocol::limits::NamedLimit;
use dandelion_protocol::limits::PermitCall;
use dandelion_protocol::limits::PermitNumber;
use dandelion_protocol::limits::PermitReply;
use dandelion_protocol::time::Millis;

/// Lowest rate at which permits are granted, in requests a second. Only an answer can tell that a
/// limit of zero has ended.
const MIN_RATE: f64 = 0.1;

/// Time for which an idle upstream accumulates permits at its rate.
const DEPTH: Millis = Millis(1_000);

/// Permits that an idle upstream accumulates beyond those of [`DEPTH`]. The items of a batch job
/// arrive at once, and without these an engine would be filled more slowly than its rate allows
/// between two jobs.
const BURST: f64 = 4.0;

/// Most upstreams with a bucket. Beyond it the one that was asked for least recently is removed.
const MAX_BUCKETS: usize = 1_024;

/// Longest time until the next permit that a reply names.
const MAX_NEXT: Millis = Millis(10_000);

/// Token bucket of one upstream.
#[derive(Debug, Clone)]
struct Bucket {
    limit: NamedLimit,
    tokens: f64,
    at: Millis,
}

/// Token buckets of the upstreams that name a limit.
///
/// The buckets of a new leader start empty when it grants for the first time, and the lease of the
/// former one covers every permit that it granted. So all leaders together grant no more than one
/// bucket does, and in any 4 s an upstream gets at most 5.6 times its rate and 4 requests: what has
/// accumulated, and what is granted in these 4 s, the 0.3 s before in which permits stay valid, and as
/// long again for requests under way.
#[derive(Debug, Default)]
pub struct Grantor {
    /// Term in which the buckets are filled.
    term: Option<Term>,
    /// When the first permit of the term was asked for.
    since: Millis,
    /// Permits granted in the term.
    granted: u64,
    buckets: BTreeMap<UpstreamId, Bucket>,
}

impl Grantor {
    /// Grants permits of the first upstream that has one, under the leadership of `term`.
    pub fn grant(&mut self, now: Millis, term: Term, call: &PermitCall) -> PermitReply {
        if self.term != Some(term) {
            *self = Self {
                term: Some(term),
                since: now,
                ..Self::default()
            };
        }
        let mut waits = Vec::with_capacity(call.upstreams.len());
        for upstream in &call.upstreams {
            let Some(bucket) = self.refilled(now, upstream) else {
                // A later incarnation is known; this one is gone.
                waits.push(MAX_NEXT);
                continue;
            };
            let count = bucket.take(call.count.max(1));
            let next = bucket.next();
            if count == 0 {
                waits.push(next);
                continue;
            }
            let first = PermitNumber {
                term,
                number: self.granted + 1,
            };
            self.granted += u64::from(count);
            return PermitReply::Granted(Grant {
                upstream: upstream.id.clone(),
                first,
                count,
                next,
            });
        }
        PermitReply::Denied(waits)
    }

    /// Returns the bucket of an upstream with the tokens of now, or none if a later incarnation has
    /// taken its place.
    fn refilled(&mut self, now: Millis, upstream: &LimitedUpstream) -> Option<&mut Bucket> {
        if !self.buckets.contains_key(&upstream.id) {
            self.remove_surplus();
        }
        let since = self.since;
        let bucket = self
            .buckets
            .entry(upstream.id.clone())
            .or_insert_with(|| Bucket::open(now, since, upstream.limit));
        if bucket.limit.born > upstream.limit.born {
            return None;
        }
        bucket.refill(now);
        bucket.adopt(upstream.limit);
        Some(bucket)
    }

    fn remove_surplus(&mut self) {
        if self.buckets.len() < MAX_BUCKETS {
            return;
        }
        let oldest = self.buckets.iter().min_by_key(|(_, bucket)| bucket.at);
        if let Some(id) = oldest.map(|(id, _)| id.clone()) {
            self.buckets.remove(&id);
        }
    }
}

impl Bucket {
    /// Opens the bucket of an upstream of which no permit was granted in the term that began at
    /// `since`. It has one token at most: until now the upstream may have got requests without
    /// permits.
    fn open(now: Millis, since: Millis, limit: NamedLimit) -> Self {
        let mut bucket = Self {
            limit,
            tokens: 0.0,
            at: since,
        };
        bucket.refill(now);
        bucket.tokens = bucket.tokens.min(1.0);
        bucket
    }

    fn rate(&self) -> f64 {
        self.limit.rate.per_second().max(MIN_RATE)
    }

    fn depth(&self) -> f64 {
        self.rate() * DEPTH.0 as f64 / 1000.0 + BURST
    }

    fn refill(&mut self, now: Millis) {
        let elapsed = now.since(self.at).0 as f64 / 1000.0;
        self.tokens = (self.tokens + elapsed * self.rate()).min(self.depth());
        self.at = self.at.max(now);
    }

    /// Adopts the limit of a later incarnation or answer. Of two limits whose order is unclear the
    /// lower one counts.
    fn adopt(&mut self, limit: NamedLimit) {
        let is_newer = limit.born > self.limit.born || limit.seen >= self.limit.seen;
        if is_newer {
            self.limit = limit;
        } else {
            self.limit.rate = self.limit.rate.min(limit.rate);
        }
        self.tokens = self.tokens.min(self.depth());
    }

    /// Takes up to `count` tokens and returns how many.
    fn take(&mut self, count: u32) -> u32 {
        let taken = count.min(self.tokens as u32);
        self.tokens -= f64::from(taken);
        taken
    }

    /// Returns the time until the bucket has a token.
    fn next(&self) -> Millis {
        let missing = (1.0 - self.tokens).max(0.0);
        Millis((missing / self.rate() * 1000.0).ceil() as u64).min(MAX_NEXT)
    }
}
