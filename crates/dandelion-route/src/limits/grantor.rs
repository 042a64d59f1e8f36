//! Grants permits at the control leader.

use std::collections::BTreeMap;
use std::collections::VecDeque;

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

/// Permits that an idle upstream accumulates beyond those of [`Load::depth`].
const BURST: f64 = 4.0;

/// Time over which grants are counted: in any 4 s an upstream gets what is granted in them and in the
/// 0.3 s before in which permits stay valid, and as long again for requests under way.
const WINDOW: Millis = Millis(4_600);

/// Time whose permits, at the rate, may be granted in a [`WINDOW`], besides [`BURST`].
const WINDOW_PERMITS: Millis = Millis(5_600);

/// Part of its rate at which a cold upstream's bucket is filled. Its bound is over one second, in which
/// arrives what is granted in 1.6 s: the permits of the 0.3 s before that are still valid, and as long
/// again for requests under way. 1.6 s at this rate are the 1.5 s of the rate that the bound allows.
const COLD_SHARE: f64 = 1.5 / 1.6;

/// Grants that are so close in time are counted together, as if made with the last one.
const SLOT: Millis = Millis(100);

/// Most upstreams with a bucket. Beyond it the one that was asked for least recently is removed, unless
/// its grants still count; then no further upstream gets permits.
const MAX_BUCKETS: usize = 1_024;

/// Wait for an upstream that can't be judged: the plan or a report is about to reach the sender or the
/// leader, or there are too many buckets.
const UNKNOWN_WAIT: Millis = Millis(100);

/// Longest time until the next permit that a reply names.
const MAX_NEXT: Millis = Millis(10_000);

/// What an upstream is sent, which decides how many permits it accumulates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Load {
    /// Requests of callers, one by one. A new leader must grant soon, because callers don't wait.
    Requests,
    /// Items of batch jobs, some hundred at once every few seconds.
    Items,
    /// Either, while the upstream is cold. What a new leader may grant at once adds to what the former
    /// one did within the bound, so it doesn't pause.
    Cold,
}

impl Load {
    /// Returns the time for which an idle upstream accumulates permits at its rate.
    fn depth(self) -> Millis {
        match self {
            Self::Requests => Millis(1_000),
            Self::Items => Millis(4_000),
            Self::Cold => Millis::ZERO,
        }
    }

    /// Returns the time for which a new leader grants no permit: what the former one may have granted
    /// at once beyond [`WINDOW_PERMITS`] and a full window of its own.
    fn pause(self) -> Millis {
        (self.depth() + WINDOW).since(WINDOW_PERMITS)
    }
}

/// Token bucket of one upstream.
#[derive(Debug, Clone)]
struct Bucket {
    load: Load,
    limit: NamedLimit,
    tokens: f64,
    at: Millis,
    /// Permits granted in the last [`WINDOW`], each slot with the time of its last grant.
    recent: VecDeque<Slot>,
}

#[derive(Debug, Clone, Copy)]
struct Slot {
    since: Millis,
    until: Millis,
    count: u32,
}

/// Token buckets of the upstreams that name a limit or are cold.
///
/// Over any longer time an upstream gets its rate, and in any 4 s at most 5.6 times its rate and 4
/// requests; a cold one in any second at most one and a half times its rate and 4. A new leader doesn't know what the former one granted. The former one's lease covers all
/// of that, and the new one's buckets start empty, or with a debt where a former grant may have been
/// large, when it is first asked.
#[derive(Debug, Default)]
pub struct Grantor {
    /// Term in which the buckets are filled.
    term: Option<Term>,
    /// When the term was first noted.
    since: Millis,
    /// Permits granted in the term.
    granted: u64,
    /// Buckets of the upstreams that name a limit.
    named: Buckets,
    /// Buckets of cold upstreams. One that also names a limit has a bucket in both.
    cold: Buckets,
}

type Buckets = BTreeMap<UpstreamId, Bucket>;

impl Grantor {
    /// Notes the leadership of `term`. Unless this was called before, the term counts from its first
    /// ask.
    pub fn begin_term(&mut self, now: Millis, term: Term) {
        if self.term != Some(term) {
            *self = Self {
                term: Some(term),
                since: now,
                ..Self::default()
            };
        }
    }

    /// Grants permits of the first upstream that has one, under the leadership of `term`. `load_of`
    /// returns what an upstream is sent, or none if that is not known.
    pub fn grant<F>(
        &mut self,
        now: Millis,
        term: Term,
        call: &PermitCall,
        load_of: F,
    ) -> PermitReply
    where
        F: Fn(&UpstreamId) -> Option<Load>,
    {
        self.begin_term(now, term);
        let mut waits = Vec::with_capacity(call.upstreams.len());
        for upstream in &call.upstreams {
            let load = load_of(&upstream.id);
            let taken = load.and_then(|load| self.take(now, upstream, load, call.count.max(1)));
            let Some((count, next)) = taken else {
                waits.push(UNKNOWN_WAIT);
                continue;
            };
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

    /// Takes up to `wanted` permits of an upstream, of each of its buckets. Returns how many, and the
    /// time until there is another one; none if a later incarnation has taken its place or there are
    /// too many buckets.
    fn take(
        &mut self,
        now: Millis,
        upstream: &LimitedUpstream,
        load: Load,
        wanted: u32,
    ) -> Option<(u32, Millis)> {
        let since = self.since;
        let id = &upstream.id;
        let named = match upstream.named() {
            Some(limit) => Some(refilled(&mut self.named, (now, since), id, limit, load)?),
            None => None,
        };
        let cold = match upstream.cold {
            Some(cold) => {
                let limit = NamedLimit {
                    born: upstream.limit.born,
                    rate: cold.rate,
                    seen: PermitNumber::default(),
                };
                let times = (now, since);
                Some(refilled(&mut self.cold, times, id, limit, Load::Cold)?)
            }
            None => None,
        };
        let mut buckets: Vec<&mut Bucket> = [named, cold].into_iter().flatten().collect();
        let left = buckets.iter().map(|bucket| bucket.left()).min()?;
        let count = wanted.min(left);
        for bucket in &mut buckets {
            bucket.take(count);
        }
        let next = buckets.iter().map(|bucket| bucket.next()).max()?;
        Some((count, next))
    }
}

/// Returns the bucket of an upstream with the tokens of now, in the term that began at `since`; none if
/// a later incarnation has taken its place or there are too many buckets.
fn refilled<'a>(
    buckets: &'a mut Buckets,
    (now, since): (Millis, Millis),
    id: &UpstreamId,
    limit: NamedLimit,
    load: Load,
) -> Option<&'a mut Bucket> {
    let is_new = !buckets.contains_key(id);
    if is_new && !make_room(buckets, now) {
        return None;
    }
    let bucket = buckets
        .entry(id.clone())
        .or_insert_with(|| Bucket::open(now, since, limit, load));
    if bucket.limit.born > limit.born {
        return None;
    }
    bucket.refill(now);
    bucket.adopt(limit);
    Some(bucket)
}

/// Makes room for a bucket, if need be by removing one whose grants count no longer.
fn make_room(buckets: &mut Buckets, now: Millis) -> bool {
    if buckets.len() < MAX_BUCKETS {
        return true;
    }
    let oldest = buckets.iter().min_by_key(|(_, bucket)| bucket.at);
    let unused = oldest.filter(|(_, bucket)| bucket.at + WINDOW < now);
    let Some(id) = unused.map(|(id, _)| id.clone()) else {
        return false;
    };
    buckets.remove(&id);
    true
}

impl Bucket {
    /// Opens the bucket of an upstream of which no permit was granted in the term that began at
    /// `since`. It has one token at most: until now the upstream may have got requests without
    /// permits.
    fn open(now: Millis, since: Millis, limit: NamedLimit, load: Load) -> Self {
        let mut bucket = Self {
            load,
            limit,
            tokens: 0.0,
            at: since,
            recent: VecDeque::new(),
        };
        bucket.tokens = -bucket.permits_of(load.pause());
        bucket.refill(now);
        bucket.tokens = bucket.tokens.min(1.0);
        bucket
    }

    fn rate(&self) -> f64 {
        let share = if self.load == Load::Cold {
            COLD_SHARE
        } else {
            1.0
        };
        (self.limit.rate.per_second() * share).max(MIN_RATE)
    }

    fn depth(&self) -> f64 {
        self.permits_of(self.load.depth()) + BURST
    }

    /// Returns the permits that the rate allows in a time.
    fn permits_of(&self, time: Millis) -> f64 {
        self.rate() * time.0 as f64 / 1000.0
    }

    fn refill(&mut self, now: Millis) {
        let gained = self.permits_of(now.since(self.at));
        self.tokens = (self.tokens + gained).min(self.depth());
        self.at = self.at.max(now);
        while let Some(slot) = self.recent.front() {
            if now <= slot.until + WINDOW {
                break;
            }
            self.recent.pop_front();
        }
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

    /// Returns the permits that may still be granted in the current [`WINDOW`].
    fn window_room(&self) -> u32 {
        let most = (self.permits_of(WINDOW_PERMITS) + BURST) as u32;
        let granted = self.recent.iter().map(|slot| slot.count).sum();
        most.saturating_sub(granted)
    }

    /// Returns the permits that may be granted now.
    fn left(&self) -> u32 {
        (self.tokens.max(0.0) as u32).min(self.window_room())
    }

    /// Takes tokens, at most those of [`Self::left`].
    fn take(&mut self, count: u32) {
        if count == 0 {
            return;
        }
        self.tokens -= f64::from(count);
        match self.recent.back_mut() {
            Some(slot) if self.at < slot.since + SLOT => {
                slot.until = self.at;
                slot.count += count;
            }
            _ => self.recent.push_back(Slot {
                since: self.at,
                until: self.at,
                count,
            }),
        }
    }

    /// Returns the time until there is a permit.
    fn next(&self) -> Millis {
        let missing = (1.0 - self.tokens).max(0.0);
        let refilled = Millis((missing / self.rate() * 1000.0).ceil() as u64);
        let oldest = self.recent.front().filter(|_| self.window_room() == 0);
        let counted = oldest.map_or(Millis::ZERO, |slot| {
            (slot.until + WINDOW).since(self.at) + Millis(1)
        });
        refilled.max(counted).min(MAX_NEXT)
    }
}
