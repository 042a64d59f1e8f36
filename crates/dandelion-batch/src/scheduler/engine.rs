//! What the scheduler believes of one engine.

use std::collections::BTreeMap;

use dandelion_protocol::lives::UpstreamLife;
use dandelion_protocol::time::Millis;

/// First time for which an engine that failed is passed over.
const FIRST_PAUSE: Millis = Millis(200);

/// Longest time for which an engine that failed is passed over.
const LONGEST_PAUSE: Millis = Millis(2_000);

/// First time for which an engine that refused an item as full is passed over.
const FULL_PAUSE: Millis = Millis(60);

/// Longest time for which an engine that refused an item is passed over.
const LONGEST_FULL_PAUSE: Millis = Millis(500);

/// Weight of the newest report in the mean pace.
const SPEED_WEIGHT: f64 = 0.3;

/// Time after which a pace says nothing any more: what slows an engine lasts for seconds.
const PACE_AGE: Millis = Millis(4_000);

/// A version that an engine loads.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Loading {
    /// Model.
    pub model: String,
    /// Version.
    pub version: u64,
    /// Time at which it should be there.
    pub until: Millis,
}

/// One engine.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Its life.
    pub life: UpstreamLife,
    /// Tokens that it holds in memory.
    pub memory: u64,
    /// Versions by model, as far as known.
    pub versions: BTreeMap<String, u64>,
    /// Runs under way.
    pub runs: u32,
    /// Tokens predicted for the runs under way.
    pub tokens: u64,
    /// Version being loaded.
    pub loading: Option<Loading>,
    /// Time before which no order is sent.
    pub order_after: Millis,
    pace: Option<(f64, Millis)>,
    paused: Millis,
    failures: u32,
    refusals: u32,
    /// Whether a run is under way that tells whether an engine works again.
    probing: bool,
}

impl Engine {
    /// Starts with nothing known but its life.
    pub fn open(life: UpstreamLife, memory: u64) -> Self {
        Self {
            life,
            memory,
            versions: BTreeMap::new(),
            runs: 0,
            tokens: 0,
            loading: None,
            order_after: Millis::ZERO,
            pace: None,
            paused: Millis::ZERO,
            failures: 0,
            refusals: 0,
            probing: false,
        }
    }

    /// Returns whether it can take another run.
    pub fn is_free(&self, now: Millis) -> bool {
        self.life.ready
            && self.runs < self.life.slots
            && now >= self.paused
            && !self.is_loading(now)
            && !self.probing
    }

    /// Counts a run that is sent. After a failure or refusal the first one is a probe: until it
    /// began or ended no other is sent.
    pub fn start(&mut self, tokens: u64) {
        self.runs += 1;
        self.tokens += tokens;
        self.probing = self.failures > 0 || self.refusals > 0;
    }

    /// Counts a run that ended.
    pub fn end(&mut self, tokens: u64) {
        self.runs = self.runs.saturating_sub(1);
        self.tokens = self.tokens.saturating_sub(tokens);
        self.probing = false;
    }

    /// Returns whether it loads weights.
    pub fn is_loading(&self, now: Millis) -> bool {
        self.loading.as_ref().is_some_and(|l| now < l.until)
    }

    /// Returns whether it may have a version of a model that is new enough. One that has not said
    /// is taken to have: it is asked by sending it work, whose answer names the version.
    pub fn may_serve(&self, model: Option<&str>, min_version: u64) -> bool {
        let known = model.and_then(|model| self.versions.get(model));
        known.is_none_or(|version| *version >= min_version)
    }

    /// Returns whether another run of so many tokens fits its memory.
    pub fn has_room(&self, tokens: u64) -> bool {
        self.runs == 0 || self.memory == 0 || self.tokens + tokens <= self.memory
    }

    /// Returns how much of its slots is taken.
    pub fn load(&self) -> f64 {
        f64::from(self.runs) / f64::from(self.life.slots.max(1))
    }

    /// Notes that a connection failed or an answer was spoilt.
    pub fn fail(&mut self, now: Millis) {
        let pause = Millis(FIRST_PAUSE.0 << self.failures.min(8));
        self.failures += 1;
        self.paused = now + pause.min(LONGEST_PAUSE);
    }

    /// Notes that it took no further item.
    pub fn refuse(&mut self, now: Millis) {
        let pause = Millis(FULL_PAUSE.0 << self.refusals.min(8));
        self.refusals += 1;
        self.paused = self.paused.max(now + pause.min(LONGEST_FULL_PAUSE));
    }

    /// Notes that a run made progress.
    pub fn succeed(&mut self) {
        self.failures = 0;
        self.refusals = 0;
        self.probing = false;
    }

    /// Returns the time between two events of a run, in milliseconds, if it was measured lately.
    pub fn pace(&self, now: Millis) -> Option<f64> {
        let fresh = self.pace.filter(|(_, at)| now < *at + PACE_AGE);
        fresh.map(|(pace, _)| pace)
    }

    /// Takes a measured pace into the mean.
    pub fn note_pace(&mut self, now: Millis, pace: f64) {
        let former = self.pace(now).unwrap_or(pace);
        self.pace = Some((former + SPEED_WEIGHT * (pace - former), now));
    }

    /// Ends a load whose time is over: from then on the engine should have the version.
    pub fn finish_load(&mut self, now: Millis) {
        if let Some(loading) = self.loading.take_if(|l| now >= l.until) {
            let known = self.versions.entry(loading.model).or_insert(1);
            *known = (*known).max(loading.version);
        }
    }
}
