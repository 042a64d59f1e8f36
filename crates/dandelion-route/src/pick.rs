//! Chooses the upstream of a request on a planned route.
//!
//! Answers the load of short interactive requests that every entry sends to a few upstreams, which
//! do not say how busy they are: an entry knows its own requests and how long answers took.

use std::collections::BTreeMap;

use dandelion_protocol::ids::ServiceId;
use dandelion_protocol::ids::UpstreamId;
use dandelion_protocol::ids::ZoneId;
use dandelion_protocol::lives::UpstreamLife;
use dandelion_protocol::time::Millis;
use dandelion_protocol::time::WallMillis;

/// First time for which an upstream that failed is passed over.
const FIRST_PAUSE: Millis = Millis(300);

/// Longest time for which an upstream that failed is passed over.
const LONGEST_PAUSE: Millis = Millis(4_000);

/// Time for which an upstream that was full is passed over.
const FULL_PAUSE: Millis = Millis(100);

/// Latency, in milliseconds, taken for an upstream that has answered nothing yet.
const FIRST_LATENCY: f64 = 20.0;

/// Milliseconds by which an upstream of another zone must be faster to be preferred.
const FAR_MALUS: f64 = 15.0;

/// Weight of the newest answer in the mean latency.
const LATENCY_WEIGHT: f64 = 0.2;

/// How a request at an upstream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// With an answer of its own, after this time.
    Answered(Millis),
    /// It was not run, because the upstream is full or leaving.
    Refused,
    /// The connection failed or the answer cannot be trusted.
    Failed,
    /// The caller left.
    Abandoned,
}

#[derive(Debug, Clone)]
struct Mark {
    born: WallMillis,
    running: u32,
    failures: u32,
    paused: Millis,
    latency: f64,
}

/// What an entry knows of the upstreams that it sends to.
#[derive(Debug, Default)]
pub struct Picker {
    marks: BTreeMap<UpstreamId, Mark>,
}

impl Picker {
    /// Chooses the upstream that should answer soonest and counts the request as running there.
    /// Upstreams in `tried` are not chosen; one that failed lately only if there is no other.
    pub fn pick<'a, L>(
        &mut self,
        now: Millis,
        lives: L,
        service: &ServiceId,
        zone: &ZoneId,
        tried: &[UpstreamId],
    ) -> Option<&'a UpstreamLife>
    where
        L: Iterator<Item = &'a UpstreamLife>,
    {
        let fits = |l: &&UpstreamLife| l.ready && l.service == *service && !tried.contains(&l.id);
        let chosen = lives.filter(fits).min_by(|a, b| {
            let (a, b) = (self.cost(now, a, zone), self.cost(now, b, zone));
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
        })?;
        self.mark(chosen).running += 1;
        Some(chosen)
    }

    /// Notes how a request ended.
    pub fn end(&mut self, now: Millis, life: &UpstreamLife, ending: Ending) {
        let mark = self.mark(life);
        mark.running = mark.running.saturating_sub(1);
        match ending {
            Ending::Answered(latency) => {
                mark.failures = 0;
                mark.latency += LATENCY_WEIGHT * (latency.0 as f64 - mark.latency);
            }
            Ending::Refused => mark.paused = mark.paused.max(now + FULL_PAUSE),
            Ending::Failed => {
                let pause = Millis(FIRST_PAUSE.0 << mark.failures.min(8));
                mark.failures += 1;
                mark.paused = now + pause.min(LONGEST_PAUSE);
            }
            Ending::Abandoned => (),
        }
    }

    /// Forgets upstreams that are gone.
    pub fn keep<F>(&mut self, is_known: F)
    where
        F: Fn(&UpstreamId) -> bool,
    {
        self.marks
            .retain(|id, mark| mark.running > 0 || is_known(id));
    }

    /// Returns the end of a pause, and how long an answer should take.
    fn cost(&self, now: Millis, life: &UpstreamLife, zone: &ZoneId) -> (Millis, f64) {
        let mark = self.marks.get(&life.id).filter(|m| m.born == life.born);
        let running = mark.map_or(0, |m| m.running);
        let latency = mark.map_or(FIRST_LATENCY, |m| m.latency);
        let full = f64::from(running / life.slots.max(1));
        let share = f64::from(running) / f64::from(life.slots.max(1));
        let far = if life.zone == *zone { 0.0 } else { FAR_MALUS };
        let paused = mark.map(|m| m.paused).filter(|until| now < *until);
        let cost = latency * (1.0 + full) + FIRST_LATENCY * share + far;
        (paused.unwrap_or(Millis::ZERO), cost)
    }

    fn mark(&mut self, life: &UpstreamLife) -> &mut Mark {
        let fresh = Mark {
            born: life.born,
            running: 0,
            failures: 0,
            paused: Millis::ZERO,
            latency: FIRST_LATENCY,
        };
        let mark = self.marks.entry(life.id.clone());
        let mark = mark.or_insert_with(|| fresh.clone());
        if mark.born < life.born {
            *mark = fresh;
        }
        mark
    }
}
